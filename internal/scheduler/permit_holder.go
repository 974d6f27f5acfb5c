package scheduler

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// permitLifetime is how long a permit is valid, from when the owner issued it
	// at the latest.
	permitLifetime = 300 * time.Millisecond
	// askInterval is the time after which an ask is repeated, as it or the grant
	// may be lost, and minAskInterval the least time between two asks.
	askInterval    = 500 * time.Millisecond
	minAskInterval = 10 * time.Millisecond
	// askedInstances is the number of instances up to which askInterval applies.
	// With more it grows with their number, so that the owner receives a constant
	// number of asks per second.
	askedInstances = 8
	// idleTime is the time without a request for a service after which an instance
	// stops to ask for permits in advance.
	idleTime = time.Second
	// advanceTime is the time for whose requests permits are asked in advance.
	advanceTime = 100 * time.Millisecond
	// maxWanted limits the permits that an instance asks for at a time.
	maxWanted = 64
	// notUrgent is the urgency of an ask in advance.
	notUrgent = math.MaxUint32
)

// permitHolder holds the permits of an instance for one endpoint.
type permitHolder struct {
	// permits are the times until which the permits are valid, in order.
	permits []Instant
	// asked is the last ask, sent to owner at askedAt; open is the number of its
	// permits that were not granted yet. A grant may cross the ask that replaces
	// its own, so the one before is known by numberBefore and askedBefore.
	asked                PermitAsk
	owner                string
	open                 int
	numberBefore         uint64
	askedAt, askedBefore Instant
	// issuer and granted identify the last grant.
	issuer, granted uint64
}

// reset drops the permits and the open ask.
func (h *permitHolder) reset() {
	h.permits, h.open, h.asked = nil, 0, PermitAsk{}
}

// hasPermit reports whether this instance may send a request to e now.
func (e *endpoint) hasPermit(now Instant) bool {
	h := &e.limit.holder
	return len(h.permits) > 0 && h.permits[len(h.permits)-1] > now
}

// usePermit takes the valid permit that expires first.
func (s *State) usePermit(e *endpoint) {
	h := &e.limit.holder
	for k, until := range h.permits {
		if until > s.now {
			h.permits = slices.Delete(h.permits, k, k+1)
			break
		}
	}
	e.limit.dispatched++
	s.count(CounterPermits, "used")
}

// permitGranted applies a grant.
func (s *State) permitGranted(issuer uint64, g PermitGrant) {
	e := s.incarnations[g.Endpoint]
	if e == nil || !e.limited() {
		return
	}
	h := &e.limit.holder
	if issuer == h.issuer && g.Number <= h.granted {
		return
	}
	h.issuer, h.granted = issuer, g.Number
	var asked Instant
	switch g.Ask {
	case h.asked.Number:
		asked = h.askedAt
		h.open = max(h.open-g.Permits, 0)
	case h.numberBefore:
		asked = h.askedBefore
	default:
		return
	}
	until := asked.Add(g.Queued + permitLifetime)
	if until <= s.now {
		s.count(CounterPermits, "late")
		return
	}
	for range g.Permits {
		h.permits = append(h.permits, until)
	}
	slices.Sort(h.permits)
	s.dispatchWaiting(s.pool(e.Service))
}

// applyPermitMessages applies the asks and grants in a report. They have numbers
// of their own, so it does not matter whether the report is the newest.
func (s *State) applyPermitMessages(r Report) {
	for _, ask := range r.Asks {
		s.permitAsked(r.Address, r.Incarnation, ask)
	}
	for _, g := range r.Grants {
		s.permitGranted(r.Incarnation, g)
	}
}

// askLifetime returns how long the owner keeps an ask that is not repeated.
func askLifetime(instances int) time.Duration { return 3 * askIntervalFor(instances) }

func askIntervalFor(instances int) time.Duration {
	return askInterval * time.Duration(max(instances, askedInstances)) / askedInstances
}

// updatePermits asks for the permits that this instance needs and returns those
// that it did not use.
func (s *State) updatePermits() {
	for _, e := range s.limits {
		if e.limited() && e.limit.owner != "" {
			s.updateEndpointPermits(e)
		}
	}
}

func (s *State) updateEndpointPermits(e *endpoint) {
	h := &e.limit.holder
	valid := len(h.permits)
	h.permits = slices.DeleteFunc(h.permits, func(until Instant) bool { return until <= s.now })
	returned := valid - len(h.permits)
	wanted, urgency := s.wantedPermits(e)
	wanted = max(wanted-len(h.permits), 0)
	if returned == 0 && !s.askDue(e, wanted, urgency) {
		return
	}
	if e.limit.owner != h.owner {
		returned = 0
	}
	h.owner = e.limit.owner
	s.asksSent++
	h.askedAt, h.askedBefore, h.numberBefore = s.now, h.askedAt, h.asked.Number
	h.asked = PermitAsk{Endpoint: e.incarnation(), Number: s.asksSent, Wanted: wanted, Returned: returned, Urgency: urgency}
	h.open = h.asked.Wanted
	s.sendAsk(e, h.asked)
}

// askDue reports whether the owner must be told of a change. An open ask that is
// no longer needed is withdrawn: it would take permits from others.
func (s *State) askDue(e *endpoint, wanted int, urgency uint32) bool {
	h := &e.limit.holder
	since := s.now.Sub(h.askedAt)
	switch {
	case wanted == 0 && h.open == 0:
		return false
	case h.owner != e.limit.owner, since >= askIntervalFor(s.instancesUsing(e)), wanted > 0 && urgency < h.asked.Urgency:
		return true
	case since < minAskInterval:
		return false
	}
	return wanted == 0 || h.open == 0 || wanted > h.open || urgency != h.asked.Urgency
}

// wantedPermits returns how many permits for e this instance can use, and the
// urgency of the first request. While requests wait it asks for these; otherwise
// the instances of the endpoint's zone ask in advance, and all do if every
// endpoint of the service has a limit.
func (s *State) wantedPermits(e *endpoint) (int, uint32) {
	p := s.pool(e.Service)
	if e.unassigned || e.Leaving || e.evacuated {
		return 0, notUrgent
	}
	if len(p.waiting) > 0 {
		return min(len(p.waiting), maxWanted), p.waiting[0].rank.urgency()
	}
	if s.now.Sub(p.lastArrival) > idleTime {
		return 0, notUrgent
	}
	if e.Zone != s.cfg.Zone && e.limit.owner != s.cfg.Address && !s.allLimited(p) {
		return 0, notUrgent
	}
	return min(1+int(p.arrivals.perSecond*advanceTime.Seconds()), maxWanted), advanceUrgency(p.arrivals.perSecond)
}

// advanceUrgency returns the urgency of an ask in advance at a rate of requests
// per second. It is below that of waiting requests, and lower the longer the next
// request is expected to take; differences below a factor of two do not count.
func advanceUrgency(perSecond float64) uint32 {
	millis := uint16(min(1000/max(perSecond, 0.1), math.MaxUint16))
	return notUrgent - 16 + uint32(bits.Len16(millis))
}

// urgency returns the rank as one number.
func (r rank) urgency() uint32 {
	return uint32(min(max(r.route, 0), math.MaxInt16))<<16 | uint32(min(max(r.organisation, 0), math.MaxInt16))
}

func (s *State) sendAsk(e *endpoint, ask PermitAsk) {
	s.count(CounterPermits, "asked")
	if ask.Returned > 0 {
		s.emit(Counted{Counter: CounterPermits, Label: "returned", Delta: int64(ask.Returned)})
	}
	if e.limit.owner == s.cfg.Address {
		s.permitAsked(s.cfg.Address, s.cfg.Incarnation, ask)
		return
	}
	report := s.partialReport()
	report.Asks = []PermitAsk{ask}
	s.emit(SendReport{To: []string{e.limit.owner}, Report: report})
}
