// Package operator serves what people and the platform ask of one process, on
// an address of its own: liveness, readiness, status and counters.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/logline"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	writeTimeout   = 30 * time.Second
	answerTimeout  = 5 * time.Second
	stopTimeout    = 2 * time.Second
	maxHeaderBytes = 16 << 10
	// maxAnswers bounds the answers that are being made at a time.
	maxAnswers = 16
)

// Config describes a Server.
type Config struct {
	// Address is an IP number with a port.
	Address string
	// TLS protects the listener; nil leaves it plain.
	TLS      *tls.Config
	Counters *Counters
	// Status returns what /status shows, as JSON.
	Status func(ctx context.Context) (any, error)
	// Explain returns what /explain shows of the request named in its query, as
	// JSON, or an error if the name cannot be understood.
	Explain func(ctx context.Context, request string) (any, error)
	// Live returns an error if the process cannot do its work and should be
	// restarted; nil stands for one that always can. It gives up when ctx ends.
	Live func(ctx context.Context) error
	Log  *logline.Logger
}

// Server is the operators' HTTP server. It is a suture service.
type Server struct {
	cfg     Config
	mux     *http.ServeMux
	answers chan struct{}
	ready   atomic.Bool

	mu       sync.Mutex
	listener net.Listener
}

// New returns a Server that is not ready and does nothing until Serve runs.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = logline.Discard()
	}
	if cfg.Counters == nil {
		cfg.Counters = NewCounters()
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux(), answers: make(chan struct{}, maxAnswers)}
	s.mux.HandleFunc("GET /livez", s.livez)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /status", s.limit(s.status))
	s.mux.HandleFunc("GET /explain", s.limit(s.explain))
	s.mux.HandleFunc("GET /debug/vars", s.limit(s.vars))
	return s
}

// SetReady sets what /readyz answers: 200 or 503.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// ServeHTTP serves the operators' paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Listen opens the listener ahead of Serve, so that an address in use is known
// at start. It returns the address, which has a port of its own where the
// configured port is zero.
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

// Serve serves until ctx is done and returns ctx.Err(). It returns another
// error if it cannot listen or the listener fails.
func (s *Server) Serve(ctx context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	s.mu.Lock()
	listener := s.listener
	s.listener = nil
	s.mu.Unlock()
	if s.cfg.TLS != nil {
		listener = tls.NewListener(listener, s.cfg.TLS)
	}
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.cfg.Log.Standard("http"),
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		last, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(last); err != nil {
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

// limit refuses what would be one answer too many: a page that many ask for at
// once must not take the process's memory. The platform's own questions are
// not limited, as it would restart or pass over the process.
func (s *Server) limit(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.answers <- struct{}{}:
			defer func() { <-s.answers }()
			ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
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
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
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
	s.show(w, v)
}

// show writes a value whole or not at all: an error must not follow half an
// answer.
func (s *Server) show(w http.ResponseWriter, v any) {
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
	s.show(w, v)
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, append([]byte(s.cfg.Counters.vars.String()), '\n'))
}

// The far end may have gone; there is nobody left to tell.
func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body)
}
