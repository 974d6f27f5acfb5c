package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"google.golang.org/protobuf/proto"
)

// Crash constants.
const (
	// refuseAfterCrashes is the number of crashes after which a request with
	// the fingerprint is refused.
	refuseAfterCrashes = 2
	// crashWindow is how long broken runs of an endpoint are kept for evidence
	// that the endpoint itself went down.
	crashWindow = 3 * time.Second
)

// crashEvidence collects the runs of one endpoint that broke within a
// crashWindow.
type crashEvidence struct {
	brokenFingerprints []uint64
	brokenAt           Instant
	// crashCounted reports whether the current outage is already attributed, and
	// countedAt since when. A run that was granted later belongs to another outage.
	crashCounted bool
	countedAt    Instant
	// brokenProcess is the start of the endpoint's process when the runs broke.
	// outages counts the outages before the current one that began while that
	// process was the latest known.
	brokenProcess uint64
	outages       int
}

// updateCrashEvidence evaluates the end of a run. A single broken connection is
// not a crash: the endpoint must also refuse connections or report another start.
func (s *State) updateCrashEvidence(e *endpoint, g *grant, r *peerpb.Release) {
	switch {
	case r.GetFailed() && !r.GetDispatched():
		s.endpointUnreachable(e)
	case r.GetCrashed():
		grantedSince := e.crashCounted && g != nil && g.grantedAt > e.countedAt
		if s.now.Sub(e.brokenAt) > crashWindow || grantedSince {
			e.beginOutage()
		}
		e.brokenAt = s.now
		if g != nil && g.fingerprint != 0 {
			e.brokenFingerprints = append(e.brokenFingerprints, g.fingerprint)
		}
		// The endpoint receives no new work for a short time, unless a report or a
		// connection shows earlier that it is available.
		e.unreachableUntil = max(e.unreachableUntil, s.now.Add(unreachableBackoff/4))
		if e.crashCounted {
			s.attributeCrash(e)
		}
	case r.GetDispatched():
		e.unreachableUntil = 0
		if g != nil {
			s.runCompleted(g.fingerprint)
		}
	}
}

// beginOutage discards the runs that broke in an earlier outage.
func (e *endpoint) beginOutage() {
	switch {
	case e.brokenProcess != e.report.Started:
		e.outages = 0
	case e.crashCounted:
		e.outages++
	}
	e.brokenProcess = e.report.Started
	e.brokenFingerprints = nil
	e.crashCounted = false
}

// outage identifies the current outage. Two owners that see the same one agree.
func (e *endpoint) outage() crash.Incarnation {
	return crash.IncarnationOf(e.name+"/"+strconv.FormatUint(e.brokenProcess, 10), int64(e.outages))
}

// runCompleted drops the crashes counted for a request that has now completed.
func (s *State) runCompleted(f uint64) {
	if len(s.suspects.AddAcquittal(crash.RequestCause(f), crash.Time(s.now))) > 0 {
		s.broadcastCrashReport(f)
	}
}

func (s *State) broadcastCrashReport(f uint64) {
	if r, known := s.suspects.Get(crash.RequestCause(f)); known {
		for _, p := range s.livePeers() {
			s.sendCrashReport(p.id, r)
		}
	}
}

// sendSuspectsTo informs a new peer of all suspects.
func (s *State) sendSuspectsTo(to Incarnation) {
	for _, r := range s.suspects.All() {
		s.sendCrashReport(to, r)
	}
}

func (s *State) sendCrashReport(to Incarnation, r crash.Record) {
	m := &peerpb.CrashReport{
		Fingerprint: r.Cause.ID, Crashes: uint32(len(r.Ends)), ExpiresMs: uint32(crash.Retention / time.Millisecond),
	}
	if r.Acquitted {
		m.CompletedAgeMs = proto.Uint32(s.ageMs(r.AcquittedAt))
	}
	for _, e := range r.Ends {
		m.Ends = append(m.Ends, &peerpb.CrashEnd{Endpoint: uint64(e.Endpoint), AgeMs: s.ageMs(e.At)})
	}
	s.send(to, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: m}})
}

func (s *State) ageMs(at crash.Time) uint32 {
	return uint32((crash.Time(s.now) - at) / time.Millisecond)
}

// endpointUnreachable handles an endpoint that cannot be reached. This is
// evidence of a crash if runs broke within the last crashWindow.
func (s *State) endpointUnreachable(e *endpoint) {
	e.unreachableUntil = s.now.Add(unreachableBackoff)
	s.confirmCrash(e)
}

// endpointRestarted handles a report of another start, which is also evidence of
// a crash. The estimates and cached prefixes of the former process are dropped.
func (s *State) endpointRestarted(e *endpoint) {
	e.prefixes.clear()
	e.samples, e.speedRatio, e.straggler = 0, 0, false
	e.unreachableUntil = 0
	s.confirmCrash(e)
	s.emitOrders()
}

func (s *State) confirmCrash(e *endpoint) {
	if s.now.Sub(e.brokenAt) > crashWindow || len(e.brokenFingerprints) == 0 {
		return
	}
	if !e.crashCounted {
		s.count(CounterCrashes, "", 1)
		s.log("endpoint_crash", "endpoint", e.name, "running", len(e.brokenFingerprints))
		e.countedAt = s.now
	}
	e.crashCounted = true
	s.attributeCrash(e)
}

// attributeCrash counts one crash for each fingerprint whose run broke. If known
// suspects are among them, it counts the crash for those only and assumes that
// the others did not cause it.
func (s *State) attributeCrash(e *endpoint) {
	hasSuspect := false
	for _, f := range e.brokenFingerprints {
		hasSuspect = hasSuspect || s.isSuspect(f)
	}
	for _, f := range e.brokenFingerprints {
		if hasSuspect && !s.isSuspect(f) {
			continue
		}
		s.addCrash(f, e.outage())
	}
	e.brokenFingerprints = e.brokenFingerprints[:0]
}

func (s *State) isSuspect(f uint64) bool { return len(s.suspects.Ends(crash.RequestCause(f))) > 0 }

func (s *State) addCrash(f uint64, outage crash.Incarnation) {
	if s.suspects.AddEnd(crash.RequestCause(f), outage, crash.Time(s.now)) {
		s.broadcastCrashReport(f)
		s.declineSuspect(f)
	}
}

// declineSuspect declines the queued requests with a fingerprint if it is
// refused.
func (s *State) declineSuspect(f uint64) {
	if !s.refusedAsSuspect(f) {
		return
	}
	for _, p := range s.poolOrder {
		for _, e := range sortedEntries(p) {
			if e.fingerprint == f {
				s.decline(e, refusal.CrashSuspect, 0)
			}
		}
	}
}

// crashReported merges the crashes that another instance knows.
func (s *State) crashReported(m *peerpb.CrashReport) {
	at := func(ageMs uint32) crash.Time { return crash.Time(s.now.Add(-time.Duration(ageMs) * time.Millisecond)) }
	r := crash.Record{Cause: crash.RequestCause(m.GetFingerprint()), Acquitted: m.CompletedAgeMs != nil, AcquittedAt: at(m.GetCompletedAgeMs())}
	for _, e := range m.GetEnds() {
		r.Ends = append(r.Ends, crash.End{Endpoint: crash.Incarnation(e.GetEndpoint()), At: at(e.GetAgeMs())})
	}
	if added, _ := s.suspects.Merge(r, crash.Time(s.now)); len(added) > 0 {
		s.declineSuspect(r.Cause.ID)
	}
}

// refusedAsSuspect reports whether requests with the fingerprint are refused.
func (s *State) refusedAsSuspect(f uint64) bool {
	return !s.cfg.Guards.NoCrashIsolate && len(s.suspects.Ends(crash.RequestCause(f))) >= refuseAfterCrashes
}

// separatesSuspects reports whether a request can run on the endpoint without
// two suspects running there together, so that the next crash shows which of
// them caused it.
func (s *State) separatesSuspects(ep *endpoint, f uint64) bool {
	if s.cfg.Guards.NoCrashIsolate || !s.isSuspect(f) {
		return true
	}
	for _, g := range ep.grants {
		if s.isSuspect(g.fingerprint) {
			return false
		}
	}
	return true
}

func (s *State) tickSuspects() {
	s.suspects.Expire(crash.Time(s.now), func(crash.End) bool { return false })
}

// suspectFingerprints returns the sorted fingerprints of the suspects, for the
// status page.
func (s *State) suspectFingerprints() []uint64 {
	var all []uint64
	for _, r := range s.suspects.All() {
		all = append(all, r.Cause.ID)
	}
	slices.Sort(all)
	return all
}
