package scheduler

import (
	"slices"

	"github.com/balsamstair/balsamstair/internal/crash"
)

// maxReportedDraining limits the processes in a complete report, which contains different
// ones each time.
const maxReportedDraining = 8

// maxNoticedDraining limits the processes in the report to an instance that joins.
const maxNoticedDraining = 128

// drainingStated records that an answer of an endpoint says that it is draining, and
// announces it to all instances.
func (s *State) drainingStated(e *endpoint) {
	if !s.recordDraining(e.incarnation(), observed) {
		return
	}
	if to := s.members.addresses(); len(to) > 0 {
		report := s.partialReport()
		report.LeavingEndpoints = []crash.Incarnation{e.incarnation()}
		s.emit(SendReport{To: to, Report: report})
	}
}

// sendDraining sends an instance that has joined the processes known to be draining.
func (s *State) sendDraining(to string) {
	if processes := s.drainingToReport(); len(processes) > 0 {
		report := s.partialReport()
		report.LeavingEndpoints = firstN(processes, maxNoticedDraining)
		s.emit(SendReport{To: []string{to}, Report: report})
	}
}

// recordDraining records that a process is draining, whatever its entry says. It reports
// whether that is new.
func (s *State) recordDraining(process crash.Incarnation, from string) bool {
	if _, known := s.knownDraining[process]; known {
		return false
	}
	s.knownDraining[process] = s.now
	s.drainingOrder = append(s.drainingOrder, process)
	s.count(CounterLeaving, sourceLabel(from))
	e := s.incarnations[process]
	if e == nil {
		return true
	}
	s.log("endpoint_leaving", "endpoint", e.ID, "from", from, "listed_leaving", e.Leaving, "last_dispatch_ms", s.sinceDispatch(e))
	e.Leaving = true
	s.pool(e.Service).shares.stale = true
	return true
}

// sourceLabel returns the label of a statement's source in metrics.
func sourceLabel(from string) string {
	if from == observed {
		return observed
	}
	return "reported"
}

// mergeDraining applies the report of another instance.
func (s *State) mergeDraining(processes []crash.Incarnation, from string) {
	for _, process := range processes {
		s.recordDraining(process, from)
	}
}

// drainingReport returns processes that are draining, different ones at each call.
func (s *State) drainingReport() []crash.Incarnation {
	processes := s.drainingToReport()
	n := len(processes)
	if n <= maxReportedDraining {
		return processes
	}
	s.drainingCursor = (s.drainingCursor + maxReportedDraining) % n
	return slices.Concat(processes[s.drainingCursor:], processes[:s.drainingCursor])[:maxReportedDraining]
}

// drainingToReport returns the processes that were listed within goneRetention: a copy of
// the platform's data may list them again.
func (s *State) drainingToReport() []crash.Incarnation {
	var out []crash.Incarnation
	for _, process := range s.drainingOrder {
		if s.now.Sub(s.knownDraining[process]) <= goneRetention {
			out = append(out, process)
		}
	}
	return out
}

// expireDraining removes processes some time after they are no longer reported: instances
// would otherwise report them to each other for ever.
func (s *State) expireDraining() {
	for _, process := range s.drainingOrder {
		if s.incarnations[process] != nil {
			s.knownDraining[process] = s.now
		}
	}
	s.drainingOrder = slices.DeleteFunc(s.drainingOrder, func(process crash.Incarnation) bool {
		expired := s.now.Sub(s.knownDraining[process]) > 2*goneRetention
		if expired {
			delete(s.knownDraining, process)
		}
		return expired
	})
}
