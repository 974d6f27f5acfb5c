package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
)

const (
	// maxForwardsPerPeer limits this instance's requests at one other instance of its
	// zone before those of other zones are used, maxForwarded those of all others in
	// progress here.
	maxForwardsPerPeer = 64
	maxForwarded       = 256
	// maxPeersTried limits the instances to which one request is sent.
	maxPeersTried = 3
	// peerPause is how long an instance that could not be reached, or that broke a
	// request off, gets no more.
	peerPause = time.Second
)

// Forwarding describes a request that another instance has received from its caller
// and could not send to an endpoint itself.
type Forwarding struct {
	// Software is the one that began the stream with which the request goes on, or
	// origin.Unknown.
	Software origin.Software
	// Tried holds the IDs of the endpoints to which the request was sent before.
	Tried []string
}

// forwardWaiting sends the first queued request that may be forwarded to another
// instance, while this one has lost its paths to the endpoints of the service or these
// are brittle and belong to others. It reports whether it removed a request from the queue.
func (s *State) forwardWaiting(p *pool) bool {
	if !p.paths.lost && !p.brittle.Named {
		return false
	}
	for _, r := range p.waiting {
		if r.Forwarding != nil || len(r.peersTried) >= maxPeersTried {
			continue
		}
		var x *member
		if p.brittle.Named {
			x = s.chooseBrittleOwner(p, r)
		} else {
			x = s.choosePeer(p, r)
		}
		if x == nil {
			return false
		}
		p.dequeue(r)
		switch v, _ := s.judge(r); v {
		case convicted:
			s.refuseHeld(r, CrashSuspect)
		case awaitingProof:
			p.hold(r)
		default:
			// The other instance decides about a trial.
			s.forward(p, r, x)
		}
		return true
	}
	return false
}

// choosePeer returns the instance to which a request is forwarded, or nil: one of the
// own zone if possible, that with the fewest of this instance's requests.
func (s *State) choosePeer(p *pool, r *request) *member {
	var best *member
	bestCost := 0.0
	own := s.reachedEndpoints(p)
	for _, a := range s.members.addresses() {
		x := s.members.byAddress[a]
		if !s.members.reachable(x, s.now) || s.now < x.avoidUntil || slices.Contains(r.peersTried, a) {
			continue
		}
		if reached, lost := x.lostPaths[p.service]; lost && reached <= own {
			continue
		}
		cost := float64(x.forwards) + s.rand.Float64()
		if x.zone != s.cfg.Zone {
			cost += maxForwardsPerPeer
		}
		if best == nil || cost < bestCost {
			best, bestCost = x, cost
		}
	}
	return best
}

func (s *State) forward(p *pool, r *request, x *member) {
	r.peer, r.peerIncarnation = x.address, x.incarnation
	r.peersTried = append(r.peersTried, x.address)
	forwarding := Forwarding{Tried: slices.Clone(r.tried)}
	if r.bound {
		forwarding.Software = r.software
	}
	// Holds the place of the endpoint, which the other instance chooses.
	r.tried = append(r.tried, "")
	r.dispatched, r.begun = s.now, false
	x.forwards++
	s.count(CounterForwards, "sent")
	s.emit(Forward{
		ID: r.ID, Address: x.address, Incarnation: x.incarnation, Forwarding: forwarding, Attempt: len(r.tried), Waited: s.now.Sub(r.queued),
		LogFields: []any{"own_paths", s.reachedEndpoints(p), "endpoints", len(p.endpoints), "peer_zone", x.zone, "peer_requests", x.forwards},
	})
}

// endForward ends the time of a request at another instance.
func (s *State) endForward(r *request) *member {
	x := s.members.byAddress[r.peer]
	if x != nil && x.incarnation == r.peerIncarnation {
		x.forwards--
	}
	r.peer = ""
	return x
}

// forwardEnded applies the result of a Forward effect.
func (s *State) forwardEnded(ev ForwardEnded) {
	r := s.requests[ev.ID]
	if r == nil || r.peer == "" {
		return
	}
	peer := r.peer
	x := s.endForward(r)
	a := ev.Attempt
	s.count(CounterForwards, a.Outcome.String())
	if ev.Endpoint == "" {
		r.tried = r.tried[:len(r.tried)-1]
	} else {
		r.tried[len(r.tried)-1] = ev.Endpoint
		// The instance reached an endpoint, so it may be asked again.
		r.peersTried = slices.DeleteFunc(r.peersTried, func(a string) bool { return a == peer })
		if e := s.endpoints[ev.Endpoint]; e != nil && a.Outcome != Broken && a.Outcome != Abandoned {
			s.answeredElsewhere(e, r.dispatched)
		}
	}
	if a.Outcome != NotSent && a.Outcome != NotRun {
		r.mayHaveRun = true
	}
	if x != nil && ev.Endpoint == "" && (a.Outcome == NotSent || a.Outcome == Broken && ev.Reason == "") {
		x.avoidUntil = s.now.Add(peerPause)
	}
	p := s.pool(r.Service)
	switch {
	case a.Outcome == Completed && !a.Inconclusive && !a.ErrorAnswer:
		s.requestSound(r)
		s.removeRequest(r)
	case a.Outcome == Completed || a.Outcome == Abandoned:
		s.removeRequest(r)
	case a.Outcome == NotRun && ev.Endpoint == "" && ev.Reason.final():
		s.refuse(r, ev.Reason, ev.RetryAfter)
		s.removeRequest(r)
	case a.Outcome == NotRun && ev.Endpoint == "":
		s.retryOrRefuse(r, peer, Attempt{Outcome: NotSent})
	default:
		s.retryOrRefuse(r, peer, a)
	}
	s.dispatchWaiting(p)
}

// final reports whether a refusal by another instance would be that of any.
func (r Reason) final() bool {
	switch r {
	case QueueDelay, ExpectedDelay, LimitReached, EndpointsResting, CrashSuspect, StreamOriginUnknown, StreamVersionGone, DeadlinePassed:
		return true
	}
	return false
}

// answeredElsewhere records that an endpoint answered a request that another instance
// sent there after a time. This instance's own path is as it was.
func (s *State) answeredElsewhere(e *endpoint, sent Instant) {
	e.answeredSent = max(e.answeredSent, sent)
	if sent > e.endedAt {
		e.endedAt = 0
	}
	if sent > e.refusedAt {
		e.refusedAt = 0
	}
}

// admitForwarded returns the reason not to take a request of another instance, or an
// empty one. That instance has charged the quota and counts the attempts.
func (s *State) admitForwarded(r *request, p *pool) Reason {
	switch {
	case s.leaving || s.forwarded >= maxForwarded:
		return PeerBusy
	case p.paths.lost && s.reachedEndpoints(p) == 0:
		return NoEndpoint
	}
	return ""
}

// returnForwarded refuses the queued requests of other instances, which they send
// elsewhere, once this instance has lost its own paths.
func (s *State) returnForwarded(p *pool) {
	for _, r := range slices.Clone(p.waiting) {
		if r.Forwarding != nil && !r.mayHaveRun {
			p.dequeue(r)
			s.refuseHeld(r, NoEndpoint)
		}
	}
}
