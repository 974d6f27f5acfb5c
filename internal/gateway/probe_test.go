package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// Guards against a request that is sent on although three endpoints ended
// under it: the end of an endpoint must be found out by a connection to it.
func TestRequestIsRefusedOnceThreeEndpointsEndedUnderIt(t *testing.T) {
	var s *testGateway
	oneAttempt := config(func(r *routing.Route) { r.MaxAttempts = 1 })
	s = newTestGateway(t, 9, oneAttempt, func(conn net.Conn, nth int, r *http.Request) bool {
		return s.crashEndpoint(conn, nth, r)
	})
	status, sent := 0, 0
	for range 9 {
		response, _, err := s.do(nil)
		must.NoError(t, err)
		status = response.StatusCode
		if status != http.StatusBadGateway {
			break
		}
		sent++
		eventually(t, func() bool { return s.handler.cfg.Counters.Value("routed_probes_total", "refused") == int64(sent) })
	}
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Len(t, 3, s.requests())
}

// Guards against a healthy request that is refused as crashing because
// endpoints that live on reset its connections.
func TestResetConnectionsOfLiveEndpointsAreNoCrashes(t *testing.T) {
	oneAttempt := config(func(r *routing.Route) { r.MaxAttempts = 1 })
	s := newTestGateway(t, 9, oneAttempt, replyWith("", false))
	for n := range 9 {
		response, _, err := s.do(nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusBadGateway, response.StatusCode)
		eventually(t, func() bool { return s.handler.cfg.Counters.Value("routed_probes_total", "accepted") == int64(n+1) })
	}
	must.Len(t, 9, s.requests())
}
