package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// grantReceived uses a slot only while its lease runs and the request still
// waits for it from this owner; any other slot goes back at once.
func (s *State) grantReceived(from Incarnation, g *peerpb.Grant) {
	r := s.requests[RequestID(g.GetRequest())]
	asked, known := s.roundTime(g.GetRound())
	lease := asked.Add(GrantLease)
	usable := r != nil && r.phase == asking && r.owner == from
	if usable && (!known || s.now >= lease) && !s.cfg.Guards.NoLeaseCheck {
		s.count(CounterRetries, string(RetryLeaseExpired), 1)
		s.release(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		s.ask(r)
		return
	}
	e := s.endpoints[g.GetEndpoint()]
	if !usable || e == nil {
		s.release(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		return
	}
	s.recent.add(s.now, r.id, "granted", e.name)
	r.phase = connecting
	r.endpoint = e.name
	r.leaseEnds = lease
	s.emit(Connect{Request: r.id, Endpoint: e.name, Address: e.address})
}

func (s *State) release(to Incarnation, id RequestID, endpoint string, m *peerpb.Release) {
	m.Request, m.Endpoint = uint64(id), endpoint
	if e := s.endpoints[endpoint]; e != nil && e.owner != 0 {
		// The owner may have changed since the grant; the present one counts.
		to = e.owner
	}
	s.send(to, &peerpb.Frame{Body: &peerpb.Frame_Release{Release: m}})
}

// connectDone gives the one dispatch of a request. The phase changes in the
// same step: whatever happens from here on, no second dispatch follows.
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
	s.recent.add(s.now, r.id, "dispatched", r.endpoint)
	s.emit(Dispatch{Request: r.id, Endpoint: r.endpoint, NotAfter: r.leaseEnds})
}

// retry takes a step before dispatch again. Nothing has reached an endpoint.
func (s *State) retry(r *request, why RetryReason, m *peerpb.Release) {
	s.count(CounterRetries, string(why), 1)
	s.recent.add(s.now, r.id, "retried", string(why))
	endpoint := r.endpoint
	r.phase, r.endpoint = asking, ""
	r.retries++
	s.release(r.owner, r.id, endpoint, m)
	if s.now >= r.deadline {
		s.refuseRequest(r, refusal.DeadlinePassed, 0)
		return
	}
	if len(r.waiters) == 0 {
		s.refuseRequest(r, refusal.CallerGone, 0)
		return
	}
	if s.closed(s.pools[r.req.Pool], r.rank) {
		s.refuseRequest(r, refusal.TierClosed, 0)
		return
	}
	s.ask(r)
}

// declineReceived ends a request, or moves it where the owner only says that
// it does not own the pool.
func (s *State) declineReceived(from Incarnation, d *peerpb.Decline) {
	r := s.requests[RequestID(d.GetRequest())]
	if r == nil || r.phase != asking || r.owner != from {
		return
	}
	reason := refusal.Reason(d.GetReason())
	if reason == declineMoved || s.lateDecline(from, r, reason, d) {
		s.count(CounterRetries, string(RetryOwnerDeclined), 1)
		// Until the next tick another owner is asked, if there is one: two
		// views that differ must not send an ask back and forth.
		r.owner, r.declinedBy = 0, from
		s.ask(r)
		return
	}
	if _, ok := refusal.Lookup(reason); !ok {
		reason = refusal.Shed
	}
	s.refuseRequest(r, reason, time.Duration(d.GetRetryAfterMs())*time.Millisecond)
}

// lateDecline reports whether a refusal for lack of capacity comes when lower
// tiers may be open again elsewhere. Nothing was told to the caller yet, so
// asking again is right.
func (s *State) lateDecline(from Incarnation, r *request, reason refusal.Reason, d *peerpb.Decline) bool {
	if s.cfg.Guards.NoShedOrder {
		return false
	}
	capacity := reason == refusal.Shed || reason == refusal.DeadlineUnmet
	return capacity && from != s.cfg.Incarnation && r.rank < s.lowestRank() && s.echoLease(d.GetEcho()) == 0
}
