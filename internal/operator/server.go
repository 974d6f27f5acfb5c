// Package operator serves the operator interface of one process, which people
// and the platform use, on its own address: liveness, readiness, status and
// counters.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/logline"
)

const (
	readTimeout     = 5 * time.Second
	idleTimeout     = time.Minute
	writeTimeout    = 30 * time.Second
	requestTimeout  = 5 * time.Second
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
	// headSlackBytes is what net/http reads of a head beyond its limit.
	headSlackBytes = 8 << 10
	// maxInFlight bounds the concurrent requests, except for liveness and
	// readiness checks.
	maxInFlight = 16
)

// Config describes a Server.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// TLS is the listener's TLS configuration; nil means plain HTTP.
	TLS      *tls.Config
	Counters *Counters
	// Status returns the value that /status serves as JSON.
	Status func(ctx context.Context) (any, error)
	// Explain returns the value that /explain serves as JSON for the request
	// named in its query, or an error if the name is malformed.
	Explain func(ctx context.Context, request string) (any, error)
	// Live returns an error if the process does not work and should be
	// restarted. It must return when ctx ends. If it is nil, the process always
	// counts as live.
	Live func(ctx context.Context) error
	Log  *logline.Logger
	// Connections limits the listener's connections; nil means no limits.
	Connections ConnectionLimiter
	// Profiles serves the profiles of package runtime/pprof below /debug/pprof/.
	Profiles bool
}

// ConnectionLimiter limits the connections of a listener.
type ConnectionLimiter interface {
	// Listener returns a listener whose connections are limited. headBytes returns
	// the number of bytes of a request's head that is read at most.
	Listener(inner net.Listener, headBytes func() int) net.Listener
	// ConnState is the ConnState hook of the listener's server.
	ConnState(conn net.Conn, state http.ConnState)
}

// Server is the HTTP server of the operator interface. It is a suture service.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	inFlight chan struct{}
	ready    atomic.Bool

	mu       sync.Mutex
	listener net.Listener
}

// New returns a Server that reports not ready and serves nothing until Serve
// runs.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = logline.Discard()
	}
	if cfg.Counters == nil {
		cfg.Counters = NewCounters()
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux(), inFlight: make(chan struct{}, maxInFlight)}
	s.mux.HandleFunc("GET /livez", s.livez)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /status", s.limitConcurrency(s.status))
	s.mux.HandleFunc("GET /explain", s.limitConcurrency(s.explain))
	s.mux.HandleFunc("GET /debug/vars", s.limitConcurrency(s.vars))
	if cfg.Profiles {
		s.mux.HandleFunc("GET /debug/pprof/", s.limitConcurrency(pprof.Index))
		s.mux.HandleFunc("GET /debug/pprof/profile", s.limitConcurrency(pprof.Profile))
	}
	return s
}

// SetReady sets the status that /readyz returns: 200 if ready, otherwise 503.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Listen opens the listener before Serve runs, so that an address in use is
// detected at startup. It returns the listener's address, with the assigned
// port if the configured port is zero.
func (s *Server) Listen() (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		l, err := net.Listen("tcp", s.cfg.Address)
		if err != nil {
			return nil, errors.Wrap(err, "operator: listen")
		}
		s.listener = l
	}
	return s.listener.Addr(), nil
}

// Serve serves until ctx is done and then returns ctx.Err(). It returns another
// error if it cannot listen or if the listener fails.
func (s *Server) Serve(ctx context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	s.mu.Lock()
	listener := s.listener
	s.listener = nil
	s.mu.Unlock()
	var connState func(net.Conn, http.ConnState)
	if s.cfg.Connections != nil {
		listener = s.cfg.Connections.Listener(listener, func() int { return maxHeaderBytes + headSlackBytes })
		connState = s.cfg.Connections.ConnState
	}
	if s.cfg.TLS != nil {
		listener = tls.NewListener(listener, s.cfg.TLS)
	}
	server := &http.Server{
		Handler:           s,
		ConnState:         connState,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.cfg.Log.Standard("http"),
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			server.Close()
		}
	})
	err := server.Serve(listener)
	if stop() {
		server.Close()
		return errors.Wrap(err, "operator: serve")
	}
	<-stopped
	return ctx.Err()
}

// limitConcurrency rejects requests above maxInFlight with status 503, because
// many concurrent responses could exhaust the memory of the process. Liveness
// and readiness checks of the platform must not use it: if they were rejected,
// the platform would restart the process or stop routing to it.
func (s *Server) limitConcurrency(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.inFlight <- struct{}{}:
			defer func() { <-s.inFlight }()
			ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
			defer cancel()
			h(w, r.WithContext(ctx))
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many requests at a time", http.StatusServiceUnavailable)
		}
	}
}

func (s *Server) livez(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Live != nil {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		if err := s.cfg.Live(ctx); err != nil {
			s.cfg.Log.Error("not_live", "err", err)
			http.Error(w, "not live", http.StatusServiceUnavailable)
			return
		}
	}
	writeText(w, "live\n")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ready\n")
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Status == nil {
		http.NotFound(w, r)
		return
	}
	v, err := s.cfg.Status(r.Context())
	if err != nil {
		s.cfg.Log.Error("status_failed", "err", err)
		http.Error(w, "status is not available", http.StatusServiceUnavailable)
		return
	}
	s.writeValue(w, v)
}

// writeValue encodes the whole value before it writes, so that an encoding
// error never follows a partial body.
func (s *Server) writeValue(w http.ResponseWriter, v any) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(v); err != nil {
		s.cfg.Log.Error("status_failed", "err", err)
		http.Error(w, "status cannot be shown", http.StatusInternalServerError)
		return
	}
	writeJSON(w, body.Bytes())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Explain == nil {
		http.NotFound(w, r)
		return
	}
	v, err := s.cfg.Explain(r.Context(), r.URL.Query().Get("request"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.writeValue(w, v)
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, append([]byte(s.cfg.Counters.vars.String()), '\n'))
}

// writeText writes a text response. A write error is ignored: the client has
// disconnected and cannot be informed.
func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text))
}

// writeJSON writes a JSON response. It ignores write errors as writeText does.
func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body)
}
