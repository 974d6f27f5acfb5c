package gateway

import (
	"testing"

	"github.com/balsamstair/balsamstair/internal/routing"

	"github.com/shoenig/test/must"
)

// Guards against an answer that is no report, or is cut, and counts as one.
func TestRunsAreReadFromCompleteReportsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		runs  []string
		fails bool
	}{
		"report":      {reply: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nid1 id2", runs: []string{"id1", "id2"}},
		"cut":         {reply: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nid1 id2", fails: true},
		"not known":   {reply: "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\nid1", fails: true},
		"no protocol": {reply: "id1 id2\r\n\r\n", fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, config(func(*routing.Route) {}), replyWith(c.reply, false))
			runs, started, err := s.handler.fetchRuns(s.listeners[0].Addr().String())
			must.Eq(t, c.fails, err != nil)
			must.Eq(t, c.runs, runs)
			must.Eq(t, 0, started)
			must.Eq(t, "/runs", s.requests()[0].URL.Path)
		})
	}
}
