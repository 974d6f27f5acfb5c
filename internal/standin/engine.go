package standin

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// requestIDHeader names a dispatched request.
const requestIDHeader = "X-Request-Id"

// completionsPath is where requests are dispatched to.
const completionsPath = "/v1/chat/completions"

// finishedRunsKept bounds the finished answers that a stream can be resumed
// from.
const finishedRunsKept = 1024

// Engine is a stand-in for one model engine. It admits every request as it
// comes and knows no priorities.
type Engine struct {
	settings EngineSettings
	recorder *Recorder
	mux      *http.ServeMux
	outage   *outage

	mu     sync.Mutex
	random *rand.Rand
	faults EngineFaults
	// leavingSince is zero unless the engine has announced its leaving.
	leavingSince time.Time
	// boot is replaced as a whole when the engine crashes.
	boot *engineBoot
}

// engineBoot is what one run of the engine's process knows; a crash forgets
// all of it. Its fields are guarded by Engine.mu.
type engineBoot struct {
	started uint64
	// crashed is closed when this boot ends.
	crashed chan struct{}
	models  []string
	fencing uint64
	cache   *prefixCache
	// batch has the requests at work in the order in which they came.
	batch []*generation
	// stepping says that the step goroutine runs.
	stepping bool
	byID     map[string]*generation
	finished []*generation
	load     loadHistory
}

// generation is one request at work. Its fields are guarded by Engine.mu.
type generation struct {
	id      string
	request ChatRequest
	prompt  string
	key     uint64
	run     *Run
	boot    *engineBoot

	begun         bool
	prefillTokens int
	cachedTokens  int
	// events are those of the answer so far.
	events    [][]byte
	tokens    int
	whole     bool
	cancelled bool
	readers   int
	// abandoned is when the last reader left; zero while there is one.
	abandoned time.Time
	// changed is closed and replaced with each event.
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
	e.boot = e.newBoot()
	e.mux.HandleFunc("POST "+completionsPath, e.serveCompletion)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveSetOrder)
	e.mux.HandleFunc("GET /v1/orders", e.serveOrder)
	e.mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	return e
}

func (e *Engine) newBoot() *engineBoot {
	return &engineBoot{
		started: newStarted(),
		crashed: make(chan struct{}),
		models:  slices.Clone(e.settings.Models),
		cache:   newPrefixCache(e.settings.CacheTokens),
		byID:    make(map[string]*generation),
	}
}

// newStarted returns an identifier of one run of an endpoint's process. It is
// not seeded, since two runs must never share it. It fits a signed integer.
func newStarted() uint64 { return rand.Uint64() >> 1 }

// cancel stops the work on g. The caller holds e.mu.
func (e *Engine) cancel(g *generation) {
	g.cancelled = true
	g.boot.batch = slices.DeleteFunc(g.boot.batch, func(o *generation) bool { return o == g })
	g.wake()
	e.recorder.finish(g.run, RunCancelled)
	g.boot.retire(g)
}

// order is the body of /v1/orders.
type order struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// Crash ends this boot of the engine: all connections drop, all state is
// forgotten and connections are refused for the restart time.
func (e *Engine) Crash() {
	e.stop(time.Duration(e.Faults().RestartMS) * time.Millisecond)
}

// Close stops all work for good.
func (e *Engine) Close() { e.stop(forever) }

func (e *Engine) stop(d time.Duration) {
	e.mu.Lock()
	b := e.boot
	for _, g := range b.batch {
		e.recorder.finish(g.run, RunCrashed)
	}
	b.batch = nil
	close(b.crashed)
	e.boot = e.newBoot()
	e.mu.Unlock()
	e.outage.begin(d)
}

func (g *generation) usage() Usage {
	return Usage{PromptTokens: g.request.PromptTokens(), CachedTokens: g.cachedTokens, CompletionTokens: g.tokens}
}

// wake tells the readers that something changed.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// retire keeps a finished answer for a while, so that it can be resumed.
func (b *engineBoot) retire(g *generation) {
	b.finished = append(b.finished, g)
	if len(b.finished) <= finishedRunsKept {
		return
	}
	oldest := b.finished[0]
	b.finished = b.finished[1:]
	if b.byID[oldest.id] == oldest {
		delete(b.byID, oldest.id)
	}
}
