package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/crossing"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/patience"
)

// request is the state of a request from its admission to its end.
type request struct {
	Request
	arrived Instant
	queued  Instant
	rank    rank
	// late is set while the request waits and can't meet its latency target any more, if
	// requests wait until their deadline.
	late bool
	// tried holds the IDs of the endpoints to which the request was sent.
	tried []string
	// endpoint is where the request runs, or nil while it is queued.
	endpoint *endpoint
	// peer is the address of the instance at which the request is, or empty;
	// peerIncarnation is that of its process. peersTried holds all of them.
	peer            string
	peerIncarnation uint64
	peersTried      []string
	// prefilling is set while the request runs and its answer has not started.
	prefilling bool
	// dispatched is when the request was last sent to an endpoint.
	dispatched Instant
	// mayHaveRun is set once an endpoint may have started to run the request.
	mayHaveRun bool
	// causes are what may make an endpoint end that runs the request.
	causes []crash.Cause
	// begun is set once the current attempt has shown that the request does not
	// crash its endpoint.
	begun bool
	// trial is set while the request is at an endpoint although it has a suspect.
	trial bool
	// bound is set for a stream of which the caller has events, software is then the
	// one that began it. sentTo is the software of the current endpoint.
	bound            bool
	software, sentTo origin.Software
	// assignment is where the stream has to begin while several versions serve.
	assignment assignment
	// dispatches is the number of dispatches that may have begun the stream.
	dispatches int
	// lookup is the search for the software that began the stream, or nil.
	// originSource and originWait tell how it was found.
	lookup       *lookup
	originSource string
	originWait   time.Duration
	// departure is the crossing to another zone, or nil. hadRoom is set if the endpoint had
	// a free slot for the request.
	departure *departure
	hadRoom   bool
	// charged is the cost charged to the organisation's quota.
	charged float64
}

// rank orders queued requests; the smaller rank is served first. The route's
// priority takes precedence over the organisation's (docs/QUESTIONS.md).
type rank struct{ organisation, route int }

func (r *request) before(other *request) bool {
	if k, l := r.orderKey(), other.orderKey(); k != l {
		return k.Less(l)
	}
	if r.bound != other.bound {
		// Few endpoints can go on with a stream, and its caller has paid for a part.
		return r.bound
	}
	if r.arrived != other.arrived {
		return r.arrived < other.arrived
	}
	return r.ID < other.ID
}

func (r *request) orderKey() patience.Key {
	return patience.Key{Late: r.late, Route: r.rank.route, Organisation: r.rank.organisation}
}

func (r *request) hasTried(e *endpoint) bool { return slices.Contains(r.tried, e.ID) }

// arrived admits and queues a new request, or refuses it.
func (s *State) arrived(q Request) {
	r := &request{Request: q, arrived: s.now, queued: s.now, causes: causesOf(q)}
	s.count(CounterArrivals, q.Service)
	p := s.pool(q.Service)
	p.lastArrival = s.now
	p.arrivals.add(1)
	if q.Forwarding != nil {
		s.count(CounterForwards, "received")
		r.tried = slices.Clone(q.Forwarding.Tried)
	} else {
		p.budget.recordRequest(s.now)
	}
	if reason, retry := s.admit(r, p); reason != "" {
		s.refuse(r, reason, retry)
		return
	}
	r.rank.route = q.Route.Priority
	if r.Organisation != nil {
		r.rank.organisation = r.Organisation.Priority
	}
	s.requests[r.ID] = r
	if q.Forwarding != nil {
		s.forwarded++
		if q.Forwarding.Software != origin.Unknown && !s.bind(r, q.Forwarding.Software) {
			s.refuseHeld(r, StreamVersionGone)
			return
		}
		p = s.pool(r.Service)
	} else {
		s.charge(r)
	}
	if r.continues() && !r.bound {
		s.findOrigin(r, p)
		return
	}
	p.enqueue(r)
	s.dispatchWaiting(p)
	s.shedLimited(p)
	s.refuseDuringBackoff(p)
	s.reviewWaiting(p)
}

// admit returns the reason to refuse a new request, or an empty one, and the
// time after which the caller may retry.
func (s *State) admit(r *request, p *pool) (Reason, time.Duration) {
	switch {
	case s.needsKey(r) && (s.configStale() || !s.keyStillValid(r)):
		return ConfigStale, s.retryAfter(r)
	case s.isConvicted(r):
		return CrashSuspect, 0
	case !s.hasAvailableEndpoint(p):
		return NoEndpoint, s.retryAfter(r)
	case !s.endsInTime(r):
		return InstanceStopping, stopRetryAfter
	}
	if r.Forwarding != nil {
		return s.admitForwarded(r, p), 0
	}
	if wait := s.quotaWait(r); wait > 0 {
		return QuotaExceeded, s.jitteredRetryAfter(r, wait)
	}
	return "", 0
}

// keyStillValid looks the key of a request up again if its organisation was
// found in an earlier configuration. The configuration now in force may have
// arrived with the read that ended a stale period.
func (s *State) keyStillValid(r *request) bool {
	if s.table == nil || r.Version >= s.table.Version() {
		return true
	}
	if r.Organisation == nil {
		return !s.table.RequiresKeys()
	}
	current := s.table.Organisation(r.Key)
	if current == nil || current.Name != r.Organisation.Name {
		return false
	}
	r.Organisation = current
	return true
}

// hasAvailableEndpoint reports whether the pool has any endpoint that is not
// leaving or evacuated, even if it can't take a request now.
func (s *State) hasAvailableEndpoint(p *pool) bool {
	for _, e := range p.endpoints {
		if !e.Leaving && !e.evacuated {
			return true
		}
	}
	return false
}

func (s *State) dispatch(r *request, e *endpoint) {
	r.endpoint = e
	r.tried = append(r.tried, e.ID)
	r.dispatched, e.dispatchedAt = s.now, s.now
	e.ownRunning++
	e.ownPrefill += r.PromptTokens
	r.prefilling = true
	r.begun = false
	s.recordOrigin(r, e)
	s.pool(r.Service).dispatches.add(1)
	s.loadChanged(e)
	if e.limited() {
		s.usePermit(e)
	}
	if s.pool(r.Service).brittle.Named {
		e.brittle.unconfirmed = append(e.brittle.unconfirmed, s.now)
	}
	s.countPassedOver(r)
	s.emit(Dispatch{
		ID: r.ID, Endpoint: e.Endpoint, Attempt: len(r.tried), Waited: s.now.Sub(r.queued), Limited: e.limited() || s.pool(r.Service).brittle.Named, Software: r.sentTo,
		LogFields: append([]any{"endpoint_load", e.load(), "endpoint_slots", e.slots, "endpoint_backlog_tokens", e.backlog(),
			"waiting", len(s.pool(r.Service).waiting), "origin", r.originSource, "origin_wait_ms", r.originWait.Milliseconds()}, append(s.estimateBasis(r, e), s.departs(r, e)...)...),
	})
}

// answerStarted records that the endpoint has processed the request's prompt.
func (s *State) answerStarted(id RequestID, software origin.Software) {
	r := s.requests[id]
	switch {
	case r == nil:
	case r.peer != "":
		r.sentTo = software
		r.streamBegun()
	case r.endpoint != nil:
		s.answerTimed(r)
		r.endPrefill()
		r.streamBegun()
		r.endpoint.growWindow(s.now)
		s.endpointAnswered(r.endpoint, r.dispatched)
	}
}

// answerContinued records that the request does not crash its endpoint.
func (s *State) answerContinued(id RequestID) {
	if r := s.requests[id]; r != nil && (r.endpoint != nil || r.peer != "") {
		r.begun = true
		if r.endpoint != nil {
			s.pool(r.Service).paths.heardAt = s.now
		}
		s.requestSound(r)
		s.endTrial(r)
	}
}

// callerGone removes a queued request. If a dispatch crossed the event, nothing
// was sent to the endpoint.
func (s *State) callerGone(id RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	p := s.pool(r.Service)
	switch {
	case r.endpoint != nil:
		s.releaseSlot(r)
	case r.peer != "":
		s.endForward(r)
	default:
		p.dequeue(r)
	}
	s.removeRequest(r)
	s.dispatchWaiting(p)
}

// removeRequest ends a request and refunds its charge if it never ran.
func (s *State) removeRequest(r *request) {
	s.endTrial(r)
	s.crossingEnded(r, crossing.Unclear)
	if r.Forwarding != nil {
		s.forwarded--
	}
	if !r.mayHaveRun {
		s.refund(r)
	}
	delete(s.requests, r.ID)
}

func (s *State) refuse(r *request, reason Reason, retryAfter time.Duration) {
	s.countRefusal(r, reason)
	s.emit(Refuse{
		ID: r.ID, Reason: reason, NotRun: !r.mayHaveRun, RetryAfter: retryAfter, LogFields: s.refusalBasis(r),
	})
}

// refusalBasis returns the state on which a refusal is based, as log fields.
func (s *State) refusalBasis(r *request) []any {
	p := s.pool(r.Service)
	usable := 0
	for _, e := range p.endpoints {
		if s.usable(e) {
			usable++
		}
	}
	out := []any{"waiting", len(p.waiting), "endpoints", len(p.endpoints), "usable", usable, "evacuated", s.evacuatedEndpoints(p), "instances", 1 + len(s.members.byAddress)}
	out = append(out, s.waitBasis(r, p)...)
	if v, cause := s.judge(r); v != cleared {
		out = append(out, s.crashBasis(cause)...)
	}
	if r.Organisation == nil {
		return out
	}
	if b := s.quotas[r.Organisation.Name]; b != nil && b.rate > 0 {
		out = append(out, "quota_level", int64(b.available(s.now)), "quota_own_level", int64(b.level), "quota_reserve", int64(b.reserve(r.Route.Priority, s.relativeCost(r))),
			"quota_rate", int64(b.rate), "quota_part_percent", int64(100*b.share))
	}
	return out
}

// refuseHeld refuses and removes an admitted request.
func (s *State) refuseHeld(r *request, reason Reason) {
	retry := time.Duration(0)
	switch {
	case r.mayHaveRun:
	case reason == CrashSuspect || reason == StreamOriginUnknown || reason == StreamVersionGone:
		// What the refusal is based on outlasts the caller's deadline.
	case reason == InstanceStopping:
		retry = stopRetryAfter
	case reason == EndpointsResting:
		retry = s.jitteredRetryAfter(r, s.backoffWait(s.pool(r.Service)))
	case reason == LimitReached:
		retry = s.limitedRetryAfter(r)
	case s.cfg.WaitForDeadline:
		retry = s.queueRetryAfter(r)
	default:
		retry = s.retryAfter(r)
	}
	s.refuse(r, reason, retry)
	s.removeRequest(r)
}

func (s *State) attemptEnded(id RequestID, a Attempt) {
	r := s.requests[id]
	if r == nil || r.endpoint == nil {
		return
	}
	e := r.endpoint
	s.releaseSlot(r)
	s.count(CounterOutcomes, a.Outcome.String())
	s.recordAttempt(e, r, a)
	if a.Outcome != NotSent && a.Outcome != NotRun && a.Outcome != Misdirected {
		r.mayHaveRun = true
	}
	s.updateCrashEvidence(e, r, a)
	s.endTrial(r)
	if a.Outcome == Completed || a.Outcome == Abandoned {
		s.removeRequest(r)
	} else {
		s.retryOrRefuse(r, e.ID, a)
	}
	s.dispatchWaiting(s.pool(e.Service))
	s.refuseDuringBackoff(s.pool(e.Service))
}

// updateCrashEvidence records what an attempt shows about its endpoint and its
// request.
func (s *State) updateCrashEvidence(e *endpoint, r *request, a Attempt) {
	switch a.Outcome {
	case Broken, Abandoned:
		s.attemptUnanswered(e, r, a)
	case Completed:
		s.endpointAnswered(e, r.dispatched)
		switch {
		case r.begun:
		case a.Inconclusive:
			s.attemptUnanswered(e, r, a)
		case !a.ErrorAnswer:
			s.requestSound(r)
		}
	case NotRun, Failed:
		s.endpointAnswered(e, r.dispatched)
	case NotSent, Misdirected:
	}
}

// retryOrRefuse queues a request again after a failed attempt, or refuses it.
func (s *State) retryOrRefuse(r *request, failed string, a Attempt) {
	p := s.pool(r.Service)
	if reason := s.retryRefusal(r, p, a); reason != "" {
		s.refuseHeld(r, reason)
		return
	}
	if a.Outcome == NotSent && failed != "" && len(r.tried) > 0 && r.tried[len(r.tried)-1] == failed {
		// Nothing reached the endpoint, so the attempt does not count.
		r.tried = r.tried[:len(r.tried)-1]
	} else if a.Outcome != NotSent {
		p.budget.recordRetry(s.now)
	}
	s.count(CounterRetries, a.Outcome.String())
	s.log("request_retried", "request", r.Name, "after", a.Outcome.String(), "at", failed,
		"attempts", len(r.tried), "left_ms", r.Deadline.Sub(s.now).Milliseconds())
	r.queued = s.now
	p.enqueue(r)
}

// retryRefusal returns the reason why a request can't be retried, or an empty
// one.
func (s *State) retryRefusal(r *request, p *pool, a Attempt) Reason {
	switch {
	case r.mayHaveRun && !r.Route.Retryable():
		return NotRepeatable
	case s.now >= r.Deadline:
		return DeadlinePassed
	case r.bound && !s.softwareServes(p, r):
		return StreamVersionGone
	case !s.endsInTime(r):
		return InstanceStopping
	case a.Outcome == NotSent:
		return ""
	case len(r.tried) >= max(r.Route.MaxAttempts, 1):
		if a.Outcome == NotRun {
			return EndpointsFull
		}
		return AttemptsUsed
	case s.isConvicted(r):
		return CrashSuspect
	case !p.budget.allowsRetry(s.now, s.cfg.Bounds, s.members.shareCount(s.now)):
		return RetryBudgetUsed
	}
	return ""
}
