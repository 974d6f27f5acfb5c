package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Crash constants.
const (
	// refuseAfterCrashes is the number of crashes after which a request with
	// the fingerprint is refused.
	refuseAfterCrashes = 2
	// suspectTTL is how long a fingerprint stays a suspect after its last crash.
	suspectTTL = 10 * time.Minute
	// crashWindow is how long broken runs of an endpoint are kept for evidence
	// that the endpoint itself went down.
	crashWindow = 3 * time.Second
)

// suspect counts the crashes of endpoints during runs with one fingerprint.
type suspect struct {
	crashes   int
	expiresAt Instant
}

// crashEvidence collects the runs of one endpoint that broke within a
// crashWindow.
type crashEvidence struct {
	brokenFingerprints []uint64
	brokenAt           Instant
	// crashCounted reports whether the current outage is already attributed.
	crashCounted bool
}

// updateCrashEvidence evaluates the end of a run. A single broken connection is
// not a crash: the endpoint must also refuse connections or report another start.
func (s *State) updateCrashEvidence(e *endpoint, g *grant, r *peerpb.Release) {
	switch {
	case r.GetFailed() && !r.GetDispatched():
		s.endpointUnreachable(e)
	case r.GetCrashed():
		if s.now.Sub(e.brokenAt) > crashWindow {
			e.brokenFingerprints = nil
			e.crashCounted = false
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
			s.clearSuspect(g.fingerprint)
		}
	}
}

// clearSuspect removes a suspect that was running during fewer crashes than
// refuseAfterCrashes and has now run to completion.
func (s *State) clearSuspect(f uint64) {
	if !s.isSuspect(f) || s.suspects[f].crashes >= refuseAfterCrashes {
		return
	}
	delete(s.suspects, f)
	s.sendCrashReport(f, 0)
}

func (s *State) sendCrashReport(f uint64, crashes int) {
	for _, p := range s.livePeers() {
		s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: &peerpb.CrashReport{
			Fingerprint: f, Crashes: uint32(crashes), ExpiresMs: uint32(suspectTTL / time.Millisecond),
		}}})
	}
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
		s.addCrash(f)
	}
	e.brokenFingerprints = e.brokenFingerprints[:0]
}

func (s *State) isSuspect(f uint64) bool {
	x := s.suspects[f]
	return x != nil && s.now < x.expiresAt
}

func (s *State) addCrash(f uint64) {
	x := s.suspects[f]
	if x == nil || s.now >= x.expiresAt {
		x = &suspect{}
		s.suspects[f] = x
	}
	x.crashes++
	x.expiresAt = s.now.Add(suspectTTL)
	s.limitSuspects()
	s.sendCrashReport(f, x.crashes)
}

// crashReported keeps the larger of its own and the reported count, so that a
// repeated report changes nothing. A count of zero clears a suspect that has run
// to completion at the sender.
func (s *State) crashReported(r *peerpb.CrashReport) {
	x := s.suspects[r.GetFingerprint()]
	if r.GetCrashes() == 0 {
		if x != nil && x.crashes < refuseAfterCrashes {
			delete(s.suspects, r.GetFingerprint())
		}
		return
	}
	if x == nil || s.now >= x.expiresAt {
		x = &suspect{}
		s.suspects[r.GetFingerprint()] = x
	}
	x.crashes = max(x.crashes, int(r.GetCrashes()))
	x.expiresAt = max(x.expiresAt, s.now.Add(min(suspectTTL, time.Duration(r.GetExpiresMs())*time.Millisecond)))
	s.limitSuspects()
}

// limitSuspects removes the suspects that expire first if there are more than
// MaxSuspects.
func (s *State) limitSuspects() {
	for len(s.suspects) > MaxSuspects {
		var oldest uint64
		var until Instant
		for f, x := range s.suspects {
			if oldest == 0 || x.expiresAt < until || x.expiresAt == until && f < oldest {
				oldest, until = f, x.expiresAt
			}
		}
		delete(s.suspects, oldest)
	}
}

// refusedAsSuspect reports whether requests with the fingerprint are refused.
func (s *State) refusedAsSuspect(f uint64) bool {
	return !s.cfg.Guards.NoCrashIsolate && s.isSuspect(f) && s.suspects[f].crashes >= refuseAfterCrashes
}

// separatesSuspects reports whether a request can run on the endpoint without
// two suspects running there together, so that the next crash shows which of
// them caused it.
func (s *State) separatesSuspects(ep *endpoint, f uint64) bool {
	if s.cfg.Guards.NoCrashIsolate || len(s.suspects) == 0 || !s.isSuspect(f) {
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
	for f, x := range s.suspects {
		if s.now >= x.expiresAt {
			delete(s.suspects, f)
		}
	}
}

// suspectFingerprints returns the sorted fingerprints of the suspects, for the
// status page.
func (s *State) suspectFingerprints() []uint64 {
	var all []uint64
	for f := range s.suspects {
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
