package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// refusal is an error whose reason is counted.
type refusal struct {
	reason RefuseReason
	cause  error
}

func (r *refusal) Error() string {
	if r.cause == nil {
		return "peer: refused: " + string(r.reason)
	}
	return "peer: refused: " + string(r.reason) + ": " + r.cause.Error()
}

func (r *refusal) Unwrap() error { return r.cause }

// refused returns an error of the reason; cause may be nil.
func refused(reason RefuseReason, cause error) error { return &refusal{reason, cause} }

// refusalOf returns the reason of an error of dial or accept.
func refusalOf(err error) RefuseReason {
	var r *refusal
	if errors.As(err, &r) {
		return r.reason
	}
	return RefusedHandshake
}

// dial connects to an address and does the dialler's part of the handshake.
// The session that it returns is registered.
func (t *Transport) dial(ctx context.Context, address string) (*session, error) {
	d := net.Dialer{Timeout: t.cfg.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, refused(RefusedDial, err)
	}
	if t.cfg.TLS != nil {
		conn = tls.Client(conn, t.cfg.TLS)
	}
	return t.handshake(ctx, conn, &session{dialled: true, address: address})
}

// accept does the accepting side's part of the handshake.
func (t *Transport) accept(ctx context.Context, conn net.Conn) (*session, error) {
	s := &session{address: conn.RemoteAddr().String()}
	if t.cfg.TLS != nil {
		conn = tls.Server(conn, t.cfg.TLS)
	}
	return t.handshake(ctx, conn, s)
}

func (t *Transport) handshake(ctx context.Context, conn net.Conn, s *session) (_ *session, err error) {
	s.t = t
	// Whatever the far end does or leaves undone, the handshake ends.
	ctx, cancel := context.WithTimeout(ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if !stop() && err == nil {
			err = refused(RefusedTimeout, nil)
		}
		if err == nil {
			return
		}
		if ctx.Err() == context.DeadlineExceeded {
			err = refused(RefusedTimeout, err)
		}
		t.abandon(s, conn)
	}()

	if c, ok := conn.(*tls.Conn); ok {
		if err := c.HandshakeContext(ctx); err != nil {
			return nil, refused(RefusedTLS, err)
		}
	}
	if err := t.openMux(conn, s); err != nil {
		return nil, err
	}
	if s.dialled {
		return s, t.greet(s)
	}
	return s, t.answer(s)
}

// abandon undoes a handshake that failed.
func (t *Transport) abandon(s *session, conn net.Conn) {
	conn.Close()
	if s.mux != nil {
		s.close(closedByHandshake)
	}
	if s.link != nil {
		t.remove(s)
	}
}

func (t *Transport) openMux(conn net.Conn, s *session) (err error) {
	wire := &wireConn{Conn: conn, stats: &t.stats}
	if s.dialled {
		s.mux, err = yamux.Client(wire, t.muxConfig())
	} else {
		s.mux, err = yamux.Server(wire, t.muxConfig())
	}
	s.queue = newQueue(t.cfg.QueueFrames, t.cfg.QueueBytes)
	s.opens = semaphore.NewWeighted(int64(t.cfg.MaxStreams))
	s.accepts = semaphore.NewWeighted(int64(t.cfg.MaxStreams))
	return err
}

// greet sends this side's Hello, then judges the other's.
func (t *Transport) greet(s *session) error {
	control, err := s.mux.OpenStream()
	if err != nil {
		return err
	}
	s.useControl(control)
	if err := t.sendHello(s, []byte{streamControl}); err != nil {
		return err
	}
	if err := t.receiveHello(s); err != nil {
		return err
	}
	return t.add(s)
}

// answer judges the other side's Hello and registers the session before it
// sends its own; see add. The other side gets that Hello even where it is
// refused, if it will refuse for the same reason and so can name it.
func (t *Transport) answer(s *session) error {
	control, err := s.mux.AcceptStream()
	if err != nil {
		return err
	}
	s.useControl(control)
	kind, err := readKind(control, t.cfg.HandshakeTimeout)
	if err != nil {
		return err
	}
	if kind != streamControl {
		return refused(RefusedStreamKind, nil)
	}
	verdict := t.receiveHello(s)
	if verdict == nil {
		verdict = t.add(s)
	}
	if verdict != nil {
		if mutual(refusalOf(verdict)) {
			t.sendLastHello(s)
		}
		return verdict
	}
	return t.sendHello(s, nil)
}

// sendLastHello tells a peer that is refused why. The peer closes the session
// when it has read that; the timeout of the handshake bounds the wait. That it
// may have closed already is no matter.
func (t *Transport) sendLastHello(s *session) {
	_ = t.sendHello(s, nil)
	_ = s.control.Close()
	_, _ = s.reader.ReadByte()
}

// mutual reports whether both sides refuse each other for the reason.
func mutual(reason RefuseReason) bool {
	return reason == RefusedProtocol || reason == RefusedZone || reason == RefusedSelf
}

func (s *session) useControl(stream *yamux.Stream) {
	s.control = stream
	s.reader = bufio.NewReaderSize(stream, readerBytes)
}

func (t *Transport) sendHello(s *session, prefix []byte) error {
	body := &peerpb.Frame_Hello{Hello: t.cfg.Hello}
	frame, ok := encodeFrame(t.cfg.Incarnation, &peerpb.Frame{Body: body})
	if !ok {
		return refused(RefusedHello, nil)
	}
	if _, err := s.control.Write(append(prefix, frame.bytes...)); err != nil {
		return err
	}
	t.stats.sent(frame.kind, len(frame.bytes))
	return nil
}

func (t *Transport) receiveHello(s *session) error {
	_ = s.control.SetReadDeadline(time.Now().Add(t.cfg.HandshakeTimeout))
	f, kind, size, err := readFrame(s.reader)
	if err != nil {
		if errors.Is(err, errProtocol) {
			return refused(RefusedHello, err)
		}
		return err
	}
	t.stats.received(kind, size)
	s.peer, s.hello = f.GetFrom(), f.GetHello()
	switch {
	case s.hello == nil || s.peer == 0:
		return refused(RefusedHello, nil)
	case s.hello.GetProtocol() != t.cfg.Hello.GetProtocol():
		return refused(RefusedProtocol, nil)
	case s.hello.GetAvailabilityZone() != t.cfg.Hello.GetAvailabilityZone():
		return refused(RefusedZone, nil)
	case s.peer == t.cfg.Incarnation:
		return refused(RefusedSelf, nil)
	}
	return s.control.SetReadDeadline(time.Time{})
}
