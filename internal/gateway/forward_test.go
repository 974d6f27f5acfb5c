package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// closedPort is an address at which nothing listens.
func closedPort(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// newCutGateway returns a gateway that reaches none of its endpoints, and another one
// that reaches its own, of which the first has reports.
func newCutGateway(t *testing.T, c *routing.Config, answer rawReply) (cut, peer *testGateway) {
	peer = newTestGateway(t, 2, c, answer)
	cut = newTestGateway(t, 0, nil, nil)
	for n := range 2 {
		change := peer.entry(n)
		entry := *change.Endpoint
		entry.Address = closedPort(t)
		change.Endpoint = &entry
		cut.publish(change)
	}
	cut.publish(configChange(c))
	cut.addInstance(peer, testIncarnation)
	eventually(t, func() bool { return cut.handler.table.Load() != nil })
	return cut, peer
}

// addInstance lets a gateway know another one, which reports once a moment.
func (s *testGateway) addInstance(peer *testGateway, incarnation uint64) (address string) {
	return s.addInstanceWith(peer.handler.ServeForwarded, incarnation)
}

func (s *testGateway) addInstanceWith(serve http.HandlerFunc, incarnation uint64) (address string) {
	instances := httptest.NewServer(serve)
	s.t.Cleanup(instances.Close)
	address = strings.TrimPrefix(instances.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	report := func(n uint64) {
		s.loop.Post(scheduler.PeerReported{Report: scheduler.Report{Incarnation: incarnation, Sequence: n, Address: address, Zone: "z"}})
	}
	report(1)
	go func() {
		for n := uint64(2); ctx.Err() == nil; n++ {
			time.Sleep(50 * time.Millisecond)
			report(n)
		}
	}()
	return address
}

// Guards against a request that fails although another instance reaches an endpoint:
// it arrives there as its caller sent it, with the time that is left, and the caller
// gets the endpoint's answer without a header of the instances.
func TestRequestOfAnInstanceWithoutPathsIsForwarded(t *testing.T) {
	cut, peer := newCutGateway(t, config(nil), replyWith(okAnswer, true))
	response, body, err := cut.do(func(r *http.Request) {
		r.Header.Set("Timeout-Ms", "5000")
		r.Header.Set(headerForwardTo, strconv.FormatUint(testIncarnation, 16))
		r.Header.Set(headerTried, "e0,e1")
	})
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.Eq(t, "answer", body)
	must.Eq(t, "s", response.Header.Get("Stamp"))
	for name := range response.Header {
		must.False(t, strings.HasPrefix(name, "Instance-"), must.Sprint(name))
	}
	must.Len(t, 1, peer.requests())
	got := peer.requests()[0]
	must.Eq(t, "question", got.body)
	must.Eq(t, "/x/1?q=%2F", got.URL.RequestURI())
	must.Eq(t, "h.example", got.Host)
	must.Eq(t, "id-1", got.Header.Get("Id"))
	must.Eq(t, "org", got.Header.Get("Organisation"))
	must.Eq(t, "", got.Header.Get("Key"))
	remaining, err := strconv.Atoi(got.Header.Get("Remaining-Ms"))
	must.NoError(t, err)
	must.Between(t, 1, remaining, 5000)
	for name := range got.Header {
		must.False(t, strings.HasPrefix(name, "Instance-"), must.Sprint(name))
	}
}

// Guards against a caller, or a process that has taken the place of another one, that
// uses the way between instances: only the receiving process's incarnation opens it.
func TestForwardedRequestNeedsTheIncarnation(t *testing.T) {
	s := newTestGateway(t, 1, config(nil), replyWith(okAnswer, true))
	instances := httptest.NewServer(http.HandlerFunc(s.handler.ServeForwarded))
	defer instances.Close()
	for _, to := range []string{"", "8", "x", "0"} {
		r, err := http.NewRequest(http.MethodGet, instances.URL+"/x/1", nil)
		must.NoError(t, err)
		r.Host = "h.example"
		r.Header.Set("Key", "k")
		r.Header.Set(headerForwardTo, to)
		response, err := http.DefaultTransport.RoundTrip(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, reasonWrongIncarnation, response.Header.Get(headerRefused))
		must.Eq(t, "1", response.Header.Get(headerNotRun))
		must.NoError(t, response.Body.Close())
	}
	must.SliceEmpty(t, s.requests())
}

// Guards against a refusal of an endpoint without a statement that an earlier version
// passes on: the request has run there.
func TestUnprovenRefusalOfEarlierVersionIsNotPassedOn(t *testing.T) {
	s := newTestGateway(t, 0, nil, nil)
	entry := s.entryAt(closedPort(t))
	s.publish(entry, configChange(config(func(r *routing.Route) { r.Kind = routing.Unsafe })))
	s.addInstanceWith(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set(headerEndpoint, entry.EndpointID)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, testIncarnation)
	eventually(t, func() bool { return s.handler.table.Load() != nil })
	eventually(t, func() bool {
		response, _, err := s.do(nil)
		must.NoError(t, err)
		forwarded := s.counters.Value(counterUnprovenRefusals, "503") > 0
		if forwarded {
			must.Eq(t, http.StatusBadGateway, response.StatusCode)
		}
		return forwarded
	})
}

// Guards against an unsafe request that runs twice: once it was sent to another
// instance, whose connection then breaks, it may have run.
func TestUnsafeRequestIsForwardedOnce(t *testing.T) {
	c := config(func(r *routing.Route) { r.Kind = routing.Unsafe })
	cut, peer := newCutGateway(t, c, replyWith("", false))
	response, _, err := cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Len(t, 1, peer.requests())

	// A process that breaks the connection itself.
	cut, _ = newCutGateway(t, c, replyWith(okAnswer, true))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	received := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				received <- struct{}{}
			}
			_ = conn.Close()
		}
	}()
	alone := newTestGateway(t, 0, nil, nil)
	entry := cut.entryAt(closedPort(t))
	alone.publish(entry, configChange(c))
	for n := range uint64(50) {
		alone.loop.Post(scheduler.PeerReported{Report: scheduler.Report{Incarnation: 9, Sequence: n + 1, Address: listener.Addr().String(), Zone: "z"}})
	}
	eventually(t, func() bool { return alone.handler.table.Load() != nil })
	response, _, err = alone.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, 1, len(received))
}

// Guards against a safe request that is lost with the instance that forwarded it, and
// against more attempts than the route allows over both instances.
func TestAttemptsAreCountedOverInstances(t *testing.T) {
	cut, peer := newCutGateway(t, config(nil), replyInSequence(replyWith("", false), replyWith(okAnswer, true)))
	response, _, err := cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, 200, response.StatusCode)
	must.Len(t, 2, peer.requests())
	must.NotEq(t, peer.requests()[0].endpoint, peer.requests()[1].endpoint)

	cut, peer = newCutGateway(t, config(nil), replyWith("", false))
	response, _, err = cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Len(t, 2, peer.requests())
}

// Guards against a stream that is buffered on its way between instances, and against
// events that are lost or repeated when it breaks: it goes on after the last one.
func TestForwardedStreamGoesOnEventByEvent(t *testing.T) {
	c := config(func(r *routing.Route) { r.Kind, r.Resumable = routing.Stream, true })
	held := make(chan struct{})
	cut, peer := newCutGateway(t, c, func(conn net.Conn, nth int, r *http.Request) bool {
		if nth == 0 {
			_, _ = io.WriteString(conn, streamHead+chunk(event(1))+chunk(event(2)))
			<-held
			return false
		}
		_, _ = io.WriteString(conn, streamHead+chunk(event(3))+streamEnd)
		return true
	})
	r, err := http.NewRequest(http.MethodPost, cut.server.URL+"/x/1", nil)
	must.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	response, err := http.DefaultTransport.RoundTrip(r)
	must.NoError(t, err)
	defer response.Body.Close()
	first := make([]byte, len(event(1)+event(2)))
	_, err = io.ReadFull(response.Body, first)
	must.NoError(t, err)
	must.Eq(t, event(1)+event(2), string(first))
	close(held)
	rest, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, event(3), string(rest))
	must.Len(t, 2, peer.requests())
	must.Eq(t, "2", peer.requests()[1].Header.Get("Last-Event-Id"))
}

// Guards against an endpoint that works on for a caller who has left the instance
// that forwards the request.
func TestCallerThatLeavesEndsAForwardedRequest(t *testing.T) {
	ended := make(chan struct{})
	cut, peer := newCutGateway(t, config(nil), func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, cut.server.URL+"/x/1", nil)
	must.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	eventually(t, func() bool { return len(peer.requests()) == 1 })
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still works on the request")
	}
	eventually(t, func() bool { return cut.handler.InFlight() == 0 && peer.handler.InFlight() == 0 })
}

// Guards against a request that an instance takes from another one although it stops:
// it says at once that the request has not run, and the caller is told so.
func TestStoppingInstanceTakesNoForwardedRequest(t *testing.T) {
	c := config(func(r *routing.Route) { r.Target = 500 * time.Millisecond })
	cut, peer := newCutGateway(t, c, replyWith(okAnswer, true))
	peer.handler.Drain()
	response, _, err := cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.SliceEmpty(t, peer.requests())
}

// Guards against a request that is decided by an older configuration than that of the
// instance which its caller reached: it would run at a service that its route has left.
func TestInstanceWithOlderConfigurationRefusesForwardedRequests(t *testing.T) {
	old := config(func(r *routing.Route) { r.Target = time.Second })
	cut, peer := newCutGateway(t, old, replyWith(okAnswer, true))
	newer := config(func(r *routing.Route) {
		r.Target, r.Split = time.Second, []routing.Share{{Service: "moved", Weight: 1}}
	})
	newer.Version = 2
	elsewhere := endpointEntry(7, closedPort(t))
	elsewhere.Endpoint.Service = "moved"
	cut.publish(elsewhere, configChange(newer))
	eventually(t, func() bool { return cut.handler.table.Load().Version() == 2 })
	response, _, err := cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.SliceEmpty(t, peer.requests())

	moved := peer.startEndpoint(7, replyWith(okAnswer, true))
	moved.Endpoint.Service = "moved"
	peer.publish(moved, configChange(newer))
	eventually(t, func() bool { return peer.handler.table.Load().Version() == 2 })
	response, _, err = cut.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Len(t, 1, peer.requests())
	must.Eq(t, 7, peer.requests()[0].endpoint)
}
