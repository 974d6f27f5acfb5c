package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Crash constants.
const (
	// refuseAfterCrashes is the number of crashes after which a content is
	// refused.
	refuseAfterCrashes = 2
	// suspectTTL is how long a fingerprint is remembered.
	suspectTTL = 10 * time.Minute
	// crashWindow is how long broken runs of one endpoint wait for the
	// evidence that the endpoint itself went down.
	crashWindow = 3 * time.Second
)

// suspect is a content that was running when an endpoint crashed.
type suspect struct {
	crashes   int
	expiresAt Instant
}

// crashEvidence collects the runs of one endpoint that broke at about one time.
type crashEvidence struct {
	brokenFingerprints []uint64
	brokenAt           Instant
	// crashCounted says that the present outage is already attributed.
	crashCounted bool
}

// updateCrashEvidence notes a run that broke. A single broken connection is not a
// crash: the endpoint must refuse connections or report another start.
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
		// New work stops until a report or a connection says it is back.
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

// clearSuspect clears a content that was beside a crash once and has now run whole.
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

// endpointUnreachable is evidence of a crash where runs broke just before.
func (s *State) endpointUnreachable(e *endpoint) {
	e.unreachableUntil = s.now.Add(unreachableBackoff)
	s.confirmCrash(e)
}

// endpointRestarted is evidence too: the endpoint's own run is another one.
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

// attributeCrash adds one crash to each content that was running. If known
// suspects were among them, the others are innocent: only suspects count.
func (s *State) attributeCrash(e *endpoint) {
	known := false
	for _, f := range e.brokenFingerprints {
		known = known || s.isSuspect(f)
	}
	for _, f := range e.brokenFingerprints {
		if known && !s.isSuspect(f) {
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

// crashReported takes the larger count, so that repeating it changes nothing.
// A count of zero clears a content that was seen running whole.
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

// limitSuspects forgets the fingerprints that would expire first.
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

// refusedAsSuspect reports whether a content is refused for now.
func (s *State) refusedAsSuspect(f uint64) bool {
	return !s.cfg.Guards.NoCrashIsolate && s.isSuspect(f) && s.suspects[f].crashes >= refuseAfterCrashes
}

// separatesSuspects keeps two suspects apart, so that the next crash tells which
// of them it was.
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

// suspectFingerprints is for the status page: fingerprints with their crash counts.
func (s *State) suspectFingerprints() []uint64 {
	var all []uint64
	for f := range s.suspects {
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
