package reducer

import (
	"maps"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/cespare/xxhash/v2"
)

// endpoint is one back end of this availability zone.
type endpoint struct {
	name    string
	hash    uint64
	address string
	class   *declared.Class
	models  []string
	slots   int
	// declaredLeaving comes from the file, reportedLeaving from the endpoint.
	declaredLeaving bool
	reportedLeaving bool

	owner Incarnation
	// ownedAt is when this instance took over.
	ownedAt Instant
	// owned state; only meaningful while this instance is the owner.
	grants map[grantKey]*grant
	// busy sums, in seconds, when the granted runs are expected to end, so
	// that the remaining work is known without looking at each.
	busy float64
	// unreported lists peers whose Held is awaited after taking over.
	unreported map[Incarnation]bool
	reporters  int

	performance
	crashWatch
	prefixes *prefixSet
	lastUsed Instant
}

// grantKey identifies a request across the zone.
type grantKey struct {
	holder  Incarnation
	request RequestID
}

// grant is one slot in use or on its way to be used.
type grant struct {
	at          Instant
	cost        float64
	fingerprint uint64
	prefix      uint64
	prompt      int
	output      int
}

// addGrant enters a slot as used. A second entry under the same key replaces
// the first.
func (e *endpoint) addGrant(key grantKey, g *grant) {
	e.dropGrant(key)
	e.grants[key] = g
	e.busy += g.end()
}

// dropGrant frees a slot and returns what used it, or nil.
func (e *endpoint) dropGrant(key grantKey) *grant {
	g := e.grants[key]
	if g == nil {
		return nil
	}
	delete(e.grants, key)
	e.busy -= g.end()
	if len(e.grants) == 0 {
		e.busy = 0
	}
	return g
}

func (e *endpoint) clearGrants() {
	clear(e.grants)
	e.busy = 0
}

// remaining estimates the slot seconds until every granted run has ended.
func (e *endpoint) remaining(now Instant) float64 {
	return max(0, e.busy-float64(len(e.grants))*time.Duration(now).Seconds())
}

// end is when the run is expected to end, in seconds of the boot-time clock.
func (g *grant) end() float64 { return time.Duration(g.at).Seconds() + g.cost }

// rebuildEndpoints applies a new file and keeps what is known of endpoints
// that stay.
func (s *State) rebuildEndpoints() {
	old := s.endpoints
	s.endpoints = map[string]*endpoint{}
	s.endpointOrder = s.endpointOrder[:0]
	for i := range s.file.Endpoints {
		d := &s.file.Endpoints[i]
		if d.AvailabilityZone != s.cfg.AvailabilityZone {
			continue
		}
		e := old[d.Name]
		if e == nil || e.address != d.Address {
			e = &endpoint{
				name:     d.Name,
				hash:     xxhash.Sum64String(d.Name),
				grants:   map[grantKey]*grant{},
				prefixes: newPrefixSet(MaxPrefixes),
			}
		}
		e.address, e.models, e.slots = d.Address, d.Models, d.Slots
		e.class = s.file.Class(d.Class)
		e.declaredLeaving = d.Leaving
		s.endpoints[e.name] = e
		s.endpointOrder = append(s.endpointOrder, e)
	}
	sort.Slice(s.endpointOrder, func(i, j int) bool { return s.endpointOrder[i].name < s.endpointOrder[j].name })
	s.viewChanged()
	s.giveOrders()
	s.refuseOrphans()
}

// viewChanged works out the owner of every endpoint again.
func (s *State) viewChanged() {
	view := s.ownersInView()
	gained := map[string]bool{}
	lost := false
	for _, e := range s.endpointOrder {
		owner := highestWeight(view, e.hash)
		if owner == e.owner {
			continue
		}
		if e.owner == s.cfg.Incarnation {
			lost = true
			e.clearGrants()
		}
		e.owner = owner
		s.count(CounterOwnershipChanges, "", 1)
		if owner == s.cfg.Incarnation {
			gained[e.name] = true
			s.takeOver(e)
		}
	}
	s.rebuildPools()
	s.watchOwned()
	if lost {
		s.dropUnservable()
	}
	if len(gained) > 0 {
		s.requestHeld(gained)
		s.adoptOwn(gained)
		s.giveOrders()
	}
	s.forgetBarriers()
	s.rebalanceAsks()
	s.fillAll()
}

// highestWeight is rendezvous hashing: it moves only what a lost owner had.
func highestWeight(ids []Incarnation, key uint64) Incarnation {
	var best Incarnation
	var bestWeight uint64
	for _, id := range ids {
		if w := mix(uint64(id) ^ key); best == 0 || w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}

// watchOwned has the reports polled of exactly what is owned: one reader an
// endpoint, however many instances the zone has.
func (s *State) watchOwned() {
	owned := map[string]string{}
	for _, e := range s.endpointOrder {
		if e.owner == s.cfg.Incarnation {
			owned[e.name] = e.address
		}
	}
	if !maps.Equal(owned, s.watched) {
		s.watched = owned
		s.emit(WatchEndpoints{Addresses: maps.Clone(owned)})
	}
}

// takeOver begins ownership with nothing known: each live peer's Held is
// awaited, and until it comes its part of the slots is not granted; and the
// endpoint's own report, which may say that it is leaving.
func (s *State) takeOver(e *endpoint) {
	e.ownedAt = s.now
	e.reported, e.reportedLeaving = false, false
	e.clearGrants()
	e.unreported = map[Incarnation]bool{}
	for _, p := range s.livePeers() {
		e.unreported[p.id] = true
	}
	e.reporters = len(e.unreported) + 1
	if s.cfg.Guards.NoRecovery {
		e.unreported = nil
	}
}

// grantable is how many slots may be in use while reports are missing.
func (e *endpoint) grantable() int {
	if len(e.unreported) == 0 {
		return e.slots
	}
	return e.slots * (e.reporters - len(e.unreported)) / e.reporters
}

// forgetBarriers stops waiting for peers that are dead.
func (s *State) forgetBarriers() {
	for _, e := range s.endpointOrder {
		for id := range e.unreported {
			if p := s.peers[id]; p == nil || p.health == dead {
				delete(e.unreported, id)
			}
		}
	}
}

func (s *State) requestHeld(gained map[string]bool) {
	names := sortedNames(gained)
	for _, p := range s.livePeers() {
		s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_HeldRequest{HeldRequest: &peerpb.HeldRequest{Endpoints: names}}})
	}
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// adoptOwn enters what this instance itself holds on endpoints it has gained.
func (s *State) adoptOwn(gained map[string]bool) {
	for _, r := range s.requests {
		if e := s.endpoints[r.endpoint]; r.holdsSlot() && e != nil && gained[r.endpoint] {
			r.owner = s.cfg.Incarnation
			e.addGrant(grantKey{s.cfg.Incarnation, r.id}, &grant{at: s.now, cost: 1, fingerprint: r.req.Fingerprint, prompt: r.req.PromptTokens, output: r.req.OutputTokens})
		}
	}
}

func (s *State) heldRequested(from Incarnation, r *peerpb.HeldRequest) {
	s.sendHeld(from, r.GetEndpoints(), true)
}

// sendHeldTo reports to an owner everything held on what it owns.
func (s *State) sendHeldTo(owner Incarnation) {
	var names []string
	for _, e := range s.endpointOrder {
		if e.owner == owner {
			names = append(names, e.name)
		}
	}
	if len(names) > 0 {
		s.sendHeld(owner, names, false)
	}
}

// sendHeld lists the slots in use on the named endpoints. With details, a new
// owner can rebuild what it did not grant itself.
func (s *State) sendHeld(to Incarnation, names []string, details bool) {
	index := make(map[string]uint32, len(names))
	for i, n := range names {
		index[n] = uint32(i)
	}
	held := &peerpb.Held{Endpoints: names}
	for _, id := range s.requestsHolding(index) {
		r := s.requests[id]
		r.owner = to
		slot := &peerpb.HeldSlot{Request: uint64(id), Endpoint: index[r.endpoint]}
		if details {
			slot.PromptTokens = uint32(r.req.PromptTokens)
			slot.OutputTokens = uint32(r.req.OutputTokens)
			slot.Fingerprint = r.req.Fingerprint
		}
		held.Slots = append(held.Slots, slot)
	}
	s.send(to, &peerpb.Frame{Body: &peerpb.Frame_Held{Held: held}})
}

func (s *State) requestsHolding(index map[string]uint32) []RequestID {
	var ids []RequestID
	for id, r := range s.requests {
		if _, ok := index[r.endpoint]; ok && r.holdsSlot() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// heldReceived reconciles grants with what a holder says it holds. A grant
// younger than its lease may still be on its way and is left alone.
func (s *State) heldReceived(from Incarnation, h *peerpb.Held) {
	listed := map[string]map[RequestID]*peerpb.HeldSlot{}
	for _, n := range h.GetEndpoints() {
		listed[n] = map[RequestID]*peerpb.HeldSlot{}
	}
	for _, slot := range h.GetSlots() {
		if int(slot.GetEndpoint()) < len(h.GetEndpoints()) {
			listed[h.GetEndpoints()[slot.GetEndpoint()]][RequestID(slot.GetRequest())] = slot
		}
	}
	for _, n := range h.GetEndpoints() {
		e := s.endpoints[n]
		if e == nil || e.owner != s.cfg.Incarnation {
			continue
		}
		s.reconcileHeld(e, from, listed[n])
		delete(e.unreported, from)
	}
	s.fillAll()
}

func (s *State) reconcileHeld(e *endpoint, from Incarnation, slots map[RequestID]*peerpb.HeldSlot) {
	for key, g := range e.grants {
		if key.holder == from && slots[key.request] == nil && s.now.Sub(g.at) > GrantLease {
			e.dropGrant(key)
		}
	}
	for id, slot := range slots {
		key := grantKey{from, id}
		if e.grants[key] == nil {
			e.addGrant(key, &grant{at: s.now, cost: 1, fingerprint: slot.GetFingerprint(), prompt: int(slot.GetPromptTokens()), output: int(slot.GetOutputTokens())})
		}
	}
}

// dropHolder frees the slots and the queue places of a dead holder.
func (s *State) dropHolder(id Incarnation) {
	for _, e := range s.endpointOrder {
		for key := range e.grants {
			if key.holder == id {
				e.dropGrant(key)
			}
		}
		delete(e.unreported, id)
	}
	for _, p := range s.poolOrder {
		p.dropHolder(id)
	}
}

// tickHeld reports held slots to every owner, which heals lost frames.
func (s *State) tickHeld() {
	if s.now.Sub(s.heldAt) < HeldInterval {
		return
	}
	s.heldAt = s.now
	for _, p := range s.peerOrder {
		if p.session && p.health != dead {
			s.sendHeldTo(p.id)
		}
	}
}

// giveOrders tells the engines that this instance owns what to load. Orders
// are a function of the file alone and numbered by its revision, so that two
// owners for a moment can only give the same one.
func (s *State) giveOrders() {
	if s.file == nil {
		return
	}
	for _, e := range s.endpointOrder {
		if e.owner != s.cfg.Incarnation || e.class == nil || e.class.Kind != declared.KindEngine {
			continue
		}
		s.emit(Order{Endpoint: e.name, Address: e.address, Fencing: s.file.Revision, Models: e.models})
	}
}
