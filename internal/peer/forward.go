package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
)

const (
	maxResponseHeaderBytes = 64 << 10
	forwardNetwork         = "peer"
)

// ErrNoSession reports that there is no session to the peer. No byte of the
// request was sent.
var ErrNoSession = errors.New("peer: no session to the peer")

// RoundTripper returns a RoundTripper that sends each request to a peer once,
// on a new stream. It neither reuses streams nor retries. Its error is
// ErrNoSession if no byte of the request was sent because there is no session.
func (t *Transport) RoundTripper(to uint64) http.RoundTripper {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return t.openStreamTo(ctx, to)
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (t *Transport) openStreamTo(ctx context.Context, to uint64) (net.Conn, error) {
	t.mu.Lock()
	var s *session
	if l := t.links[to]; l != nil {
		s = l.current()
	}
	t.mu.Unlock()
	if s == nil {
		return nil, ErrNoSession
	}
	return s.openStream(ctx)
}

// ForwardListener returns the listener for requests that peers forward, for use by an
// http.Server. PeerOf identifies the sender of its connections. Only the Close
// method of the listener closes it; it stays open after Serve returns.
func (t *Transport) ForwardListener() net.Listener { return t.forwarded }

// PeerOf returns the incarnation of the peer that opened conn, which is a
// connection of ForwardListener. It reports false for any other connection.
func PeerOf(conn net.Conn) (uint64, bool) {
	c, ok := conn.(*streamConn)
	if !ok {
		return 0, false
	}
	return c.session.peer, true
}

// streamConn is the stream of one forwarded request.
type streamConn struct {
	*yamux.Stream
	session *session
	limit   *semaphore.Weighted
	once    sync.Once
}

// Close closes the stream in both directions. The remote end can still read
// data that was written before.
func (c *streamConn) Close() error {
	err := c.Stream.Close()
	c.once.Do(func() { c.limit.Release(1) })
	return err
}

// forwardListener passes the streams of forwarded requests to an http.Server.
type forwardListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newForwardListener(address string) *forwardListener {
	return &forwardListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer waits until conn is accepted. It reports false if the listener is
// closed or the session ends first.
func (l *forwardListener) offer(conn net.Conn, ended <-chan struct{}) bool {
	select {
	case l.conns <- conn:
		return true
	case <-ended:
		return false
	case <-l.closed:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed.
func (l *forwardListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *forwardListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that peers connect to.
func (l *forwardListener) Addr() net.Addr { return forwardAddr(l.address) }

type forwardAddr string

// Network returns the name of the network.
func (forwardAddr) Network() string { return forwardNetwork }

// String returns the listening address of the Transport.
func (a forwardAddr) String() string { return string(a) }
