package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the time between reports in a small system. In a
	// larger one it grows with the number of members, so that an instance
	// sends and receives a constant number of reports a second.
	reportInterval = 100 * time.Millisecond
	// membersAtInterval is the number of members up to which reportInterval
	// holds.
	membersAtInterval = 8
	// maxMissedReports is how many reports in a row are missed by a member that
	// counts as out of reach.
	maxMissedReports = 7
	// memberRetention is how long a member that is out of reach is counted as one
	// that may be using its part of quotas elsewhere.
	memberRetention = 45 * time.Second
	// minAssumedInstances is the least number of instances that one assumes which has
	// only heard instances as young as itself, if its seeds name others.
	minAssumedInstances = 8
	// startupPeriod is the age up to which an instance may not know of others that are
	// out of its reach.
	startupPeriod = 10 * time.Second
)

// member is another instance that was heard.
type member struct {
	address     string
	zone        string
	incarnation uint64
	sequence    uint64
	lastContact Instant
	// firstContact is when the member was first heard.
	firstContact Instant
	// lastSent is when the member was last sent a report.
	lastSent Instant
	// used is what the member had admitted by its last report.
	used map[string]float64
	// startedLater members started after this instance did, established ones were past
	// their youth when they were first heard.
	startedLater, established bool
	// demand is what is asked of the member, in cost a second.
	demand float64
	// loads names the endpoints at which the member has told to have requests.
	loads []string
}

// members is the view of the other instances.
type members struct {
	self      string
	zone      string
	sameZone  int
	seeds     []string
	started   Instant
	byAddress map[string]*member
	probedAt  map[string]Instant
	sequence  uint64
	// contacted is set once another instance was heard.
	contacted bool
	// reportedInstances is the number of instances that an older one knew of while
	// this one was young.
	reportedInstances int
	sampleOffset      int
	demand            demand
	// demandShares are the instances' parts of all demand, by address, as they were
	// when all known instances were last in reach. Instances that are cut off
	// from each other then divide a quota by the same figures.
	demandShares map[string]float64
	// sortedAddresses holds the members' addresses in order, nil after a change.
	sortedAddresses []string
	// share is the last result of quotaPart, worked out at partAt; partStale
	// says that what it depends on has changed since.
	share      float64
	shareAt    Instant
	shareStale bool
}

func newMembers(cfg Config, now Instant) members {
	return members{
		self: cfg.Address, zone: cfg.Zone, seeds: cfg.Seeds, started: now,
		byAddress: map[string]*member{}, probedAt: map[string]Instant{},
	}
}

// membershipChanged tells that an instance was added or removed.
func (m *members) membershipChanged() {
	m.sortedAddresses = nil
	m.shareStale = true
}

func (m *members) seedsChanged(seeds []string) {
	m.seeds = seeds
	m.shareStale = true
}

// reportIntervalTo is the time between two reports to and from a member. Those of the
// own zone, whose endpoints are shared most, hear of each other more often.
func (m *members) reportIntervalTo(x *member) time.Duration {
	n := len(m.byAddress)
	if x.zone == m.zone {
		n = m.sameZone
	}
	if n <= membersAtInterval {
		return reportInterval
	}
	return reportInterval * time.Duration(n) / membersAtInterval
}

func (m *members) reachable(x *member, now Instant) bool {
	return now.Sub(x.lastContact) <= maxMissedReports*m.reportIntervalTo(x)
}

// countSameZone counts the other instances of the own zone.
func (m *members) countSameZone() {
	m.sameZone = 0
	for _, x := range m.byAddress {
		if x.zone == m.zone {
			m.sameZone++
		}
	}
}

// singleInstance reports whether the seeds name no other instance.
func (m *members) singleInstance() bool {
	return !slices.ContainsFunc(m.seeds, func(a string) bool { return a != m.self })
}

// instanceCount is the number of instances that may be using their part of a shared
// allowance: those that were heard lately, seeds that were not, and what older
// instances have told.
func (m *members) instanceCount(now Instant) int {
	n := 1 + len(m.byAddress)
	for _, seed := range m.seeds {
		if seed != m.self && m.byAddress[seed] == nil {
			n++
		}
	}
	if !m.startingUp(now) || m.singleInstance() {
		return n
	}
	if m.reportedInstances == 0 {
		return max(n, minAssumedInstances)
	}
	return max(n, m.reportedInstances)
}

func (m *members) startingUp(now Instant) bool { return now.Sub(m.started) <= startupPeriod }

// onlyStartingMembers reports whether no instance is known that has been there for long.
func (m *members) onlyStartingMembers(now Instant) bool {
	return m.startingUp(now) && m.reportedInstances == 0
}

// shareCount is the number of instances among which a shared allowance is divided.
func (m *members) shareCount(now Instant) int { return m.instanceCount(now) }

// addresses returns the members' addresses in order. The result is shared and
// must not be changed.
func (m *members) addresses() []string {
	if m.sortedAddresses == nil {
		m.sortedAddresses = slices.Sorted(maps.Keys(m.byAddress))
	}
	return m.sortedAddresses
}

func (s *State) peerReported(r Report) {
	m := &s.members
	if r.Incarnation == s.cfg.Incarnation || r.Address == m.self {
		return
	}
	x := m.byAddress[r.Address]
	if x != nil && x.incarnation == r.Incarnation && r.Sequence <= x.sequence {
		return
	}
	if r.Partial {
		if x != nil && x.incarnation == r.Incarnation {
			x.sequence = r.Sequence
			s.applyLoadUpdate(x, r.Loads)
		}
		return
	}
	if r.Leaving {
		s.memberLeft(x)
		return
	}
	reconnected := !m.contacted
	if x == nil || x.incarnation != r.Incarnation {
		x = s.memberJoined(x, r)
	} else if !m.reachable(x, s.now) {
		reconnected = true
		s.log("instance_reached", "address", r.Address, "silent_ms", s.now.Sub(x.lastContact).Milliseconds())
	}
	m.contacted = true
	if r.Age > startupPeriod && m.startingUp(s.now) {
		m.reportedInstances = max(m.reportedInstances, r.Known)
		m.shareStale = true
	}
	if !m.reachableForQuota(x, s.now) {
		m.shareStale = true
	}
	x.sequence = r.Sequence
	x.lastContact = s.now
	x.demand = r.Demand
	s.probeUnknownMembers(r.Members)
	s.applyUsage(x, r.Usage, reconnected)
	if !r.WithoutLoads {
		s.replaceLoads(x, r.Loads)
	}
	s.mergeCrashes(r.Crashes)
}

func (s *State) memberJoined(before *member, r Report) *member {
	if before != nil {
		s.dropLoads(before)
	}
	x := &member{
		address: r.Address, zone: r.Zone, incarnation: r.Incarnation, firstContact: s.now, lastSent: s.now,
		used: map[string]float64{}, startedLater: r.Age < s.now.Sub(s.started), established: r.Age > startupPeriod,
	}
	s.members.byAddress[r.Address] = x
	s.members.membershipChanged()
	s.log("instance_joined", "address", r.Address, "incarnation", r.Incarnation, "age_ms", r.Age.Milliseconds())
	return x
}

func (s *State) memberLeft(x *member) {
	if x == nil {
		return
	}
	s.dropLoads(x)
	delete(s.members.byAddress, x.address)
	s.members.membershipChanged()
	s.log("instance_left", "address", x.address, "incarnation", x.incarnation)
}

// probeUnknownMembers probes instances that others have heard.
func (s *State) probeUnknownMembers(addresses []string) {
	m := &s.members
	for _, a := range addresses {
		if a == m.self || m.byAddress[a] != nil {
			continue
		}
		if last, ok := m.probedAt[a]; ok && s.now.Sub(last) < probeInterval {
			continue
		}
		m.probedAt[a] = s.now
		s.sendReports([]string{a})
	}
}

// expireMembers drops the loads of members out of reach, and members that have
// been silent for long.
func (s *State) expireMembers() {
	m := &s.members
	for a, x := range m.byAddress {
		if m.reachable(x, s.now) {
			continue
		}
		s.dropLoads(x)
		if s.now.Sub(x.lastContact) > memberRetention {
			delete(m.byAddress, a)
			m.membershipChanged()
			s.log("instance_forgotten", "address", a)
		}
	}
	for a, last := range m.probedAt {
		if s.now.Sub(last) > memberRetention {
			delete(m.probedAt, a)
		}
	}
}
