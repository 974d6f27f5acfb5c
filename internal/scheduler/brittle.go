package scheduler

// brittleService is what is known of the brittleness of a service's endpoints, which
// begin and end to be brittle together.
type brittleService struct {
	Brittleness
	// sent is when the request was sent whose answer said so, received when its head
	// was.
	sent, received Instant
}

// observed is the source of a statement that this instance got from the endpoint.
const observed = "observed"

// brittlenessStated records what the head of an answer says. Of two statements whose
// order is unknown, the stricter one is believed.
func (s *State) brittlenessStated(r *request, stated Brittleness) {
	p := s.pool(r.Service)
	n, b := brittleService{stated, r.dispatched, s.now}, &p.brittle
	switch {
	case stated == b.Brittleness:
		b.sent, b.received = max(b.sent, n.sent), n.received
		return
	case n.sent < b.received && !n.stricter(b.Brittleness):
		return
	}
	s.count(CounterBrittle, observed)
	s.log("service_brittle", "service", p.service, "named", n.Named, "rejections", n.Rejections, "before", b.Named, "from", observed)
	*b = n
}

// stricter reports whether b allows fewer rejections than other.
func (b Brittleness) stricter(other Brittleness) bool {
	return b.Named && (!other.Named || b.Rejections < other.Rejections)
}
