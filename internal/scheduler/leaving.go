package scheduler

import (
	"slices"

	"github.com/balsamstair/balsamstair/internal/crash"
)

// maxReportedLeaving limits the processes in a complete report: all instances repeat
// what they know in turn.
const maxReportedLeaving = 8

// maxNoticedLeaving limits those that an instance which joins is told of.
const maxNoticedLeaving = 128

// leavingStated records that an endpoint has said that it is about to leave, and tells
// all others.
func (s *State) leavingStated(e *endpoint) {
	if !s.leavingKnown(e.incarnation(), observed) {
		return
	}
	if to := s.members.addresses(); len(to) > 0 {
		report := s.partialReport()
		report.LeavingEndpoints = []crash.Incarnation{e.incarnation()}
		s.emit(SendReport{To: to, Report: report})
	}
}

// sendLeaving tells an instance that has joined all that is known.
func (s *State) sendLeaving(to string) {
	if len(s.leavingOrder) > 0 {
		report := s.partialReport()
		report.LeavingEndpoints = slices.Clone(firstN(s.leavingOrder, maxNoticedLeaving))
		s.emit(SendReport{To: []string{to}, Report: report})
	}
}

// leavingKnown records that a process is about to leave, whatever its entry says. It
// reports whether that is new.
func (s *State) leavingKnown(process crash.Incarnation, from string) bool {
	if _, known := s.saidLeaving[process]; known {
		s.saidLeaving[process] = s.now
		return false
	}
	s.saidLeaving[process] = s.now
	s.leavingOrder = append(s.leavingOrder, process)
	s.count(CounterLeaving, sourceLabel(from))
	e := s.incarnations[process]
	if e == nil {
		return true
	}
	s.log("endpoint_leaving", "endpoint", e.ID, "from", from, "listed_leaving", e.Leaving)
	e.Leaving = true
	return true
}

// sourceLabel returns the label of a statement's source in metrics.
func sourceLabel(from string) string {
	if from == observed {
		return observed
	}
	return "reported"
}

// mergeLeaving applies what another instance knows.
func (s *State) mergeLeaving(processes []crash.Incarnation, from string) {
	for _, process := range processes {
		s.leavingKnown(process, from)
	}
}

// leavingReport returns processes that have said that they leave, others at each call.
func (s *State) leavingReport() []crash.Incarnation {
	n := len(s.leavingOrder)
	if n <= maxReportedLeaving {
		return slices.Clone(s.leavingOrder)
	}
	s.leavingCursor = (s.leavingCursor + maxReportedLeaving) % n
	return slices.Concat(s.leavingOrder[s.leavingCursor:], s.leavingOrder[:s.leavingCursor])[:maxReportedLeaving]
}

// expireLeaving forgets processes that have not been listed for goneRetention: a copy
// of the platform's data may list them again.
func (s *State) expireLeaving() {
	for _, process := range s.leavingOrder {
		if s.incarnations[process] != nil {
			s.saidLeaving[process] = s.now
		}
	}
	s.leavingOrder = slices.DeleteFunc(s.leavingOrder, func(process crash.Incarnation) bool {
		expired := s.now.Sub(s.saidLeaving[process]) > goneRetention
		if expired {
			delete(s.saidLeaving, process)
		}
		return expired
	})
}
