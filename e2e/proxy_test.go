package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is how a proxy treats connections.
type linkState int

const (
	// linkOpen forwards all bytes.
	linkOpen linkState = iota
	// linkRefused closes all connections, including new ones.
	linkRefused
	// linkStalled keeps connections open and forwards nothing, as a network
	// that drops packets does. Withheld bytes are forwarded when the link
	// heals.
	linkStalled
)

// stallPollInterval is how often a stalled copy checks whether the link has
// healed.
const stallPollInterval = 20 * time.Millisecond

// linkProxy is a TCP proxy for the connections that one process opens to
// another: it listens in place of the target.
type linkProxy struct {
	listener net.Listener
	target   string
	state    atomic.Int32
	bytes    atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

func newLinkProxy(ip, target string) (*linkProxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &linkProxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *linkProxy) address() string { return p.listener.Addr().String() }

// set changes the state of the link.
func (p *linkProxy) set(s linkState) {
	p.state.Store(int32(s))
	if s == linkRefused {
		p.closeConns()
	}
}

func (p *linkProxy) hasState(s linkState) bool { return linkState(p.state.Load()) == s }

func (p *linkProxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.closeConns()
	p.wg.Wait()
}

func (p *linkProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *linkProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.track(c) {
			_ = c.Close()
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// track records a connection so that it can be closed.
func (p *linkProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.hasState(linkRefused) {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *linkProxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *linkProxy) serve(c net.Conn) {
	defer p.untrack(c)
	if !p.waitOpen() {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.track(out) {
		_ = out.Close()
		return
	}
	defer p.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, c) })
	both.Go(func() { p.copy(c, out) })
	both.Wait()
}

// copy forwards bytes until one side ends, then closes both.
func (p *linkProxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitOpen() {
				return
			}
			p.bytes.Add(int64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			// The end of the stream is also delayed while the link is stalled.
			if err == io.EOF {
				p.waitOpen()
			}
			return
		}
	}
}

// waitOpen waits while the link is stalled and reports whether it is open.
func (p *linkProxy) waitOpen() bool {
	for p.hasState(linkStalled) {
		time.Sleep(stallPollInterval)
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
	}
	return p.hasState(linkOpen)
}
