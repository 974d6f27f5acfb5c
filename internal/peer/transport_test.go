package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

// node is one Transport that is being served, with the Recorder of its events.
type node struct {
	*Transport
	*peertest.Recorder
	address string
	stop    func()
}

func start(t *testing.T, inc uint64, change func(*Config)) *node {
	t.Helper()
	n := &node{Recorder: &peertest.Recorder{}}
	var log bytes.Buffer
	cfg := Config{
		Incarnation: inc, Hello: hello(inc), ListenAddress: "127.0.0.1:0", Handler: n.Recorder,
		Log: logline.New(&log, "debug"),
	}
	if change != nil {
		change(&cfg)
	}
	n.Transport = New(cfg)
	address, err := n.Listen()
	must.NoError(t, err)
	n.address = address.String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			must.ErrorIs(t, <-done, context.Canceled)
		})
	}
	t.Cleanup(func() {
		n.stop()
		if t.Failed() {
			t.Logf("log of %d:\n%s", inc, log.String())
		}
	})
	// Connect does nothing until Serve runs.
	eventually(t, func() bool {
		n.Transport.mu.Lock()
		defer n.Transport.mu.Unlock()
		return n.ctx != nil
	})
	return n
}

// Short names for frequently used helpers.
var (
	eventually = peertest.Eventually
	ask        = peertest.Ask
	heartbeat  = peertest.Heartbeat
	fileReply  = peertest.FileReply
)

func hello(inc uint64) *peerpb.Hello { return peertest.Hello(inc, Protocol) }

func TestFramesArriveInOrderInBothDirections(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	a.Connect(b.address)
	a.AwaitEvents(t, "up 2 instance-2")
	b.AwaitEvents(t, "up 1 instance-1")
	const n = 2000
	for i := range uint64(n) {
		must.True(t, a.Send(2, ask(i)))
		must.True(t, b.Send(1, ask(i)))
	}
	for _, got := range [][]*peerpb.Frame{a.AwaitFrames(t, n), b.AwaitFrames(t, n)} {
		for i, f := range got {
			must.Eq(t, uint64(i), f.GetAsk().GetRequest())
		}
	}
	must.Eq(t, 1, b.AwaitFrames(t, n)[0].GetFrom())
	eventually(t, func() bool { return a.Stats().Sent["ask"].Frames == n })
	must.Eq(t, a.Stats().Sent["ask"], b.Stats().Received["ask"])
	must.Eq(t, 1, a.Stats().Peers)
}

func TestFullMeshOfThree(t *testing.T) {
	nodes := []*node{start(t, 1, nil), start(t, 2, nil), start(t, 3, nil)}
	for _, n := range nodes {
		for _, other := range nodes {
			n.Connect(other.address)
		}
	}
	for i, n := range nodes {
		eventually(t, func() bool { return len(n.Events()) >= 2 })
		for j := range nodes {
			if i != j {
				must.True(t, n.Send(uint64(j+1), ask(uint64(i))))
			}
		}
		eventually(t, func() bool { return n.Stats().Refused[RefusedSelf] == 2 })
	}
	for _, n := range nodes {
		n.AwaitFrames(t, 2)
		eventually(t, func() bool { return n.Stats().Sessions == 2 })
		must.Eq(t, 2, len(n.Events()))
	}
}

func TestStoppedPeerIsReportedAndReplacedByNewIncarnation(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	a.Connect(b.address)
	// The accepting side reports the peer first. Without the wait for the other
	// side, stop could interrupt the handshake instead of the session.
	b.AwaitEvents(t, "up 1 instance-1")
	a.AwaitEvents(t, "up 2 instance-2")
	b.stop()
	a.AwaitEvents(t, "up 2 instance-2", "down 2")
	b.AwaitEvents(t, "up 1 instance-1", "down 1")
	must.False(t, a.Send(2, ask(1)))
	must.Eq(t, 1, a.Stats().Dropped[DroppedNoSession])
	must.Eq(t, 0, a.Stats().Sessions)
	again := start(t, 3, func(c *Config) { c.ListenAddress = b.address })
	a.Connect(b.address)
	a.AwaitEvents(t, "up 2 instance-2", "down 2", "up 3 instance-3")
	again.AwaitEvents(t, "up 1 instance-1")
}

// A peer that fails during the handshake is never reported up. The failed
// attempt must not prevent the next Connect to the same address.
func TestRedialAfterPeerFailsDuringHandshake(t *testing.T) {
	dying, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := dying.Addr().String()
	a := start(t, 1, nil)
	a.Connect(address)
	conn, err := dying.Accept()
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	must.NoError(t, dying.Close())
	eventually(t, func() bool {
		a.Transport.mu.Lock()
		defer a.Transport.mu.Unlock()
		return !a.dials[address]
	})
	must.SliceEmpty(t, a.Events())
	must.Eq(t, 0, a.Stats().Sessions)
	start(t, 2, func(c *Config) { c.ListenAddress = address })
	a.Connect(address)
	a.AwaitEvents(t, "up 2 instance-2")
}

func TestConnectAfterClose(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	for range 3 {
		a.Connect(b.address)
		eventually(t, func() bool { return len(a.Events())%2 == 1 })
		eventually(t, func() bool { return len(b.Events())%2 == 1 })
		a.Close(2)
		eventually(t, func() bool { return len(a.Events())%2 == 0 })
		eventually(t, func() bool { return len(b.Events())%2 == 0 })
	}
	must.Len(t, 6, a.Events())
}

func TestConnectIsIdempotent(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	for range 20 {
		a.Connect(b.address)
	}
	a.AwaitEvents(t, "up 2 instance-2")
	for range 20 {
		a.Connect(b.address)
	}
	must.Eq(t, 1, a.Stats().Sessions)
	must.Eq(t, int64(1), a.Stats().Sent["hello"].Frames)
}

// Both sides dial at once, many times: one session remains, the one dialled by
// the smaller incarnation, and neither Handler receives a PeerDown.
func TestSimultaneousDial(t *testing.T) {
	for round := range 40 {
		a, b := start(t, 1, nil), start(t, 2, nil)
		go a.Connect(b.address)
		b.Connect(a.address)
		eventually(t, func() bool { return len(a.Events()) > 0 })
		eventually(t, func() bool { return len(b.Events()) > 0 })
		eventually(t, func() bool {
			sa, sb := a.Stats(), b.Stats()
			both := sa.Received["hello"].Frames + sb.Received["hello"].Frames
			return both >= 2 && both%2 == 0 && sa.Sessions == 1 && sb.Sessions == 1
		})
		must.True(t, a.Send(2, ask(uint64(round))))
		must.True(t, b.Send(1, ask(uint64(round))))
		a.AwaitFrames(t, 1)
		b.AwaitFrames(t, 1)
		must.Eq(t, []string{"up 2 instance-2"}, a.Events())
		must.Eq(t, []string{"up 1 instance-1"}, b.Events())
		a.stop()
		b.stop()
	}
}

// forceDial opens a session even where Connect would do nothing.
func forceDial(t *testing.T, from *node, address string) {
	t.Helper()
	from.goTracked(func(ctx context.Context) {
		s, err := from.dial(ctx, address)
		from.serveSession(s, err, address)
	})
}

func TestLaterSessionOfSmallerIncarnationReplacesWithoutFlap(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	b.Connect(a.address)
	a.AwaitEvents(t, "up 2 instance-2")
	b.AwaitEvents(t, "up 1 instance-1")
	const n = 500
	for i := range uint64(n) {
		if i == n/2 {
			forceDial(t, a, b.address)
		}
		must.True(t, a.Send(2, ask(i)))
		must.True(t, b.Send(1, ask(i)))
	}
	a.AwaitFrames(t, n)
	b.AwaitFrames(t, n)
	eventually(t, func() bool { return a.Stats().Received["hello"].Frames == 2 })
	eventually(t, func() bool { return a.Stats().Sessions == 1 && b.Stats().Sessions == 1 })
	for _, node := range []*node{a, b} {
		must.Len(t, 1, node.Events())
		node.Transport.mu.Lock()
		for _, l := range node.links {
			must.Eq(t, 1, l.current().dialler())
		}
		node.Transport.mu.Unlock()
	}
}

// The session dialled by the smaller incarnation is dead behind a network
// partition that only the larger incarnation has detected. The new session of
// the larger incarnation must replace it.
func TestDeadSessionIsReplacedByLaterOne(t *testing.T) {
	probe := func(c *Config) { c.ProbeTimeout = 200 * time.Millisecond }
	a, b := start(t, 1, probe), start(t, 2, probe)
	address, freeze := peertest.FreezableProxy(t, b.address)
	a.Connect(address)
	b.AwaitEvents(t, "up 1 instance-1")
	a.AwaitEvents(t, "up 2 instance-2")
	freeze()
	b.Close(1)
	b.AwaitEvents(t, "up 1 instance-1", "down 1")
	b.Connect(a.address)
	b.AwaitEvents(t, "up 1 instance-1", "down 1", "up 1 instance-1")
	eventually(t, func() bool { return a.Stats().Sessions == 1 })
	must.True(t, a.Send(2, ask(7)))
	b.AwaitFrames(t, 1)
	must.Len(t, 3, b.Events())
	must.Len(t, 1, a.Events())
}

func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		reason RefusalReason
	}{
		"zone":     {func(c *Config) { c.Hello.AvailabilityZone = "south" }, RefusedZone},
		"protocol": {func(c *Config) { c.Hello.Protocol = Protocol + 1 }, RefusedProtocol},
		"hello":    {func(c *Config) { c.Incarnation = 0 }, RefusedHello},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := start(t, 1, nil), start(t, 2, c.change)
			b.Connect(a.address)
			eventually(t, func() bool { return a.Stats().Refused[c.reason] == 1 })
			eventually(t, func() bool {
				refused := int64(0)
				for _, n := range b.Stats().Refused {
					refused += n
				}
				return refused == 1
			})
			must.Eq(t, 0, a.Stats().Sessions)
			must.Eq(t, 0, b.Stats().Sessions)
			must.SliceEmpty(t, a.Events())
			must.SliceEmpty(t, b.Events())
		})
	}
}

func TestDialClosedPortAndSelf(t *testing.T) {
	a := start(t, 1, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	a.Connect(l.Addr().String())
	eventually(t, func() bool { return a.Stats().Refused[RefusedDial] == 1 })
	a.Connect(a.address)
	eventually(t, func() bool { return a.Stats().Refused[RefusedSelf] == 2 })
	must.Eq(t, 0, a.Stats().Sessions)
}

func TestTooManyPeers(t *testing.T) {
	a := start(t, 1, func(c *Config) { c.MaxPeers = 1 })
	start(t, 2, nil).Connect(a.address)
	a.AwaitEvents(t, "up 2 instance-2")
	start(t, 3, nil).Connect(a.address)
	eventually(t, func() bool { return a.Stats().Refused[RefusedTooManyPeers] == 1 })
	must.Eq(t, 1, a.Stats().Sessions)
}

func TestInvalidHandshakesAreRefused(t *testing.T) {
	a := start(t, 1, func(c *Config) { c.HandshakeTimeout = 300 * time.Millisecond })
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x05c\xff\xff\xff\xff"} {
		before := a.Stats().Refused[RefusedTimeout] + a.Stats().Refused[RefusedHandshake] + a.Stats().Refused[RefusedHello]
		conn, err := net.Dial("tcp", a.address)
		must.NoError(t, err)
		_, err = conn.Write([]byte(garbage))
		must.NoError(t, err)
		eventually(t, func() bool {
			s := a.Stats()
			return s.Refused[RefusedTimeout]+s.Refused[RefusedHandshake]+s.Refused[RefusedHello] == before+1
		})
		conn.Close()
	}
	must.Eq(t, 0, a.Stats().Sessions)
	b := start(t, 2, nil)
	b.Connect(a.address)
	a.AwaitEvents(t, "up 2 instance-2")
}

func TestTLS(t *testing.T) {
	ca, otherCA := peertest.NewCA(t), peertest.NewCA(t)
	with := func(c *tls.Config) func(*Config) { return func(cfg *Config) { cfg.TLS = c } }
	a := start(t, 1, with(newTLSConfig(t, ca, TLSName)))
	start(t, 2, with(newTLSConfig(t, ca, TLSName))).Connect(a.address)
	a.AwaitEvents(t, "up 2 instance-2")
	must.True(t, a.Send(2, ask(1)))
	for i, invalid := range []*tls.Config{
		newTLSConfig(t, otherCA, TLSName), newTLSConfig(t, ca, "caller.balsamstair"), nil,
	} {
		n := start(t, uint64(10+i), func(c *Config) {
			c.TLS = invalid
			c.HandshakeTimeout = time.Second
		})
		n.Connect(a.address)
		eventually(t, func() bool { return a.Stats().Refused[RefusedTLS] == int64(i)*2+1 })
		// In the other direction the dialler verifies the certificate as well.
		a.Connect(n.address)
		eventually(t, func() bool { return a.Stats().Refused[RefusedTLS] == int64(i)*2+2 })
		must.SliceEmpty(t, n.Events())
	}
	must.Len(t, 1, a.Events())
}
