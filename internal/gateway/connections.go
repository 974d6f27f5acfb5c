package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// sweepInterval is the time between two looks at callers' connections, and
	// with it the precision of their limits, which are of several seconds.
	sweepInterval = time.Second
	// lateSweep is the delay of a sweep from which on the process counts as
	// having been suspended. What callers sent meanwhile is read first.
	lateSweep = 500 * time.Millisecond
)

// Connections closes callers' connections that stay idle, or send no whole
// head, for longer than the configuration allows. It is a suture service.
type Connections struct {
	handler *Handler

	mu sync.Mutex
	// waiting holds the connections with no request in progress.
	waiting map[net.Conn]connWait
}

type connWait struct {
	state http.ConnState
	since time.Time
}

// NewConnections returns a Connections that takes its limits from the
// configuration in force at handler.
func NewConnections(handler *Handler) *Connections {
	return &Connections{handler: handler, waiting: map[net.Conn]connWait{}}
}

// Track is the ConnState hook of the callers' server.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.waiting[conn] = connWait{state, time.Now()}
	default:
		delete(c.waiting, conn)
	}
}

// Serve closes connections over their limit until ctx ends.
func (c *Connections) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) <= sweepInterval+lateSweep {
			c.sweep(now)
		}
		last = now
	}
}

func (c *Connections) sweep(now time.Time) {
	table := c.handler.table.Load()
	if table == nil {
		return
	}
	limits := table.Limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.waiting {
		limit := limits.IdleTimeout
		if w.state == http.StateNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			delete(c.waiting, conn)
			c.handler.cfg.Counters.Add("routed_connections_closed_total", w.state.String(), 1)
			// A failure means that the connection is closed already.
			_ = conn.Close()
		}
	}
}
