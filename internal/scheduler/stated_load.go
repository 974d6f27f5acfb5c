package scheduler

// statedLoad is what an endpoint last said about its load with its slowness. at is when
// this instance received it, or zero.
type statedLoad struct {
	StatedLoad
	at Instant
}

// loadStated records what an answer says about the load of its endpoint. Without a
// slowness the loads known from instances are better.
func (s *State) loadStated(e *endpoint, l StatedLoad) {
	if l.SlownessStated {
		e.stated = statedLoad{l, s.now}
		s.count(CounterStatedLoads, "stated")
	}
}
