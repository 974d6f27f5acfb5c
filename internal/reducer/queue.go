package reducer

import (
	"container/heap"
	"math"
	"time"
)

// queueEntry is a request that waits in the queue of an owner.
type queueEntry struct {
	key grantKey
	// round is the holder's newest round of slot requests that contains the
	// request. A grant names it, and its lease starts at the start of the round.
	round        uint32
	pool         *pool
	rank         int
	organisation string
	promptTokens int
	outputTokens int
	prefix       uint64
	fingerprint  uint64
	// slotSeconds is the estimated time for which the request occupies a slot.
	slotSeconds float64
	// charge is the amount counted against the organisation's share: the
	// estimated endpoint seconds, as if the run used the whole endpoint.
	charge   float64
	arrived  Instant
	deadline Instant
	// renewedAt is when the holder last requested the slot or renewed the entry.
	renewedAt Instant
	// pendingShed is set while the entry is to be shed but this instance may
	// not yet shed its tier.
	pendingShed shedReason
	removed     bool
}

// pool is an owner's queue for one model or service.
type pool struct {
	name    string
	tiers   []*tierQueue // index 0 is rank 1, the highest tier
	waiting int
	// pendingSheds counts the entries with pendingShed set.
	pendingSheds int
	entries      map[grantKey]*queueEntry
	// owned holds the endpoints that this instance owns; ownedSlots is the sum
	// of their slots.
	owned      []*endpoint
	ownedSlots int
	// owners holds the owners of the pool's endpoints with their slot counts.
	owners []poolOwner
	// zoneSlots is the number of the pool's slots in the zone.
	zoneSlots int

	// closedUntil is the end of each tier's closure; index 0 is rank 1.
	closedUntil []Instant
	closure     closureRequest

	// durationCorrection is the learned ratio of measured to estimated time.
	durationCorrection float64
	// meanRunSeconds is the moving average of the run time.
	meanRunSeconds float64
	// nextRoundRobin counts the grants under PolicyRoundRobin.
	nextRoundRobin int
}

type poolOwner struct {
	id    Incarnation
	slots int
}

// tierQueue holds the waiting requests of one tier with fair queueing between
// organisations: the organisation that has received the least service relative
// to its share is next.
type tierQueue struct {
	organisations map[string]*organisationQueue
	active        organisationHeap
	waiting       int
	// slotSeconds is the sum of the estimates of the waiting entries.
	slotSeconds float64
	virtualTime float64
	// arrivalRate is the rate of arriving work, in slots, at arrivalRateAt.
	arrivalRate   float64
	arrivalRateAt Instant
	// activeShares is the sum of the shares of the organisations with waiting
	// entries, charge the sum of the charges of those entries.
	activeShares float64
	charge       float64
	// arrivals is in order of arrival and serves to find the newest entry.
	arrivals []*queueEntry
}

type organisationQueue struct {
	name        string
	share       float64
	virtualTime float64
	entries     []*queueEntry
	heapIndex   int
	// waiting is the number of waiting entries, charge the sum of their charges.
	waiting int
	charge  float64
}

// organisationHeap orders organisations by virtual time.
type organisationHeap []*organisationQueue

func (h organisationHeap) Len() int { return len(h) }
func (h organisationHeap) Less(i, j int) bool {
	return h.before(h[i], h[j])
}

// before reports whether organisation a is served before b.
func (organisationHeap) before(a, b *organisationQueue) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}
func (h organisationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *organisationHeap) Push(x any) {
	q := x.(*organisationQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}
func (h *organisationHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	q.heapIndex = -1
	return q
}

func newPool(name string, tiers int) *pool {
	p := &pool{name: name, entries: map[grantKey]*queueEntry{}, durationCorrection: 1, meanRunSeconds: 1}
	p.setTiers(tiers)
	return p
}

// setTiers adds tiers up to n. It never removes one.
func (p *pool) setTiers(n int) {
	for len(p.tiers) < n {
		p.tiers = append(p.tiers, &tierQueue{organisations: map[string]*organisationQueue{}})
		p.closedUntil = append(p.closedUntil, 0)
	}
}

// push adds an entry at the end of its organisation's queue. An organisation
// that was idle starts at the tier's current virtual time and earns no credit
// for its idle time.
func (p *pool) push(e *queueEntry, share float64) {
	t := p.tiers[e.rank-1]
	q := t.organisations[e.organisation]
	if q == nil {
		q = &organisationQueue{name: e.organisation, heapIndex: -1}
		t.organisations[e.organisation] = q
	}
	if q.waiting > 0 {
		t.activeShares -= q.share
	}
	q.share = share
	t.activeShares += share
	q.waiting++
	q.charge += e.charge
	t.charge += e.charge
	if len(q.entries) == 0 {
		q.virtualTime = max(q.virtualTime, t.virtualTime)
	}
	q.entries = append(q.entries, e)
	if q.heapIndex < 0 {
		heap.Push(&t.active, q)
	}
	t.arrivals = append(t.arrivals, e)
	t.waiting++
	t.slotSeconds += e.slotSeconds
	t.arrivalRate = t.currentArrivalRate(e.arrived) + e.slotSeconds/arrivalRateDecay.Seconds()
	t.arrivalRateAt = e.arrived
	p.waiting++
	p.entries[e.key] = e
}

// remove removes an entry from the pool. The slices that hold the entry are
// cleaned up later.
func (p *pool) remove(e *queueEntry) {
	if e.removed {
		return
	}
	e.removed = true
	p.setPendingShed(e, shedNone)
	t := p.tiers[e.rank-1]
	t.waiting--
	t.slotSeconds = max(0, t.slotSeconds-e.slotSeconds)
	t.organisations[e.organisation].subtract(e, t)
	p.waiting--
	delete(p.entries, e.key)
	if t.waiting == 0 {
		t.reset()
	}
}

// subtract takes a removed entry out of the sums.
func (q *organisationQueue) subtract(e *queueEntry, t *tierQueue) {
	q.waiting--
	q.charge = max(0, q.charge-e.charge)
	t.charge = max(0, t.charge-e.charge)
	if q.waiting == 0 {
		q.charge = 0
		t.activeShares -= q.share
	}
}

// slotSecondsBefore estimates the slot seconds of the tier that are served until
// the organisation's queue is empty. Until then, the other organisations receive
// no more service than their shares entitle them to.
func (t *tierQueue) slotSecondsBefore(organisation string) float64 {
	q := t.organisations[organisation]
	if q == nil || q.share <= 0 || t.charge <= 0 {
		return t.slotSeconds
	}
	return t.slotSeconds * min(1, q.charge/t.charge*t.activeShares/q.share)
}

// setPendingShed sets the reason why an entry is to be shed, or clears it.
func (p *pool) setPendingShed(e *queueEntry, reason shedReason) {
	if e.pendingShed != shedNone {
		p.pendingSheds--
	}
	if reason != shedNone {
		p.pendingSheds++
	}
	e.pendingShed = reason
}

// reset discards the removed entries and the organisations once no entry of the
// tier is waiting.
func (t *tierQueue) reset() {
	t.slotSeconds, t.activeShares, t.charge = 0, 0, 0
	t.arrivals = nil
	for _, q := range t.organisations {
		q.entries = nil
		q.heapIndex = -1
	}
	t.active = t.active[:0]
	clear(t.organisations)
}

// head returns the next entry of the tier without removing it, or nil.
func (t *tierQueue) head() *queueEntry {
	for len(t.active) > 0 {
		q := t.active[0]
		for len(q.entries) > 0 && q.entries[0].removed {
			q.entries = q.entries[1:]
		}
		if len(q.entries) > 0 {
			return q.entries[0]
		}
		heap.Pop(&t.active)
	}
	return nil
}

// head returns the next entry of the pool, which is of the highest tier with
// waiting entries, or nil.
func (p *pool) head() *queueEntry {
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

// firstMatching returns the next entry of the pool that matches, or nil. It
// scans the waiting entries.
func (p *pool) firstMatching(match func(*queueEntry) bool) *queueEntry {
	for _, t := range p.tiers {
		var best *queueEntry
		var bestQueue *organisationQueue
		for _, q := range t.active {
			if bestQueue != nil && !t.active.before(q, bestQueue) {
				continue
			}
			for _, e := range q.entries {
				if !e.removed && match(e) {
					best, bestQueue = e, q
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

// dequeue removes an entry returned by head or firstMatching and charges its
// organisation.
func (p *pool) dequeue(e *queueEntry) {
	t := p.tiers[e.rank-1]
	q := t.organisations[e.organisation]
	q.virtualTime += e.charge / q.share
	t.virtualTime = q.virtualTime
	if q.heapIndex >= 0 {
		heap.Fix(&t.active, q.heapIndex)
	}
	p.remove(e)
}

// newest returns the latest arrival in the tier of the given rank, or nil.
func (p *pool) newest(rank int) *queueEntry {
	t := p.tiers[rank-1]
	for n := len(t.arrivals); n > 0; n = len(t.arrivals) {
		if e := t.arrivals[n-1]; !e.removed {
			return e
		}
		t.arrivals = t.arrivals[:n-1]
	}
	return nil
}

// compact discards removed entries from the arrival order when they make up at
// least half of it, and organisations that have no entries. It keeps an
// organisation whose virtual time is ahead of the tier's, which would otherwise
// return without being charged for the service it has received. Short arrival
// orders are not worth a scan.
func (t *tierQueue) compact() {
	if len(t.arrivals) < 64 || len(t.arrivals) < 2*t.waiting {
		return
	}
	kept := t.arrivals[:0]
	for _, e := range t.arrivals {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear(t.arrivals[len(kept):])
	t.arrivals = kept
	for name, q := range t.organisations {
		if q.heapIndex < 0 && len(q.entries) == 0 && q.virtualTime <= t.virtualTime {
			delete(t.organisations, name)
		}
	}
}

// lowestWaitingRank returns the rank of the lowest tier with waiting entries,
// or zero.
func (p *pool) lowestWaitingRank() int {
	for r := len(p.tiers); r >= 1; r-- {
		if p.tiers[r-1].waiting > 0 {
			return r
		}
	}
	return 0
}

// slotSecondsAhead returns the slot seconds that are served before a new entry
// of the given rank.
func (p *pool) slotSecondsAhead(rank int) float64 {
	sum := 0.0
	for r := 1; r <= rank && r <= len(p.tiers); r++ {
		sum += p.tiers[r-1].slotSeconds
	}
	return sum
}

// arrivalRateDecay is the time constant with which the rate of arriving work is
// averaged.
const arrivalRateDecay = 10 * time.Second

// currentArrivalRate returns the rate of arriving work in slots, that is, in
// slot seconds per second.
func (t *tierQueue) currentArrivalRate(now Instant) float64 {
	return t.arrivalRate * math.Exp(-now.Sub(t.arrivalRateAt).Seconds()/arrivalRateDecay.Seconds())
}

// arrivalRateAhead returns the sum of the arrival rates of the tiers above a
// rank.
func (p *pool) arrivalRateAhead(rank int, now Instant) float64 {
	sum := 0.0
	for r := 1; r < rank && r <= len(p.tiers); r++ {
		sum += p.tiers[r-1].currentArrivalRate(now)
	}
	return sum
}

// dropHolder removes the entries of a dead holder.
func (p *pool) dropHolder(id Incarnation) {
	for key, e := range p.entries {
		if key.holder == id {
			p.remove(e)
		}
	}
}
