package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/crossing"
	"github.com/balsamstair/balsamstair/internal/routing"
)

const (
	// meanCrossingAssignments replaces meanRemoteAssignments where crossing is adaptive.
	// Unassigned endpoints elsewhere are no substitute, since instances of other zones
	// do not report their loads there to this instance.
	meanCrossingAssignments = 6
	// maxRemoteSharers limits the instances of other zones to which an endpoint is
	// assigned where crossing is adaptive, so that with maxLocalSharers they stay below
	// maxSharers.
	maxRemoteSharers = 24
	// holdWeight is the weight of a new sample in the mean times of a service.
	holdWeight = 0.05
	// tokenBytes is the size of a token in texts, in bytes, for the estimate of what left.
	tokenBytes = 4
)

// zoneCrossing is a service's part in crossings between zones.
type zoneCrossing struct {
	// hold is the mean time for which requests are at endpoints, answer the mean time
	// until answers begin at endpoints with a free slot; zero if none is known.
	hold, answer time.Duration
	// limiters limit the crossings by zone.
	limiters map[string]*crossing.Limiter
	// inbound is the fraction of the own zone's slots that requests of other zones hold,
	// by zone, as of inboundAt.
	inbound   map[string]float64
	inboundAt Instant
}

// departure is a request's crossing to another zone.
type departure struct {
	to       *endpoint
	reason   crossing.Reason
	facts    crossing.Facts
	decision crossing.Decision
	// pending is set from the dispatch until the result is known.
	pending bool
}

// zoneView is what a request may use: endpoints of the own zone in general, and the best
// ones with room of the own zone that are not assigned to this instance and of others.
type zoneView struct {
	// running is the number of this instance's requests at the own zone's endpoints.
	running    int
	nowhere    bool
	unassigned *endpoint
	there      *endpoint
}

// crossingAdapts reports whether crossings of a service follow package crossing.
func (s *State) crossingAdapts(p *pool) bool { return s.cfg.AdaptiveCrossing && !p.brittle.Named }

// staysInZone reports whether an endpoint is used only by a decision to leave. Permits
// divide the rate of endpoints that limit it among all instances, and streams that go on
// have a choice of few endpoints.
func (s *State) staysInZone(p *pool, r *request, e *endpoint) bool {
	return !s.shares(e) && s.crossingAdapts(p) && !r.bound && !e.limited()
}

// shares reports whether an endpoint is of the own zone, or of the zone whose endpoints
// this instance shares while its own has none.
func (s *State) shares(e *endpoint) bool { return e.Zone == s.cfg.Zone || e.preferred }

// reviewZone returns the request to be dispatched next and its endpoint, or nil, given
// those that the own zone allows.
func (s *State) reviewZone(p *pool, r *request, e *endpoint) (*request, *endpoint) {
	switch {
	case !s.crossingAdapts(p) || e != nil && (e.load() < e.slots || !s.shares(e) || r.bound):
		return r, e
	case e != nil:
		if x := s.leaveFor(p, r, s.viewZones(p, r), s.expect(p, r, e)); x != nil {
			return r, x
		}
		return r, e
	}
	var common *zoneView
	for ahead, r := range p.waiting {
		constrained := s.constrained(r, p)
		if r.bound || !constrained && common != nil && common.unassigned == nil && common.there == nil {
			continue
		}
		view := common
		if view == nil || constrained {
			v := s.viewZones(p, r)
			view = &v
		}
		if !constrained {
			common = view
		}
		here := crossing.Estimate{
			Wait:   time.Duration(ahead+1) * p.crossing.holdTime(r) / time.Duration(max(view.running, 1)),
			Answer: p.crossing.answerTime(r),
		}
		if x := s.leaveFor(p, r, *view, here); x != nil {
			return r, x
		}
	}
	return nil, nil
}

// leaveFor returns the endpoint for which a request leaves its own zone's assigned
// endpoints, or nil if it stays.
func (s *State) leaveFor(p *pool, r *request, v zoneView, here crossing.Estimate) *endpoint {
	target := r.arrived.Add(r.Route.Target)
	f := crossing.Facts{
		Here: here, Nowhere: v.nowhere,
		QueueLeft: r.queueDeadline(maxQueueTime(r.Route.Target)).Sub(s.now), ToTarget: target.Sub(s.now), ToDeadline: r.Deadline.Sub(s.now),
		PromptTokens: r.PromptTokens, AnswerTokens: max(r.Tokens-r.PromptTokens, 0),
	}
	if v.there != nil {
		f.There, f.Load, f.Slots = s.expect(p, r, v.there), v.there.load(), v.there.slots
		f.Inbound = s.inboundFrom(p, v.there.Zone)
	}
	d := crossing.Decide(f, s.cfg.CrossingCost)
	switch {
	case d.Reason == crossing.InTimeHere:
		return nil
	case v.unassigned != nil:
		return v.unassigned
	case !d.Leave:
		return nil
	}
	r.departure = &departure{to: v.there, reason: d.Reason, facts: f, decision: d}
	return v.there
}

// viewZones returns what a request may use.
func (s *State) viewZones(p *pool, r *request) zoneView {
	v := zoneView{nowhere: true}
	v.unassigned, _ = s.chooseAmong(p, r, true)
	bestCost := 0.0
	for _, e := range p.endpoints {
		if r.hasTried(e) || !s.mayRun(r, e) || e.unassigned {
			continue
		}
		if s.shares(e) {
			v.running += e.ownRunning
			v.nowhere = v.nowhere && !s.usable(e) && !s.resumesSoon(e)
			continue
		}
		load := e.load()
		if e.limited() || !s.usable(e) || e.ownRunning >= e.window || !crossing.HasRoom(load, e.slots, s.loadAge(e)) || !p.crossing.limiter(e.Zone).Allows(s.elapsed()) {
			continue
		}
		if cost := s.placementCost(e, load); v.there == nil || cost < bestCost {
			v.there, bestCost = e, cost
		}
	}
	return v
}

// resumesSoon reports whether a usable endpoint only pauses after a rejection.
func (s *State) resumesSoon(e *endpoint) bool {
	until := e.pausedUntil
	e.pausedUntil = 0
	usable := s.usable(e)
	e.pausedUntil = until
	return usable && until.Sub(s.now) <= rejectionPause
}

// expect returns the estimate for a request at an endpoint.
func (s *State) expect(p *pool, r *request, e *endpoint) crossing.Estimate {
	return crossing.Expect(e.load(), e.slots, e.backlog(), e.relativeLatency, p.crossing.holdTime(r), p.crossing.answerTime(r), s.loadAge(e))
}

// loadAge returns the mean time since the other instances that use an endpoint were heard.
// An instance reports each change of a shared load at once, so that silence means no
// change, or a loss.
func (s *State) loadAge(e *endpoint) time.Duration {
	sharers := e.sharers
	if sharers == nil {
		sharers = s.members.addresses()
	}
	total := time.Duration(0)
	for _, a := range sharers {
		if x := s.members.byAddress[a]; x != nil {
			total += s.now.Sub(x.heardAt)
		}
	}
	return total / time.Duration(max(len(sharers), 1))
}

// inboundFrom returns the fraction of the own zone's slots, at the endpoints assigned to
// this instance, that requests of a zone's instances hold.
func (s *State) inboundFrom(p *pool, zone string) float64 {
	c := &p.crossing
	if c.inbound != nil && s.now.Sub(c.inboundAt) < TickInterval {
		return c.inbound[zone]
	}
	c.inbound, c.inboundAt = map[string]float64{}, s.now
	zones := map[uint64]string{}
	for _, x := range s.members.byAddress {
		zones[x.incarnation] = x.zone
	}
	slots := 0
	for _, e := range p.endpoints {
		if e.Zone != s.cfg.Zone || e.unassigned {
			continue
		}
		slots += e.slots
		for incarnation, l := range e.otherLoads {
			c.inbound[zones[incarnation]] += float64(l.Running)
		}
	}
	for z := range c.inbound {
		c.inbound[z] /= float64(max(slots, 1))
	}
	return c.inbound[zone]
}

// elapsed returns the time since the start of the process.
func (s *State) elapsed() time.Duration { return s.now.Sub(s.started) }

func (c *zoneCrossing) limiter(zone string) *crossing.Limiter {
	l := c.limiters[zone]
	if l == nil {
		if c.limiters == nil {
			c.limiters = map[string]*crossing.Limiter{}
		}
		l = &crossing.Limiter{}
		c.limiters[zone] = l
	}
	return l
}

// holdTime returns the mean time for which a request holds a slot. Before any has ended,
// a request is assumed to take its whole target.
func (c *zoneCrossing) holdTime(r *request) time.Duration {
	if c.hold == 0 {
		return r.Route.Target
	}
	return c.hold
}

// answerTime returns the mean time until a request meets its target: to the first event
// of a stream, or to the end of another answer.
func (c *zoneCrossing) answerTime(r *request) time.Duration {
	if r.Route.Kind != routing.Stream {
		return c.hold
	}
	return c.answer
}

func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += time.Duration(holdWeight * float64(sample-*mean))
}

// departs records the dispatch of a request and returns log fields if it leaves its zone
// by a decision of package crossing.
func (s *State) departs(r *request, e *endpoint) []any {
	r.hadRoom = e.load() <= e.slots
	d := r.departure
	if d == nil || d.to != e {
		r.departure = nil
		return nil
	}
	d.pending = true
	l := s.pool(r.Service).crossing.limiter(e.Zone)
	l.Sent(s.elapsed())
	label := e.Zone + "/" + string(d.reason)
	s.count(CounterCrossings, label)
	s.emit(Counted{Counter: CounterCrossingBytes, Label: label, Delta: int64(tokenBytes * (d.facts.PromptTokens + d.facts.AnswerTokens))})
	return []any{"crossing_to", e.Zone, "crossing_reason", string(d.reason), "here_ms", d.facts.Here.Time().Milliseconds(),
		"here_age_ms", d.facts.Here.Age.Milliseconds(), "there_ms", d.facts.There.Time().Milliseconds(), "there_age_ms", d.facts.There.Age.Milliseconds(),
		"crossing_gain_ms", d.decision.Gain.Milliseconds(), "crossing_cost_ms", d.decision.Cost.Milliseconds(),
		"crossing_inbound_percent", int(100 * d.facts.Inbound), "crossing_window", l.Window()}
}

// answerTimed records when an answer began. It is called before the end of the prefill.
func (s *State) answerTimed(r *request) {
	if !r.prefilling {
		return
	}
	after := s.now.Sub(r.dispatched)
	if r.hadRoom && r.departure == nil {
		updateMean(&s.pool(r.Service).crossing.answer, after)
	}
	if r.Route.Kind == routing.Stream {
		s.crossingEnded(r, r.departure.began(after))
	}
}

// began returns the result of a crossing whose request met its target after a time.
func (d *departure) began(after time.Duration) crossing.Result {
	if d == nil {
		return crossing.Unclear
	}
	return crossing.Began(after, d.facts.There.Time()+crossing.RoundTrip)
}

// attemptTimed records the end of an attempt.
func (s *State) attemptTimed(r *request, a Attempt) {
	after := s.now.Sub(r.dispatched)
	if a.Outcome == Completed {
		updateMean(&s.pool(r.Service).crossing.hold, after)
	}
	switch a.Outcome {
	case Completed:
		s.crossingEnded(r, r.departure.began(after))
	case Abandoned, Failed, Misdirected:
		s.crossingEnded(r, crossing.Unclear)
	default:
		s.crossingEnded(r, crossing.Rejected)
	}
}

// crossingEnded passes the result of a request's crossing to the limiter, once.
func (s *State) crossingEnded(r *request, result crossing.Result) {
	if d := r.departure; d != nil && d.pending {
		d.pending = false
		s.pool(r.Service).crossing.limiter(d.to.Zone).Ended(s.elapsed(), r.dispatched.Sub(s.started), result)
	}
}

// remoteSharers returns the number of instances of other zones to which an endpoint is
// assigned, given the service's endpoints elsewhere.
func (s *State) remoteSharers(instances, endpoints int) int {
	n := remoteSharers(instances, endpoints)
	if s.cfg.AdaptiveCrossing {
		n = max(n, min(ceilDiv(meanCrossingAssignments*instances, endpoints), maxRemoteSharers))
	}
	return n
}
