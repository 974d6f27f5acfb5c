package scheduler

import (
	"sort"
	"time"
)

// In a large system whole reports are too rare for instances that work with the
// same endpoints: each would fill the slot that another has just
// taken. Those few tell each other of every change at once, in a report that
// holds nothing else.

// noticeRepeat is the time after which loads are told again, as a notice may be
// lost: about as often as an instance of another zone is sent a whole report,
// which holds no loads.
const noticeRepeat = time.Second

// repeatNotices tells the sharers of the endpoints that are in use, or were at
// the last repeat.
func (s *State) repeatNotices() {
	if s.now.Sub(s.noticesRepeated) < noticeRepeat {
		return
	}
	s.noticesRepeated = s.now
	for _, p := range s.poolOrder {
		for _, e := range p.endpoints {
			if len(e.sharers) > 0 && (e.mine > 0 || e.repeat) {
				e.repeat = e.mine > 0
				e.told = -1
				s.changedLoads = append(s.changedLoads, e)
			}
		}
	}
}

// noteLoad remembers that the number of this instance's requests at e changed.
func (s *State) noteLoad(e *endpoint) {
	if len(e.sharers) > 0 {
		e.repeat = true
		s.changedLoads = append(s.changedLoads, e)
	}
}

// sendNotices tells the sharers of the endpoints whose load has changed since
// they were last told.
func (s *State) sendNotices() {
	m := &s.members
	for _, e := range s.changedLoads {
		if e.mine == e.told || e.gone {
			continue
		}
		e.told = e.mine
		m.sequence++
		s.emit(SendReport{To: e.sharers, Report: Report{
			Incarnation: s.cfg.Incarnation, Sequence: m.sequence, Address: s.cfg.Address, Partial: true,
			Loads: []EndpointLoad{{Endpoint: e.ID, Running: e.mine, Prefill: e.prefill}},
		}})
	}
	s.changedLoads = s.changedLoads[:0]
}

// noticeReceived takes over the loads of a partial report.
func (s *State) noticeReceived(x *member, loads []EndpointLoad) {
	for _, l := range loads {
		e := s.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		if l.Running == 0 {
			l = EndpointLoad{}
		} else if _, known := e.others[x.incarnation]; !known {
			x.loads = append(x.loads, l.Endpoint)
		}
		e.setOthers(x.incarnation, l)
	}
}

func (s *State) loadReport() []EndpointLoad {
	var out []EndpointLoad
	for _, e := range s.endpoints {
		if e.mine > 0 {
			out = append(out, EndpointLoad{Endpoint: e.ID, Running: e.mine, Prefill: e.prefill})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// learnLoads replaces what a member has told of its requests at endpoints.
func (s *State) learnLoads(x *member, loads []EndpointLoad) {
	s.dropLoads(x)
	for _, l := range loads {
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.setOthers(x.incarnation, l)
			x.loads = append(x.loads, l.Endpoint)
		}
	}
}

func (s *State) dropLoads(x *member) {
	for _, id := range x.loads {
		if e := s.endpoints[id]; e != nil {
			e.setOthers(x.incarnation, EndpointLoad{})
		}
	}
	x.loads = x.loads[:0]
}
