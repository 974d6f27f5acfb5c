package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// simParts is the part of a simulation in which requests have prompts whose parts
// others share, and some parts crash each engine that begins to answer. A nil
// simParts is a simulation without prompts.
type simParts struct {
	// crashing holds the parts that crash engines.
	crashing map[PromptPart]bool
	// subjects is the number of parts in second place among the sound requests.
	subjects int
	prompts  map[simRequest][]PromptPart
	// crashedAt are the times at which engines ended under a crashing part.
	crashedAt map[PromptPart][]Instant
	// sends are the dispatches of requests with crashing parts.
	sends map[PromptPart][]simSend
	sound map[simRequest]*simSound
	// order holds the sound requests in order of arrival.
	order []*simSound
}

// simSound is a request of runLoad.
type simSound struct {
	at, disturbed Instant
	parts         []PromptPart
	attempts      int
	// begun is set once the request has an answer at its first attempt.
	begun, refused bool
	reason         Reason
}

const (
	// firstPart is the first part of all sound requests.
	firstPart PromptPart = 1
	// simMinPrefill and simMaxPrefill bound the time from the start of a run to
	// its first event.
	simMinPrefill = 60 * time.Millisecond
	simMaxPrefill = 200 * time.Millisecond
	// simEventInterval is the time between the first two events of a stream.
	simEventInterval = 25 * time.Millisecond
	// partContact is the time after which instances without faults are in contact.
	partContact = 3 * time.Second
)

func newSimParts(subjects int, crashing ...PromptPart) *simParts {
	p := &simParts{
		crashing: map[PromptPart]bool{}, subjects: subjects, prompts: map[simRequest][]PromptPart{},
		crashedAt: map[PromptPart][]Instant{}, sends: map[PromptPart][]simSend{}, sound: map[simRequest]*simSound{},
	}
	for _, part := range crashing {
		p.crashing[part] = true
	}
	return p
}

// subject returns a part in second place.
func subject(n int) PromptPart { return PromptPart(1000 + n) }

// newPartSimulation returns a simulation in which some parts crash engines.
func newPartSimulation(instances, engines, slots, subjects int, crashing ...PromptPart) *simulation {
	f := newSimulation(instances, 4, engines, slots)
	f.crashes = newSimCrashes(noCrash)
	f.parts = newSimParts(subjects, crashing...)
	return f
}

// arriving returns the parts of a request of runLoad.
func (p *simParts) arriving(f *simulation, i *simInstance, id RequestID) []PromptPart {
	if p == nil {
		return nil
	}
	key := simRequest{i, id}
	parts := []PromptPart{firstPart, subject(f.rand.IntN(p.subjects))}
	p.prompts[key] = parts
	s := &simSound{at: f.now, disturbed: f.crashes.disturbed[i], parts: parts}
	p.sound[key] = s
	p.order = append(p.order, s)
	return parts
}

// sendPrompt submits a request with parts to an instance.
func (f *simulation) sendPrompt(i *simInstance, attempts int, parts []PromptPart) {
	f.nextID++
	f.parts.prompts[simRequest{i, f.nextID}] = parts
	r := route("r", 0)
	r.MaxAttempts = attempts
	f.step(i, Arrived{Request: Request{
		ID: f.nextID, Name: fmt.Sprint(f.nextID), Version: 1, Route: r, Service: service, Fingerprint: uint64(f.nextID) << 16,
		PromptParts: parts, PromptTokens: 2000, Tokens: 2100,
		CallerDeadline: f.now.Add(simCallerTimeout), Deadline: f.now.Add(simCallerTimeout),
	}})
}

// repeatPrompts sends requests with parts, no two alike, to random instances at
// a rate per second until end.
func (f *simulation) repeatPrompts(rate float64, end Instant, attempts int, parts func() []PromptPart) {
	if f.now >= end {
		return
	}
	f.sendPrompt(f.liveInstance(), attempts, parts())
	f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() { f.repeatPrompts(rate, end, attempts, parts) })
}

func (p *simParts) dispatched(f *simulation, job simJob) {
	if p == nil {
		return
	}
	key := simRequest{job.at, job.id}
	for _, part := range p.prompts[key] {
		if p.crashing[part] {
			p.sends[part] = append(p.sends[part], simSend{f.now, f.crashes.disturbed[job.at]})
		}
	}
	if s := p.sound[key]; s != nil {
		s.attempts++
	}
}

func (p *simParts) refused(i *simInstance, e Refuse) {
	if p == nil {
		return
	}
	if s := p.sound[simRequest{i, e.ID}]; s != nil {
		s.refused, s.reason = true, e.Reason
	}
}

// prefill calls answer once the engine has read the prompt of a job, unless a
// part of it crashes the engine then.
func (p *simParts) prefill(f *simulation, e *simEngine, job simJob, answer func()) {
	if p == nil {
		answer()
		return
	}
	f.after(simMinPrefill+time.Duration(f.rand.Int64N(int64(simMaxPrefill-simMinPrefill))), func() {
		key := simRequest{job.at, job.id}
		if e.down {
			return
		}
		for _, part := range p.prompts[key] {
			if p.crashing[part] {
				p.crashedAt[part] = append(p.crashedAt[part], f.now)
				f.crash(e)
				return
			}
		}
		if s := p.sound[key]; s != nil && s.attempts == 1 {
			s.begun = true
		}
		answer()
	})
}

// proceed delivers the second event of a stream.
func (p *simParts) proceed(f *simulation, e *simEngine, job simJob) {
	if p != nil {
		f.after(simEventInterval, func() {
			if !e.down {
				f.stepJob(job, AnswerContinued{ID: job.id})
			}
		})
	}
}

// lateSends returns the number of requests with a part that were sent later than
// partContact after the nth crash by instances that had not been disturbed for as
// long.
func (p *simParts) lateSends(part PromptPart, nth int) int {
	crashes := p.crashedAt[part]
	if len(crashes) < nth {
		return 0
	}
	from, n := crashes[nth-1].Add(partContact), 0
	for _, s := range p.sends[part] {
		if s.at > from && (s.disturbed == 0 || s.at.Sub(s.disturbed) > partContact) {
			n++
		}
	}
	return n
}

// begunShare returns the share of the sound requests of a time, at instances not
// disturbed shortly before, that began at their first attempt, and their number.
func (p *simParts) begunShare(from, to Instant, which func(*simSound) bool) (share float64, total int) {
	begun := 0
	for _, s := range p.order {
		if s.at < from || s.at >= to || s.disturbed != 0 && s.at.Sub(s.disturbed) <= partContact || which != nil && !which(s) {
			continue
		}
		total++
		if s.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(total, 1)), total
}

// refusedSound returns the number of sound requests that were refused as
// suspects.
func (p *simParts) refusedSound() int {
	n := 0
	for _, s := range p.order {
		if s.refused && s.reason == CrashSuspect {
			n++
		}
	}
	return n
}

func hasPart(part PromptPart) func(*simSound) bool {
	return func(s *simSound) bool { return slices.Contains(s.parts, part) }
}

// crashSome ends n random engines for a reason that has nothing to do with their
// requests.
func (f *simulation) crashSome(n int) {
	var up []string
	for id, e := range f.engines {
		if !e.down {
			up = append(up, id)
		}
	}
	slices.Sort(up)
	f.rand.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	for _, id := range up[:min(n, len(up))] {
		f.crash(f.engines[id])
	}
}
