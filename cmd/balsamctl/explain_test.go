package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// TestExplain queries an operator interface that has decisions on one request.
func TestExplain(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("request") {
		case "known":
			_, _ = w.Write([]byte(`[{"at_ns": 5000000, "request": 1, "what": "asked", "detail": "i0"}, {"at_ns": 7500000, "request": 1, "what": "refused", "detail": "shed"}]`))
		case "other":
			_, _ = w.Write([]byte("[]"))
		default:
			http.Error(w, "not the name of a request", http.StatusBadRequest)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, c := range []struct {
		request string
		code    int
		out     string
	}{
		{"known", exitOK, "MS   DECISION  DETAIL\n0.0  asked     i0\n2.5  refused   shed\n"},
		{"other", exitProblem, ""},
		{"&=\n", exitProblem, ""},
	} {
		var out, errs bytes.Buffer
		must.EqOp(t, c.code, run([]string{"explain", address, c.request}, ioStreams{out: &out, err: &errs}))
		must.EqOp(t, c.out, out.String())
		must.EqOp(t, c.code == exitOK, errs.Len() == 0)
	}
	must.EqOp(t, exitUsage, run([]string{"explain", address}, ioStreams{out: &bytes.Buffer{}, err: &bytes.Buffer{}}))
}
