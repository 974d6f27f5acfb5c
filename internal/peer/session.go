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

// The first byte of every stream says what it carries.
const (
	streamControl = 'c'
	streamHTTP    = 'h'
)

const (
	// maxBatchBytes bounds what is written to the control stream at once.
	maxBatchBytes = 16 << 10
	readerBytes   = 4 << 10

	// writeTimeout stands for none: yamux would end the session, and all
	// streams with it, where a peer is only paused. Heartbeats decide that.
	writeTimeout = 24 * time.Hour
	// closeTimeout is how long a stream that one side has closed may take to
	// be read to its end.
	closeTimeout = 15 * time.Minute
	// drainInterval is how often a replaced session looks whether its streams
	// have ended.
	drainInterval = 50 * time.Millisecond
)

// closeReason says why this side ended a session.
type closeReason string

const (
	closedByShutdown  closeReason = "shutdown"
	closedByCaller    closeReason = "closed_here"
	closedByProbe     closeReason = "probe_unanswered"
	closedByRetiring  closeReason = "replaced"
	closedByPeer      closeReason = "closed_by_peer"
	closedByProtocol  closeReason = "protocol_error"
	closedByHandshake closeReason = "handshake_failed"
)

// session is one yamux session whose control stream is open.
type session struct {
	t    *Transport
	link *link

	peer    uint64
	hello   *peerpb.Hello
	dialled bool
	// address is what this side dialled, or where the other side came from.
	address string

	mux     *yamux.Session
	control *yamux.Stream
	reader  *bufio.Reader
	queue   *queue
	// opens and accepts bound the streams of forwarded requests.
	opens   *semaphore.Weighted
	accepts *semaphore.Weighted

	closeOnce sync.Once
	reason    closeReason

	// Guarded by Transport.mu.
	number  uint64
	retired bool
}

// muxConfig returns yamux settings under which it never ends a session of its
// own accord: no keepalive and no timeout on writes or on opening streams.
func (t *Transport) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = closeTimeout
	c.LogOutput = nil
	// Every session's end is logged with its reason; yamux would add an error
	// to most of them.
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

// run carries a registered session until it is closed.
func (s *session) run() {
	s.t.log.Event("peer_session_opened", "peer", s.peer, "instance", s.hello.GetInstance(), "address", s.address, "dialled", s.dialled)
	s.link.sync()
	var control, rest sync.WaitGroup
	control.Go(s.writeLoop)
	control.Go(s.readLoop)
	rest.Go(s.acceptStreams)
	rest.Go(s.link.resolve)
	control.Wait()
	// Only a session that was replaced in good order still has requests to
	// carry; any other is closed by now.
	s.awaitStreams()
	s.close(closedByRetiring)
	rest.Wait()
	s.t.remove(s)
	s.t.log.Event("peer_session_closed", "peer", s.peer, "address", s.address, "dialled", s.dialled, "reason", string(s.reason))
}

// awaitStreams waits until no stream is open or the session is closed. yamux
// knows of streams that have not been accepted yet, too.
func (s *session) awaitStreams() {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.mux.NumStreams() > 0 {
		select {
		case <-ticker.C:
		case <-s.mux.CloseChan():
			return
		}
	}
}

// close ends the session at once. The first reason given is the one logged.
func (s *session) close(reason closeReason) {
	s.closeOnce.Do(func() {
		s.reason = reason
		s.mux.Close()
		s.t.stats.dropN(DroppedSessionLost, s.queue.close())
	})
}

// retire ends the use of a session whose place another one has taken. What is
// queued is still written, requests that are under way are carried to their
// end, and then the session is closed.
func (s *session) retire() {
	s.t.mu.Lock()
	s.retired = true
	s.t.mu.Unlock()
	s.queue.finish()
	s.link.sync()
}

// probe reports whether the other side answers a ping within ProbeTimeout.
func (s *session) probe() bool {
	answered := make(chan bool, 1)
	// A ping that is not answered ends with the session.
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
		s.t.stats.drop(reason)
	}
	return ok
}

// writeLoop writes queued frames, several at once where several wait.
func (s *session) writeLoop() {
	var buf []byte
	var batch []encodedFrame
	for {
		var ok bool
		batch, ok = s.queue.pop(batch[:0], maxBatchBytes)
		if !ok {
			// Without this the far end would wait for more.
			_ = s.control.Close()
			return
		}
		buf = buf[:0]
		for _, f := range batch {
			buf = append(buf, f.bytes...)
		}
		if _, err := s.control.Write(buf); err != nil {
			s.t.stats.dropN(DroppedSessionLost, len(batch))
			s.close(closedByPeer)
			return
		}
		for _, f := range batch {
			s.t.stats.sent(f.kind, len(f.bytes))
		}
		if cap(buf) > 4*maxBatchBytes {
			buf = nil
		}
	}
}

// readLoop delivers frames until the other side closes the control stream.
func (s *session) readLoop() {
	for {
		f, kind, size, err := readFrame(s.reader)
		switch {
		case err == io.EOF && !s.mux.IsClosed() && s.replaced():
			s.retire()
			return
		case errors.Is(err, errProtocol):
			s.t.stats.drop(DroppedMalformed)
			s.t.log.Warn("peer_protocol_error", "peer", s.peer, "err", err)
			s.close(closedByProtocol)
			return
		case err != nil:
			s.close(closedByPeer)
			return
		}
		s.t.stats.received(kind, size)
		switch {
		case f.GetFrom() != s.peer:
			s.t.stats.drop(DroppedWrongSender)
			s.t.log.Warn("peer_protocol_error", "peer", s.peer, "err", "frame names another sender")
			s.close(closedByProtocol)
			return
		case kind == kindUnknown || kind == kindHello:
			// A peer of another version may send what is not known here.
			s.t.stats.drop(DroppedUnexpected)
		default:
			s.link.message(f)
		}
	}
}

// replaced reports whether this session is not the one in use, so that the end
// of its control stream is no loss.
func (s *session) replaced() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.retired || s.link.current() != s
}

// acceptStreams takes the streams on which the peer forwards requests.
func (s *session) acceptStreams() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			// The session is closed or its framing is broken; the latter ends
			// it too.
			s.close(closedByPeer)
			return
		}
		if !s.accepts.TryAcquire(1) {
			s.t.stats.refuse(RefusedTooManyStreams)
			stream.Close()
			continue
		}
		wg.Go(func() {
			if err := s.acceptStream(stream); err != nil {
				s.accepts.Release(1)
				s.t.stats.refuse(RefusedStreamKind)
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
	conn := &streamConn{Stream: stream, session: s, slots: s.accepts}
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

// openStream opens a stream for a forwarded request. yamux itself would wait
// without end for a peer that is paused.
func (s *session) openStream(ctx context.Context) (*streamConn, error) {
	if err := s.opens.Acquire(ctx, 1); err != nil {
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
	abandon := func(o opened) {
		s.opens.Release(1)
		if o.stream != nil {
			o.stream.Close()
		}
	}
	select {
	case o := <-result:
		if o.err != nil {
			abandon(o)
			return nil, o.err
		}
		s.t.stats.forwardsOpened.Add(1)
		return &streamConn{Stream: o.stream, session: s, slots: s.opens}, nil
	case <-ctx.Done():
		go func() { abandon(<-result) }()
		return nil, ctx.Err()
	}
}
