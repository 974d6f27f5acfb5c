package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ProofTime is how long after enough endpoints have ended under a cause other
	// runs with it are given to show that it is sound. Most endpoints begin an answer
	// in less, and instances hear of it.
	ProofTime = 250 * time.Millisecond
	// MinTrialInterval is the time after the end that confirmed a suspicion after
	// which one request with the suspect is tried again. Each trial that ends an
	// endpoint multiplies it by trialIntervalFactor, up to MaxTrialInterval.
	MinTrialInterval    = 20 * time.Second
	MaxTrialInterval    = time.Hour
	trialIntervalFactor = 4
)

// Confirmed reports whether another endpoint ended under a suspect after other
// runs had time to show that it is sound. Endpoints that end at the same moment
// for another reason may all run requests with the same cause.
func (t *Table) Confirmed(r Record) bool { return t.confirmations(r) > 0 }

// confirmations returns the number of ends later than ProofTime after the one that
// made the cause of a record a suspect.
func (t *Table) confirmations(r Record) int {
	since, ok := t.suspectSince(r)
	if !ok {
		return 0
	}
	n := 0
	for _, e := range r.Ends {
		if e.At > since+ProofTime {
			n++
		}
	}
	return n
}

// suspectSince returns the time of the end that made the cause of a record a
// suspect, and whether it is one.
func (t *Table) suspectSince(r Record) (Time, bool) {
	if len(r.Ends) < t.threshold {
		return 0, false
	}
	byTime := slices.SortedFunc(slices.Values(r.Ends), func(a, b End) int { return cmp.Compare(a.At, b.At) })
	return byTime[t.threshold-1].At, true
}

// TrialDue returns when one request with the suspect of a record may be tried
// again. It follows from the ends alone, so that instances with the same evidence
// agree.
func (t *Table) TrialDue(r Record) Time {
	confirmations := t.confirmations(r)
	if confirmations == 0 {
		since, _ := t.suspectSince(r)
		return since + ProofTime
	}
	interval := MinTrialInterval
	for range confirmations - 1 {
		interval = min(interval*trialIntervalFactor, MaxTrialInterval)
	}
	return r.LastEnd() + interval
}
