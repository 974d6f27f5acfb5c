package scheduler

import (
	"slices"
	"time"
)

const (
	// pathSilence is how long nothing may be heard from any endpoint of a service
	// while requests are there before the paths to them are checked. Endpoints fall
	// silent for a second at times, which ends nothing: a check only opens connections.
	pathSilence = 400 * time.Millisecond
	// pathCheckTime is the time in which an endpoint accepts a connection if the path
	// to it is sound: some round trips within a region.
	pathCheckTime = 60 * time.Millisecond
	// maxPathChecks limits the endpoints of a check, pathCheckInterval is the least
	// time between two checks of a service.
	maxPathChecks     = 3
	pathCheckInterval = time.Second
	// pathFailureSpan is how long nothing must have been heard before failures of
	// several endpoints count as those of the own links.
	pathFailureSpan = 50 * time.Millisecond
	// minPathRetry and maxPathRetry bound the time between two probes of a path that
	// is lost, maxPathProbes the probes in progress for a service.
	minPathRetry  = 250 * time.Millisecond
	maxPathRetry  = time.Second
	maxPathProbes = 16
	// unstableTime is the time after their return within which paths that are lost
	// again count as flapping. They are then used only after they were sound for some
	// time, which doubles up to maxPathHold. flapProbeInterval is the time between two
	// proofs of a path meanwhile, maxFlapProbes the paths that are proved each time.
	unstableTime      = 10 * time.Second
	minPathHold       = time.Second
	maxPathHold       = 8 * time.Second
	flapProbeInterval = 200 * time.Millisecond
	maxFlapProbes     = 3
	// briefLoss is the time within which half of the paths are proved again if it was
	// endpoints that failed, not the paths. Such a loss is no flap.
	briefLoss = 250 * time.Millisecond
)

// endpointPath is what this instance knows about its own way to an endpoint.
type endpointPath struct {
	// provedAt is when the latest request or connection was begun that the endpoint
	// answered or accepted, connectedAt when the latest probe was that it accepted,
	// failedAt when a connection or an attempt there last failed.
	provedAt, connectedAt, failedAt Instant
	// probedAt is when the probe in progress began, or zero. The next one is due at
	// nextProbe, failures counts those that failed in a row.
	probedAt, nextProbe Instant
	failures            int
	// blamedAt is the last failure, rateBefore the endpoint's failure rate before those
	// since anything was heard from the service.
	blamedAt   Instant
	rateBefore float64
}

// servicePaths is what this instance knows about its ways to all endpoints of a
// service.
type servicePaths struct {
	// heardAt is when anything was last heard from an endpoint, checkedAt when the
	// paths were last checked.
	heardAt, checkedAt Instant
	// lost is set while the instance has lost its paths: only endpoints to which they
	// were proved since lostAt are used.
	lost            bool
	lostAt, foundAt Instant
	// lostSince is when the loss began, however often lostAt was put off since.
	lostSince  Instant
	hold       time.Duration
	soundSince Instant
	// damped is set while the paths are lost and flapping and other instances reach the
	// service: requests go through these only.
	damped     bool
	flapProbed Instant
}

// reaches reports whether the path to an endpoint was proved since an instant.
func (p *endpointPath) reaches(since Instant) bool {
	return p.provedAt >= since && p.provedAt >= p.failedAt
}

// pathProved records that an endpoint answered a request sent at a time.
func (s *State) pathProved(e *endpoint, sent Instant) {
	e.path.provedAt = max(e.path.provedAt, sent)
	s.pool(e.Service).paths.heardAt = s.now
}

// pathFailed records a connection or an attempt that failed. Failures of several
// endpoints at a time of silence are those of the own links until proved otherwise.
func (s *State) pathFailed(e *endpoint) {
	p := s.pool(e.Service)
	e.path.failedAt = s.now
	if p.paths.lost || s.now.Sub(p.paths.heardAt) <= pathFailureSpan {
		return
	}
	failed, available := 0, 0
	for _, other := range p.endpoints {
		if other.Leaving || other.evacuated || other.unassigned {
			continue
		}
		available++
		if other.path.failedAt > p.paths.heardAt {
			failed++
		}
	}
	if failed >= min(2, available) {
		s.losePaths(p)
		return
	}
	s.checkPaths(p)
}

// blame lowers the weight of an endpoint after a failed attempt, unless the failure
// is one of the own links.
func (s *State) blame(e *endpoint) (blamed bool) {
	paths := &s.pool(e.Service).paths
	if paths.lost {
		return false
	}
	if e.path.blamedAt <= paths.heardAt {
		e.path.rateBefore = e.failureRate
	}
	e.path.blamedAt = s.now
	return true
}

// checkPaths opens connections to some endpoints, first those that owe an answer.
func (s *State) checkPaths(p *pool) {
	if s.now.Sub(p.paths.checkedAt) < pathCheckInterval {
		return
	}
	p.paths.checkedAt = s.now
	checks := 0
	for _, owing := range []bool{true, false} {
		for _, e := range p.endpoints {
			if checks < maxPathChecks && (e.ownRunning > 0) == owing && !e.unassigned && s.probePath(e) {
				checks++
			}
		}
	}
}

// probePath opens a connection to an endpoint unless that is in progress.
func (s *State) probePath(e *endpoint) bool {
	if e.path.probedAt != 0 || e.Leaving || e.removed {
		return false
	}
	e.path.probedAt = s.now
	s.emit(ProbePath{Endpoint: e.Endpoint})
	return true
}

// pathProbed applies the result of a ProbePath effect.
func (s *State) pathProbed(ev PathProbed) {
	e := s.incarnations[incarnationOf(ev.Endpoint)]
	if e == nil || e.path.probedAt == 0 {
		return
	}
	p, began := s.pool(e.Service), e.path.probedAt
	e.path.probedAt = 0
	if ev.Result != ProbeAccepted {
		e.path.failedAt = s.now
		e.path.nextProbe = s.now.Add(min(minPathRetry<<min(e.path.failures, 8), maxPathRetry))
		e.path.failures++
		if !p.paths.lost && p.paths.heardAt < began {
			s.losePaths(p)
		}
		return
	}
	returned := p.paths.lost && !e.path.reaches(p.paths.lostAt)
	e.path.provedAt, e.path.connectedAt, e.path.failures = max(e.path.provedAt, began), began, 0
	p.paths.heardAt = s.now
	s.confirmRefusals()
	if s.refusedSince(began) {
		s.probePath(e)
	}
	if returned {
		e.failures, e.suspendedUntil = 0, 0
		s.slowStart(e)
		s.reviewLostPaths(p)
	}
	s.dispatchWaiting(p)
}

// losePaths stops the use of the endpoints of a service until connections show which
// of them this instance reaches. What failed in the silence before is not held
// against the endpoints.
func (s *State) losePaths(p *pool) {
	paths := &p.paths
	if s.now.Sub(paths.foundAt) < unstableTime {
		paths.hold = min(max(2*paths.hold, minPathHold), maxPathHold)
	} else {
		paths.hold = 0
	}
	paths.lost, paths.lostAt, paths.lostSince, paths.soundSince = true, s.now, s.now, 0
	paths.damped = s.flapping(p)
	for _, e := range p.endpoints {
		e.path.failures, e.path.nextProbe = 0, s.now
		if e.path.blamedAt > paths.heardAt {
			e.failureRate, e.failures, e.suspendedUntil = e.path.rateBefore, 0, 0
		}
		if e.doubtedAt > paths.heardAt {
			e.doubtedAt = 0
		}
		e.doubtUnanswered(paths.heardAt)
	}
	s.count(CounterPaths, "lost")
	s.log("service_paths", "service", p.service, "lost", true, "silent_ms", s.now.Sub(paths.heardAt).Milliseconds(),
		"endpoints", len(p.endpoints), "instances", len(s.reachableInstances))
	s.probeLostPaths(p)
	s.assignBrittleOwners(p)
	s.sendPathNotice(p)
	s.returnForwarded(p)
	s.dispatchWaiting(p)
}

// reviewPaths checks the paths to the endpoints of a service after a silence, and
// looks for their return once they are lost.
func (s *State) reviewPaths(p *pool) {
	if p.paths.lost {
		p.paths.damped = s.flapping(p)
		s.probeLostPaths(p)
		s.probeFlappingPaths(p)
		s.reviewLostPaths(p)
		return
	}
	for _, e := range p.endpoints {
		if probed := e.path.probedAt; probed != 0 && s.now.Sub(probed) >= pathCheckTime && p.paths.heardAt < probed {
			s.losePaths(p)
			return
		}
	}
	if s.now.Sub(p.paths.heardAt) >= pathSilence && s.answerOverdue(p) {
		s.checkPaths(p)
	}
}

// answerOverdue reports whether a request has waited for pathSilence for the first
// sign of its endpoint.
func (s *State) answerOverdue(p *pool) bool {
	running := slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.ownRunning > 0 })
	if !running {
		return false
	}
	for _, r := range s.requests {
		if r.endpoint != nil && r.Service == p.service && r.prefilling && s.now.Sub(r.dispatched) >= pathSilence {
			return true
		}
	}
	return false
}

// probeLostPaths probes the paths that are not proved and due for a probe. Of the
// endpoints of other instances a few are probed at a time.
func (s *State) probeLostPaths(p *pool) {
	probing := 0
	for _, e := range p.endpoints {
		if e.path.probedAt != 0 {
			probing++
		}
	}
	for _, unassigned := range []bool{false, true} {
		for _, e := range p.endpoints {
			if probing >= maxPathProbes {
				return
			}
			if e.unassigned == unassigned && !e.path.reaches(p.paths.lostAt) && s.now >= e.path.nextProbe && s.probePath(e) {
				probing++
			}
		}
	}
}

// flapping reports whether the paths to a service, which are lost, come and go, and
// other instances reach the service.
func (s *State) flapping(p *pool) bool {
	if p.paths.hold == 0 {
		return false
	}
	for _, x := range s.members.byAddress {
		if _, lost := x.lostPaths[p.service]; !lost && s.members.reachable(x, s.now) {
			return true
		}
	}
	return false
}

// probeFlappingPaths proves some paths again while they must be sound for a time.
func (s *State) probeFlappingPaths(p *pool) {
	paths := &p.paths
	if paths.hold == 0 || paths.soundSince == 0 {
		return
	}
	if s.now.Sub(paths.heardAt) > flapProbeInterval+pathCheckTime {
		// None of them has accepted a connection. A single one that doesn't may be down.
		paths.lostAt, paths.soundSince = s.now, 0
		return
	}
	if s.now.Sub(paths.flapProbed) < flapProbeInterval {
		return
	}
	paths.flapProbed = s.now
	probes := 0
	for _, e := range p.endpoints {
		if probes < maxFlapProbes && !e.unassigned && e.path.reaches(paths.lostAt) && s.probePath(e) {
			probes++
		}
	}
}

// reviewLostPaths ends the loss once half of the endpoints that are assigned to this
// instance are reached.
func (s *State) reviewLostPaths(p *pool) {
	paths := &p.paths
	assigned, reached := 0, 0
	for _, e := range p.endpoints {
		if e.Leaving || e.evacuated || e.unassigned {
			continue
		}
		assigned++
		if e.path.reaches(paths.lostAt) {
			reached++
		}
	}
	if 2*reached < assigned {
		paths.soundSince = 0
		return
	}
	if paths.soundSince == 0 {
		paths.soundSince = s.now
	}
	brief := paths.soundSince.Sub(paths.lostSince) < briefLoss
	if !brief && s.now.Sub(paths.soundSince) < paths.hold {
		return
	}
	paths.lost, paths.damped = false, false
	if !brief {
		paths.foundAt = s.now
	}
	s.assignBrittleOwners(p)
	s.count(CounterPaths, "found")
	s.log("service_paths", "service", p.service, "lost", false, "reached", reached, "of", assigned,
		"after_ms", s.now.Sub(paths.lostSince).Milliseconds())
}

// reachedEndpoints returns the number of endpoints of a service that this instance
// uses while it has lost paths.
func (s *State) reachedEndpoints(p *pool) int {
	n := 0
	if p.paths.damped {
		return 0
	}
	for _, e := range p.endpoints {
		if !e.Leaving && !e.evacuated && e.path.reaches(p.paths.lostAt) {
			n++
		}
	}
	return n
}

// pathReport returns the services of which this instance has lost paths.
func (s *State) pathReport() []ServicePaths {
	var out []ServicePaths
	for _, p := range s.poolOrder {
		if p.paths.lost {
			out = append(out, ServicePaths{Service: p.service, Reached: s.reachedEndpoints(p)})
		}
	}
	return out
}

// sendPathNotice tells all others at once that this instance has lost paths. Complete
// reports repeat it, and the first one without it ends it.
func (s *State) sendPathNotice(p *pool) {
	to := s.members.addresses()
	if len(to) == 0 {
		return
	}
	report := s.partialReport()
	report.Paths = s.pathReport()
	s.emit(SendReport{To: to, Report: report})
}

// applyPathReport records the services of which another instance has lost paths.
func (s *State) applyPathReport(x *member, paths []ServicePaths) {
	if len(paths) == 0 && x.lostPaths == nil {
		return
	}
	x.lostPaths = nil
	defer s.pathsReported()
	for _, p := range paths {
		if x.lostPaths == nil {
			x.lostPaths = map[string]int{}
		}
		x.lostPaths[p.Service] = p.Reached
	}
}

// pathsReported applies what others have lost or found.
func (s *State) pathsReported() {
	s.confirmRefusals()
	for _, p := range s.poolOrder {
		s.assignBrittleOwners(p)
	}
}
