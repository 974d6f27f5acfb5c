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
	if told := s.leavingToTell(); len(told) > 0 {
		report := s.partialReport()
		report.LeavingEndpoints = firstN(told, maxNoticedLeaving)
		s.emit(SendReport{To: []string{to}, Report: report})
	}
}

// leavingKnown records that a process is about to leave, whatever its entry says. It
// reports whether that is new.
func (s *State) leavingKnown(process crash.Incarnation, from string) bool {
	if _, known := s.saidLeaving[process]; known {
		return false
	}
	s.saidLeaving[process] = s.now
	s.leavingOrder = append(s.leavingOrder, process)
	s.count(CounterLeaving, sourceLabel(from))
	e := s.incarnations[process]
	if e == nil {
		return true
	}
	s.log("endpoint_leaving", "endpoint", e.ID, "from", from, "listed_leaving", e.Leaving, "last_dispatch_ms", s.sinceDispatch(e))
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
	told := s.leavingToTell()
	n := len(told)
	if n <= maxReportedLeaving {
		return told
	}
	s.leavingCursor = (s.leavingCursor + maxReportedLeaving) % n
	return slices.Concat(told[s.leavingCursor:], told[:s.leavingCursor])[:maxReportedLeaving]
}

// leavingToTell returns the processes that were listed within goneRetention: a copy of
// the platform's data may list them again.
func (s *State) leavingToTell() []crash.Incarnation {
	var out []crash.Incarnation
	for _, process := range s.leavingOrder {
		if s.now.Sub(s.saidLeaving[process]) <= goneRetention {
			out = append(out, process)
		}
	}
	return out
}

// expireLeaving forgets processes some time after nobody tells of them any more:
// instances would otherwise tell each other for ever.
func (s *State) expireLeaving() {
	for _, process := range s.leavingOrder {
		if s.incarnations[process] != nil {
			s.saidLeaving[process] = s.now
		}
	}
	s.leavingOrder = slices.DeleteFunc(s.leavingOrder, func(process crash.Incarnation) bool {
		expired := s.now.Sub(s.saidLeaving[process]) > 2*goneRetention
		if expired {
			delete(s.saidLeaving, process)
		}
		return expired
	})
}
