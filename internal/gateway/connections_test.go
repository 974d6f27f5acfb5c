package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func newTestConnections(limits routing.Limits) *Connections {
	h := NewHandler(Config{Counters: operator.NewCounters()})
	if limits != (routing.Limits{}) {
		h.table.Store(routing.NewTable(routing.Config{Version: 1, Limits: limits}))
	}
	return NewConnections(h)
}

func isClosed(t *testing.T, conn net.Conn) bool {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	return err != nil
}

// Callers keep many connections open and use few of them.
func TestIdleConnectionsAreClosedAfterIdleTimeout(t *testing.T) {
	c := newTestConnections(routing.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second})
	idle, peer := net.Pipe()
	defer peer.Close()
	go func() { _, _ = peer.Read(make([]byte, 1)) }()
	c.Track(idle, http.StateNew)
	c.Track(idle, http.StateActive)
	c.Track(idle, http.StateIdle)
	now := time.Now()
	c.closeExpired(now.Add(14 * time.Second))
	must.MapLen(t, 1, c.tracked)
	c.closeExpired(now.Add(16 * time.Second))
	must.MapEmpty(t, c.tracked)
	must.True(t, isClosed(t, idle))
}

func TestActiveConnectionsAreNotClosed(t *testing.T) {
	c := newTestConnections(routing.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
	used, peer := net.Pipe()
	defer peer.Close()
	c.Track(used, http.StateNew)
	c.Track(used, http.StateActive)
	c.closeExpired(time.Now().Add(time.Hour))
	go func() { _, _ = peer.Read(make([]byte, 1)) }()
	must.False(t, isClosed(t, used))
}

func TestConnectionsAreClosedAfterHeaderTimeout(t *testing.T) {
	c := newTestConnections(routing.Limits{IdleTimeout: time.Hour, HeaderTimeout: 3 * time.Second})
	silent, peer := net.Pipe()
	defer peer.Close()
	c.Track(silent, http.StateNew)
	c.closeExpired(time.Now().Add(4 * time.Second))
	must.MapEmpty(t, c.tracked)
}

func TestNoLimitsBeforeFirstConfiguration(t *testing.T) {
	c := newTestConnections(routing.Limits{})
	conn, peer := net.Pipe()
	defer peer.Close()
	c.Track(conn, http.StateNew)
	c.closeExpired(time.Now().Add(time.Hour))
	must.MapLen(t, 1, c.tracked)
}

// A caller's header exceeds the size that the configuration allows.
func TestOversizedHeadersAreRefused(t *testing.T) {
	c := config(nil)
	c.Limits.HeaderBytes = 2048
	s := newTestGateway(t, 1, c, replyWith(okAnswer, true))
	response, _, err := s.do(func(r *http.Request) { r.Header.Set("Filler", strings.Repeat("x", 2048)) })
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	must.SliceEmpty(t, s.requests())
	response, _, err = s.do(nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}
