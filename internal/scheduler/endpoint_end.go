package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
)

const (
	// unansweredRetention is how long after an attempt without a complete answer
	// the end of its endpoint is attributed to it. The platform removes the entry
	// of a dead endpoint after some seconds, and a new process is listed at its
	// address after some more.
	unansweredRetention = 15 * time.Second
	// maxUnanswered limits the unanswered attempts kept for one endpoint.
	maxUnanswered = 64
	// missedHeartbeats is the number of heartbeats without which the platform
	// removes an endpoint's entry. entryDelay is the time in which the removal
	// reaches this instance: reads may be three seconds stale, and a watch may
	// wait for one.
	missedHeartbeats = 3
	entryDelay       = 4 * time.Second
	// pathProofDelay and pathProofWindow bound the time after a refused connection
	// in which something must be heard from the endpoint's zone. What arrives
	// before the delay may have been sent before a partition began.
	pathProofDelay  = 50 * time.Millisecond
	pathProofWindow = time.Second
)

// unanswered is an attempt that ended without a complete answer. It is evidence
// against its request if its endpoint turns out to have ended.
type unanswered struct {
	fingerprint uint64
	parts       []PromptPart
	causes      []crash.Cause
	request     string
	at          Instant
	// broken is set if the connection failed, as opposed to a caller that left or
	// a deadline that passed.
	broken bool
	// accepted is set if the endpoint's address accepted a connection after the
	// attempt: the process lives, or another one has already taken its place.
	accepted bool
	// inDoubt is set if the attempt may have failed since this instance lost its own
	// paths. Then only the refusal of a connection while others are accepted counts.
	inDoubt bool
}

// EndEvidence is how an instance learned that an endpoint's process has ended.
type EndEvidence string

// The kinds of evidence.
const (
	// ConnectionRefused means that nothing listens at its address although packets
	// pass to its zone.
	ConnectionRefused EndEvidence = "refused"
	// EndpointReplaced means that another process answers at its address or is
	// listed there or under its ID.
	EndpointReplaced EndEvidence = "replaced"
	// EndReported means that another instance, asked about the endpoint, has found that
	// it ended.
	EndReported EndEvidence = "reported"
	// EntryRemoved means that the platform removed its entry although it was not
	// leaving.
	EntryRemoved EndEvidence = "entry_removed"
)

func (e *endpoint) incarnation() crash.Incarnation { return incarnationOf(e.Endpoint) }

func incarnationOf(entry directory.Endpoint) crash.Incarnation {
	return crash.IncarnationOf(entry.ID, entry.Started)
}

// attemptUnanswered records an attempt without a complete answer. It is evidence
// against its request only if the answer had not begun: a request that crashes
// its endpoint does so as the endpoint begins to run it. A broken connection alone
// is no evidence that the endpoint ended, so a new connection is tried.
func (s *State) attemptUnanswered(e *endpoint, r *request, a Attempt) {
	broken := a.Outcome == Broken
	u := unanswered{
		fingerprint: r.Fingerprint, parts: r.PromptParts, causes: r.causes, request: r.Name, at: s.now, broken: broken,
		inDoubt: s.pool(e.Service).paths.lost,
	}
	switch {
	case e.endedAt >= r.dispatched && !r.begun:
		s.recordCrash(e, u)
		return
	case e.endedAt >= r.dispatched:
		return
	case !r.begun:
		if len(e.unanswered) >= maxUnanswered {
			e.unanswered = e.unanswered[1:]
		}
		e.unanswered = append(e.unanswered, u)
	}
	s.withUnanswered[e.incarnation()] = e
	if (broken || e.entryRemoved && !a.AnswerStarted) && !e.probing {
		e.probing, e.probedAt = true, s.now
		s.emit(ProbeEndpoint{Endpoint: e.Endpoint})
	}
}

// endpointAnswered records an answer to a request that was sent at a time. The
// endpoint had not ended under the attempts that failed before.
func (s *State) endpointAnswered(e *endpoint, sent Instant) {
	e.answeredSent = max(e.answeredSent, sent)
	s.pathProved(e, sent)
	if sent > e.endedAt {
		e.endedAt = 0
	}
	if sent > e.refusedAt {
		e.refusedAt, e.refusedBefore = 0, 0
	}
	e.unanswered = slices.DeleteFunc(e.unanswered, func(u unanswered) bool { return u.at < sent })
	s.zoneReached(e.Zone, sent)
}

// endpointProbed applies the result of a ProbeEndpoint effect.
func (s *State) endpointProbed(ev EndpointProbed) {
	e := s.withUnanswered[crash.IncarnationOf(ev.Endpoint, ev.Started)]
	if e == nil {
		return
	}
	e.probing = false
	s.evidenceChanged = true
	switch ev.Result {
	case ProbeRefused:
		if s.now.Sub(e.probedAt) <= maxRefusalDelay {
			s.connectionRefused(e)
		}
	case ProbeAccepted:
		e.askedBy, e.refusedBefore = nil, 0
		for k := range e.unanswered {
			e.unanswered[k].accepted = true
		}
	case ProbeUnknown:
		e.askedBy = nil
		if e.entryRemoved && s.zoneReachable(e.Zone) {
			s.endpointEnded(e, EntryRemoved)
		}
	}
}

// connectionRefused records that an endpoint's address refused a connection.
// Some partitions refuse connections in place of dropping packets, so this is no
// evidence until something else is heard from the endpoint's zone.
func (s *State) connectionRefused(e *endpoint) {
	if !s.pool(e.Service).paths.lost {
		s.doubtProcess(e)
	}
	second := e.refusedBefore != 0 && s.now.Sub(e.refusedBefore) <= pathProofWindow
	if e.refusedAt == 0 || s.now.Sub(e.refusedAt) > pathProofWindow {
		e.refusedAt, e.zoneConfirmed = s.now, second || !s.members.knownInZone(e.Zone)
	}
	s.withUnanswered[e.incarnation()] = e
	if !s.confirmRefusal(e) && e.endedAt == 0 {
		s.probeWitnesses(e)
		s.queryEnd(e)
	}
}

// zoneReached records that packets passed between this instance and a zone at a
// time, which confirms connections that were refused shortly before.
func (s *State) zoneReached(zone string, at Instant) {
	s.zonesReached[zone] = max(s.zonesReached[zone], at)
	for _, e := range s.withUnanswered {
		if e.refusedAt == 0 || e.Zone != zone {
			continue
		}
		if since := at.Sub(e.refusedAt); since > pathProofWindow {
			e.refusedAt = 0
		} else if since >= pathProofDelay {
			e.zoneConfirmed = true
			s.confirmRefusal(e)
		}
	}
}

// zoneReachable reports whether packets have passed between this instance and a
// zone recently, or can't have because no other instance is known there.
func (s *State) zoneReachable(zone string) bool {
	return !s.members.knownInZone(zone) || s.now.Sub(s.zonesReached[zone]) <= pathProofWindow
}

// entryRemoved records that the platform removed the entry of an endpoint that
// was not leaving. Endpoints of a partitioned zone lose their entries too, and
// some that leave serve on for a while without one.
func (s *State) entryRemoved(e *endpoint) {
	e.entryRemoved = true
	if s.zoneReachable(e.Zone) {
		s.endpointEnded(e, EntryRemoved)
	}
}

// endpointEnded attributes the end of an endpoint's process to the requests
// whose attempts there had no answer.
func (s *State) endpointEnded(e *endpoint, evidence EndEvidence) {
	s.doubtProcess(e)
	known := e.endedAt != 0
	if evidence != EntryRemoved {
		e.endedAt = s.now
	}
	e.probing, e.refusedAt, e.refusedBefore, e.zoneConfirmed = false, 0, 0, false
	attributed := 0
	for _, u := range e.unanswered {
		if evidence == EntryRemoved && u.accepted || u.inDoubt && evidence != ConnectionRefused && evidence != EndReported {
			continue
		}
		s.recordCrash(e, u)
		attributed++
	}
	e.unanswered = nil
	delete(s.withUnanswered, e.incarnation())
	if evidence != EntryRemoved {
		s.tellEnd(e)
	}
	if attributed > 0 || !known && evidence != EntryRemoved {
		s.count(CounterEndpointEnds, string(evidence))
		s.log("endpoint_ended", "endpoint", e.ID, "evidence", string(evidence), "unanswered", attributed)
	}
}

// addressTaken applies the listing of a process to those that were listed at its
// address before. If it is the same process, its entry was only missing for a
// time.
func (s *State) addressTaken(entry directory.Endpoint) {
	incarnation := crash.IncarnationOf(entry.ID, entry.Started)
	for key, e := range s.withUnanswered {
		switch {
		case key == incarnation:
			delete(s.withUnanswered, key)
		case e.Address == entry.Address:
			s.endpointEnded(e, EndpointReplaced)
		}
	}
}

// expireUnanswered removes attempts after unansweredRetention.
func (s *State) expireUnanswered() {
	for key, e := range s.withUnanswered {
		e.unanswered = slices.DeleteFunc(e.unanswered, func(u unanswered) bool { return s.now.Sub(u.at) > unansweredRetention })
		if s.now.Sub(e.refusedAt) > unansweredRetention {
			e.refusedAt, e.askedBy = 0, nil
		}
		if len(e.unanswered) == 0 && !e.probing && e.refusedAt == 0 {
			delete(s.withUnanswered, key)
		}
	}
}

// endRefuted reports whether an endpoint has not ended when it was thought to:
// it has answered a later request, or the platform lists the same process after
// the time at which it removes the entry of one that has ended.
func (s *State) endRefuted(end crash.End) bool {
	e := s.incarnations[end.Endpoint]
	if e == nil {
		return false
	}
	at := Instant(end.At)
	removal := missedHeartbeats*s.cfg.EndpointHeartbeat + entryDelay
	listed := s.platform.confirmedAt.Sub(max(at, s.platform.reconnectedAt)) > removal
	return e.answeredSent > at || listed
}
