package scheduler

import (
	"slices"
	"sort"
	"time"
)

// pool holds a service's endpoints and the requests queued for them.
type pool struct {
	service string
	// endpoints are sorted by ID.
	endpoints []*endpoint
	// waiting is sorted by rank, then by arrival. Late requests follow the others.
	waiting []*request
	// held holds the requests that wait for evidence against their causes, in order
	// of arrival.
	held []*request
	// looking holds the requests that wait for what other instances know of the
	// streams that they go on with.
	looking      []*request
	latencyMeans map[latencyKey]float64
	// runs holds the times of completed requests by route, slotTime is the moving average
	// of how long any request held a slot, in nanoseconds, or zero.
	runs     map[string]runTimes
	slotTime float64
	budget   budget
	// arrivals and dispatches are moving averages of this instance's requests.
	// lastArrival is when the last one arrived.
	arrivals, dispatches demand
	lastArrival          Instant
	// sinceLowestRank counts the dispatches since a request of the lowest waiting
	// rank was dispatched out of order.
	sinceLowestRank int
	// lateTurn is set if the next such dispatch is of a late request.
	lateTurn bool
	paths    servicePaths
	shares   shareHistory
	brittle  brittleService
	crossing zoneCrossing
}

type latencyKey struct {
	route  string
	stream bool
}

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service, latencyMeans: map[latencyKey]float64{}, runs: map[string]runTimes{}, lastArrival: never, paths: servicePaths{foundAt: never, heardAt: s.now}}
		s.pools[service] = p
		s.poolOrder = append(s.poolOrder, p)
	}
	return p
}

func (p *pool) add(e *endpoint) {
	p.shares.stale = true
	i := sort.Search(len(p.endpoints), func(i int) bool { return p.endpoints[i].ID >= e.ID })
	if i < len(p.endpoints) && p.endpoints[i].ID == e.ID {
		p.endpoints[i] = e
		return
	}
	p.endpoints = slices.Insert(p.endpoints, i, e)
}

func (p *pool) remove(e *endpoint) {
	p.shares.stale = true
	p.endpoints = slices.DeleteFunc(p.endpoints, func(x *endpoint) bool { return x == e })
}

// updateLatencyMean adds a sample to a route's moving average and returns the
// average.
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

// enqueue inserts r after the waiting requests that precede it.
func (p *pool) enqueue(r *request) {
	i := sort.Search(len(p.waiting), func(i int) bool { return r.before(p.waiting[i]) })
	p.waiting = slices.Insert(p.waiting, i, r)
}

func (p *pool) dequeue(r *request) {
	same := func(x *request) bool { return x == r }
	p.waiting = slices.DeleteFunc(p.waiting, same)
	p.held = slices.DeleteFunc(p.held, same)
	p.looking = slices.DeleteFunc(p.looking, same)
}

const (
	// endpointQueueDepth is the number of requests sent to an endpoint beyond its
	// slots, so that it does not idle while the end of an answer is in transit.
	endpointQueueDepth = 1
	// crossZoneCost is added to the cost of an endpoint in another availability
	// zone, in units of one slot's load: traffic between zones is charged for and
	// adds a millisecond of latency.
	crossZoneCost = 2.5
	// nonPreferredCost is added to the cost of an endpoint of the own zone that
	// is preferred by another instance, in the same unit. Instances of a zone
	// then use different endpoints while there is capacity, and each knows the
	// load of its own endpoints best. Permits already keep the instances apart.
	nonPreferredCost = 1.0
	// limitedLoadWeight is the weight of the load of an endpoint for which a
	// permit is held. A permit that is not used at once is lost.
	limitedLoadWeight = 0.25
	// unassignedSlotMargin is the number of slots left free at an endpoint that
	// is not assigned to this instance. It covers requests sent by several
	// instances at the same moment, each of which sees the last slot as free.
	unassignedSlotMargin = 2
	// fullBacklogTokens is the number of unprocessed prompt tokens that costs as
	// much as a full endpoint. An engine reads them in about a tenth of a second,
	// during which it generates nothing.
	fullBacklogTokens = 8000.0
	// failureCost is added to the cost of an endpoint at which every attempt
	// fails.
	failureCost = 3.0
	// lowestRankInterval is the number of dispatches in rank order after which a
	// request of the lowest waiting rank is dispatched, so that no rank starves.
	lowestRankInterval = 12
)

// dispatchWaiting dispatches queued requests while endpoints have capacity.
func (s *State) dispatchWaiting(p *pool) {
	for len(p.waiting) > 0 {
		r := p.waiting[0]
		if p.sinceLowestRank >= lowestRankInterval {
			r = p.firstOfLowestRank()
		}
		e := s.chooseEndpoint(p, r)
		if e == nil && r.late && r != p.waiting[0] {
			p.lateTurn = false
			r = p.waiting[0]
			e = s.chooseEndpoint(p, r)
		}
		if e == nil {
			r, e = s.firstPlaceable(p)
		}
		r, e = s.reviewZone(p, r, e)
		if e == nil {
			if s.forwardWaiting(p) {
				continue
			}
			return
		}
		p.sinceLowestRank++
		if r != p.waiting[0] {
			p.sinceLowestRank = 0
			p.lateTurn = !p.lateTurn
		}
		p.dequeue(r)
		switch v, _ := s.judge(r); v {
		case convicted:
			s.refuseHeld(r, CrashSuspect)
			continue
		case awaitingProof:
			p.hold(r)
			continue
		case onTrial:
			s.beginTrial(r)
		}
		s.dispatch(r, e)
	}
}

// firstOfLowestRank returns the first request of the lowest waiting rank, in turn of those
// that are in time and of those that are late.
func (p *pool) firstOfLowestRank() *request {
	waiting := p.waiting
	inTime := sort.Search(len(waiting), func(i int) bool { return waiting[i].late })
	if p.lateTurn && inTime < len(waiting) {
		waiting = waiting[inTime:]
	} else if inTime > 0 {
		waiting = waiting[:inTime]
	}
	last := waiting[len(waiting)-1].rank
	for _, r := range waiting {
		if r.rank == last {
			return r
		}
	}
	return waiting[0]
}

// firstPlaceable returns a queued request that some endpoint can take although
// none can take the first in the queue. Requests differ in this only if one of
// them has already been sent to an endpoint, goes on with a stream, or has to begin at
// certain software.
func (s *State) firstPlaceable(p *pool) (*request, *endpoint) {
	anyFailed := !s.constrained(p.waiting[0], p)
	for _, r := range p.waiting[1:] {
		constrained := s.constrained(r, p)
		if anyFailed && !constrained {
			continue
		}
		if e := s.chooseEndpoint(p, r); e != nil {
			return r, e
		}
		anyFailed = anyFailed || !constrained
	}
	return nil, nil
}

// constrained reports whether the request may not be sent to every endpoint.
func (s *State) constrained(r *request, p *pool) bool {
	return len(r.tried) > 0 || r.bound || s.assigned(r, p)
}

// chooseEndpoint returns the lowest-cost endpoint with capacity for r, or nil.
// Endpoints that are not assigned to this instance are used only if no assigned
// endpoint is usable.
func (s *State) chooseEndpoint(p *pool, r *request) *endpoint {
	best, found := s.chooseAmong(p, r, false)
	if !found {
		best, _ = s.chooseAmong(p, r, true)
	}
	return best
}

// chooseAmong returns the lowest-cost endpoint among those that are, or are
// not, assigned to this instance. found reports whether any of them is usable,
// regardless of its capacity.
func (s *State) chooseAmong(p *pool, r *request, unassigned bool) (best *endpoint, found bool) {
	bestCost := 0.0
	for _, e := range p.endpoints {
		if p.brittle.Named && (unassigned || !s.ownsBrittle(e)) || !p.brittle.Named && e.unassigned != unassigned {
			continue
		}
		if !s.usable(e) || r.hasTried(e) || !s.mayRun(r, e) || s.staysInZone(p, r, e) || e.limited() && !e.hasPermit(s.now) {
			continue
		}
		found = true
		load := e.load()
		if p.brittle.Named {
			if !s.brittleRoom(p, e) {
				continue
			}
		} else if load >= e.maxRequests()+r.extraRequests() || e.ownRunning >= e.window+r.extraRequests() {
			continue
		}
		if cost := s.placementCost(e, load); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, found
}

func (s *State) placementCost(e *endpoint, load int) float64 {
	counted := float64(load)
	if e.limited() {
		counted *= limitedLoadWeight
	}
	cost := ((counted+1)/float64(e.slots) + float64(e.backlog())/fullBacklogTokens) * e.pace(s.now)
	switch {
	case e.Zone != s.cfg.Zone:
		cost += s.zoneCost / float64(e.slots)
	case !e.preferred && !e.limited():
		cost += nonPreferredCost / float64(e.slots)
	}
	// Random noise keeps instances with the same view from choosing the same
	// endpoint.
	return cost + failureCost*e.failureRate + 0.02*s.rand.Float64()
}

// maxRequests returns the load below which e takes another request.
func (e *endpoint) maxRequests() int {
	if e.unassigned {
		return max(e.slots-unassignedSlotMargin, 1)
	}
	return e.slots + endpointQueueDepth
}

// extraRequests returns the number of requests beyond the usual ones that an
// endpoint gets.
func (r *request) extraRequests() int {
	if r.bound {
		return boundExtraRequests
	}
	if r.late {
		// Requests that are in time may wait at other instances for the same endpoint.
		return -endpointQueueDepth
	}
	return 0
}

// usable reports whether e may receive new requests now. After a suspension,
// one request at a time probes the endpoint until one completes.
func (s *State) usable(e *endpoint) bool {
	if e.Leaving || e.evacuated || s.now < e.suspendedUntil || s.now < e.pausedUntil || s.now < e.backoffUntil || s.now < e.withdrawnUntil {
		return false
	}
	if paths := &s.pool(e.Service).paths; paths.lost && (paths.damped || !e.path.reaches(paths.lostAt)) {
		return false
	}
	return e.failures == 0 || e.ownRunning == 0
}

// maxQueueTime returns how long a request may wait for its first dispatch.
// After that, a refusal that states that the request was not run is of more use
// to the caller.
func maxQueueTime(target time.Duration) time.Duration { return target / 2 }
