package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/shoenig/test/must"
)

const (
	testHeadBytes = 32 << 10
	testStall     = 50 * time.Millisecond
)

// testServer is an HTTP server whose connections are limited.
type testServer struct {
	t        *testing.T
	limiter  *Limiter
	budget   *bytebudget.Budget
	counters *operator.Counters
	address  string
}

func newTestServer(t *testing.T, memory int64, connections int, handler http.HandlerFunc) *testServer {
	s := &testServer{t: t, counters: operator.NewCounters()}
	s.budget = bytebudget.New(bytebudget.Config{
		Bytes: memory, ReservedBytes: memory / 4, SmallBytes: SmallBytes, StallAfter: testStall,
	})
	s.limiter = New(Config{
		Budget: s.budget, MaxConnections: connections, WriteStall: 3 * time.Second, Counters: s.counters, Log: logline.Discard(),
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = inner.Addr().String()
	server := &http.Server{
		Handler: handler, ConnState: s.limiter.ConnState, ConnContext: s.limiter.ConnContext,
		MaxHeaderBytes: 256 << 10, ReadHeaderTimeout: 10 * time.Second,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.limiter.Listener(inner, func() int { return testHeadBytes })) }()
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		must.ErrorIs(t, <-done, http.ErrServerClosed)
		// Every path returns what it took.
		eventually(t, func() bool { return s.budget.Used() == 0 && s.budget.Holders() == 0 && s.limiter.open.Load() == 0 })
	})
	return s
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition was not met in time")
}

func (s *testServer) connect(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	must.NoError(s.t, err)
	return conn
}

const shortRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// status reads an answer and returns its status.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response.StatusCode
}

func isClosed(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(10*time.Second)) != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against heads that are read without a bound, whatever their form.
func TestLargeHeadIsRefused(t *testing.T) {
	s := newTestServer(t, 4<<20, 100, ok)
	for name, text := range map[string]string{
		"fields":   "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", testHeadBytes/4),
		"one line": "GET /" + strings.Repeat("x", testHeadBytes),
	} {
		conn := s.connect(text)
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, status(t, conn), must.Sprint(name))
		must.True(t, isClosed(conn))
	}
	must.Eq(t, 2, s.counters.Value(counterRefused, "head_too_large"))
}

// Guards against a client within the limits that is refused: a head of many short
// fields, and several requests on one connection.
func TestHeadWithinLimitsIsServed(t *testing.T) {
	s := newTestServer(t, 4<<20, 100, ok)
	conn := s.connect("")
	for range 3 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3000)+"\r\n")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status(t, conn))
		eventually(t, func() bool { return s.budget.Used() == ConnectionBytes })
	}
}

// Guards against heads of many short fields, each of which costs 25 times its bytes
// once parsed: the memory of clients is bounded by the budget.
func TestManyHeadsStayInBudget(t *testing.T) {
	s := newTestServer(t, 2<<20, 100, ok)
	for range 20 {
		s.connect("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000))
		must.LessEq(t, 2<<20, s.budget.Used())
		time.Sleep(testStall)
	}
	must.Positive(t, s.counters.Value(counterEvicted, "receiving"))
	must.Eq(t, http.StatusOK, status(t, s.connect(shortRequest)))
}

// Guards against an evicted client that cannot know that its request has not run.
func TestEvictedHeadIsAnswered(t *testing.T) {
	s := newTestServer(t, 4<<20, 1, ok)
	stalled := s.connect("GET / HTTP/1.1\r\n")
	eventually(t, func() bool { return s.budget.Used() == ConnectionBytes })
	time.Sleep(2 * testStall)
	must.Eq(t, http.StatusOK, status(t, s.connect(shortRequest)))
	must.Eq(t, http.StatusServiceUnavailable, status(t, stalled))
	must.True(t, isClosed(stalled))
}

// Guards against a server that stops accepting, or refuses others, because a group
// of clients keeps connections open without using them.
func TestFullServerClosesIdleConnections(t *testing.T) {
	s := newTestServer(t, 4<<20, 10, ok)
	first := s.connect(shortRequest)
	must.Eq(t, http.StatusOK, status(t, first))
	for range 50 {
		s.connect("")
	}
	must.Eq(t, http.StatusOK, status(t, s.connect(shortRequest)))
	must.True(t, isClosed(first))
	must.LessEq(t, 10+10/overshoot+minOvershoot, s.limiter.open.Load())
	must.Positive(t, s.counters.Value(counterEvicted, "idle"))
}

// Guards against a request that is cut although it may run, and against a server
// that stops accepting while all its connections are in use.
func TestServedConnectionsAreKept(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, 4<<20, 2, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	})
	first, second := s.connect(shortRequest), s.connect(shortRequest)
	eventually(t, func() bool { return s.budget.Used() == 2*ConnectionBytes })
	time.Sleep(2 * testStall)
	must.True(t, isClosed(s.connect("")))
	must.Eq(t, 2, s.limiter.open.Load())
	close(release)
	must.Eq(t, http.StatusOK, status(t, first))
	must.Eq(t, http.StatusOK, status(t, second))
	must.Eq(t, http.StatusOK, status(t, s.connect(shortRequest)))
}

// Guards against a handler's panic that leaves bytes taken.
func TestPanicReturnsBytes(t *testing.T) {
	s := newTestServer(t, 4<<20, 10, func(_ http.ResponseWriter, r *http.Request) {
		must.True(t, Take(FromContext(r.Context()).Holder(), 1<<20))
		panic(http.ErrAbortHandler)
	})
	must.True(t, isClosed(s.connect(shortRequest)))
	eventually(t, func() bool { return s.budget.Used() == 0 })
}

// Guards against a client that reads nothing and blocks its goroutine for ever, with
// one large answer or with many pipelined requests.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	large := make([]byte, 32<<20)
	for name, c := range map[string]struct {
		request string
		handler http.HandlerFunc
	}{
		"large answer": {shortRequest, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(large) }},
		"pipelined": {strings.Repeat(shortRequest, 20000), func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(large[:4<<10])
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, 4<<20, 10, c.handler)
			conn, err := net.Dial("tcp", s.address)
			must.NoError(t, err)
			defer conn.Close()
			// The write may block too, since the server stops reading.
			go func() { _, _ = io.WriteString(conn, c.request) }()
			eventually(t, func() bool { return s.counters.Value(counterRefused, "write_stalled") == 1 })
			eventually(t, func() bool { return s.limiter.open.Load() == 0 })
		})
	}
}

// Guards against a client that is cut although it reads slowly but steadily. The
// kernel accepts more bytes only when much of its buffer is free, which takes
// longer than WriteStall here.
func TestSlowReaderIsServed(t *testing.T) {
	t.Parallel()
	const size = 16 << 20
	s := newTestServer(t, 4<<20, 10, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	conn := s.connect(shortRequest)
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	// 7 s at a slow rate, more than twice WriteStall, and the rest at once.
	buffer := make([]byte, 16<<10)
	read := 0
	for range 70 {
		time.Sleep(100 * time.Millisecond)
		n, err := io.ReadFull(conn, buffer)
		must.NoError(t, err)
		read += n
	}
	rest, err := io.Copy(io.Discard, io.LimitReader(conn, size-int64(read)))
	must.NoError(t, err)
	must.Eq(t, size, int64(read)+rest)
	must.Eq(t, 0, s.counters.Value(counterRefused, "write_stalled"))
}
