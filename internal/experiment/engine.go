package experiment

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Engine constants.
const (
	// cacheTokens is the capacity of one engine's prefix cache.
	cacheTokens = 48 << 10
	// prefillChunkTokens limits the prompt tokens that one step reads.
	prefillChunkTokens = 512
	// fixedStepFraction is the fraction of a full batch's decode step that does
	// not depend on the batch size.
	fixedStepFraction = 0.6
	// restartTime is how long a crashed engine is down.
	restartTime = 2 * time.Second
	// sampleInterval is the time between two samples of an engine's batch.
	sampleInterval = 100 * time.Millisecond
	// disconnectGrace is how long a run continues without a reader.
	disconnectGrace = 5 * time.Second
)

// run is one request at an engine.
type run struct {
	call           *call
	engine         *engine
	prefixLookedUp bool
	cached         int
	// prefilled counts the prompt tokens that were read, and toPrefill those
	// that are not cached and must be read.
	prefilled, toPrefill int
	generated            int
	startedAt            reducer.Instant
	firstTokenAt         reducer.Instant
	// onFirstToken and onEnd notify the scheduler.
	onFirstToken func()
	onEnd        func(reducer.Ended)
}

// engine is a model engine with continuous batching. It admits each request in
// order of arrival. A step generates one token for each decoding request of the
// first slots, and reads one chunk of prompt tokens in addition. The other
// requests wait.
type engine struct {
	clock    *clock
	name     string
	class    *declared.Class
	slots    int
	slowdown float64
	down     bool
	startID  uint64
	stepping bool
	batch    []*run
	cache    *prefixCache
	outcome  *Outcome
	// batchLengths are samples of the batch length, one each sampleInterval.
	batchLengths []int
	// onCacheChange is called when a prefix is cached or evicted.
	onCacheChange func(prefix uint64, cached bool)
}

func newEngine(c *clock, e *declared.Endpoint, class *declared.Class, outcome *Outcome) *engine {
	n := &engine{clock: c, name: e.Name, class: class, slots: e.Slots, slowdown: 1, startID: 1, outcome: outcome}
	n.onCacheChange = func(uint64, bool) {}
	n.cache = newPrefixCache(cacheTokens, func(p uint64, cached bool) { n.onCacheChange(p, cached) })
	c.every(sampleInterval, func() { n.batchLengths = append(n.batchLengths, len(n.batch)) })
	return n
}

// runningAt returns the length of the batch at a past time.
func (e *engine) runningAt(at reducer.Instant) int {
	return e.batchLengths[min(max(0, int(time.Duration(at)/sampleInterval)), len(e.batchLengths)-1)]
}

func (e *engine) add(r *run) {
	r.engine, r.startedAt = e, e.clock.now
	e.batch = append(e.batch, r)
	if !e.stepping {
		e.step()
	}
}

// step starts one step and finishes it after its duration.
func (e *engine) step() {
	e.stepping = len(e.batch) > 0 && !e.down
	if !e.stepping {
		return
	}
	prefills, remaining := map[*run]int{}, prefillChunkTokens
	var decoding []*run
	for _, r := range e.batch[:min(len(e.batch), e.slots)] {
		e.lookUpPrefix(r)
		switch {
		case r.prefilled == r.toPrefill:
			decoding = append(decoding, r)
		case remaining > 0:
			prefills[r] = min(remaining, r.toPrefill-r.prefilled)
			remaining -= prefills[r]
		}
	}
	duration := e.stepTime(len(decoding), prefillChunkTokens-remaining)
	startID := e.startID
	e.clock.after(duration, func() {
		if e.startID == startID {
			e.finishStep(decoding, prefills, duration)
		}
	})
}

func (e *engine) lookUpPrefix(r *run) {
	if r.prefixLookedUp {
		return
	}
	r.prefixLookedUp = true
	if e.cache.use(r.call.prefix) {
		r.cached = r.call.prefixTokens
	}
	// The last token of a prompt is always read.
	r.toPrefill = max(1, r.call.prompt-r.cached)
}

// stepTime returns the duration of a step, which grows with the batch. A full
// batch reaches the declared rate.
func (e *engine) stepTime(decoding, prefill int) time.Duration {
	seconds := float64(prefill) / float64(e.class.PrefillTokensPerSecond)
	if decoding > 0 {
		fullStep := float64(e.slots) / float64(e.class.DecodeTokensPerSecond)
		seconds += fullStep * (fixedStepFraction + (1-fixedStepFraction)*float64(decoding)/float64(e.slots))
	}
	return time.Duration(seconds * e.slowdown * float64(time.Second))
}

func (e *engine) finishStep(decoding []*run, prefills map[*run]int, duration time.Duration) {
	for _, r := range slices.Clone(e.batch) {
		n := prefills[r]
		if n == 0 {
			continue
		}
		r.prefilled += n
		if r.prefilled == r.toPrefill {
			e.cache.insert(r.call.prefix, r.call.prefixTokens, true)
			e.cache.insert(r.call.fingerprint, r.call.prompt-r.call.prefixTokens, false)
			r.firstTokenAt = e.clock.now
			r.generated = 1
			r.onFirstToken()
			e.endIfComplete(r)
		}
	}
	for _, r := range decoding {
		if !slices.Contains(e.batch, r) {
			continue
		}
		r.generated++
		e.outcome.recordTokenGap(duration)
		e.endIfComplete(r)
	}
	e.step()
}

func (e *engine) endIfComplete(r *run) {
	if r.generated >= r.call.output {
		e.end(r, reducer.EndedComplete)
	}
}

// end removes a run from the batch. It does nothing if the run has ended.
func (e *engine) end(r *run, how reducer.Ended) {
	i := slices.Index(e.batch, r)
	if i < 0 {
		return
	}
	e.batch = slices.Delete(slices.Clone(e.batch), i, i+1)
	e.outcome.addCharges(e.class, r)
	r.onEnd(how)
}

// crash breaks all runs and clears the cache.
func (e *engine) crash() {
	e.down = true
	e.startID++
	e.stepping = false
	for _, r := range slices.Clone(e.batch) {
		e.end(r, reducer.EndedBroken)
	}
	e.cache.clear()
	e.clock.after(restartTime, func() { e.down = false })
}
