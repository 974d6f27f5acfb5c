package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Parameters of placement and of the detection of stragglers.
const (
	// stragglerRatio is the fraction of its class's mean speed below which an
	// endpoint is a straggler.
	stragglerRatio = 0.4
	// stragglerRecoveryRatio is the fraction above which it no longer is one.
	stragglerRecoveryRatio = 0.7
	// stragglerMinSamples is the number of measurements needed to classify an
	// endpoint as a straggler.
	stragglerMinSamples = 3
	// probeInterval is the time between probes of a straggler.
	probeInterval = 2 * time.Second
	// speedSampleWeight is the weight of one measurement in the moving average.
	speedSampleWeight = 0.3
	// unreachableBackoff is how long an endpoint receives no new work after it
	// refused a connection.
	unreachableBackoff = 2 * time.Second
	// reportMaxAge is the age from which a load report is ignored.
	reportMaxAge = 5 * time.Second
	// defaultServiceSeconds is the assumed duration of a service call if no
	// rate is declared.
	defaultServiceSeconds = 0.05
	// durationCorrectionWeight is the weight of one run in durationCorrection.
	durationCorrectionWeight = 0.05
)

// performance is what the owner has measured of an endpoint.
type performance struct {
	// speedRatio is the moving average of estimated over measured time; 1 is
	// the declared rate of the class.
	speedRatio float64
	samples    int
	straggler  bool
	probedAt   Instant
	// unreachableUntil is the time until which the endpoint receives no new
	// work after a failure.
	unreachableUntil Instant
	report           EndpointReport
	reportedAt       Instant
	hasReport        bool
}

// estimateSlotSeconds estimates how long an entry occupies a slot, averaged over
// the pool's slots: prefill, then decode at the rate of one slot of a full
// endpoint. Endpoints are weighted by their slots, since that is how often each
// is used.
func (s *State) estimateSlotSeconds(p *pool, e *queueEntry) float64 {
	sum, slots := 0.0, 0
	for _, ep := range p.owned {
		sum += declaredRunSeconds(ep, e.promptTokens, e.outputTokens) * float64(ep.slots)
		slots += ep.slots
	}
	if slots == 0 {
		return defaultServiceSeconds
	}
	return sum / float64(slots) * p.durationCorrection
}

// estimateCharge estimates the endpoint seconds of an entry, averaged over the
// pool's endpoints. Prefill occupies the whole endpoint, whereas a decode step
// serves all its slots; in slot seconds, long prompts would cost almost nothing.
func (s *State) estimateCharge(p *pool, e *queueEntry) float64 {
	sum, slots := 0.0, 0
	for _, ep := range p.owned {
		sum += endpointSeconds(ep, e.promptTokens, e.outputTokens) * float64(ep.slots)
		slots += ep.slots
	}
	if slots == 0 {
		return defaultServiceSeconds
	}
	return sum / float64(slots)
}

func endpointSeconds(ep *endpoint, prompt, output int) float64 {
	c := ep.class
	if c == nil || c.Kind != declared.KindEngine || c.PrefillTokensPerSecond <= 0 || c.DecodeTokensPerSecond <= 0 {
		return declaredRunSeconds(ep, prompt, output) / float64(max(1, ep.slots))
	}
	return float64(prompt)/float64(c.PrefillTokensPerSecond) + float64(output)/float64(c.DecodeTokensPerSecond)
}

// declaredRunSeconds returns the duration of a run by the declared rates of the
// endpoint's class.
func declaredRunSeconds(ep *endpoint, prompt, output int) float64 {
	c := ep.class
	if c == nil || c.Kind != declared.KindEngine {
		if c != nil && c.CallsPerSecond > 0 {
			return float64(ep.slots) / float64(c.CallsPerSecond)
		}
		return defaultServiceSeconds
	}
	seconds := 0.001
	if c.PrefillTokensPerSecond > 0 {
		seconds += float64(prompt) / float64(c.PrefillTokensPerSecond)
	}
	if c.DecodeTokensPerSecond > 0 {
		seconds += float64(output) * float64(ep.slots) / float64(c.DecodeTokensPerSecond)
	}
	return seconds
}

// estimateRunSeconds estimates the duration of a run on this endpoint. It takes
// into account the endpoint's measured speed and the prefill saved if the prefix
// is cached there.
func (s *State) estimateRunSeconds(ep *endpoint, e *queueEntry) float64 {
	prompt := e.promptTokens
	if ep.prefixes.has(e.prefix) {
		prompt /= 8
	}
	cost := declaredRunSeconds(ep, prompt, e.outputTokens)
	if ep.speedRatio > 0 {
		cost /= ep.speedRatio
	}
	return cost
}

// available reports whether an endpoint may receive new work.
func (s *State) available(e *endpoint) bool {
	if e.leaving() {
		return false
	}
	if e.hasReport && s.now.Sub(e.reportedAt) >= ReportTimeout || !e.hasReport && s.now.Sub(e.ownedSince) < ReportTimeout {
		return false
	}
	return s.now >= e.unreachableUntil
}

// place selects an endpoint with a free slot for an entry, or returns nil.
func (s *State) place(p *pool, e *queueEntry) *endpoint {
	if s.cfg.Policy != PolicyCost {
		return s.placeBaseline(p, e)
	}
	var best *endpoint
	bestScore := 0.0
	for _, ep := range p.owned {
		if !s.canPlace(ep, e) {
			continue
		}
		score := s.score(ep, e)
		if best == nil || score < bestScore {
			best, bestScore = ep, score
		}
	}
	if best != nil && best.straggler {
		best.probedAt = s.now
	}
	return best
}

// canPlace reports whether a free slot of the endpoint may be granted to the
// entry.
func (s *State) canPlace(ep *endpoint, e *queueEntry) bool {
	if len(ep.grants) >= ep.grantableSlots() || !s.available(ep) {
		return false
	}
	if ep.straggler && (len(ep.grants) > 0 || s.now.Sub(ep.probedAt) < probeInterval) {
		return false
	}
	return s.separatesSuspects(ep, e.fingerprint)
}

// score estimates the duration of the run on the endpoint under its current
// load. The load is what this owner has in flight; a report of more running work
// raises it, with a weight that decreases with the report's age.
func (s *State) score(ep *endpoint, e *queueEntry) float64 {
	inFlight := float64(len(ep.grants))
	if ep.hasReport {
		age := s.now.Sub(ep.reportedAt) + ep.report.Age
		if age < reportMaxAge {
			fresh := 1 - float64(age)/float64(reportMaxAge)
			inFlight += fresh * max(0, float64(ep.report.Running+ep.report.Waiting)-inFlight)
		}
	}
	load := inFlight / float64(max(1, ep.slots))
	score := s.estimateRunSeconds(ep, e) * (1 + load)
	if ep.straggler {
		score += 1e6
	}
	return score
}

// placeBaseline implements the baseline policies for measurements.
func (s *State) placeBaseline(p *pool, e *queueEntry) *endpoint {
	var free []*endpoint
	for _, ep := range p.owned {
		if len(ep.grants) < ep.grantableSlots() && s.available(ep) {
			free = append(free, ep)
		}
	}
	if len(free) == 0 {
		return nil
	}
	switch s.cfg.Policy {
	case PolicyRandom:
		return free[mix(uint64(e.key.request)^uint64(e.key.holder))%uint64(len(free))]
	case PolicyRoundRobin:
		p.nextRoundRobin++
		return free[p.nextRoundRobin%len(free)]
	default:
		best := free[0]
		for _, ep := range free {
			if len(ep.grants) < len(best.grants) {
				best = ep
			}
		}
		return best
	}
}

// updateEstimates compares a finished run with its estimate.
func (s *State) updateEstimates(ep *endpoint, g *grant, r *peerpb.Release) {
	if !r.GetDispatched() || r.GetFailed() || r.GetElapsedMs() == 0 {
		return
	}
	prompt := int(r.GetPromptTokens()) - int(r.GetCachedTokens())
	expected := declaredRunSeconds(ep, max(0, prompt), int(r.GetOutputTokens()))
	measured := float64(r.GetElapsedMs()) / 1000
	ratio := min(10, max(0.01, expected/measured))
	if ep.samples == 0 {
		ep.speedRatio = ratio
	} else {
		ep.speedRatio += speedSampleWeight * (ratio - ep.speedRatio)
	}
	ep.samples++
	s.updateStraggler(ep)
	for _, m := range ep.models {
		if p := s.pools[m]; p != nil && !ep.straggler {
			estimated := declaredRunSeconds(ep, g.promptTokens, g.outputTokens)
			p.durationCorrection += durationCorrectionWeight * (min(4, max(0.05, measured/estimated)) - p.durationCorrection)
		}
	}
}

// updateStraggler compares an endpoint with the others of its class.
func (s *State) updateStraggler(ep *endpoint) {
	mean, n := 0.0, 0
	for _, e := range s.endpointOrder {
		if e != ep && e.class == ep.class && e.samples > 0 && !e.straggler {
			mean += e.speedRatio
			n++
		}
	}
	if n == 0 {
		return
	}
	mean /= float64(n)
	switch {
	case !ep.straggler && ep.samples >= stragglerMinSamples && ep.speedRatio < stragglerRatio*mean:
		s.setStraggler(ep, true)
	case ep.straggler && ep.speedRatio > stragglerRecoveryRatio*mean:
		s.setStraggler(ep, false)
	}
}

func (s *State) setStraggler(ep *endpoint, slow bool) {
	ep.straggler = slow
	ep.probedAt = s.now
	label := "taken_back"
	if slow {
		label = "found"
	}
	s.count(CounterStragglers, label, 1)
	s.log("straggler", "endpoint", ep.name, "verdict", label, "speed", ep.speedRatio)
}

// endpointReported handles a load report.
func (s *State) endpointReported(ev EndpointReported) {
	e := s.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	if ev.Report.Unreachable {
		s.endpointUnreachable(e)
		return
	}
	restarted := e.hasReport && e.report.Started != ev.Report.Started
	e.report, e.reportedAt, e.hasReport = ev.Report, s.now, true
	if restarted {
		s.endpointRestarted(e)
	}
	if leaving := ev.Report.Leaving && !s.cfg.Guards.NoLeavingCheck; e.reportedLeaving != leaving {
		e.reportedLeaving = leaving
		s.log("endpoint_leaving", "endpoint", e.name, "leaving", ev.Report.Leaving)
		s.rebuildPools()
		s.declineUnowned()
		s.rebalanceRequests()
		s.refuseWithoutPool()
	}
	s.grantFreeSlots()
}

// cacheChanged applies an engine's cache event. Events may be lost.
func (s *State) cacheChanged(ev CacheChanged) {
	e := s.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	if ev.Held {
		e.prefixes.add(ev.Prefix)
	} else {
		e.prefixes.remove(ev.Prefix)
	}
}

// tickEndpoints has no timeouts of its own: slots that become usable by the
// passage of time (unreachable endpoints, probes) are found by grantFreeSlots.
func (s *State) tickEndpoints() {
	s.dropDeadReporters()
	s.grantFreeSlots()
}

// estimateWaitSeconds estimates how long a new entry of a rank waits here.
func (s *State) estimateWaitSeconds(p *pool, rank int) float64 {
	return s.drainSeconds(p, rank, p.slotSecondsAhead(rank))
}

// estimateEntryWaitSeconds estimates how long an entry at the end of its
// organisation's queue waits here. A long queue of one organisation does not
// lengthen the wait of the others.
func (s *State) estimateEntryWaitSeconds(e *queueEntry) float64 {
	p := e.pool
	ahead := p.slotSecondsAhead(e.rank-1) + p.tiers[e.rank-1].slotSecondsBefore(e.organisation) - e.slotSeconds
	return s.drainSeconds(p, e.rank, max(0, ahead))
}

// drainSeconds estimates how long the slots need for the work that is served
// before a new entry of a rank.
func (s *State) drainSeconds(p *pool, rank int, ahead float64) float64 {
	slots := 0
	running := 0.0
	free := 0
	for _, e := range p.owned {
		if !s.available(e) || e.straggler {
			continue
		}
		slots += e.slots
		free += max(0, e.grantableSlots()-len(e.grants))
		running += e.remainingSeconds(s.now)
	}
	if slots == 0 {
		return 10
	}
	if free > 0 && ahead == 0 {
		return 0
	}
	// Work that arrives for higher tiers in the meantime is served first too.
	left := max(minSlotFraction*float64(slots), float64(slots)-p.arrivalRateAhead(rank, s.now))
	return (ahead + running/2) / left
}

// minSlotFraction is the fraction of the slots that a tier is assumed to receive
// regardless of the work that arrives for the tiers above it.
const minSlotFraction = 0.05
