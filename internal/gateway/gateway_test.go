package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	response, body, err := s.do(func(r *http.Request) {
		r.Header.Set("Custom", "c")
		r.Header.Set("Organisation", "forged")
		r.Header.Set("Timeout-Ms", "3000")
	})
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.Eq(t, "answer", body)
	must.Eq(t, "s", response.Header.Get("Stamp"))
	got := s.requests()[0]
	must.Eq(t, "/x/1?q=%2F", got.RequestURI)
	must.Eq(t, "h.example", got.Host)
	must.Eq(t, "question", got.body)
	must.Eq(t, "c", got.Header.Get("Custom"))
	must.Eq(t, []string{"org"}, got.Header["Organisation"])
	must.Eq(t, "", got.Header.Get("Key"))
	must.Eq(t, []string{"id-1"}, got.Header["Id"])
	left := got.Header.Get("Remaining-Ms")
	must.True(t, len(left) == 4 && left[0] == '2', must.Sprint(left))
}

func TestUnknownRoutesAndKeysAreDeniedUnlessConfigIsStale(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	unknownKey := func(r *http.Request) { r.Header.Set("Key", "other") }
	unknownRoute := func(r *http.Request) { r.URL.Path = "/y/" }
	response, _, err := s.do(unknownKey)
	must.NoError(t, err)
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	response, _, err = s.do(unknownRoute)
	must.NoError(t, err)
	must.Eq(t, http.StatusNotFound, response.StatusCode)
	s.handler.configConfirmedAt.Store(int64(now().Add(-maxConfigAgeForDenial - time.Second)))
	for _, change := range []func(*http.Request){unknownKey, unknownRoute} {
		response, _, err = s.do(change)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NotEq(t, "", response.Header.Get("Retry-After"))
	}
	must.SliceEmpty(t, s.requests())
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	s := newTestGateway(t, 0, nil, nil)
	response, _, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

func TestOversizedBodiesAreRefused(t *testing.T) {
	c := config(nil)
	c.Limits.BodyBytes = 4
	s := newTestGateway(t, 1, c, replyWith(okAnswer, true))
	for _, chunked := range []bool{false, true} {
		response, _, err := s.do(func(r *http.Request) {
			if chunked {
				r.ContentLength = -1
			}
		})
		must.NoError(t, err)
		must.Eq(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	}
	must.SliceEmpty(t, s.requests())
}

// A truncated answer, or one that belongs to another request, is never
// forwarded as a success.
func TestInvalidAnswersAreRetriedOrFail(t *testing.T) {
	for name, bad := range map[string]string{
		"cut":     "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 60\r\n\r\nansw",
		"crossed": "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 6\r\n\r\nanswer",
		"garbage": "no answer at all\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 2, config(nil), replyInSequence(replyWith(bad, false), replyWith(okAnswer, true)))
			response, body, err := s.do(nil)
			must.NoError(t, err)
			must.Eq(t, 200, response.StatusCode)
			must.Eq(t, "answer", body)
			must.Len(t, 2, s.requests())

			unsafe := config(func(r *routing.Route) { r.Kind = routing.Unsafe })
			s = newTestGateway(t, 2, unsafe, replyWith(bad, false))
			response, _, err = s.do(nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusBadGateway, response.StatusCode)
			must.Eq(t, "", response.Header.Get("Stamp"))
			must.Len(t, 1, s.requests())
		})
	}
}

func TestAnswerEndedByConnectionCloseIsComplete(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith("HTTP/1.1 200 OK\r\nId: id-1\r\n\r\nanswer", false))
	_, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, "answer", body)
}

func TestEndpointErrorIsReturnedAfterLastAttempt(t *testing.T) {
	s := newTestGateway(t, 3, config(nil), replyWith("HTTP/1.1 500 Broken\r\nId: id-1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nbad", true))
	response, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, 500, response.StatusCode)
	must.Eq(t, "s", response.Header.Get("Stamp"))
	must.Eq(t, "bad", body)
	must.Len(t, 2, s.requests())
}

func TestFullEndpointsAreReportedAsNotRun(t *testing.T) {
	full := replyWith("HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", true)
	s := newTestGateway(t, 3, config(nil), full)
	response, _, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, 503, response.StatusCode)
	must.Eq(t, "", response.Header.Get("Stamp"))
	must.NotEq(t, "", response.Header.Get("Retry-After"))
}

func resumableStream(r *routing.Route) { r.Kind, r.Resumable = routing.Stream, true }

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	s := newTestGateway(t, 2, config(resumableStream), replyInSequence(
		replyWith(streamHead+chunk(event(1))+chunk(event(2)+"id: 3\nda"), false),
		replyWith(streamHead+chunk(event(3)+event(4))+streamEnd, true)))
	response, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, "s", response.Header.Get("Stamp"))
	must.Eq(t, event(1)+event(2)+event(3)+event(4), body)
	must.Eq(t, "2", s.requests()[1].Header.Get("Last-Event-Id"))
	must.NotEq(t, s.requests()[0].endpoint, s.requests()[1].endpoint)
}

// Parts of two runs are never joined, and a stream that cannot be completed
// does not appear complete to the caller.
func TestUnresumableStreamIsAborted(t *testing.T) {
	cut := replyWith(streamHead+chunk(event(1)), false)
	for name, c := range map[string]struct {
		route  func(*routing.Route)
		answer rawReply
	}{
		"not resumable": {func(r *routing.Route) { r.Kind = routing.Stream }, cut},
		"starts again":  {resumableStream, replyInSequence(cut, replyWith(streamHead+chunk(event(1)+event(2))+streamEnd, true))},
		"leaves a gap":  {resumableStream, replyInSequence(cut, replyWith(streamHead+chunk(event(3))+streamEnd, true))},
		"half an event": {func(r *routing.Route) { r.Kind = routing.Stream }, replyWith(streamHead+chunk(event(1)+"id: 2\n")+streamEnd, true)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 2, config(c.route), c.answer)
			_, body, err := s.do(nil)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			must.Eq(t, event(1), body)
		})
	}
}

func TestStreamContinuesFromCallersLastEventID(t *testing.T) {
	s := newTestGateway(t, 1, config(resumableStream), replyWith(streamHead+chunk(event(6))+streamEnd, true))
	_, body, err := s.do(func(r *http.Request) { r.Header.Set("Last-Event-Id", "5") })
	must.NoError(t, err)
	must.Eq(t, event(6), body)
}

func TestAttemptEndsWhenCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	s := newTestGateway(t, 1, config(nil), func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, func() bool { return len(s.requests()) == 1 })
		cancel()
	}()
	_, _, err := s.do(func(r *http.Request) { *r = *r.WithContext(ctx) })
	must.ErrorIs(t, err, context.Canceled)
	<-ended
	eventually(t, func() bool { return s.handler.InFlight() == 0 })
}

func TestRouteTimeoutReturnsGatewayTimeout(t *testing.T) {
	hang := func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Timeout = 200 * time.Millisecond }), hang)
	response, _, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusGatewayTimeout, response.StatusCode)
	must.Eq(t, "", response.Header.Get("Retry-After"))
	must.Len(t, 1, s.requests())
}

func TestConnectFailureDoesNotCountAsAttempt(t *testing.T) {
	s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Kind = routing.Unsafe; r.MaxAttempts = 1 }), replyWith(okAnswer, true))
	gone := s.startEndpoint(7, nil)
	gone.Endpoint.Address = "127.0.0.1:1"
	s.publish(gone)
	for range 8 {
		response, _, err := s.do(nil)
		must.NoError(t, err)
		must.Eq(t, 200, response.StatusCode)
	}
}

func TestDrainingGatewayClosesConnections(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	s.handler.Drain()
	response, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, "answer", body)
	must.True(t, response.Close)
}

// An endpoint stalls in the middle of a stream, or the second endpoint of a
// resumed stream is late with its first event.
func TestLongestGapSpansConnectionsOfAStream(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var c eventCopier
	c.recordForwarded(at(0))
	c.recordForwarded(at(50))
	c.connFirstAt = time.Time{}
	c.recordForwarded(at(450))
	c.recordForwarded(at(460))
	must.Eq(t, at(0), c.firstForwardedAt)
	must.Eq(t, at(450), c.connFirstAt)
	must.Eq(t, 400*time.Millisecond, c.longestGap)
}

func TestEventIDs(t *testing.T) {
	for event, want := range map[string]int64{
		"id: 7\ndata: x": 7, "x-version: 3\nid:8\ndata: id: 9": 8, "data: x": 0, "id: x": 0,
	} {
		id, ok := eventID([]byte(event))
		must.Eq(t, want, id, must.Sprint(event))
		must.Eq(t, want != 0, ok)
	}
	must.True(t, strings.HasSuffix(event(1), string(eventTerminator)))
}
