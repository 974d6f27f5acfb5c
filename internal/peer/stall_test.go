package peer

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

// pausableConn delivers received data only once resume is closed, like the
// connection of a paused process.
type pausableConn struct {
	net.Conn
	resume chan struct{}
}

func (p *pausableConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	<-p.resume
	return n, err
}

// rawPeer implements the protocol without a Transport, so that a test can
// violate it.
type rawPeer struct {
	mux     *yamux.Session
	control *yamux.Stream
	resume  chan struct{}
}

// connectRawPeer opens a session as incarnation inc, which reads nothing until
// resume is closed.
func connectRawPeer(t *testing.T, inc uint64, to *node) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", to.address)
	must.NoError(t, err)
	b := &rawPeer{resume: make(chan struct{})}
	c := to.muxConfig()
	b.mux, err = yamux.Client(&pausableConn{conn, b.resume}, c)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	b.control, err = b.mux.OpenStream()
	must.NoError(t, err)
	_, err = b.control.Write([]byte{streamControl})
	must.NoError(t, err)
	b.write(t, &peerpb.Frame{From: inc, Body: &peerpb.Frame_Hello{Hello: hello(inc)}})
	eventually(t, func() bool { return len(to.Events()) > 0 })
	return b
}

// write sends a frame. Errors are ignored because the remote side may close the
// session before write returns.
func (b *rawPeer) write(t *testing.T, f *peerpb.Frame) {
	t.Helper()
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, f)
	must.NoError(t, err)
	_, _ = b.control.Write(buf.Bytes())
}

func TestPausedPeerHasBoundedQueueAndDelaysNoOther(t *testing.T) {
	a := start(t, 1, func(c *Config) { c.QueueFrames, c.QueueBytes = 100, 1<<20 })
	b := connectRawPeer(t, 7, a)
	other := start(t, 2, nil)
	other.Connect(a.address)
	eventually(t, func() bool { return len(a.Events()) == 2 })

	// Five frames fit into the stream's window of 256 KB, the writer holds one,
	// and twenty fit into the queue.
	accepted := 0
	eventually(t, func() bool {
		if a.Send(7, heartbeat(50_000)) {
			accepted++
		}
		return accepted == 26
	})
	for range 1000 {
		must.False(t, a.Send(7, heartbeat(50_000)))
	}
	stats := a.Stats()
	must.Between(t, 900_000, stats.QueuedBytes, 1<<20)
	must.Positive(t, stats.Dropped[DroppedQueueBytes])
	for a.Send(7, ask(1)) {
	}
	must.Eq(t, 100, a.Stats().QueuedFrames)
	must.Positive(t, a.Stats().Dropped[DroppedQueueFrames])

	const n = 300
	for i := range uint64(n) {
		must.True(t, a.Send(2, ask(i)))
		must.True(t, other.Send(1, ask(i)))
		other.AwaitFrames(t, int(i)+1)
	}
	a.AwaitFrames(t, n)
	must.Len(t, 2, a.Events())

	// The session can be closed while the peer is paused. The next test covers
	// that it resumes where it stopped.
	a.Close(7)
	eventually(t, func() bool { return len(a.Events()) == 3 })
	must.Eq(t, "down 7", a.Events()[2])
	eventually(t, func() bool { return a.Stats().Dropped[DroppedSessionLost] >= 100 })
	close(b.resume)
}

func TestPausedPeerReceivesQueuedFramesOnResume(t *testing.T) {
	a := start(t, 1, nil)
	b := connectRawPeer(t, 7, a)
	sent := 0
	for ; sent < 400; sent++ {
		must.True(t, a.Send(7, ask(uint64(sent))))
	}
	close(b.resume)
	_ = b.control.SetReadDeadline(time.Now().Add(peertest.MaxWait))
	s := &session{}
	s.setControl(b.control)
	f, _, _, err := readFrame(s.reader)
	must.NoError(t, err)
	must.Eq(t, "instance-1", f.GetHello().GetInstance())
	for i := range sent {
		f, _, _, err := readFrame(s.reader)
		must.NoError(t, err)
		must.Eq(t, uint64(i), f.GetAsk().GetRequest())
	}
}

func TestBlockingHandlerDelaysOnlyItsPeer(t *testing.T) {
	a := start(t, 1, nil)
	a.Block = make(chan struct{})
	b := start(t, 2, nil)
	b.Connect(a.address)
	b.AwaitEvents(t, "up 1 instance-1")
	must.True(t, b.Send(1, ask(1)))
	for i := range uint64(100) {
		must.True(t, a.Send(2, ask(i)))
	}
	b.AwaitFrames(t, 100)
	a.Close(2)
	b.AwaitEvents(t, "up 1 instance-1", "down 1")
	close(a.Block)
	a.AwaitEvents(t, "up 2 instance-2", "down 2")
}

func TestInvalidFrameClosesSession(t *testing.T) {
	for name, c := range map[string]struct {
		send   func(t *testing.T, b *rawPeer)
		reason DropReason
	}{
		"oversize": {func(t *testing.T, b *rawPeer) {
			f := heartbeat(MaxFrameBytes)
			f.From = 7
			b.write(t, f)
		}, DroppedMalformed},
		"garbage": {func(t *testing.T, b *rawPeer) {
			_, _ = b.control.Write(bytes.Repeat([]byte{0xff}, 100))
		}, DroppedMalformed},
		"another sender": {func(t *testing.T, b *rawPeer) {
			f := ask(1)
			f.From = 8
			b.write(t, f)
		}, DroppedWrongSender},
	} {
		t.Run(name, func(t *testing.T) {
			a := start(t, 1, nil)
			b := connectRawPeer(t, 7, a)
			close(b.resume)
			c.send(t, b)
			a.AwaitEvents(t, "up 7 instance-7", "down 7")
			must.Eq(t, 1, a.Stats().Dropped[c.reason])
			must.SliceEmpty(t, a.Frames())
		})
	}
}

func TestUnknownKindAndSecondHelloAreDropped(t *testing.T) {
	a := start(t, 1, nil)
	b := connectRawPeer(t, 7, a)
	close(b.resume)
	b.write(t, &peerpb.Frame{From: 7})
	b.write(t, &peerpb.Frame{From: 7, Body: &peerpb.Frame_Hello{Hello: hello(7)}})
	f := ask(5)
	f.From = 7
	b.write(t, f)
	must.Eq(t, 5, a.AwaitFrames(t, 1)[0].GetAsk().GetRequest())
	must.Eq(t, 2, a.Stats().Dropped[DroppedUnexpected])
	must.Len(t, 1, a.Events())
}

func TestUnknownStreamKindDoesNotCloseSession(t *testing.T) {
	a := start(t, 1, nil)
	b := connectRawPeer(t, 7, a)
	close(b.resume)
	stream, err := b.mux.OpenStream()
	must.NoError(t, err)
	_, err = stream.Write([]byte("?"))
	must.NoError(t, err)
	eventually(t, func() bool { return a.Stats().Refused[RefusedStreamKind] == 1 })
	must.Len(t, 1, a.Events())
}

// Only missing heartbeats may end the session of a paused peer. Fake time
// cannot test this in this package: yamux keeps its timers in a pool that
// outlives the bubble of a test.
func TestMuxDoesNotCloseIdleSession(t *testing.T) {
	c := New(Config{Hello: hello(1)}).muxConfig()
	must.False(t, c.EnableKeepAlive)
	must.Eq(t, 0, c.StreamOpenTimeout)
	must.GreaterEq(t, 24*time.Hour, c.ConnectionWriteTimeout)
	must.NoError(t, yamux.VerifyConfig(c))
}
