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

// signalHandler is a Handler that signals each PeerUp and each Message on a
// channel.
type signalHandler struct {
	up, message chan struct{}
}

func (n *signalHandler) PeerUp(uint64, *peerpb.Hello)  { n.up <- struct{}{} }
func (n *signalHandler) PeerDown(uint64)               {}
func (n *signalHandler) Message(uint64, *peerpb.Frame) { n.message <- struct{}{} }
func newSignalHandler() *signalHandler {
	return &signalHandler{make(chan struct{}, 1), make(chan struct{}, 1024)}
}

func cpuNanoseconds(b *testing.B) (ns int64) {
	var u unix.Rusage
	must.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkFrame sends frames from one Transport to another in this process:
// alone, each after the previous one has arrived, and many at a time. It
// reports the bytes of a frame on the control stream and below yamux, window
// updates included, and the CPU time of both ends together.
func BenchmarkFrame(b *testing.B) {
	for name, f := range peertest.SmallFrames() {
		b.Run(name+"/alone", func(b *testing.B) { benchmarkFrame(b, f, 1) })
		b.Run(name+"/many", func(b *testing.B) { benchmarkFrame(b, f, 64) })
	}
}

func benchmarkFrame(b *testing.B, f *peerpb.Frame, batchSize int) {
	from, to := newSignalHandler(), newSignalHandler()
	sender, receiver := serveBench(b, 1, from), serveBench(b, 2, to)
	address, err := receiver.Listen()
	must.NoError(b, err)
	for sender.Stats().Sessions == 0 {
		sender.Connect(address.String())
	}
	<-from.up
	<-to.up
	before, cpuBefore := sender.Stats(), cpuNanoseconds(b)
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		n := min(batchSize, b.N-sent)
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
	b.ReportMetric(float64(cpuNanoseconds(b)-cpuBefore)/n, "cpu-ns/frame")
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

// BenchmarkIdleSession reports the memory of one end of an idle session,
// including the stacks of its goroutines.
func BenchmarkIdleSession(b *testing.B) {
	const sessions = 100
	for range b.N {
		hub := serveBench(b, 1, &signalHandler{make(chan struct{}, sessions), nil})
		address, err := hub.Listen()
		must.NoError(b, err)
		before := memoryInUse()
		for inc := range uint64(sessions) {
			end := newSignalHandler()
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
