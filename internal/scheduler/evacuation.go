package scheduler

import (
	"slices"

	"github.com/balsamstair/balsamstair/internal/directory"
)

// evacuationChanged applies the write or deletion of an evacuation key.
func (s *State) evacuationChanged(c directory.Change) {
	if c.Deleted {
		if s.evacuations.End(c.EvacuatedZone, c.Revision) {
			s.zoneRestored(c.EvacuatedZone, c.Revision, "deleted")
		}
		return
	}
	if !s.evacuations.Begin(c.EvacuatedZone, c.Revision) {
		return
	}
	affected := 0
	for _, e := range s.endpoints {
		if e.Zone == c.EvacuatedZone {
			e.evacuated = true
			affected++
		}
	}
	s.evacuationsChanged()
	s.count(CounterEvacuations, "begun")
	s.log("zone_evacuated", "zone", c.EvacuatedZone, "endpoints", affected, "revision", c.Revision,
		"from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
}

// zoneRestored returns the endpoints of a zone to use, beginning slowly: all instances
// learn of it at the same moment, and the endpoints may have become cold.
func (s *State) zoneRestored(zone string, revision int64, reason string) {
	affected := 0
	for _, p := range s.poolOrder {
		for _, e := range p.endpoints {
			if e.Zone == zone {
				e.evacuated = false
				s.slowStart(e)
				affected++
			}
		}
	}
	s.evacuationsChanged()
	s.count(CounterEvacuations, "ended")
	s.log("zone_restored", "zone", zone, "endpoints", affected, "revision", revision, "reason", reason,
		"from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
}

// evacuationsChanged lets the endpoints be assigned anew.
func (s *State) evacuationsChanged() {
	s.endpointsChanged, s.evacuationChangedNow = true, true
	for _, p := range s.poolOrder {
		p.shares.stale = true
		s.recordShares(p)
	}
}

// endUnlistedEvacuations ends the evacuations that a full listing lacks. After an outage
// of the platform, in a replaced history, or if the listing is from an instance that does
// not know of evacuations, the lack means nothing: only the deletion of the key ends
// them.
func (s *State) endUnlistedEvacuations(u directory.Update, listed map[string]bool) {
	afterOutage := s.platform.reconnectedAt != 0 && s.now.Sub(s.platform.reconnectedAt) < lapseGrace
	if !u.Batch.Evacuations || u.NewHistory || afterOutage {
		return
	}
	for _, zone := range s.evacuations.EndUnlisted(listed, u.Batch.Revision) {
		s.zoneRestored(zone, u.Batch.Revision, "unlisted")
	}
}

// refuseEvacuated refuses the queued requests of the services that have no endpoint left
// outside the evacuated zones. Those that may have run wait for another one.
func (s *State) refuseEvacuated() {
	if !s.evacuationChangedNow {
		return
	}
	s.evacuationChangedNow = false
	for _, p := range s.poolOrder {
		if s.evacuatedEndpoints(p) == 0 || s.hasAvailableEndpoint(p) {
			continue
		}
		for _, r := range slices.Concat(p.waiting, p.held) {
			if !r.mayHaveRun {
				p.dequeue(r)
				s.refuseHeld(r, NoEndpoint)
			}
		}
	}
}

// evacuatedEndpoints returns the number of a pool's endpoints that get no requests only
// since their zones are evacuated.
func (s *State) evacuatedEndpoints(p *pool) int {
	n := 0
	for _, e := range p.endpoints {
		if e.evacuated && !e.Leaving {
			n++
		}
	}
	return n
}

// countEvacuated counts a request that is not sent to an endpoint of an evacuated zone,
// by what becomes of it.
func (s *State) countEvacuated(service, label string) {
	if s.evacuations.Any() && s.evacuatedEndpoints(s.pool(service)) > 0 {
		s.count(CounterEvacuated, label)
	}
}

// adoptedInstances returns the reachable instances for the assignment of a service's
// endpoints. Those of an evacuated zone, whose own endpoints get no requests, count as
// instances of another zone that has endpoints of the service: each by rendezvous hashing
// of its address, so that they spread over these zones. All instances compute the same.
func (s *State) adoptedInstances(service string) []candidate {
	if !s.evacuations.Any() {
		return s.reachableInstances
	}
	var zones []string
	for _, e := range s.pool(service).endpoints {
		if !e.evacuated && !e.Leaving && !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	if len(zones) == 0 {
		return s.reachableInstances
	}
	slices.Sort(zones)
	out := slices.Clone(s.reachableInstances)
	for k, c := range out {
		if s.evacuations.Evacuated(c.zone) && !slices.Contains(zones, c.zone) {
			out[k].zone = rendezvous(service+"/"+c.address, zones)
		}
	}
	return out
}

// countRefusal counts a refusal.
func (s *State) countRefusal(r *request, reason Reason) {
	s.count(CounterRefusals, string(reason))
	s.countEvacuated(r.Service, "refused")
}
