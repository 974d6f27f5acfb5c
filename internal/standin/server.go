package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// listenRetryInterval is the pause between attempts to listen again on an
// address after an outage.
const listenRetryInterval = 20 * time.Millisecond

// Server serves one stand-in on an address. While the stand-in is down it
// refuses connections.
type Server struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// reopen ends the outage that was announced last.
	reopen *time.Timer
	closed bool
}

// outageHolder is a stand-in that can be down.
type outageHolder interface{ outages() *outage }

func (e *Engine) outages() *outage   { return e.outage }
func (s *Service) outages() *outage  { return s.outage }
func (p *Platform) outages() *outage { return p.outage }

// Listen starts to serve a stand-in on an address, whose port may be 0. It
// returns an error where the address cannot be listened on.
func Listen(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.open(); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	if h, ok := handler.(outageHolder); ok {
		h.outages().notify(s.interrupt)
	}
	return s, nil
}

// Address returns the IP number and port that the stand-in is served on.
func (s *Server) Address() string { return s.address }

// Serve serves until ctx ends; it suits suture.
func (s *Server) Serve(ctx context.Context) error {
	<-ctx.Done()
	s.Close()
	return ctx.Err()
}

// Close drops all connections and stops listening.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.reopen != nil {
		s.reopen.Stop()
	}
	s.shut()
}

// open listens and serves. The caller holds s.mu.
func (s *Server) open() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "stand-in at %s", s.address)
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.handler}
	go func(server *http.Server) {
		// It returns once the server is closed.
		_ = server.Serve(listener)
	}(s.server)
	return nil
}

// shut drops the listener and all connections. The caller holds s.mu.
func (s *Server) shut() {
	if s.server != nil {
		_ = s.listener.Close()
		_ = s.server.Close()
		s.server = nil
	}
}

// interrupt refuses connections for a time.
func (s *Server) interrupt(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.shut()
	if s.reopen != nil {
		s.reopen.Stop()
	}
	if d != forever {
		s.reopen = time.AfterFunc(d, s.resume)
	}
}

// resume listens again. Another socket may hold the port for a moment.
func (s *Server) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return
	}
	if err := s.open(); err != nil {
		s.reopen = time.AfterFunc(listenRetryInterval, s.resume)
	}
}
