package reducer

import (
	"maps"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/cespare/xxhash/v2"
)

// endpoint is a back end in this availability zone.
type endpoint struct {
	name    string
	hash    uint64
	address string
	class   *declared.Class
	models  []string
	slots   int
	// declaredLeaving is set by the file, reportedLeaving by the endpoint.
	declaredLeaving bool
	reportedLeaving bool

	owner Incarnation
	// ownedSince is the time at which this instance became the owner.
	ownedSince Instant
	// The following fields are valid only while this instance is the owner.
	grants map[grantKey]*grant
	// expectedEndSum is the sum, in seconds, of the expected end times of the
	// granted runs. It gives the remaining work without a loop over the runs.
	expectedEndSum float64
	// awaitingHeld holds the peers that have not yet sent Held since this
	// instance became the owner.
	awaitingHeld  map[Incarnation]bool
	heldReporters int

	performance
	crashEvidence
	prefixes *prefixSet
	lastUsed Instant
}

// grantKey identifies a request within the zone.
type grantKey struct {
	holder  Incarnation
	request RequestID
}

// grant is a slot that is in use or granted but not yet used.
type grant struct {
	grantedAt       Instant
	expectedSeconds float64
	fingerprint     uint64
	prefix          uint64
	promptTokens    int
	outputTokens    int
}

// addGrant marks a slot as used. It replaces an existing grant with the same
// key.
func (e *endpoint) addGrant(key grantKey, g *grant) {
	e.dropGrant(key)
	e.grants[key] = g
	e.expectedEndSum += g.expectedEnd()
}

// dropGrant frees a slot and returns its grant, or nil.
func (e *endpoint) dropGrant(key grantKey) *grant {
	g := e.grants[key]
	if g == nil {
		return nil
	}
	delete(e.grants, key)
	e.expectedEndSum -= g.expectedEnd()
	if len(e.grants) == 0 {
		e.expectedEndSum = 0
	}
	return g
}

func (e *endpoint) clearGrants() {
	clear(e.grants)
	e.expectedEndSum = 0
}

// remainingSeconds estimates the slot seconds until every granted run has ended.
func (e *endpoint) remainingSeconds(now Instant) float64 {
	return max(0, e.expectedEndSum-float64(len(e.grants))*time.Duration(now).Seconds())
}

// expectedEnd returns the expected end time of the run, in seconds of the
// boot-time clock.
func (g *grant) expectedEnd() float64 {
	return time.Duration(g.grantedAt).Seconds() + g.expectedSeconds
}

// rebuildEndpoints applies a new file and keeps the state of endpoints that
// remain.
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
	s.recomputeOwners()
	s.emitOrders()
	s.refuseWithoutPool()
}

// recomputeOwners recomputes the owner of every endpoint.
func (s *State) recomputeOwners() {
	view := s.eligibleOwners()
	gained := map[string]bool{}
	lost := false
	for _, e := range s.endpointOrder {
		owner := rendezvousOwner(view, e.hash)
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
	s.updateWatches()
	if lost {
		s.declineUnowned()
	}
	if len(gained) > 0 {
		s.requestHeld(gained)
		s.adoptOwnSlots(gained)
		s.emitOrders()
	}
	s.dropDeadReporters()
	s.rebalanceRequests()
	s.grantFreeSlots()
}

// rendezvousOwner selects an owner by rendezvous hashing. When an owner is
// lost, only its endpoints move.
func rendezvousOwner(ids []Incarnation, key uint64) Incarnation {
	var best Incarnation
	var bestWeight uint64
	for _, id := range ids {
		if w := mix(uint64(id) ^ key); best == 0 || w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}

// updateWatches requests load reports from exactly the endpoints that this
// instance owns, so that each endpoint has one reader regardless of the number
// of instances in the zone.
func (s *State) updateWatches() {
	owned := map[string]string{}
	for _, e := range s.endpointOrder {
		if e.owner == s.cfg.Incarnation {
			owned[e.name] = e.address
		}
	}
	if !maps.Equal(owned, s.watchedEndpoints) {
		s.watchedEndpoints = owned
		s.emit(WatchEndpoints{Addresses: maps.Clone(owned)})
	}
}

// takeOver begins the ownership of an endpoint whose state is not known. It
// waits for Held from each live peer; until it arrives, that peer's part of the
// slots is not granted. It also waits for the endpoint's own report, which may
// say that the endpoint is leaving.
func (s *State) takeOver(e *endpoint) {
	e.ownedSince = s.now
	e.hasReport, e.reportedLeaving = false, false
	e.clearGrants()
	e.awaitingHeld = map[Incarnation]bool{}
	for _, p := range s.livePeers() {
		e.awaitingHeld[p.id] = true
	}
	e.heldReporters = len(e.awaitingHeld) + 1
	if s.cfg.Guards.NoRecovery {
		e.awaitingHeld = nil
	}
}

// grantableSlots returns the number of slots that may be in use while reports
// of held slots are missing.
func (e *endpoint) grantableSlots() int {
	if len(e.awaitingHeld) == 0 {
		return e.slots
	}
	return e.slots * (e.heldReporters - len(e.awaitingHeld)) / e.heldReporters
}

// dropDeadReporters stops waiting for Held from dead peers.
func (s *State) dropDeadReporters() {
	for _, e := range s.endpointOrder {
		for id := range e.awaitingHeld {
			if p := s.peers[id]; p == nil || p.health == dead {
				delete(e.awaitingHeld, id)
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

// adoptOwnSlots adds grants for the slots that this instance itself holds on
// endpoints of which it has become the owner.
func (s *State) adoptOwnSlots(gained map[string]bool) {
	for _, r := range s.requests {
		if e := s.endpoints[r.endpoint]; r.holdsSlot() && e != nil && gained[r.endpoint] {
			r.owner = s.cfg.Incarnation
			e.addGrant(grantKey{s.cfg.Incarnation, r.id}, &grant{grantedAt: s.now, expectedSeconds: 1, fingerprint: r.req.Fingerprint, promptTokens: r.req.PromptTokens, outputTokens: r.req.OutputTokens})
		}
	}
}

func (s *State) heldRequested(from Incarnation, r *peerpb.HeldRequest) {
	s.sendHeld(from, r.GetEndpoints(), true)
}

// sendHeldTo reports to an owner all slots held on its endpoints.
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

// sendHeld reports the slots in use on the named endpoints. With details, a new
// owner can rebuild grants that it did not issue itself.
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

// heldReceived reconciles the grants with the slots that a holder reports. A
// grant younger than GrantLease may not have reached the holder yet and is kept.
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
		delete(e.awaitingHeld, from)
	}
	s.grantFreeSlots()
}

func (s *State) reconcileHeld(e *endpoint, from Incarnation, slots map[RequestID]*peerpb.HeldSlot) {
	for key, g := range e.grants {
		if key.holder == from && slots[key.request] == nil && s.now.Sub(g.grantedAt) > GrantLease {
			e.dropGrant(key)
		}
	}
	for id, slot := range slots {
		key := grantKey{from, id}
		if e.grants[key] == nil {
			e.addGrant(key, &grant{grantedAt: s.now, expectedSeconds: 1, fingerprint: slot.GetFingerprint(), promptTokens: int(slot.GetPromptTokens()), outputTokens: int(slot.GetOutputTokens())})
		}
	}
}

// dropHolder frees the slots and removes the queue entries of a dead holder.
func (s *State) dropHolder(id Incarnation) {
	for _, e := range s.endpointOrder {
		for key := range e.grants {
			if key.holder == id {
				e.dropGrant(key)
			}
		}
		delete(e.awaitingHeld, id)
	}
	for _, p := range s.poolOrder {
		p.dropHolder(id)
	}
}

// tickHeld reports the held slots to every owner, which corrects the effects of
// lost frames.
func (s *State) tickHeld() {
	if s.now.Sub(s.lastHeldAt) < HeldInterval {
		return
	}
	s.lastHeldAt = s.now
	for _, p := range s.peerOrder {
		if p.session && p.health != dead {
			s.sendHeldTo(p.id)
		}
	}
}

// emitOrders sends the engines that this instance owns the models to load.
// Orders depend on the file alone and are numbered by its revision, so two
// instances that briefly both own an engine issue the same order.
func (s *State) emitOrders() {
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
