package scheduler

import "time"

const (
	// minRetryAfter and retryAfterJitter bound the pause requested of a refused
	// caller: long enough for a queue to clear, and spread so that callers do not
	// return at the same time.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterJitter = 900 * time.Millisecond
	// maxRetryAfterFraction is the largest fraction of the time until the
	// caller's deadline that a pause may take. Callers wait for at most a third
	// of that time.
	maxRetryAfterFraction = 0.3
)

// retryAfter returns the time after which a refused caller should retry.
func (s *State) retryAfter(r *request) time.Duration {
	return s.jitteredRetryAfter(r, minRetryAfter)
}

// jitteredRetryAfter returns minPause plus a random time of less than
// retryAfterJitter. If that exceeds maxRetryAfterFraction of the time until the
// caller's deadline, it returns a random pause within that limit, which may be
// shorter than minPause.
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
