package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
)

const (
	// departureRetention is how long complete reports repeat what has changed at the
	// platform. Afterwards all have read it.
	departureRetention = 2 * time.Second
	// maxReportedDepartures limits the departures in a complete report, the newest first,
	// maxAnnouncedDepartures those in an announcement.
	maxReportedDepartures  = 4
	maxAnnouncedDepartures = 128
)

// Departure is a change at the platform after which an endpoint's process gets no new
// requests.
type Departure struct {
	Process crash.Incarnation
	// Era and Revision are the position of the change.
	Era, Revision int64
	// Removed is set if its entry was removed; otherwise it is listed as draining.
	Removed bool
}

type recentDeparture struct {
	Departure
	at Instant
}

// departed records a departure that was read or announced.
func (s *State) departed(process crash.Incarnation, revision int64, removed bool) {
	s.departures = append(s.departures, recentDeparture{Departure{process, s.platform.era, revision, removed}, s.now})
}

// announceRead tells the instances that use the same endpoints what has been read from
// the platform since a number of departures and of further software: their own reads may
// be late.
func (s *State) announceRead(departures, software int) {
	departed := s.departures[min(departures, len(s.departures)):]
	further := s.furtherSoftware[min(software, len(s.furtherSoftware)):]
	if len(departed)+len(further) == 0 {
		return
	}
	to := s.announcementReceivers()
	if len(to) == 0 {
		return
	}
	report := s.partialReport()
	for _, d := range firstN(departed, maxAnnouncedDepartures) {
		report.Departures = append(report.Departures, d.Departure)
	}
	report.FurtherSoftware = newestSoftware(further)
	s.emit(SendReport{To: to, Report: report})
}

// announcementReceivers returns the members of the own zone, or all in a small system.
func (s *State) announcementReceivers() []string {
	if !s.largeSystem() {
		return s.members.addresses()
	}
	var out []string
	for _, x := range s.members.inOrder() {
		if x.zone == s.cfg.Zone {
			out = append(out, x.address)
		}
	}
	return out
}

// departureReport returns the newest departures.
func (s *State) departureReport() []Departure {
	var out []Departure
	for _, d := range slices.Backward(s.departures) {
		if len(out) < maxReportedDepartures {
			out = append(out, d.Departure)
		}
	}
	return out
}

func (s *State) expireDepartures() {
	s.departures = slices.DeleteFunc(s.departures, func(d recentDeparture) bool { return s.now.Sub(d.at) > departureRetention })
}

// applyDepartures applies what another instance has read from the platform. An endpoint
// whose entry was removed gets no requests until this instance has read that too: only
// then is it known what has taken its place.
func (s *State) applyDepartures(departures []Departure, from string) {
	for _, d := range departures {
		e := s.incarnations[d.Process]
		if e == nil || e.Leaving || d.Era != s.platform.era || d.Revision <= max(e.revision, e.withdrawnRevision) {
			continue
		}
		s.departed(d.Process, d.Revision, d.Removed)
		s.log("endpoint_leaving", "endpoint", e.ID, "from", from, "removed", d.Removed, "revision", d.Revision,
			"last_dispatch_ms", s.sinceDispatch(e))
		if d.Removed {
			e.withdrawnUntil, e.withdrawnRevision = s.now.Add(goneRetention), d.Revision
		} else {
			e.Leaving = true
			s.pool(e.Service).shares.stale = true
		}
	}
}
