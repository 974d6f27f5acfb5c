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

// closure refuses everything of a pool at or below a rank.
type closure struct {
	rank  int
	until Instant
}

// raising is this instance's own request that peers close tiers of a pool.
// The right that a confirmation gives runs from the moment of asking, the
// closure at the peer from receipt: the right always ends first.
type raising struct {
	rank      int
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
	return p.closure.rank != 0 && rank >= p.closure.rank && s.now < p.closure.until
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
	e.pending = why
	s.requestClosure(e.pool, e.rank+1)
}

func (s *State) shedNow(e *entry, why shedReason) {
	reason := refusal.Shed
	if why == shedDeadline {
		reason = refusal.DeadlineUnmet
	}
	wait := time.Duration(s.waitSeconds(e.pool, e.rank) * float64(time.Second))
	e.pool.raising.wantedAt = s.now
	s.decline(e, reason, min(wait, time.Minute))
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
	for _, peer := range s.livePeers() {
		c, ok := p.raising.confirmed[peer.id]
		if !ok || c.rank > rank+1 || s.now >= c.until {
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

// requestClosure closes the ranks here and asks every live peer to.
func (s *State) requestClosure(p *pool, rank int) {
	now := s.now
	p.raising.wantedAt = now
	lower := p.raising.rank != 0 && rank >= p.raising.rank
	if lower && now.Sub(p.raising.askedAt) < CloseRenewInterval {
		return
	}
	if p.raising.rank == 0 || rank < p.raising.rank {
		p.raising.rank = rank
		p.raising.confirmed = map[Incarnation]confirmation{}
		s.log("tier_close", "pool", p.name, "rank", rank)
	}
	p.raising.askedAt = now
	p.raising.round++
	s.closeTier(p.name, p.raising.rank, CloseLease)
	for _, peer := range s.livePeers() {
		s.send(peer.id, &peerpb.Frame{Body: &peerpb.Frame_TierClose{TierClose: &peerpb.TierClose{
			Pool: p.name, Rank: uint32(p.raising.rank), Round: p.raising.round,
			LeaseMs: uint32(CloseLease / time.Millisecond),
		}}})
	}
}

// closeTier puts a closure in force and refuses what it covers. Nothing of the
// closed ranks waits here when it returns.
func (s *State) closeTier(pool string, rank int, lease time.Duration) {
	p := s.pools[pool]
	if p == nil || rank < 2 || lease <= 0 {
		return
	}
	lease = min(lease, CloseLease)
	until := s.now.Add(lease)
	if p.closure.rank == 0 || s.now >= p.closure.until || rank <= p.closure.rank {
		p.closure = closure{rank: rank, until: max(until, p.closure.until)}
	} else {
		// A closure of fewer tiers never shortens one of more: the higher of
		// the closed tiers reopens first, when its own lease ends.
		p.closure.until = max(until, p.closure.until)
	}
	s.refuseClosed(p)
}

func (s *State) refuseClosed(p *pool) {
	rank := p.closure.rank
	for _, e := range sortedEntries(p) {
		if e.rank >= rank {
			s.decline(e, refusal.TierClosed, 0)
		}
	}
	for _, id := range s.waitingIn(p.name, rank) {
		s.refuseRequest(s.requests[id], refusal.TierClosed, 0)
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

// tierCloseReceived confirms only after everything covered was refused.
func (s *State) tierCloseReceived(from Incarnation, c *peerpb.TierClose) {
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
	s.shedPending(p)
}

// shedPending acts on entries that waited for the right to shed their tier,
// lowest tier first; those that have become possible are kept.
func (s *State) shedPending(p *pool) {
	for rank := len(p.tiers); rank >= 1; rank-- {
		if p.tiers[rank-1].waiting == 0 {
			continue
		}
		for _, e := range pendingOf(p, rank) {
			why := e.pending
			e.pending = keep
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
		if p.closure.rank != 0 && s.now >= p.closure.until {
			s.log("tier_open", "pool", p.name, "rank", p.closure.rank)
			p.closure = closure{}
		}
		r := &p.raising
		if r.rank == 0 {
			continue
		}
		if s.now.Sub(r.wantedAt) > CloseRenewInterval {
			*r = raising{round: r.round}
			continue
		}
		if s.now.Sub(r.askedAt) >= CloseRenewInterval {
			s.requestClosure(p, r.rank)
		}
	}
}

// closuresInForce goes with each heartbeat, so that a joining instance knows
// them before it takes callers.
func (s *State) closuresInForce() []*peerpb.TierClose {
	var all []*peerpb.TierClose
	for _, p := range s.poolOrder {
		if p.raising.rank == 0 || s.now >= p.closure.until {
			continue
		}
		all = append(all, &peerpb.TierClose{Pool: p.name, Rank: uint32(p.raising.rank), LeaseMs: uint32(p.closure.until.Sub(s.now) / time.Millisecond)})
	}
	return all
}
