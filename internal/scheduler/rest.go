package scheduler

import "time"

// restAsked records that an endpoint wants no request from this instance for a time.
func (s *State) restAsked(e *endpoint, d time.Duration) {
	s.count(CounterRests, "asked")
	s.log("endpoint_rest", "endpoint", e.ID, "for_ms", d.Milliseconds(), "running", e.ownRunning)
}

// leavingStated records that an endpoint has said that it is about to leave.
func (s *State) leavingStated(e *endpoint) {
	if e.leavingSaid {
		return
	}
	e.leavingSaid = true
	s.count(CounterLeaving, observed)
	s.log("endpoint_leaving", "endpoint", e.ID, "from", observed, "listed_leaving", e.Leaving)
}
