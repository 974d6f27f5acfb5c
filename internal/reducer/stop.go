package reducer

import (
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// stopRequested starts a graceful shutdown: the instance first reports that it
// is not ready, then passes on ownership, then completes the requests that it
// holds.
func (s *State) stopRequested() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.log("stopping", "held", len(s.requests))
	s.checkReady()
	for _, p := range s.peerOrder {
		if p.session {
			s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{}}})
		}
	}
	s.recomputeOwners()
	s.refuseUnplaceable()
	s.checkStopped()
}

// refuseUnplaceable refuses, as not run, the waiting requests for which no owner
// is left.
func (s *State) refuseUnplaceable() {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.waiting() && s.chooseOwner(r) == 0 {
			s.refuseRequest(r, refusal.Leaving, 0)
		}
	}
}

// checkStopped ends the process once it holds no request. It keeps no queue
// entries for peers: they are declined when ownership moves.
func (s *State) checkStopped() {
	if !s.stopping || s.stopped {
		return
	}
	if len(s.requests) > 0 && !s.cfg.Guards.NoGracefulStop {
		return
	}
	s.stopped = true
	s.log("stopped")
	s.emit(StopComplete{})
}
