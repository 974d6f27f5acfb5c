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
// /standin/faults. A field that the body leaves out keeps its value.
type ServiceFaults struct {
	// DelayMS is the time of one call, and SlowFactor lengthens it; zero and
	// one mean no change.
	DelayMS    int64   `json:"delay_ms"`
	SlowFactor float64 `json:"slow_factor"`
	// ResetBefore drops the connection before the call runs, ResetAfter once
	// it has run and before it is answered.
	ResetBefore bool `json:"reset_before"`
	ResetAfter  bool `json:"reset_after"`
	// Status is the status of the answers; zero means 200.
	Status int `json:"status"`
	// Silent runs the call and never answers.
	Silent bool `json:"silent"`
	// Leaving is announced in the load reports.
	Leaving bool `json:"leaving"`
	// LoadLagMS is the age of the load reports.
	LoadLagMS int64 `json:"load_lag_ms"`
	// CrashMarker crashes the service when a body contains it, and RestartMS
	// is for how long it then refuses connections.
	CrashMarker string `json:"crash_marker"`
	RestartMS   int64  `json:"restart_ms"`
}

// ServiceSettings describe one plain service.
type ServiceSettings struct {
	// Name is how the record names the service.
	Name string
	// Faults are those in force at the start.
	Faults ServiceFaults
}

// Service is a stand-in for one plain service. It runs each call that
// reaches it, also a repeated one.
type Service struct {
	settings ServiceSettings
	recorder *Recorder
	outage   *outage

	mu           sync.Mutex
	faults       ServiceFaults
	leavingSince time.Time
	started      uint64
	crashed      chan struct{}
	running      map[*Run]struct{}
	load         loadHistory
}

// ServiceAnswer is the body of a service's answer.
type ServiceAnswer struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	User      string `json:"user"`
	// Number is that of the Run.
	Number uint64 `json:"number"`
}

// DefaultServiceSettings returns the settings of a quick service.
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
		started:  newStarted(),
		faults:   settings.Faults,
		crashed:  make(chan struct{}),
		running:  make(map[*Run]struct{}),
	}
	return s
}

// Faults returns the faults in force.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults puts faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.leavingSince = leavingSince(s.leavingSince, f.Leaving)
}

func (s *Service) setFaultsJSON(body []byte) error {
	f := s.Faults()
	if err := unmarshalStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// ServeHTTP runs a call of any method and path, and serves the load report
// and the control endpoints.
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
	run := s.record(r)
	body, err := io.ReadAll(r.Body)
	s.recorder.setBody(run, body, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	user := bodyUser(body)
	s.recorder.update(run, func(run *Run) { run.User = user })
	faults := s.Faults()
	if faults.CrashMarker != "" && contains(body, faults.CrashMarker) {
		s.Crash()
		s.recorder.finish(run, RunCrashed)
		panic(http.ErrAbortHandler)
	}
	if faults.ResetBefore {
		s.recorder.finish(run, RunRejected)
		panic(http.ErrAbortHandler)
	}
	if !s.work(r.Context(), run, faults) || faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		holdSilently(r)
		return
	}
	s.answer(w, r, run, user, faults)
}

// work runs the call. A call that has begun is run to its end also where its
// caller has gone; it reports false where the service crashed.
func (s *Service) work(ctx context.Context, run *Run, faults ServiceFaults) bool {
	crashed := s.enter(run)
	defer s.leave(run)
	d := time.Duration(faults.DelayMS) * time.Millisecond
	if faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * faults.SlowFactor)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.recorder.finish(run, RunWhole)
		return true
	case <-crashed:
		return false
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, run *Run, user string, faults ServiceFaults) {
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

func (s *Service) record(r *http.Request) *Run {
	s.mu.Lock()
	since := s.leavingSince
	s.mu.Unlock()
	return s.recorder.add(newRun(s.settings.Name, r, since))
}

func (s *Service) enter(run *Run) (crashed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[run] = struct{}{}
	s.load.record(len(s.running), 0)
	s.recorder.update(run, func(run *Run) { run.State = RunRunning })
	return s.crashed
}

func (s *Service) leave(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, run)
	s.load.record(len(s.running), 0)
}

// Crash drops all calls and refuses connections for the restart time.
func (s *Service) Crash() {
	s.stop(time.Duration(s.Faults().RestartMS) * time.Millisecond)
}

// Close stops all work for good.
func (s *Service) Close() { s.stop(forever) }

func (s *Service) stop(d time.Duration) {
	s.mu.Lock()
	for run := range s.running {
		s.recorder.finish(run, RunCrashed)
	}
	clear(s.running)
	s.load = loadHistory{}
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.started = newStarted()
	s.mu.Unlock()
	s.outage.begin(d)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	lag := time.Duration(s.faults.LoadLagMS) * time.Millisecond
	report := s.load.report(time.Now().Add(-lag))
	report.MeasuredMSAgo = lag.Milliseconds()
	report.Leaving = !s.leavingSince.IsZero()
	report.Started = s.started
	s.mu.Unlock()
	writeJSON(w, report)
}

// bodyUser returns the field "user" of a JSON body, or nothing.
func bodyUser(body []byte) string {
	var marked struct {
		User string `json:"user"`
	}
	if json.Unmarshal(body, &marked) != nil {
		return ""
	}
	return marked.User
}
