package scheduler

import (
	"math"
	"time"
)

const (
	// restSpread is the time over which instances return to an endpoint after the rest
	// that it asked them for.
	restSpread = 500 * time.Millisecond
)

// restAsked leaves an endpoint out for the time that it asked this instance for, and
// returns to it slowly: other instances may return at the same moment. Others are asked
// themselves.
func (s *State) restAsked(e *endpoint, d time.Duration) {
	s.count(CounterRests, "asked")
	s.log("endpoint_rest", "endpoint", e.ID, "for_ms", d.Milliseconds(), "running", e.ownRunning)
	e.restUntil = max(e.restUntil, s.now.Add(d+time.Duration(s.rand.Int64N(int64(restSpread)))))
	e.window = ceilDiv(e.slots+endpointQueueDepth, s.instancesUsing(e))
}

// restWait returns the time until an endpoint of a pool takes requests again, if all
// that are not leaving rest, and zero otherwise.
func (s *State) restWait(p *pool) time.Duration {
	first := Instant(math.MaxInt64)
	for _, e := range p.endpoints {
		if e.Leaving {
			continue
		}
		if e.restUntil <= s.now {
			return 0
		}
		first = min(first, e.restUntil)
	}
	if first == math.MaxInt64 {
		return 0
	}
	return first.Sub(s.now)
}

// shedResting refuses the queued requests that would leave the queue before an endpoint
// takes requests again.
func (s *State) shedResting(p *pool) {
	wait := s.restWait(p)
	if wait == 0 {
		return
	}
	var refused []*request
	for _, r := range p.waiting {
		if s.now.Add(wait) > r.queueDeadline(maxQueueTime(r.Route.Target)) {
			refused = append(refused, r)
		}
	}
	for _, r := range refused {
		p.dequeue(r)
		s.refuseHeld(r, EndpointsResting)
	}
}
