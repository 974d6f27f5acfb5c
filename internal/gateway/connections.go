package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connectionCheckInterval is the interval between checks of callers'
	// connections, and with it the precision of their limits, which are
	// several seconds.
	connectionCheckInterval = time.Second
	// lateCheckThreshold is the delay of a check above which the process
	// counts as having been suspended. Such a check is skipped, so that data
	// which callers sent in the meantime is read first.
	lateCheckThreshold = 500 * time.Millisecond
)

// Connections closes callers' connections that stay idle, or do not send a
// complete request header, for longer than the configuration allows. It is a
// suture service.
type Connections struct {
	handler *Handler

	mu sync.Mutex
	// tracked holds the connections without a request in progress.
	tracked map[net.Conn]connectionState
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

// maxUnknownHeadBytes limits a request's head before the first configuration.
const maxUnknownHeadBytes = 64 << 10

// HeadBytes returns the number of bytes of a request's head that is read at most:
// the configuration's limit on header fields and slack for the rest.
func (h *Handler) HeadBytes(slack int) int {
	table := h.table.Load()
	if table == nil || table.Limits().HeaderBytes <= 0 {
		return maxUnknownHeadBytes
	}
	return table.Limits().HeaderBytes + slack
}

// NewConnections returns a Connections that applies the limits of handler's
// current configuration.
func NewConnections(handler *Handler) *Connections {
	return &Connections{handler: handler, tracked: map[net.Conn]connectionState{}}
}

// Track is the ConnState hook of the callers' server.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.tracked[conn] = connectionState{state, time.Now()}
	default:
		delete(c.tracked, conn)
	}
}

// Serve closes connections over their limit until ctx is done.
func (c *Connections) Serve(ctx context.Context) error {
	tick := time.NewTicker(connectionCheckInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) <= connectionCheckInterval+lateCheckThreshold {
			c.closeExpired(now)
		}
		last = now
	}
}

// CloseUnused closes the connections on which nothing was received for age since they
// were opened. Their callers can send the request elsewhere.
func (c *Connections) CloseUnused(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.tracked {
		if w.state == http.StateNew && time.Since(w.since) > age {
			delete(c.tracked, conn)
			// Close fails only if the connection is already closed.
			_ = conn.Close()
		}
	}
}

func (c *Connections) closeExpired(now time.Time) {
	table := c.handler.table.Load()
	if table == nil {
		return
	}
	limits := table.Limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.tracked {
		limit := limits.IdleTimeout
		if w.state == http.StateNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			delete(c.tracked, conn)
			c.handler.cfg.Counters.Add("routed_connections_closed_total", w.state.String(), 1)
			// Close fails only if the connection is already closed.
			_ = conn.Close()
		}
	}
}
