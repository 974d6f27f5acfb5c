package crash

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long an end counts if its cause is no suspect.
	Retention = 10 * time.Minute
	// TrialRetention is how long after the last end a suspect is kept where trials
	// end the suspicion. It is longer than the longest time between two trials.
	TrialRetention = 2 * MaxTrialInterval
	// acquittalRetention is how long a sound run is remembered if its cause has no
	// later end. It is long compared with the time in which other instances learn
	// of the run and drop the ends before it.
	acquittalRetention = time.Minute
	// maxEnds limits the number of ends kept for one cause.
	maxEnds = 8
	// recentAcquittals is the number of causes without evidence of which a sound run
	// is remembered.
	recentAcquittals = 1024
)

// Time is a point in time on the monotonic clock of this instance.
type Time = time.Duration

// Incarnation identifies one run of an endpoint's process.
type Incarnation uint64

// IncarnationOf returns the identity of the process that the platform lists
// under an endpoint ID with a start time.
func IncarnationOf(endpointID string, started int64) Incarnation {
	return Incarnation(xxhash.Sum64String(endpointID + "/" + strconv.FormatInt(started, 10)))
}

// End is the end of an endpoint while it ran a request with a cause.
type End struct {
	Endpoint Incarnation
	At       Time
	// Source is the address of the instance from which the end was heard, or
	// empty if this instance observed it.
	Source string
}

// Record is what a Table knows about a cause.
type Record struct {
	Cause Cause
	// Ends are those after AcquittedAt.
	Ends []End
	// AcquittedAt is when a run with the cause was last found sound; Acquitted is
	// false if none was.
	Acquitted   bool
	AcquittedAt Time
}

// Table holds the records by cause. It is not safe for concurrent use.
type Table struct {
	threshold, limit int
	// suspectRetention is how long after the last end a suspect is kept.
	suspectRetention time.Duration
	records          map[Cause]*Record
	// order holds the causes of the records in the order in which they are reported;
	// cursor is the index of the next one.
	order  []Cause
	cursor int
	// changed holds the causes with new evidence from this instance.
	changed    []Cause
	acquittals acquittalRing
}

// NewTable returns an empty Table of at most limit causes, in which threshold ends
// make a cause a suspect. A suspect is kept for suspectRetention after the last one.
func NewTable(threshold, limit int, suspectRetention time.Duration) *Table {
	return &Table{threshold: threshold, limit: limit, suspectRetention: suspectRetention, records: map[Cause]*Record{}, acquittals: acquittalRing{at: map[Cause]Time{}}}
}

// Ends returns the ends that count for a cause. The result must not be
// modified.
func (t *Table) Ends(cause Cause) []End {
	if r := t.records[cause]; r != nil {
		return r.Ends
	}
	return nil
}

// Suspect reports whether enough endpoints have ended under a cause.
func (t *Table) Suspect(cause Cause) bool { return len(t.Ends(cause)) >= t.threshold }

// Get returns the record of a cause and whether there is one.
func (t *Table) Get(cause Cause) (Record, bool) {
	r := t.records[cause]
	if r == nil {
		return Record{}, false
	}
	return r.copy(), true
}

// All returns the records of the causes under which endpoints have ended.
func (t *Table) All() []Record {
	var out []Record
	for _, f := range t.order {
		if r := t.records[f]; len(r.Ends) > 0 {
			out = append(out, r.copy())
		}
	}
	return out
}

// AddEnd records an end that this instance observed and reports whether it
// counts and was not known before.
func (t *Table) AddEnd(cause Cause, endpoint Incarnation, at Time) bool {
	if !t.add(cause, End{Endpoint: endpoint, At: at}) {
		return false
	}
	t.Announce(cause)
	return true
}

// AddAcquittal records a sound run with a cause. It returns the ends that no longer
// count.
func (t *Table) AddAcquittal(cause Cause, at Time) []End {
	t.acquittals.add(cause, at)
	r := t.records[cause]
	if r == nil {
		return nil
	}
	if t.Suspect(cause) {
		t.Announce(cause)
	}
	return r.acquit(at)
}

// Suspects returns the records of the suspects.
func (t *Table) Suspects() []Record {
	var out []Record
	for _, c := range t.order {
		if t.Suspect(c) {
			out = append(out, t.records[c].copy())
		}
	}
	return out
}

// acquit drops the ends up to a sound run and returns them.
func (r *Record) acquit(at Time) []End {
	if r.Acquitted && r.AcquittedAt >= at {
		return nil
	}
	r.Acquitted, r.AcquittedAt = true, at
	var dropped, kept []End
	for _, e := range r.Ends {
		if e.At <= at {
			dropped = append(dropped, e)
		} else {
			kept = append(kept, e)
		}
	}
	r.Ends = kept
	return dropped
}

// Merge adds the evidence of another instance. It returns the ends that were not
// known before, and whether the other instance counts ends that a sound run known
// here outweighs.
func (t *Table) Merge(other Record, now Time) (added []End, outdated bool) {
	if other.Acquitted {
		t.acquittals.add(other.Cause, other.AcquittedAt)
		if r := t.records[other.Cause]; r != nil {
			r.acquit(other.AcquittedAt)
		}
	}
	acquittedAt, acquitted := t.acquittals.at[other.Cause]
	if r := t.records[other.Cause]; r != nil {
		acquittedAt, acquitted = r.AcquittedAt, r.Acquitted
	}
	for _, e := range other.Ends {
		switch {
		case acquitted && e.At <= acquittedAt:
			outdated = true
			if t.records[other.Cause] == nil {
				// The sound run has to be reported to those that know of the end.
				t.insert(other.Cause)
			}
		case now-e.At < t.retention(other.Ends) && t.add(other.Cause, e):
			added = append(added, e)
		}
	}
	return added, outdated
}

// retention returns how long the ends of a record count.
func (t *Table) retention(ends []End) time.Duration {
	if len(ends) >= t.threshold {
		return t.suspectRetention
	}
	return Retention
}

// add adds an end unless it is known or precedes a sound run. Of two times
// for the same end the earlier one is kept, since reports are only ever late.
func (t *Table) add(cause Cause, e End) bool {
	r := t.records[cause]
	if r == nil {
		r = t.insert(cause)
	}
	if r.Acquitted && e.At <= r.AcquittedAt {
		return false
	}
	for k := range r.Ends {
		if known := &r.Ends[k]; known.Endpoint == e.Endpoint {
			known.At = min(known.At, e.At)
			return false
		}
	}
	if len(r.Ends) < maxEnds {
		r.Ends = append(r.Ends, e)
		return true
	}
	// The newest ends decide when the next trial is due.
	oldest := 0
	for k := range r.Ends {
		if r.Ends[k].At < r.Ends[oldest].At {
			oldest = k
		}
	}
	if e.At <= r.Ends[oldest].At {
		return false
	}
	r.Ends[oldest] = e
	return true
}

// insert returns a new record. A full table drops another one.
func (t *Table) insert(cause Cause) *Record {
	if len(t.records) >= t.limit {
		t.evict()
	}
	r := &Record{Cause: cause}
	r.AcquittedAt, r.Acquitted = t.acquittals.at[cause]
	t.records[cause] = r
	t.order = append(t.order, cause)
	return r
}

// evict removes the oldest of the records with the fewest ends.
func (t *Table) evict() {
	least := 0
	for k, c := range t.order {
		if len(t.records[c].Ends) < len(t.records[t.order[least]].Ends) {
			least = k
		}
		if len(t.records[t.order[least]].Ends) <= 1 {
			break
		}
	}
	delete(t.records, t.order[least])
	t.removeFromOrder(least)
}

func (t *Table) removeFromOrder(k int) {
	t.order = slices.Delete(t.order, k, k+1)
	if t.cursor > k {
		t.cursor--
	}
}

// Expire removes the ends that have been kept long enough and those that are
// refuted, and records without evidence. A suspect keeps all of its ends until the
// last one expires.
func (t *Table) Expire(now Time, refuted func(End) bool) {
	for k := len(t.order) - 1; k >= 0; k-- {
		r := t.records[t.order[k]]
		r.Ends = slices.DeleteFunc(r.Ends, refuted)
		if len(r.Ends) < t.threshold || now-r.LastEnd() >= t.suspectRetention {
			r.Ends = slices.DeleteFunc(r.Ends, func(e End) bool { return now-e.At >= Retention })
		}
		if len(r.Ends) == 0 && (!r.Acquitted || now-r.AcquittedAt >= acquittalRetention) {
			delete(t.records, r.Cause)
			t.removeFromOrder(k)
		}
	}
}

// Announce makes TakeChanged return the record of a cause again.
func (t *Table) Announce(cause Cause) {
	if !slices.Contains(t.changed, cause) {
		t.changed = append(t.changed, cause)
	}
}

// TakeChanged returns up to n records with new evidence from this instance that
// were not returned before.
func (t *Table) TakeChanged(n int) []Record {
	var out []Record
	for len(t.changed) > 0 && len(out) < n {
		if r := t.records[t.changed[0]]; r != nil {
			out = append(out, r.copy())
		}
		t.changed = t.changed[1:]
	}
	return out
}

// Next returns up to n records, different ones at each call until all were
// returned.
func (t *Table) Next(n int) []Record {
	var out []Record
	for range min(n, len(t.order)) {
		t.cursor %= len(t.order)
		out = append(out, t.records[t.order[t.cursor]].copy())
		t.cursor++
	}
	return out
}

// LastEnd returns the time of the newest end, or zero if there is none.
func (r *Record) LastEnd() Time {
	last := Time(0)
	for _, e := range r.Ends {
		last = max(last, e.At)
	}
	return last
}

// Explains reports whether every end of other is one of r.
func (r *Record) Explains(other Record) bool {
	for _, e := range other.Ends {
		if !slices.ContainsFunc(r.Ends, func(own End) bool { return own.Endpoint == e.Endpoint }) {
			return false
		}
	}
	return true
}

func (r *Record) copy() Record {
	out := *r
	out.Ends = slices.Clone(r.Ends)
	return out
}

// acquittalRing remembers the last sound runs.
type acquittalRing struct {
	at   map[Cause]Time
	ring [recentAcquittals]Cause
	next int
}

func (c *acquittalRing) add(cause Cause, at Time) {
	last, known := c.at[cause]
	if !known {
		delete(c.at, c.ring[c.next])
		c.ring[c.next] = cause
		c.next = (c.next + 1) % recentAcquittals
	}
	c.at[cause] = max(last, at)
}
