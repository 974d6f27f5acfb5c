package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

const (
	// staleShare is the part of the revocation bound for which an instance
	// trusts its configuration without hearing of it again. The rest covers a
	// second in which the platform's polls may hear nothing of a change.
	staleShare = 0.75
	// lapseGrace is how long endpoints whose entries were missing after the
	// platform was out of reach are still used: live ones are listed again
	// within two seconds of its return.
	lapseGrace = 1800 * time.Millisecond
	// outageAge is the age of the last answer from which on the platform
	// counts as having been out of reach. It is longer than a silent poll.
	outageAge = 2500 * time.Millisecond
)

// belief dates what the instance knows of the platform.
type belief struct {
	// confirmed is when the last read began that was answered.
	confirmed Instant
	// problem is the last failure in a row of failures.
	problem string
	// resynced is when the platform was heard again after an outage.
	resynced Instant
}

// configAge is the time since the configuration was known to be the newest;
// since the start, if it never was.
func (s *State) configAge() time.Duration {
	if s.belief.confirmed == never {
		return s.now.Sub(s.started)
	}
	return s.now.Sub(s.belief.confirmed)
}

// beliefStale reports whether a key may have been withdrawn longer ago than
// the bound allows.
func (s *State) beliefStale() bool {
	if s.cfg.Bounds.Revocation == 0 {
		return false
	}
	if s.belief.confirmed == never {
		return true
	}
	return s.configAge() > time.Duration(staleShare*float64(s.cfg.Bounds.Revocation))
}

func (s *State) directoryRead(u directory.Update) {
	if u.Err != nil {
		s.count(CounterReads, "failed")
		if s.belief.problem == "" {
			s.log("platform_lost", "error", u.Err.Error(), "relay", u.From, "config_age_ms", s.configAge().Milliseconds())
		}
		s.belief.problem = u.Err.Error()
		return
	}
	if u.From == "" {
		s.count(CounterReads, "answered")
	} else {
		s.count(CounterReads, "relayed")
	}
	asked := Instant(u.Asked)
	outage := s.belief.confirmed != never && s.now.Sub(s.belief.confirmed) > outageAge
	if s.belief.problem != "" || s.belief.confirmed == never {
		s.log("platform_reached", "revision", u.Batch.Revision, "relay", u.From, "config_age_ms", s.configAge().Milliseconds())
	}
	if outage {
		s.belief.resynced = s.now
	}
	s.belief.problem = ""
	s.belief.confirmed = max(s.belief.confirmed, asked)
	s.applyBatch(u)
	s.emit(ConfigConfirmed{At: s.belief.confirmed})
}

func (s *State) applyBatch(u directory.Update) {
	listed := map[string]bool{}
	for _, c := range u.Batch.Changes {
		if c.Problem != "" {
			s.log("entry_unusable", "endpoint", c.EndpointID, "revision", c.Revision, "problem", c.Problem)
		}
		switch {
		case c.Config != nil:
			s.adopt(c.Config, c.Revision)
		case c.Endpoint != nil:
			listed[c.EndpointID] = true
			s.endpointListed(*c.Endpoint, c.Revision)
		case c.EndpointID != "":
			s.endpointGone(c.EndpointID, c.Revision)
		}
	}
	if u.Whole {
		for id := range s.endpoints {
			if !listed[id] {
				s.endpointGone(id, u.Batch.Revision)
			}
		}
	}
	s.welcomeFresh()
	for _, p := range s.poolOrder {
		s.place(p)
	}
}

// welcomeFresh divides new endpoints among the instances before the first
// request is sent to one.
func (s *State) welcomeFresh() {
	if len(s.fresh) == 0 {
		return
	}
	if s.largeSystem() {
		s.shareFew()
	}
	for _, e := range s.fresh {
		s.startSlowly(e)
	}
	s.fresh = s.fresh[:0]
}

// adopt puts a configuration in force unless a newer one is: versions only
// increase.
func (s *State) adopt(c *routing.Config, revision int64) {
	if s.table != nil && c.Version <= s.table.Version() {
		return
	}
	before := int64(0)
	if s.table != nil {
		before = s.table.Version()
	}
	s.table = routing.NewTable(*c)
	s.adoptQuotas()
	for _, e := range s.endpoints {
		e.applyService(s.table)
	}
	s.emit(ConfigAdopted{Table: s.table})
	s.log("config_adopted", "version", c.Version, "before", before, "revision", revision,
		"routes", len(c.Routes), "organisations", len(c.Organisations))
}
