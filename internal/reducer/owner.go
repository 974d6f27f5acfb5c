package reducer

import (
	"slices"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// queueEntryTTL is how long an owner keeps a queue entry that its holder does
// not renew.
const queueEntryTTL = 2 * RenewInterval

// rebuildPools recomputes the pools of the zone and the owners that can grant
// slots in them.
func (s *State) rebuildPools() {
	names := map[string]bool{}
	for _, e := range s.endpointOrder {
		for _, m := range e.models {
			names[m] = true
		}
	}
	for _, n := range sortedNames(names) {
		if s.pools[n] == nil {
			s.pools[n] = newPool(n, s.lowestRank())
		}
	}
	s.poolOrder = s.poolOrder[:0]
	for n, p := range s.pools {
		if !names[n] && p.waiting == 0 {
			delete(s.pools, n)
			continue
		}
		s.poolOrder = append(s.poolOrder, p)
	}
	sort.Slice(s.poolOrder, func(i, j int) bool { return s.poolOrder[i].name < s.poolOrder[j].name })
	for _, p := range s.poolOrder {
		s.rebuildPool(p)
	}
}

func (s *State) rebuildPool(p *pool) {
	p.setTiers(s.lowestRank())
	p.owned, p.ownedSlots, p.zoneSlots = nil, 0, 0
	slots := map[Incarnation]int{}
	for _, e := range s.endpointOrder {
		if !slices.Contains(e.models, p.name) || e.leaving() {
			continue
		}
		p.zoneSlots += e.slots
		slots[e.owner] += e.slots
		if e.owner == s.cfg.Incarnation {
			p.owned = append(p.owned, e)
			p.ownedSlots += e.slots
		}
	}
	p.owners = p.owners[:0]
	for id, n := range slots {
		p.owners = append(p.owners, poolOwner{id, n})
	}
	sort.Slice(p.owners, func(i, j int) bool { return p.owners[i].id < p.owners[j].id })
}

func (e *endpoint) leaving() bool { return e.declaredLeaving || e.reportedLeaving }

// declineUnowned declines the entries of pools in which this instance no longer
// owns an endpoint. Their holders then request a slot from the new owner.
func (s *State) declineUnowned() {
	for _, p := range s.poolOrder {
		if len(p.owned) > 0 {
			continue
		}
		for _, e := range sortedEntries(p) {
			s.decline(e, declineNotOwner, 0)
		}
	}
}

func sortedEntries(p *pool) []*queueEntry {
	all := make([]*queueEntry, 0, len(p.entries))
	for _, e := range p.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].key.holder != all[j].key.holder {
			return all[i].key.holder < all[j].key.holder
		}
		return all[i].key.request < all[j].key.request
	})
	return all
}

// declineNotOwner is the only Decline reason that is not a refusal: the holder
// requests a slot from another owner.
const declineNotOwner refusal.Reason = "moved"

// decline removes an entry and sends its holder the reason.
func (s *State) decline(e *queueEntry, r refusal.Reason, retryAfter time.Duration) {
	s.sendDecline(e, &peerpb.Decline{Reason: string(r), RetryAfterMs: uint32(retryAfter / time.Millisecond)})
}

// declineForCapacity declines an entry for lack of capacity. The echoed
// heartbeat bounds how long the holder may act on the decline.
func (s *State) declineForCapacity(e *queueEntry, r refusal.Reason, retryAfter time.Duration) {
	d := &peerpb.Decline{Reason: string(r), RetryAfterMs: uint32(retryAfter / time.Millisecond)}
	if p := s.peers[e.key.holder]; p != nil {
		d.Echo = p.newestHeartbeatAt(s.lowerTiersClosedSince(e.pool, e.rank))
	}
	s.sendDecline(e, d)
}

func (s *State) sendDecline(e *queueEntry, d *peerpb.Decline) {
	e.pool.remove(e)
	d.Request = uint64(e.key.request)
	s.send(e.key.holder, &peerpb.Frame{Body: &peerpb.Frame_Decline{Decline: d}})
}

// askReceived adds a request to the queue, or renews its entry.
func (s *State) askReceived(from Incarnation, a *peerpb.Ask) {
	key := grantKey{from, RequestID(a.GetRequest())}
	p := s.pools[a.GetPool()]
	if p == nil || len(p.owned) == 0 || int(a.GetRank()) < 1 || int(a.GetRank()) > len(p.tiers) {
		s.send(from, declineFrame(key.request, declineNotOwner))
		return
	}
	if e := p.entries[key]; e != nil {
		e.round, e.renewedAt = max(e.round, a.GetRound()), s.now
		return
	}
	if s.refusedAsSuspect(a.GetFingerprint()) {
		s.send(from, declineFrame(key.request, refusal.CrashSuspect))
		return
	}
	e := &queueEntry{
		key: key, round: a.GetRound(), pool: p, rank: int(a.GetRank()),
		organisation: a.GetOrganisation(),
		promptTokens: int(a.GetPromptTokens()), outputTokens: int(a.GetOutputTokens()),
		prefix: a.GetPrefix(), fingerprint: a.GetFingerprint(),
		arrived: s.now, renewedAt: s.now,
		deadline: s.now.Add(time.Duration(a.GetDeadlineMs()) * time.Millisecond),
	}
	e.slotSeconds, e.charge = s.estimateSlotSeconds(p, e), s.estimateCharge(p, e)
	p.push(e, s.share(e.organisation, e.rank))
	s.grantFreeSlots()
	if !e.removed {
		s.checkAdmission(e)
	}
}

func declineFrame(id RequestID, r refusal.Reason) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Decline{Decline: &peerpb.Decline{Request: uint64(id), Reason: string(r)}}}
}

// share returns the organisation's share of its tier, which is never zero.
func (s *State) share(organisation string, rank int) float64 {
	o := s.file.Organisation(organisation)
	if o == nil {
		return 0.01
	}
	for i := range s.file.Tiers {
		if t := &s.file.Tiers[i]; t.Rank == rank {
			return max(0.01, float64(o.Tiers[t.Name])/100)
		}
	}
	return 0.01
}

func (s *State) renewReceived(from Incarnation, r *peerpb.Renew) {
	for _, id := range r.GetRequests() {
		key := grantKey{from, RequestID(id)}
		found := false
		for _, p := range s.poolOrder {
			if e := p.entries[key]; e != nil {
				e.round, e.renewedAt = max(e.round, r.GetRound()), s.now
				found = true
				break
			}
		}
		if !found && !s.hasGrant(key) {
			s.send(from, declineFrame(key.request, declineNotOwner))
		}
	}
	s.grantFreeSlots()
}

// hasGrant reports whether a slot has been granted to the request. In that case
// the Grant and the Renew crossed on the network.
func (s *State) hasGrant(key grantKey) bool {
	for _, e := range s.endpointOrder {
		if e.grants[key] != nil {
			return true
		}
	}
	return false
}

func (s *State) withdrawReceived(from Incarnation, w *peerpb.Withdraw) {
	key := grantKey{from, RequestID(w.GetRequest())}
	for _, p := range s.poolOrder {
		if e := p.entries[key]; e != nil {
			p.remove(e)
		}
	}
}

// grantFreeSlots grants free slots, highest tier first across all pools, until
// no slot is free or no request is waiting.
func (s *State) grantFreeSlots() {
	for {
		e, ep := s.nextGrant()
		if e == nil {
			return
		}
		if s.wouldMissDeadline(ep, e) && s.mayShed(e.pool, e.rank) {
			s.shedNow(e, shedDeadline)
			continue
		}
		s.grantSlot(e, ep)
	}
}

func (s *State) nextGrant() (*queueEntry, *endpoint) {
	var best *queueEntry
	var bestEndpoint *endpoint
	for _, p := range s.poolOrder {
		if p.waiting == 0 {
			continue
		}
		e := p.head()
		if e == nil || best != nil && (e.rank > best.rank || e.rank == best.rank && e.arrived >= best.arrived) {
			continue
		}
		ep := s.place(p, e)
		if ep == nil && s.isSuspect(e.fingerprint) {
			e, ep = s.placeNonSuspect(p)
		}
		if ep != nil {
			best, bestEndpoint = e, ep
		}
	}
	return best, bestEndpoint
}

// placeNonSuspect skips crash suspects at the head of a pool's queue. A suspect
// that has to wait until no other one runs on an endpoint does not block the
// entries behind it.
func (s *State) placeNonSuspect(p *pool) (*queueEntry, *endpoint) {
	e := p.firstMatching(func(e *queueEntry) bool { return !s.isSuspect(e.fingerprint) })
	if e == nil {
		return nil, nil
	}
	return e, s.place(p, e)
}

func (s *State) grantSlot(e *queueEntry, ep *endpoint) {
	e.pool.dequeue(e)
	ep.addGrant(e.key, &grant{
		grantedAt: s.now, expectedSeconds: s.estimateRunSeconds(ep, e), fingerprint: e.fingerprint,
		prefix: e.prefix, promptTokens: e.promptTokens, outputTokens: e.outputTokens,
	})
	ep.lastUsed = s.now
	ep.prefixes.add(e.prefix)
	s.count(CounterGrants, "", 1)
	s.send(e.key.holder, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
		Request: uint64(e.key.request), Round: e.round, Endpoint: ep.name,
	}}})
}

// releaseReceived frees a slot and updates the estimates from the finished run.
func (s *State) releaseReceived(from Incarnation, r *peerpb.Release) {
	e := s.endpoints[r.GetEndpoint()]
	if e == nil || e.owner != s.cfg.Incarnation {
		return
	}
	key := grantKey{from, RequestID(r.GetRequest())}
	g := e.dropGrant(key)
	if g != nil {
		s.updateEstimates(e, g, r)
	}
	s.updateCrashEvidence(e, g, r)
	s.grantFreeSlots()
}

// tickQueues removes entries that their holders no longer renew or whose
// deadline has passed, and reconsiders the entries whose shedding is pending.
func (s *State) tickQueues() {
	for _, p := range s.poolOrder {
		for _, e := range expiredEntries(p, s.now) {
			p.remove(e)
		}
		for _, t := range p.tiers {
			t.compact()
		}
		s.shedPending(p)
	}
	s.grantFreeSlots()
}

func expiredEntries(p *pool, now Instant) []*queueEntry {
	var due []*queueEntry
	for _, e := range p.entries {
		if now.Sub(e.renewedAt) > queueEntryTTL || now >= e.deadline {
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].key.request < due[j].key.request })
	return due
}

// poolLoads returns, for heartbeats, the load of each pool in which this
// instance owns endpoints.
func (s *State) poolLoads() []*peerpb.PoolLoad {
	var loads []*peerpb.PoolLoad
	for _, p := range s.poolOrder {
		if len(p.owned) == 0 {
			continue
		}
		loads = append(loads, s.poolLoad(p))
	}
	return loads
}

func (s *State) poolLoad(p *pool) *peerpb.PoolLoad {
	l := &peerpb.PoolLoad{Pool: p.name, FreeSlots: uint32(s.freeSlots(p)), Waiting: make([]uint32, len(p.tiers))}
	for i, t := range p.tiers {
		l.Waiting[i] = uint32(t.waiting)
	}
	l.WaitMs = uint32(1000 * s.estimateWaitSeconds(p, 1))
	return l
}

func (s *State) freeSlots(p *pool) int {
	n := 0
	for _, e := range p.owned {
		if s.available(e) {
			n += max(0, e.grantableSlots()-len(e.grants))
		}
	}
	return n
}
