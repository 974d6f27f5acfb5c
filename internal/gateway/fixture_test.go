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
	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/clientconn"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) RequestInfo {
	ms, _ := strconv.Atoi(h.Get("Timeout-Ms"))
	last, _ := strconv.ParseInt(h.Get("Last-Event-Id"), 10, 64)
	info := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond, LastEventID: last}
	if part := h.Get("Parts"); part != "" {
		info.PromptParts = []scheduler.PromptPart{scheduler.ParsePromptPart(part)}
	}
	return info
}

func (testDialect) EndpointHeader(caller http.Header, info ForwardInfo) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Set("Organisation", info.Organisation)
	h.Set("Remaining-Ms", strconv.FormatInt(info.Remaining.Milliseconds(), 10))
	if info.LastEventID > 0 {
		h.Set("Last-Event-Id", strconv.FormatInt(info.LastEventID, 10))
	}
	return h
}

func (testDialect) InstanceHeader(caller http.Header, remaining time.Duration, lastEventID int64) http.Header {
	h := caller.Clone()
	h.Set("Timeout-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	if lastEventID > 0 {
		h.Set("Last-Event-Id", strconv.FormatInt(lastEventID, 10))
	}
	return h
}

func (testDialect) ParseAnswer(status int, h http.Header) AnswerInfo {
	return AnswerInfo{NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Instance: h.Get("Instance")}
}

func (testDialect) EndToEnd(name string) bool {
	return name == "Id" || name == "Key" || name == "Organisation" || name == "Remaining-Ms"
}

func (testDialect) RunsPath() string { return "/runs" }

func (testDialect) ParseRuns(body []byte) ([]string, int64, error) {
	return strings.Fields(string(body)), 0, nil
}

// testGateway is a gateway with a scheduler and raw TCP endpoints.
type testGateway struct {
	t       *testing.T
	handler *Handler
	loop    *Loop
	server  *httptest.Server
	// budget is that of the clients' memory.
	budget   *bytebudget.Budget
	counters *operator.Counters

	mu       sync.Mutex
	received []receivedRequest
	// listeners are those of the endpoints, by number.
	listeners []net.Listener
}

type receivedRequest struct {
	endpoint int
	*http.Request
	body string
}

// testIncarnation is that of the gateway's process, as other instances know it.
const testIncarnation = 7

func now() scheduler.Instant { return scheduler.Instant(boottime.Now()) }

// rawReply writes raw bytes as the answer to the nth request that the
// endpoints received, counted from 0. It returns whether to keep the
// connection open.
type rawReply func(conn net.Conn, nth int, r *http.Request) bool

func newTestGateway(t *testing.T, endpoints int, config *routing.Config, answer rawReply) *testGateway {
	return newTestGatewayWithMemory(t, 16<<20, endpoints, config, answer)
}

// newTestGatewayWithMemory returns a gateway whose clients may occupy memory bytes.
func newTestGatewayWithMemory(t *testing.T, memory int64, endpoints int, config *routing.Config, answer rawReply) *testGateway {
	s := &testGateway{t: t, counters: operator.NewCounters()}
	s.budget = bytebudget.New(bytebudget.Config{
		Bytes: memory, ReservedBytes: memory / 4, SmallBytes: clientconn.SmallBytes, StallAfter: 50 * time.Millisecond,
	})
	s.loop = NewLoop(scheduler.New(scheduler.Config{
		Address: "127.0.0.1:1", Zone: "z", Incarnation: 1, RandomSeed: 1,
		Bounds: scheduler.Bounds{Revocation: time.Hour, RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second},
	}, now()), now)
	s.handler = NewHandler(Config{
		Client:      endpoint.New(endpoint.Config{RequestIDHeader: "Id", AcceptCloseDelimited: true, ConnectTimeout: time.Second}),
		Instances:   endpoint.New(endpoint.Config{RequestIDHeader: "Id", ConnectTimeout: time.Second, Peers: true}),
		Incarnation: testIncarnation,
		Dialect:     testDialect{}, Now: now, Post: s.loop.Post, Log: logline.Discard(),
		Counters: s.counters, Budget: s.budget,
	})
	s.loop.AddEffectHandlers(s.handler.HandleEffect, func(e scheduler.Effect) bool {
		_, readsHistory := e.(scheduler.ReadHistory)
		return readsHistory
	})
	// The platform still has its whole history.
	s.loop.Post(scheduler.HistoryRead{Complete: true})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.loop.Serve(ctx) }()
	limiter := clientconn.New(clientconn.Config{
		Budget: s.budget, MaxConnections: 1000, WriteStall: 10 * time.Second, Counters: s.counters, Log: logline.Discard(),
	})
	s.server = httptest.NewUnstartedServer(s.handler)
	s.server.Listener = limiter.Listener(s.server.Listener, func() int { return s.handler.HeadBytes(16 << 10) })
	s.server.Config.ConnState, s.server.Config.ConnContext = limiter.ConnState, limiter.ConnContext
	s.server.Start()
	t.Cleanup(func() {
		s.server.Close()
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
	var changes []directory.Change
	for n := range endpoints {
		changes = append(changes, s.startEndpoint(n, answer))
	}
	if config != nil {
		s.publish(append(changes, directory.Change{Config: config})...)
		eventually(t, func() bool { return s.handler.table.Load() != nil })
	}
	return s
}

func (s *testGateway) publish(changes ...directory.Change) {
	s.loop.Post(scheduler.DirectoryRead{Update: directory.Update{
		ReadAt: boottime.Now(), Batch: directory.Batch{Changes: changes, Revision: 1},
	}})
}

func (s *testGateway) startEndpoint(n int, answer rawReply) directory.Change {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(s.t, err)
	s.t.Cleanup(func() { listener.Close() })
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveEndpoint(conn, n, answer)
		}
	}()
	return endpointEntry(n, listener.Addr().String())
}

// entry returns the entry of an endpoint that was started.
func (s *testGateway) entry(n int) directory.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpointEntry(n, s.listeners[n].Addr().String())
}

// entryAt returns the entry of an endpoint at an address.
func (s *testGateway) entryAt(address string) directory.Change { return endpointEntry(0, address) }

func endpointEntry(n int, address string) directory.Change {
	id := fmt.Sprintf("e%d", n)
	return directory.Change{EndpointID: id, Endpoint: &directory.Endpoint{
		ID: id, Service: "s", Address: address, Zone: "z", Slots: 4, Started: 1,
	}}
}

func configChange(c *routing.Config) directory.Change { return directory.Change{Config: c} }

func (s *testGateway) serveEndpoint(conn net.Conn, n int, answer rawReply) {
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
		nth := len(s.received)
		s.received = append(s.received, receivedRequest{n, r, string(body)})
		s.mu.Unlock()
		if !answer(conn, nth, r) {
			return
		}
	}
}

func (s *testGateway) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.received...)
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

// do sends a request and returns the answer with its complete body.
func (s *testGateway) do(change func(*http.Request)) (*http.Response, string, error) {
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

// replyWith returns a rawReply that writes text.
func replyWith(text string, keep bool) rawReply {
	return func(conn net.Conn, _ int, _ *http.Request) bool {
		_, err := io.WriteString(conn, text)
		return keep && err == nil
	}
}

// crashEndpoint resets the connection and stops listening, as an endpoint whose
// process ends.
func (s *testGateway) crashEndpoint(conn net.Conn, nth int, _ *http.Request) bool {
	s.mu.Lock()
	listener := s.listeners[s.received[nth].endpoint]
	s.mu.Unlock()
	_ = listener.Close()
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// replyInSequence uses the replies in order, one per request, and repeats the
// last.
func replyInSequence(replies ...rawReply) rawReply {
	return func(conn net.Conn, nth int, r *http.Request) bool {
		return replies[min(nth, len(replies)-1)](conn, nth, r)
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 6\r\n\r\nanswer"

const streamHead = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

const streamEnd = "0\r\n\r\n"
