package scheduler

import (
	"cmp"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
)

const (
	// staleFraction is the fraction of the revocation bound for which an instance
	// uses its configuration without confirmation. The rest covers a second in
	// which reads of the platform may miss a change.
	staleFraction = 0.75
	// lapseGrace is how long endpoints whose entries are missing after a platform
	// outage remain in use. Live endpoints are listed again within two seconds of
	// the platform's return.
	lapseGrace = 1800 * time.Millisecond
	// outageThreshold is the time between an answer and the begin of the next read
	// that succeeds, from which the platform counts as having been down. It is longer
	// than a poll without changes. How long the read then takes does not matter: an
	// answer that is being received is a sign of life.
	outageThreshold = 2500 * time.Millisecond
)

// platformStatus is the state of the connection to the platform.
type platformStatus struct {
	// confirmedAt is when the latest successful read began.
	confirmedAt Instant
	// position is that of the latest read, listedAt the time as of which the list is
	// known to contain all changes.
	position directory.Position
	listedAt Instant
	// answeredAt is when the platform was last known to answer.
	answeredAt Instant
	// era is the number of the history that was last read.
	era int64
	// lastError is the error of the latest read, empty if it succeeded.
	lastError string
	// reconnectedAt is when the platform was first read after the last outage.
	reconnectedAt Instant
}

// directoryReading is the read that is being applied: where it is from, the platform or
// the address of an instance, and as of when it is current.
type directoryReading struct {
	source string
	at     Instant
}

// platformSource is the source of a read from the platform itself, in the log.
const platformSource = "platform"

// readAge returns the age of the data that is being applied.
func (s *State) readAge() time.Duration { return s.now.Sub(s.reading.at) }

// configAge returns the time since the configuration was last confirmed as the
// newest, or since the start if it never was.
func (s *State) configAge() time.Duration {
	if s.platform.confirmedAt == never {
		return s.now.Sub(s.started)
	}
	return s.now.Sub(s.platform.confirmedAt)
}

// configStale reports whether a key may have been withdrawn longer ago than the
// revocation bound allows.
func (s *State) configStale() bool {
	if s.cfg.Bounds.Revocation == 0 {
		return false
	}
	if s.platform.confirmedAt == never || s.configOvertaken() {
		return true
	}
	return s.configAge() > time.Duration(staleFraction*float64(s.cfg.Bounds.Revocation))
}

func (s *State) directoryRead(u directory.Update) {
	if errors.Is(u.Err, directory.ErrLate) {
		s.count(CounterReads, "late")
		s.log("read_late", "from", cmp.Or(u.From, platformSource), "config_age_ms", s.configAge().Milliseconds())
		return
	}
	if errors.Is(u.Err, directory.ErrKeysUnstated) {
		s.count(CounterReads, "keys_unstated")
		s.log("config_withheld", "version", u.Batch.ConfigVersion, "from", u.From, "error", u.Err.Error(), "config_age_ms", s.configAge().Milliseconds())
		return
	}
	if errors.Is(u.Err, directory.ErrCompacted) || errors.Is(u.Err, directory.ErrUnprovenHistory) {
		s.count(CounterReads, "history_gap")
		s.log("history_gap", "from", cmp.Or(u.From, platformSource), "after", u.After, "history_since", u.Batch.HistorySince,
			"error", u.Err.Error(), "config_age_ms", s.configAge().Milliseconds())
		return
	}
	if u.Err != nil {
		s.count(CounterReads, "failed")
		if s.platform.lastError == "" {
			s.log("platform_lost", "error", u.Err.Error(), "relay", u.From, "config_age_ms", s.configAge().Milliseconds())
		}
		s.platform.lastError = u.Err.Error()
		return
	}
	if u.From == "" {
		s.count(CounterReads, "answered")
	} else {
		s.count(CounterReads, "relayed")
	}
	readAt := Instant(u.ReadAt)
	outage := s.platform.confirmedAt != never && readAt.Sub(s.platform.answeredAt) > outageThreshold
	if s.platform.lastError != "" || s.platform.confirmedAt == never {
		s.log("platform_reached", "revision", u.Batch.Revision, "relay", u.From, "config_age_ms", s.configAge().Milliseconds())
	}
	if outage {
		s.platform.reconnectedAt = s.now
		s.log("platform_outage", "for_ms", readAt.Sub(s.platform.answeredAt).Milliseconds())
	}
	s.platform.lastError = ""
	if !u.ConfigBehind {
		s.platform.confirmedAt = max(s.platform.confirmedAt, readAt)
	}
	if u.From == "" {
		s.platform.answeredAt = s.now
	} else {
		s.platform.answeredAt = max(s.platform.answeredAt, readAt)
	}
	s.platform.era = max(s.platform.era, u.Batch.Era)
	s.platform.listedAt = max(s.platform.listedAt, readAt)
	s.advancePosition(u)
	if u.NewHistory {
		s.historyReplaced(u)
	}
	s.reading = directoryReading{cmp.Or(u.From, platformSource), readAt}
	if u.Full {
		s.countListing(u)
		s.log("directory_listed", "from", s.reading.source, "revision", u.Batch.Revision, "history_since", u.Batch.HistorySince,
			"provisional", u.Provisional, "read_age_ms", s.readAge().Milliseconds())
	}
	departuresBefore, softwareBefore := len(s.departures), len(s.furtherSoftware)
	s.applyBatch(u)
	if u.From == "" {
		s.announceRead(departuresBefore, softwareBefore)
	}
	s.emit(ConfigConfirmed{At: s.platform.confirmedAt})
}

// countListing counts a listing by where it is from.
func (s *State) countListing(u directory.Update) {
	switch {
	case u.From == "":
		s.count(CounterListings, "platform")
	case u.Provisional:
		s.count(CounterListings, "provisional")
	default:
		s.count(CounterListings, "relayed")
	}
}

// advancePosition records how far the platform's history was read.
func (s *State) advancePosition(u directory.Update) {
	position := directory.Position{Era: u.Batch.Era, Revision: u.Batch.Revision}
	if !u.Full && position.Era == s.platform.position.Era {
		position.Revision = max(position.Revision, s.platform.position.Revision)
	}
	s.platform.position = position
}

func (s *State) applyBatch(u directory.Update) {
	listed, evacuated := map[string]bool{}, map[string]bool{}
	if u.NewHistory {
		s.evacuations.ResetRevisions()
	}
	s.listingAll = u.Full
	for _, c := range u.Batch.Changes {
		if c.Problem != "" {
			s.log("entry_unusable", "endpoint", c.EndpointID, "zone", c.EvacuatedZone, "revision", c.Revision,
				"in_part", c.Endpoint != nil || c.Config != nil || c.EvacuatedZone != "", "problem", c.Problem)
		}
		switch {
		case c.Config != nil:
			s.applyConfig(c.Config, c.Revision)
		case c.Endpoint != nil:
			listed[c.EndpointID] = true
			if u.NewHistory && s.holdCopiedEntry(*c.Endpoint, c.Revision) {
				continue
			}
			delete(s.held, c.EndpointID)
			s.endpointListed(*c.Endpoint, c.Revision)
		case c.EndpointID != "":
			delete(s.held, c.EndpointID)
			s.endpointGone(c.EndpointID, c.Revision)
		case c.EvacuatedZone != "":
			evacuated[c.EvacuatedZone] = !c.Deleted
			s.evacuationChanged(c)
		}
	}
	if u.Full {
		s.endUnlistedEvacuations(u, evacuated)
		for id := range s.held {
			if !listed[id] {
				delete(s.held, id)
			}
		}
		for id := range s.endpoints {
			if !listed[id] {
				s.count(CounterUnlisted, "")
				s.endpointGone(id, u.Batch.Revision)
			}
		}
	}
	s.listingAll = false
	s.initNewEndpoints()
	s.refuseEvacuated()
	for _, p := range s.poolOrder {
		s.recordShares(p)
		s.dispatchWaiting(p)
	}
}

// initNewEndpoints assigns new endpoints to instances before the first request
// is sent to one of them.
func (s *State) initNewEndpoints() {
	if len(s.newEndpoints) == 0 {
		return
	}
	if s.largeSystem() {
		s.assignSubset()
	}
	for _, e := range s.newEndpoints {
		s.slowStart(e)
	}
	s.newEndpoints = s.newEndpoints[:0]
}

// applyConfig puts a configuration in force unless its version is not newer
// than the current one: versions only increase.
func (s *State) applyConfig(c *routing.Config, revision int64) {
	if s.table != nil && c.Version <= s.table.Version() {
		return
	}
	previous, first := int64(0), s.table == nil
	if first {
		s.tableAt = s.now
	} else {
		previous = s.table.Version()
	}
	s.table = s.retainKeys(routing.NewTable(*c))
	s.recordRoutes(c)
	s.startedBehind = (s.startedBehind || first) && s.behind()
	s.applyQuotas()
	for _, e := range s.endpoints {
		e.updateSlots(s.table)
		s.pool(e.Service).shares.stale = true
	}
	s.coldFiguresChanged()
	s.emit(ConfigAdopted{Table: s.table})
	s.log("config_adopted", "version", c.Version, "before", previous, "revision", revision,
		"routes", len(c.Routes), "organisations", len(c.Organisations), "keys", c.KeyRequirement().String(),
		"from", s.reading.source, "read_age_ms", s.readAge().Milliseconds())
}
