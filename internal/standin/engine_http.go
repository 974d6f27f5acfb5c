package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ServeHTTP serves the engine's protocol and the control paths. It aborts the
// connection of a request that arrives while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serveRuns(e.recorder, e.settings.Name, w, r) || serveFaults(e, w, r) {
		return
	}
	if e.outage.isDown() {
		panic(http.ErrAbortHandler)
	}
	if e.Faults().Silent && r.URL.Path != completionsPath {
		holdConnection(r)
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	run := e.recordRequest(r)
	body, err := io.ReadAll(r.Body)
	e.recorder.setBody(run, body, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		e.recorder.setFinalState(run, RunRejected)
		http.Error(w, "the body is no chat request", http.StatusBadRequest)
		return
	}
	e.recorder.update(run, func(run *Run) { run.User = request.User })
	if e.hasCrashMarker(body) {
		e.Crash()
		e.recorder.setFinalState(run, RunCrashed)
		panic(http.ErrAbortHandler)
	}
	faults := e.Faults()
	if faults.Silent {
		holdConnection(r)
		return
	}
	g, ok := e.admit(r.Header.Get(requestIDHeader), request, run)
	if !ok {
		e.recorder.setFinalState(run, RunRejected)
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	if !sleep(r.Context(), time.Duration(faults.AnswerDelayMS)*time.Millisecond) {
		e.removeReader(g)
		return
	}
	e.serveAnswer(w, r, e.selectAnswer(g), g, 0, faults.CutAfterEvents)
}

// recordRequest records a request whose headers were read.
func (e *Engine) recordRequest(r *http.Request) *Run {
	e.mu.Lock()
	drainingSince := e.drainingSince
	e.mu.Unlock()
	return e.recorder.add(newRun(e.settings.Name, r, drainingSince))
}

func (e *Engine) hasCrashMarker(body []byte) bool {
	marker := e.Faults().CrashMarker
	return marker != "" && containsMarker(body, marker)
}

// admit adds a request to the batch. It returns false if the model is not
// loaded.
func (e *Engine) admit(id string, request ChatRequest, run *Run) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.process
	if len(p.models) > 0 && !slices.Contains(p.models, request.Model) {
		return nil, false
	}
	g := &generation{
		id: id, request: request, prompt: request.Prompt(), key: request.AnswerKey(),
		run: run, process: p, readers: 1, changed: make(chan struct{}),
	}
	e.recorder.update(run, func(run *Run) {
		run.State = RunRunning
		run.PromptTokens = request.PromptTokens()
	})
	p.byID[id] = g
	p.batch = append(p.batch, g)
	if !p.stepping {
		p.stepping = true
		go e.runSteps(p)
	}
	return g, true
}

// serveAnswer sends the events of answered from an offset. The reader is
// counted for requested, which differs from answered if the engine returns the
// answer of another request.
func (e *Engine) serveAnswer(w http.ResponseWriter, r *http.Request, answered, requested *generation, offset, cutAfter int) {
	defer e.removeReader(requested)
	w.Header().Set(requestIDHeader, answered.id)
	if !requested.request.Stream {
		e.serveUnstreamed(w, r, answered)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for sent := 0; ; {
		events, complete, changed := e.eventsFrom(answered, offset)
		for _, event := range events {
			if cutAfter > 0 && sent == cutAfter {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, event)
			sent++
		}
		offset += len(events)
		if complete {
			writeEvent(w, []byte("[DONE]"))
			return
		}
		_ = flusher.Flush()
		e.awaitEvent(r.Context(), answered, changed)
	}
}

func (e *Engine) serveUnstreamed(w http.ResponseWriter, r *http.Request, g *generation) {
	for {
		_, complete, changed := e.eventsFrom(g, 0)
		if complete {
			break
		}
		e.awaitEvent(r.Context(), g, changed)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(unstreamedAnswer(g.id, &g.request, g.usage()))
}

// awaitEvent waits for the next event. It aborts the connection if the reader
// disconnects, the engine crashes or the request is cancelled.
func (e *Engine) awaitEvent(ctx context.Context, g *generation, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-g.process.crashed:
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	cancelled := g.cancelled
	e.mu.Unlock()
	if cancelled {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) eventsFrom(g *generation, offset int) (events [][]byte, complete bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.events[min(offset, len(g.events)):], g.complete, g.changed
}

// removeReader records that a reader of the answer has disconnected.
func (e *Engine) removeReader(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.abandoned = time.Now()
	}
}

// selectAnswer returns the request whose answer is sent for g. With the
// probability RequestIDMismatchPercent it is another unfinished request with the same
// stream mode, otherwise g.
func (e *Engine) selectAnswer(g *generation) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64()*100 >= e.faults.RequestIDMismatchPercent {
		return g
	}
	for _, other := range g.process.batch {
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
	g, ok := e.process.byID[r.PathValue("id")]
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
	g, ok := e.process.byID[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	if !g.complete {
		e.cancel(g)
	}
	w.WriteHeader(http.StatusNoContent)
}
