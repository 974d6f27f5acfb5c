package scheduler

// answerReceived records what the head of an answer says about the rate limit
// of its endpoint.
func (s *State) answerReceived(id RequestID, stated RateLimit) {
	r := s.requests[id]
	if r == nil || r.endpoint == nil {
		return
	}
	e := r.endpoint
	s.count(CounterLimitStatements, "observed")
	if stated != e.limit {
		s.log("endpoint_limit", "endpoint", e.ID, "named", stated.Named, "per_second", stated.PerSecond,
			"before", e.limit.PerSecond, "request", r.Name, "sent_ms", s.now.Sub(r.dispatched).Milliseconds())
	}
	e.limit, e.limitStatedAt = stated, s.now
}
