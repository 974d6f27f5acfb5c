package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/shutdown"
)

// stopRetryAfter is the time after which a caller should return that a stopping instance
// refuses: others can take its request at once.
const stopRetryAfter = 50 * time.Millisecond

// stopRequested lets the instance leave. What has not ended at endsAt is broken off; zero
// means that nothing is.
func (s *State) stopRequested(endsAt Instant) {
	s.leaving, s.endsAt = true, endsAt
	s.assignPermitOwners()
	for _, p := range s.poolOrder {
		s.assignBrittleOwners(p)
	}
	s.sendCrashNotice()
	s.sendLimitNotice()
	s.sendReports(s.members.addresses())
	s.refuseUnfinishable()
}

// endsInTime reports whether a request that begins now can be expected to end before this
// instance does.
func (s *State) endsInTime(r *request) bool {
	if !s.leaving || s.endsAt == 0 {
		return true
	}
	facts := shutdown.Request{
		Deadline:   shutdown.Time(r.Deadline),
		Repeatable: r.Route.Retryable(),
		Longest:    s.pool(r.Service).runs[r.Route.Name].longest,
	}
	return facts.MayBegin(shutdown.Time(s.now), shutdown.Time(s.endsAt))
}

// refuseUnfinishable refuses the waiting requests that can't end before this instance does.
func (s *State) refuseUnfinishable() {
	if !s.leaving {
		return
	}
	for _, p := range s.poolOrder {
		for _, r := range slices.Concat(p.waiting, p.held, p.looking) {
			if !s.endsInTime(r) {
				s.refuseWaiting(p, r, InstanceStopping)
			}
		}
	}
}
