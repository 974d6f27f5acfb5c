package standin

import (
	"slices"
	"time"
)

// step runs the batch of one boot until nothing is left to do. Each step reads
// at most a chunk of prompts and gives each decoding request one token.
func (e *Engine) step(b *engineBoot) {
	for {
		duration, ok := e.planStep(b)
		if !ok {
			return
		}
		timer := time.NewTimer(duration)
		select {
		case <-timer.C:
		case <-b.crashed:
			timer.Stop()
			return
		}
		e.finishStep(b)
	}
}

// planStep returns how long the next step takes. It reports false where the
// batch is empty.
func (e *Engine) planStep(b *engineBoot) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAbandoned(b)
	if len(b.batch) == 0 {
		b.stepping = false
		b.recordLoad(e.settings.MaxBatch)
		return 0, false
	}
	decoding := 0
	for _, g := range e.sharing(b) {
		if !g.begun {
			e.begin(g)
		}
		if g.prefillTokens == 0 {
			decoding++
		}
	}
	b.recordLoad(e.settings.MaxBatch)
	return e.stepDuration(e.prefill(b), decoding), true
}

// sharing returns the requests that share a step.
func (e *Engine) sharing(b *engineBoot) []*generation {
	return b.batch[:min(len(b.batch), e.settings.MaxBatch)]
}

// begin looks the prompt up in the cache.
func (e *Engine) begin(g *generation) {
	g.begun = true
	total := g.request.PromptTokens()
	g.cachedTokens = min(g.boot.cache.held(g.prompt)/BytesPerToken, total)
	g.prefillTokens = total - g.cachedTokens
	e.recorder.update(g.run, func(run *Run) { run.CachedTokens = g.cachedTokens })
}

// prefill reads a chunk of the prompts in the order in which they came and
// returns its tokens.
func (e *Engine) prefill(b *engineBoot) int {
	left := e.settings.PrefillChunkTokens
	for _, g := range e.sharing(b) {
		tokens := min(left, g.prefillTokens)
		if tokens == 0 {
			continue
		}
		left -= tokens
		g.prefillTokens -= tokens
		if g.prefillTokens == 0 {
			b.cache.insert(g.prompt)
		}
	}
	return e.settings.PrefillChunkTokens - left
}

func (e *Engine) stepDuration(prefill, decoding int) time.Duration {
	d := e.settings.DecodeStep + time.Duration(decoding)*e.settings.DecodeStepPerRequest
	d += time.Duration(float64(prefill) / e.settings.PrefillTokensPerSecond * float64(time.Second))
	if slow := e.faults.SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return d
}

// finishStep gives a token to each request whose prompt is read.
func (e *Engine) finishStep(b *engineBoot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Clone(e.sharing(b)) {
		if g.begun && g.prefillTokens == 0 {
			e.generate(g)
		}
	}
}

// generate adds one token to an answer, and its end after the last one.
func (e *Engine) generate(g *generation) {
	g.events = append(g.events, tokenEvent(g.id, &g.request, g.key, g.tokens))
	g.tokens++
	g.boot.load.tokens++
	e.recorder.update(g.run, func(run *Run) { run.CompletionTokens = g.tokens })
	if g.tokens == g.request.OutputTokens() {
		g.events = append(g.events, lastEvent(g.id, &g.request, g.usage()))
		g.whole = true
		g.boot.batch = slices.DeleteFunc(g.boot.batch, func(o *generation) bool { return o == g })
		e.recorder.finish(g.run, RunWhole)
		g.boot.retire(g)
	}
	g.wake()
}

// dropAbandoned cancels the answers that nobody has read for the grace time.
func (e *Engine) dropAbandoned(b *engineBoot) {
	now := time.Now()
	for _, g := range slices.Clone(b.batch) {
		if !g.abandoned.IsZero() && now.Sub(g.abandoned) >= e.settings.DisconnectGrace {
			e.cancel(g)
		}
	}
}
