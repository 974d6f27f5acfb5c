package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// Guards against a second copy of an answer that arrives late, on a connection in
// use again, and reaches the caller of the next request.
func TestSecondCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	answerTo := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	stream := strings.Replace(streamHead, "id-1", "first", 1) + chunk(event(1)) + streamEnd
	for name, c := range map[string]struct{ first, copy string }{
		"late copy":                      {answerTo("first"), answerTo("first")},
		"late copy of a stream":          {stream, stream},
		"late copy after a 1xx":          {answerTo("first"), "HTTP/1.1 103 Early Hints\r\n\r\n" + answerTo("first")},
		"copy at once":                   {answerTo("first") + answerTo("first"), ""},
		"bytes beyond the length":        {answerTo("first") + "more", ""},
		"late bytes that are no answer":  {answerTo("first"), "more"},
		"late copy of part of an answer": {answerTo("first"), answerTo("first")[:20]},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, config(nil), func(conn net.Conn, nth int, r *http.Request) bool {
				id := r.Header.Get("Id")
				text := answerTo(id)
				switch {
				case nth == 0:
					text = c.first
				case nth == 1 && c.copy != "":
					text = c.copy + answerTo(id)
				}
				_, err := io.WriteString(conn, text)
				return err == nil
			})
			for _, id := range []string{"first", "second", "third"} {
				response, body, err := s.do(func(r *http.Request) {
					r.Header.Set("Id", id)
					r.Header.Set("Timeout-Ms", "500")
				})
				if err == nil && response.StatusCode == http.StatusOK && id != "first" {
					must.Eq(t, id, body)
					must.Eq(t, id, response.Header.Get("Id"))
				}
			}
		})
	}
}

// Guards against a caller that keeps its connection and reads nothing: its stream
// held a slot of the endpoint for as long.
func TestCallerThatDoesNotReadHoldsNoSlot(t *testing.T) {
	ended := make(chan struct{})
	s := newTestGateway(t, 1, config(func(r *routing.Route) {
		r.Kind, r.MaxAttempts, r.Timeout = routing.Stream, 1, 500*time.Millisecond
	}), func(conn net.Conn, _ int, _ *http.Request) bool {
		defer close(ended)
		if _, err := io.WriteString(conn, streamHead); err != nil {
			return false
		}
		padding := strings.Repeat("x", 32<<10)
		for n := 1; ; n++ {
			if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", n, padding))); err != nil {
				return false
			}
		}
	})
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still runs the request")
	}
	eventually(t, func() bool { return s.handler.InFlight() == 0 })
}

// A stream that sends a byte now and then, but no event, ends at its deadline. One
// that sends events slowly is not cut.
func TestStalledStreamEndsAndSlowOneDoesNot(t *testing.T) {
	trickle := func(conn net.Conn) error {
		if _, err := io.WriteString(conn, streamHead+chunk(event(1))); err != nil {
			return err
		}
		for {
			if _, err := io.WriteString(conn, chunk("x")); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Kind, r.MaxAttempts, r.Timeout = routing.Stream, 1, 2*time.Second }),
		func(conn net.Conn, nth int, _ *http.Request) bool {
			if nth == 1 {
				return trickle(conn) == nil
			}
			text := streamHead
			for n := 1; n <= 10; n++ {
				if _, err := io.WriteString(conn, text+chunk(event(n))); err != nil {
					return false
				}
				text = ""
				time.Sleep(100 * time.Millisecond)
			}
			_, err := io.WriteString(conn, streamEnd)
			return err == nil
		})
	_, body, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, 10, strings.Count(body, "data:"))
	_, body, err = s.do(nil)
	must.Error(t, err)
	must.Eq(t, event(1), body)
	eventually(t, func() bool { return s.handler.InFlight() == 0 })
}

// panickingDialect panics on answers with a certain header.
type panickingDialect struct{ testDialect }

func (d panickingDialect) ParseAnswer(status int, h http.Header) AnswerInfo {
	if h.Get("Panic") != "" {
		panic("unexpected answer")
	}
	return d.testDialect.ParseAnswer(status, h)
}

// Guards against an unexpected error of one request that costs more than that
// request: its slot at the endpoint was never released.
func TestPanicCostsOneRequest(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), func(conn net.Conn, nth int, _ *http.Request) bool {
		text := okAnswer
		if nth < 7 {
			text = strings.Replace(okAnswer, "Stamp", "Panic", 1)
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	s.handler.cfg.Dialect = panickingDialect{}
	for range 7 {
		_, _, err := s.do(nil)
		must.Error(t, err)
	}
	response, body, err := s.do(func(r *http.Request) { r.Header.Set("Timeout-Ms", "1000") })
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "answer", body)
	must.Zero(t, s.handler.InFlight())
}

// Guards against work that is given up or started again elsewhere because the
// platform no longer lists its endpoint, which may only be slow to report.
func TestRunningRequestOutlivesEntryOfItsEndpoint(t *testing.T) {
	s := newTestGateway(t, 2, config(nil), func(conn net.Conn, _ int, _ *http.Request) bool {
		time.Sleep(500 * time.Millisecond)
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	})
	done := make(chan error, 1)
	go func() {
		_, _, err := s.do(nil)
		done <- err
	}()
	eventually(t, func() bool { return len(s.requests()) == 1 })
	s.publish(directory.Change{EndpointID: "e0", Revision: 2}, directory.Change{EndpointID: "e1", Revision: 2})
	must.NoError(t, <-done)
	must.Len(t, 1, s.requests())
}

// Guards against a request that was read during a stop and ends without an
// answer: callers use their connections until they are closed.
func TestRequestsDuringStopAreAnswered(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), func(conn net.Conn, _ int, _ *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	})
	const callers = 20
	lost := make(chan int, callers)
	for range callers {
		go func() {
			conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
			if err != nil {
				lost <- 0
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				if _, err := io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n\r\n"); err != nil {
					break
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					lost <- 1
					return
				}
				_, err = io.Copy(io.Discard, response.Body)
				if err != nil {
					lost <- 1
					return
				}
				if response.Close {
					break
				}
			}
			lost <- 0
		}()
	}
	time.Sleep(200 * time.Millisecond)
	s.handler.Drain()
	for range callers {
		must.Zero(t, <-lost)
	}
	answered := len(s.requests())
	must.NoError(t, s.server.Config.Shutdown(t.Context()))
	must.Eq(t, answered, len(s.requests()))
	must.Zero(t, s.handler.InFlight())
}

// Guards against requests that a process takes with it without an answer as it ends.
func TestRequestsThatAreBrokenOffGetAnAnswer(t *testing.T) {
	hold := func(head string) rawReply {
		return func(conn net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Read(make([]byte, 1))
			return false
		}
	}
	for name, c := range map[string]struct {
		reply  rawReply
		kind   routing.Kind
		body   string
		status int
	}{
		"unsafe":       {hold(""), routing.Unsafe, "x", http.StatusBadGateway},
		"safe":         {hold(""), routing.Safe, "x", http.StatusBadGateway},
		"half a body":  {hold(""), routing.Unsafe, "", http.StatusServiceUnavailable},
		"begun stream": {hold(streamHead + chunk(event(1))), routing.Stream, "x", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, config(func(r *routing.Route) { r.Kind = c.kind }), c.reply)
			conn := s.startRequest("Content-Length: 1", c.body)
			if c.body != "" {
				eventually(t, func() bool { return len(s.requests()) == 1 })
			} else {
				eventually(t, func() bool { return s.inUse() > 0 })
			}
			response := bufio.NewReader(conn)
			if c.status == 0 {
				_, err := response.Peek(1)
				must.NoError(t, err)
			}
			s.handler.EndRequests()
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			answer, err := http.ReadResponse(response, nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, answer.Body)
			if c.status == 0 {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, c.status, answer.StatusCode)
			eventually(t, func() bool { return s.handler.InFlight() == 0 })
		})
	}
}
