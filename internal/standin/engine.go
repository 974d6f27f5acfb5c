package standin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
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

// EngineSettings describe one engine. The zero value of a field takes the
// default of DefaultEngineSettings.
type EngineSettings struct {
	// Name is how the record names the engine.
	Name string
	// Models are those loaded at the start. An empty list serves any model.
	Models []string
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// DecodeStep is the time of one decode step of an empty batch, and
	// DecodeStepPerRequest what each request of the batch adds to it. A step
	// gives each decoding request one token.
	DecodeStep           time.Duration
	DecodeStepPerRequest time.Duration
	// PrefillChunkTokens bounds the prompt tokens that one step reads beside
	// the decoding.
	PrefillChunkTokens int
	// MaxBatch bounds the requests that share a step; the others wait in the
	// order in which they came.
	MaxBatch int
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// DisconnectGrace is how long an answer that nobody reads goes on.
	DisconnectGrace time.Duration
	// ChecksFencing says whether an order with an old number is refused.
	ChecksFencing bool
	// Seed makes the losses of cache events repeatable.
	Seed uint64
	// Faults are those in force at the start.
	Faults EngineFaults
}

// DefaultEngineSettings returns the settings of a small engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Name:                   "engine",
		PrefillTokensPerSecond: 8000,
		DecodeStep:             15 * time.Millisecond,
		DecodeStepPerRequest:   time.Millisecond,
		PrefillChunkTokens:     512,
		MaxBatch:               256,
		CacheTokens:            64 << 10,
		DisconnectGrace:        5 * time.Second,
		Seed:                   1,
		Faults:                 EngineFaults{LoadLagMS: 500, CacheEventLagMS: 500, RestartMS: 2000},
	}
}

func (s EngineSettings) withDefaults() EngineSettings {
	d := DefaultEngineSettings()
	setDefault(&s.Name, d.Name)
	setDefault(&s.PrefillTokensPerSecond, d.PrefillTokensPerSecond)
	setDefault(&s.DecodeStep, d.DecodeStep)
	setDefault(&s.DecodeStepPerRequest, d.DecodeStepPerRequest)
	setDefault(&s.PrefillChunkTokens, d.PrefillChunkTokens)
	setDefault(&s.MaxBatch, d.MaxBatch)
	setDefault(&s.CacheTokens, d.CacheTokens)
	setDefault(&s.DisconnectGrace, d.DisconnectGrace)
	setDefault(&s.Seed, d.Seed)
	setDefault(&s.Faults, d.Faults)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

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

// ServeHTTP serves the engine's protocol and the control endpoints. It aborts
// the connection of a request that comes while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serveRuns(e.recorder, e.settings.Name, w, r) || serveFaults(e, w, r) {
		return
	}
	if e.outage.isDown() {
		panic(http.ErrAbortHandler)
	}
	if e.Faults().Silent && r.URL.Path != completionsPath {
		holdSilently(r)
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	run := e.record(r)
	body, err := io.ReadAll(r.Body)
	e.recorder.setBody(run, body, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		e.recorder.finish(run, RunRejected)
		http.Error(w, "the body is no chat request", http.StatusBadRequest)
		return
	}
	e.recorder.update(run, func(run *Run) { run.User = request.User })
	if e.crashMarked(body) {
		e.Crash()
		e.recorder.finish(run, RunCrashed)
		panic(http.ErrAbortHandler)
	}
	faults := e.Faults()
	if faults.Silent {
		holdSilently(r)
		return
	}
	g, ok := e.admit(r.Header.Get(requestIDHeader), request, run)
	if !ok {
		e.recorder.finish(run, RunRejected)
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	if !sleep(r.Context(), time.Duration(faults.AnswerDelayMS)*time.Millisecond) {
		e.unread(g)
		return
	}
	e.serveAnswer(w, r, e.crossed(g), g, 0, faults.CutAfterEvents)
}

// record notes that a request's headers were read.
func (e *Engine) record(r *http.Request) *Run {
	e.mu.Lock()
	since := e.leavingSince
	e.mu.Unlock()
	return e.recorder.add(newRun(e.settings.Name, r, since))
}

func (e *Engine) crashMarked(body []byte) bool {
	marker := e.Faults().CrashMarker
	return marker != "" && contains(body, marker)
}

// admit takes a request into the batch. It reports false where the model is
// not loaded.
func (e *Engine) admit(id string, request ChatRequest, run *Run) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if len(b.models) > 0 && !slices.Contains(b.models, request.Model) {
		return nil, false
	}
	g := &generation{
		id: id, request: request, prompt: request.Prompt(), key: request.AnswerKey(),
		run: run, boot: b, readers: 1, changed: make(chan struct{}),
	}
	e.recorder.update(run, func(run *Run) {
		run.State = RunRunning
		run.PromptTokens = request.PromptTokens()
	})
	b.byID[id] = g
	b.batch = append(b.batch, g)
	if !b.stepping {
		b.stepping = true
		go e.step(b)
	}
	return g, true
}

// serveAnswer sends the events of shown from an offset on. The reader counts
// for read, which is another request where the engine crosses answers.
func (e *Engine) serveAnswer(w http.ResponseWriter, r *http.Request, shown, read *generation, offset, cutAfter int) {
	defer e.unread(read)
	w.Header().Set(requestIDHeader, shown.id)
	if !read.request.Stream {
		e.serveWhole(w, r, shown)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for sent := 0; ; {
		events, whole, changed := e.eventsFrom(shown, offset)
		for _, event := range events {
			if cutAfter > 0 && sent == cutAfter {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, event)
			sent++
		}
		offset += len(events)
		if whole {
			writeEvent(w, []byte("[DONE]"))
			return
		}
		_ = flusher.Flush()
		e.await(r.Context(), shown, changed)
	}
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	for {
		_, whole, changed := e.eventsFrom(g, 0)
		if whole {
			break
		}
		e.await(r.Context(), g, changed)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(wholeAnswer(g.id, &g.request, g.usage()))
}

// await waits for the next event. It aborts the connection where the reader
// has gone, the engine has crashed or the request was cancelled.
func (e *Engine) await(ctx context.Context, g *generation, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-g.boot.crashed:
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	cancelled := g.cancelled
	e.mu.Unlock()
	if cancelled {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) eventsFrom(g *generation, offset int) (events [][]byte, whole bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.events[min(offset, len(g.events)):], g.whole, g.changed
}

// unread says that a reader of the answer has gone.
func (e *Engine) unread(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.abandoned = time.Now()
	}
}

// crossed returns another live request of the same kind where the fault asks
// for crossed answers, and g itself otherwise.
func (e *Engine) crossed(g *generation) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64()*100 >= e.faults.CrossedPercent {
		return g
	}
	for _, other := range g.boot.batch {
		if other != g && other.request.Stream == g.request.Stream {
			return other
		}
	}
	return g
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "the offset is no number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g, ok := e.boot.byID[r.PathValue("id")]
	ok = ok && !g.cancelled
	if ok {
		g.readers++
		g.abandoned = time.Time{}
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.recorder.update(g.run, func(run *Run) { run.Resumes++ })
	e.serveAnswer(w, r, g, g, offset, 0)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.boot.byID[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	if !g.whole {
		e.cancel(g)
	}
	w.WriteHeader(http.StatusNoContent)
}

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
