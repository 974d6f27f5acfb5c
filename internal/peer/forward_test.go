package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

type peerKey struct{}

// serveForwarded serves the requests that peers forward to n.
func serveForwarded(t *testing.T, n *node, h http.HandlerFunc) {
	t.Helper()
	server := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		peer, _ := PeerOf(c)
		return context.WithValue(ctx, peerKey{}, peer)
	}}
	go func() { _ = server.Serve(n.ForwardListener()) }()
	t.Cleanup(func() { server.Close() })
}

func startPair(t *testing.T) (a, b *node) {
	t.Helper()
	a, b = start(t, 1, nil), start(t, 2, nil)
	a.Connect(b.address)
	a.AwaitEvents(t, "up 2 instance-2")
	b.AwaitEvents(t, "up 1 instance-1")
	return a, b
}

func newPost(t *testing.T, ctx context.Context, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer/v1/x", strings.NewReader(body))
	must.NoError(t, err)
	return req
}

func TestForwardStreamsResponse(t *testing.T) {
	a, b := startPair(t)
	next := make(chan string)
	serveForwarded(t, b, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "data: %s from %d\n", body, r.Context().Value(peerKey{}))
		w.(http.Flusher).Flush()
		for line := range next {
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		}
	})
	resp, err := a.RoundTripper(2).RoundTrip(newPost(t, t.Context(), "hello"))
	must.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	must.True(t, lines.Scan())
	must.Eq(t, "data: hello from 1", lines.Text())
	// Each line arrives before the next one is written.
	for i := range 50 {
		next <- fmt.Sprint("line ", i)
		must.True(t, lines.Scan())
		must.Eq(t, fmt.Sprint("line ", i), lines.Text())
	}
	close(next)
	must.False(t, lines.Scan())
	must.NoError(t, lines.Err())
	must.Eq(t, 1, a.Stats().ForwardsOpened)
	must.Eq(t, 1, b.Stats().ForwardsAccepted)
}

func TestForwardsAndFramesRunConcurrently(t *testing.T) {
	a, b := startPair(t)
	serveForwarded(t, b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, io.LimitReader(zeroReader{}, 8<<20))
	})
	// A response that is not read fills its own window only.
	stalled, err := a.RoundTripper(2).RoundTrip(newPost(t, t.Context(), ""))
	must.NoError(t, err)
	defer stalled.Body.Close()
	for i := range 3 {
		resp, err := a.RoundTripper(2).RoundTrip(newPost(t, t.Context(), ""))
		must.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.Eq(t, 8<<20, n)
		resp.Body.Close()
		must.True(t, b.Send(1, ask(uint64(i))))
		a.AwaitFrames(t, i+1)
	}
	n, err := io.Copy(io.Discard, stalled.Body)
	must.NoError(t, err)
	must.Eq(t, 8<<20, n)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

func TestCancelledForwardCancelsHandler(t *testing.T) {
	a, b := startPair(t)
	cancelled := make(chan struct{})
	serveForwarded(t, b, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := a.RoundTripper(2).RoundTrip(newPost(t, ctx, ""))
	must.NoError(t, err)
	cancel()
	resp.Body.Close()
	select {
	case <-cancelled:
	case <-time.After(peertest.MaxWait):
		t.Fatal("the handler was not cancelled")
	}
}

func TestForwardIsNotRetriedAndTruncatedResponseIsAnError(t *testing.T) {
	a, b := startPair(t)
	var calls atomic.Int64
	serveForwarded(t, b, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.URL.Path == "/cut" {
			fmt.Fprintln(w, "begun")
			w.(http.Flusher).Flush()
		}
		panic(http.ErrAbortHandler)
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		before := calls.Load()
		req, err := http.NewRequest(method, "http://peer/", http.NoBody)
		must.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		_, err = a.RoundTripper(2).RoundTrip(req)
		must.Error(t, err)
		must.Eq(t, before+1, calls.Load())
	}
	req, err := http.NewRequest(http.MethodGet, "http://peer/cut", http.NoBody)
	must.NoError(t, err)
	resp, err := a.RoundTripper(2).RoundTrip(req)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	resp.Body.Close()
}

func TestForwardWithoutSessionAndToPausedPeer(t *testing.T) {
	a := start(t, 1, nil)
	_, err := a.RoundTripper(9).RoundTrip(newPost(t, t.Context(), ""))
	must.ErrorIs(t, err, ErrNoSession)
	b := connectRawPeer(t, 7, a)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, func() bool { return a.Stats().ForwardsOpened > 0 })
		cancel()
	}()
	_, err = a.RoundTripper(7).RoundTrip(newPost(t, ctx, ""))
	must.ErrorIs(t, err, context.Canceled)
	close(b.resume)
}

func TestForwardsSurviveSessionReplacement(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	b.Connect(a.address)
	a.AwaitEvents(t, "up 2 instance-2")
	b.AwaitEvents(t, "up 1 instance-1")
	next := make(chan string)
	serveForwarded(t, b, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		for line := range next {
			fmt.Fprintln(w, line)
		}
	})
	resp, err := a.RoundTripper(2).RoundTrip(newPost(t, t.Context(), ""))
	must.NoError(t, err)
	forceDial(t, a, b.address)
	eventually(t, func() bool {
		a.Transport.mu.Lock()
		defer a.Transport.mu.Unlock()
		return len(a.links[2].sessions) == 2 && a.links[2].sessions[0].draining
	})
	next <- "after"
	close(next)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "after\n", string(body))
	resp.Body.Close()
	eventually(t, func() bool { return a.Stats().Sessions == 1 && b.Stats().Sessions == 1 })
	must.Len(t, 1, a.Events())
	must.Len(t, 1, b.Events())
}
