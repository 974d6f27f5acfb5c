// Package clientconn bounds what the connections of clients occupy: their
// number, the bytes of the request heads that are being read, and the time for
// which a client that reads nothing blocks a write. It carries out the decisions
// of a bytebudget.Budget. Reaching a limit closes one connection and never stops
// the listener.
package clientconn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"golang.org/x/time/rate"
)

const (
	// ConnectionBytes is what one connection counts: its goroutine, its buffers of
	// net/http and a request with a short head and no body.
	ConnectionBytes = 24 << 10
	// SmallBytes is the size up to which a connection with its request counts as
	// small. It includes a body of 64 KiB while its buffer grows.
	SmallBytes = ConnectionBytes + 100<<10
	// evictionWait bounds the wait for evicted connections to close.
	evictionWait = 250 * time.Millisecond
	// evictionPoll is the interval of checks whether they have closed.
	evictionPoll = 2 * time.Millisecond
	// The number of connections may exceed its limit by limit/overshoot and
	// minOvershoot while evicted connections close, which takes a moment.
	overshoot    = 8
	minOvershoot = 8
	// acceptWait bounds the wait for evicted connections before another one is
	// accepted.
	acceptWait = 20 * time.Millisecond
	// logsPerSecond and logBurst limit the log lines about connections.
	logsPerSecond = 5
	logBurst      = 50
)

// Counter names. All are labelled by reason.
const (
	counterEvicted = "routed_clients_evicted_total"
	counterRefused = "routed_clients_refused_total"
)

// Config configures a Limiter.
type Config struct {
	Budget *bytebudget.Budget
	// MaxConnections limits the open connections of all listeners.
	MaxConnections int
	// WriteStall bounds the time for which a write may make no progress.
	WriteStall time.Duration
	Counters   *operator.Counters
	Log        *logline.Logger
}

// Limiter limits the connections of several listeners together.
type Limiter struct {
	cfg        Config
	open       atomic.Int64
	logLimiter *rate.Limiter
}

// New returns a Limiter without connections.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, logLimiter: rate.NewLimiter(logsPerSecond, logBurst)}
	cfg.Counters.Publish("routed_client_connections", func() any { return l.open.Load() })
	cfg.Counters.Publish("routed_client_memory_bytes", func() any { return cfg.Budget.Used() })
	return l
}

// Listener returns a listener whose connections are limited. headBytes returns
// the number of bytes of a request's head that is read at most.
func (l *Limiter) Listener(inner net.Listener, headBytes func() int) net.Listener {
	return &listener{Listener: inner, limiter: l, headBytes: headBytes}
}

type listener struct {
	net.Listener
	limiter   *Limiter
	headBytes func() int
}

// Accept implements net.Listener. It closes connections over the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(inner, l.headBytes); c != nil {
			return c, nil
		}
	}
}

// admit returns nil if the connection was closed because there are too many.
func (l *Limiter) admit(inner net.Conn, headBytes func() int) *Conn {
	now := time.Now()
	c := &Conn{Conn: inner, limiter: l, headBytes: headBytes}
	c.readsHead.Store(true)
	c.holder = l.cfg.Budget.Add(remoteIP(inner), c, now)
	limit := int64(l.cfg.MaxConnections)
	if l.open.Add(1) <= limit {
		return c
	}
	if victim := l.cfg.Budget.EvictOldest(c.holder, now); victim != nil {
		victim.Owner().Evict()
		if l.awaitClosed(limit + limit/overshoot + minOvershoot) {
			return c
		}
	}
	l.refused(c, "connections")
	// Close fails only if the connection is already closed.
	_ = c.Close()
	return nil
}

// awaitClosed waits until no more than limit connections are open, and reports
// whether that is so within a short time.
func (l *Limiter) awaitClosed(limit int64) bool {
	for end := time.Now().Add(acceptWait); l.open.Load() > limit; time.Sleep(evictionPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func remoteIP(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Take takes n bytes for a holder. It evicts others if necessary, and then waits
// for a short time until they have closed.
func Take(h *bytebudget.Holder, n int64) bool {
	now := time.Now()
	for end := now.Add(evictionWait); ; now = time.Now() {
		result, victims := h.Take(n, now)
		if result != bytebudget.Wait {
			return result == bytebudget.Taken
		}
		for _, v := range victims {
			v.Owner().Evict()
		}
		if now.After(end) {
			return false
		}
		time.Sleep(evictionPoll)
	}
}

// refused counts and logs the refusal of a request or a connection.
func (l *Limiter) refused(c *Conn, reason string) {
	l.cfg.Counters.Add(counterRefused, reason, 1)
	l.log("client_refused", c, reason)
}

func (l *Limiter) log(event string, c *Conn, reason string) {
	if !l.logLimiter.Allow() {
		l.cfg.Counters.Add("routed_log_lines_dropped_total", "", 1)
		return
	}
	l.cfg.Log.Info(event, "client", c.RemoteAddr().String(), "reason", reason, "held_bytes", c.holder.Bytes(),
		"head_bytes", c.headRead.Load(), "memory_bytes", l.cfg.Budget.Used(), "memory_limit_bytes", l.cfg.Budget.Bytes(),
		"connections", l.open.Load(), "connections_limit", l.cfg.MaxConnections)
}

// ConnState is a ConnState hook of an http.Server. It ignores other connections
// than those of l.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headEnded()
	case http.StateIdle:
		c.requestEnded()
	}
}

type contextKey struct{}

// ConnContext is a ConnContext hook of an http.Server. FromContext returns the
// connection of a request.
func (l *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if it has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
