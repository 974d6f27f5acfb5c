// Package peer carries messages between the instances of one availability
// zone: a yamux session for each pair, with one control stream of
// length-delimited protobuf frames and one stream for each HTTP request that
// an instance forwards. Frames may be lost, and a peer that does not read
// holds up nobody else.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Protocol is the number that instances must share in their Hello.
const Protocol = 1

// Limits that apply where Config leaves a field zero.
const (
	DefaultDialTimeout      = 3 * time.Second
	DefaultHandshakeTimeout = 5 * time.Second
	DefaultProbeTimeout     = 2 * time.Second
	DefaultQueueFrames      = 4096
	DefaultQueueBytes       = 8 << 20
	DefaultMaxPeers         = 256
	DefaultMaxStreams       = 256

	maxHandshakes = 64

	refusalLinesPerSecond = 5
	refusalLinesBurst     = 50
)

// Handler learns what happens on a Transport. For one peer, its methods are
// called one after another: PeerUp first, PeerDown last. A method that blocks
// holds up only the peer that it is about. The methods may call every method
// of the Transport but Serve.
type Handler interface {
	// PeerUp says that the first control stream to a peer is established.
	PeerUp(incarnation uint64, hello *peerpb.Hello)
	// PeerDown says that the last control stream to a peer is closed.
	PeerDown(incarnation uint64)
	// Message delivers a frame, whose body is never nil nor a Hello. Frames
	// come in the order of sending, except while two sessions are merged.
	Message(from uint64, f *peerpb.Frame)
}

// Config describes a Transport.
type Config struct {
	// Incarnation identifies this run of this process; never zero.
	Incarnation uint64
	// Hello is what peers are told of this instance. A peer must have the
	// same availability zone and protocol number.
	Hello *peerpb.Hello
	// ListenAddress is an IP number with a port.
	ListenAddress string
	// TLS protects the connections in both directions; nil leaves them plain.
	TLS     *tls.Config
	Handler Handler
	Log     *logline.Logger

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// ProbeTimeout is how long one of two sessions to the same peer may take
	// to answer a ping before the other one replaces it.
	ProbeTimeout time.Duration
	// QueueFrames and QueueBytes bound what waits for one peer.
	QueueFrames int
	QueueBytes  int
	MaxPeers    int
	// MaxStreams bounds the forwarded requests that one peer may have open
	// here, and as many in the other direction.
	MaxStreams int
}

// ErrServed means that Serve was called while it was running already.
var ErrServed = errors.New("peer: transport is already being served")

// Transport holds the sessions to all peers.
type Transport struct {
	cfg        Config
	log        *logline.Logger
	stats      counters
	forwarded  *forwardListener
	handshakes *semaphore.Weighted
	// refusals bounds the log lines that strangers can cause.
	refusals *rate.Limiter

	mu       sync.Mutex
	listener net.Listener
	// ctx is nil unless Serve is running.
	ctx   context.Context
	wg    *sync.WaitGroup
	links map[uint64]*link
	dials map[string]bool
	// lastNumber counts the sessions, so that a later one is known.
	lastNumber uint64
}

// New returns a Transport that does nothing until Serve runs.
func New(cfg Config) *Transport {
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&cfg.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&cfg.QueueFrames, DefaultQueueFrames)
	setDefault(&cfg.QueueBytes, DefaultQueueBytes)
	setDefault(&cfg.MaxPeers, DefaultMaxPeers)
	setDefault(&cfg.MaxStreams, DefaultMaxStreams)
	if cfg.Log == nil {
		cfg.Log = logline.Discard()
	}
	cfg.Hello = proto.CloneOf(cfg.Hello)
	return &Transport{
		cfg:        cfg,
		log:        cfg.Log,
		forwarded:  newForwardListener(cfg.ListenAddress),
		handshakes: semaphore.NewWeighted(maxHandshakes),
		refusals:   rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst),
		links:      map[uint64]*link{},
		dials:      map[string]bool{},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Listen opens the listener ahead of Serve, so that an address in use is known
// at start. It returns the address, which has a port of its own where the
// configured port is zero.
func (t *Transport) Listen() (net.Addr, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		l, err := net.Listen("tcp", t.cfg.ListenAddress)
		if err != nil {
			return nil, errors.Wrap(err, "peer: listen")
		}
		t.listener = l
	}
	return t.listener.Addr(), nil
}

// Serve accepts and keeps sessions until ctx is done, then closes all of them
// and returns ctx.Err(). It returns another error if it cannot listen.
func (t *Transport) Serve(ctx context.Context) error {
	if _, err := t.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg := new(sync.WaitGroup)
	t.mu.Lock()
	if t.ctx != nil {
		t.mu.Unlock()
		return ErrServed
	}
	t.ctx, t.wg = ctx, wg
	listener := t.listener
	t.mu.Unlock()

	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	err := t.acceptLoop(ctx, listener)
	cancel()
	t.stop()
	wg.Wait()
	return err
}

func (t *Transport) acceptLoop(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		if !t.handshakes.TryAcquire(1) {
			t.stats.refuse(RefusedTooManyHandshakes)
			conn.Close()
			continue
		}
		started := t.goTracked(func(ctx context.Context) {
			s, err := t.accept(ctx, conn)
			t.handshakes.Release(1)
			t.established(s, err, conn.RemoteAddr().String())
		})
		if !started {
			conn.Close()
		}
	}
}

// stop closes the listener and every session.
func (t *Transport) stop() {
	t.mu.Lock()
	t.listener.Close()
	t.listener = nil
	t.ctx = nil
	var open []*session
	for _, l := range t.links {
		open = append(open, l.sessions...)
	}
	t.mu.Unlock()
	for _, s := range open {
		s.close(closedByShutdown)
	}
}

// goTracked runs f in a goroutine that Serve waits for. It reports false where
// Serve is not running.
func (t *Transport) goTracked(f func(ctx context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		return false
	}
	ctx := t.ctx
	t.wg.Go(func() { f(ctx) })
	return true
}

// Connect makes one attempt, in the background, to establish a session to an
// address. It does nothing while an attempt on that address is being made or a
// session to it is open, and where Serve is not running.
func (t *Transport) Connect(address string) {
	t.mu.Lock()
	if t.ctx == nil || t.dials[address] || t.connectedLocked(address) {
		t.mu.Unlock()
		return
	}
	t.dials[address] = true
	t.mu.Unlock()

	started := t.goTracked(func(ctx context.Context) {
		s, err := t.dial(ctx, address)
		t.mu.Lock()
		delete(t.dials, address)
		t.mu.Unlock()
		t.established(s, err, address)
	})
	if !started {
		t.mu.Lock()
		delete(t.dials, address)
		t.mu.Unlock()
	}
}

func (t *Transport) connectedLocked(address string) bool {
	for _, l := range t.links {
		for _, s := range l.sessions {
			if !s.retired && (s.address == address || s.hello.GetPeerAddress() == address) {
				return true
			}
		}
	}
	return false
}

// established runs a session to its end, or reports why there is none.
func (t *Transport) established(s *session, err error, address string) {
	if err != nil {
		reason := refusalOf(err)
		t.stats.refuse(reason)
		if t.refusals.Allow() {
			t.log.Warn("peer_refused", "address", address, "reason", string(reason), "err", err)
		}
		return
	}
	s.run()
}

// Send puts a frame into the queue of a peer and reports whether it did. It
// never blocks and keeps no reference to the frame. A frame for which there is
// no session, no room or whose size is over the limit is dropped and counted.
func (t *Transport) Send(to uint64, f *peerpb.Frame) bool {
	frame, ok := encodeFrame(t.cfg.Incarnation, f)
	if !ok {
		t.stats.drop(DroppedOversize)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to]
	if l == nil || l.current() == nil {
		t.stats.drop(DroppedNoSession)
		return false
	}
	return l.current().enqueue(frame)
}

// Close ends every session to a peer. The Handler's PeerDown follows.
func (t *Transport) Close(to uint64) {
	t.mu.Lock()
	var open []*session
	if l := t.links[to]; l != nil {
		open = append(open, l.sessions...)
	}
	t.mu.Unlock()
	for _, s := range open {
		// A Handler may be the caller, so nothing here may wait for one.
		go s.close(closedByCaller)
	}
}
