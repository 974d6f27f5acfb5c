package crash

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long an end counts.
	Retention = 10 * time.Minute
	// completionRetention is how long a completed run is remembered if the
	// request has no later end. It is long compared with the time in which other
	// instances learn of the completion and drop the ends before it.
	completionRetention = time.Minute
	// maxEnds limits the number of ends kept for one request.
	maxEnds = 6
	// recentCompletions is the number of completed runs that are remembered for
	// requests without evidence.
	recentCompletions = 256
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

// End is the end of an endpoint while it ran a request.
type End struct {
	Endpoint Incarnation
	At       Time
	// Source is the address of the instance from which the end was heard, or
	// empty if this instance observed it.
	Source string
}

// Record is what a Table knows about a request.
type Record struct {
	Fingerprint uint64
	// Ends are those after CompletedAt.
	Ends []End
	// CompletedAt is when a run last completed; Completed is false if none did.
	Completed   bool
	CompletedAt Time
}

// Table holds the records by request fingerprint. It is not safe for concurrent
// use.
type Table struct {
	threshold, limit int
	records          map[uint64]*Record
	// order holds the fingerprints of the records in the order in which they are
	// reported; cursor is the index of the next one.
	order  []uint64
	cursor int
	// changed holds the fingerprints with new evidence from this instance.
	changed     []uint64
	completions completionRing
}

// NewTable returns an empty Table of at most limit requests, in which threshold
// ends make a request a suspect.
func NewTable(threshold, limit int) *Table {
	return &Table{threshold: threshold, limit: limit, records: map[uint64]*Record{}, completions: completionRing{at: map[uint64]Time{}}}
}

// Ends returns the ends that count for a request. The result must not be
// modified.
func (t *Table) Ends(fingerprint uint64) []End {
	if r := t.records[fingerprint]; r != nil {
		return r.Ends
	}
	return nil
}

// Suspect reports whether enough endpoints have ended under a request.
func (t *Table) Suspect(fingerprint uint64) bool { return len(t.Ends(fingerprint)) >= t.threshold }

// Get returns the record of a request and whether there is one.
func (t *Table) Get(fingerprint uint64) (Record, bool) {
	r := t.records[fingerprint]
	if r == nil {
		return Record{}, false
	}
	return r.copy(), true
}

// All returns the records of the requests under which endpoints have ended.
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
func (t *Table) AddEnd(fingerprint uint64, endpoint Incarnation, at Time) bool {
	if !t.add(fingerprint, End{Endpoint: endpoint, At: at}) {
		return false
	}
	t.markChanged(fingerprint)
	return true
}

// AddCompletion records a run that completed. It returns the ends that no longer
// count.
func (t *Table) AddCompletion(fingerprint uint64, at Time) []End {
	t.completions.add(fingerprint, at)
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	if t.Suspect(fingerprint) {
		t.markChanged(fingerprint)
	}
	return r.complete(at)
}

// complete drops the ends up to a completed run and returns them.
func (r *Record) complete(at Time) []End {
	if r.Completed && r.CompletedAt >= at {
		return nil
	}
	r.Completed, r.CompletedAt = true, at
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

// Merge adds the evidence of another instance and returns the ends that were
// not known before.
func (t *Table) Merge(other Record, now Time) []End {
	if r := t.records[other.Fingerprint]; r != nil && other.Completed {
		r.complete(other.CompletedAt)
	}
	var added []End
	for _, e := range other.Ends {
		if now-e.At < Retention && t.add(other.Fingerprint, e) {
			added = append(added, e)
		}
	}
	return added
}

// add adds an end unless it is known or precedes a completed run. Of two times
// for the same end the earlier one is kept, since reports are only ever late.
func (t *Table) add(fingerprint uint64, e End) bool {
	r := t.records[fingerprint]
	if r == nil {
		r = t.insert(fingerprint)
	}
	if r.Completed && e.At <= r.CompletedAt {
		return false
	}
	for k := range r.Ends {
		if known := &r.Ends[k]; known.Endpoint == e.Endpoint {
			known.At = min(known.At, e.At)
			return false
		}
	}
	if len(r.Ends) >= maxEnds {
		return false
	}
	r.Ends = append(r.Ends, e)
	return true
}

// insert returns a new record. A full table drops another one.
func (t *Table) insert(fingerprint uint64) *Record {
	if len(t.records) >= t.limit {
		t.evict()
	}
	r := &Record{Fingerprint: fingerprint}
	r.CompletedAt, r.Completed = t.completions.at[fingerprint]
	t.records[fingerprint] = r
	t.order = append(t.order, fingerprint)
	return r
}

// evict removes the oldest of the records with the fewest ends.
func (t *Table) evict() {
	least := 0
	for k, f := range t.order {
		if len(t.records[f].Ends) < len(t.records[t.order[least]].Ends) {
			least = k
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

// Expire removes the ends after Retention and those that are refuted, and
// records without evidence.
func (t *Table) Expire(now Time, refuted func(End) bool) {
	for k := len(t.order) - 1; k >= 0; k-- {
		r := t.records[t.order[k]]
		r.Ends = slices.DeleteFunc(r.Ends, func(e End) bool { return now-e.At >= Retention || refuted(e) })
		if len(r.Ends) == 0 && (!r.Completed || now-r.CompletedAt >= completionRetention) {
			delete(t.records, r.Fingerprint)
			t.removeFromOrder(k)
		}
	}
}

func (t *Table) markChanged(fingerprint uint64) {
	if !slices.Contains(t.changed, fingerprint) {
		t.changed = append(t.changed, fingerprint)
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

func (r *Record) copy() Record {
	out := *r
	out.Ends = slices.Clone(r.Ends)
	return out
}

// completionRing remembers the last completed runs.
type completionRing struct {
	at   map[uint64]Time
	ring [recentCompletions]uint64
	next int
}

func (c *completionRing) add(fingerprint uint64, at Time) {
	if _, known := c.at[fingerprint]; !known {
		delete(c.at, c.ring[c.next])
		c.ring[c.next] = fingerprint
		c.next = (c.next + 1) % recentCompletions
	}
	c.at[fingerprint] = at
}
