package scheduler

import "time"

// restAsked records that an endpoint wants no request from this instance for a time.
func (s *State) restAsked(e *endpoint, d time.Duration) {
	s.count(CounterRests, "asked")
	s.log("endpoint_rest", "endpoint", e.ID, "for_ms", d.Milliseconds(), "running", e.ownRunning)
}
