package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/warmup"
)

const (
	// coldBurstTime is the time for which unused permits of a cold endpoint accumulate. It
	// is shorter than that of others: the full rate is issued, and permits of one second
	// may be used in the next.
	coldBurstTime = 100 * time.Millisecond
	// coldSettleTime is the time after the start within which an instance may take itself
	// for the owner of a limit since it has not discovered the others. It issues no permits
	// for cold endpoints meanwhile unless it is the only instance.
	coldSettleTime = 2 * time.Second
)

// coldListed records what an endpoint's entry says about its coldness. added is set for a
// process that was not listed before.
func (s *State) coldListed(e *endpoint, entry directory.Endpoint, revision int64, added bool) {
	now := warmup.Time(s.now)
	if added {
		g, gone := s.gone[e.incarnation()]
		e.warmup = g.warmup
		if !gone && !s.listingAll && !entry.ColdStated && s.table != nil {
			if service := s.table.Service(entry.Service); service != nil {
				e.warmup.Started(service.ColdStart, revision, now)
			}
		}
	}
	if entry.ColdStated {
		e.warmup.Stated(entry.ColdRemaining, revision, now)
	}
	s.updateCold(e)
}

// updateCold begins or ends the limit of a cold endpoint.
func (s *State) updateCold(e *endpoint) {
	service, rate := 0.0, 0.0
	if s.table != nil {
		if x := s.table.Service(e.Service); x != nil {
			service = x.ColdPerSecond
		}
	}
	rate = e.warmup.Rate(service, warmup.Time(s.now))
	before := 0.0
	if e.limit != nil {
		before = e.limit.cold
	}
	if rate == before {
		return
	}
	if e.limit == nil {
		e.limit = &endpointLimit{loggedAt: s.now}
		s.limits = append(s.limits, e)
	}
	limited := e.limited()
	e.limit.cold = rate
	switch {
	case limited && !e.limited():
		s.limitLifted(e)
	case !limited && e.limited():
		s.limitBegun(e)
	}
	if (rate > 0) != (before > 0) {
		label := "warm"
		if rate > 0 {
			label = "cold"
		}
		s.count(CounterCold, label)
		s.log("endpoint_cold", "endpoint", e.ID, "cold", rate > 0, "per_second", rate, "remaining_ms",
			e.warmup.Remaining(warmup.Time(s.now)).Milliseconds(), "stated", e.ColdStated, "revision", e.revision,
			"owner", e.limit.owner, "from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
	}
}

// tickCold ends the limits of endpoints that are no longer cold.
func (s *State) tickCold() {
	for _, e := range slices.Clone(s.limits) {
		if e.limit.cold > 0 {
			s.updateCold(e)
		}
	}
}

// coldFiguresChanged applies a new configuration to the endpoints that are cold.
func (s *State) coldFiguresChanged() {
	for _, p := range s.poolOrder {
		for _, e := range p.endpoints {
			s.updateCold(e)
		}
	}
}

// coldUnsettled reports whether this instance may not know the owner of a cold endpoint's
// limit yet.
func (s *State) coldUnsettled() bool {
	return s.now.Sub(s.started) < coldSettleTime && !s.members.singleInstance()
}
