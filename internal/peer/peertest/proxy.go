package peertest

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// FreezableProxy passes connections on to a target until freeze is called.
// After that it passes neither data nor resets, like a network partition.
func FreezableProxy(t testing.TB, target string) (address string, freeze func()) {
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
			go copyUntilFrozen(in, out, &frozen)
			go copyUntilFrozen(out, in, &frozen)
		}
	}()
	return l.Addr().String(), func() { frozen.Store(true) }
}

func copyUntilFrozen(from, to net.Conn, frozen *atomic.Bool) {
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
		// A failed write is detected by the next read.
		_, _ = to.Write(buf[:n])
	}
}
