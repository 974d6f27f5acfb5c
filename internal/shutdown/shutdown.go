// Package shutdown decides which requests an instance that is stopping still begins.
//
// A stopping instance is told when it has to be gone, and ends what still runs shortly
// before. Callers lose less by a refusal, which is certain not to have run and which
// another instance can take at once, than by a request that is broken off. So a request
// begins only if it can be expected to end in time.
//
// The inputs are those of one instance: the end of the request's own time, and the longest
// recent run of its route (as old as the last hundred or so completed requests).
// internal/scheduler calls the package for each request that arrives or waits while the
// instance stops. The package does no I/O and reads no clock.
package shutdown

import "time"

// Time is a point in time on the monotonic clock of this instance.
type Time = time.Duration

const (
	// onceMargin multiplies the longest run of requests that may run only once: their
	// callers can't repeat one that was broken off.
	onceMargin = 2
	// decay is the weight of a shorter run in the longest one, so that a single long run
	// does not count for ever.
	decay = 0.01
)

// Request is what is known of a request.
type Request struct {
	// Deadline is when the request ends at the latest.
	Deadline Time
	// Repeatable is set if the caller, or another instance, may send it again after it has
	// run.
	Repeatable bool
	// Longest is the longest recent run of its route, zero if none is known.
	Longest time.Duration
}

// MayBegin reports whether the request can be expected to end by end.
func (r Request) MayBegin(now, end Time) bool {
	longest := r.Longest
	if !r.Repeatable {
		longest *= onceMargin
	}
	switch {
	case now >= end:
		return false
	case r.Deadline <= end:
		return true
	}
	return longest > 0 && now+longest <= end
}

// UpdateLongest returns the longest recent run after a further one.
func UpdateLongest(longest, run time.Duration) time.Duration {
	if run >= longest {
		return run
	}
	return longest - time.Duration(decay*float64(longest-run))
}
