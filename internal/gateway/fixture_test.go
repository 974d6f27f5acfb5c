package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// plain is a Dialect of short names.
type plain struct{}

func (plain) CallerHead(h http.Header) RequestInfo {
	ms, _ := strconv.Atoi(h.Get("Patience-Ms"))
	last, _ := strconv.ParseInt(h.Get("Last-Event-Id"), 10, 64)
	return RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Patience: time.Duration(ms) * time.Millisecond, LastEvent: last}
}

func (plain) EndpointHeader(caller http.Header, send Send) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Set("Organisation", send.Organisation)
	h.Set("Left-Ms", strconv.FormatInt(send.Left.Milliseconds(), 10))
	if send.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.FormatInt(send.LastEvent, 10))
	}
	return h
}

func (plain) AnswerHead(status int, h http.Header) AnswerHead {
	return AnswerHead{NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

// site is a gateway with its scheduler and raw endpoints.
type site struct {
	t       *testing.T
	handler *Handler
	loop    *Loop
	server  *httptest.Server

	mu   sync.Mutex
	seen []seenRequest
}

type seenRequest struct {
	endpoint int
	*http.Request
	body string
}

func now() scheduler.Instant { return scheduler.Instant(boottime.Now()) }

// reply writes raw bytes as the answer to the nth request that the site's
// endpoints got, counted from 0. It returns whether to keep the connection.
type reply func(conn net.Conn, nth int, r *http.Request) bool

func newSite(t *testing.T, endpoints int, config *routing.Config, answer reply) *site {
	s := &site{t: t}
	s.loop = NewLoop(scheduler.New(scheduler.Config{
		Address: "127.0.0.1:1", Zone: "z", Incarnation: 1, Seed: 1,
		Bounds: scheduler.Bounds{Revocation: time.Hour, RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second},
	}, now()), now)
	s.handler = NewHandler(Config{
		Client:  endpoint.New(endpoint.Config{RequestIDHeader: "Id", AcceptClose: true, ConnectTimeout: time.Second}),
		Dialect: plain{}, Now: now, Post: s.loop.Post, Log: logline.Discard(),
		Counters: operator.NewCounters(), BodiesBytes: 1 << 20,
	})
	s.loop.Use(s.handler.Carry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.loop.Serve(ctx) }()
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(func() {
		s.server.Close()
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
	var changes []directory.Change
	for n := range endpoints {
		changes = append(changes, s.endpoint(n, answer))
	}
	if config != nil {
		s.publish(append(changes, directory.Change{Config: config})...)
		eventually(t, func() bool { return s.handler.table.Load() != nil })
	}
	return s
}

func (s *site) publish(changes ...directory.Change) {
	s.loop.Post(scheduler.DirectoryRead{Update: directory.Update{
		Asked: boottime.Now(), Batch: directory.Batch{Changes: changes, Revision: 1},
	}})
}

func (s *site) endpoint(n int, answer reply) directory.Change {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(s.t, err)
	s.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveEndpoint(conn, n, answer)
		}
	}()
	id := fmt.Sprintf("e%d", n)
	return directory.Change{EndpointID: id, Endpoint: &directory.Endpoint{
		ID: id, Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 4, Started: 1,
	}}
}

func (s *site) serveEndpoint(conn net.Conn, n int, answer reply) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		nth := len(s.seen)
		s.seen = append(s.seen, seenRequest{n, r, string(body)})
		s.mu.Unlock()
		if !answer(conn, nth, r) {
			return
		}
	}
}

func (s *site) requests() []seenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seenRequest(nil), s.seen...)
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition never held")
}

func config(change func(*routing.Route)) *routing.Config {
	r := routing.Route{
		Name: "r", Host: "h.example", Prefix: "/x/", Kind: routing.Safe, MaxAttempts: 2,
		Target: 20 * time.Second, Timeout: 20 * time.Second, Split: []routing.Share{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return &routing.Config{
		Version: 1, Routes: []routing.Route{r},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{"k"}}},
	}
}

// do sends a request and returns the answer with its whole body.
func (s *site) do(change func(*http.Request)) (*http.Response, string, error) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/x/1?q=%2F", strings.NewReader("question"))
	must.NoError(s.t, err)
	r.Host = "h.example"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	if change != nil {
		change(r)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// write returns a reply of raw bytes.
func write(text string, keep bool) reply {
	return func(conn net.Conn, _ int, _ *http.Request) bool {
		_, err := io.WriteString(conn, text)
		return keep && err == nil
	}
}

// inTurn answers the first request by the first reply, and so on; the last one
// answers all that follow.
func inTurn(replies ...reply) reply {
	return func(conn net.Conn, nth int, r *http.Request) bool {
		return replies[min(nth, len(replies)-1)](conn, nth, r)
	}
}

const ok = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 6\r\n\r\nanswer"

const streamHead = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

const streamEnd = "0\r\n\r\n"
