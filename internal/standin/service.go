package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the faults of a plain service, set by POST
// /standin/faults. A field that is absent from the body keeps its value.
type ServiceFaults struct {
	// DelayMS is the duration of one call. SlowFactor multiplies it; zero and
	// one mean no change.
	DelayMS    int64   `json:"delay_ms"`
	SlowFactor float64 `json:"slow_factor"`
	// ResetBefore closes the connection before the call runs. ResetAfter
	// closes it after the call has run and before the response.
	ResetBefore bool `json:"reset_before"`
	ResetAfter  bool `json:"reset_after"`
	// Status is the status of the responses. Zero means 200.
	Status int `json:"status"`
	// Silent runs the call and never responds.
	Silent bool `json:"silent"`
	// Leaving is set in the load reports.
	Leaving bool `json:"leaving"`
	// LoadLagMS is the age of the load reports.
	LoadLagMS int64 `json:"load_lag_ms"`
	// CrashMarker crashes the service when a body contains it. RestartMS is
	// how long a crashed service refuses connections.
	CrashMarker string `json:"crash_marker"`
	RestartMS   int64  `json:"restart_ms"`
}

// ServiceSettings configure one plain service.
type ServiceSettings struct {
	// Name identifies the service in the record.
	Name string
	// Faults are the faults that are set at the start.
	Faults ServiceFaults
}

// Service is a stand-in for one plain service. It runs each call that it
// receives, including repeated ones.
type Service struct {
	settings ServiceSettings
	recorder *Recorder
	outage   *outage

	mu            sync.Mutex
	faults        ServiceFaults
	drainingSince time.Time
	startID       uint64
	crashed       chan struct{}
	running       map[*Run]struct{}
	load          loadHistory
}

// ServiceAnswer is the body of a service's response.
type ServiceAnswer struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	User      string `json:"user"`
	// Number is the Number of the Run.
	Number uint64 `json:"number"`
}

// DefaultServiceSettings returns settings for a fast service.
func DefaultServiceSettings() ServiceSettings {
	return ServiceSettings{
		Name:   "service",
		Faults: ServiceFaults{DelayMS: 20, LoadLagMS: 500, RestartMS: 2000},
	}
}

// NewService returns a service that records into recorder.
func NewService(settings ServiceSettings, recorder *Recorder) *Service {
	defaults := DefaultServiceSettings()
	setDefault(&settings.Name, defaults.Name)
	setDefault(&settings.Faults, defaults.Faults)
	s := &Service{
		settings: settings,
		recorder: recorder,
		outage:   newOutage(),
		startID:  newStartID(),
		faults:   settings.Faults,
		crashed:  make(chan struct{}),
		running:  make(map[*Run]struct{}),
	}
	return s
}

// Faults returns the current faults.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.drainingSince = updateDrainingSince(s.drainingSince, f.Leaving)
}

func (s *Service) setFaultsJSON(body []byte) error {
	f := s.Faults()
	if err := unmarshalStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// ServeHTTP runs calls of any method and path, and serves the load report and
// the control paths.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serveRuns(s.recorder, s.settings.Name, w, r) || serveFaults(s, w, r) {
		return
	}
	if s.outage.isDown() {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/v1/load" {
		s.serveLoad(w)
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == "/standin/crash" {
		s.Crash()
		return
	}
	s.serveCall(w, r)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	run := s.recordRequest(r)
	body, err := io.ReadAll(r.Body)
	s.recorder.setBody(run, body, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	user := userMarker(body)
	s.recorder.update(run, func(run *Run) { run.User = user })
	faults := s.Faults()
	if faults.CrashMarker != "" && containsMarker(body, faults.CrashMarker) {
		s.Crash()
		s.recorder.setFinalState(run, RunCrashed)
		panic(http.ErrAbortHandler)
	}
	if faults.ResetBefore {
		s.recorder.setFinalState(run, RunRejected)
		panic(http.ErrAbortHandler)
	}
	if !s.runCall(r.Context(), run, faults) || faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		holdConnection(r)
		return
	}
	s.writeAnswer(w, r, run, user, faults)
}

// runCall runs a call to its end, even if the caller disconnects. It returns
// false if the service crashes.
func (s *Service) runCall(ctx context.Context, run *Run, faults ServiceFaults) bool {
	crashed := s.startCall(run)
	defer s.finishCall(run)
	d := time.Duration(faults.DelayMS) * time.Millisecond
	if faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * faults.SlowFactor)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.recorder.setFinalState(run, RunCompleted)
		return true
	case <-crashed:
		return false
	}
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, run *Run, user string, faults ServiceFaults) {
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	w.Header().Set("Content-Type", "application/json")
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	_, _ = w.Write(mustJSON(ServiceAnswer{
		Endpoint: s.settings.Name, RequestID: id, User: user, Number: run.Number,
	}))
}

func (s *Service) recordRequest(r *http.Request) *Run {
	s.mu.Lock()
	drainingSince := s.drainingSince
	s.mu.Unlock()
	return s.recorder.add(newRun(s.settings.Name, r, drainingSince))
}

func (s *Service) startCall(run *Run) (crashed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[run] = struct{}{}
	s.load.addSample(len(s.running), 0)
	s.recorder.update(run, func(run *Run) { run.State = RunRunning })
	return s.crashed
}

func (s *Service) finishCall(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, run)
	s.load.addSample(len(s.running), 0)
}

// Crash aborts all calls and refuses connections for the restart time.
func (s *Service) Crash() {
	s.stop(time.Duration(s.Faults().RestartMS) * time.Millisecond)
}

// Close stops the service permanently.
func (s *Service) Close() { s.stop(forever) }

func (s *Service) stop(d time.Duration) {
	s.mu.Lock()
	for run := range s.running {
		s.recorder.setFinalState(run, RunCrashed)
	}
	clear(s.running)
	s.load = loadHistory{}
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.startID = newStartID()
	s.mu.Unlock()
	s.outage.start(d)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	lag := time.Duration(s.faults.LoadLagMS) * time.Millisecond
	report := s.load.report(time.Now().Add(-lag))
	report.MeasuredMSAgo = lag.Milliseconds()
	report.Leaving = !s.drainingSince.IsZero()
	report.Started = s.startID
	s.mu.Unlock()
	writeJSON(w, report)
}

// userMarker returns the field "user" of a JSON body, or an empty string.
func userMarker(body []byte) string {
	var document struct {
		User string `json:"user"`
	}
	if json.Unmarshal(body, &document) != nil {
		return ""
	}
	return document.User
}
