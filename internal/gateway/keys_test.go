package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// Guards against requests that run with any key, or none, after the last organisation was
// withdrawn. While the list is missing, callers are asked to return, with the truth that
// nothing has run.
func TestRequestsWithoutAValidKeyDoNotRun(t *testing.T) {
	empty := config(nil)
	empty.Organisations, empty.Keys = nil, routing.KeysRequired
	lost := config(nil)
	lost.Organisations, lost.Keys = nil, routing.KeysNotRequired
	for name, c := range map[string]struct {
		table  *routing.Table
		status int
	}{
		"empty list":   {routing.NewTable(*empty), http.StatusUnauthorized},
		"list missing": {routing.NewTable(*lost).RetainKeys(), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, config(nil), func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n"))
				return true
			})
			s.handler.HandleEffect(scheduler.ConfigAdopted{Table: c.table})
			for _, key := range []string{"k", "unknown", ""} {
				answer, _, err := s.do(func(r *http.Request) { r.Header.Set("Key", key) })
				must.NoError(t, err)
				must.Eq(t, c.status, answer.StatusCode)
				must.Eq(t, c.status == http.StatusServiceUnavailable, answer.Header.Get("Retry-After") != "")
			}
			must.SliceEmpty(t, s.received)
		})
	}
}
