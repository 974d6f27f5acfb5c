package peer

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// The first byte of every stream identifies its kind.
const (
	streamControl = 'c'
	streamHTTP    = 'h'
)

const (
	// maxBatchBytes bounds the total size of the frames that are joined in one
	// write to the control stream.
	maxBatchBytes   = 16 << 10
	readBufferBytes = 4 << 10

	// writeTimeout is long enough to act as none: on a timeout, yamux would
	// close the session and all its streams even if the peer is only paused.
	// Failed peers are detected by their heartbeats.
	writeTimeout = 24 * time.Hour
	// streamCloseTimeout is how long a stream that one side has closed may take
	// to be read to its end.
	streamCloseTimeout = 15 * time.Minute
	// drainPollInterval is how often a draining session checks whether its
	// streams have ended.
	drainPollInterval = 50 * time.Millisecond
)

// closeReason is the reason why a session was closed.
type closeReason string

const (
	closedByShutdown    closeReason = "shutdown"
	closedByLocalCall   closeReason = "closed_here"
	closedByProbe       closeReason = "probe_unanswered"
	closedByReplacement closeReason = "replaced"
	closedByPeer        closeReason = "closed_by_peer"
	closedByProtocol    closeReason = "protocol_error"
	closedByHandshake   closeReason = "handshake_failed"
)

// session is one yamux session with its control stream.
type session struct {
	t    *Transport
	link *link

	peer    uint64
	hello   *peerpb.Hello
	dialled bool
	// address is the dialled address, or the remote address of an accepted
	// connection.
	address string

	mux     *yamux.Session
	control *yamux.Stream
	reader  *bufio.Reader
	queue   *queue
	// outboundStreams and inboundStreams bound the streams of forwarded
	// requests.
	outboundStreams *semaphore.Weighted
	inboundStreams  *semaphore.Weighted

	closeOnce sync.Once
	reason    closeReason

	// Guarded by Transport.mu.
	number   uint64
	draining bool
}

// muxConfig returns settings under which yamux never closes a session on its
// own: no keepalive, and no timeout on writes or on opening streams.
func (t *Transport) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = nil
	// The end of every session is logged with its reason; yamux would log an
	// additional error for most of them.
	c.Logger = t.log.StandardDebug("yamux")
	return c
}

// dialler returns the incarnation of the side that dialled.
func (s *session) dialler() uint64 {
	if s.dialled {
		return s.t.cfg.Incarnation
	}
	return s.peer
}

// run serves a registered session until it is closed.
func (s *session) run() {
	s.t.log.Info("peer_session_opened", "peer", s.peer, "instance", s.hello.GetInstance(), "address", s.address, "dialled", s.dialled)
	s.link.notifyHandler()
	var control, background sync.WaitGroup
	control.Go(s.writeLoop)
	control.Go(s.readLoop)
	background.Go(s.acceptStreams)
	background.Go(s.link.resolveDuplicates)
	control.Wait()
	// Only a session that was replaced and drained may still carry requests;
	// any other is closed by now.
	s.awaitStreams()
	s.close(closedByReplacement)
	background.Wait()
	s.t.removeSession(s)
	s.t.log.Info("peer_session_closed", "peer", s.peer, "address", s.address, "dialled", s.dialled, "reason", string(s.reason))
}

// awaitStreams waits until no stream is open or the session is closed.
// NumStreams also counts streams that have not been accepted yet.
func (s *session) awaitStreams() {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.mux.NumStreams() > 0 {
		select {
		case <-ticker.C:
		case <-s.mux.CloseChan():
			return
		}
	}
}

// close ends the session at once. The reason of the first call is logged.
func (s *session) close(reason closeReason) {
	s.closeOnce.Do(func() {
		s.reason = reason
		s.mux.Close()
		s.t.stats.countDrops(DroppedSessionLost, s.queue.close())
	})
}

// drain stops the use of a session that another one has replaced. Queued frames
// are still written and requests in progress are completed; then the session is
// closed.
func (s *session) drain() {
	s.t.mu.Lock()
	s.draining = true
	s.t.mu.Unlock()
	s.queue.finish()
	s.link.notifyHandler()
}

// probe reports whether the peer answers a ping within ProbeTimeout.
func (s *session) probe() bool {
	answered := make(chan bool, 1)
	// An unanswered ping returns when the session is closed.
	go func() {
		_, err := s.mux.Ping()
		answered <- err == nil
	}()
	timer := time.NewTimer(s.t.cfg.ProbeTimeout)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		return false
	}
}

func (s *session) enqueue(f encodedFrame) bool {
	reason, ok := s.queue.push(f)
	if !ok {
		s.t.stats.countDrop(reason)
	}
	return ok
}

// writeLoop writes queued frames, several in one write if more than one is
// queued.
func (s *session) writeLoop() {
	var buf []byte
	var batch []encodedFrame
	for {
		var ok bool
		batch, ok = s.queue.pop(batch[:0], maxBatchBytes)
		if !ok {
			// Without this the peer would wait for more frames.
			_ = s.control.Close()
			return
		}
		buf = buf[:0]
		for _, f := range batch {
			buf = append(buf, f.bytes...)
		}
		if _, err := s.control.Write(buf); err != nil {
			s.t.stats.countDrops(DroppedSessionLost, len(batch))
			s.close(closedByPeer)
			return
		}
		for _, f := range batch {
			s.t.stats.countSent(f.kind, len(f.bytes))
		}
		if cap(buf) > 4*maxBatchBytes {
			buf = nil
		}
	}
}

// readLoop delivers frames until the peer closes the control stream.
func (s *session) readLoop() {
	for {
		f, kind, size, err := readFrame(s.reader)
		switch {
		case err == io.EOF && !s.mux.IsClosed() && s.superseded():
			s.drain()
			return
		case errors.Is(err, errProtocol):
			s.t.stats.countDrop(DroppedMalformed)
			s.t.log.Warn("peer_protocol_error", "peer", s.peer, "err", err)
			s.close(closedByProtocol)
			return
		case err != nil:
			s.close(closedByPeer)
			return
		}
		s.t.stats.countReceived(kind, size)
		switch {
		case f.GetFrom() != s.peer:
			s.t.stats.countDrop(DroppedWrongSender)
			s.t.log.Warn("peer_protocol_error", "peer", s.peer, "err", "frame names another sender")
			s.close(closedByProtocol)
			return
		case kind == kindUnknown || kind == kindHello:
			// A peer of another version may send kinds that are unknown here.
			s.t.stats.countDrop(DroppedUnexpected)
		default:
			s.link.deliverMessage(f)
		}
	}
}

// superseded reports whether this session is not the one in use, so that the
// end of its control stream is not a failure.
func (s *session) superseded() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.draining || s.link.current() != s
}

// acceptStreams accepts the streams on which the peer forwards requests.
func (s *session) acceptStreams() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			// The session is closed, or yamux received an invalid frame, which
			// ends the session too.
			s.close(closedByPeer)
			return
		}
		if !s.inboundStreams.TryAcquire(1) {
			s.t.stats.countRefusal(RefusedTooManyStreams)
			stream.Close()
			continue
		}
		wg.Go(func() {
			if err := s.acceptStream(stream); err != nil {
				s.inboundStreams.Release(1)
				s.t.stats.countRefusal(RefusedStreamKind)
				stream.Close()
			}
		})
	}
}

func (s *session) acceptStream(stream *yamux.Stream) error {
	kind, err := readKind(stream, s.t.cfg.HandshakeTimeout)
	if err != nil {
		return err
	}
	if kind != streamHTTP {
		return errors.Newf("peer: unexpected stream kind %d", kind)
	}
	s.t.stats.forwardsAccepted.Add(1)
	conn := &streamConn{Stream: stream, session: s, limit: s.inboundStreams}
	if !s.t.forwarded.offer(conn, s.mux.CloseChan()) {
		conn.Close()
	}
	return nil
}

func readKind(stream *yamux.Stream, timeout time.Duration) (byte, error) {
	_ = stream.SetReadDeadline(time.Now().Add(timeout))
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return 0, err
	}
	return kind[0], stream.SetReadDeadline(time.Time{})
}

// openStream opens a stream for a forwarded request. It returns when ctx is
// done, because yamux itself would wait for a paused peer without limit.
func (s *session) openStream(ctx context.Context) (*streamConn, error) {
	if err := s.outboundStreams.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	type opened struct {
		stream *yamux.Stream
		err    error
	}
	result := make(chan opened, 1)
	go func() {
		stream, err := s.mux.OpenStream()
		if err == nil {
			_, err = stream.Write([]byte{streamHTTP})
		}
		result <- opened{stream, err}
	}()
	release := func(o opened) {
		s.outboundStreams.Release(1)
		if o.stream != nil {
			o.stream.Close()
		}
	}
	select {
	case o := <-result:
		if o.err != nil {
			release(o)
			return nil, o.err
		}
		s.t.stats.forwardsOpened.Add(1)
		return &streamConn{Stream: o.stream, session: s, limit: s.outboundStreams}, nil
	case <-ctx.Done():
		go func() { release(<-result) }()
		return nil, ctx.Err()
	}
}
