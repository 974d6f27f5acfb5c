package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

const (
	// defaultSlots is the concurrency of an endpoint of which nobody says any.
	defaultSlots = 4
	// minSuspension and maxSuspension bound the time for which an endpoint
	// that fails gets nothing: a crashed one is back after some seconds.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
	// rejectionPause is how long an endpoint that turned a request away gets
	// nothing: about the time in which one of its running requests ends.
	rejectionPause = 60 * time.Millisecond
	// slowStartSpacing is the time between the first requests that two instances send
	// to a new endpoint: about what a slot of a plain service needs for one.
	slowStartSpacing = 10 * time.Millisecond
	// latencyWeight is the weight of a new sample in moving averages of speed.
	latencyWeight = 0.1
	// failureWeight is the weight of a new sample in the share of failures.
	failureWeight = 0.15
)

// endpoint is an entry with what has been seen of it.
type endpoint struct {
	directory.Endpoint
	slots int
	// ownRunning holds this instance's requests at the endpoint.
	ownRunning int
	// ownPrefill is the number of prompt tokens of this instance's requests there
	// that have not begun to answer.
	ownPrefill int
	// otherLoads is what other instances have there, by incarnation; the sums are
	// of its values.
	otherLoads                   map[uint64]EndpointLoad
	othersRunning, othersPrefill int
	// lapsedAt is when the entry was first missing after an outage; zero while
	// it is listed.
	lapsedAt Instant
	removed  bool
	// preferred says that this instance, of those of its zone, is the one to prefer
	// the endpoint.
	preferred bool
	// unassigned says that the endpoint is left to other instances, so that its load
	// is known late.
	unassigned bool
	// sharers are the addresses of the other instances that work with it, if
	// they are few; told is the last load that they were told of.
	sharers  []string
	sentLoad int
	// refreshDue says that the load changed since it was last told as a refreshDue.
	refreshDue bool
	// failures counts the failures in a row.
	failures       int
	suspendedUntil Instant
	pausedUntil    Instant
	// window bounds this instance's requests at an endpoint that is new or comes
	// back, and grows with each one that begins to be answered.
	window int
	// relativeLatency is the endpoint's time relative to the mean of its service.
	relativeLatency float64
	// failureRate is the moving share of attempts that the endpoint spoiled.
	failureRate float64
}

func (e *endpoint) updateSlots(t *routing.Table) {
	e.slots = e.Endpoint.Slots
	if e.slots > 0 {
		return
	}
	e.slots = defaultSlots
	if t == nil {
		return
	}
	if service := t.Service(e.Service); service != nil && service.Slots > 0 {
		e.slots = service.Slots
	}
}

// load is the number of requests at the endpoint, as far as it is known.
func (e *endpoint) load() int { return e.ownRunning + e.othersRunning }

// backlog is the number of prompt tokens that the endpoint is still to read.
func (e *endpoint) backlog() int { return e.ownPrefill + e.othersPrefill }

// setOtherLoad notes what another instance has at the endpoint.
func (e *endpoint) setOtherLoad(incarnation uint64, l EndpointLoad) {
	before := e.otherLoads[incarnation]
	e.othersRunning += l.Running - before.Running
	e.othersPrefill += l.Prefill - before.Prefill
	if l == (EndpointLoad{}) {
		delete(e.otherLoads, incarnation)
	} else {
		e.otherLoads[incarnation] = l
	}
}

func (s *State) endpointListed(entry directory.Endpoint, revision int64) {
	e := s.endpoints[entry.ID]
	if e != nil && entry.Started != 0 && e.Started != 0 && entry.Started < e.Started {
		return
	}
	added := e == nil || e.Started != entry.Started || e.Address != entry.Address || e.Service != entry.Service
	if added {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = &endpoint{otherLoads: map[uint64]EndpointLoad{}, relativeLatency: 1}
		s.endpoints[entry.ID] = e
		s.endpointsChanged = true
		s.newEndpoints = append(s.newEndpoints, e)
	}
	changed := added || e.Leaving != entry.Leaving
	e.Endpoint = entry
	e.lapsedAt = 0
	e.updateSlots(s.table)
	s.pool(entry.Service).add(e)
	if changed {
		s.log("endpoint_listed", "endpoint", entry.ID, "service", entry.Service, "address", entry.Address,
			"leaving", entry.Leaving, "started", entry.Started, "revision", revision)
	}
}

// endpointGone takes an endpoint out of use. Directly after an outage of the
// platform its entry may have lapsed although it lives: it is kept for a
// while.
func (s *State) endpointGone(id string, revision int64) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	if s.platform.reconnectedAt != 0 && s.now.Sub(s.platform.reconnectedAt) < lapseGrace && !e.Leaving {
		if e.lapsedAt == 0 {
			e.lapsedAt = s.platform.reconnectedAt
			s.log("endpoint_lapsed", "endpoint", id, "revision", revision)
		}
		return
	}
	s.removeEndpoint(e)
	s.log("endpoint_gone", "endpoint", id, "service", e.Service, "revision", revision)
}

func (s *State) removeEndpoint(e *endpoint) {
	e.removed = true
	delete(s.endpoints, e.ID)
	s.endpointsChanged = true
	s.pool(e.Service).remove(e)
}

// expireLapsed removes endpoints that were not listed again in time.
func (s *State) expireLapsed() {
	for id, e := range s.endpoints {
		if e.lapsedAt != 0 && s.now.Sub(e.lapsedAt) >= lapseGrace {
			s.removeEndpoint(e)
			s.log("endpoint_gone", "endpoint", id, "service", e.Service, "reason", "lapsed")
		}
	}
}

// slowStart keeps the instances from sending all that waits to an endpoint of
// which all learn at the same moment. Each begins with its part of the slots;
// where more instances than slots work with it, they begin one after the other.
func (s *State) slowStart(e *endpoint) {
	instances := s.instancesUsing(e)
	e.window = quotient(e.slots+endpointQueueDepth, instances)
	if instances > e.slots {
		spread := slowStartSpacing * time.Duration(instances)
		e.pausedUntil = max(e.pausedUntil, s.now.Add(time.Duration(s.rand.Int64N(int64(spread)))))
	}
}

// growWindow lets one more request of this instance run at e.
func (e *endpoint) growWindow() { e.window = min(e.window+1, e.slots+endpointQueueDepth) }

// instancesUsing is the number of instances that send requests to e.
func (s *State) instancesUsing(e *endpoint) int {
	if len(e.sharers) > 0 {
		return 1 + len(e.sharers)
	}
	return max(1, len(s.reachableInstances))
}

// recordAttempt learns from the end of an attempt at e.
func (s *State) recordAttempt(e *endpoint, r *request, a Attempt) {
	failed := 0.0
	switch a.Outcome {
	case NotSent, Broken:
		failed = 1
		s.suspend(e)
	case Misdirected:
		e.suspendedUntil = s.now.Add(maxSuspension)
	case NotRun:
		e.pausedUntil = s.now.Add(rejectionPause)
		return
	case Failed:
		failed = 1
	case Completed:
		e.failures = 0
		e.growWindow()
		s.recordLatency(e, r, a)
	case Abandoned:
		return
	}
	e.failureRate += failureWeight * (failed - e.failureRate)
}

// suspend pauses an endpoint for longer after each failure in a row.
func (s *State) suspend(e *endpoint) {
	e.failures++
	pause := min(minSuspension<<min(e.failures-1, 8), maxSuspension)
	e.suspendedUntil = s.now.Add(pause)
	s.slowStart(e)
	s.log("endpoint_suspended", "endpoint", e.ID, "failures", e.failures, "for_ms", pause.Milliseconds())
}

// recordLatency compares the attempt with the usual one of its route.
func (s *State) recordLatency(e *endpoint, r *request, a Attempt) {
	sample := a.Pace
	if sample == 0 {
		sample = a.FirstByte
	}
	if sample <= 0 {
		return
	}
	mean := s.pool(e.Service).updateLatencyMean(r.Route.Name, a.Pace > 0, float64(sample))
	e.relativeLatency += latencyWeight * (float64(sample)/mean - e.relativeLatency)
}
