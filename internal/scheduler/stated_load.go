package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/estimate"
)

// statedLoad is what an endpoint last said about its load with its slowness. at is when
// this instance received it, or zero.
type statedLoad struct {
	StatedLoad
	slowness estimate.Statement
	at       Instant
}

// loadStated records what an answer says about the load of its endpoint. Without a
// slowness the loads known from instances are better.
func (s *State) loadStated(e *endpoint, l StatedLoad) {
	if !l.SlownessStated {
		return
	}
	e.stated = statedLoad{l, e.stated.slowness.Stated(l.Slowness), s.now}
	if e.stated.slowness.Discarded() {
		s.count(CounterStatedLoads, "discarded")
	} else {
		s.count(CounterStatedLoads, "used")
	}
}

// slownessMeasured compares the stated slowness with the latency of a completed request
// relative to its route's mean.
func (e *endpoint) slownessMeasured(relative float64) {
	if e.stated.at != 0 {
		e.stated.slowness = e.stated.slowness.Measured(relative, e.relativeLatency)
	}
}

// pace returns the time that work is expected to take at the endpoint now, relative to its
// service. Without a stated slowness it is the usual time.
func (e *endpoint) pace(now Instant) float64 {
	if e.stated.at == 0 {
		return e.relativeLatency
	}
	return e.relativeLatency * e.stated.slowness.At(now.Sub(e.stated.at))
}

// estimateBasis returns the estimate for a request at an endpoint that states its slowness,
// with its inputs, as log fields.
func (s *State) estimateBasis(r *request, e *endpoint) []any {
	if e.stated.at == 0 {
		return nil
	}
	p := s.pool(r.Service)
	times := estimate.Endpoint{Load: max(e.load()-1, 0), Slots: e.slots, Pace: e.pace(s.now)}
	first := times.UntilFirstOutput(time.Duration(p.slotTime), time.Duration(p.runs[r.Route.Name].first))
	return []any{"stated_slowness", e.stated.Slowness, "stated_discarded", e.stated.slowness.Discarded(),
		"stated_age_ms", s.now.Sub(e.stated.at).Milliseconds(), "relative_latency", e.relativeLatency,
		"estimate_ms", first.Milliseconds()}
}
