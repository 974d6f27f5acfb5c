package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// roundHistory is the number of rounds kept with their times. They span more
// than a GrantLease.
const roundHistory = 16

// requestSlot sends an Ask to the best owner, if one is usable.
func (s *State) requestSlot(r *request) {
	owner := s.chooseOwner(r)
	r.owner = owner
	if owner == 0 {
		return
	}
	name := s.cfg.Instance
	if p := s.peers[owner]; p != nil {
		p.slotsRequested[r.req.Pool]++
		name = p.name
	}
	s.decisions.add(s.now, r.id, "asked", name)
	// After a pause of the process, the current round is as old as the pause. A
	// grant for it would already have expired on arrival, and the request would
	// be repeated forever.
	if s.now.Sub(s.roundTimes[s.round%roundHistory]) >= RenewInterval {
		s.beginRound()
	}
	left := max(0, r.deadline.Sub(s.now))
	s.send(owner, &peerpb.Frame{Body: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
		Request: uint64(r.id), Round: s.round, Pool: r.req.Pool,
		Organisation: r.req.Organisation, Rank: uint32(r.rank),
		PromptTokens: uint32(r.req.PromptTokens), OutputTokens: uint32(s.expectedOutput(&r.req)),
		Prefix: r.req.Prefix, Fingerprint: r.req.Fingerprint,
		DeadlineMs: uint32(left / time.Millisecond),
	}}})
}

// chooseOwner selects the owner with the shortest expected wait, based on the
// last reported loads and the slots requested since. It prefers the owner of the
// endpoint where the prefix is cached, unless the wait there is longer by more
// than prefixAffinityWait.
func (s *State) chooseOwner(r *request) Incarnation {
	p := s.pools[r.req.Pool]
	if p == nil {
		return 0
	}
	var best Incarnation
	bestWait := 0.0
	preferred := s.prefixOwner(p, r.req.Prefix)
	for _, o := range p.owners {
		wait, ok := s.expectedWaitSeconds(p, o, r)
		if !ok || o.id == r.declinedBy {
			continue
		}
		if o.id == preferred {
			wait -= prefixAffinityWait.Seconds()
		}
		if best == 0 || wait < bestWait {
			best, bestWait = o.id, wait
		}
	}
	return best
}

// prefixAffinityWait is the additional wait that is accepted to run a request
// where its prefix is cached.
const prefixAffinityWait = 300 * time.Millisecond

// prefixOwner returns the owner of the endpoint to which a prefix hashes.
func (s *State) prefixOwner(p *pool, prefix uint64) Incarnation {
	if prefix == 0 {
		return 0
	}
	var target *endpoint
	var weight uint64
	for _, e := range s.endpointOrder {
		if e.leaving() {
			continue
		}
		for _, m := range e.models {
			if m != p.name {
				continue
			}
			if w := mix(prefix ^ e.hash); target == nil || w > weight {
				target, weight = e, w
			}
		}
	}
	if target == nil {
		return 0
	}
	return target.owner
}

// expectedWaitSeconds estimates the wait at an owner. It reports false for an
// owner that receives no new work.
func (s *State) expectedWaitSeconds(p *pool, o poolOwner, r *request) (float64, bool) {
	jitter := float64(mix(uint64(o.id)^uint64(r.id))%1000) * 1e-6
	l, sent := (*peerpb.PoolLoad)(nil), 0
	if o.id == s.cfg.Incarnation {
		l = s.poolLoad(p)
	} else {
		q := s.peers[o.id]
		if q == nil || !q.usable() {
			return 0, false
		}
		l, sent = q.loads[p.name], q.slotsRequested[p.name]
		jitter += 0.002
	}
	if l == nil {
		return 1 + jitter, true
	}
	if int(l.GetFreeSlots()) > sent {
		return jitter, true
	}
	// The reported wait is that of the highest tier; a lower tier also waits for
	// the tiers in between.
	ahead := sent - int(l.GetFreeSlots()) + 1
	for rank := 2; rank <= r.rank && rank <= len(l.GetWaiting()); rank++ {
		ahead += int(l.GetWaiting()[rank-1])
	}
	return float64(l.GetWaitMs())/1000 + float64(ahead)*p.meanRunSeconds/float64(max(1, o.slots)) + jitter, true
}

// beginRound starts a round of slot requests. The leases of the grants for this
// round start now.
func (s *State) beginRound() {
	s.round++
	s.roundTimes[s.round%roundHistory] = s.now
}

func (s *State) roundTime(round uint32) (Instant, bool) {
	if round > s.round || s.round-round >= roundHistory {
		return 0, false
	}
	return s.roundTimes[round%roundHistory], true
}

// tickRounds renews the queue entries of all requests with one message to each
// owner.
func (s *State) tickRounds() {
	s.tickHeld()
	if s.now.Sub(s.lastRenewAt) < RenewInterval {
		return
	}
	s.lastRenewAt = s.now
	s.beginRound()
	byOwner := map[Incarnation][]uint64{}
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != awaitingGrant {
			continue
		}
		if r.owner == 0 {
			s.requestSlot(r)
			continue
		}
		byOwner[r.owner] = append(byOwner[r.owner], uint64(id))
	}
	for _, o := range sortedIncarnations(byOwner) {
		s.send(o, &peerpb.Frame{Body: &peerpb.Frame_Renew{Renew: &peerpb.Renew{Round: s.round, Requests: byOwner[o]}}})
	}
}

func sortedIncarnations(m map[Incarnation][]uint64) []Incarnation {
	ids := make([]Incarnation, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// moveRequestsFrom requests slots elsewhere for requests that wait at an owner
// that receives no new work. A grant that still arrives from the former owner is
// returned.
func (s *State) moveRequestsFrom(owner Incarnation) {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != awaitingGrant || r.owner != owner {
			continue
		}
		s.count(CounterRetries, string(RetryOwnerGone), 1)
		s.moveRequest(r)
	}
}

// moveRequest withdraws a request from its owner, then requests a slot from
// another.
func (s *State) moveRequest(r *request) {
	if r.owner != 0 {
		s.send(r.owner, &peerpb.Frame{Body: &peerpb.Frame_Withdraw{Withdraw: &peerpb.Withdraw{Request: uint64(r.id)}}})
	}
	s.requestSlot(r)
}

// rebalanceRequests moves waiting requests, at most one per pool and call, to
// owners with free slots.
func (s *State) rebalanceRequests() {
	for _, p := range s.poolOrder {
		if !s.hasFreeSlotsElsewhere(p) {
			continue
		}
		if r := s.oldestWaiting(p); r != nil {
			if best := s.chooseOwner(r); best != 0 && best != r.owner {
				s.moveRequest(r)
			}
		}
	}
}

func (s *State) hasFreeSlotsElsewhere(p *pool) bool {
	for _, q := range s.peerOrder {
		if l := q.loads[p.name]; l != nil && q.usable() && int(l.GetFreeSlots()) > q.slotsRequested[p.name] {
			return true
		}
	}
	return len(p.owned) > 0 && p.waiting == 0 && s.freeSlots(p) > 0
}

// oldestWaiting returns the oldest request of the highest tier that waits at an
// owner without free slots.
func (s *State) oldestWaiting(p *pool) *request {
	var best *request
	for _, r := range s.requests {
		if r.phase != awaitingGrant || r.req.Pool != p.name || s.now.Sub(r.arrived) < HeartbeatInterval {
			continue
		}
		if best == nil || r.rank < best.rank || r.rank == best.rank && (r.arrived < best.arrived || r.arrived == best.arrived && r.id < best.id) {
			best = r
		}
	}
	return best
}
