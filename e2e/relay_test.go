package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState says what a relay does with connections.
type linkState int

const (
	// linkOpen passes everything on.
	linkOpen linkState = iota
	// linkRefused ends all connections and each new one.
	linkRefused
	// linkSilent keeps connections and passes nothing on, as a network that
	// drops packets; what was held back is passed on when the link heals.
	linkSilent
)

// stallCheck is how often a stalled copy looks whether the link has healed.
const stallCheck = 20 * time.Millisecond

// relay is one direction of dialling between two processes: it listens in
// place of the target.
type relay struct {
	listener net.Listener
	target   string
	state    atomic.Int32
	bytes    atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
	wg    sync.WaitGroup
}

func newRelay(ip, target string) (*relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	r.wg.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set changes what the relay does.
func (r *relay) set(s linkState) {
	r.state.Store(int32(s))
	if s == linkRefused {
		r.dropAll()
	}
}

func (r *relay) is(s linkState) bool { return linkState(r.state.Load()) == s }

func (r *relay) close() {
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.dropAll()
	r.wg.Wait()
}

func (r *relay) dropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.track(c) {
			_ = c.Close()
			continue
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

// track keeps a connection so that it can be dropped.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.is(linkRefused) {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

func (r *relay) serve(c net.Conn) {
	defer r.untrack(c)
	if !r.waitOpen() {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.track(out) {
		_ = out.Close()
		return
	}
	defer r.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, c) })
	both.Go(func() { r.copy(c, out) })
	both.Wait()
}

// copy passes bytes on until one side ends, then ends both.
func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.waitOpen() {
				return
			}
			r.bytes.Add(int64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			// An end, too, waits while the link is silent.
			if err == io.EOF {
				r.waitOpen()
			}
			return
		}
	}
}

// waitOpen waits while the link is silent and reports whether it is open.
func (r *relay) waitOpen() bool {
	for r.is(linkSilent) {
		time.Sleep(stallCheck)
		r.mu.Lock()
		done := r.done
		r.mu.Unlock()
		if done {
			return false
		}
	}
	return r.is(linkOpen)
}
