package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
)

const (
	// maxOriginRecords limits the attempts of which this instance remembers the
	// software, its own and those that others have sent it.
	maxOriginRecords = 16384
	// recordersPerAttempt is the number of instances that keep the record of an
	// attempt.
	recordersPerAttempt = 2
	// minSoftwareMemory is the least time after which software that is not listed any
	// more can't have begun a stream that a caller takes up.
	minSoftwareMemory = 30 * time.Second
	// maxSoftwareMemory is how long software that is not listed any more is
	// remembered.
	maxSoftwareMemory = 15 * time.Minute
	// boundExtraRequests is the number of requests beyond its usual ones that an
	// endpoint gets if they can go on at few others.
	boundExtraRequests = 2
	// minCallerPatience is how long callers wait for the next event of a stream at
	// least. patienceTargets and patienceGaps are the multiples of a route's objective
	// and of its longest pause for which they wait if that is longer.
	minCallerPatience = 2 * time.Second
	patienceTargets   = 4
	patienceGaps      = 8
)

// continues reports whether the caller already has events of the stream.
func (q *Request) continues() bool { return q.Route.Kind == routing.Stream && q.LastEventID > 0 }

// originAttempt identifies the attempt that brings, or brought, the first event.
func (q *Request) originAttempt() origin.Attempt {
	name, organisation := q.Name, ""
	if q.continues() && (q.Forwarding == nil || q.Resumes != "") {
		name = q.Resumes
	}
	if q.Organisation != nil {
		organisation = q.Organisation.Name
	}
	return origin.AttemptOf(organisation, name)
}

// services returns the services to which the route sends requests.
func (q *Request) services() []string {
	out := make([]string, 0, len(q.Route.Split))
	for _, share := range q.Route.Split {
		out = append(out, share.Service)
	}
	return out
}

// softwareMemory returns how long ago an attempt on the route may have begun a
// stream that its caller takes up now.
func softwareMemory(timeout time.Duration) time.Duration {
	return min(max(minSoftwareMemory, 2*timeout), maxSoftwareMemory)
}

// softwareOf returns the software of the process that an endpoint's entry
// describes, or Unknown if another one may have taken its place, or if the entry
// names no version while others do.
func (s *State) softwareOf(e *endpoint) origin.Software {
	if removal := missedHeartbeats*s.cfg.EndpointHeartbeat + entryDelay; e.doubtedAt != 0 && s.now.Sub(e.doubtedAt) < removal {
		return origin.Unknown
	}
	if e.Version == "" && s.history.Several([]string{e.Service}, origin.Time(s.now), minSoftwareMemory) {
		return origin.Unknown
	}
	return e.software
}

// doubtProcess records signs that an endpoint's process has ended.
func (s *State) doubtProcess(e *endpoint) { e.doubtedAt = s.now }

// recordOrigin remembers the software at which a stream may begin, and lets others
// know while there is more than one.
func (s *State) recordOrigin(r *request, e *endpoint) {
	r.sentTo = s.softwareOf(e)
	if r.Route.Kind != routing.Stream || !r.Route.Resumable {
		return
	}
	r.dispatches++
	s.origins.Begin(s.originRecord(r), s.severalSoftwares(r))
}

func (s *State) originRecord(r *request) origin.Record {
	return origin.Record{
		Attempt: r.originAttempt(), Software: r.sentTo, Dispatch: r.dispatches, Until: origin.Time(r.CallerDeadline),
	}
}

// severalSoftwares reports whether the services of a request's route may have run more
// than one software while its stream may have begun.
func (s *State) severalSoftwares(r *request) bool {
	memory := softwareMemory(r.Route.Timeout)
	return !s.history.Covers(origin.Time(s.now), memory) || s.history.Several(r.services(), origin.Time(s.now), memory)
}

// repeatOrigins sends the records of the streams in progress again, since instances
// that keep records have ended or joined.
func (s *State) repeatOrigins() {
	if !s.recordersChanged {
		return
	}
	s.recordersChanged = false
	var running []*request
	for _, r := range s.requests {
		if r.endpoint != nil && r.dispatches > 0 && s.severalSoftwares(r) {
			running = append(running, r)
		}
	}
	slices.SortFunc(running, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range running {
		s.origins.Begin(s.originRecord(r), true)
	}
}

// streamBegun binds a stream to the software that brought its first event.
func (r *request) streamBegun() {
	if !r.bound {
		r.bound, r.software = true, r.sentTo
	}
}

// mayRun reports whether a request may be sent to an endpoint as far as its
// software is concerned.
func (s *State) mayRun(r *request, e *endpoint) bool {
	if !r.bound {
		return s.mayBegin(r, e)
	}
	return r.software != origin.Unknown && s.softwareOf(e) == r.software
}

// softwareServes reports whether the stream of a request can go on at some endpoint
// of the pool, even if that can't take it now.
func (s *State) softwareServes(p *pool, r *request) bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool {
		return !e.Leaving && !r.hasTried(e) && s.mayRun(r, e)
	})
}

// bind binds a request to the software that began its stream, and reports whether
// one of the route's services runs it.
func (s *State) bind(r *request, software origin.Software) bool {
	r.bound, r.software = true, software
	if s.softwareServes(s.pool(r.Service), r) {
		return true
	}
	for _, service := range r.services() {
		if s.softwareServes(s.pool(service), r) {
			r.Service = service
			return true
		}
	}
	return false
}

// callerPatience returns how long callers wait for the next event.
func (r *request) callerPatience() time.Duration {
	return max(minCallerPatience, patienceTargets*r.Route.Target, patienceGaps*r.Route.Gap)
}

// tickOrigins sends the records of this instance and removes old ones.
func (s *State) tickOrigins() {
	s.repeatOrigins()
	s.sendOrigins()
	for _, p := range s.poolOrder {
		s.reviewLookups(p)
	}
	if s.now.Sub(s.originsExpiredAt) < time.Second {
		return
	}
	s.originsExpiredAt = s.now
	s.origins.Expire(origin.Time(s.now))
	s.history.Forget(origin.Time(s.now) - maxSoftwareMemory)
	for _, e := range s.endpoints {
		s.history.Listed(e.Service, e.software, origin.Time(s.now))
	}
}

// sendOrigins sends each new record to two instances, of two availability zones if
// there are.
func (s *State) sendOrigins() {
	byRecorder := map[string][]origin.Record{}
	var order []string
	for _, r := range s.origins.TakeUnsent() {
		for _, address := range s.recordersOf(r.Attempt) {
			if byRecorder[address] == nil {
				order = append(order, address)
			}
			byRecorder[address] = append(byRecorder[address], r)
		}
	}
	for _, address := range order {
		report := s.partialReport()
		for _, r := range byRecorder[address] {
			report.Origins = append(report.Origins, StreamOrigin{
				Attempt: r.Attempt, Software: r.Software, Dispatch: r.Dispatch, Remaining: Instant(r.Until).Sub(s.now),
			})
		}
		s.emit(SendReport{To: []string{address}, Report: report})
	}
}

// rankedInstances returns the other known instances, or only those that are
// reachable, by their rank for an attempt.
func (s *State) rankedInstances(a origin.Attempt, reachableOnly bool) []candidate {
	var others []candidate
	for _, address := range s.members.addresses() {
		if x := s.members.byAddress[address]; !reachableOnly || s.members.reachable(x, s.now) {
			others = append(others, newCandidate(address, x.zone))
		}
	}
	slices.SortFunc(others, func(x, y candidate) int {
		hx, hy := mix64(x.hash^uint64(a)), mix64(y.hash^uint64(a))
		switch {
		case hx > hy:
			return -1
		case hx < hy:
			return 1
		}
		return 0
	})
	return others
}

// recordersOf returns the instances that keep the record of an attempt: one of this
// zone, whose callers reach it while the zone is cut off, and one of another zone.
func (s *State) recordersOf(a origin.Attempt) []string {
	here, elsewhere := splitByZone(s.rankedInstances(a, true), s.cfg.Zone)
	switch {
	case len(here) > 0 && len(elsewhere) > 0:
		return []string{here[0].address, elsewhere[0].address}
	case len(here) > 0:
		return addressesOf(firstN(here, recordersPerAttempt))
	default:
		return addressesOf(firstN(elsewhere, recordersPerAttempt))
	}
}

// likelyRecordersOf returns the instances that may keep the record of an attempt,
// which any zone may have begun, although some that the instance which wrote it knew
// have ended or joined since: the first ranked ones of each zone, and of all.
func (s *State) likelyRecordersOf(a origin.Attempt) []string {
	ranked := s.rankedInstances(a, false)
	out := addressesOf(firstN(ranked, 2*recordersPerAttempt))
	perZone := map[string]int{}
	for _, c := range ranked {
		if perZone[c.zone]++; perZone[c.zone] <= recordersPerAttempt && !slices.Contains(out, c.address) {
			out = append(out, c.address)
		}
	}
	return out
}

// mergeOrigins adds the records of another instance.
func (s *State) mergeOrigins(origins []StreamOrigin) {
	for _, o := range origins {
		s.origins.Merge(origin.Record{
			Attempt: o.Attempt, Software: o.Software, Dispatch: o.Dispatch, Until: origin.Time(s.now.Add(o.Remaining)),
		})
	}
}
