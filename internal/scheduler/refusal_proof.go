package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
)

// witnessTime is how long after a refused connection one to a witness must begin: a
// cut may end between the two.
const witnessTime = 10 * time.Millisecond

// maxRefusalDelay is how long a connection may take to be refused. A process that was
// paused meanwhile learns of the refusal when it no longer holds.
const maxRefusalDelay = 100 * time.Millisecond

// maxWitnesses limits the endpoints of the same service to which connections are
// opened after one has refused its own.
const maxWitnesses = 2

// probeWitnesses opens connections to other endpoints, first of the same zone, to
// find out whether it is this instance whose connections are refused.
func (s *State) probeWitnesses(e *endpoint) {
	witnesses := 0
	for _, sameZone := range []bool{true, false} {
		for _, other := range s.pool(e.Service).endpoints {
			if witnesses < maxWitnesses && other != e && (other.Zone == e.Zone) == sameZone && other.path.failedAt <= other.path.provedAt && s.probePath(other) {
				witnesses++
			}
		}
	}
	for _, p := range s.poolOrder {
		if p.service == e.Service {
			continue
		}
		witnesses = 0
		for _, other := range p.endpoints {
			if witnesses < maxWitnesses && other.Zone == e.Zone && other.path.failedAt <= other.path.provedAt && s.probePath(other) {
				witnesses++
			}
		}
	}
}

// confirmRefusals applies new evidence about the own paths to the connections that
// were refused.
func (s *State) confirmRefusals() {
	for _, e := range s.withUnanswered {
		if e.refusedAt != 0 {
			s.confirmRefusal(e)
		}
	}
}

// refusedSince reports whether an endpoint refused a connection after an instant, so
// that one accepted before is no witness, and still waits for one.
func (s *State) refusedSince(since Instant) bool {
	for _, e := range s.withUnanswered {
		if e.refusedAt > since && s.now.Sub(e.refusedAt) <= witnessTime {
			return true
		}
	}
	return false
}

// confirmRefusal concludes from refused connections that an endpoint has ended, if its
// zone was heard of since and the own paths are sound. The paths to several endpoints
// are not lost or found at the same moment, so a second connection some time later must
// be refused too.
func (s *State) confirmRefusal(e *endpoint) bool {
	if !e.zoneConfirmed || !s.pathsSoundAt(e) {
		return false
	}
	switch {
	case e.probing:
		return false
	case e.refusedBefore == 0 || s.now.Sub(e.refusedBefore) > pathProofWindow:
		e.refusedBefore, e.refusedAt = s.now, 0
		e.probing, e.probedAt = true, s.now
		s.emit(ProbeEndpoint{Endpoint: e.Endpoint})
		return false
	}
	s.endpointEnded(e, ConnectionRefused)
	return true
}

// pathsSoundAt reports whether this instance's own paths are known to have been sound
// when an endpoint refused a connection: another endpoint of the service accepted
// one. If none does, those of other services must, and another instance must have been
// refused too, or all reachable ones must have lost the service.
func (s *State) pathsSoundAt(e *endpoint) bool {
	alone := true
	for _, other := range s.pool(e.Service).endpoints {
		if other == e || other.Leaving {
			continue
		}
		if other.path.vouches(e.refusedAt) {
			return true
		}
		if other.endedAt == 0 {
			alone = false
		}
	}
	others, connected := false, false
	for _, p := range s.poolOrder {
		for _, other := range p.endpoints {
			if p.service != e.Service && !other.Leaving {
				others = true
				connected = connected || other.path.vouches(e.refusedAt)
			}
		}
	}
	if !others {
		return alone
	}
	return connected && (alone || len(e.askedBy) > 0 || s.lostElsewhere(e.Service))
}

// vouches reports whether the endpoint accepted a connection that was opened directly
// after another one had refused its own.
func (p *endpointPath) vouches(refusedAt Instant) bool {
	since := p.connectedAt.Sub(refusedAt)
	return since >= 0 && since <= witnessTime
}

// lostElsewhere reports whether the reachable instances, of which there are some,
// have all lost the service too.
func (s *State) lostElsewhere(service string) bool {
	found := false
	for _, x := range s.members.byAddress {
		if !s.members.reachable(x, s.now) {
			continue
		}
		if reached, lost := x.lostPaths[service]; !lost || reached > 0 {
			return false
		}
		found = true
	}
	return found
}

// doubtUnanswered marks the attempts that failed after a time as failures that may be
// those of the own paths.
func (e *endpoint) doubtUnanswered(after Instant) {
	for k := range e.unanswered {
		if e.unanswered[k].at > after {
			e.unanswered[k].inDoubt = true
		}
	}
}

const (
	// queriedInstances is the number of other instances that are asked whether an
	// endpoint has ended, endQueryInterval the least time between two queries.
	queriedInstances = 2
	endQueryInterval = time.Second
)

// queryEnd asks other instances that reach the service whether an endpoint that refused
// a connection has ended, since this one can't tell it from a cut of its own links.
func (s *State) queryEnd(e *endpoint) {
	if len(e.unanswered) == 0 || s.now.Sub(e.queriedAt) < endQueryInterval {
		return
	}
	var to []string
	for _, sameZone := range []bool{true, false} {
		for _, a := range s.members.addresses() {
			x := s.members.byAddress[a]
			if _, lost := x.lostPaths[e.Service]; !lost && len(to) < queriedInstances && (x.zone == e.Zone) == sameZone && s.members.reachable(x, s.now) {
				to = append(to, a)
			}
		}
	}
	if len(to) == 0 {
		return
	}
	e.queriedAt = s.now
	report := s.partialReport()
	report.EndQueries = []crash.Incarnation{e.incarnation()}
	s.emit(SendReport{To: to, Report: report})
}

// answerEndQueries finds out whether the endpoints have ended about which another
// instance asks. Only ends are answered.
func (s *State) answerEndQueries(queries []crash.Incarnation, from string) {
	for _, query := range queries {
		e := s.incarnations[query]
		switch {
		case e == nil:
		case e.endedAt != 0:
			s.sendEnd(e, []string{from})
		default:
			if !slices.Contains(e.askedBy, from) {
				e.askedBy = append(e.askedBy, from)
			}
			s.withUnanswered[query] = e
			if !e.probing {
				e.probing, e.probedAt = true, s.now
				s.emit(ProbeEndpoint{Endpoint: e.Endpoint})
			}
		}
	}
}

// tellEnd answers those that asked about an endpoint.
func (s *State) tellEnd(e *endpoint) {
	if len(e.askedBy) > 0 {
		s.sendEnd(e, e.askedBy)
		e.askedBy = nil
	}
}

func (s *State) sendEnd(e *endpoint, to []string) {
	report := s.partialReport()
	report.Ended = []crash.Incarnation{e.incarnation()}
	s.emit(SendReport{To: slices.Clone(to), Report: report})
}

// applyEnds attributes the ends that others have found to the requests that were at
// the endpoints.
func (s *State) applyEnds(ended []crash.Incarnation) {
	for _, incarnation := range ended {
		if e := s.withUnanswered[incarnation]; e != nil && len(e.unanswered) > 0 {
			s.endpointEnded(e, EndReported)
		}
	}
}
