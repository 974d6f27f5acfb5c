// Package peer carries messages between the instances of one availability zone.
// Each pair has a yamux session with one control stream of length-delimited
// protobuf frames and one stream for each HTTP request that an instance
// forwards. Frames may be lost. A peer that does not read delays no other peer.
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

// Protocol is the protocol number in a Hello. Instances with different numbers
// refuse each other.
const Protocol = 1

// Defaults for the fields of Config that are zero.
const (
	DefaultDialTimeout      = 3 * time.Second
	DefaultHandshakeTimeout = 5 * time.Second
	DefaultProbeTimeout     = 2 * time.Second
	DefaultQueueFrames      = 4096
	DefaultQueueBytes       = 8 << 20
	DefaultMaxPeers         = 256
	DefaultMaxStreams       = 256

	maxHandshakes = 64

	refusalLogsPerSecond = 5
	refusalLogBurst      = 50
)

// Handler receives the events of a Transport. For one peer, its methods are
// called one after another: PeerUp first, PeerDown last. A method that blocks
// delays only the peer that it was called for. The methods may call every
// method of the Transport except Serve.
type Handler interface {
	// PeerUp reports that the first control stream to a peer is established.
	PeerUp(incarnation uint64, hello *peerpb.Hello)
	// PeerDown reports that the last control stream to a peer is closed.
	PeerDown(incarnation uint64)
	// Message delivers a frame, whose body is never nil nor a Hello. Frames
	// arrive in the order of sending, except while one session replaces
	// another.
	Message(from uint64, f *peerpb.Frame)
}

// Config describes a Transport.
type Config struct {
	// Incarnation identifies this run of the process and is never zero.
	Incarnation uint64
	// Hello is sent to every peer. A peer must have the same availability zone
	// and protocol number.
	Hello *peerpb.Hello
	// ListenAddress is an IP address with a port.
	ListenAddress string
	// TLS secures the connections in both directions; nil means plain TCP.
	TLS     *tls.Config
	Handler Handler
	Log     *logline.Logger

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// ProbeTimeout is how long the peer may take to answer a ping on one of two
	// sessions before the other one replaces it.
	ProbeTimeout time.Duration
	// QueueFrames and QueueBytes bound the send queue of a session.
	QueueFrames int
	QueueBytes  int
	MaxPeers    int
	// MaxStreams bounds the open requests that one peer forwards to this
	// instance and, separately, those forwarded to that peer.
	MaxStreams int
}

// ErrAlreadyServing is returned by Serve if it is already running.
var ErrAlreadyServing = errors.New("peer: transport is already being served")

// Transport manages the sessions to all peers.
type Transport struct {
	cfg            Config
	log            *logline.Logger
	stats          counters
	forwarded      *forwardListener
	handshakeLimit *semaphore.Weighted
	// refusalLogLimit limits the log lines that unknown peers can cause by
	// failed handshakes.
	refusalLogLimit *rate.Limiter

	mu       sync.Mutex
	listener net.Listener
	// ctx is nil unless Serve is running.
	ctx   context.Context
	wg    *sync.WaitGroup
	links map[uint64]*link
	dials map[string]bool
	// lastSessionNumber counts the sessions; a later one has a larger number.
	lastSessionNumber uint64
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
		cfg:             cfg,
		log:             cfg.Log,
		forwarded:       newForwardListener(cfg.ListenAddress),
		handshakeLimit:  semaphore.NewWeighted(maxHandshakes),
		refusalLogLimit: rate.NewLimiter(refusalLogsPerSecond, refusalLogBurst),
		links:           map[uint64]*link{},
		dials:           map[string]bool{},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Listen opens the listener before Serve is called, so that an address in use
// is detected at startup. It returns the listening address, with the assigned
// port if the configured port is zero.
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

// Serve accepts and maintains sessions until ctx is done, then closes them all
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
		return ErrAlreadyServing
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
		if !t.handshakeLimit.TryAcquire(1) {
			t.stats.countRefusal(RefusedTooManyHandshakes)
			conn.Close()
			continue
		}
		started := t.goTracked(func(ctx context.Context) {
			s, err := t.accept(ctx, conn)
			t.handshakeLimit.Release(1)
			t.serveSession(s, err, conn.RemoteAddr().String())
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

// goTracked runs f in a goroutine that Serve waits for. It reports false if
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

// Connect starts one attempt in the background to establish a session to an
// address. It does nothing if an attempt is in progress, if a session to the
// address is open, or if Serve is not running.
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
		t.serveSession(s, err, address)
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
			if !s.draining && (s.address == address || s.hello.GetPeerAddress() == address) {
				return true
			}
		}
	}
	return false
}

// serveSession runs a session until it ends, or counts and logs why the
// handshake failed.
func (t *Transport) serveSession(s *session, err error, address string) {
	if err != nil {
		reason := refusalReasonOf(err)
		t.stats.countRefusal(reason)
		if t.refusalLogLimit.Allow() {
			t.log.Warn("peer_refused", "address", address, "reason", string(reason), "err", err)
		}
		return
	}
	s.run()
}

// Send appends a frame to the queue of a peer and reports whether it did. It
// never blocks and keeps no reference to the frame. The frame is dropped and
// counted if there is no session, if the queue is full, or if the frame is over
// the size limit.
func (t *Transport) Send(to uint64, f *peerpb.Frame) bool {
	frame, ok := encodeFrame(t.cfg.Incarnation, f)
	if !ok {
		t.stats.countDrop(DroppedOversize)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to]
	if l == nil || l.current() == nil {
		t.stats.countDrop(DroppedNoSession)
		return false
	}
	return l.current().enqueue(frame)
}

// Close closes all sessions to a peer. The Handler's PeerDown follows.
func (t *Transport) Close(to uint64) {
	t.mu.Lock()
	var open []*session
	if l := t.links[to]; l != nil {
		open = append(open, l.sessions...)
	}
	t.mu.Unlock()
	for _, s := range open {
		// Close may be called by the Handler, so it must not wait for the
		// Handler.
		go s.close(closedByLocalCall)
	}
}
