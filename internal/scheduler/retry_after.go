package scheduler

import "time"

const (
	// minRetryAfter and retryAfterJitter bound the pause requested of a refused
	// caller: long enough for a queue to clear, and spread so that callers do not
	// return at the same time.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterJitter = 900 * time.Millisecond
	// maxRetryAfterFraction is the largest fraction of a caller's remaining time
	// to be spent on waiting; callers honour up to a third.
	maxRetryAfterFraction = 0.3
)

// retryAfter returns the time after which a refused caller should retry.
func (s *State) retryAfter(r *request) time.Duration {
	return s.jitteredRetryAfter(r, minRetryAfter)
}

// jitteredRetryAfter returns a random pause of at least the given one, limited
// by the caller's remaining time.
func (s *State) jitteredRetryAfter(r *request, minPause time.Duration) time.Duration {
	remaining := r.CallerDeadline.Sub(s.now)
	maxPause := time.Duration(maxRetryAfterFraction * float64(max(remaining, 0)))
	pause := minPause + time.Duration(s.rand.Int64N(int64(retryAfterJitter)))
	if pause <= maxPause {
		return pause
	}
	// Spread over the upper half of the possible range.
	return maxPause/2 + time.Duration(s.rand.Int64N(int64(maxPause/2)+1))
}
