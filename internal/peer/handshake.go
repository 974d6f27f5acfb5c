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

// refusalError is an error with a refusal reason, which is counted.
type refusalError struct {
	reason RefusalReason
	cause  error
}

func (r *refusalError) Error() string {
	if r.cause == nil {
		return "peer: refused: " + string(r.reason)
	}
	return "peer: refused: " + string(r.reason) + ": " + r.cause.Error()
}

func (r *refusalError) Unwrap() error { return r.cause }

// newRefusal returns an error with the reason; cause may be nil.
func newRefusal(reason RefusalReason, cause error) error { return &refusalError{reason, cause} }

// refusalReasonOf returns the refusal reason of an error of dial or accept.
func refusalReasonOf(err error) RefusalReason {
	var r *refusalError
	if errors.As(err, &r) {
		return r.reason
	}
	return RefusedHandshake
}

// dial connects to an address and runs the client side of the handshake. The
// session that it returns is registered.
func (t *Transport) dial(ctx context.Context, address string) (*session, error) {
	d := net.Dialer{Timeout: t.cfg.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newRefusal(RefusedDial, err)
	}
	if t.cfg.TLS != nil {
		conn = tls.Client(conn, t.cfg.TLS)
	}
	return t.handshake(ctx, conn, &session{dialled: true, address: address})
}

// accept runs the server side of the handshake.
func (t *Transport) accept(ctx context.Context, conn net.Conn) (*session, error) {
	s := &session{address: conn.RemoteAddr().String()}
	if t.cfg.TLS != nil {
		conn = tls.Server(conn, t.cfg.TLS)
	}
	return t.handshake(ctx, conn, s)
}

func (t *Transport) handshake(ctx context.Context, conn net.Conn, s *session) (_ *session, err error) {
	s.t = t
	// The timeout ends the handshake whatever the peer does or omits.
	ctx, cancel := context.WithTimeout(ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if !stop() && err == nil {
			err = newRefusal(RefusedTimeout, nil)
		}
		if err == nil {
			return
		}
		if ctx.Err() == context.DeadlineExceeded {
			err = newRefusal(RefusedTimeout, err)
		}
		t.abortHandshake(s, conn)
	}()

	if c, ok := conn.(*tls.Conn); ok {
		if err := c.HandshakeContext(ctx); err != nil {
			return nil, newRefusal(RefusedTLS, err)
		}
	}
	if err := t.openMux(conn, s); err != nil {
		return nil, err
	}
	if s.dialled {
		return s, t.clientHandshake(s)
	}
	return s, t.serverHandshake(s)
}

// abortHandshake releases the resources of a failed handshake.
func (t *Transport) abortHandshake(s *session, conn net.Conn) {
	conn.Close()
	if s.mux != nil {
		s.close(closedByHandshake)
	}
	if s.link != nil {
		t.removeSession(s)
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
	s.outboundStreams = semaphore.NewWeighted(int64(t.cfg.MaxStreams))
	s.inboundStreams = semaphore.NewWeighted(int64(t.cfg.MaxStreams))
	return err
}

// clientHandshake sends the local Hello, then validates the peer's Hello.
func (t *Transport) clientHandshake(s *session) error {
	control, err := s.mux.OpenStream()
	if err != nil {
		return err
	}
	s.setControl(control)
	if err := t.sendHello(s, []byte{streamControl}); err != nil {
		return err
	}
	if err := t.receiveHello(s); err != nil {
		return err
	}
	return t.addSession(s)
}

// serverHandshake validates the peer's Hello and registers the session before
// it sends the local Hello; see addSession. A refused peer still receives that
// Hello if it will refuse for the same reason, so that it can report the
// reason.
func (t *Transport) serverHandshake(s *session) error {
	control, err := s.mux.AcceptStream()
	if err != nil {
		return err
	}
	s.setControl(control)
	kind, err := readKind(control, t.cfg.HandshakeTimeout)
	if err != nil {
		return err
	}
	if kind != streamControl {
		return newRefusal(RefusedStreamKind, nil)
	}
	refusal := t.receiveHello(s)
	if refusal == nil {
		refusal = t.addSession(s)
	}
	if refusal != nil {
		if refusedByBoth(refusalReasonOf(refusal)) {
			t.sendRefusalHello(s)
		}
		return refusal
	}
	return t.sendHello(s, nil)
}

// sendRefusalHello sends the local Hello to a refused peer, which derives the
// reason from it. The peer closes the session after reading it; the handshake
// timeout bounds the wait. Errors are ignored because the peer may have closed
// the session already.
func (t *Transport) sendRefusalHello(s *session) {
	_ = t.sendHello(s, nil)
	_ = s.control.Close()
	_, _ = s.reader.ReadByte()
}

// refusedByBoth reports whether both sides refuse each other for the reason.
func refusedByBoth(reason RefusalReason) bool {
	return reason == RefusedProtocol || reason == RefusedZone || reason == RefusedSelf
}

func (s *session) setControl(stream *yamux.Stream) {
	s.control = stream
	s.reader = bufio.NewReaderSize(stream, readBufferBytes)
}

func (t *Transport) sendHello(s *session, prefix []byte) error {
	body := &peerpb.Frame_Hello{Hello: t.cfg.Hello}
	frame, ok := encodeFrame(t.cfg.Incarnation, &peerpb.Frame{Body: body})
	if !ok {
		return newRefusal(RefusedHello, nil)
	}
	if _, err := s.control.Write(append(prefix, frame.bytes...)); err != nil {
		return err
	}
	t.stats.countSent(frame.kind, len(frame.bytes))
	return nil
}

func (t *Transport) receiveHello(s *session) error {
	_ = s.control.SetReadDeadline(time.Now().Add(t.cfg.HandshakeTimeout))
	f, kind, size, err := readFrame(s.reader)
	if err != nil {
		if errors.Is(err, errProtocol) {
			return newRefusal(RefusedHello, err)
		}
		return err
	}
	t.stats.countReceived(kind, size)
	s.peer, s.hello = f.GetFrom(), f.GetHello()
	switch {
	case s.hello == nil || s.peer == 0:
		return newRefusal(RefusedHello, nil)
	case s.hello.GetProtocol() != t.cfg.Hello.GetProtocol():
		return newRefusal(RefusedProtocol, nil)
	case s.hello.GetAvailabilityZone() != t.cfg.Hello.GetAvailabilityZone():
		return newRefusal(RefusedZone, nil)
	case s.peer == t.cfg.Incarnation:
		return newRefusal(RefusedSelf, nil)
	}
	return s.control.SetReadDeadline(time.Time{})
}
