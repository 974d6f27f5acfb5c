package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
)

const (
	// crashThreshold is the number of endpoints that must have ended under a
	// request before it is refused.
	crashThreshold = 3
	// maxCrashRecords limits the number of requests for which crashes are kept.
	maxCrashRecords = 4096
	// unansweredRetention is how long after an attempt without a complete answer
	// the end of its endpoint is attributed to it. The platform removes the entry
	// of a dead endpoint after some seconds, and a new process is listed at its
	// address after some more.
	unansweredRetention = 15 * time.Second
	// maxUnanswered limits the unanswered attempts kept for one endpoint.
	maxUnanswered = 64
	// maxReportedCrashes limits the requests in a complete report: all instances
	// repeat what they know in turn. maxNoticedCrashes limits those in the notice
	// that an instance sends as soon as it observes a crash.
	maxReportedCrashes = 4
	maxNoticedCrashes  = 32
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
	// crashExpiryInterval is the time between removals of old evidence.
	crashExpiryInterval = time.Second
	// loggedEnds is the number of ends from which those that others observed are
	// logged: an end of every endpoint is logged by the instances that saw it.
	loggedEnds = crashThreshold - 1
)

// unanswered is an attempt that ended without a complete answer. It is evidence
// against its request if its endpoint turns out to have ended.
type unanswered struct {
	fingerprint uint64
	request     string
	at          Instant
	// broken is set if the connection failed, as opposed to a caller that left or
	// a deadline that passed.
	broken bool
	// accepted is set if the endpoint's address accepted a connection after the
	// attempt: the process lives, or another one has already taken its place.
	accepted bool
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
	// EntryRemoved means that the platform removed its entry although it was not
	// leaving.
	EntryRemoved EndEvidence = "entry_removed"
)

func (e *endpoint) incarnation() crash.Incarnation { return crash.IncarnationOf(e.ID, e.Started) }

// attemptUnanswered records an attempt without a complete answer. A broken
// connection alone is no evidence that the endpoint ended, so a new connection
// is tried.
func (s *State) attemptUnanswered(e *endpoint, r *request, a Attempt) {
	if e.endedAt != 0 {
		s.recordCrash(e, unanswered{fingerprint: r.Fingerprint, request: r.Name, at: s.now})
		return
	}
	if len(e.unanswered) >= maxUnanswered {
		e.unanswered = e.unanswered[1:]
	}
	broken := a.Outcome == Broken
	e.unanswered = append(e.unanswered, unanswered{fingerprint: r.Fingerprint, request: r.Name, at: s.now, broken: broken})
	s.withUnanswered[e.incarnation()] = e
	if (broken || e.entryRemoved && !a.AnswerStarted) && !e.probing {
		e.probing = true
		s.emit(ProbeEndpoint{Endpoint: e.Endpoint})
	}
}

// endpointAnswered records an answer to a request that was sent at a time. The
// endpoint had not ended under the attempts that failed before.
func (s *State) endpointAnswered(e *endpoint, sent Instant) {
	e.answeredSent = max(e.answeredSent, sent)
	if sent > e.endedAt {
		e.endedAt = 0
	}
	if sent > e.refusedAt {
		e.refusedAt = 0
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
	switch ev.Result {
	case ProbeRefused:
		s.connectionRefused(e)
	case ProbeAccepted:
		for k := range e.unanswered {
			e.unanswered[k].accepted = true
		}
	case ProbeUnknown:
		if e.entryRemoved && s.zoneReachable(e.Zone) {
			s.endpointEnded(e, EntryRemoved)
		}
	}
}

// connectionRefused records that an endpoint's address refused a connection.
// Some partitions refuse connections in place of dropping packets, so this is no
// evidence until something else is heard from the endpoint's zone.
func (s *State) connectionRefused(e *endpoint) {
	if !s.members.knownInZone(e.Zone) {
		s.endpointEnded(e, ConnectionRefused)
		return
	}
	if e.refusedAt == 0 || s.now.Sub(e.refusedAt) > pathProofWindow {
		e.refusedAt = s.now
	}
	s.withUnanswered[e.incarnation()] = e
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
			s.endpointEnded(e, ConnectionRefused)
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
	known := e.endedAt != 0
	if evidence != EntryRemoved {
		e.endedAt = s.now
	}
	e.probing, e.refusedAt = false, 0
	attributed := 0
	for _, u := range e.unanswered {
		if evidence == EntryRemoved && u.accepted {
			continue
		}
		s.recordCrash(e, u)
		attributed++
	}
	e.unanswered = nil
	delete(s.withUnanswered, e.incarnation())
	if attributed > 0 || !known && evidence != EntryRemoved {
		s.count(CounterEndpointEnds, string(evidence))
		s.log("endpoint_ended", "endpoint", e.ID, "evidence", string(evidence), "unanswered", attributed)
	}
}

// recordCrash records that e ended while it ran a request.
func (s *State) recordCrash(e *endpoint, u unanswered) {
	before := len(s.crashes.Ends(u.fingerprint))
	if !s.crashes.AddEnd(u.fingerprint, e.incarnation(), crash.Time(u.at)) {
		return
	}
	s.count(CounterCrashes, "observed")
	s.log("crash_recorded", "request", u.request, "fingerprint", FormatFingerprint(u.fingerprint), "endpoint", e.ID,
		"incarnation", fmt.Sprintf("%x", uint64(e.incarnation())), "ends", before+1)
	s.endsAdded(u.fingerprint, before)
}

// requestCompleted records that a request did not crash its endpoint.
func (s *State) requestCompleted(r *request) {
	if dropped := s.crashes.AddCompletion(r.Fingerprint, crash.Time(s.now)); len(dropped) >= loggedEnds {
		s.log("crash_evidence_dropped", "request", r.Name, "fingerprint", FormatFingerprint(r.Fingerprint), "ends", len(dropped))
	}
}

// endsAdded refuses the queued requests with a fingerprint if the ends added to
// the given number have made it a suspect.
func (s *State) endsAdded(fingerprint uint64, before int) {
	if before >= crashThreshold || !s.crashes.Suspect(fingerprint) {
		return
	}
	s.log("crash_suspect", append([]any{"fingerprint", FormatFingerprint(fingerprint)}, s.crashBasis(fingerprint)...)...)
	for _, p := range s.poolOrder {
		for _, r := range slices.Clone(p.waiting) {
			if r.Fingerprint == fingerprint {
				p.dequeue(r)
				s.refuseHeld(r, CrashSuspect)
			}
		}
	}
}

// crashSuspect reports whether a request is refused because it crashes its
// endpoints. Attempts here that may have crashed an endpoint, but are not
// resolved yet, count if another one is known to have done so.
func (s *State) crashSuspect(fingerprint uint64) bool {
	ends := len(s.crashes.Ends(fingerprint))
	return ends >= crashThreshold || ends > 0 && ends+s.unresolvedAt(fingerprint) >= crashThreshold
}

// unresolvedAt returns the number of endpoints at which a request's connection
// broke and that have not shown since whether they ended.
func (s *State) unresolvedAt(fingerprint uint64) int {
	n := 0
	for _, e := range s.withUnanswered {
		if slices.ContainsFunc(e.unanswered, func(u unanswered) bool {
			return u.fingerprint == fingerprint && u.broken && !u.accepted
		}) {
			n++
		}
	}
	return n
}

// expireCrashes removes old evidence.
func (s *State) expireCrashes() {
	if s.now.Sub(s.crashesExpiredAt) < crashExpiryInterval {
		return
	}
	s.crashesExpiredAt = s.now
	s.crashes.Expire(crash.Time(s.now), s.endRefuted)
	for key, e := range s.withUnanswered {
		e.unanswered = slices.DeleteFunc(e.unanswered, func(u unanswered) bool { return s.now.Sub(u.at) > unansweredRetention })
		if s.now.Sub(e.refusedAt) > unansweredRetention {
			e.refusedAt = 0
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

// sendCrashNotice sends the crashes that this instance has observed since the
// last notice to all others at once. Complete reports repeat them.
func (s *State) sendCrashNotice() {
	s.sendCrashes(s.members.addresses(), s.crashes.TakeChanged(maxNoticedCrashes))
}

// sendCrashes sends records to other instances. An instance that leaves, but
// still serves open connections, receives them in reply to its reports.
func (s *State) sendCrashes(to []string, records []crash.Record) {
	if len(to) == 0 || len(records) == 0 {
		return
	}
	s.members.sequence++
	s.emit(SendReport{To: to, Report: Report{
		Incarnation: s.cfg.Incarnation, Sequence: s.members.sequence, Address: s.cfg.Address, Partial: true,
		Crashes: s.crashReport(records),
	}})
}

// crashReport returns records with the ages of what they contain.
func (s *State) crashReport(records []crash.Record) []Crash {
	var out []Crash
	for _, r := range records {
		c := Crash{Fingerprint: r.Fingerprint, Completed: r.Completed, CompletedAge: s.now.Sub(Instant(r.CompletedAt))}
		if !r.Completed {
			c.CompletedAge = 0
		}
		for _, e := range r.Ends {
			c.Ends = append(c.Ends, CrashEnd{Endpoint: e.Endpoint, Age: s.now.Sub(Instant(e.At))})
		}
		out = append(out, c)
	}
	return out
}

// mergeCrashes merges the evidence of another instance. Since merging is
// idempotent, it does not matter whether the report is the newest.
func (s *State) mergeCrashes(crashes []Crash, from string) {
	for _, c := range crashes {
		r := crash.Record{Fingerprint: c.Fingerprint, Completed: c.Completed, CompletedAt: crash.Time(s.now.Add(-c.CompletedAge))}
		for _, e := range c.Ends {
			end := crash.End{Endpoint: e.Endpoint, At: crash.Time(s.now.Add(-e.Age)), Source: from}
			if !s.endRefuted(end) {
				r.Ends = append(r.Ends, end)
			}
		}
		before := len(s.crashes.Ends(c.Fingerprint))
		for _, e := range s.crashes.Merge(r, crash.Time(s.now)) {
			s.endReported(c.Fingerprint, e)
		}
		s.endsAdded(c.Fingerprint, before)
	}
}

// endReported counts and logs an end that another instance observed.
func (s *State) endReported(fingerprint uint64, end crash.End) {
	s.count(CounterCrashes, "reported")
	if ends := len(s.crashes.Ends(fingerprint)); ends >= loggedEnds {
		s.log("crash_reported", "fingerprint", FormatFingerprint(fingerprint), "from", end.Source,
			"age_ms", s.now.Sub(Instant(end.At)).Milliseconds(), "ends", ends)
	}
}

// crashBasis returns the ends that count for a request, as log fields: the
// endpoint's incarnation, the age, and the instance that reported it.
func (s *State) crashBasis(fingerprint uint64) []any {
	var text []string
	for _, e := range s.crashes.Ends(fingerprint) {
		source := e.Source
		if source == "" {
			source = "observed"
		}
		text = append(text, fmt.Sprintf("%x/%dms/%s", uint64(e.Endpoint), s.now.Sub(Instant(e.At)).Milliseconds(), source))
	}
	return []any{"crash_ends", strings.Join(text, ","), "crash_unresolved", s.unresolvedAt(fingerprint)}
}

// FormatFingerprint returns the form of a request's fingerprint in the log.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
