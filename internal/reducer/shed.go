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
// The right that a confirmation gives runs from the moment of asking, the
// closure at the peer from receipt: the right always ends first.
type raising struct {
	// rank is the closure asked for now; it goes down one by one from the
	// lowest tier to wanted.
	rank      int
	wanted    int
	round     uint64
	askedAt   Instant
	wantedAt  Instant
	confirmed map[Incarnation]confirmation
}

type confirmation struct {
	rank  int
	until Instant
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
	ahead := s.waitSeconds(e.pool, e.rank) - e.service/float64(max(1, e.pool.slots))
	return max(0, ahead)+e.service > left
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
	for r := rank + 1; r <= len(p.tiers); r++ {
		if p.tiers[r-1].waiting > 0 {
			return false
		}
	}
	if s.holdsWaiting(p.name, rank+1) || !s.closed(p, rank+1) {
		return false
	}
	return s.confirmedByAll(p, rank+1)
}

// confirmedByAll reports whether every live peer has closed that rank for at
// least as long as the confirmations run.
func (s *State) confirmedByAll(p *pool, rank int) bool {
	for _, peer := range s.livePeers() {
		c, ok := p.raising.confirmed[peer.id]
		if !ok || c.rank > rank || s.now >= c.until {
			return false
		}
	}
	return true
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

// lowerClosedSince returns the time at which closures below a rank were asked
// for: they last everywhere for at least a CloseLease from then.
func (s *State) lowerClosedSince(p *pool, rank int) Instant {
	since := s.now
	if rank >= s.lowestRank() {
		return since
	}
	for _, peer := range s.livePeers() {
		if c, ok := p.raising.confirmed[peer.id]; ok {
			since = min(since, c.until.Add(-CloseLease))
		}
	}
	return since
}

// requestClosure closes the tiers from the lowest up to rank, one after the
// other: the next only after every live peer has confirmed the one below, so
// that no tier is refused anywhere while a lower one waits elsewhere.
func (s *State) requestClosure(p *pool, rank int) {
	r := &p.raising
	r.wantedAt = s.now
	if r.rank == 0 {
		r.rank, r.wanted = s.lowestRank(), rank
		r.confirmed = map[Incarnation]confirmation{}
		s.log("tier_close", "pool", p.name, "rank", rank)
		s.askClosure(p)
		return
	}
	r.wanted = min(r.wanted, rank)
	s.raiseFurther(p)
}

// raiseFurther goes to the next tier once the present one is closed
// everywhere.
func (s *State) raiseFurther(p *pool) {
	for p.raising.rank > p.raising.wanted && s.confirmedByAll(p, p.raising.rank) {
		p.raising.rank--
		s.askClosure(p)
	}
}

// askClosure closes the present rank here and asks every live peer to.
func (s *State) askClosure(p *pool) {
	r := &p.raising
	// A peer that came up since has not closed the tiers below: begin there.
	for r.rank < s.lowestRank() && !s.confirmedByAll(p, r.rank+1) {
		r.rank++
	}
	since := s.lowerClosedSince(p, r.rank)
	r.askedAt = s.now
	r.round++
	s.closeTier(p.name, r.rank, CloseLease)
	for _, peer := range s.livePeers() {
		s.send(peer.id, &peerpb.Frame{Body: &peerpb.Frame_TierClose{TierClose: &peerpb.TierClose{
			Pool: p.name, Rank: uint32(r.rank), Round: r.round,
			LeaseMs: uint32(CloseLease / time.Millisecond),
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

// tierCloseReceived confirms only after everything covered was refused. A
// closure that comes late, because this process or a link stood still, is not
// taken: the lower tiers may be open again elsewhere.
func (s *State) tierCloseReceived(from Incarnation, c *peerpb.TierClose) {
	if int(c.GetRank()) < s.lowestRank() && !s.echoFresh(c.GetEcho()) {
		s.count(CounterMessages, "late_closure", 1)
		return
	}
	s.closeTier(c.GetPool(), int(c.GetRank()), time.Duration(c.GetLeaseMs())*time.Millisecond)
	s.send(from, &peerpb.Frame{Body: &peerpb.Frame_TierCloseConfirm{TierCloseConfirm: &peerpb.TierCloseConfirm{
		Pool: c.GetPool(), Rank: c.GetRank(), Round: c.GetRound(),
	}}})
}

func (s *State) tierCloseConfirmed(from Incarnation, c *peerpb.TierCloseConfirm) {
	p := s.pools[c.GetPool()]
	if p == nil || c.GetRound() != p.raising.round || int(c.GetRank()) != p.raising.rank {
		return
	}
	p.raising.confirmed[from] = confirmation{rank: int(c.GetRank()), until: p.raising.askedAt.Add(CloseLease)}
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
		if s.now.Sub(r.askedAt) >= CloseRenewInterval {
			s.askClosure(p)
		}
		s.raiseFurther(p)
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
