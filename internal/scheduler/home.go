package scheduler

import (
	"slices"
	"strings"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/cespare/xxhash/v2"
)

// assignHomes divides the zone's endpoints among its instances in reach by
// rendezvous hashing. The division is a preference only, so instances need not
// agree on it.
func (s *State) assignHomes() {
	if s.now < s.homesDue {
		return
	}
	s.homesDue = s.now.Add(homesInterval)
	neighbours := []string{s.cfg.Address}
	for a, x := range s.members.byAddress {
		if x.zone == s.cfg.Zone && s.members.inReach(x, s.now) {
			neighbours = append(neighbours, a)
		}
	}
	s.planReading(neighbours)
	shared := len(neighbours) > membersAtInterval
	local := map[string]int{}
	for _, e := range s.endpoints {
		if e.Zone == s.cfg.Zone {
			local[e.Service]++
		}
	}
	for _, e := range s.endpoints {
		homes := 1
		if shared {
			homes = (sharedHomes*len(neighbours) + local[e.Service] - 1) / max(local[e.Service], 1)
		}
		e.home = e.Zone == s.cfg.Zone && precedence(e.ID, s.cfg.Address, neighbours) < homes
		e.away = shared && !e.home
	}
}

// precedence counts the candidates with a higher hash for a key than one's own.
func precedence(key, self string, candidates []string) int {
	own := xxhash.Sum64String(key + "/" + self)
	higher := 0
	for _, c := range candidates {
		if c != self && xxhash.Sum64String(key+"/"+c) > own {
			higher++
		}
	}
	return higher
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
	if plan != s.plan {
		s.plan = plan
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
		if s.members.inReach(x, s.now) {
			reached = append(reached, a)
		}
	}
	for n := range out {
		out[n] = rendezvous(s.cfg.Address, reached)
		reached = slices.DeleteFunc(reached, func(a string) bool { return a == out[n] })
	}
	return out
}

// sharedHomes is the mean number of homes that an instance has of each service,
// where many share a zone.
const sharedHomes = 3

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
