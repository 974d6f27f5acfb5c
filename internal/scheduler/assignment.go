package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/cespare/xxhash/v2"
)

const (
	// assignmentInterval is the time between two assignments of endpoints.
	assignmentInterval = 500 * time.Millisecond
	// largeSystemMembers is the number of other instances above which each
	// instance uses only a few endpoints. Up to this number, all instances can
	// afford to report the load of every endpoint to each other.
	largeSystemMembers = membersAtInterval
	// meanLocalAssignments and meanRemoteAssignments are the mean numbers of a
	// service's endpoints, in the own zone and in other availability zones, that
	// are assigned to an instance of a large system. In simulations with 84
	// instances, three local endpoints refuse requests for which slots are free,
	// and eight perform no better than five.
	meanLocalAssignments  = 5
	meanRemoteAssignments = 2
	// maxSharers is the number of instances up to which those that share an
	// endpoint send each other every load change.
	maxSharers = 40
)

// candidate is an instance to which an endpoint may be assigned.
type candidate struct {
	address string
	zone    string
	hash    uint64
}

// assignEndpoints assigns the endpoints to the reachable instances by
// rendezvous hashing. The assignment is only a preference, so instances need
// not agree on it.
func (s *State) assignEndpoints() {
	if s.now < s.nextAssignment {
		return
	}
	s.nextAssignment = s.now.Add(assignmentInterval)
	reachable := append(make([]candidate, 0, 1+len(s.members.byAddress)), newCandidate(s.cfg.Address, s.cfg.Zone))
	for _, x := range s.members.inOrder() {
		if s.members.reachable(x, s.now) {
			reachable = append(reachable, newCandidate(x.address, x.zone))
		}
	}
	if !s.endpointsChanged && slices.Equal(reachable, s.reachableInstances) {
		return
	}
	s.endpointsChanged = false
	s.reachableInstances = reachable
	s.keeperChanges++
	s.recordersChanged = true
	if !s.leaving {
		s.assignPermitOwners()
	}
	for _, p := range s.poolOrder {
		s.assignBrittleOwners(p)
	}
	sameZone, _ := splitByZone(reachable, s.cfg.Zone)
	s.planReads(addressesOf(sameZone))
	if s.largeSystem() {
		s.assignSubset()
	} else {
		s.assignAll(sameZone)
	}
	s.logAssignment()
}

// logAssignment logs the number of endpoints assigned to this instance.
func (s *State) logAssignment() {
	preferred, remote, sharers := 0, 0, 0
	for _, e := range s.endpoints {
		sharers = max(sharers, len(e.sharers))
		switch {
		case e.preferred:
			preferred++
		case !e.unassigned:
			remote++
		}
	}
	s.log("endpoints_divided", "instances", len(s.reachableInstances), "endpoints", len(s.endpoints),
		"homes", preferred, "guest_of", remote, "most_sharers", sharers)
}

// largeSystem reports whether each instance uses only a few endpoints.
func (s *State) largeSystem() bool { return len(s.reachableInstances) > largeSystemMembers+1 }

func newCandidate(address, zone string) candidate {
	return candidate{address, zone, xxhash.Sum64String(address)}
}

// assignAll assigns every endpoint to this instance, which prefers those of its
// zone that hash to it.
func (s *State) assignAll(sameZone []candidate) {
	for _, e := range s.endpoints {
		e.preferred = e.Zone == s.cfg.Zone && topByHash(e.ID, sameZone, 1)[0] == s.cfg.Address
		e.unassigned, e.sharers = false, nil
	}
}

// assignSubset assigns each endpoint to a few instances of its zone and to
// fewer of other zones.
func (s *State) assignSubset() {
	type group struct{ service, zone string }
	inZone, all := map[group][]*endpoint{}, map[string]int{}
	for _, e := range s.endpoints {
		inZone[group{e.Service, e.Zone}] = append(inZone[group{e.Service, e.Zone}], e)
		all[e.Service]++
	}
	// candidates are the instances by service, each with the zone whose endpoints it shares.
	candidates := map[string][]candidate{}
	for service := range all {
		candidates[service] = s.adoptedInstances(service)
	}
	local := map[string][]string{}
	for g, endpoints := range inZone {
		inside, outside := splitByZone(candidates[g.service], g.zone)
		assignLocal(local, endpoints, inside, s.remoteSharers(len(outside), all[g.service]-len(endpoints)))
	}
	for _, e := range s.endpoints {
		_, outside := splitByZone(candidates[e.Service], e.Zone)
		elsewhere := all[e.Service] - len(inZone[group{e.Service, e.Zone}])
		local := local[e.ID]
		sharers := slices.Concat(local, topByHash(e.ID, outside, s.remoteSharers(len(outside), elsewhere)))
		e.preferred = slices.Contains(local, s.cfg.Address)
		e.unassigned = !slices.Contains(sharers, s.cfg.Address)
		e.sharers = nil
		if !e.unassigned && len(sharers) <= maxSharers {
			e.sharers = slices.DeleteFunc(sharers, func(a string) bool { return a == s.cfg.Address })
		}
	}
}

// ceilDiv returns a/b rounded up, or a if b is zero.
func ceilDiv(a, b int) int {
	b = max(b, 1)
	return (a + b - 1) / b
}

func splitByZone(all []candidate, zone string) (inside, outside []candidate) {
	for _, c := range all {
		if c.zone == zone {
			inside = append(inside, c)
		} else {
			outside = append(outside, c)
		}
	}
	return inside, outside
}

func addressesOf(candidates []candidate) []string {
	out := make([]string, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.address)
	}
	return out
}

// topByHash returns the addresses of the n candidates with the highest hashes
// for a key.
func topByHash(key string, candidates []candidate, n int) []string {
	if n >= len(candidates) {
		return addressesOf(candidates)
	}
	hash := xxhash.Sum64String(key)
	byHash := slices.Clone(candidates)
	slices.SortFunc(byHash, func(a, b candidate) int { return cmp.Compare(mix64(b.hash^hash), mix64(a.hash^hash)) })
	return addressesOf(byHash[:n])
}

// mix64 is the finaliser of splitmix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// planReads lets two instances of a zone read the platform on behalf of the
// others if the system is too large for each to read for itself.
func (s *State) planReads(sameZone []string) {
	plan := directory.ReadPlan{}
	if len(s.members.byAddress) > membersAtInterval && len(sameZone) > readersPerZone {
		slices.Sort(sameZone)
		first := rendezvous("reader", sameZone)
		rest := slices.DeleteFunc(slices.Clone(sameZone), func(a string) bool { return a == first })
		readers := []string{first, rendezvous("reader", rest)}
		if slices.Contains(readers, s.cfg.Address) {
			plan.IsRelay = true
		} else {
			plan.Relay = rendezvous(s.cfg.Address, readers)
		}
	}
	plan.Backups = s.backupSources()
	if plan != s.readPlan {
		s.readPlan = plan
		s.emit(ReadPlanChanged{Plan: plan})
		s.log("reading_planned", "relay", plan.Relay, "relayed", plan.IsRelay,
			"backups", strings.Join(plan.Backups[:], ","))
	}
}

// backupSources returns other instances, of any zone, to read from while the
// platform is unreachable.
func (s *State) backupSources() (out [2]string) {
	var reachable []string
	for a, x := range s.members.byAddress {
		if s.members.reachable(x, s.now) {
			reachable = append(reachable, a)
		}
	}
	for n := range out {
		out[n] = rendezvous(s.cfg.Address, reachable)
		reachable = slices.DeleteFunc(reachable, func(a string) bool { return a == out[n] })
	}
	return out
}

// readersPerZone is the number of instances of a zone that read the platform
// for the others.
const readersPerZone = 2

// rendezvous returns the candidate with the highest hash for a key.
func rendezvous(key string, candidates []string) string {
	best, bestHash := "", uint64(0)
	for _, c := range candidates {
		if h := xxhash.Sum64String(key + "/" + c); best == "" || h > bestHash || h == bestHash && c > best {
			best, bestHash = c, h
		}
	}
	return best
}
