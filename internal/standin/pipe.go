package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipes serves handlers over in-memory connections, for tests in fake time.
// The addresses of the handlers exist only in the Pipes.
type Pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	servers   []*http.Server
}

// NewPipes returns Pipes without handlers.
func NewPipes() *Pipes { return &Pipes{listeners: make(map[string]*pipeListener)} }

// Serve serves a handler at an address until Close.
func (p *Pipes) Serve(address string, handler http.Handler) {
	listener := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	p.mu.Lock()
	p.listeners[address] = listener
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	}()
}

// Transport returns a transport that connects to addresses of the Pipes.
func (p *Pipes) Transport() *http.Transport {
	return &http.Transport{DialContext: p.DialContext, DisableCompression: true}
}

// DialContext connects to an address of the Pipes.
func (p *Pipes) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	listener, ok := p.listeners[address]
	p.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	}
	client, server := net.Pipe()
	select {
	case listener.conns <- server:
		return client, nil
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close closes all connections and removes the handlers.
func (p *Pipes) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
	clear(p.listeners)
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

// pipeAddr is an address of Pipes.
type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
