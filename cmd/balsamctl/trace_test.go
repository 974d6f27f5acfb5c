package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const traceLog = `ts=2026-01-01T00:00:00.000Z level=info event=config_adopted version=1 before=0
ts=2026-01-01T00:01:00.000Z level=info event=config_adopted version=4 before=1
ts=2026-01-01T00:01:01.000Z level=info event=endpoint_suspended endpoint=e1 failures=1
ts=2026-01-01T00:01:01.500Z level=info event=endpoint_suspended endpoint=e9 failures=1
ts=2026-01-01T00:01:02.000Z level=info event=request_retried request=abc after=broken endpoint=e1
ts=2026-01-01T00:01:02.500Z level=info event=request_ended request=other status=200 endpoint=e1
ts=2026-01-01T00:01:03.000Z level=info event=request_ended request=abc status=502 endpoint=e2
ts=2026-01-01T00:01:04.000Z level=info event=ready_changed ready=false
not a line of the log
`

func TestTraceShowsTheRequestAndPrecedingStateChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(path, []byte(traceLog), 0o600))
	code, out, errs := balsamctl("trace", "abc", path)
	must.Eq(t, exitOK, code)
	must.Eq(t, "", errs)
	var times []string
	for line := range strings.Lines(out) {
		times = append(times, line[17:26])
	}
	must.Eq(t, []string{"01:00.000", "01:01.000", "01:02.000", "01:03.000"}, times)
}

func TestTraceSeparatesInstances(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	text := "1.0 i-1 " + strings.Split(traceLog, "\n")[6] + "\n0.5 i-2 " + strings.Split(traceLog, "\n")[1] + "\n"
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	code, out, _ := balsamctl("trace", "abc", path)
	must.Eq(t, exitOK, code)
	must.Eq(t, 1, strings.Count(out, "\n"))
}

func TestTraceOfAnUnknownRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(path, []byte(traceLog), 0o600))
	code, out, errs := balsamctl("trace", "nobody", path)
	must.Eq(t, exitProblem, code)
	must.Eq(t, "", out)
	must.StrContains(t, errs, "nobody")
}
