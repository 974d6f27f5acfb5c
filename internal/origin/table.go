package origin

// Table holds the records by attempt. It is not safe for concurrent use.
type Table struct {
	limit   int
	records map[Attempt]Record
	// order holds the attempts in the order in which they were added.
	order []Attempt
	// unsent holds the records that are to be sent to other instances.
	unsent []Record
}

// NewTable returns an empty Table of at most limit records.
func NewTable(limit int) *Table { return &Table{limit: limit, records: map[Attempt]Record{}} }

// Begin adds a record of this instance. If send is set, TakeUnsent returns it.
func (t *Table) Begin(r Record, send bool) {
	t.Merge(r)
	if send {
		t.unsent = append(t.unsent, r)
	}
}

// Merge adds a record unless one of a later dispatch is known.
func (t *Table) Merge(r Record) {
	known, ok := t.records[r.Attempt]
	if ok && known.Dispatch > r.Dispatch {
		return
	}
	if !ok {
		if len(t.records) >= t.limit {
			delete(t.records, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, r.Attempt)
	}
	t.records[r.Attempt] = r
}

// Lookup returns the record of an attempt and whether there is one.
func (t *Table) Lookup(a Attempt) (Record, bool) {
	r, ok := t.records[a]
	return r, ok
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// TakeUnsent returns the records to be sent that were not returned before.
func (t *Table) TakeUnsent() []Record {
	out := t.unsent
	t.unsent = nil
	return out
}

// Expire removes the records of attempts that can't be taken up any more.
func (t *Table) Expire(now Time) {
	kept := t.order[:0]
	for _, a := range t.order {
		if t.records[a].Until < now {
			delete(t.records, a)
			continue
		}
		kept = append(kept, a)
	}
	t.order = kept
}
