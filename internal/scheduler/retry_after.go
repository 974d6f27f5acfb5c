package scheduler

import "time"

const (
	// retryLeast and retrySpread bound the pause that a refused caller is told
	// to make: long enough for a queue to clear, spread so that a crowd does
	// not return together.
	retryLeast  = 250 * time.Millisecond
	retrySpread = 900 * time.Millisecond
	// retryShare is the largest part of a caller's remaining time that it
	// spends on waiting; callers honour up to a third.
	retryShare = 0.3
)

// retryAfter returns when a refused caller should come back.
func (s *State) retryAfter(r *request) time.Duration {
	return s.retryWithin(r, retryLeast)
}

// retryWithin returns a spread pause of at least the given one, cut to what
// the caller can spare.
func (s *State) retryWithin(r *request, least time.Duration) time.Duration {
	left := r.CallerDeadline.Sub(s.now)
	most := time.Duration(retryShare * float64(max(left, 0)))
	pause := least + time.Duration(s.rand.Int64N(int64(retrySpread)))
	if pause <= most {
		return pause
	}
	// Spread over the upper half of what is possible.
	return most/2 + time.Duration(s.rand.Int64N(int64(most/2)+1))
}
