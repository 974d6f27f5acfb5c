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
