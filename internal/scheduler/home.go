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
	// homesInterval is the time between two divisions of endpoints.
	homesInterval = 500 * time.Millisecond
	// largeMembers is the number of other instances from which on each works
	// with a few endpoints. Up to it, all can afford to tell each other of all.
	largeMembers = membersAtInterval
	// meanHomes and meanGuests are the mean numbers of endpoints of a service,
	// in the own and in other availability zones, that an instance of a large
	// system works with. Simulated at 84 instances, three homes refuse requests
	// for which there are slots, and eight do no better than five.
	meanHomes  = 5
	meanGuests = 2
	// maxSharers is the number of instances up to which those that share an
	// endpoint tell each other of every change. It lies just above homes and
	// guests together; a request then costs at most sixteen notices.
	maxSharers = 8
)

// candidate is an instance that may work with an endpoint.
type candidate struct {
	address string
	zone    string
	hash    uint64
}

// assignHomes divides the endpoints among the instances in reach by rendezvous
// hashing. The division is a preference only, so instances need not agree on
// it.
func (s *State) assignHomes() {
	if s.now < s.nextAssignment {
		return
	}
	s.nextAssignment = s.now.Add(homesInterval)
	reached := []candidate{newCandidate(s.cfg.Address, s.cfg.Zone)}
	for _, a := range s.members.addresses() {
		if x := s.members.byAddress[a]; s.members.reachable(x, s.now) {
			reached = append(reached, newCandidate(a, x.zone))
		}
	}
	if !s.endpointsChanged && slices.Equal(reached, s.reachableInstances) {
		return
	}
	s.endpointsChanged = false
	s.reachableInstances = reached
	neighbours, _ := divideByZone(reached, s.cfg.Zone)
	s.planReading(addressesOf(neighbours))
	if s.largeSystem() {
		s.shareFew()
	} else {
		s.shareAll(neighbours)
	}
	s.logDivision()
}

// logDivision tells with how many endpoints the instance works.
func (s *State) logDivision() {
	homes, guests, sharers := 0, 0, 0
	for _, e := range s.endpoints {
		sharers = max(sharers, len(e.sharers))
		switch {
		case e.preferred:
			homes++
		case !e.unassigned:
			guests++
		}
	}
	s.log("endpoints_divided", "instances", len(s.reachableInstances), "endpoints", len(s.endpoints),
		"homes", homes, "guest_of", guests, "most_sharers", sharers)
}

// largeSystem reports whether each instance works with a few endpoints only.
func (s *State) largeSystem() bool { return len(s.reachableInstances) > largeMembers+1 }

func newCandidate(address, zone string) candidate {
	return candidate{address, zone, xxhash.Sum64String(address)}
}

// shareAll lets the instance work with every endpoint. Of those of its zone it
// prefers the ones of which it is the home.
func (s *State) shareAll(neighbours []candidate) {
	for _, e := range s.endpoints {
		e.preferred = e.Zone == s.cfg.Zone && highest(e.ID, neighbours, 1)[0] == s.cfg.Address
		e.unassigned, e.sharers = false, nil
	}
}

// shareFew lets the instance work with some endpoints, each of which a few
// instances of its zone and fewer of other zones share.
func (s *State) shareFew() {
	type group struct{ service, zone string }
	inZone, all := map[group]int{}, map[string]int{}
	for _, e := range s.endpoints {
		inZone[group{e.Service, e.Zone}]++
		all[e.Service]++
	}
	for _, e := range s.endpoints {
		near, far := divideByZone(s.reachableInstances, e.Zone)
		here := inZone[group{e.Service, e.Zone}]
		homes := highest(e.ID, near, quotient(meanHomes*len(near), here))
		guests := highest(e.ID, far, quotient(meanGuests*len(far), all[e.Service]-here))
		sharers := append(homes, guests...)
		e.preferred = slices.Contains(homes, s.cfg.Address)
		e.unassigned = !slices.Contains(sharers, s.cfg.Address)
		e.sharers = nil
		if !e.unassigned && len(sharers) <= maxSharers {
			e.sharers = slices.DeleteFunc(sharers, func(a string) bool { return a == s.cfg.Address })
		}
	}
}

// quotient is a/b, rounded up; a if b is zero.
func quotient(a, b int) int {
	b = max(b, 1)
	return (a + b - 1) / b
}

func divideByZone(all []candidate, zone string) (inside, outside []candidate) {
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

// highest returns the addresses of the n candidates with the highest hashes for a
// key.
func highest(key string, candidates []candidate, n int) []string {
	if n >= len(candidates) {
		return addressesOf(candidates)
	}
	hash := xxhash.Sum64String(key)
	byHash := slices.Clone(candidates)
	slices.SortFunc(byHash, func(a, b candidate) int { return cmp.Compare(mix(b.hash^hash), mix(a.hash^hash)) })
	return addressesOf(byHash[:n])
}

// mix spreads the bits of a number: the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// planReading lets two instances of a zone read the platform for all others, in
// a system that is too large for each to read for itself.
func (s *State) planReading(neighbours []string) {
	plan := directory.Plan{}
	if len(s.members.byAddress) > membersAtInterval && len(neighbours) > zoneReaders {
		slices.Sort(neighbours)
		first := rendezvous("reader", neighbours)
		rest := slices.DeleteFunc(slices.Clone(neighbours), func(a string) bool { return a == first })
		readers := []string{first, rendezvous("reader", rest)}
		if slices.Contains(readers, s.cfg.Address) {
			plan.Relayed = true
		} else {
			plan.Relay = rendezvous(s.cfg.Address, readers)
		}
	}
	plan.Backups = s.backups()
	if plan != s.readPlan {
		s.readPlan = plan
		s.emit(ReadFrom{Plan: plan})
		s.log("reading_planned", "relay", plan.Relay, "relayed", plan.Relayed,
			"backups", strings.Join(plan.Backups[:], ","))
	}
}

// backups returns other instances to read from while the platform is out of
// reach, of other zones too.
func (s *State) backups() (out [2]string) {
	var reached []string
	for a, x := range s.members.byAddress {
		if s.members.reachable(x, s.now) {
			reached = append(reached, a)
		}
	}
	for n := range out {
		out[n] = rendezvous(s.cfg.Address, reached)
		reached = slices.DeleteFunc(reached, func(a string) bool { return a == out[n] })
	}
	return out
}

// zoneReaders is the number of instances of a zone that read for the others.
const zoneReaders = 2

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
