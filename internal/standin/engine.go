package standin

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// requestIDHeader has the ID of a dispatched request.
const requestIDHeader = "X-Request-Id"

// completionsPath is the path to which requests are dispatched.
const completionsPath = "/v1/chat/completions"

// maxFinishedRuns limits the finished answers that are kept for resumed
// streams.
const maxFinishedRuns = 1024

// Engine is a stand-in for one model engine. It admits every request in order
// of arrival, without priorities.
type Engine struct {
	settings EngineSettings
	recorder *Recorder
	mux      *http.ServeMux
	outage   *outage

	mu     sync.Mutex
	random *rand.Rand
	faults EngineFaults
	// drainingSince is zero unless the engine reports that it is leaving.
	drainingSince time.Time
	// process is replaced when the engine crashes.
	process *engineProcess
}

// engineProcess is the state of one process of the engine. It is lost in a
// crash. Its fields are guarded by Engine.mu.
type engineProcess struct {
	startID uint64
	// crashed is closed when this process ends.
	crashed chan struct{}
	models  []string
	fencing uint64
	cache   *prefixCache
	// batch has the unfinished requests in order of arrival.
	batch []*generation
	// stepping is true while the goroutine of runSteps runs.
	stepping bool
	byID     map[string]*generation
	finished []*generation
	load     loadHistory
}

// generation is one admitted request. Its fields are guarded by Engine.mu.
type generation struct {
	id      string
	request ChatRequest
	prompt  string
	key     uint64
	run     *Run
	process *engineProcess

	started       bool
	prefillTokens int
	cachedTokens  int
	// events are the events of the answer so far.
	events    [][]byte
	tokens    int
	complete  bool
	cancelled bool
	readers   int
	// abandoned is when the last reader disconnected. It is zero while there
	// is a reader.
	abandoned time.Time
	// changed is closed and replaced on each event and on cancellation.
	changed chan struct{}
}

// NewEngine returns an engine that records into recorder.
func NewEngine(settings EngineSettings, recorder *Recorder) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings,
		recorder: recorder,
		mux:      http.NewServeMux(),
		outage:   newOutage(),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		faults:   settings.Faults,
	}
	e.process = e.newProcess()
	e.mux.HandleFunc("POST "+completionsPath, e.serveCompletion)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveSetOrder)
	e.mux.HandleFunc("GET /v1/orders", e.serveGetOrder)
	e.mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	return e
}

func (e *Engine) newProcess() *engineProcess {
	return &engineProcess{
		startID: newStartID(),
		crashed: make(chan struct{}),
		models:  slices.Clone(e.settings.Models),
		cache:   newPrefixCache(e.settings.CacheTokens),
		byID:    make(map[string]*generation),
	}
}

// newStartID returns an identifier of one process of an endpoint. It is not
// seeded, since two processes must never share it. It fits a signed integer.
func newStartID() uint64 { return rand.Uint64() >> 1 }

// cancel removes g from the batch. The caller must hold e.mu.
func (e *Engine) cancel(g *generation) {
	g.cancelled = true
	g.process.batch = slices.DeleteFunc(g.process.batch, func(other *generation) bool { return other == g })
	g.notifyReaders()
	e.recorder.setFinalState(g.run, RunCancelled)
	g.process.keepFinished(g)
}

// order is the body of /v1/orders.
type order struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// Crash ends the current process: all connections are closed, all state is
// lost, and connections are refused for the restart time.
func (e *Engine) Crash() {
	e.stop(time.Duration(e.Faults().RestartMS) * time.Millisecond)
}

// Close stops the engine permanently.
func (e *Engine) Close() { e.stop(forever) }

func (e *Engine) stop(d time.Duration) {
	e.mu.Lock()
	p := e.process
	for _, g := range p.batch {
		e.recorder.setFinalState(g.run, RunCrashed)
	}
	p.batch = nil
	close(p.crashed)
	e.process = e.newProcess()
	e.mu.Unlock()
	e.outage.start(d)
}

func (g *generation) usage() Usage {
	return Usage{PromptTokens: g.request.PromptTokens(), CachedTokens: g.cachedTokens, CompletionTokens: g.tokens}
}

// notifyReaders wakes the readers that wait for a change.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// keepFinished keeps a finished answer so that its stream can be resumed, and
// drops the oldest one beyond maxFinishedRuns.
func (p *engineProcess) keepFinished(g *generation) {
	p.finished = append(p.finished, g)
	if len(p.finished) <= maxFinishedRuns {
		return
	}
	oldest := p.finished[0]
	p.finished = p.finished[1:]
	if p.byID[oldest.id] == oldest {
		delete(p.byID, oldest.id)
	}
}
