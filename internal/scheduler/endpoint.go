package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/warmup"
)

const (
	// defaultSlots is the concurrency of an endpoint for which neither its entry
	// nor its service specifies one.
	defaultSlots = 4
	// minSuspension and maxSuspension bound the time for which a failing endpoint
	// receives no requests: a crashed endpoint is back after some seconds.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
	// rejectionPause is how long an endpoint that rejected a request receives no
	// more: about the time in which one of its running requests ends.
	rejectionPause = 60 * time.Millisecond
	// slowStartSpacing is the time between the first requests that two instances
	// send to a new endpoint: about the time a slot of a plain service needs for
	// one request.
	slowStartSpacing = 10 * time.Millisecond
	// slowStartHold is how long the window of a new or returning endpoint does not grow:
	// until the instances have reported their first requests there to each other.
	slowStartHold = reportInterval + TickInterval
	// latencyWeight is the weight of a new sample in latency moving averages.
	latencyWeight = 0.1
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.15
)

// endpoint is a directory entry with its load and health.
type endpoint struct {
	directory.Endpoint
	// revision is that of the last change of its entry.
	revision int64
	// withdrawnUntil is until when the endpoint gets no requests since another instance
	// has announced the removal of its entry, at withdrawnRevision.
	withdrawnUntil    Instant
	withdrawnRevision int64
	slots             int
	// ownRunning is the number of this instance's requests at the endpoint.
	ownRunning int
	// ownPrefill is the number of prompt tokens of those requests whose answer
	// has not started.
	ownPrefill int
	// otherLoads holds the loads reported by other instances, by incarnation.
	// othersRunning and othersPrefill are their sums.
	otherLoads                   map[uint64]EndpointLoad
	othersRunning, othersPrefill int
	// lapsedAt is the end of the platform outage after which the entry was missing,
	// or zero while it is listed.
	lapsedAt Instant
	removed  bool
	// evacuated is set while the endpoint's zone is evacuated.
	evacuated bool
	// preferred is set if this instance is one of those of the endpoint's zone
	// that use it by preference.
	preferred bool
	// unassigned is set if the endpoint is assigned to other instances only. Its
	// load is then known with a delay.
	unassigned bool
	// sharers are the addresses of the other instances to which the endpoint is
	// assigned, if they are few. sentLoad is the load last sent to them.
	sharers  []string
	sentLoad int
	// refreshDue is set if the endpoint was in use at the last refresh or its
	// load has changed since.
	refreshDue bool
	// endedAt is when the process was found to have ended, or zero. entryRemoved
	// is set once its entry was removed although it was not leaving.
	endedAt      Instant
	entryRemoved bool
	// dispatchedAt is when this instance last sent a request there, or zero.
	dispatchedAt Instant
	// answeredSent is when the latest request that the endpoint answered was sent.
	answeredSent Instant
	// software identifies the version that the entry names. doubtedAt is when there
	// were last signs that the process has ended, or zero.
	software  origin.Software
	doubtedAt Instant
	// refusedAt is when its address refused a connection, or zero. The refusal
	// counts once the path to its zone is known to exist.
	refusedAt Instant
	// zoneConfirmed is set once something was heard from its zone after that.
	// refusedBefore is when an earlier refusal was found not to be due to the own paths.
	zoneConfirmed bool
	refusedBefore Instant
	// queriedAt is when other instances were last asked whether it has ended, askedBy
	// holds the addresses of those that asked this one.
	queriedAt Instant
	askedBy   []string
	// unanswered holds the recent attempts without a complete answer, the oldest
	// first. probing is set while a ProbeEndpoint effect is in progress, which began at
	// probedAt.
	unanswered []unanswered
	probing    bool
	probedAt   Instant
	// failures counts consecutive failures.
	failures       int
	suspendedUntil Instant
	pausedUntil    Instant
	// window limits this instance's requests at a new or returning endpoint. It
	// grows with each request whose answer starts or completes.
	window int
	// slowStartedAt is when the window was last reduced to the first requests.
	slowStartedAt Instant
	// relativeLatency is the endpoint's latency relative to the mean of its
	// service.
	relativeLatency float64
	// failureRate is the moving average of failed attempts.
	failureRate float64
	path        endpointPath
	// stated is what the endpoint last said about its load, with its slowness.
	stated statedLoad
	// backoffUntil is when the backoff ends that the endpoint requested from this instance.
	backoffUntil Instant
	brittle      brittleEndpoint
	// warmup is what is known about the coldness of the process.
	warmup warmup.Process
	// limit is the rate limit that the endpoint named, or nil if it named none.
	limit *endpointLimit
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

// load returns the known number of requests at the endpoint.
func (e *endpoint) load() int { return e.ownRunning + e.othersRunning }

// backlog returns the number of prompt tokens that the endpoint has yet to
// process.
func (e *endpoint) backlog() int { return e.ownPrefill + e.othersPrefill }

// setOtherLoad replaces another instance's load at the endpoint.
func (e *endpoint) setOtherLoad(incarnation uint64, l EndpointLoad) {
	previous := e.otherLoads[incarnation]
	e.othersRunning += l.Running - previous.Running
	e.othersPrefill += l.Prefill - previous.Prefill
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
	if e != nil && entry.Started == 0 && e.Started != 0 && e.Address == entry.Address {
		// The entry of a process that states its start always does; another one is of
		// another writer, and ends nothing that is known of the process.
		s.log("endpoint_entry_ignored", "endpoint", entry.ID, "revision", revision, "reason", "no start time")
		return
	}
	added := e == nil || e.Started != entry.Started || e.Address != entry.Address || e.Service != entry.Service
	if added {
		if e != nil {
			s.removeEndpoint(e)
			s.endpointEnded(e, EndpointReplaced)
		}
		s.addressTaken(entry)
		e = &endpoint{otherLoads: map[uint64]EndpointLoad{}, relativeLatency: 1}
		s.endpoints[entry.ID] = e
		s.incarnations[crash.IncarnationOf(entry.ID, entry.Started)] = e
		s.endpointsChanged = true
		s.newEndpoints = append(s.newEndpoints, e)
	}
	entry.Leaving = entry.Leaving || s.staysLeaving(entry)
	changed := added || e.Leaving != entry.Leaving
	if entry.Leaving && changed && !added {
		s.departed(e.incarnation(), revision, false)
	}
	e.Endpoint = entry
	e.evacuated = s.evacuations.Evacuated(entry.Zone)
	e.revision = revision
	if revision > e.withdrawnRevision {
		e.withdrawnUntil = 0
	}
	e.software = origin.SoftwareOf(entry.Service, entry.Version)
	s.softwareListed(entry.Service, e.software)
	if added {
		s.restoreLimit(e)
	}
	s.coldListed(e, entry, revision, added)
	e.lapsedAt = 0
	e.updateSlots(s.table)
	s.pool(entry.Service).add(e)
	s.recordShares(s.pool(entry.Service))
	if added {
		s.assignBrittleOwners(s.pool(entry.Service))
	}
	if changed {
		s.log("endpoint_listed", "endpoint", entry.ID, "service", entry.Service, "address", entry.Address,
			"leaving", entry.Leaving, "started", entry.Started, "version", entry.Version, "revision", revision,
			"from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
	}
}

// endpointGone removes an endpoint. Directly after a platform outage the entry
// of a live endpoint may have lapsed, so it is kept for lapseGrace.
func (s *State) endpointGone(id string, revision int64) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	if s.platform.reconnectedAt != 0 && s.now.Sub(s.platform.reconnectedAt) < lapseGrace && !e.Leaving {
		if e.lapsedAt == 0 {
			e.lapsedAt = s.platform.reconnectedAt
			s.endpointsLapsed = true
			s.log("endpoint_lapsed", "endpoint", id, "revision", revision,
				"from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
		}
		return
	}
	s.departed(e.incarnation(), revision, true)
	s.removeEndpoint(e)
	s.log("endpoint_gone", "endpoint", id, "service", e.Service, "revision", revision, "unlisted", s.listingAll,
		"entry_revision", e.revision, "from", s.reading.source, "read_age_ms", s.readAge().Milliseconds(), "last_dispatch_ms", s.sinceDispatch(e))
	if !e.Leaving {
		s.entryRemoved(e)
	}
}

func (s *State) removeEndpoint(e *endpoint) {
	e.removed = true
	delete(s.endpoints, e.ID)
	delete(s.incarnations, e.incarnation())
	s.endpointsChanged = true
	s.limitRemoved(e)
	s.endpointForgotten(e)
	s.pool(e.Service).remove(e)
	s.recordShares(s.pool(e.Service))
}

// expireLapsedEndpoints removes the endpoints whose entry had lapsed during a
// platform outage and that were not listed again within lapseGrace of its end.
func (s *State) expireLapsedEndpoints() {
	if !s.endpointsLapsed {
		return
	}
	s.endpointsLapsed = false
	for id, e := range s.endpoints {
		s.endpointsLapsed = s.endpointsLapsed || e.lapsedAt != 0
		if e.lapsedAt != 0 && s.now.Sub(e.lapsedAt) >= lapseGrace {
			s.removeEndpoint(e)
			s.log("endpoint_gone", "endpoint", id, "service", e.Service, "reason", "lapsed",
				"last_dispatch_ms", s.sinceDispatch(e))
			s.entryRemoved(e)
		}
	}
}

// slowStart prevents the instances from sending all of their queued requests to
// an endpoint that becomes available to all of them at the same moment. Each
// starts with its share of the slots. If more instances than slots use the
// endpoint, they start one after another.
func (s *State) slowStart(e *endpoint) {
	instances := s.instancesUsing(e)
	e.slowStartedAt = s.now
	e.window = ceilDiv(e.slots+endpointQueueDepth, instances)
	if instances > e.slots {
		spread := slowStartSpacing * time.Duration(instances)
		e.pausedUntil = max(e.pausedUntil, s.now.Add(time.Duration(s.rand.Int64N(int64(spread)))))
	}
}

// sinceDispatch returns the milliseconds since the last request of this instance to an
// endpoint, or -1 if there was none.
func (s *State) sinceDispatch(e *endpoint) int64 {
	if e.dispatchedAt == 0 {
		return -1
	}
	return s.now.Sub(e.dispatchedAt).Milliseconds()
}

// growWindow allows one more request of this instance at e, unless the others' first
// requests there may not be known yet.
func (e *endpoint) growWindow(now Instant) {
	if now.Sub(e.slowStartedAt) >= slowStartHold {
		e.window = min(e.window+1, e.slots+endpointQueueDepth)
	}
}

// instancesUsing returns the number of instances that send requests to e.
func (s *State) instancesUsing(e *endpoint) int {
	if len(e.sharers) > 0 {
		return 1 + len(e.sharers)
	}
	return max(1, len(s.reachableInstances))
}

// recordAttempt updates e's health with the result of an attempt.
func (s *State) recordAttempt(e *endpoint, r *request, a Attempt) {
	s.attemptTimed(r, a)
	failed := 0.0
	switch a.Outcome {
	case NotSent, Broken:
		failed = 1
		blamed := s.blame(e)
		if blamed {
			s.suspend(e)
		}
		if a.Refused && s.now.Sub(r.dispatched) <= maxRefusalDelay {
			s.connectionRefused(e)
		}
		s.pathFailed(e)
		if !blamed || s.pool(e.Service).paths.lost {
			return
		}
	case Misdirected:
		e.suspendedUntil = s.now.Add(maxSuspension)
		s.endpointEnded(e, EndpointReplaced)
	case NotRun:
		if p := s.pool(e.Service); p.brittle.Named {
			s.brittleRejected(p, e)
		}
		e.pausedUntil = s.now.Add(rejectionPause)
		if a.RetryAfter > 0 {
			s.backoffRequested(e, a.RetryAfter)
		}
		return
	case Failed:
		failed = 1
	case Completed:
		e.failures = 0
		e.growWindow(s.now)
		s.recordLatency(e, r, a)
		s.pool(e.Service).recordRun(r, a, s.now)
	case Abandoned:
		return
	}
	e.failureRate += failureWeight * (failed - e.failureRate)
}

// suspend stops requests to an endpoint for a time that doubles with each
// consecutive failure.
func (s *State) suspend(e *endpoint) {
	e.failures++
	pause := min(minSuspension<<min(e.failures-1, 8), maxSuspension)
	e.suspendedUntil = s.now.Add(pause)
	s.slowStart(e)
	s.log("endpoint_suspended", "endpoint", e.ID, "failures", e.failures, "for_ms", pause.Milliseconds())
}

// recordLatency updates e's latency relative to the mean of the request's
// route.
func (s *State) recordLatency(e *endpoint, r *request, a Attempt) {
	sample := a.EventInterval
	if sample == 0 {
		sample = a.FirstByte
	}
	if sample <= 0 {
		return
	}
	mean := s.pool(e.Service).updateLatencyMean(r.Route.Name, a.EventInterval > 0, float64(sample))
	e.slownessMeasured(float64(sample) / mean)
	e.relativeLatency += latencyWeight * (float64(sample)/mean - e.relativeLatency)
}
