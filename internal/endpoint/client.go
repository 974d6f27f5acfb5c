// Package endpoint speaks HTTP to model engines and plain services. A request
// is written on the wire at most once: a connection is obtained first, with
// nothing written, and every connection belongs to a transport that can dial
// no other, so that no library can repeat a request on its own.
package endpoint

import (
	"context"
	"net"
	"net/netip"
	"sync"
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

// ErrClosed is the error of every use of a closed Client.
var ErrClosed = errors.New("endpoint client is closed")

// Config holds the limits of a Client. A zero field means its default.
type Config struct {
	// ConnectTimeout bounds the time to a fresh TCP connection.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the time from the end of the request to the head
	// of the answer. Zero leaves it to the call's context.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdlePerEndpoint and IdleTotal bound the unused connections kept.
	IdlePerEndpoint int
	IdleTotal       int
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int64
	// MaxEventBytes bounds one server-sent event.
	MaxEventBytes int
	// RequestIDHeader names the request on both ways of an exchange.
	RequestIDHeader string
	// AcceptClose takes an answer as whole whose end only an orderly close of
	// the connection tells.
	AcceptClose bool
	// SilenceTimeout, where set, ends connections whose peer acknowledges
	// nothing for that long, whether bytes are under way or not.
	SilenceTimeout time.Duration
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

// Client opens connections to endpoints and keeps some of them for reuse. It
// is safe for concurrent use.
type Client struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	closed bool
	// idle holds the unused links by address, the oldest first.
	idle  map[string][]*link
	count int
}

// New returns a Client. It opens nothing. Bytes that an endpoint sends behind
// its answer are dropped, but net/http writes them to the standard logger: a
// process that must not log answers has to discard that logger's output.
func New(config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		dialer: newDialer(config),
		idle:   make(map[string][]*link),
	}
}

// Connect returns a connection to address, an IP number with a port, and
// writes nothing to it. An error means that no byte was sent.
func (c *Client) Connect(ctx context.Context, address string) (*Conn, error) {
	for {
		l, err := c.take(address)
		if err != nil {
			return nil, err
		}
		if l == nil {
			return c.connectFresh(ctx, address)
		}
		if l.wire.usable() {
			return &Conn{client: c, link: l, reused: true}, nil
		}
		l.discard()
	}
}

func (c *Client) connectFresh(ctx context.Context, address string) (*Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrapf(err, "endpoint address %q is not an IP number with a port", address)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to endpoint")
	}
	return &Conn{client: c, link: newLink(c, address, raw)}, nil
}

// Close closes the unused connections. Connections in use go on to their end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.count = 0
	c.mu.Unlock()
	for _, links := range idle {
		for _, l := range links {
			l.expiry.Stop()
			l.discard()
		}
	}
}

// take removes the newest unused link to address, or returns nil.
func (c *Client) take(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	links := c.idle[address]
	if len(links) == 0 {
		return nil, nil
	}
	l := links[len(links)-1]
	c.removeLocked(l)
	l.expiry.Stop()
	return l, nil
}

// put keeps l for reuse, or discards it where it is dead or one too many.
func (c *Client) put(l *link) {
	l.wire.finish()
	c.mu.Lock()
	full := c.closed || c.count >= c.config.IdleTotal || len(c.idle[l.address]) >= c.config.IdlePerEndpoint
	if full || l.wire.isDead() {
		c.mu.Unlock()
		l.discard()
		return
	}
	c.idle[l.address] = append(c.idle[l.address], l)
	c.count++
	l.expiry = time.AfterFunc(c.idleTimeout(l), func() { c.expire(l) })
	c.mu.Unlock()
}

// expire discards l unless it was taken in the meantime.
func (c *Client) expire(l *link) {
	c.mu.Lock()
	removed := c.removeLocked(l)
	c.mu.Unlock()
	if removed {
		l.discard()
	}
}

// removeLocked takes l out of the pool and reports whether it was there.
func (c *Client) removeLocked(l *link) bool {
	links := c.idle[l.address]
	for i := len(links) - 1; i >= 0; i-- {
		if links[i] != l {
			continue
		}
		links = append(links[:i], links[i+1:]...)
		c.idle[l.address] = links
		if len(links) == 0 {
			delete(c.idle, l.address)
		}
		c.count--
		return true
	}
	return false
}
