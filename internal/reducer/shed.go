package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// shedReason says why an entry would be shed.
type shedReason int

const (
	keep shedReason = iota
	shedOverflow
	shedDeadline
)

// raising is this instance's own request that peers close tiers of a pool.
// It goes from the lowest tier up to the wanted one, again and again while it
// is wanted. The right that a confirmation gives runs from the moment of
// asking, the closure at the peer from receipt: the right always ends first.
type raising struct {
	// rank is the closure asked for now; zero while nothing is wanted.
	rank     int
	wanted   int
	round    uint64
	begunAt  Instant
	askedAt  Instant
	wantedAt Instant
	// answered holds the peers that have confirmed the present round.
	answered map[Incarnation]bool
	// closed holds, for each peer, until when each rank is known to be closed
	// there; index 0 is rank 1.
	closed map[Incarnation][]Instant
}

// closed reports whether new work of that rank is refused for the pool.
func (s *State) closed(p *pool, rank int) bool {
	return p != nil && rank <= len(p.closedUntil) && s.now < p.closedUntil[rank-1]
}

// admit decides on an entry that had to queue.
func (s *State) admit(e *entry) {
	p := e.pool
	if p.waiting > MaxWaiting {
		s.overflow(p)
		return
	}
	if s.unmet(e) {
		s.shed(e, shedDeadline)
	}
}

// unmet reports whether an entry cannot be finished by its deadline even if
// nothing of a lower tier were there.
func (s *State) unmet(e *entry) bool {
	left := e.deadline.Sub(s.now).Seconds()
	return s.waitOf(e)+e.service > left
}

// tooLate reports whether a run that began now on the endpoint would end after
// the entry's deadline: its prefill would be wasted.
func (s *State) tooLate(on *endpoint, e *entry) bool {
	return s.costOn(on, e) > e.deadline.Sub(s.now).Seconds()
}

// overflow takes the newest of the lowest tier that waits here.
func (s *State) overflow(p *pool) {
	if e := p.newest(p.lowestWaiting()); e != nil {
		s.shed(e, shedOverflow)
	}
}

// shed refuses an entry if this instance has the right to; otherwise the
// entry stays queued while the tiers below are being closed.
func (s *State) shed(e *entry, why shedReason) {
	if s.mayShed(e.pool, e.rank) || s.cfg.Guards.NoShedOrder {
		s.shedNow(e, why)
		return
	}
	e.pool.setPending(e, why)
	s.requestClosure(e.pool, e.rank+1)
}

func (s *State) shedNow(e *entry, why shedReason) {
	reason := refusal.Shed
	if why == shedDeadline {
		reason = refusal.DeadlineUnmet
	}
	wait := time.Duration(s.waitSeconds(e.pool, e.rank) * float64(time.Second))
	e.pool.raising.wantedAt = s.now
	s.declineEcho(e, reason, min(wait, time.Minute))
}

// mayShed holds only if nothing of a lower rank waits anywhere in this
// availability zone: here by looking, at each live peer by its confirmation.
func (s *State) mayShed(p *pool, rank int) bool {
	if rank >= s.lowestRank() {
		return true
	}
	if !s.joined {
		return false
	}
	for r := rank + 1; r <= len(p.tiers); r++ {
		if p.tiers[r-1].waiting > 0 {
			return false
		}
	}
	if s.holdsWaiting(p.name, rank+1) || !s.closed(p, rank+1) {
		return false
	}
	return s.now < s.closedEverywhere(p, rank+1)
}

// closedEverywhere returns until when a rank is known to be closed here and at
// every live peer; the beginning of time where it is not.
func (s *State) closedEverywhere(p *pool, rank int) Instant {
	until := p.closedUntil[rank-1]
	for _, peer := range s.livePeers() {
		closed := p.raising.closed[peer.id]
		if closed == nil {
			return 0
		}
		until = min(until, closed[rank-1])
	}
	return until
}

// holdsWaiting reports whether a request of the pool at or below that rank
// waits at this instance as its holder.
func (s *State) holdsWaiting(pool string, rank int) bool {
	for _, r := range s.requests {
		if r.req.Pool == pool && r.rank >= rank && r.waiting() {
			return true
		}
	}
	return false
}

// lowerClosedSince returns a time from which on the tiers below a rank stay
// closed everywhere for a CloseLease.
func (s *State) lowerClosedSince(p *pool, rank int) Instant {
	if rank >= s.lowestRank() {
		return s.now
	}
	return min(s.now, s.closedEverywhere(p, rank+1).Add(-CloseLease))
}

// requestClosure closes the tiers from the lowest up to rank, one after the
// other: the next only after every live peer has confirmed the one below, so
// that no tier is refused anywhere while a lower one waits elsewhere.
//
// An instance that has not met its listed peers yet has no right to: one of
// them may be paused for a moment and not in its view.
func (s *State) requestClosure(p *pool, rank int) {
	if !s.joined {
		return
	}
	r := &p.raising
	r.wantedAt = s.now
	if r.rank == 0 {
		r.wanted = rank
		r.closed = map[Incarnation][]Instant{}
		s.log("tier_close", "pool", p.name, "rank", rank)
		s.beginRaising(p)
		return
	}
	r.wanted = min(r.wanted, rank)
	s.raiseFurther(p)
}

// beginRaising starts at the lowest tier: a peer that came up since the last
// time has closed nothing, and no closure may outlast one of a lower tier.
func (s *State) beginRaising(p *pool) {
	p.raising.rank = s.lowestRank()
	p.raising.begunAt = s.now
	s.askClosure(p)
	s.raiseFurther(p)
}

// raiseFurther goes to the next tier once the present one is closed
// everywhere.
func (s *State) raiseFurther(p *pool) {
	for p.raising.rank > p.raising.wanted && s.allAnswered(p) {
		p.raising.rank--
		s.askClosure(p)
	}
}

func (s *State) allAnswered(p *pool) bool {
	for _, peer := range s.livePeers() {
		if !p.raising.answered[peer.id] {
			return false
		}
	}
	return true
}

// askClosure closes the present rank here and asks every live peer to, for no
// longer than the tiers below stay closed.
func (s *State) askClosure(p *pool) {
	r := &p.raising
	since := s.lowerClosedSince(p, r.rank)
	lease := since.Add(CloseLease).Sub(s.now)
	r.askedAt = s.now
	r.round++
	r.answered = map[Incarnation]bool{}
	s.closeTier(p.name, r.rank, lease)
	if lease <= 0 {
		return
	}
	for _, peer := range s.livePeers() {
		s.send(peer.id, &peerpb.Frame{Body: &peerpb.Frame_TierClose{TierClose: &peerpb.TierClose{
			Pool: p.name, Rank: uint32(r.rank), Round: r.round,
			LeaseMs: uint32(lease / time.Millisecond),
			Echo:    peer.echoBefore(since),
		}}})
	}
}

// closeTier refuses everything of a pool at or below a rank, what waits and
// what comes, for a lease. A closure covers every lower tier as well, so the
// higher of the closed tiers always reopens first. Nothing of the closed ranks
// waits here when it returns.
func (s *State) closeTier(pool string, rank int, lease time.Duration) {
	p := s.pools[pool]
	if p == nil || rank < 2 || rank > len(p.closedUntil) || lease <= 0 {
		return
	}
	until := s.now.Add(min(lease, CloseLease))
	for r := rank; r <= len(p.closedUntil); r++ {
		p.closedUntil[r-1] = max(p.closedUntil[r-1], until)
	}
	s.refuseClosed(p, rank)
}

// refuseClosed goes from the lowest tier up, in the order of shedding. Places
// in the queue here belong to their holders: each refuses its own when the
// closure reaches it, which this instance cannot know of a peer that has only
// just come up.
func (s *State) refuseClosed(p *pool, rank int) {
	for r := len(p.tiers); r >= rank; r-- {
		for _, id := range s.waitingIn(p.name, r) {
			s.refuseRequest(s.requests[id], refusal.TierClosed, 0)
		}
	}
}

func (s *State) waitingIn(pool string, rank int) []RequestID {
	var ids []RequestID
	for id, r := range s.requests {
		if r.req.Pool == pool && r.rank >= rank && r.waiting() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// tierCloseReceived confirms only after everything covered was refused. The
// closure ends before those of lower tiers end anywhere: one that comes late,
// because this process or a link stood still, is not taken.
func (s *State) tierCloseReceived(from Incarnation, c *peerpb.TierClose) {
	lease := min(CloseLease, time.Duration(c.GetLeaseMs())*time.Millisecond)
	if int(c.GetRank()) < s.lowestRank() {
		lease = min(lease, s.echoLease(c.GetEcho()))
	}
	if lease < time.Millisecond {
		s.count(CounterMessages, "late_closure", 1)
		return
	}
	s.closeTier(c.GetPool(), int(c.GetRank()), lease)
	s.send(from, &peerpb.Frame{Body: &peerpb.Frame_TierCloseConfirm{TierCloseConfirm: &peerpb.TierCloseConfirm{
		Pool: c.GetPool(), Rank: c.GetRank(), Round: c.GetRound(), LeaseMs: uint32(lease / time.Millisecond),
	}}})
}

func (s *State) tierCloseConfirmed(from Incarnation, c *peerpb.TierCloseConfirm) {
	p := s.pools[c.GetPool()]
	if p == nil || p.raising.rank == 0 || c.GetRound() != p.raising.round || int(c.GetRank()) != p.raising.rank {
		return
	}
	r := &p.raising
	closed := r.closed[from]
	for len(closed) < len(p.closedUntil) {
		closed = append(closed, 0)
	}
	until := r.askedAt.Add(min(CloseLease, time.Duration(c.GetLeaseMs())*time.Millisecond))
	for rank := r.rank; rank <= len(closed); rank++ {
		closed[rank-1] = max(closed[rank-1], until)
	}
	r.closed[from] = closed
	r.answered[from] = true
	s.raiseFurther(p)
	s.shedPending(p)
}

// shedPending acts on entries that waited for the right to shed their tier,
// lowest tier first; those that have become possible are kept.
func (s *State) shedPending(p *pool) {
	for rank := len(p.tiers); rank >= 1 && p.pending > 0; rank-- {
		for _, e := range pendingOf(p, rank) {
			why := e.pending
			p.setPending(e, keep)
			if why == shedDeadline && !s.unmet(e) || why == shedOverflow && p.waiting <= MaxWaiting {
				continue
			}
			s.shed(e, why)
		}
	}
}

func pendingOf(p *pool, rank int) []*entry {
	var pending []*entry
	for _, e := range p.entries {
		if e.rank == rank && e.pending != keep {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].arrived != pending[j].arrived {
			return pending[i].arrived > pending[j].arrived
		}
		return pending[i].key.request > pending[j].key.request
	})
	return pending
}

// tickClosures renews closures that are still wanted and lets the others end.
func (s *State) tickClosures() {
	for _, p := range s.poolOrder {
		r := &p.raising
		if r.rank == 0 {
			continue
		}
		if s.now.Sub(r.wantedAt) > CloseRenewInterval {
			*r = raising{round: r.round}
			continue
		}
		if s.now.Sub(r.begunAt) >= CloseRenewInterval {
			s.beginRaising(p)
		}
	}
}

// closuresInForce lists, for heartbeats, the tiers that are closed here: a
// joining instance closes them before it takes callers, and no other instance
// takes them from there. The lease that is left runs again from receipt, and
// so ends no earlier.
func (s *State) closuresInForce() []*peerpb.TierClose {
	var all []*peerpb.TierClose
	for _, p := range s.poolOrder {
		listed := s.now
		for i, until := range p.closedUntil {
			if until <= listed {
				continue
			}
			listed = until
			left := until.Sub(s.now)
			all = append(all, &peerpb.TierClose{Pool: p.name, Rank: uint32(i + 1), LeaseMs: uint32(left/time.Millisecond) + 1})
		}
	}
	return all
}

// closedFrom is the highest tier that is closed, as its rank, or zero.
func (s *State) closedFrom(p *pool) int {
	for rank := range p.closedUntil {
		if s.closed(p, rank+1) {
			return rank + 1
		}
	}
	return 0
}
