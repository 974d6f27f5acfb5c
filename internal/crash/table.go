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
	// acquittalRetention is how long a sound run is remembered if its cause has no
	// later end. It is long compared with the time in which other instances learn
	// of the run and drop the ends before it.
	acquittalRetention = time.Minute
	// maxEnds limits the number of ends kept for one cause.
	maxEnds = 6
	// recentAcquittals is the number of causes without evidence of which a sound run
	// is remembered.
	recentAcquittals = 256
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
// make a cause a suspect.
func NewTable(threshold, limit int) *Table {
	return &Table{threshold: threshold, limit: limit, records: map[Cause]*Record{}, acquittals: acquittalRing{at: map[Cause]Time{}}}
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
	t.markChanged(cause)
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
		t.markChanged(cause)
	}
	return r.acquit(at)
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

// Merge adds the evidence of another instance and returns the ends that were
// not known before.
func (t *Table) Merge(other Record, now Time) []End {
	if r := t.records[other.Cause]; r != nil && other.Acquitted {
		r.acquit(other.AcquittedAt)
	}
	var added []End
	for _, e := range other.Ends {
		if now-e.At < Retention && t.add(other.Cause, e) {
			added = append(added, e)
		}
	}
	return added
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
	if len(r.Ends) >= maxEnds {
		return false
	}
	r.Ends = append(r.Ends, e)
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
		if len(r.Ends) == 0 && (!r.Acquitted || now-r.AcquittedAt >= acquittalRetention) {
			delete(t.records, r.Cause)
			t.removeFromOrder(k)
		}
	}
}

func (t *Table) markChanged(cause Cause) {
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
	if _, known := c.at[cause]; !known {
		delete(c.at, c.ring[c.next])
		c.ring[c.next] = cause
		c.next = (c.next + 1) % recentAcquittals
	}
	c.at[cause] = at
}
