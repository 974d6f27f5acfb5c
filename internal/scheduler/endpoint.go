package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

const (
	// defaultSlots is the concurrency of an endpoint of which nobody says any.
	defaultSlots = 4
	// firstSuspension and maxSuspension bound the time for which an endpoint
	// that fails gets nothing: a crashed one is back after some seconds.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// fullPause is how long an endpoint that turned a request away gets
	// nothing: about the time in which one of its running requests ends.
	fullPause = 60 * time.Millisecond
	// startSpread is the time between the first requests that two instances send
	// to a new endpoint: about what a slot of a plain service needs for one.
	startSpread = 10 * time.Millisecond
	// paceWeight is the weight of a new sample in moving averages of speed.
	paceWeight = 0.1
	// failureWeight is the weight of a new sample in the share of failures.
	failureWeight = 0.15
)

// endpoint is an entry with what has been seen of it.
type endpoint struct {
	directory.Endpoint
	slots int
	// mine holds this instance's requests at the endpoint.
	mine int
	// prefill is the number of prompt tokens of this instance's requests there
	// that have not begun to answer.
	prefill int
	// others is what other instances have there, by incarnation; the sums are
	// of its values.
	others                       map[uint64]EndpointLoad
	othersRunning, othersPrefill int
	// lapsed is when the entry was first missing after an outage; zero while
	// it is listed.
	lapsed Instant
	gone   bool
	// home says that this instance, of those of its zone, is the one to prefer
	// the endpoint.
	home bool
	// away says that the endpoint is left to other instances, so that its load
	// is known late.
	away bool
	// sharers are the addresses of the other instances that work with it, if
	// they are few; told is the last load that they were told of.
	sharers []string
	told    int
	// repeat says that the load changed since it was last told as a repeat.
	repeat bool
	// failures counts the failures in a row.
	failures       int
	suspendedUntil Instant
	fullUntil      Instant
	// window bounds this instance's requests at an endpoint that is new or comes
	// back, and grows with each one that begins to be answered.
	window int
	// slowness is the endpoint's time relative to the mean of its service.
	slowness float64
	// failing is the moving share of attempts that the endpoint spoiled.
	failing float64
}

func (e *endpoint) applyService(t *routing.Table) {
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
func (e *endpoint) load() int { return e.mine + e.othersRunning }

// backlog is the number of prompt tokens that the endpoint is still to read.
func (e *endpoint) backlog() int { return e.prefill + e.othersPrefill }

// setOthers notes what another instance has at the endpoint.
func (e *endpoint) setOthers(incarnation uint64, l EndpointLoad) {
	before := e.others[incarnation]
	e.othersRunning += l.Running - before.Running
	e.othersPrefill += l.Prefill - before.Prefill
	if l == (EndpointLoad{}) {
		delete(e.others, incarnation)
	} else {
		e.others[incarnation] = l
	}
}

func (s *State) endpointListed(entry directory.Endpoint, revision int64) {
	e := s.endpoints[entry.ID]
	if e != nil && entry.Started != 0 && e.Started != 0 && entry.Started < e.Started {
		return
	}
	fresh := e == nil || e.Started != entry.Started || e.Address != entry.Address || e.Service != entry.Service
	if fresh {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = &endpoint{others: map[uint64]EndpointLoad{}, slowness: 1}
		s.endpoints[entry.ID] = e
		s.endpointsChanged = true
		s.fresh = append(s.fresh, e)
	}
	changed := fresh || e.Leaving != entry.Leaving
	e.Endpoint = entry
	e.lapsed = 0
	e.applyService(s.table)
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
	if s.belief.resynced != 0 && s.now.Sub(s.belief.resynced) < lapseGrace && !e.Leaving {
		if e.lapsed == 0 {
			e.lapsed = s.belief.resynced
			s.log("endpoint_lapsed", "endpoint", id, "revision", revision)
		}
		return
	}
	s.removeEndpoint(e)
	s.log("endpoint_gone", "endpoint", id, "service", e.Service, "revision", revision)
}

func (s *State) removeEndpoint(e *endpoint) {
	e.gone = true
	delete(s.endpoints, e.ID)
	s.endpointsChanged = true
	s.pool(e.Service).remove(e)
}

// expireLapsed removes endpoints that were not listed again in time.
func (s *State) expireLapsed() {
	for id, e := range s.endpoints {
		if e.lapsed != 0 && s.now.Sub(e.lapsed) >= lapseGrace {
			s.removeEndpoint(e)
			s.log("endpoint_gone", "endpoint", id, "service", e.Service, "reason", "lapsed")
		}
	}
}

// startSlowly keeps the instances from sending all that waits to an endpoint of
// which all learn at the same moment. Each begins with its part of the slots;
// where more instances than slots work with it, they begin one after the other.
func (s *State) startSlowly(e *endpoint) {
	instances := s.workingWith(e)
	e.window = quotient(e.slots+endpointDepth, instances)
	if instances > e.slots {
		spread := startSpread * time.Duration(instances)
		e.fullUntil = max(e.fullUntil, s.now.Add(time.Duration(s.rand.Int64N(int64(spread)))))
	}
}

// widen lets one more request of this instance run at e.
func (e *endpoint) widen() { e.window = min(e.window+1, e.slots+endpointDepth) }

// workingWith is the number of instances that send requests to e.
func (s *State) workingWith(e *endpoint) int {
	if len(e.sharers) > 0 {
		return 1 + len(e.sharers)
	}
	return max(1, len(s.reached))
}

// observe learns from the end of an attempt at e.
func (s *State) observe(e *endpoint, r *request, a Attempt) {
	spoiled := 0.0
	switch a.Outcome {
	case NotSent, Broken:
		spoiled = 1
		s.suspend(e)
	case Misdirected:
		e.suspendedUntil = s.now.Add(maxSuspension)
	case NotRun:
		e.fullUntil = s.now.Add(fullPause)
		return
	case Failed:
		spoiled = 1
	case Completed:
		e.failures = 0
		e.widen()
		s.observeSpeed(e, r, a)
	case Abandoned:
		return
	}
	e.failing += failureWeight * (spoiled - e.failing)
}

// suspend pauses an endpoint for longer after each failure in a row.
func (s *State) suspend(e *endpoint) {
	e.failures++
	pause := min(firstSuspension<<min(e.failures-1, 8), maxSuspension)
	e.suspendedUntil = s.now.Add(pause)
	s.startSlowly(e)
	s.log("endpoint_suspended", "endpoint", e.ID, "failures", e.failures, "for_ms", pause.Milliseconds())
}

// observeSpeed compares the attempt with the usual one of its route.
func (s *State) observeSpeed(e *endpoint, r *request, a Attempt) {
	sample := a.Pace
	if sample == 0 {
		sample = a.FirstByte
	}
	if sample <= 0 {
		return
	}
	mean := s.pool(e.Service).mean(r.Route.Name, a.Pace > 0, float64(sample))
	e.slowness += paceWeight * (float64(sample)/mean - e.slowness)
}
