package peertest

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Relay passes connections on to a target until freeze is called. From then on
// nothing passes, as behind a cut through which no reset comes either.
func Relay(t testing.TB, target string) (address string, freeze func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var frozen atomic.Bool
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			go pass(in, out, &frozen)
			go pass(out, in, &frozen)
		}
	}()
	return l.Addr().String(), func() { frozen.Store(true) }
}

func pass(from, to net.Conn, frozen *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if frozen.Load() {
			return
		}
		if err != nil {
			to.Close()
			return
		}
		// A failed write shows at the next read.
		_, _ = to.Write(buf[:n])
	}
}
