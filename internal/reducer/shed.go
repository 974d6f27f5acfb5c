package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// shedReason is the reason why an entry is to be shed.
type shedReason int

const (
	shedNone shedReason = iota
	shedOverflow
	shedDeadline
)

// closureRequest is a request by this instance that its peers close tiers of a
// pool. It proceeds from the lowest tier up to the target rank and is repeated
// while the closure is needed. The permission that a confirmation gives starts
// when the request is sent, the closure at the peer when it is received, so the
// permission always ends first.
type closureRequest struct {
	// currentRank is the rank being closed; zero while no closure is needed.
	currentRank  int
	targetRank   int
	round        uint64
	startedAt    Instant
	requestedAt  Instant
	lastNeededAt Instant
	// confirmed holds the peers that have confirmed the current round.
	confirmed map[Incarnation]bool
	// peersClosedUntil holds, for each peer, the time until which each rank is known
	// to be closed there; index 0 is rank 1.
	peersClosedUntil map[Incarnation][]Instant
}

// tierClosed reports whether new requests of a rank are refused for the pool.
func (s *State) tierClosed(p *pool, rank int) bool {
	return p != nil && rank <= len(p.closedUntil) && s.now < p.closedUntil[rank-1]
}

// checkAdmission runs after an entry was queued. It sheds an entry if the pool's
// queue is too long or if the new entry cannot meet its deadline.
func (s *State) checkAdmission(e *queueEntry) {
	p := e.pool
	if p.waiting > MaxQueueLength {
		s.shedNewest(p)
		return
	}
	if s.cannotMeetDeadline(e) {
		s.shed(e, shedDeadline)
	}
}

// cannotMeetDeadline reports whether an entry would finish after its deadline
// even if no entry of a lower tier existed.
func (s *State) cannotMeetDeadline(e *queueEntry) bool {
	left := e.deadline.Sub(s.now).Seconds()
	return s.estimateEntryWaitSeconds(e)+e.slotSeconds > left
}

// wouldMissDeadline reports whether a run that starts now on the endpoint would
// end after the entry's deadline, which would waste its prefill.
func (s *State) wouldMissDeadline(ep *endpoint, e *queueEntry) bool {
	return s.estimateRunSeconds(ep, e) > e.deadline.Sub(s.now).Seconds()
}

// shedNewest sheds the newest entry of the lowest tier with waiting entries.
func (s *State) shedNewest(p *pool) {
	if e := p.newest(p.lowestWaitingRank()); e != nil {
		s.shed(e, shedOverflow)
	}
}

// shed refuses an entry if this instance may shed its tier. Otherwise the entry
// stays queued while the tiers below are closed.
func (s *State) shed(e *queueEntry, why shedReason) {
	if s.mayShed(e.pool, e.rank) || s.cfg.Guards.NoShedOrder {
		s.shedNow(e, why)
		return
	}
	e.pool.setPendingShed(e, why)
	s.requestClosure(e.pool, e.rank+1)
}

func (s *State) shedNow(e *queueEntry, why shedReason) {
	reason := refusal.Shed
	if why == shedDeadline {
		reason = refusal.DeadlineUnmet
	}
	wait := time.Duration(s.estimateWaitSeconds(e.pool, e.rank) * float64(time.Second))
	e.pool.closure.lastNeededAt = s.now
	s.declineForCapacity(e, reason, min(wait, time.Minute))
}

// mayShed reports whether no request of a lower tier is waiting anywhere in
// this availability zone. It checks this instance's own state and requires a
// confirmation from each live peer.
func (s *State) mayShed(p *pool, rank int) bool {
	if rank >= s.lowestRank() {
		return true
	}
	if !s.everReady {
		return false
	}
	for r := rank + 1; r <= len(p.tiers); r++ {
		if p.tiers[r-1].waiting > 0 {
			return false
		}
	}
	if s.holdsWaitingRequest(p.name, rank+1) || !s.tierClosed(p, rank+1) {
		return false
	}
	return s.now < s.closedEverywhereUntil(p, rank+1)
}

// closedEverywhereUntil returns the time until which a rank is known to be
// closed here and at every live peer, or zero if it is not.
func (s *State) closedEverywhereUntil(p *pool, rank int) Instant {
	until := p.closedUntil[rank-1]
	for _, peer := range s.livePeers() {
		closed := p.closure.peersClosedUntil[peer.id]
		if closed == nil {
			return 0
		}
		until = min(until, closed[rank-1])
	}
	return until
}

// holdsWaitingRequest reports whether this instance holds a waiting request of
// the pool at or below a rank.
func (s *State) holdsWaitingRequest(pool string, rank int) bool {
	for _, r := range s.requests {
		if r.req.Pool == pool && r.rank >= rank && r.waiting() {
			return true
		}
	}
	return false
}

// lowerTiersClosedSince returns a time from which the tiers below a rank stay
// closed everywhere for a CloseLease.
func (s *State) lowerTiersClosedSince(p *pool, rank int) Instant {
	if rank >= s.lowestRank() {
		return s.now
	}
	return min(s.now, s.closedEverywhereUntil(p, rank+1).Add(-CloseLease))
}

// requestClosure closes the tiers from the lowest up to rank, one after the
// other. It closes a tier only after every live peer has confirmed the one
// below, so that no request is refused while a request of a lower tier is
// waiting at another instance.
//
// An instance that has not yet had contact with its listed peers must not close
// tiers: one of them may be paused for a moment and missing from its view.
func (s *State) requestClosure(p *pool, rank int) {
	if !s.everReady {
		return
	}
	r := &p.closure
	r.lastNeededAt = s.now
	if r.currentRank == 0 {
		r.targetRank = rank
		r.peersClosedUntil = map[Incarnation][]Instant{}
		s.log("tier_close", "pool", p.name, "rank", rank)
		s.startClosure(p)
		return
	}
	r.targetRank = min(r.targetRank, rank)
	s.advanceClosure(p)
}

// startClosure starts at the lowest tier, because a peer that came up since the
// last start has not closed any tier, and because no closure may outlast that of
// a lower tier.
func (s *State) startClosure(p *pool) {
	p.closure.currentRank = s.lowestRank()
	p.closure.startedAt = s.now
	s.requestRankClosure(p)
	s.advanceClosure(p)
}

// advanceClosure proceeds to the next tier once the current one is closed
// everywhere.
func (s *State) advanceClosure(p *pool) {
	for p.closure.currentRank > p.closure.targetRank && s.allConfirmed(p) {
		p.closure.currentRank--
		s.requestRankClosure(p)
	}
}

func (s *State) allConfirmed(p *pool) bool {
	for _, peer := range s.livePeers() {
		if !p.closure.confirmed[peer.id] {
			return false
		}
	}
	return true
}

// requestRankClosure closes the current rank here and requests the same of every
// live peer, for no longer than the tiers below remain closed.
func (s *State) requestRankClosure(p *pool) {
	r := &p.closure
	since := s.lowerTiersClosedSince(p, r.currentRank)
	lease := since.Add(CloseLease).Sub(s.now)
	r.requestedAt = s.now
	r.round++
	r.confirmed = map[Incarnation]bool{}
	s.closeTier(p.name, r.currentRank, lease)
	if lease <= 0 {
		return
	}
	for _, peer := range s.livePeers() {
		s.send(peer.id, &peerpb.Frame{Body: &peerpb.Frame_TierClose{TierClose: &peerpb.TierClose{
			Pool: p.name, Rank: uint32(r.currentRank), Round: r.round,
			LeaseMs: uint32(lease / time.Millisecond),
			Echo:    peer.newestHeartbeatAt(since),
		}}})
	}
}

// closeTier refuses all waiting and new requests of a pool at or below a rank
// for the duration of the lease. A closure includes every lower tier, so the
// higher of the closed tiers always reopens first. When closeTier returns, this
// instance holds no waiting request of the closed ranks.
func (s *State) closeTier(pool string, rank int, lease time.Duration) {
	p := s.pools[pool]
	if p == nil || rank < 2 || rank > len(p.closedUntil) || lease <= 0 {
		return
	}
	until := s.now.Add(min(lease, CloseLease))
	for r := rank; r <= len(p.closedUntil); r++ {
		p.closedUntil[r-1] = max(p.closedUntil[r-1], until)
	}
	s.refuseClosedTiers(p, rank)
}

// refuseClosedTiers refuses the requests held by this instance, lowest tier
// first, in the order of shedding. It leaves the queue entries of other holders
// alone: each holder refuses its own requests when the closure reaches it, and
// this instance cannot know whether it has reached a peer that just came up.
func (s *State) refuseClosedTiers(p *pool, rank int) {
	for r := len(p.tiers); r >= rank; r-- {
		for _, id := range s.waitingRequests(p.name, r) {
			s.refuseRequest(s.requests[id], refusal.TierClosed, 0)
		}
	}
}

func (s *State) waitingRequests(pool string, rank int) []RequestID {
	var ids []RequestID
	for id, r := range s.requests {
		if r.req.Pool == pool && r.rank >= rank && r.waiting() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// tierCloseReceived confirms a closure only after all requests that it covers
// have been refused. The closure must end before those of lower tiers end
// anywhere, so one that arrives too late, because this process was paused or a
// link was delayed, is dropped.
func (s *State) tierCloseReceived(from Incarnation, c *peerpb.TierClose) {
	lease := min(CloseLease, time.Duration(c.GetLeaseMs())*time.Millisecond)
	if int(c.GetRank()) < s.lowestRank() {
		lease = min(lease, s.echoedLeaseLeft(c.GetEcho()))
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
	if p == nil || p.closure.currentRank == 0 || c.GetRound() != p.closure.round || int(c.GetRank()) != p.closure.currentRank {
		return
	}
	r := &p.closure
	closed := r.peersClosedUntil[from]
	for len(closed) < len(p.closedUntil) {
		closed = append(closed, 0)
	}
	until := r.requestedAt.Add(min(CloseLease, time.Duration(c.GetLeaseMs())*time.Millisecond))
	for rank := r.currentRank; rank <= len(closed); rank++ {
		closed[rank-1] = max(closed[rank-1], until)
	}
	r.peersClosedUntil[from] = closed
	r.confirmed[from] = true
	s.advanceClosure(p)
	s.shedPending(p)
}

// shedPending retries the entries whose shedding is pending, lowest tier first.
// Entries that no longer have to be shed are kept.
func (s *State) shedPending(p *pool) {
	for rank := len(p.tiers); rank >= 1 && p.pendingSheds > 0; rank-- {
		for _, e := range pendingEntries(p, rank) {
			why := e.pendingShed
			p.setPendingShed(e, shedNone)
			if why == shedDeadline && !s.cannotMeetDeadline(e) || why == shedOverflow && p.waiting <= MaxQueueLength {
				continue
			}
			s.shed(e, why)
		}
	}
}

func pendingEntries(p *pool, rank int) []*queueEntry {
	var pending []*queueEntry
	for _, e := range p.entries {
		if e.rank == rank && e.pendingShed != shedNone {
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

// tickClosures renews the closures that are still needed and lets the others
// expire.
func (s *State) tickClosures() {
	for _, p := range s.poolOrder {
		r := &p.closure
		if r.currentRank == 0 {
			continue
		}
		if s.now.Sub(r.lastNeededAt) > CloseRenewInterval {
			*r = closureRequest{round: r.round}
			continue
		}
		if s.now.Sub(r.startedAt) >= CloseRenewInterval {
			s.startClosure(p)
		}
	}
}

// activeClosures returns, for heartbeats, the tiers that are closed here. A
// joining instance closes them before it becomes ready; all other instances
// ignore them. The remaining lease starts again on receipt, so the closure there
// ends no earlier than here.
func (s *State) activeClosures() []*peerpb.TierClose {
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

// highestClosedRank returns the rank of the highest closed tier, or zero.
func (s *State) highestClosedRank(p *pool) int {
	for rank := range p.closedUntil {
		if s.tierClosed(p, rank+1) {
			return rank + 1
		}
	}
	return 0
}
