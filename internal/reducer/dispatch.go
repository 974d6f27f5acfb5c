package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// grantReceived uses a slot only if its lease has not expired and the request
// still waits for a grant from this owner. Any other slot is released at once.
// The lease starts with the round of slot requests that the grant answers, not
// with its receipt.
func (s *State) grantReceived(from Incarnation, g *peerpb.Grant) {
	r := s.requests[RequestID(g.GetRequest())]
	requestedAt, known := s.roundTime(g.GetRound())
	leaseEnd := requestedAt.Add(GrantLease)
	usable := r != nil && r.phase == awaitingGrant && r.owner == from
	if usable && (!known || s.now >= leaseEnd) && !s.cfg.Guards.NoLeaseCheck {
		s.count(CounterRetries, string(RetryLeaseExpired), 1)
		s.sendRelease(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		s.requestSlot(r)
		return
	}
	e := s.endpoints[g.GetEndpoint()]
	if !usable || e == nil {
		s.sendRelease(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		return
	}
	s.decisions.add(s.now, r.id, "granted", e.name)
	r.phase = connecting
	r.endpoint = e.name
	r.leaseEnds = leaseEnd
	s.emit(Connect{Request: r.id, Endpoint: e.name, Address: e.address})
}

// sendRelease returns a granted slot to the owner of the endpoint.
func (s *State) sendRelease(to Incarnation, id RequestID, endpoint string, release *peerpb.Release) {
	release.Request, release.Endpoint = uint64(id), endpoint
	if e := s.endpoints[endpoint]; e != nil && e.owner != 0 {
		// The owner may have changed since the grant; release to the current one.
		to = e.owner
	}
	s.send(to, &peerpb.Frame{Body: &peerpb.Frame_Release{Release: release}})
}

// connectDone dispatches a request, exactly once. The phase changes in the same
// step, so no later event can cause a second dispatch.
func (s *State) connectDone(ev ConnectDone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != connecting || r.endpoint != ev.Endpoint {
		if ev.OK {
			s.emit(Disconnect{Request: ev.Request})
		}
		return
	}
	if !ev.OK {
		s.retry(r, RetryConnectFailed, &peerpb.Release{Failed: true})
		return
	}
	if s.now >= r.leaseEnds && !s.cfg.Guards.NoLeaseCheck {
		s.emit(Disconnect{Request: r.id})
		s.retry(r, RetryLeaseExpired, &peerpb.Release{})
		return
	}
	r.phase = dispatched
	s.count(CounterDispatches, s.tierName(r.rank), 1)
	s.decisions.add(s.now, r.id, "dispatched", r.endpoint)
	s.emit(Dispatch{Request: r.id, Endpoint: r.endpoint, NotAfter: r.leaseEnds})
}

// retry releases the slot of a request that was not dispatched, so that no part
// of the request has reached an endpoint, and requests another slot. It refuses
// the request if its deadline has passed, if it has no waiters left or if its
// tier is closed.
func (s *State) retry(r *request, reason RetryReason, release *peerpb.Release) {
	s.count(CounterRetries, string(reason), 1)
	s.decisions.add(s.now, r.id, "retried", string(reason))
	endpoint := r.endpoint
	r.phase, r.endpoint = awaitingGrant, ""
	r.retries++
	s.sendRelease(r.owner, r.id, endpoint, release)
	if s.now >= r.deadline {
		s.refuseRequest(r, refusal.DeadlinePassed, 0)
		return
	}
	if len(r.waiters) == 0 {
		s.refuseRequest(r, refusal.CallerGone, 0)
		return
	}
	if s.tierClosed(s.pools[r.req.Pool], r.rank) {
		s.refuseRequest(r, refusal.TierClosed, 0)
		return
	}
	s.requestSlot(r)
}

// declineReceived refuses a request that an owner declined. The request goes to
// another owner instead if the sender does not own endpoints of the pool or if
// the decline is stale.
func (s *State) declineReceived(from Incarnation, d *peerpb.Decline) {
	r := s.requests[RequestID(d.GetRequest())]
	if r == nil || r.phase != awaitingGrant || r.owner != from {
		return
	}
	reason := refusal.Reason(d.GetReason())
	if reason == declineNotOwner || s.isStaleDecline(from, r, reason, d) {
		s.count(CounterRetries, string(RetryOwnerDeclined), 1)
		// Until the next tick the request goes to another owner, if there is
		// one: two instances with different views must not send it back and
		// forth.
		r.owner, r.declinedBy = 0, from
		s.requestSlot(r)
		return
	}
	// A reason that this version does not know must not reach a caller.
	if _, ok := refusal.Lookup(reason); !ok {
		reason = refusal.Shed
	}
	s.refuseRequest(r, reason, time.Duration(d.GetRetryAfterMs())*time.Millisecond)
}

// isStaleDecline reports whether a decline for lack of capacity arrives when
// lower tiers may have reopened at other instances, which is after the lease of
// the heartbeat that the decline echoes. To refuse the request then could shed it
// while a request of a lower tier waits. The caller has received no answer yet,
// so the slot can be requested again. A decline by this instance is never stale.
func (s *State) isStaleDecline(from Incarnation, r *request, reason refusal.Reason, d *peerpb.Decline) bool {
	if s.cfg.Guards.NoShedOrder {
		return false
	}
	lacksCapacity := reason == refusal.Shed || reason == refusal.DeadlineUnmet
	return lacksCapacity && from != s.cfg.Incarnation && r.rank < s.lowestRank() && s.echoedLeaseLeft(d.GetEcho()) == 0
}
