package scheduler

import (
	"github.com/balsamstair/balsamstair/internal/origin"
)

// readHistory asks the platform for its whole history, once after the start. A listing
// does not show which endpoints served before it. Instances that read through another one
// learn from its answers.
func (s *State) readHistory() {
	if s.historyRead || s.platform.confirmedAt == never || s.readPlan.Relay != "" {
		return
	}
	s.historyRead = true
	if !s.history.Covers(origin.Time(s.now), minSoftwareMemory) {
		s.emit(ReadHistory{})
	}
}

// applyHistory adds the software of endpoints that served before this instance started. A
// part of the history is of no use: what was removed before may have begun any stream.
func (s *State) applyHistory(ev HistoryRead) {
	s.log("platform_history_read", "complete", ev.Complete, "changes", len(ev.Changes))
	if !ev.Complete {
		return
	}
	for _, c := range ev.Changes {
		if c.Endpoint != nil {
			s.history.AddPast(c.Endpoint.Service, origin.SoftwareOf(c.Endpoint.Service, c.Endpoint.Version), origin.Time(s.now))
		}
	}
	s.history.SetComplete()
	s.addPastShares(ev.Changes)
}
