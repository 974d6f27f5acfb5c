package scheduler

import (
	"slices"
	"sort"
	"time"
)

// loadRefreshInterval is the time after which loads are sent again, since a
// load update may be lost. It is about the interval of complete reports to
// another zone, which contain no loads.
const loadRefreshInterval = time.Second

// refreshLoads sends the loads of shared endpoints that are in use, or were at
// the last refresh, to their sharers again.
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

// loadChanged marks the load of e for sending to its sharers.
func (s *State) loadChanged(e *endpoint) {
	if len(e.sharers) > 0 {
		e.refreshDue = true
		s.changedLoads = append(s.changedLoads, e)
	}
}

// sendLoadUpdates sends changed loads to the sharers of the endpoints, each in
// a partial report. In a large system complete reports are too infrequent for
// instances that share endpoints: each would fill a slot that another has just
// taken.
func (s *State) sendLoadUpdates() {
	for _, e := range s.changedLoads {
		if e.ownRunning == e.sentLoad || e.removed {
			continue
		}
		e.sentLoad = e.ownRunning
		report := s.partialReport()
		report.Loads = []EndpointLoad{{Endpoint: e.ID, Running: e.ownRunning, Prefill: e.ownPrefill}}
		s.emit(SendReport{To: e.sharers, Report: report})
	}
	s.changedLoads = s.changedLoads[:0]
}

// applyLoadUpdate applies the loads of a partial report.
func (s *State) applyLoadUpdate(x *member, loads []EndpointLoad) {
	for _, l := range loads {
		e := s.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		if l.Running == 0 {
			l = EndpointLoad{}
		} else if _, known := e.otherLoads[x.incarnation]; !known && !slices.Contains(x.loads, l.Endpoint) {
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

// replaceLoads replaces all loads reported by a member.
func (s *State) replaceLoads(x *member, loads []EndpointLoad) {
	s.clearLoads(x)
	for _, l := range loads {
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.setOtherLoad(x.incarnation, l)
			x.loads = append(x.loads, l.Endpoint)
		}
	}
}

func (s *State) clearLoads(x *member) {
	for _, id := range x.loads {
		if e := s.endpoints[id]; e != nil {
			e.setOtherLoad(x.incarnation, EndpointLoad{})
		}
	}
	x.loads = x.loads[:0]
}

func (r *request) endPrefill() {
	if r.prefilling {
		r.endpoint.ownPrefill -= r.PromptTokens
		r.prefilling = false
	}
}

// releaseSlot removes the request from the load of its endpoint.
func (s *State) releaseSlot(r *request) {
	r.endPrefill()
	r.endpoint.ownRunning--
	s.loadChanged(r.endpoint)
	r.endpoint = nil
}
