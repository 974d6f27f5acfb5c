package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
)

const (
	// runsReadDelay is the time from the start to the read of the runs at endpoints, in
	// which instances that start at the same moment discover each other. Without any
	// contact it is runsReadPatience. Runs end soon: their connections broke.
	runsReadDelay    = 75 * time.Millisecond
	runsReadPatience = 300 * time.Millisecond
	// runsReaders is the number of instances that read the runs at an endpoint, and
	// maxRunsRead the number of endpoints that one instance reads.
	runsReaders = 2
	maxRunsRead = 64
)

// readRuns asks endpoints which attempts they are running, once after a start at which no
// other instance knows: if all were killed, the streams that they had begun may still be
// running. The endpoints are divided among the instances, which ask each other.
func (s *State) readRuns() {
	age := s.now.Sub(s.started)
	if s.runsRead || s.table == nil || age < runsReadDelay || !s.members.contacted && !s.members.singleInstance() && age < runsReadPatience {
		return
	}
	s.runsRead = true
	if s.history.Complete() || !s.members.onlyStartingMembers(s.now) {
		return
	}
	n := 0
	for _, p := range s.poolOrder {
		if service := s.table.Service(p.service); service == nil || !service.Engine {
			continue
		}
		for _, e := range p.endpoints {
			if n < maxRunsRead && s.readsRunsOf(e) {
				n++
				s.emit(ReadRuns{Endpoint: e.Endpoint})
			}
		}
	}
	s.log("runs_read", "endpoints", n)
}

// readsRunsOf reports whether this instance is one of those that read the runs at an
// endpoint: of those of its zone, or of all if there are none.
func (s *State) readsRunsOf(e *endpoint) bool {
	own := newCandidate(s.cfg.Address, s.cfg.Zone)
	key := mix64(uint64(e.incarnation()))
	inZone := s.cfg.Zone == e.Zone || s.members.knownInZone(e.Zone)
	before := 0
	for _, a := range s.members.addresses() {
		x := s.members.byAddress[a]
		if (!inZone || x.zone == e.Zone) && mix64(newCandidate(a, x.zone).hash^key) > mix64(own.hash^key) {
			before++
		}
	}
	return before < runsReaders && (!inZone || s.cfg.Zone == e.Zone)
}

// applyRuns records the software at which an endpoint's runs go on. An attempt that runs at
// two versions may have begun at either.
func (s *State) applyRuns(ev RunsRead) {
	e := s.endpoints[ev.Endpoint]
	if e == nil || ev.Started != 0 && e.Started != 0 && ev.Started != e.Started {
		return
	}
	for _, id := range ev.Runs {
		record := origin.Record{Attempt: origin.RunOf(id), Software: e.software, Dispatch: 1, Until: origin.Time(s.now.Add(minSoftwareMemory))}
		if known, ok := s.origins.Lookup(record.Attempt); ok && known.Software != record.Software {
			record.Software = origin.Unknown
		}
		s.origins.Merge(record)
	}
	s.log("runs_found", "endpoint", ev.Endpoint, "version", e.Version, "runs", len(ev.Runs))
}
