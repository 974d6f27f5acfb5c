package scheduler

import "github.com/cespare/xxhash/v2"

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
	for _, e := range s.endpoints {
		e.home = e.Zone == s.cfg.Zone && rendezvous(e.ID, neighbours) == s.cfg.Address
	}
}

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
