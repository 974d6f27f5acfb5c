package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"
	"time"
)

// DefaultRecordedBodyBytes is the length of the beginning of a body that a Run
// stores as text.
const DefaultRecordedBodyBytes = 4 << 10

// RunState is the state of a recorded request.
type RunState string

// The states of a recorded request.
const (
	// RunReceived means that at least the headers were read.
	RunReceived RunState = "received"
	// RunRunning means that the complete body was read and the request was
	// started.
	RunRunning RunState = "running"
	// RunCompleted means that the request ran to its end.
	RunCompleted RunState = "whole"
	// RunCancelled means that the request was cancelled, or that its answer had
	// no reader for DisconnectGrace.
	RunCancelled RunState = "cancelled"
	// RunCrashed means that the endpoint crashed before the request finished.
	RunCrashed RunState = "crashed"
	// RunRejected means that the endpoint did not run the request and returned
	// an error or closed the connection.
	RunRejected RunState = "rejected"
)

// Run is the record of one request that an endpoint received.
type Run struct {
	// Number is the position of the request in the order of arrival at all
	// stand-ins of one Recorder.
	Number   uint64    `json:"number"`
	Endpoint string    `json:"endpoint"`
	Received time.Time `json:"received"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	// RequestID is the X-Request-Id header.
	RequestID string `json:"request_id"`
	// User is the marker that the caller set in the field "user" of the body.
	User string `json:"user"`
	// Body is the beginning of the body. BodySHA256 is the digest of all bytes
	// that were read.
	Body       string `json:"body"`
	BodyBytes  int    `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
	// BodyComplete is true if the body was read to its end.
	BodyComplete bool     `json:"body_whole"`
	State        RunState `json:"state"`
	// Resumes counts how often the stream was resumed.
	Resumes int `json:"resumes"`
	// Leaving is true if the endpoint reported that it was leaving. LeavingMS
	// is the time since then.
	Leaving   bool  `json:"leaving"`
	LeavingMS int64 `json:"leaving_ms"`
	// PromptTokens, CachedTokens and CompletionTokens count the tokens that an
	// engine processed.
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// newRun returns the record of a request whose headers were read.
func newRun(endpoint string, r *http.Request, drainingSince time.Time) Run {
	run := Run{
		Endpoint: endpoint, Method: r.Method, Path: r.URL.Path,
		RequestID: r.Header.Get(requestIDHeader),
	}
	if !drainingSince.IsZero() {
		run.Leaving = true
		run.LeavingMS = time.Since(drainingSince).Milliseconds()
	}
	return run
}

// containsMarker reports whether a body contains a marker.
func containsMarker(body []byte, marker string) bool {
	return bytes.Contains(body, []byte(marker))
}

// Recorder records the requests that a group of stand-ins receive. It is safe
// for concurrent use. A crash of a stand-in does not clear it, since it belongs
// to the test.
type Recorder struct {
	maxBodyBytes int

	mu   sync.Mutex
	runs []*Run
}

// NewRecorder returns an empty Recorder that stores DefaultRecordedBodyBytes of
// each body.
func NewRecorder() *Recorder { return NewRecorderWithBodyLimit(DefaultRecordedBodyBytes) }

// NewRecorderWithBodyLimit returns an empty Recorder that stores at most bodyBytes of
// each body. A small limit saves memory in long load tests.
func NewRecorderWithBodyLimit(bodyBytes int) *Recorder { return &Recorder{maxBodyBytes: bodyBytes} }

// Runs returns a copy of the record in order of arrival. If endpoint is not
// empty, only the runs of that endpoint are returned.
func (r *Recorder) Runs(endpoint string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := []Run{}
	for _, run := range r.runs {
		if endpoint == "" || run.Endpoint == endpoint {
			runs = append(runs, *run)
		}
	}
	return runs
}

// Dispatches returns the number of requests with the user marker that all
// endpoints received.
func (r *Recorder) Dispatches(user string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, run := range r.runs {
		if run.User == user {
			count++
		}
	}
	return count
}

// add records a request whose headers were read.
func (r *Recorder) add(run Run) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Number = uint64(len(r.runs) + 1)
	run.Received = time.Now()
	run.State = RunReceived
	stored := &run
	r.runs = append(r.runs, stored)
	return stored
}

// update calls change with the record locked.
func (r *Recorder) update(run *Run, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(run)
}

// setBody records the part of the body that was read.
func (r *Recorder) setBody(run *Run, body []byte, complete bool) {
	sum := sha256.Sum256(body)
	beginning := string(slices.Clone(body[:min(len(body), r.maxBodyBytes)]))
	r.update(run, func(run *Run) {
		run.Body = beginning
		run.BodyBytes = len(body)
		run.BodySHA256 = hex.EncodeToString(sum[:])
		run.BodyComplete = complete
	})
}

// setFinalState sets the final state of a run. Only the first final state is
// recorded.
func (r *Recorder) setFinalState(run *Run, state RunState) {
	r.update(run, func(run *Run) {
		switch run.State {
		case RunReceived, RunRunning:
			run.State = state
		}
	})
}
