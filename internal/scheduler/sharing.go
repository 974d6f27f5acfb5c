package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLocalSharers limits the instances of its zone to which an endpoint is assigned:
	// each of them sends its load changes to all the others.
	maxLocalSharers = 8
	// minLocalEndpoints is the number of endpoints of a service in its zone that each
	// instance uses nevertheless.
	minLocalEndpoints = 2
)

// localSharers returns the number of instances to which each of a service's endpoints in
// a zone is assigned, beside a number of remote ones, and whether that is fewer than the
// mean that instances would use. It is not limited if the sharers could not know of each
// other even so.
func localSharers(instances, endpoints, remote int) (n int, limited bool) {
	wanted := min(instances, ceilDiv(meanLocalAssignments*instances, endpoints))
	limit := max(maxLocalSharers, ceilDiv(minLocalEndpoints*instances, endpoints))
	if limit >= wanted || limit+remote > maxSharers {
		return wanted, false
	}
	return limit, true
}

// remoteSharers returns the number of instances of other zones to which an endpoint is
// assigned, given the service's endpoints elsewhere.
func remoteSharers(instances, endpoints int) int {
	return ceilDiv(meanRemoteAssignments*instances, endpoints)
}

// assignLocal adds the instances of a zone to which a service's endpoints there are
// assigned beside a number of remote ones, by the endpoints' IDs. Where the number of sharers is limited the instances
// have equally many endpoints each, since one with few can't serve a peak of its callers.
func assignLocal(out map[string][]string, endpoints []*endpoint, instances []candidate, remote int) {
	n, limited := localSharers(len(instances), len(endpoints), remote)
	if limited {
		assignEvenly(out, endpoints, instances, n)
		return
	}
	for _, e := range endpoints {
		out[e.ID] = topByHash(e.ID, instances, n)
	}
}

// openEndpoint is an endpoint in the course of an even assignment.
type openEndpoint struct {
	id   string
	hash uint64
	// missing is the number of instances that it is still to be assigned to.
	missing int
}

// assignEvenly assigns each endpoint to n instances, and each instance an equal number of
// endpoints to within one, by rendezvous hashing as far as that allows.
func assignEvenly(out map[string][]string, endpoints []*endpoint, instances []candidate, n int) {
	open := make([]*openEndpoint, 0, len(endpoints))
	for _, e := range endpoints {
		open = append(open, &openEndpoint{e.ID, xxhash.Sum64String(e.ID), n})
	}
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
	})
	assigned, total := 0, n*len(endpoints)
	for k, c := range instances {
		wanted := total*(k+1)/len(instances) - assigned
		left := len(instances) - k
		slices.SortFunc(open, func(a, b *openEndpoint) int {
			// An endpoint that misses as many instances as are left needs them all.
			if aNeeds, bNeeds := a.missing >= left, b.missing >= left; aNeeds != bNeeds {
				if aNeeds {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(mix64(b.hash^c.hash), mix64(a.hash^c.hash)), cmp.Compare(a.id, b.id))
		})
		for _, e := range open {
			if wanted > 0 && e.missing > 0 {
				e.missing--
				wanted--
				assigned++
				out[e.id] = append(out[e.id], c.address)
			}
		}
	}
}
