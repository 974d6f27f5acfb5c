package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/clientconn"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// inUse returns the bytes that clients hold apart from their connections.
func (s *testGateway) inUse() int64 {
	return s.budget.Used() - int64(s.budget.Holders())*clientconn.ConnectionBytes
}

// startRequest opens a connection and sends a request's head and text, which may be
// a part of its body.
func (s *testGateway) startRequest(framing, text string) net.Conn {
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	must.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n%s\r\n\r\n%s", framing, text)
	must.NoError(s.t, err)
	return conn
}

// readAnswer returns an answer's status and whether the connection is closed after
// it.
func readAnswer(t *testing.T, conn net.Conn) (status int, closes bool) {
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response.StatusCode, response.Close
}

// Guards against memory that is allocated for what a client declares: many clients
// that declare large bodies and send little ended the process.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	s := newTestGatewayWithMemory(t, 4<<20, 1, config(nil), replyWith(okAnswer, true))
	for range 40 {
		s.startRequest("Content-Length: 4194304", "x")
	}
	eventually(t, func() bool { return s.inUse() == 40*firstBodyBytes })
	response, _, err := s.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// Guards against a request within the limits that is refused in calm conditions, and
// against memory that is not returned.
func TestLargestBodyIsServed(t *testing.T) {
	s := newTestGatewayWithMemory(t, 9<<20, 1, config(nil), replyWith(okAnswer, true))
	body := strings.Repeat("x", defaultBodyBytes)
	for _, chunked := range []bool{false, true} {
		response, _, err := s.do(func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(body))
			if r.ContentLength = int64(len(body)); chunked {
				r.ContentLength = -1
			}
		})
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		eventually(t, func() bool { return s.inUse() == 0 })
	}
	for _, r := range s.requests() {
		must.Eq(t, len(body), len(r.body))
	}
}

// Guards against a body over the limit that is read to its end.
func TestBodyOverLimitIsRefused(t *testing.T) {
	c := config(nil)
	c.Limits.BodyBytes = 1000
	s := newTestGatewayWithMemory(t, 2<<20, 1, c, replyWith(okAnswer, true))
	for _, framing := range []string{"Content-Length: 1001", "Content-Length: 1000000000", "Transfer-Encoding: chunked"} {
		conn := s.startRequest(framing, chunk(strings.Repeat("x", 1001)))
		status, _ := readAnswer(t, conn)
		must.Eq(t, http.StatusRequestEntityTooLarge, status)
	}
	must.SliceEmpty(t, s.requests())
	eventually(t, func() bool { return s.inUse() == 0 })
}

// Guards against clients that stop just short of the end of a body and keep the
// memory that others need. They are told that their requests have not run.
func TestStalledBodyIsEvicted(t *testing.T) {
	s := newTestGatewayWithMemory(t, 3<<20, 1, config(nil), replyWith(okAnswer, true))
	stalled := s.startRequest("Content-Length: 1200000", strings.Repeat("x", 1_199_999))
	eventually(t, func() bool { return s.inUse() >= 1_199_999 })
	time.Sleep(100 * time.Millisecond)
	response, _, err := s.do(func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("y", 1_200_000))), 1_200_000
	})
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 1, s.counters.Value("routed_clients_evicted_total", "receiving"))
	status, closes := readAnswer(t, stalled)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.True(t, closes)
	must.Eq(t, 1, len(s.requests()))
	eventually(t, func() bool { return s.inUse() == 0 })
}

// Guards against a refused client that holds its connection and its goroutine by
// sending the rest of its body slowly or never.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	for _, framing := range []string{"Content-Length: 100", "Content-Length: 4194304", "Transfer-Encoding: chunked"} {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		must.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /no/route HTTP/1.1\r\nHost: h.example\r\n%s\r\n\r\n", framing)
		must.NoError(t, err)
		status, closes := readAnswer(t, conn)
		must.Eq(t, http.StatusNotFound, status)
		must.True(t, closes)
		_, err = conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
	}
}

// Guards against refused requests with short bodies that lose their connections.
func TestRefusalOfShortBodyKeepsConnection(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	conn := s.startRequest("Wrong: header\r\nContent-Length: 4", "body")
	status, closes := readAnswer(t, conn)
	must.Eq(t, http.StatusOK, status)
	must.False(t, closes)
	_, err := io.WriteString(conn, "POST /no/route HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody")
	must.NoError(t, err)
	status, closes = readAnswer(t, conn)
	must.Eq(t, http.StatusNotFound, status)
	must.False(t, closes)
}

// Guards against chunks of one byte that take more memory than their bytes.
func TestTinyChunksTakeNoMoreMemory(t *testing.T) {
	s := newTestGatewayWithMemory(t, 2<<20, 1, config(nil), replyWith(okAnswer, true))
	conn := s.startRequest("Transfer-Encoding: chunked", strings.Repeat(chunk("x"), 5000))
	eventually(t, func() bool { return s.inUse() == firstBodyBytes })
	_, err := io.WriteString(conn, streamEnd)
	must.NoError(t, err)
	status, _ := readAnswer(t, conn)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, 5000, len(s.requests()[0].body))
}

// Guards against an answer's buffer that is not counted, or not returned, and against
// an answer that is lost because there is no memory for a buffer.
func TestAnswerBufferCounts(t *testing.T) {
	const size = 100_000
	proceed := make(chan struct{})
	answer := func(conn net.Conn, _ int, _ *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
		<-proceed
		if err == nil {
			_, err = io.WriteString(conn, "x")
		}
		return err == nil
	}
	for _, memory := range []int64{4 << 20, 60 << 10} {
		s := newTestGatewayWithMemory(t, memory, 1, config(nil), answer)
		got := make(chan string, 1)
		go func() {
			_, body, _ := s.do(nil)
			got <- body
		}()
		if memory > 1<<20 {
			eventually(t, func() bool { return s.inUse() >= size })
		}
		proceed <- struct{}{}
		must.Eq(t, size, len(<-got))
		eventually(t, func() bool { return s.inUse() == 0 })
	}
}

// Guards against a body without progress that holds its connection, and against a
// slow one that is cut although it makes progress for longer than the limit.
func TestBodyStall(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	s.handler.cfg.BodyStall = 300 * time.Millisecond
	const pieces = 6
	slow := s.startRequest(fmt.Sprintf("Content-Length: %d", pieces*bodyProgressBytes), "")
	for range pieces {
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(slow, strings.Repeat("x", bodyProgressBytes))
		must.NoError(t, err)
	}
	status, _ := readAnswer(t, slow)
	must.Eq(t, http.StatusOK, status)
	status, closes := readAnswer(t, s.startRequest("Content-Length: 1000000", "x"))
	must.Eq(t, http.StatusBadRequest, status)
	must.True(t, closes)
	must.Eq(t, 1, s.counters.Value("routed_clients_refused_total", "body_stalled"))
}

// Guards against bodies that are changed, cut or counted wrongly, whatever their size
// and the pieces in which they arrive.
func FuzzBodyReader(f *testing.F) {
	f.Add(0, 1, true, 100)
	f.Add(1, 1, false, 1)
	f.Add(firstBodyBytes, 4096, true, firstBodyBytes)
	f.Add(firstBodyBytes+1, 7, false, firstBodyBytes)
	f.Add(100_000, 1000, false, 99_999)
	f.Add(100_000, 50_000, true, 1<<20)
	f.Fuzz(func(t *testing.T, size, piece int, declared bool, limit int) {
		if size < 0 || size > 1<<20 || piece < 1 || limit < 1 || limit > 1<<20 || declared && (size == 0 || size > limit) {
			t.Skip()
		}
		body := make([]byte, size)
		for n := range body {
			body[n] = byte(n * 31)
		}
		budget := bytebudget.New(bytebudget.Config{Bytes: 8 << 20, SmallBytes: 64 << 10, StallAfter: time.Second})
		r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(&pieceReader{body, piece}))
		if r.ContentLength = -1; declared {
			r.ContentLength = int64(size)
		}
		x := &exchange{h: &Handler{cfg: Config{Budget: budget}}, r: r}
		x.holder = budget.Add(netip.Addr{}, bodyOwner{}, time.Now())
		x.ownHolder = true
		err := x.readAll(func() {}, int64(limit))
		if size > limit {
			must.ErrorIs(t, err, errBodyTooLarge)
		} else {
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, x.body))
			must.Eq(t, int64(cap(x.body)), budget.Used())
			must.LessEq(t, 2*max(size, firstBodyBytes)+firstBodyBytes, cap(x.body))
		}
		x.releaseMemory()
		must.Eq(t, 0, budget.Used())
	})
}

// pieceReader reads at most piece bytes at a time.
type pieceReader struct {
	left  []byte
	piece int
}

func (r *pieceReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.piece)], r.left)
	r.left = r.left[n:]
	return n, nil
}

// Guards against a request that is held beyond its time since its body is slow: the time
// ends the reading, and the caller learns that the request has not run.
func TestSlowBodyEndsAtTheTimeOfItsRequest(t *testing.T) {
	route := config(func(r *routing.Route) { r.Kind, r.Timeout = routing.Unsafe, 300*time.Millisecond })
	for name, framing := range map[string]string{
		"route":   "Content-Length: 60000",
		"caller":  "Timeout-Ms: 200\r\nContent-Length: 60000",
		"chunked": "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, 1, route, replyWith(okAnswer, true))
			conn := s.startRequest(framing, "")
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					// The write fails once the connection is closed.
					_, _ = io.WriteString(conn, chunk(strings.Repeat("x", 100)))
				}
			}()
			status, closes := readAnswer(t, conn)
			must.Eq(t, http.StatusRequestTimeout, status)
			must.True(t, closes)
			must.SliceEmpty(t, s.requests())
		})
	}
}
