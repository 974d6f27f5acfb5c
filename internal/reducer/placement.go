package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Placement constants.
const (
	// stragglerRatio is the part of its kind's usual speed below which an
	// endpoint counts as a straggler.
	stragglerRatio = 0.4
	// stragglerReturn is the part at which it is taken back.
	stragglerReturn = 0.7
	// stragglerSamples is how many measurements a verdict needs.
	stragglerSamples = 3
	// probeInterval is the time between probes of a straggler.
	probeInterval = 2 * time.Second
	// speedWeight is the weight of one measurement in the moving average.
	speedWeight = 0.3
	// unreachableFor is how long an endpoint that refused a connection gets
	// no new work.
	unreachableFor = 2 * time.Second
	// reportLife is the age beyond which a load report says nothing.
	reportLife = 5 * time.Second
	// defaultServiceSeconds is the first guess for a call of a service.
	defaultServiceSeconds = 0.05
	// serviceErrorWeight is the weight of one run in a pool's learnt error.
	serviceErrorWeight = 0.05
)

// performance is what an owner has measured of an endpoint.
type performance struct {
	// speed is the moving average of estimated over measured time; 1 is the
	// class's declared rate.
	speed     float64
	samples   int
	straggler bool
	probedAt  Instant
	// unreachableUntil ends the time without new work after a failure.
	unreachableUntil Instant
	report           EndpointReport
	reportedAt       Instant
	reported         bool
}

// estimateService returns the slot seconds of an entry on the pool's mean slot:
// prefill, then decode at the rate of one slot of a full endpoint. Unlike
// endpoints count by their slots, since that is how often each is used.
func (s *State) estimateService(p *pool, e *entry) float64 {
	sum, slots := 0.0, 0
	for _, on := range p.owned {
		sum += classSeconds(on, e.prompt, e.output) * float64(on.slots)
		slots += on.slots
	}
	if slots == 0 {
		return defaultServiceSeconds
	}
	return sum / float64(slots) * p.serviceError
}

// estimateCharge returns the endpoint seconds of an entry on the pool's mean
// endpoint. Reading a prompt holds up the whole endpoint, a decode step serves
// all its slots: counted in slot seconds, long prompts would be nearly free.
func (s *State) estimateCharge(p *pool, e *entry) float64 {
	sum, slots := 0.0, 0
	for _, on := range p.owned {
		sum += endpointSeconds(on, e.prompt, e.output) * float64(on.slots)
		slots += on.slots
	}
	if slots == 0 {
		return defaultServiceSeconds
	}
	return sum / float64(slots)
}

func endpointSeconds(on *endpoint, prompt, output int) float64 {
	c := on.class
	if c == nil || c.Kind != declared.KindEngine || c.PrefillTokensPerSecond <= 0 || c.DecodeTokensPerSecond <= 0 {
		return classSeconds(on, prompt, output) / float64(max(1, on.slots))
	}
	return float64(prompt)/float64(c.PrefillTokensPerSecond) + float64(output)/float64(c.DecodeTokensPerSecond)
}

// classSeconds is the time that a run should take by the class's declared
// rates.
func classSeconds(on *endpoint, prompt, output int) float64 {
	c := on.class
	if c == nil || c.Kind != declared.KindEngine {
		if c != nil && c.CallsPerSecond > 0 {
			return float64(on.slots) / float64(c.CallsPerSecond)
		}
		return defaultServiceSeconds
	}
	seconds := 0.001
	if c.PrefillTokensPerSecond > 0 {
		seconds += float64(prompt) / float64(c.PrefillTokensPerSecond)
	}
	if c.DecodeTokensPerSecond > 0 {
		seconds += float64(output) * float64(on.slots) / float64(c.DecodeTokensPerSecond)
	}
	return seconds
}

// costOn is the estimated seconds that a run takes on this endpoint: unlike
// hardware by its own measured speed, prefill saved where the prefix is.
func (s *State) costOn(on *endpoint, e *entry) float64 {
	prompt := e.prompt
	if on.prefixes.has(e.prefix) {
		prompt /= 8
	}
	cost := classSeconds(on, prompt, e.output)
	if on.speed > 0 {
		cost /= on.speed
	}
	return cost
}

// available reports whether an endpoint may get new work at all.
func (s *State) available(e *endpoint) bool {
	if e.leaving() {
		return false
	}
	if e.reported && s.now.Sub(e.reportedAt) >= ReportWait || !e.reported && s.now.Sub(e.ownedAt) < ReportWait {
		return false
	}
	return s.now >= e.unreachableUntil
}

// place chooses an endpoint with a free slot for an entry, or nil.
func (s *State) place(p *pool, e *entry) *endpoint {
	if s.cfg.Policy != PolicyCost {
		return s.placeBaseline(p, e)
	}
	var best *endpoint
	bestScore := 0.0
	for _, on := range p.owned {
		if !s.admits(on, e) {
			continue
		}
		score := s.score(on, e)
		if best == nil || score < bestScore {
			best, bestScore = on, score
		}
	}
	if best != nil && best.straggler {
		best.probedAt = s.now
	}
	return best
}

// admits reports whether a free slot of the endpoint may go to the entry.
func (s *State) admits(on *endpoint, e *entry) bool {
	if len(on.grants) >= on.grantable() || !s.available(on) {
		return false
	}
	if on.straggler && (len(on.grants) > 0 || s.now.Sub(on.probedAt) < probeInterval) {
		return false
	}
	return s.mayRunBeside(on, e.fingerprint)
}

// score estimates when the run would be finished there: what this owner has
// in flight leads; a report of more running work corrects it by its age.
func (s *State) score(on *endpoint, e *entry) float64 {
	inFlight := float64(len(on.grants))
	if on.reported {
		age := s.now.Sub(on.reportedAt) + on.report.Age
		if age < reportLife {
			fresh := 1 - float64(age)/float64(reportLife)
			inFlight += fresh * max(0, float64(on.report.Running+on.report.Waiting)-inFlight)
		}
	}
	load := inFlight / float64(max(1, on.slots))
	score := s.costOn(on, e) * (1 + load)
	if on.straggler {
		score += 1e6
	}
	return score
}

// placeBaseline is what the product is measured against.
func (s *State) placeBaseline(p *pool, e *entry) *endpoint {
	var free []*endpoint
	for _, on := range p.owned {
		if len(on.grants) < on.grantable() && s.available(on) {
			free = append(free, on)
		}
	}
	if len(free) == 0 {
		return nil
	}
	switch s.cfg.Policy {
	case PolicyRandom:
		return free[mix(uint64(e.key.request)^uint64(e.key.holder))%uint64(len(free))]
	case PolicyRoundRobin:
		p.robin++
		return free[p.robin%len(free)]
	default:
		best := free[0]
		for _, on := range free {
			if len(on.grants) < len(best.grants) {
				best = on
			}
		}
		return best
	}
}

// learn compares a finished run with what was expected of it.
func (s *State) learn(on *endpoint, g *grant, r *peerpb.Release) {
	if !r.GetDispatched() || r.GetFailed() || r.GetElapsedMs() == 0 {
		return
	}
	prompt := int(r.GetPromptTokens()) - int(r.GetCachedTokens())
	expected := classSeconds(on, max(0, prompt), int(r.GetOutputTokens()))
	measured := float64(r.GetElapsedMs()) / 1000
	ratio := min(10, max(0.01, expected/measured))
	if on.samples == 0 {
		on.speed = ratio
	} else {
		on.speed += speedWeight * (ratio - on.speed)
	}
	on.samples++
	s.judge(on)
	for _, m := range on.models {
		if p := s.pools[m]; p != nil && !on.straggler {
			estimated := classSeconds(on, g.prompt, g.output)
			p.serviceError += serviceErrorWeight * (min(4, max(0.05, measured/estimated)) - p.serviceError)
		}
	}
}

// judge compares an endpoint with others of its own class.
func (s *State) judge(on *endpoint) {
	usual, n := 0.0, 0
	for _, e := range s.endpointOrder {
		if e != on && e.class == on.class && e.samples > 0 && !e.straggler {
			usual += e.speed
			n++
		}
	}
	if n == 0 {
		return
	}
	usual /= float64(n)
	switch {
	case !on.straggler && on.samples >= stragglerSamples && on.speed < stragglerRatio*usual:
		s.setStraggler(on, true)
	case on.straggler && on.speed > stragglerReturn*usual:
		s.setStraggler(on, false)
	}
}

func (s *State) setStraggler(on *endpoint, slow bool) {
	on.straggler = slow
	on.probedAt = s.now
	label := "taken_back"
	if slow {
		label = "found"
	}
	s.count(CounterStragglers, label, 1)
	s.log("straggler", "endpoint", on.name, "verdict", label, "speed", on.speed)
}

// endpointReported takes a load report.
func (s *State) endpointReported(ev EndpointReported) {
	e := s.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	if ev.Report.Unreachable {
		s.endpointUnreachable(e)
		return
	}
	restarted := e.reported && e.report.Started != ev.Report.Started
	e.report, e.reportedAt, e.reported = ev.Report, s.now, true
	if restarted {
		s.endpointRestarted(e)
	}
	if leaving := ev.Report.Leaving && !s.cfg.Guards.NoLeavingCheck; e.reportedLeaving != leaving {
		e.reportedLeaving = leaving
		s.log("endpoint_leaving", "endpoint", e.name, "leaving", ev.Report.Leaving)
		s.rebuildPools()
		s.dropUnservable()
		s.rebalanceAsks()
		s.refuseOrphans()
	}
	s.fillAll()
}

// cacheChanged follows an engine's cache events as far as they come.
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

// tickEndpoints has nothing to time out of its own: places open by time alone
// (unreachable endpoints, probes) are found by fillAll.
func (s *State) tickEndpoints() {
	s.forgetBarriers()
	s.fillAll()
}

// waitSeconds estimates how long a new entry of that rank waits here.
func (s *State) waitSeconds(p *pool, rank int) float64 {
	return s.drainSeconds(p, rank, p.serviceAhead(rank))
}

// waitOf estimates how long an entry at the end of its organisation's line
// waits here: a long line of one organisation does not lengthen the others'.
func (s *State) waitOf(e *entry) float64 {
	p := e.pool
	ahead := p.serviceAhead(e.rank-1) + p.tiers[e.rank-1].serviceBefore(e.organisation) - e.service
	return s.drainSeconds(p, e.rank, max(0, ahead))
}

// drainSeconds estimates how long the slots take for work that goes before a
// new entry of that rank.
func (s *State) drainSeconds(p *pool, rank int, ahead float64) float64 {
	slots := 0
	running := 0.0
	free := 0
	for _, e := range p.owned {
		if !s.available(e) || e.straggler {
			continue
		}
		slots += e.slots
		free += max(0, e.grantable()-len(e.grants))
		running += e.remaining(s.now)
	}
	if slots == 0 {
		return 10
	}
	if free > 0 && ahead == 0 {
		return 0
	}
	// What arrives for higher tiers meanwhile goes first as well.
	left := max(leastPart*float64(slots), float64(slots)-p.rateAhead(rank, s.now))
	return (ahead + running/2) / left
}

// leastPart is the part of the slots that a tier is thought to get however
// much arrives for the tiers above it.
const leastPart = 0.05
