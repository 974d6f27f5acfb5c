package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/warmup"
)

const (
	// goneRetention is how long the removal of an endpoint's entry is remembered.
	// The copy from which the platform comes back is some seconds old.
	goneRetention = 30 * time.Second
	// startDetection is the time after the first configuration within which an
	// instance hears from the others whether theirs is newer.
	startDetection = time.Second
)

// goneEndpoint is a process whose entry was removed at a time.
type goneEndpoint struct {
	at      Instant
	leaving bool
	warmup  warmup.Process
}

// heldEntry is an entry that a copy of the platform's data contains although it
// had been removed. It is used if it is written again, or if it is still listed
// when the platform would have removed that of a process that has ended.
type heldEntry struct {
	entry    directory.Endpoint
	revision int64
	until    Instant
}

// historyReplaced prepares for the first listing after the platform has come back
// from a copy. As after an outage, entries may be missing for a moment.
func (s *State) historyReplaced(u directory.Update) {
	s.platform.reconnectedAt = s.now
	s.count(CounterHistories, "")
	s.log("platform_history_replaced", "era", u.Batch.Era, "revision", u.Batch.Revision, "relay", u.From,
		"config_version", s.configVersion(), "endpoints", len(s.endpoints))
}

func (s *State) configVersion() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version()
}

// endpointForgotten remembers the removal of an endpoint's entry.
func (s *State) endpointForgotten(e *endpoint) {
	s.gone[e.incarnation()] = goneEndpoint{at: s.now, leaving: e.Leaving, warmup: e.warmup}
}

// holdCopiedEntry reports whether an entry of a copy is not used for now, since
// the entry of that process had been removed.
func (s *State) holdCopiedEntry(entry directory.Endpoint, revision int64) bool {
	if _, gone := s.gone[incarnationOf(entry)]; !gone {
		return false
	}
	removal := missedHeartbeats*s.cfg.EndpointHeartbeat + entryDelay
	s.held[entry.ID] = heldEntry{entry, revision, s.now.Add(removal)}
	s.log("endpoint_held", "endpoint", entry.ID, "revision", revision, "for_ms", removal.Milliseconds())
	return true
}

// releaseHeldEntries uses the entries that are still listed, and forgets old
// removals.
func (s *State) releaseHeldEntries() {
	for id, h := range s.held {
		if s.now >= h.until {
			delete(s.held, id)
			s.endpointListed(h.entry, h.revision)
		}
	}
	s.initNewEndpoints()
	for key, g := range s.gone {
		if s.now.Sub(g.at) > goneRetention {
			delete(s.gone, key)
		}
	}
}

// staysLeaving reports whether an entry is of a process that was leaving: such a
// process does not return to service, whatever a copy says.
func (s *State) staysLeaving(entry directory.Endpoint) bool {
	if _, said := s.knownDraining[incarnationOf(entry)]; said {
		return true
	}
	if e := s.endpoints[entry.ID]; e != nil && e.incarnation() == incarnationOf(entry) {
		return e.Leaving
	}
	return s.gone[incarnationOf(entry)].leaving
}

// versionReported records the version of the configuration in force at another
// instance.
func (s *State) versionReported(x *member, version int64) {
	x.version = version
	s.versionHeard = s.versionHeard || version > 0
	if version <= s.reportedVersion {
		return
	}
	s.reportedVersion, s.reportedVersionAt = version, s.now
	if s.behind() && s.now.Sub(s.tableAt) <= startDetection && !s.startedBehind {
		s.startedBehind = true
		s.log("config_behind", "version", s.configVersion(), "reported", version, "from", x.address)
	}
}

// expireReportedVersion forgets a version that no reachable instance reports, so
// that a wrong report has no lasting effect.
func (s *State) expireReportedVersion() {
	if !s.behind() {
		return
	}
	newest := int64(0)
	for _, x := range s.members.byAddress {
		if s.members.reachable(x, s.now) {
			newest = max(newest, x.version)
		}
	}
	s.reportedVersion = min(s.reportedVersion, newest)
	s.startedBehind = s.startedBehind && s.behind()
}

// behind reports whether another instance has a newer configuration.
func (s *State) behind() bool { return s.table != nil && s.table.Version() < s.reportedVersion }

// awaitsVersions reports whether this instance has just started and has heard from no other
// one yet which configuration is in force there.
func (s *State) awaitsVersions() bool {
	return !s.versionHeard && !s.members.singleInstance() && s.now.Sub(s.tableAt) <= startDetection
}

// configOvertaken reports whether the configuration may lack the withdrawal of a
// key although the platform has confirmed it: the platform came back from a copy,
// and another instance knows a newer version, or could. An instance that has just started
// does not know for how long.
func (s *State) configOvertaken() bool {
	if s.awaitsVersions() {
		return true
	}
	if !s.behind() {
		return false
	}
	return s.startedBehind || s.now.Sub(s.reportedVersionAt) > time.Duration(staleFraction*float64(s.cfg.Bounds.Revocation))
}
