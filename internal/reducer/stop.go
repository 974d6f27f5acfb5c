package reducer

import (
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// stopRequested begins a graceful shutdown: callers go elsewhere first, then
// ownership is handed on, then what is held here is carried to its end.
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

// refuseUnplaceable answers truthfully what nobody is left to place.
func (s *State) refuseUnplaceable() {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.waiting() && s.chooseOwner(r) == 0 {
			s.refuseRequest(r, refusal.Leaving, 0)
		}
	}
}

// checkStopped ends the process once no request is held and no place in a
// queue is kept for a peer.
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
