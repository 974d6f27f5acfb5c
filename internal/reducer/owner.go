package reducer

import (
	"slices"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// askLife is how long an owner keeps a place that its holder does not renew.
const askLife = 2 * RenewInterval

// rebuildPools works out which pools the zone has and who can grant in them.
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
	p.owned, p.slots, p.declared = nil, 0, 0
	slots := map[Incarnation]int{}
	for _, e := range s.endpointOrder {
		if !slices.Contains(e.models, p.name) || e.leaving() {
			continue
		}
		p.declared += e.slots
		slots[e.owner] += e.slots
		if e.owner == s.cfg.Incarnation {
			p.owned = append(p.owned, e)
			p.slots += e.slots
		}
	}
	p.owners = p.owners[:0]
	for id, n := range slots {
		p.owners = append(p.owners, poolOwner{id, n})
	}
	sort.Slice(p.owners, func(i, j int) bool { return p.owners[i].id < p.owners[j].id })
}

func (e *endpoint) leaving() bool { return e.declaredLeaving || e.reportedLeaving }

// dropUnservable sends away what waits here for pools that this instance no
// longer grants in; its holders ask the new owner.
func (s *State) dropUnservable() {
	for _, p := range s.poolOrder {
		if len(p.owned) > 0 {
			continue
		}
		for _, e := range sortedEntries(p) {
			s.decline(e, declineMoved, 0)
		}
	}
}

func sortedEntries(p *pool) []*entry {
	all := make([]*entry, 0, len(p.entries))
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

// declineMoved is the one Decline that is not a refusal: ask elsewhere.
const declineMoved refusal.Reason = "moved"

// decline removes an entry and tells its holder why.
func (s *State) decline(e *entry, r refusal.Reason, retryAfter time.Duration) {
	s.sendDecline(e, &peerpb.Decline{Reason: string(r), RetryAfterMs: uint32(retryAfter / time.Millisecond)})
}

// declineEcho declines for lack of capacity. The echo bounds for how long the
// holder may act on it.
func (s *State) declineEcho(e *entry, r refusal.Reason, retryAfter time.Duration) {
	d := &peerpb.Decline{Reason: string(r), RetryAfterMs: uint32(retryAfter / time.Millisecond)}
	if p := s.peers[e.key.holder]; p != nil {
		d.Echo = p.echoBefore(s.lowerClosedSince(e.pool, e.rank))
	}
	s.sendDecline(e, d)
}

func (s *State) sendDecline(e *entry, d *peerpb.Decline) {
	e.pool.remove(e)
	d.Request = uint64(e.key.request)
	s.send(e.key.holder, &peerpb.Frame{Body: &peerpb.Frame_Decline{Decline: d}})
}

// askReceived queues a request, or renews its place.
func (s *State) askReceived(from Incarnation, a *peerpb.Ask) {
	key := grantKey{from, RequestID(a.GetRequest())}
	p := s.pools[a.GetPool()]
	if p == nil || len(p.owned) == 0 || int(a.GetRank()) < 1 || int(a.GetRank()) > len(p.tiers) {
		s.send(from, declineFrame(key.request, declineMoved))
		return
	}
	if e := p.entries[key]; e != nil {
		e.round, e.renewed = max(e.round, a.GetRound()), s.now
		return
	}
	if s.crashRefused(a.GetFingerprint()) {
		s.send(from, declineFrame(key.request, refusal.CrashSuspect))
		return
	}
	e := &entry{
		key: key, round: a.GetRound(), pool: p, rank: int(a.GetRank()),
		organisation: a.GetOrganisation(),
		prompt:       int(a.GetPromptTokens()), output: int(a.GetOutputTokens()),
		prefix: a.GetPrefix(), fingerprint: a.GetFingerprint(),
		arrived: s.now, renewed: s.now,
		deadline: s.now.Add(time.Duration(a.GetDeadlineMs()) * time.Millisecond),
	}
	e.service, e.charge = s.estimateService(p, e), s.estimateCharge(p, e)
	p.push(e, s.share(e.organisation, e.rank))
	s.fillAll()
	if !e.gone {
		s.admit(e)
	}
}

func declineFrame(id RequestID, r refusal.Reason) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Decline{Decline: &peerpb.Decline{Request: uint64(id), Reason: string(r)}}}
}

// share is the organisation's part of its tier, never zero.
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
				e.round, e.renewed = max(e.round, r.GetRound()), s.now
				found = true
				break
			}
		}
		if !found && !s.granted(key) {
			s.send(from, declineFrame(key.request, declineMoved))
		}
	}
	s.fillAll()
}

// granted reports whether a slot for the request is out: a Grant that crossed
// the Renew is on its way.
func (s *State) granted(key grantKey) bool {
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

// fillAll grants free slots until none is left or nothing waits, highest tier
// first over all pools.
func (s *State) fillAll() {
	for {
		e, on := s.nextGrant()
		if e == nil {
			return
		}
		if s.tooLate(on, e) && s.mayShed(e.pool, e.rank) {
			s.shedNow(e, shedDeadline)
			continue
		}
		s.grantSlot(e, on)
	}
}

func (s *State) nextGrant() (*entry, *endpoint) {
	var best *entry
	var bestOn *endpoint
	for _, p := range s.poolOrder {
		if p.waiting == 0 {
			continue
		}
		e := p.head()
		if e == nil || best != nil && (e.rank > best.rank || e.rank == best.rank && e.arrived >= best.arrived) {
			continue
		}
		on := s.place(p, e)
		if on == nil && s.suspected(e.fingerprint) {
			e, on = s.placeInnocent(p)
		}
		if on != nil {
			best, bestOn = e, on
		}
	}
	return best, bestOn
}

// placeInnocent passes by suspects at the head of a pool's queue: while one
// waits until it can run beside no other, it holds up nobody behind it.
func (s *State) placeInnocent(p *pool) (*entry, *endpoint) {
	e := p.first(func(e *entry) bool { return !s.suspected(e.fingerprint) })
	if e == nil {
		return nil, nil
	}
	return e, s.place(p, e)
}

func (s *State) grantSlot(e *entry, on *endpoint) {
	e.pool.take(e)
	on.addGrant(e.key, &grant{
		at: s.now, cost: s.costOn(on, e), fingerprint: e.fingerprint,
		prefix: e.prefix, prompt: e.prompt, output: e.output,
	})
	on.lastUsed = s.now
	on.prefixes.add(e.prefix)
	s.count(CounterGrants, "", 1)
	s.send(e.key.holder, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
		Request: uint64(e.key.request), Round: e.round, Endpoint: on.name,
	}}})
}

// releaseReceived frees a slot and learns from what it did.
func (s *State) releaseReceived(from Incarnation, r *peerpb.Release) {
	e := s.endpoints[r.GetEndpoint()]
	if e == nil || e.owner != s.cfg.Incarnation {
		return
	}
	key := grantKey{from, RequestID(r.GetRequest())}
	g := e.dropGrant(key)
	if g != nil {
		s.learn(e, g, r)
	}
	s.watchCrash(e, g, r)
	s.fillAll()
}

// tickQueues ends the places of holders that stopped renewing and of requests
// whose deadline passed, and re-reads what the right to shed now allows.
func (s *State) tickQueues() {
	for _, p := range s.poolOrder {
		for _, e := range sortedEntriesDue(p, s.now) {
			p.remove(e)
		}
		for _, t := range p.tiers {
			t.compact()
		}
		s.shedPending(p)
	}
	s.fillAll()
}

func sortedEntriesDue(p *pool, now Instant) []*entry {
	var due []*entry
	for _, e := range p.entries {
		if now.Sub(e.renewed) > askLife || now >= e.deadline {
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].key.request < due[j].key.request })
	return due
}

// poolLoads sums up, for heartbeats, what this instance owns.
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
	l.WaitMs = uint32(1000 * s.waitSeconds(p, 1))
	return l
}

func (s *State) freeSlots(p *pool) int {
	n := 0
	for _, e := range p.owned {
		if s.available(e) {
			n += max(0, e.grantable()-len(e.grants))
		}
	}
	return n
}
