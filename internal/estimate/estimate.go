// Package estimate computes how long a request will wait for its first output at an
// endpoint, from its load, its usual speed and the slowness that it states.
//
// The inputs are facts of one instance: the load that the instances report to each other,
// the endpoint's latency relative to that of its service (a moving average of own
// requests) and the slowness that the endpoint stated in an own answer, with its age. A
// slowness is true for about 0.6 s, so its weight falls with its age. One that can't be
// true is discarded. internal/scheduler calls the package when it compares endpoints that
// state their slowness and when a request has completed there. The package does no I/O and
// reads no clock.
package estimate

import (
	"math"
	"time"
)

const (
	// halfLife is the age at which a stated slowness counts half. Endpoints are slowed for
	// about 0.6 s at a time, so that after 0.3 s half of the slowed ones are so no more, and
	// those that are not slowed remain so for longer.
	halfLife = 400 * time.Millisecond
	// minSlowness and maxSlowness bound what can be true. An endpoint that works ten times
	// as fast or slowly as usual is not slowed but broken, or states another unit.
	minSlowness, maxSlowness = 0.1, 10.0
	// maxContradictions is the number of completed requests that contradict an unchanged
	// slowness, without one that confirms it, after which it is discarded.
	maxContradictions = 6
	// usualRange is the factor by which a slowness must differ from 1 so that the time of
	// one request can contradict it: the times of requests differ by about as much.
	usualRange = 1.2
)

// Statement is the slowness that an endpoint states: the time that its work takes relative
// to the usual time. The zero value is none.
type Statement struct {
	Slowness float64
	// contradictions counts the completed requests that contradict the slowness since it
	// last changed.
	contradictions int
}

// Stated returns the statement that follows s if the endpoint states a slowness.
func (s Statement) Stated(slowness float64) Statement {
	if slowness == s.Slowness {
		return s
	}
	return Statement{Slowness: slowness}
}

// Measured returns the statement after a completed request. measured and usual are the
// times of the request and of the endpoint's usual ones in the same unit.
func (s Statement) Measured(measured, usual float64) Statement {
	deviation := math.Abs(math.Log(s.Slowness))
	if !s.plausible() || deviation < math.Log(usualRange) || measured <= 0 || usual <= 0 {
		return s
	}
	ratio := math.Log(measured / usual)
	switch {
	case math.Abs(ratio-math.Log(s.Slowness)) <= math.Abs(ratio):
		s.contradictions = 0
	case s.contradictions < maxContradictions:
		s.contradictions++
	}
	return s
}

// Discarded reports whether the statement is not used since it can't be true.
func (s Statement) Discarded() bool {
	return !s.plausible() || s.contradictions >= maxContradictions
}

func (s Statement) plausible() bool { return s.Slowness >= minSlowness && s.Slowness <= maxSlowness }

// At returns the expected slowness when the statement has the given age.
func (s Statement) At(age time.Duration) float64 {
	if s.Discarded() {
		return 1
	}
	return 1 + math.Exp2(-float64(max(age, 0))/float64(halfLife))*(s.Slowness-1)
}

// Endpoint is what is known of an endpoint.
type Endpoint struct {
	// Load is the number of its requests, Slots how many it runs at a time.
	Load, Slots int
	// Pace is the time that its work takes now relative to a usual endpoint.
	Pace float64
}

// UntilFreeSlot returns the expected time until a slot is free, if requests hold one for
// slotTime at a usual endpoint.
func (e Endpoint) UntilFreeSlot(slotTime time.Duration) time.Duration {
	slots := max(e.Slots, 1)
	return scale(slotTime, float64(max(e.Load-slots+1, 0))/float64(slots)*e.Pace)
}

// UntilFirstOutput returns the expected time until the first output of a request that has
// it after firstOutput at a usual endpoint with a free slot.
func (e Endpoint) UntilFirstOutput(slotTime, firstOutput time.Duration) time.Duration {
	return e.UntilFreeSlot(slotTime) + scale(firstOutput, e.Pace)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, math.MaxInt64/4))
}
