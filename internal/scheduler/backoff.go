package scheduler

import (
	"math"
	"time"
)

// backoffSpread is the time over which instances return to an endpoint after the backoff
// that it requested.
const backoffSpread = 500 * time.Millisecond

// backoffRequested sends an endpoint no requests for the time that it requested from this
// instance, and increases its load slowly afterwards: other instances may return at the
// same moment. They receive requests of their own.
func (s *State) backoffRequested(e *endpoint, d time.Duration) {
	s.count(CounterRests, "asked")
	s.log("endpoint_rest", "endpoint", e.ID, "for_ms", d.Milliseconds(), "running", e.ownRunning)
	e.backoffUntil = max(e.backoffUntil, s.now.Add(d+time.Duration(s.rand.Int64N(int64(backoffSpread)))))
	e.window = ceilDiv(e.slots+endpointQueueDepth, s.instancesUsing(e))
}

// backoffWait returns the time until an endpoint of a pool accepts requests again if all
// that are not draining are in backoff, and zero otherwise.
func (s *State) backoffWait(p *pool) time.Duration {
	first := Instant(math.MaxInt64)
	for _, e := range p.endpoints {
		if e.Leaving || e.evacuated {
			continue
		}
		if e.backoffUntil <= s.now {
			return 0
		}
		first = min(first, e.backoffUntil)
	}
	if first == math.MaxInt64 {
		return 0
	}
	return first.Sub(s.now)
}

// refuseDuringBackoff refuses the queued requests that would leave the queue before an
// endpoint accepts requests again.
func (s *State) refuseDuringBackoff(p *pool) {
	wait := s.backoffWait(p)
	if wait == 0 {
		return
	}
	var refused []*request
	for _, r := range p.waiting {
		if s.now.Add(wait) > s.leavesQueueAt(r) {
			refused = append(refused, r)
		}
	}
	for _, r := range refused {
		p.dequeue(r)
		s.refuseHeld(r, EndpointsResting)
	}
}
