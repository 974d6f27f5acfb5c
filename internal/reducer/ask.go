package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// roundMemory is how many rounds of asking are remembered; it covers more than
// a GrantLease.
const roundMemory = 16

// ask sends an Ask to the best owner, if one can be reached.
func (s *State) ask(r *request) {
	owner := s.chooseOwner(r)
	r.owner = owner
	if owner == 0 {
		return
	}
	name := s.cfg.Instance
	if p := s.peers[owner]; p != nil {
		p.sent[r.req.Pool]++
		name = p.name
	}
	s.recent.add(s.now, r.id, "asked", name)
	// After a pause the round is as old as the pause: a grant of it would be
	// useless when it comes, and asking again would never end.
	if s.now.Sub(s.roundTimes[s.round%roundMemory]) >= RenewInterval {
		s.beginRound()
	}
	left := max(0, r.deadline.Sub(s.now))
	s.send(owner, &peerpb.Frame{Body: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
		Request: uint64(r.id), Round: s.round, Pool: r.req.Pool,
		Organisation: r.req.Organisation, Rank: uint32(r.rank),
		PromptTokens: uint32(r.req.PromptTokens), OutputTokens: uint32(s.likelyOutput(&r.req)),
		Prefix: r.req.Prefix, Fingerprint: r.req.Fingerprint,
		DeadlineMs: uint32(left / time.Millisecond),
	}}})
}

// chooseOwner weighs what owners last said of themselves, corrected by what
// was asked of them since, and prefers the owner of the endpoint where the
// prefix is kept unless the wait there is longer by more than prefixPatience.
func (s *State) chooseOwner(r *request) Incarnation {
	p := s.pools[r.req.Pool]
	if p == nil {
		return 0
	}
	var best Incarnation
	bestWait := 0.0
	home := s.prefixHome(p, r.req.Prefix)
	for _, o := range p.owners {
		wait, ok := s.expectedWait(p, o, r)
		if !ok || o.id == r.declinedBy {
			continue
		}
		if o.id == home {
			wait -= prefixPatience.Seconds()
		}
		if best == 0 || wait < bestWait {
			best, bestWait = o.id, wait
		}
	}
	return best
}

// prefixPatience is the extra wait that keeping work with its prefix is worth.
const prefixPatience = 300 * time.Millisecond

// prefixHome is the owner of the endpoint that a prefix hashes to.
func (s *State) prefixHome(p *pool, prefix uint64) Incarnation {
	if prefix == 0 {
		return 0
	}
	var home *endpoint
	var weight uint64
	for _, e := range s.endpointOrder {
		if e.leaving() {
			continue
		}
		for _, m := range e.models {
			if m != p.name {
				continue
			}
			if w := mix(prefix ^ e.hash); home == nil || w > weight {
				home, weight = e, w
			}
		}
	}
	if home == nil {
		return 0
	}
	return home.owner
}

// expectedWait is in seconds; it reports false for an owner that gets no new
// work.
func (s *State) expectedWait(p *pool, o poolOwner, r *request) (float64, bool) {
	jitter := float64(mix(uint64(o.id)^uint64(r.id))%1000) * 1e-6
	l, sent := (*peerpb.PoolLoad)(nil), 0
	if o.id == s.cfg.Incarnation {
		l = s.poolLoad(p)
	} else {
		q := s.peers[o.id]
		if q == nil || !q.usable() {
			return 0, false
		}
		l, sent = q.loads[p.name], q.sent[p.name]
		jitter += 0.002
	}
	if l == nil {
		return 1 + jitter, true
	}
	if int(l.GetFreeSlots()) > sent {
		return jitter, true
	}
	// The wait is that of the highest tier; lower ones wait for all in between.
	ahead := sent - int(l.GetFreeSlots()) + 1
	for rank := 2; rank <= r.rank && rank <= len(l.GetWaiting()); rank++ {
		ahead += int(l.GetWaiting()[rank-1])
	}
	return float64(l.GetWaitMs())/1000 + float64(ahead)*p.usualSeconds/float64(max(1, o.slots)) + jitter, true
}

// beginRound starts a round of asking; leases of its grants run from now.
func (s *State) beginRound() {
	s.round++
	s.roundTimes[s.round%roundMemory] = s.now
}

func (s *State) roundTime(round uint32) (Instant, bool) {
	if round > s.round || s.round-round >= roundMemory {
		return 0, false
	}
	return s.roundTimes[round%roundMemory], true
}

// tickRounds renews every place in a queue, one message an owner.
func (s *State) tickRounds() {
	s.tickHeld()
	if s.now.Sub(s.renewedAt) < RenewInterval {
		return
	}
	s.renewedAt = s.now
	s.beginRound()
	byOwner := map[Incarnation][]uint64{}
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != asking {
			continue
		}
		if r.owner == 0 {
			s.ask(r)
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

// moveAsksFrom asks elsewhere for what waits at an owner that gets no new
// work. A grant of the former owner that still comes is returned.
func (s *State) moveAsksFrom(owner Incarnation) {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != asking || r.owner != owner {
			continue
		}
		s.count(CounterRetries, string(RetryOwnerGone), 1)
		s.move(r)
	}
}

// move withdraws the ask from its owner before another is asked.
func (s *State) move(r *request) {
	if r.owner != 0 {
		s.send(r.owner, &peerpb.Frame{Body: &peerpb.Frame_Withdraw{Withdraw: &peerpb.Withdraw{Request: uint64(r.id)}}})
	}
	s.ask(r)
}

// rebalanceAsks moves waiting requests, one a pool and call, to owners that
// have free slots.
func (s *State) rebalanceAsks() {
	for _, p := range s.poolOrder {
		if !s.slotsElsewhere(p) {
			continue
		}
		if r := s.longestWaiting(p); r != nil {
			if best := s.chooseOwner(r); best != 0 && best != r.owner {
				s.move(r)
			}
		}
	}
}

func (s *State) slotsElsewhere(p *pool) bool {
	for _, q := range s.peerOrder {
		if l := q.loads[p.name]; l != nil && q.usable() && int(l.GetFreeSlots()) > q.sent[p.name] {
			return true
		}
	}
	return len(p.owned) > 0 && p.waiting == 0 && s.freeSlots(p) > 0
}

// longestWaiting is the highest tier's oldest request that waits at an owner
// without free slots.
func (s *State) longestWaiting(p *pool) *request {
	var best *request
	for _, r := range s.requests {
		if r.phase != asking || r.req.Pool != p.name || s.now.Sub(r.arrived) < HeartbeatInterval {
			continue
		}
		if best == nil || r.rank < best.rank || r.rank == best.rank && (r.arrived < best.arrived || r.arrived == best.arrived && r.id < best.id) {
			best = r
		}
	}
	return best
}
