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

// DefaultBodyKeptBytes is how much of a body a Run keeps as text.
const DefaultBodyKeptBytes = 4 << 10

// RunState says how far a recorded request came.
type RunState string

// The states of a recorded request.
const (
	// RunReceived means that the headers were read, perhaps no more.
	RunReceived RunState = "received"
	// RunRunning means that the body was read whole and work began.
	RunRunning RunState = "running"
	// RunWhole means that the work was done to its end.
	RunWhole RunState = "whole"
	// RunCancelled means that the caller stopped the work.
	RunCancelled RunState = "cancelled"
	// RunCrashed means that the endpoint crashed under the request.
	RunCrashed RunState = "crashed"
	// RunRejected means that the endpoint answered with an error and did no
	// work.
	RunRejected RunState = "rejected"
)

// Run is the record of one request that reached an endpoint.
type Run struct {
	// Number orders all requests that reached the stand-ins of one Recorder.
	Number   uint64    `json:"number"`
	Endpoint string    `json:"endpoint"`
	Received time.Time `json:"received"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	// RequestID is the X-Request-Id header.
	RequestID string `json:"request_id"`
	// User is the marker that the caller put into the body's field "user".
	User string `json:"user"`
	// Body is the beginning of the body; BodySHA256 is the digest of all of
	// it.
	Body       string `json:"body"`
	BodyBytes  int    `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
	// BodyWhole is false while the body was not read to its end.
	BodyWhole bool     `json:"body_whole"`
	State     RunState `json:"state"`
	// Resumes counts the streams that were taken up again.
	Resumes int `json:"resumes"`
	// Leaving says that the endpoint had announced its leaving; LeavingMS is
	// for how long.
	Leaving   bool  `json:"leaving"`
	LeavingMS int64 `json:"leaving_ms"`
	// PromptTokens, CachedTokens and CompletionTokens are the engine's work.
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// newRun describes a request whose headers were read.
func newRun(endpoint string, r *http.Request, leavingSince time.Time) Run {
	run := Run{
		Endpoint: endpoint, Method: r.Method, Path: r.URL.Path,
		RequestID: r.Header.Get(requestIDHeader),
	}
	if !leavingSince.IsZero() {
		run.Leaving = true
		run.LeavingMS = time.Since(leavingSince).Milliseconds()
	}
	return run
}

// contains says whether a body has a marker in it.
func contains(body []byte, marker string) bool {
	return bytes.Contains(body, []byte(marker))
}

// Recorder keeps the requests that reached a group of stand-ins. It is safe
// for concurrent use. It is the test's record: a crash of a stand-in does not
// clear it.
type Recorder struct {
	bodyKeptBytes int

	mu   sync.Mutex
	runs []*Run
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return NewRecorderKeeping(DefaultBodyKeptBytes) }

// NewRecorderKeeping returns an empty Recorder that keeps so many bytes of
// each body; a long load wants few.
func NewRecorderKeeping(bodyBytes int) *Recorder { return &Recorder{bodyKeptBytes: bodyBytes} }

// Runs returns a copy of the record in the order of arrival; an endpoint name
// limits it to that endpoint.
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

// Dispatches returns how many requests of that user marker reached any
// endpoint.
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
	kept := &run
	r.runs = append(r.runs, kept)
	return kept
}

// update changes a record under the lock.
func (r *Recorder) update(run *Run, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(run)
}

// setBody records as much of the body as was read.
func (r *Recorder) setBody(run *Run, body []byte, whole bool) {
	sum := sha256.Sum256(body)
	kept := string(slices.Clone(body[:min(len(body), r.bodyKeptBytes)]))
	r.update(run, func(run *Run) {
		run.Body = kept
		run.BodyBytes = len(body)
		run.BodySHA256 = hex.EncodeToString(sum[:])
		run.BodyWhole = whole
	})
}

// finish sets the last state of a run; the first one to be set stays.
func (r *Recorder) finish(run *Run, state RunState) {
	r.update(run, func(run *Run) {
		switch run.State {
		case RunReceived, RunRunning:
			run.State = state
		}
	})
}
