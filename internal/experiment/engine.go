package experiment

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Engine constants.
const (
	// cacheTokens is the memory of one engine's prefix cache.
	cacheTokens = 48 << 10
	// chunkTokens bounds the prompt tokens that one step reads.
	chunkTokens = 512
	// fixedStep is the part of a full batch's decode step that an empty batch
	// takes as well.
	fixedStep = 0.6
	// restartTime is how long a crashed engine is down.
	restartTime = 2 * time.Second
	// sampleInterval is the time between two readings of an engine's batch.
	sampleInterval = 100 * time.Millisecond
	// disconnectGrace is how long a run goes on that nobody reads.
	disconnectGrace = 5 * time.Second
)

// run is one request at an engine.
type run struct {
	call   *call
	engine *engine
	begun  bool
	cached int
	// read counts the prompt tokens that were not cached.
	read, toRead int
	generated    int
	started      reducer.Instant
	firstAt      reducer.Instant
	// first and ended tell the scheduler.
	first func()
	ended func(reducer.Ended)
}

// engine batches continuously: it admits each request as it comes, gives each
// one of the first slots a token a step, and reads prompts in chunks beside
// the decoding. The others wait in the order in which they came.
type engine struct {
	clock    *clock
	name     string
	class    *declared.Class
	slots    int
	slowness float64
	down     bool
	boot     uint64
	stepping bool
	batch    []*run
	cache    *prefixCache
	measure  *Outcome
	// samples are the lengths of the batch, one each sampleInterval.
	samples []int
	// changed tells of a prefix that was taken up or dropped.
	changed func(prefix uint64, held bool)
}

func newEngine(c *clock, e *declared.Endpoint, class *declared.Class, measure *Outcome) *engine {
	n := &engine{clock: c, name: e.Name, class: class, slots: e.Slots, slowness: 1, boot: 1, measure: measure}
	n.changed = func(uint64, bool) {}
	n.cache = newPrefixCache(cacheTokens, func(p uint64, held bool) { n.changed(p, held) })
	c.every(sampleInterval, func() { n.samples = append(n.samples, len(n.batch)) })
	return n
}

// runningAt is the length of the batch at a past time.
func (e *engine) runningAt(at reducer.Instant) int {
	return e.samples[min(max(0, int(time.Duration(at)/sampleInterval)), len(e.samples)-1)]
}

func (e *engine) add(r *run) {
	r.engine, r.started = e, e.clock.now
	e.batch = append(e.batch, r)
	if !e.stepping {
		e.step()
	}
}

// step plans one step and ends it when its time has passed.
func (e *engine) step() {
	e.stepping = len(e.batch) > 0 && !e.down
	if !e.stepping {
		return
	}
	chunk, left := map[*run]int{}, chunkTokens
	var decoding []*run
	for _, r := range e.batch[:min(len(e.batch), e.slots)] {
		e.begin(r)
		switch {
		case r.read == r.toRead:
			decoding = append(decoding, r)
		case left > 0:
			chunk[r] = min(left, r.toRead-r.read)
			left -= chunk[r]
		}
	}
	took := e.stepTime(len(decoding), chunkTokens-left)
	boot := e.boot
	e.clock.after(took, func() {
		if e.boot == boot {
			e.finishStep(decoding, chunk, took)
		}
	})
}

func (e *engine) begin(r *run) {
	if r.begun {
		return
	}
	r.begun = true
	if e.cache.touch(r.call.prefix) {
		r.cached = r.call.prefixTokens
	}
	// The last token of a prompt is always read.
	r.toRead = max(1, r.call.prompt-r.cached)
}

// stepTime grows with the batch; a full one reaches the declared rate.
func (e *engine) stepTime(decoding, prefill int) time.Duration {
	seconds := float64(prefill) / float64(e.class.PrefillTokensPerSecond)
	if decoding > 0 {
		full := float64(e.slots) / float64(e.class.DecodeTokensPerSecond)
		seconds += full * (fixedStep + (1-fixedStep)*float64(decoding)/float64(e.slots))
	}
	return time.Duration(seconds * e.slowness * float64(time.Second))
}

func (e *engine) finishStep(decoding []*run, chunk map[*run]int, took time.Duration) {
	for _, r := range slices.Clone(e.batch) {
		n := chunk[r]
		if n == 0 {
			continue
		}
		r.read += n
		if r.read == r.toRead {
			e.cache.put(r.call.prefix, r.call.prefixTokens, true)
			e.cache.put(r.call.fingerprint, r.call.prompt-r.call.prefixTokens, false)
			r.firstAt = e.clock.now
			r.generated = 1
			r.first()
			e.endIfWhole(r)
		}
	}
	for _, r := range decoding {
		if !slices.Contains(e.batch, r) {
			continue
		}
		r.generated++
		e.measure.gap(took)
		e.endIfWhole(r)
	}
	e.step()
}

func (e *engine) endIfWhole(r *run) {
	if r.generated >= r.call.output {
		e.end(r, reducer.EndedWhole)
	}
}

// end takes a run out; it does nothing for one that has ended.
func (e *engine) end(r *run, how reducer.Ended) {
	i := slices.Index(e.batch, r)
	if i < 0 {
		return
	}
	e.batch = slices.Delete(slices.Clone(e.batch), i, i+1)
	e.measure.bill(e.class, r)
	r.ended(how)
}

// crash breaks every run and forgets the cache.
func (e *engine) crash() {
	e.down = true
	e.boot++
	e.stepping = false
	for _, r := range slices.Clone(e.batch) {
		e.end(r, reducer.EndedBroken)
	}
	e.cache.clear()
	e.clock.after(restartTime, func() { e.down = false })
}
