// Package endpoint is the HTTP/1.1 client for model engines and plain services.
// It writes each request to the network at most once: Connect obtains a
// connection without writing to it, and each connection has its own transport,
// which cannot dial another. net/http therefore cannot retry a request on its
// own.
package endpoint

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	DefaultConnectTimeout  = 2 * time.Second
	DefaultIdleTimeout     = 30 * time.Second
	DefaultIdlePerEndpoint = 16
	DefaultIdleTotal       = 256
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultMaxEventBytes   = 1 << 20
)

// ErrClosed is returned when a closed Client is used.
var ErrClosed = errors.New("endpoint client is closed")

// ErrRefused means that nothing listens at the endpoint's address.
var ErrRefused = errors.New("endpoint refused the connection")

// Config holds the settings of a Client. A zero field means its default.
type Config struct {
	// ConnectTimeout limits the time to establish a TCP connection.
	ConnectTimeout time.Duration
	// HeaderTimeout limits the time from the end of the request to the header
	// of the answer. With zero only the context of the call limits it.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// IdlePerEndpoint and IdleTotal limit the number of idle connections.
	IdlePerEndpoint int
	IdleTotal       int
	// MaxHeaderBytes limits the header of an answer.
	MaxHeaderBytes int64
	// MaxEventBytes limits the size of one server-sent event.
	MaxEventBytes int
	// RequestIDHeader is the header that carries the request ID in requests and
	// answers.
	RequestIDHeader string
	// AcceptCloseDelimited accepts close-delimited answers: an answer without a
	// Content-Length and without chunked encoding counts as complete when the
	// endpoint closes the connection in an orderly way.
	AcceptCloseDelimited bool
	// AckTimeout, if set, closes a connection whose peer acknowledges
	// nothing for that long, whether or not data is in flight.
	AckTimeout time.Duration
	// EndToEnd, if set, names the headers of answers that are kept although the
	// Connection header lists them.
	EndToEnd func(name string) bool
	// Peers is set if the endpoints are other instances (attribution.Head.Peer).
	Peers bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.IdlePerEndpoint, DefaultIdlePerEndpoint)
	setDefault(&c.IdleTotal, DefaultIdleTotal)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxEventBytes, DefaultMaxEventBytes)
	setDefault(&c.RequestIDHeader, HeaderRequestID)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client opens connections to endpoints and pools idle ones for reuse. It is
// safe for concurrent use.
type Client struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	closed bool
	// idle holds the idle connections by address, the oldest first.
	idle      map[string][]*pooledConn
	idleCount int
	// singleUse holds the addresses whose connections carry one request each, with
	// the time until which they do.
	singleUse map[string]time.Time
}

// New returns a Client. It opens no connection. Bytes that an endpoint sends
// after the end of its answer are dropped, but net/http writes them to the
// standard logger: a process that must not log answers has to discard the
// output of that logger.
func New(config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		dialer: newDialer(config),
		idle:   make(map[string][]*pooledConn),

		singleUse: make(map[string]time.Time),
	}
}

// Connect returns a pooled or new connection to address, which is an IP address
// with a port. It writes nothing to the connection, so an error means that no
// byte was sent.
func (c *Client) Connect(ctx context.Context, address string) (*Conn, error) {
	for {
		p, err := c.takeIdle(address)
		if err != nil {
			return nil, err
		}
		if p == nil {
			return c.dial(ctx, address)
		}
		if p.conn.usable() {
			return &Conn{client: c, pooled: p, reused: true}, nil
		}
		p.discard()
	}
}

// ConnectNew returns a new connection to address, on which no answer to an earlier request
// can arrive. The error is the one of Connect.
func (c *Client) ConnectNew(ctx context.Context, address string) (*Conn, error) {
	return c.dial(ctx, address)
}

// singleUsePeriod is how long the connections to an address carry one request each after
// an answer on one of them belonged to no request. A refusal on a new connection can be
// believed even if it names no request.
const singleUsePeriod = 10 * time.Second

// retire closes the idle connections to an address and does not reuse others for
// singleUsePeriod.
func (c *Client) retire(address string) {
	now := time.Now()
	c.mu.Lock()
	for a, until := range c.singleUse {
		if now.After(until) {
			delete(c.singleUse, a)
		}
	}
	c.singleUse[address] = now.Add(singleUsePeriod)
	idle := append([]*pooledConn(nil), c.idle[address]...)
	for _, p := range idle {
		c.removeLocked(p)
	}
	c.mu.Unlock()
	for _, p := range idle {
		p.expiry.Stop()
		p.discard()
	}
}

// Probe opens a new connection to address and keeps it for a later request. The
// error is the one of Connect.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	conn.Close()
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (*Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrapf(err, "endpoint address %q is not an IP address with a port", address)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, wrapCause(ErrRefused, err)
		}
		return nil, errors.Wrap(err, "connecting to endpoint")
	}
	return &Conn{client: c, pooled: newPooledConn(c, address, raw)}, nil
}

// Close closes the idle connections. Connections in use stay open until their
// exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.idleCount = 0
	c.mu.Unlock()
	for _, conns := range idle {
		for _, p := range conns {
			p.expiry.Stop()
			p.discard()
		}
	}
}

// takeIdle removes and returns the most recently used idle connection to
// address, or returns nil if there is none.
func (c *Client) takeIdle(address string) (*pooledConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil, nil
	}
	p := conns[len(conns)-1]
	c.removeLocked(p)
	p.expiry.Stop()
	return p, nil
}

// putIdle returns p to the pool. It discards p if p is dead or the pool is
// full.
func (c *Client) putIdle(p *pooledConn) {
	p.conn.reset()
	c.mu.Lock()
	full := c.closed || c.idleCount >= c.config.IdleTotal || len(c.idle[p.address]) >= c.config.IdlePerEndpoint
	if full || p.conn.isDead() || p.carried && time.Now().Before(c.singleUse[p.address]) {
		c.mu.Unlock()
		p.discard()
		return
	}
	c.idle[p.address] = append(c.idle[p.address], p)
	c.idleCount++
	p.expiry = time.AfterFunc(c.idleTimeout(p), func() { c.expire(p) })
	c.mu.Unlock()
}

// expire discards p unless it was taken from the pool in the meantime.
func (c *Client) expire(p *pooledConn) {
	c.mu.Lock()
	removed := c.removeLocked(p)
	c.mu.Unlock()
	if removed {
		p.discard()
	}
}

// removeLocked removes p from the pool and reports whether it was there.
func (c *Client) removeLocked(p *pooledConn) bool {
	conns := c.idle[p.address]
	for i := len(conns) - 1; i >= 0; i-- {
		if conns[i] != p {
			continue
		}
		conns = append(conns[:i], conns[i+1:]...)
		c.idle[p.address] = conns
		if len(conns) == 0 {
			delete(c.idle, p.address)
		}
		c.idleCount--
		return true
	}
	return false
}
