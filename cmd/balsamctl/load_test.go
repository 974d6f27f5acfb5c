package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/load"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// TestLoadAgainstAnEngine sends load directly to an engine in place of an
// instance.
func TestLoadAgainstAnEngine(t *testing.T) {
	recorder := standin.NewRecorder()
	engine := standin.NewEngine(standin.EngineSettings{
		DecodeStep: time.Microsecond, DecodeStepPerRequest: time.Nanosecond, PrefillTokensPerSecond: 1e9,
	}, recorder)
	defer engine.Close()
	server := httptest.NewServer(engine)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	args := []string{
		"load", "-declared", exampleFile("kalahari"), "-rate", "500", "-duration", "200ms",
		"-output-max", "20", "-record", address, "-json", address,
	}
	code, out, errors := balsamctl(args...)
	must.Eq(t, "", errors)
	must.Eq(t, exitOK, code)
	var s loadSummary
	must.NoError(t, json.NewDecoder(bytes.NewReader([]byte(out))).Decode(&s))
	must.Eq(t, "checkout", s.Tiers[0].Name)
	must.Eq(t, len(recorder.Runs("")), s.Audit.Dispatches)
	must.Positive(t, s.Audit.Dispatches)
	must.Eq(t, s.Tiers[0].Sent, s.Tiers[0].Ended[load.EndedComplete])

	// The same seed generates the same requests, so each is dispatched twice.
	code, out, _ = balsamctl(args...)
	must.Eq(t, exitProblem, code)
	must.StrContains(t, out, `"twice": [`)
}

func TestLoadReportsWrongAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}))
	defer server.Close()
	code, out, _ := balsamctl("load", "-declared", exampleFile("piedmont"), "-rate", "500", "-duration", "50ms",
		strings.TrimPrefix(server.URL, "http://"))
	must.Eq(t, exitProblem, code)
	must.StrContains(t, out, "wrong")
}

func TestLoadUsage(t *testing.T) {
	for _, args := range [][]string{
		{"load"}, {"load", "127.0.0.1:1"}, {"load", "-declared", exampleFile("piedmont"), "-rate", "0", "127.0.0.1:1"},
	} {
		code, _, errors := balsamctl(args...)
		must.Eq(t, exitUsage, code)
		must.StrContains(t, errors, "balsamctl load:")
	}
}
