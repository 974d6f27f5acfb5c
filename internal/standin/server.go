package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// listenRetryInterval is the time between attempts to listen after an outage.
const listenRetryInterval = 20 * time.Millisecond

// Server serves one stand-in on an address. It refuses connections while the
// stand-in is down.
type Server struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// resumeTimer ends the latest outage.
	resumeTimer *time.Timer
	closed      bool
}

// interruptible is a stand-in that can have outages.
type interruptible interface{ outageState() *outage }

func (e *Engine) outageState() *outage   { return e.outage }
func (s *Service) outageState() *outage  { return s.outage }
func (p *Platform) outageState() *outage { return p.outage }

// Listen serves a stand-in on an address, whose port may be 0. It returns an
// error if it cannot listen on the address.
func Listen(address string, handler http.Handler) (*Server, error) {
	s := &Server{address: address, handler: handler}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startServing(); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	if h, ok := handler.(interruptible); ok {
		h.outageState().setOnStart(s.interrupt)
	}
	return s, nil
}

// Address returns the IP address and port on which the stand-in is served.
func (s *Server) Address() string { return s.address }

// Serve waits until ctx ends and closes the server. It implements
// suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	<-ctx.Done()
	s.Close()
	return ctx.Err()
}

// Close closes all connections and the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.resumeTimer != nil {
		s.resumeTimer.Stop()
	}
	s.stopServing()
}

// startServing listens and serves. The caller must hold s.mu.
func (s *Server) startServing() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen for the stand-in at %s", s.address)
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.handler}
	go func(server *http.Server) {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	}(s.server)
	return nil
}

// stopServing closes the listener and all connections. The caller must hold
// s.mu.
func (s *Server) stopServing() {
	if s.server != nil {
		_ = s.listener.Close()
		_ = s.server.Close()
		s.server = nil
	}
}

// interrupt refuses connections for d.
func (s *Server) interrupt(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.stopServing()
	if s.resumeTimer != nil {
		s.resumeTimer.Stop()
	}
	if d != forever {
		s.resumeTimer = time.AfterFunc(d, s.resume)
	}
}

// resume listens again after an outage. It retries, since another socket may
// hold the port for a short time.
func (s *Server) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return
	}
	if err := s.startServing(); err != nil {
		s.resumeTimer = time.AfterFunc(listenRetryInterval, s.resume)
	}
}
