package scheduler

import (
	"math"
	"time"
)

// maxLimitedWaitFraction is the largest fraction of the time until its deadline
// that a request waits for a permit.
const maxLimitedWaitFraction = 1.0 / 3

// permitTransit covers the resolution of the owner's bucket and the way of a permit
// to its holder.
const permitTransit = 4 * TickInterval

// allLimited reports whether every endpoint of a pool that takes requests has a
// rate limit. The sum of the limits is then the capacity of the service.
func (s *State) allLimited(p *pool) bool {
	if len(s.limits) == 0 {
		return false
	}
	found := false
	for _, e := range p.endpoints {
		if e.Leaving || e.evacuated || s.now < e.suspendedUntil {
			continue
		}
		if !e.limited() {
			return false
		}
		found = true
	}
	return found
}

// limitedRate returns the requests per second that this instance may expect to
// send if all endpoints have limits: its equal part of the limits, or what it
// sends in fact if that is more.
func (s *State) limitedRate(p *pool) float64 {
	rate := 0.0
	for _, e := range p.endpoints {
		if !e.Leaving && !e.evacuated && !e.unassigned && e.limited() {
			rate += e.limit.effective() / float64(s.instancesUsing(e))
		}
	}
	return max(rate, p.dispatches.perSecond)
}

// limitedWait returns how long a request waits for a permit at most: half of its
// target as for a slot, or until the next permit is due, if its caller can wait
// that long.
func (r *request) limitedWait(rate float64) time.Duration {
	untilPermit := time.Duration(math.MaxInt64)
	if rate > 0 {
		untilPermit = secondsToDuration(1/(permitRateFraction*rate)) + permitTransit
	}
	patience := time.Duration(maxLimitedWaitFraction * float64(max(r.Deadline.Sub(r.arrived), 0)))
	return max(maxQueueTime(r.Route.Target), min(untilPermit, patience))
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}

// shedLimited refuses the least urgent of the queued requests that the limits of
// the endpoints leave no chance to be sent in time.
func (s *State) shedLimited(p *pool) {
	if len(p.waiting) < 2 || !s.allLimited(p) {
		return
	}
	rate := s.limitedRate(p)
	for k := len(p.waiting) - 1; k > 0; k-- {
		r := p.waiting[k]
		if r.mayHaveRun {
			continue
		}
		if float64(k+1) <= rate*r.limitedWait(rate).Seconds() {
			return
		}
		p.dequeue(r)
		s.refuseHeld(r, LimitReached)
	}
}

// limitedRetryAfter returns the time after which the requests that are queued
// now will have been sent.
func (s *State) limitedRetryAfter(r *request) time.Duration {
	p := s.pool(r.Service)
	pause := minRetryAfter
	if rate := s.limitedRate(p); rate > 0 {
		pause = max(pause, secondsToDuration(float64(len(p.waiting)+1)/rate))
	}
	return s.jitteredRetryAfter(r, pause)
}
