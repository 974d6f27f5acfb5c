package standin

import (
	"slices"
	"time"
)

// runSteps runs the batch of one process until the batch is empty. Each step
// reads at most one chunk of prompt tokens and generates one token for each
// decoding request.
func (e *Engine) runSteps(p *engineProcess) {
	for {
		duration, ok := e.planStep(p)
		if !ok {
			return
		}
		timer := time.NewTimer(duration)
		select {
		case <-timer.C:
		case <-p.crashed:
			timer.Stop()
			return
		}
		e.finishStep(p)
	}
}

// planStep starts the next step and returns its duration. It returns false if
// the batch is empty.
func (e *Engine) planStep(p *engineProcess) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(p)
	if len(p.batch) == 0 {
		p.stepping = false
		p.recordLoad(e.settings.MaxBatch)
		return 0, false
	}
	decoding := 0
	for _, g := range e.activeBatch(p) {
		if !g.started {
			e.lookUpPrefix(g)
		}
		if g.prefillTokens == 0 {
			decoding++
		}
	}
	p.recordLoad(e.settings.MaxBatch)
	return e.stepDuration(e.prefill(p), decoding), true
}

// activeBatch returns the requests that take part in a step.
func (e *Engine) activeBatch(p *engineProcess) []*generation {
	return p.batch[:min(len(p.batch), e.settings.MaxBatch)]
}

// lookUpPrefix sets how much of the prompt is cached and how much must be read.
func (e *Engine) lookUpPrefix(g *generation) {
	g.started = true
	total := g.request.PromptTokens()
	g.cachedTokens = min(g.process.cache.cachedBytes(g.prompt)/BytesPerToken, total)
	g.prefillTokens = total - g.cachedTokens
	e.recorder.update(g.run, func(run *Run) { run.CachedTokens = g.cachedTokens })
}

// prefill reads one chunk of prompt tokens in order of arrival and returns the
// number of tokens read.
func (e *Engine) prefill(p *engineProcess) int {
	remaining := e.settings.PrefillChunkTokens
	for _, g := range e.activeBatch(p) {
		tokens := min(remaining, g.prefillTokens)
		if tokens == 0 {
			continue
		}
		remaining -= tokens
		g.prefillTokens -= tokens
		if g.prefillTokens == 0 {
			p.cache.insert(g.prompt)
		}
	}
	return e.settings.PrefillChunkTokens - remaining
}

func (e *Engine) stepDuration(prefill, decoding int) time.Duration {
	d := e.settings.DecodeStep + time.Duration(decoding)*e.settings.DecodeStepPerRequest
	d += time.Duration(float64(prefill) / e.settings.PrefillTokensPerSecond * float64(time.Second))
	if slow := e.faults.SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return d
}

// finishStep generates a token for each request whose prompt has been read.
func (e *Engine) finishStep(p *engineProcess) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Clone(e.activeBatch(p)) {
		if g.started && g.prefillTokens == 0 {
			e.generate(g)
		}
	}
}

// generate adds one token to an answer, and the final event after the last
// token.
func (e *Engine) generate(g *generation) {
	g.events = append(g.events, tokenEvent(g.id, &g.request, g.key, g.tokens))
	g.tokens++
	g.process.load.tokens++
	e.recorder.update(g.run, func(run *Run) { run.CompletionTokens = g.tokens })
	if g.tokens == g.request.OutputTokens() {
		g.events = append(g.events, lastEvent(g.id, &g.request, g.usage()))
		g.complete = true
		g.process.batch = slices.DeleteFunc(g.process.batch, func(other *generation) bool { return other == g })
		e.recorder.setFinalState(g.run, RunCompleted)
		g.process.keepFinished(g)
	}
	g.notifyReaders()
}

// cancelAbandoned cancels the requests that have had no reader for
// DisconnectGrace.
func (e *Engine) cancelAbandoned(p *engineProcess) {
	now := time.Now()
	for _, g := range slices.Clone(p.batch) {
		if !g.abandoned.IsZero() && now.Sub(g.abandoned) >= e.settings.DisconnectGrace {
			e.cancel(g)
		}
	}
}
