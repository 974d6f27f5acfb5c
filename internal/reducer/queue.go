package reducer

import (
	"container/heap"
	"math"
	"time"
)

// entry is one waiting request at its owner.
type entry struct {
	key          grantKey
	round        uint32
	pool         *pool
	rank         int
	organisation string
	prompt       int
	output       int
	prefix       uint64
	fingerprint  uint64
	// service is the estimated time in seconds that the request occupies a
	// slot.
	service float64
	// charge is what the organisation pays of its share: the estimated time in
	// seconds for which the run would take a whole endpoint.
	charge   float64
	arrived  Instant
	deadline Instant
	renewed  Instant
	// pending is set while the entry would be shed but the right to shed its
	// tier is not yet held.
	pending shedReason
	gone    bool
}

// pool is the queue of one model or service at one owner.
type pool struct {
	name    string
	tiers   []*tierQueue // index 0 is rank 1
	waiting int
	// pending counts entries that wait for the right to be shed.
	pending int
	entries map[grantKey]*entry
	// served counts what this instance can grant.
	owned []*endpoint
	slots int
	// owners lists who owns endpoints of the pool, with their slots.
	owners []poolOwner
	// declared counts slots of the zone.
	declared int

	// closedUntil ends each tier's closure; index 0 is rank 1.
	closedUntil []Instant
	raising     raising

	// serviceError is the learnt ratio of measured to estimated time.
	serviceError float64
	// usualSeconds is the moving average of how long a run takes.
	usualSeconds float64
	robin        int
}

type poolOwner struct {
	id    Incarnation
	slots int
}

// tierQueue holds one tier's waiting requests, fair between organisations:
// the organisation with the least service received for its share is next.
type tierQueue struct {
	organisations map[string]*organisationQueue
	ready         organisationHeap
	waiting       int
	// service sums the estimated slot seconds of what waits.
	service float64
	virtual float64
	// offered is the rate of arriving work, in slots, at the time ratedAt.
	offered float64
	ratedAt Instant
	// shares sums the shares of the organisations that wait, charge what
	// they would pay.
	shares float64
	charge float64
	// arrivals is in order of arrival, for taking the newest.
	arrivals []*entry
}

type organisationQueue struct {
	name    string
	share   float64
	virtual float64
	entries []*entry
	index   int
	// waiting counts what waits, charge sums what it would pay.
	waiting int
	charge  float64
}

// organisationHeap orders organisations by virtual time.
type organisationHeap []*organisationQueue

func (h organisationHeap) Len() int { return len(h) }
func (h organisationHeap) Less(i, j int) bool {
	return h.before(h[i], h[j])
}

// before says which of two organisations is next.
func (organisationHeap) before(a, b *organisationQueue) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}
func (h organisationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *organisationHeap) Push(x any) {
	q := x.(*organisationQueue)
	q.index = len(*h)
	*h = append(*h, q)
}
func (h *organisationHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	q.index = -1
	return q
}

func newPool(name string, tiers int) *pool {
	p := &pool{name: name, entries: map[grantKey]*entry{}, serviceError: 1, usualSeconds: 1}
	p.setTiers(tiers)
	return p
}

func (p *pool) setTiers(n int) {
	for len(p.tiers) < n {
		p.tiers = append(p.tiers, &tierQueue{organisations: map[string]*organisationQueue{}})
		p.closedUntil = append(p.closedUntil, 0)
	}
}

// push adds an entry at the end of its organisation's line. An organisation
// that was idle starts at the tier's present virtual time: it has no claim on
// service that it did not ask for.
func (p *pool) push(e *entry, share float64) {
	t := p.tiers[e.rank-1]
	q := t.organisations[e.organisation]
	if q == nil {
		q = &organisationQueue{name: e.organisation, index: -1}
		t.organisations[e.organisation] = q
	}
	if q.waiting > 0 {
		t.shares -= q.share
	}
	q.share = share
	t.shares += share
	q.waiting++
	q.charge += e.charge
	t.charge += e.charge
	if len(q.entries) == 0 {
		q.virtual = max(q.virtual, t.virtual)
	}
	q.entries = append(q.entries, e)
	if q.index < 0 {
		heap.Push(&t.ready, q)
	}
	t.arrivals = append(t.arrivals, e)
	t.waiting++
	t.service += e.service
	t.offered = t.rate(e.arrived) + e.service/rateSpan.Seconds()
	t.ratedAt = e.arrived
	p.waiting++
	p.entries[e.key] = e
}

// remove takes an entry out; its place in the lines is cleared lazily.
func (p *pool) remove(e *entry) {
	if e.gone {
		return
	}
	e.gone = true
	p.setPending(e, keep)
	t := p.tiers[e.rank-1]
	t.waiting--
	t.service = max(0, t.service-e.service)
	t.organisations[e.organisation].drop(e, t)
	p.waiting--
	delete(p.entries, e.key)
	if t.waiting == 0 {
		t.reset()
	}
}

// drop takes a removed entry out of the sums.
func (q *organisationQueue) drop(e *entry, t *tierQueue) {
	q.waiting--
	q.charge = max(0, q.charge-e.charge)
	t.charge = max(0, t.charge-e.charge)
	if q.waiting == 0 {
		q.charge = 0
		t.shares -= q.share
	}
}

// serviceBefore sums the slot seconds of the tier that go before the end of
// the organisation's line: of others no more than their shares while it lasts.
func (t *tierQueue) serviceBefore(organisation string) float64 {
	q := t.organisations[organisation]
	if q == nil || q.share <= 0 || t.charge <= 0 {
		return t.service
	}
	return t.service * min(1, q.charge/t.charge*t.shares/q.share)
}

// setPending marks an entry that would be shed, or one that is kept.
func (p *pool) setPending(e *entry, why shedReason) {
	if e.pending != keep {
		p.pending--
	}
	if why != keep {
		p.pending++
	}
	e.pending = why
}

// reset drops lazily removed entries once nothing of the tier waits.
func (t *tierQueue) reset() {
	t.service, t.shares, t.charge = 0, 0, 0
	t.arrivals = nil
	for _, q := range t.organisations {
		q.entries = nil
		q.index = -1
	}
	t.ready = t.ready[:0]
	clear(t.organisations)
}

// head returns the next entry of the tier without taking it, or nil.
func (t *tierQueue) head() *entry {
	for len(t.ready) > 0 {
		q := t.ready[0]
		for len(q.entries) > 0 && q.entries[0].gone {
			q.entries = q.entries[1:]
		}
		if len(q.entries) > 0 {
			return q.entries[0]
		}
		heap.Pop(&t.ready)
	}
	return nil
}

// head returns the next entry of the pool: of the highest tier that waits.
func (p *pool) head() *entry {
	for _, t := range p.tiers {
		if t.waiting == 0 {
			continue
		}
		if e := t.head(); e != nil {
			return e
		}
	}
	return nil
}

// first returns the next entry of the pool that passes, or nil. It looks at
// what waits one by one.
func (p *pool) first(passes func(*entry) bool) *entry {
	for _, t := range p.tiers {
		var best *entry
		var from *organisationQueue
		for _, q := range t.ready {
			if from != nil && !t.ready.before(q, from) {
				continue
			}
			for _, e := range q.entries {
				if !e.gone && passes(e) {
					best, from = e, q
					break
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// take removes an entry that head or first returned and charges its
// organisation.
func (p *pool) take(e *entry) {
	t := p.tiers[e.rank-1]
	q := t.organisations[e.organisation]
	q.virtual += e.charge / q.share
	t.virtual = q.virtual
	if q.index >= 0 {
		heap.Fix(&t.ready, q.index)
	}
	p.remove(e)
}

// newest returns the latest arrival of the tier of that rank, or nil.
func (p *pool) newest(rank int) *entry {
	t := p.tiers[rank-1]
	for n := len(t.arrivals); n > 0; n = len(t.arrivals) {
		if e := t.arrivals[n-1]; !e.gone {
			return e
		}
		t.arrivals = t.arrivals[:n-1]
	}
	return nil
}

// compact drops removed entries from the arrival order when most are gone.
func (t *tierQueue) compact() {
	if len(t.arrivals) < 64 || len(t.arrivals) < 2*t.waiting {
		return
	}
	kept := t.arrivals[:0]
	for _, e := range t.arrivals {
		if !e.gone {
			kept = append(kept, e)
		}
	}
	clear(t.arrivals[len(kept):])
	t.arrivals = kept
	for name, q := range t.organisations {
		if q.index < 0 && len(q.entries) == 0 && q.virtual <= t.virtual {
			delete(t.organisations, name)
		}
	}
}

// lowestWaiting returns the lowest tier's rank with something waiting, or 0.
func (p *pool) lowestWaiting() int {
	for r := len(p.tiers); r >= 1; r-- {
		if p.tiers[r-1].waiting > 0 {
			return r
		}
	}
	return 0
}

// serviceAhead sums the slot seconds of what goes before a new entry of rank.
func (p *pool) serviceAhead(rank int) float64 {
	sum := 0.0
	for r := 1; r <= rank && r <= len(p.tiers); r++ {
		sum += p.tiers[r-1].service
	}
	return sum
}

// rateSpan is the span over which the rate of arriving work is averaged.
const rateSpan = 10 * time.Second

// rate is the work that arrives, in slots: slot seconds a second.
func (t *tierQueue) rate(now Instant) float64 {
	return t.offered * math.Exp(-now.Sub(t.ratedAt).Seconds()/rateSpan.Seconds())
}

// rateAhead sums the work that keeps arriving for the tiers above a rank.
func (p *pool) rateAhead(rank int, now Instant) float64 {
	sum := 0.0
	for r := 1; r < rank && r <= len(p.tiers); r++ {
		sum += p.tiers[r-1].rate(now)
	}
	return sum
}

func (p *pool) dropHolder(id Incarnation) {
	for key, e := range p.entries {
		if key.holder == id {
			p.remove(e)
		}
	}
}
