package scheduler

import "time"

// Where many instances share a zone, full reports are too rare for those that
// prefer the same endpoints: each would fill the slot that another has just
// taken. Those few tell each other of every change at once, in a report that
// holds nothing else.

// noticeRepeat is the time after which loads are told again, as a notice may be
// lost. The whole reports to instances of other zones hold none.
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
