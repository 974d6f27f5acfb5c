package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// Guards against a request that is sent on although three endpoints ended under it
// and a fourth one confirmed that it is the cause: the end of an endpoint must be
// found out by a connection to it.
func TestRequestIsRefusedOnceItsCrashesAreConfirmed(t *testing.T) {
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
		// Two connections to the endpoint are refused, and two others are accepted after
		// each of them.
		eventually(t, func() bool {
			return s.handler.cfg.Counters.Value("routed_probes_total", "refused") == 2*int64(sent) &&
				s.handler.cfg.Counters.Value("routed_path_probes_total", "accepted") >= 4*int64(sent)
		})
	}
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Len(t, 4, s.requests())
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

const closeDelimitedHead = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against an endpoint that ends before the first event of a stream without
// a length or chunks, which looks like a complete answer and acquits the request
// that made it end.
func TestStreamThatEndsBeforeItsFirstEventIsNoAnswer(t *testing.T) {
	once := func(r *routing.Route) { r.Kind, r.MaxAttempts = routing.Stream, 1 }
	s := newTestGateway(t, 1, config(once), replyWith(closeDelimitedHead, false))
	response, _, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)

	s = newTestGateway(t, 2, config(resumableStream), replyInSequence(
		replyWith(closeDelimitedHead, false), replyWith(closeDelimitedHead+event(1)+event(2), false)))
	_, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, event(1)+event(2), body)
	must.Len(t, 2, s.requests())

	s = newTestGateway(t, 1, config(once), replyWith(closeDelimitedHead+event(1)+"id: 2\nda", false))
	_, body, err = s.do(nil)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, event(1), body)

	// The caller has all events but the end.
	s = newTestGateway(t, 1, config(resumableStream), replyWith(closeDelimitedHead, false))
	response, body, err = s.do(func(r *http.Request) { r.Header.Set("Last-Event-Id", "5") })
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "", body)
}

// Guards against an answer that ends with its connection after a single event, as
// that of an endpoint which has ended, and that acquits its request.
func TestEndOfConnectionIsInconclusive(t *testing.T) {
	for name, c := range map[string]struct {
		route               func(*routing.Route)
		reply               string
		inconclusive, error bool
	}{
		"close-delimited stream": {resumableStream, closeDelimitedHead + event(1), true, false},
		"chunked stream":         {resumableStream, streamHead + chunk(event(1)) + streamEnd, false, false},
		"close-delimited":        {nil, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\nanswer", true, false},
		"length":                 {nil, okAnswer, false, false},
		"error":                  {nil, "HTTP/1.1 404 No\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, config(c.route), replyWith(c.reply, false))
			ended := make(chan scheduler.Attempt, 1)
			post := s.handler.cfg.Post
			s.handler.cfg.Post = func(ev scheduler.Event) {
				if e, ok := ev.(scheduler.AttemptEnded); ok {
					ended <- e.Attempt
				}
				post(ev)
			}
			_, _, err := s.do(nil)
			must.NoError(t, err)
			a := <-ended
			must.Eq(t, scheduler.Completed, a.Outcome)
			must.Eq(t, c.inconclusive, a.Inconclusive)
			must.Eq(t, c.error, a.ErrorAnswer)
		})
	}
}

// Guards against requests with a part that ends every endpoint as it begins to
// answer, whose answers end with their connections.
func TestEndpointsThatEndAfterTheHeadCount(t *testing.T) {
	for name, head := range map[string]string{"chunked": streamHead, "close-delimited": closeDelimitedHead} {
		t.Run(name, func(t *testing.T) {
			var s *testGateway
			once := func(r *routing.Route) { r.Kind, r.MaxAttempts = routing.Stream, 1 }
			s = newTestGateway(t, 12, config(once), func(conn net.Conn, nth int, r *http.Request) bool {
				_, _ = io.WriteString(conn, head)
				s.mu.Lock()
				listener := s.listeners[s.received[nth].endpoint]
				s.mu.Unlock()
				_ = listener.Close()
				return false
			})
			refused := 0
			for n := range 12 {
				response, _, err := s.do(func(r *http.Request) {
					r.Header.Set("Parts", "bad")
					r.URL.RawQuery = strconv.Itoa(n)
				})
				must.NoError(t, err)
				if response.StatusCode == http.StatusServiceUnavailable {
					refused++
				}
				time.Sleep(20 * time.Millisecond)
			}
			must.LessEq(t, 5, len(s.requests()))
			must.Eq(t, 12-len(s.requests()), refused)
		})
	}
}
