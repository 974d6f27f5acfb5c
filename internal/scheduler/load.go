package scheduler

import (
	"sort"
	"time"
)

// In a large system whole reports are too rare for instances that work with the
// same endpoints: each would fill the slot that another has just
// taken. Those few tell each other of every change at once, in a report that
// holds nothing else.

// loadRefreshInterval is the time after which loads are told again, as a notice may be
// lost: about as often as an instance of another zone is sent a whole report,
// which holds no loads.
const loadRefreshInterval = time.Second

// refreshLoads tells the sharers of the endpoints that are in use, or were at
// the last repeat.
func (s *State) refreshLoads() {
	if s.now.Sub(s.loadsRefreshedAt) < loadRefreshInterval {
		return
	}
	s.loadsRefreshedAt = s.now
	for _, p := range s.poolOrder {
		for _, e := range p.endpoints {
			if len(e.sharers) > 0 && (e.ownRunning > 0 || e.refreshDue) {
				e.refreshDue = e.ownRunning > 0
				e.sentLoad = -1
				s.changedLoads = append(s.changedLoads, e)
			}
		}
	}
}

// loadChanged remembers that the number of this instance's requests at e changed.
func (s *State) loadChanged(e *endpoint) {
	if len(e.sharers) > 0 {
		e.refreshDue = true
		s.changedLoads = append(s.changedLoads, e)
	}
}

// sendLoadUpdates tells the sharers of the endpoints whose load has changed since
// they were last told.
func (s *State) sendLoadUpdates() {
	m := &s.members
	for _, e := range s.changedLoads {
		if e.ownRunning == e.sentLoad || e.removed {
			continue
		}
		e.sentLoad = e.ownRunning
		m.sequence++
		s.emit(SendReport{To: e.sharers, Report: Report{
			Incarnation: s.cfg.Incarnation, Sequence: m.sequence, Address: s.cfg.Address, Partial: true,
			Loads: []EndpointLoad{{Endpoint: e.ID, Running: e.ownRunning, Prefill: e.ownPrefill}},
		}})
	}
	s.changedLoads = s.changedLoads[:0]
}

// applyLoadUpdate takes over the loads of a partial report.
func (s *State) applyLoadUpdate(x *member, loads []EndpointLoad) {
	for _, l := range loads {
		e := s.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		if l.Running == 0 {
			l = EndpointLoad{}
		} else if _, known := e.otherLoads[x.incarnation]; !known {
			x.loads = append(x.loads, l.Endpoint)
		}
		e.setOtherLoad(x.incarnation, l)
	}
}

func (s *State) loadReport() []EndpointLoad {
	var out []EndpointLoad
	for _, e := range s.endpoints {
		if e.ownRunning > 0 {
			out = append(out, EndpointLoad{Endpoint: e.ID, Running: e.ownRunning, Prefill: e.ownPrefill})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// replaceLoads replaces what a member has told of its requests at endpoints.
func (s *State) replaceLoads(x *member, loads []EndpointLoad) {
	s.dropLoads(x)
	for _, l := range loads {
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.setOtherLoad(x.incarnation, l)
			x.loads = append(x.loads, l.Endpoint)
		}
	}
}

func (s *State) dropLoads(x *member) {
	for _, id := range x.loads {
		if e := s.endpoints[id]; e != nil {
			e.setOtherLoad(x.incarnation, EndpointLoad{})
		}
	}
	x.loads = x.loads[:0]
}
