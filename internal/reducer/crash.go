package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Crash constants.
const (
	// crashesToRefuse is the number of crashes after which a content is
	// refused.
	crashesToRefuse = 2
	// suspectLife is how long a fingerprint is remembered.
	suspectLife = 10 * time.Minute
	// crashWindow is how long broken runs of one endpoint wait for the
	// evidence that the endpoint itself went down.
	crashWindow = 3 * time.Second
)

// suspect is a content that was running when an endpoint crashed.
type suspect struct {
	crashes int
	until   Instant
}

// crashWatch collects the runs of one endpoint that broke at about one time.
type crashWatch struct {
	broken   []uint64
	brokenAt Instant
	// counted says that the present outage is already attributed.
	counted bool
}

// watchCrash notes a run that broke. A single broken connection is not a
// crash: the endpoint must refuse connections or report another start.
func (s *State) watchCrash(e *endpoint, g *grant, r *peerpb.Release) {
	switch {
	case r.GetFailed() && !r.GetDispatched():
		s.endpointUnreachable(e)
	case r.GetCrashed():
		if s.now.Sub(e.brokenAt) > crashWindow {
			e.broken = nil
			e.counted = false
		}
		e.brokenAt = s.now
		if g != nil && g.fingerprint != 0 {
			e.broken = append(e.broken, g.fingerprint)
		}
		// New work stops until a report or a connection says it is back.
		e.unreachableUntil = max(e.unreachableUntil, s.now.Add(unreachableBackoff/4))
		if e.counted {
			s.attribute(e)
		}
	case r.GetDispatched():
		e.unreachableUntil = 0
		if g != nil {
			s.acquit(g.fingerprint)
		}
	}
}

// acquit clears a content that was beside a crash once and has now run whole.
func (s *State) acquit(f uint64) {
	if !s.suspected(f) || s.suspects[f].crashes >= crashesToRefuse {
		return
	}
	delete(s.suspects, f)
	s.tellSuspect(f, 0)
}

func (s *State) tellSuspect(f uint64, crashes int) {
	for _, p := range s.livePeers() {
		s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: &peerpb.CrashReport{
			Fingerprint: f, Crashes: uint32(crashes), ExpiresMs: uint32(suspectLife / time.Millisecond),
		}}})
	}
}

// endpointUnreachable is evidence of a crash where runs broke just before.
func (s *State) endpointUnreachable(e *endpoint) {
	e.unreachableUntil = s.now.Add(unreachableBackoff)
	s.crashed(e)
}

// endpointRestarted is evidence too: the endpoint's own run is another one.
func (s *State) endpointRestarted(e *endpoint) {
	e.prefixes.clear()
	e.samples, e.speedRatio, e.straggler = 0, 0, false
	e.unreachableUntil = 0
	s.crashed(e)
	s.emitOrders()
}

func (s *State) crashed(e *endpoint) {
	if s.now.Sub(e.brokenAt) > crashWindow || len(e.broken) == 0 {
		return
	}
	if !e.counted {
		s.count(CounterCrashes, "", 1)
		s.log("endpoint_crash", "endpoint", e.name, "running", len(e.broken))
	}
	e.counted = true
	s.attribute(e)
}

// attribute adds one crash to each content that was running. If known
// suspects were among them, the others are innocent: only suspects count.
func (s *State) attribute(e *endpoint) {
	known := false
	for _, f := range e.broken {
		known = known || s.suspected(f)
	}
	for _, f := range e.broken {
		if known && !s.suspected(f) {
			continue
		}
		s.blame(f)
	}
	e.broken = e.broken[:0]
}

func (s *State) suspected(f uint64) bool {
	x := s.suspects[f]
	return x != nil && s.now < x.until
}

func (s *State) blame(f uint64) {
	x := s.suspects[f]
	if x == nil || s.now >= x.until {
		x = &suspect{}
		s.suspects[f] = x
	}
	x.crashes++
	x.until = s.now.Add(suspectLife)
	s.boundSuspects()
	s.tellSuspect(f, x.crashes)
}

// crashReported takes the larger count, so that repeating it changes nothing.
// A count of zero clears a content that was seen running whole.
func (s *State) crashReported(r *peerpb.CrashReport) {
	x := s.suspects[r.GetFingerprint()]
	if r.GetCrashes() == 0 {
		if x != nil && x.crashes < crashesToRefuse {
			delete(s.suspects, r.GetFingerprint())
		}
		return
	}
	if x == nil || s.now >= x.until {
		x = &suspect{}
		s.suspects[r.GetFingerprint()] = x
	}
	x.crashes = max(x.crashes, int(r.GetCrashes()))
	x.until = max(x.until, s.now.Add(min(suspectLife, time.Duration(r.GetExpiresMs())*time.Millisecond)))
	s.boundSuspects()
}

// boundSuspects forgets the fingerprints that would expire first.
func (s *State) boundSuspects() {
	for len(s.suspects) > MaxSuspects {
		var oldest uint64
		var until Instant
		for f, x := range s.suspects {
			if oldest == 0 || x.until < until || x.until == until && f < oldest {
				oldest, until = f, x.until
			}
		}
		delete(s.suspects, oldest)
	}
}

// crashRefused reports whether a content is refused for now.
func (s *State) crashRefused(f uint64) bool {
	return !s.cfg.Guards.NoCrashIsolate && s.suspected(f) && s.suspects[f].crashes >= crashesToRefuse
}

// mayRunBeside keeps two suspects apart, so that the next crash tells which
// of them it was.
func (s *State) mayRunBeside(ep *endpoint, f uint64) bool {
	if s.cfg.Guards.NoCrashIsolate || len(s.suspects) == 0 || !s.suspected(f) {
		return true
	}
	for _, g := range ep.grants {
		if s.suspected(g.fingerprint) {
			return false
		}
	}
	return true
}

func (s *State) tickSuspects() {
	for f, x := range s.suspects {
		if s.now >= x.until {
			delete(s.suspects, f)
		}
	}
}

// suspectList is for the status page: fingerprints with their crash counts.
func (s *State) suspectList() []uint64 {
	var all []uint64
	for f := range s.suspects {
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
