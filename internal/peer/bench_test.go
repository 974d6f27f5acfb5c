package peer

import (
	"context"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

// notify is a Handler that only says that a frame came.
type notify struct {
	up, message chan struct{}
}

func (n *notify) PeerUp(uint64, *peerpb.Hello)  { n.up <- struct{}{} }
func (n *notify) PeerDown(uint64)               {}
func (n *notify) Message(uint64, *peerpb.Frame) { n.message <- struct{}{} }
func newNotify() *notify                        { return &notify{make(chan struct{}, 1), make(chan struct{}, 1024)} }
func processorNanoseconds(b *testing.B) (ns int64) {
	var u unix.Rusage
	must.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkFrame sends frames from one Transport to another in this process:
// alone, each after the one before has arrived, and many at a time. It reports
// a frame's bytes on the control stream and below yamux, window updates
// included, and the processor time of both ends together.
func BenchmarkFrame(b *testing.B) {
	for name, f := range peertest.SmallFrames() {
		b.Run(name+"/alone", func(b *testing.B) { benchmarkFrame(b, f, 1) })
		b.Run(name+"/many", func(b *testing.B) { benchmarkFrame(b, f, 64) })
	}
}

func benchmarkFrame(b *testing.B, f *peerpb.Frame, together int) {
	from, to := newNotify(), newNotify()
	sender, receiver := serveBench(b, 1, from), serveBench(b, 2, to)
	address, err := receiver.Listen()
	must.NoError(b, err)
	for sender.Stats().Sessions == 0 {
		sender.Connect(address.String())
	}
	<-from.up
	<-to.up
	before, processor := sender.Stats(), processorNanoseconds(b)
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		n := min(together, b.N-sent)
		for range n {
			must.True(b, sender.Send(2, f))
		}
		for range n {
			<-to.message
		}
		sent += n
	}
	b.StopTimer()
	after, n := sender.Stats(), float64(b.N)
	b.ReportMetric(float64(processorNanoseconds(b)-processor)/n, "cpu-ns/frame")
	b.ReportMetric(float64(after.WireSent-before.WireSent+after.WireReceived-before.WireReceived)/n, "wire-B/frame")
	encoded, _ := encodeFrame(1, f)
	b.ReportMetric(float64(len(encoded.bytes)), "B/frame")
}

func serveBench(b *testing.B, inc uint64, h Handler) *Transport {
	t := New(Config{Incarnation: inc, Hello: hello(inc), ListenAddress: "127.0.0.1:0", Handler: h})
	_, err := t.Listen()
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- t.Serve(ctx) }()
	b.Cleanup(func() { cancel(); <-done })
	return t
}

// BenchmarkIdleSession reports the memory of one end of an idle session, stacks
// of its goroutines included.
func BenchmarkIdleSession(b *testing.B) {
	const sessions = 100
	for range b.N {
		hub := serveBench(b, 1, &notify{make(chan struct{}, sessions), nil})
		address, err := hub.Listen()
		must.NoError(b, err)
		before := memoryInUse()
		for inc := range uint64(sessions) {
			end := newNotify()
			t := serveBench(b, inc+2, end)
			for t.Stats().Sessions == 0 {
				t.Connect(address.String())
			}
			<-end.up
		}
		for hub.Stats().Peers < sessions {
			runtime.Gosched()
		}
		b.ReportMetric(float64(memoryInUse()-before)/(2*sessions), "B/session")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
