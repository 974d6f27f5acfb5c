package scheduler

import (
	"slices"
	"sort"
	"time"
)

// pool is a service's endpoints and the requests that wait for them.
type pool struct {
	service string
	// endpoints are sorted by their id.
	endpoints []*endpoint
	// waiting is sorted by rank, then by arrival.
	waiting      []*request
	latencyMeans map[latencyKey]float64
	budget       budget
	// sinceLowestRank counts the dispatches since a request of the lowest
	// waiting rank was taken out of turn.
	sinceLowestRank int
}

type latencyKey struct {
	route  string
	stream bool
}

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service, latencyMeans: map[latencyKey]float64{}}
		s.pools[service] = p
		s.poolOrder = append(s.poolOrder, p)
	}
	return p
}

func (p *pool) add(e *endpoint) {
	i := sort.Search(len(p.endpoints), func(i int) bool { return p.endpoints[i].ID >= e.ID })
	if i < len(p.endpoints) && p.endpoints[i].ID == e.ID {
		p.endpoints[i] = e
		return
	}
	p.endpoints = slices.Insert(p.endpoints, i, e)
}

func (p *pool) remove(e *endpoint) {
	p.endpoints = slices.DeleteFunc(p.endpoints, func(x *endpoint) bool { return x == e })
}

// updateLatencyMean adds a sample to a route's moving average and returns it.
func (p *pool) updateLatencyMean(route string, stream bool, sample float64) float64 {
	key := latencyKey{route, stream}
	mean, known := p.latencyMeans[key]
	if !known {
		mean = sample
	}
	mean += latencyWeight / 4 * (sample - mean)
	p.latencyMeans[key] = mean
	return mean
}

// enqueue puts r behind the waiting requests that precede it.
func (p *pool) enqueue(r *request) {
	i := sort.Search(len(p.waiting), func(i int) bool { return r.before(p.waiting[i]) })
	p.waiting = slices.Insert(p.waiting, i, r)
}

func (p *pool) dequeue(r *request) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *request) bool { return x == r })
}

const (
	// endpointQueueDepth is how many requests beyond its slots an endpoint gets, so
	// that it never idles while an answer's end travels here.
	endpointQueueDepth = 1
	// crossZoneCost is what another availability zone adds to an endpoint's cost,
	// as a part of one slot's load: traffic between zones is charged for, and
	// slower by a millisecond.
	crossZoneCost = 2.5
	// nonPreferredCost is what an endpoint of the zone costs more whose home is another
	// instance, in the same unit. Instances of a zone then work at different
	// endpoints while there is room, and each knows most of its own.
	nonPreferredCost = 1.0
	// unassignedSlotMargin is the number of slots that an instance leaves free at an
	// endpoint that is left to others: what they send at the same moment, each
	// in the belief that the last slot is free.
	unassignedSlotMargin = 2
	// fullBacklogTokens is the number of prompt tokens still to be read that costs
	// as much as a full endpoint: what an engine reads in about a tenth of a
	// second, during which it produces nothing else.
	fullBacklogTokens = 8000.0
	// failureCost is what an endpoint that spoils every answer adds.
	failureCost = 3.0
	// lowestRankInterval is how many dispatches a pool makes in order of rank before
	// one goes to the lowest rank that waits, so that no rank starves.
	lowestRankInterval = 12
)

// dispatchWaiting dispatches waiting requests while endpoints have room.
func (s *State) dispatchWaiting(p *pool) {
	for len(p.waiting) > 0 {
		r := p.waiting[0]
		if p.sinceLowestRank >= lowestRankInterval {
			r = p.firstOfLowestRank()
		}
		e := s.chooseEndpoint(p, r)
		if e == nil {
			r, e = s.firstPlaceable(p)
		}
		if e == nil {
			return
		}
		p.sinceLowestRank++
		if r != p.waiting[0] {
			p.sinceLowestRank = 0
		}
		p.dequeue(r)
		s.dispatch(r, e)
	}
}

func (p *pool) firstOfLowestRank() *request {
	last := p.waiting[len(p.waiting)-1].rank
	for _, r := range p.waiting {
		if r.rank == last {
			return r
		}
	}
	return p.waiting[0]
}

// firstPlaceable finds a request that some endpoint can take although the
// first in the queue fits none: only requests that have been at an endpoint
// differ in where they can go.
func (s *State) firstPlaceable(p *pool) (*request, *endpoint) {
	for _, r := range p.waiting[1:] {
		if len(p.waiting[0].tried) == 0 && len(r.tried) == 0 {
			continue
		}
		if e := s.chooseEndpoint(p, r); e != nil {
			return r, e
		}
	}
	return nil, nil
}

// chooseEndpoint returns the endpoint of least cost that has room for r, or nil.
// Endpoints that are left to other instances are a last resort.
func (s *State) chooseEndpoint(p *pool, r *request) *endpoint {
	best, found := s.chooseAmong(p, r, false)
	if !found {
		best, _ = s.chooseAmong(p, r, true)
	}
	return best
}

// chooseAmong chooses among the endpoints that are left to others, or among
// the rest. found says that there is any that could be used, if it had room.
func (s *State) chooseAmong(p *pool, r *request, unassigned bool) (best *endpoint, found bool) {
	bestCost := 0.0
	for _, e := range p.endpoints {
		if e.unassigned != unassigned || !s.usable(e) || r.hasTried(e) {
			continue
		}
		found = true
		load := e.load()
		if load >= e.maxRequests() || e.ownRunning >= e.window {
			continue
		}
		if cost := s.placementCost(e, load); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, found
}

func (s *State) placementCost(e *endpoint, load int) float64 {
	cost := (float64(load+1)/float64(e.slots) + float64(e.backlog())/fullBacklogTokens) * e.relativeLatency
	switch {
	case e.Zone != s.cfg.Zone:
		cost += crossZoneCost / float64(e.slots)
	case !e.preferred:
		cost += nonPreferredCost / float64(e.slots)
	}
	// A little noise keeps instances that see the same from choosing the same.
	return cost + failureCost*e.failureRate + 0.02*s.rand.Float64()
}

// maxRequests is the number of requests up to which e takes another one.
func (e *endpoint) maxRequests() int {
	if e.unassigned {
		return max(e.slots-unassignedSlotMargin, 1)
	}
	return e.slots + endpointQueueDepth
}

// usable reports whether e may get new work now. One request at a time probes
// an endpoint that comes back from a suspension.
func (s *State) usable(e *endpoint) bool {
	if e.Leaving || s.now < e.suspendedUntil || s.now < e.pausedUntil {
		return false
	}
	return e.failures == 0 || e.ownRunning == 0
}

// maxQueueTime is how long a request may wait for its first dispatch before it is
// of more use to the caller to know that it was not run.
func maxQueueTime(target time.Duration) time.Duration { return target / 2 }
