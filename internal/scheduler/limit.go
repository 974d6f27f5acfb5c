package scheduler

import (
	"slices"
	"time"
)

const (
	// maxReportedLimits limits the statements in a complete report: all instances
	// repeat what they know in turn. maxNoticedLimits limits those in a notice.
	maxReportedLimits = 4
	maxNoticedLimits  = 32
	// liftedRetention is how long it is remembered that a limit was lifted, so
	// that instances that missed it learn of it.
	liftedRetention = 30 * time.Second
	// limitLogInterval is the time between two log lines about one limit.
	limitLogInterval = 5 * time.Second
)

// endpointLimit is what an instance knows about the rate limit of an endpoint's
// process, and its part in keeping it.
type endpointLimit struct {
	// statement is the one that is believed. It is zero if there was none.
	statement
	// cold is the number of requests per second that the endpoint takes while it is cold,
	// or zero. It is not part of what instances report to each other.
	cold float64
	// owner is the address of the instance that issues permits for requests to
	// the endpoint. issuer is in use while that is this instance.
	owner  string
	issuer permitIssuer
	holder permitHolder
	// loggedAt is when the limit was last logged. dispatched counts the requests
	// sent with a permit since then, passedOver those that could not be sent to
	// the endpoint for lack of one.
	loggedAt               Instant
	dispatched, passedOver int
}

// statement is what an answer said about a rate limit.
type statement struct {
	RateLimit
	// sent is when the request was sent, received when the head of its answer
	// was. The endpoint made the statement in between.
	sent, received Instant
	// source is the address of the instance that reported the statement, or
	// empty if this instance received the answer.
	source string
}

// supersededBy reports whether n was made after l. Of two statements whose order
// is unknown, the lower limit is believed.
func (l statement) supersededBy(n statement) bool {
	switch {
	case n.sent >= l.received:
		return true
	case n.received <= l.sent:
		return false
	default:
		return n.below(l.RateLimit)
	}
}

// below reports whether l is stricter than other.
func (l RateLimit) below(other RateLimit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// limited reports whether requests to e need permits.
func (e *endpoint) limited() bool { return e.limit != nil && (e.limit.Named || e.limit.cold > 0) }

// effective returns the requests per second that the endpoint takes: the lower of what it
// has stated and what it takes while it is cold.
func (l *endpointLimit) effective() float64 {
	if l.cold > 0 && (!l.Named || l.cold < l.PerSecond) {
		return l.cold
	}
	return l.PerSecond
}

// stated reports whether the endpoint has named or lifted a limit.
func (l *endpointLimit) stated() bool { return l.received != 0 }

// answerReceived records what the head of an answer says about its endpoint.
func (s *State) answerReceived(ev AnswerReceived) {
	r, stated := s.requests[ev.ID], ev.Limit
	if r == nil || r.endpoint == nil || r.endpoint.removed {
		return
	}
	s.endpointAnswered(r.endpoint, r.dispatched)
	if ev.Leaving {
		s.drainingStated(r.endpoint)
	}
	s.loadStated(r.endpoint, ev.Load)
	if !ev.BrittleMalformed {
		s.brittlenessStated(r, ev.Brittle)
	}
	if ev.LimitMalformed || !stated.Named && (r.endpoint.limit == nil || !r.endpoint.limit.stated()) {
		return
	}
	s.count(CounterLimitStatements, "observed")
	e, n := r.endpoint, statement{RateLimit: stated, sent: r.dispatched, received: s.now}
	if e.limit != nil && e.limit.RateLimit == stated && e.limit.supersededBy(n) {
		e.limit.sent, e.limit.received = n.sent, n.received
		return
	}
	if s.applyStatement(e, n) {
		s.changedLimits = append(s.changedLimits, e)
	}
}

// mergeLimits applies the statements that another instance reports. Their times
// are late by the transit of the report.
func (s *State) mergeLimits(statements []LimitStatement, from string) {
	for _, m := range statements {
		e := s.incarnations[m.Endpoint]
		if e == nil {
			continue
		}
		n := statement{RateLimit: m.Limit, sent: s.now.Add(-m.SentAge), received: s.now.Add(-m.ReceivedAge), source: from}
		if s.applyStatement(e, n) {
			s.count(CounterLimitStatements, "reported")
		}
	}
}

// applyStatement replaces the limit of an endpoint and reports whether it has
// changed. A statement with the limit that is believed already does not make that
// newer: instances would confirm each other a limit that has been lifted.
func (s *State) applyStatement(e *endpoint, n statement) bool {
	before := RateLimit{}
	if e.limit != nil {
		before = e.limit.RateLimit
	}
	if n.RateLimit == before || e.limit != nil && !e.limit.supersededBy(n) {
		return false
	}
	if e.limit == nil {
		e.limit = &endpointLimit{loggedAt: s.now}
		s.limits = append(s.limits, e)
	}
	limited := e.limited()
	e.limit.statement = n
	switch {
	case limited && !e.limited():
		s.limitLifted(e)
	case !limited && e.limited():
		s.limitBegun(e)
	}
	s.log("endpoint_limit", "endpoint", e.ID, "named", n.Named, "per_second", n.PerSecond, "before_named", before.Named,
		"before", before.PerSecond, "from", n.sourceName(), "age_ms", s.now.Sub(n.received).Milliseconds(), "owner", e.limit.owner)
	return true
}

// sourceName returns where a statement is from, for the log.
func (l statement) sourceName() string {
	if l.source == "" {
		return "observed"
	}
	return l.source
}

// limitBegun puts a limit in force at an endpoint that had none.
func (s *State) limitBegun(e *endpoint) {
	e.limit.holder.reset()
	e.limit.issuer = permitIssuer{refilledAt: s.now}
	e.limit.owner = s.permitOwner(e)
}

// limitLifted returns the endpoint to normal use, beginning slowly: all
// instances learn of it at the same moment.
func (s *State) limitLifted(e *endpoint) {
	e.limit.holder.reset()
	e.limit.issuer = permitIssuer{}
	s.slowStart(e)
}

// limitRemoved ends the use of the limit of an endpoint that was removed. The
// platform may list the same process again.
func (s *State) limitRemoved(e *endpoint) {
	if e.limit == nil {
		return
	}
	s.limits = slices.DeleteFunc(s.limits, func(x *endpoint) bool { return x == e })
	if e.limit.Named {
		s.removedLimits[e.incarnation()] = removedLimit{e.limit.statement, s.now}
	}
	e.limit = nil
}

// removedLimit is the limit of an endpoint whose entry was removed at a time.
type removedLimit struct {
	statement
	removed Instant
}

// restoreLimit puts the limit of a process that is listed again in force.
func (s *State) restoreLimit(e *endpoint) {
	if r, known := s.removedLimits[e.incarnation()]; known {
		delete(s.removedLimits, e.incarnation())
		s.applyStatement(e, r.statement)
	}
}

// expireLimits forgets limits that were lifted, or whose endpoint was removed,
// some time ago.
func (s *State) expireLimits() {
	for key, r := range s.removedLimits {
		if s.now.Sub(r.removed) > liftedRetention {
			delete(s.removedLimits, key)
		}
	}
	s.limits = slices.DeleteFunc(s.limits, func(e *endpoint) bool {
		expired := !e.limited() && s.now.Sub(e.limit.received) > liftedRetention
		if expired {
			e.limit = nil
		}
		return expired
	})
}

// sendLimitNotice sends the changes that this instance has observed since the
// last notice to all others. Complete reports repeat them.
func (s *State) sendLimitNotice() {
	if len(s.changedLimits) > 0 {
		s.sendLimits(s.members.addresses(), s.changedLimits)
		s.changedLimits = s.changedLimits[:0]
	}
}

// sendLimits sends the limits of endpoints to other instances.
func (s *State) sendLimits(to []string, endpoints []*endpoint) {
	statements := s.limitStatements(endpoints[:min(len(endpoints), maxNoticedLimits)])
	if len(to) == 0 || len(statements) == 0 {
		return
	}
	report := s.partialReport()
	report.Limits = statements
	s.emit(SendReport{To: to, Report: report})
}

// limitReport returns the limits for a complete report, different ones at each
// call.
func (s *State) limitReport() []LimitStatement {
	limits := slices.DeleteFunc(slices.Clone(s.limits), func(e *endpoint) bool { return !e.limit.stated() })
	if len(limits) <= maxReportedLimits {
		return s.limitStatements(limits)
	}
	s.limitCursor = (s.limitCursor + maxReportedLimits) % len(limits)
	return s.limitStatements(slices.Concat(limits[s.limitCursor:], limits[:s.limitCursor])[:maxReportedLimits])
}

func (s *State) limitStatements(endpoints []*endpoint) []LimitStatement {
	var out []LimitStatement
	for _, e := range endpoints {
		if e.limit == nil || !e.limit.stated() {
			continue
		}
		out = append(out, LimitStatement{Endpoint: e.incarnation(), Limit: e.limit.RateLimit,
			SentAge: s.now.Sub(e.limit.sent), ReceivedAge: s.now.Sub(e.limit.received)})
	}
	return out
}

// logLimits logs the limits that concern this instance at intervals.
func (s *State) logLimits() {
	for _, e := range s.limits {
		l := e.limit
		if !e.limited() || s.now.Sub(l.loggedAt) < limitLogInterval || e.unassigned && l.owner != s.cfg.Address {
			continue
		}
		s.log("endpoint_limit_use", "endpoint", e.ID, "per_second", l.effective(), "cold", l.cold > 0, "from", l.sourceName(),
			"age_ms", s.now.Sub(l.received).Milliseconds(), "owner", l.owner, "share_percent", int64(100*s.permitShare()),
			"for_ms", s.now.Sub(l.loggedAt).Milliseconds(), "issued", l.issuer.issued, "asking", len(l.issuer.asks),
			"dispatched", l.dispatched, "passed_over", l.passedOver)
		l.loggedAt, l.dispatched, l.passedOver, l.issuer.issued = s.now, 0, 0, 0
	}
}

// tickLimits issues the permits that have become available.
func (s *State) tickLimits() {
	for _, p := range s.poolOrder {
		p.arrivals.update(s.now)
		p.dispatches.update(s.now)
	}
	s.tickCold()
	s.expireLimits()
	for _, e := range s.limits {
		if e.limited() && e.limit.owner == s.cfg.Address {
			s.issuePermits(e)
		}
	}
	s.sendLimitNotice()
	s.logLimits()
}

// countPassedOver counts a request that is sent elsewhere, or was queued, because
// an endpoint that it could be sent to has no permit.
func (s *State) countPassedOver(r *request) {
	s.countEvacuated(r.Service, "sent_elsewhere")
	passedOver, cold := false, false
	for _, e := range s.limits {
		if e.Service == r.Service && e != r.endpoint && e.limited() && !e.unassigned && !e.hasPermit(s.now) && s.usable(e) {
			e.limit.passedOver++
			passedOver = true
			cold = cold || e.limit.cold > 0
		}
	}
	if passedOver {
		s.count(CounterLimited, "sent_elsewhere")
	}
	if cold {
		s.count(CounterCold, "sent_elsewhere")
	}
}
