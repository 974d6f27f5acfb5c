package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/cespare/xxhash/v2"
)

// trialSpacing is the time between the turns of two instances, of which the first
// one that has a request with the suspect tries it: an end is found, and all
// others know of it, in less.
const trialSpacing = time.Second

// unresolvedTime is how long a broken attempt counts as one that may have ended its
// endpoint. A connection to it has been tried by then, or does not get through.
const unresolvedTime = 1500 * time.Millisecond

// verdict is what the evidence says about a request. A higher one outweighs a
// lower one.
type verdict int

const (
	// cleared requests are dispatched.
	cleared verdict = iota
	// onTrial requests have a suspect, but are dispatched to find out whether it
	// still makes endpoints end, or which of two suspects does.
	onTrial
	// awaitingProof requests are held until other runs have shown more.
	awaitingProof
	// convicted requests are refused.
	convicted
)

// judge returns the verdict about a request, and the cause that decided it.
func (s *State) judge(r *request) (worst verdict, cause crash.Cause) {
	for _, c := range r.causes {
		if v := s.judgeCause(r, c); v > worst {
			worst, cause = v, c
		}
	}
	return worst, cause
}

func (s *State) isConvicted(r *request) bool {
	v, _ := s.judge(r)
	return v == convicted
}

func (s *State) judgeCause(r *request, c crash.Cause) verdict {
	record, known := s.crashes.Get(c)
	if !known || len(record.Ends) == 0 {
		return cleared
	}
	unresolved := s.unresolvedAt(c)
	since, suspected := s.suspectedAt[c]
	switch {
	case !suspected && len(record.Ends)+unresolved >= crashThreshold:
		return awaitingProof
	case !suspected:
		return cleared
	case s.now.Sub(since) < crash.ProofTime:
		return awaitingProof
	}
	_, running := s.trials[c]
	explained := s.explainedByOther(r, record)
	switch {
	case !running && unresolved == 0 && (explained || s.trialDue(record)):
		return onTrial
	case explained || !s.crashes.Confirmed(record):
		return awaitingProof
	default:
		return convicted
	}
}

// explainedByOther reports whether a suspect that r does not have explains every
// end of the given one. The two were then always together, and r shows which of
// them makes endpoints end.
func (s *State) explainedByOther(r *request, record crash.Record) bool {
	for c := range s.suspectedAt {
		if c == record.Cause || slices.Contains(r.causes, c) {
			continue
		}
		if other, known := s.crashes.Get(c); known && other.Explains(record) {
			return true
		}
	}
	return false
}

// trialDue reports whether this instance may try one request with a suspect
// again. The instances take turns, in an order that differs between suspects.
func (s *State) trialDue(record crash.Record) bool {
	due := Instant(s.crashes.TrialDue(record))
	if s.now < due {
		return false
	}
	key := xxhash.Sum64String(record.Cause.String())
	own := mix64(xxhash.Sum64String(s.cfg.Address) ^ key)
	turn := 0
	for _, c := range s.reachableInstances {
		if c.address != s.cfg.Address && mix64(c.hash^key) > own {
			turn++
		}
	}
	return s.now >= due.Add(time.Duration(turn)*trialSpacing)
}

// unresolvedAt returns the number of endpoints at which connections of requests
// with a cause broke and that have not shown since whether they ended.
func (s *State) unresolvedAt(c crash.Cause) int {
	n := 0
	for _, e := range s.withUnanswered {
		if slices.ContainsFunc(e.unanswered, func(u unanswered) bool {
			return u.broken && !u.accepted && s.now.Sub(u.at) <= unresolvedTime && slices.Contains(u.causes, c)
		}) {
			n++
		}
	}
	return n
}

// suspicionBegins records that enough endpoints have ended under a cause. All
// instances are told, so that one that knows of a sound run answers.
func (s *State) suspicionBegins(c crash.Cause) {
	s.suspectedAt[c] = s.now
	s.crashes.Announce(c)
	s.count(CounterSuspects, "suspected")
	s.log("crash_suspect", s.crashBasis(c)...)
}

// suspicionChanged ends the suspicion against a cause if the evidence is no longer
// enough.
func (s *State) suspicionChanged(c crash.Cause) {
	since, suspected := s.suspectedAt[c]
	if !suspected || s.crashes.Suspect(c) {
		return
	}
	delete(s.suspectedAt, c)
	s.evidenceChanged = true
	s.count(CounterSuspects, "acquitted")
	s.log("crash_suspect_acquitted", "cause", c.String(), "suspected_ms", s.now.Sub(since).Milliseconds())
}

// beginTrial records that a request is dispatched although it has suspects.
func (s *State) beginTrial(r *request) {
	for _, c := range r.causes {
		if _, suspected := s.suspectedAt[c]; suspected {
			s.trials[c] = r.ID
			s.count(CounterSuspects, "tried")
			s.log("crash_trial", append([]any{"request", r.Name}, s.crashBasis(c)...)...)
		}
	}
	r.trial = true
}

// endTrial records the end of a trial, which may have shown nothing.
func (s *State) endTrial(r *request) {
	if !r.trial {
		return
	}
	r.trial = false
	for _, c := range r.causes {
		if s.trials[c] == r.ID {
			delete(s.trials, c)
		}
	}
	s.evidenceChanged = true
}

// hold keeps a request out of the queue until there is more evidence.
func (p *pool) hold(r *request) { p.held = append(p.held, r) }

// applyVerdicts refuses the queued and held requests that have been convicted and
// queues those again that have been cleared.
func (s *State) applyVerdicts(p *pool) {
	for _, r := range slices.Clone(p.waiting) {
		if v, _ := s.judge(r); v == convicted {
			p.dequeue(r)
			s.refuseHeld(r, CrashSuspect)
		}
	}
	for _, r := range slices.Clone(p.held) {
		switch v, _ := s.judge(r); v {
		case awaitingProof:
		case convicted:
			p.dequeue(r)
			s.refuseHeld(r, CrashSuspect)
		default:
			p.dequeue(r)
			p.enqueue(r)
		}
	}
}

// applyEvidence applies what the evidence that has changed means for the requests
// that wait.
func (s *State) applyEvidence() {
	if !s.evidenceChanged {
		return
	}
	s.evidenceChanged = false
	for _, p := range s.poolOrder {
		s.applyVerdicts(p)
		s.dispatchWaiting(p)
	}
}

// reviewVerdicts decides again about the requests that wait, since some verdicts
// change with time.
func (s *State) reviewVerdicts(p *pool) {
	if len(p.held) > 0 || len(s.suspectedAt) > 0 {
		s.applyVerdicts(p)
	}
}
