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
	// silentReports is how many reports in a row are missed by a member that
	// counts as out of reach.
	silentReports = 7
	// memberMemory is how long a member that is out of reach is counted as one
	// that may be using its part of quotas elsewhere.
	memberMemory = 45 * time.Second
	// loneParts is the least number of instances that one assumes which has
	// only heard instances as young as itself, if its seeds name others.
	loneParts = 8
	// youth is the age up to which an instance may not know of others that are
	// out of its reach.
	youth = 10 * time.Second
)

// member is another instance that was heard.
type member struct {
	address     string
	zone        string
	incarnation uint64
	sequence    uint64
	heard       Instant
	// joined is when the member was first heard.
	joined Instant
	// reported is when the member was last sent a report.
	reported Instant
	// used is what the member had admitted by its last report.
	used map[string]float64
	// younger members started after this instance did, old ones were past
	// their youth when they were first heard.
	younger, old bool
	// demand is what is asked of the member, in cost a second.
	demand float64
	// loads names the endpoints at which the member has told to have requests.
	loads []string
}

// members is the view of the other instances.
type members struct {
	self       string
	zone       string
	neighbours int
	seeds      []string
	started    Instant
	byAddress  map[string]*member
	probed     map[string]Instant
	sequence   uint64
	// joined is set once another instance was heard.
	joined bool
	// toldKnown is the number of instances that an older one knew of while
	// this one was young.
	toldKnown int
	next      int
	demand    demand
	// weights are the instances' parts of all demand, by address, as they were
	// when all known instances were last in reach. Instances that are cut off
	// from each other then divide a quota by the same figures.
	weights map[string]float64
	// sorted holds the members' addresses in order, nil after a change.
	sorted []string
	// part is the last result of quotaPart, worked out at partAt; partStale
	// says that what it depends on has changed since.
	part      float64
	partAt    Instant
	partStale bool
}

func newMembers(cfg Config, now Instant) members {
	return members{
		self: cfg.Address, zone: cfg.Zone, seeds: cfg.Seeds, started: now,
		byAddress: map[string]*member{}, probed: map[string]Instant{},
	}
}

// changed tells that an instance was added or removed.
func (m *members) changed() {
	m.sorted = nil
	m.partStale = true
}

func (m *members) seedsChanged(seeds []string) {
	m.seeds = seeds
	m.partStale = true
}

// interval is the time between two reports to and from a member. Those of the
// own zone, whose endpoints are shared most, hear of each other more often.
func (m *members) interval(x *member) time.Duration {
	n := len(m.byAddress)
	if x.zone == m.zone {
		n = m.neighbours
	}
	if n <= membersAtInterval {
		return reportInterval
	}
	return reportInterval * time.Duration(n) / membersAtInterval
}

func (m *members) inReach(x *member, now Instant) bool {
	return now.Sub(x.heard) <= silentReports*m.interval(x)
}

// countNeighbours counts the other instances of the own zone.
func (m *members) countNeighbours() {
	m.neighbours = 0
	for _, x := range m.byAddress {
		if x.zone == m.zone {
			m.neighbours++
		}
	}
}

// alone reports whether the seeds name no other instance.
func (m *members) alone() bool {
	return !slices.ContainsFunc(m.seeds, func(a string) bool { return a != m.self })
}

// known is the number of instances that may be using their part of a shared
// allowance: those that were heard lately, seeds that were not, and what older
// instances have told.
func (m *members) known(now Instant) int {
	n := 1 + len(m.byAddress)
	for _, seed := range m.seeds {
		if seed != m.self && m.byAddress[seed] == nil {
			n++
		}
	}
	if !m.young(now) || m.alone() {
		return n
	}
	if m.toldKnown == 0 {
		return max(n, loneParts)
	}
	return max(n, m.toldKnown)
}

func (m *members) young(now Instant) bool { return now.Sub(m.started) <= youth }

// allYoung reports whether no instance is known that has been there for long.
func (m *members) allYoung(now Instant) bool { return m.young(now) && m.toldKnown == 0 }

// parts is the number of instances among which a shared allowance is divided.
func (m *members) parts(now Instant) int { return m.known(now) }

// addresses returns the members' addresses in order. The result is shared and
// must not be changed.
func (m *members) addresses() []string {
	if m.sorted == nil {
		m.sorted = slices.Sorted(maps.Keys(m.byAddress))
	}
	return m.sorted
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
			s.noticeReceived(x, r.Loads)
		}
		return
	}
	if r.Leaving {
		s.memberLeft(x)
		return
	}
	joining := !m.joined
	if x == nil || x.incarnation != r.Incarnation {
		x = s.memberJoined(x, r)
	} else if !m.inReach(x, s.now) {
		joining = true
		s.log("instance_reached", "address", r.Address, "silent_ms", s.now.Sub(x.heard).Milliseconds())
	}
	m.joined = true
	if r.Age > youth && m.young(s.now) {
		m.toldKnown = max(m.toldKnown, r.Known)
		m.partStale = true
	}
	if !m.heardForQuota(x, s.now) {
		m.partStale = true
	}
	x.sequence = r.Sequence
	x.heard = s.now
	x.demand = r.Demand
	s.learnMembers(r.Members)
	s.learnUsage(x, r.Usage, joining)
	if !r.WithoutLoads {
		s.learnLoads(x, r.Loads)
	}
	s.learnCrashes(r.Crashes)
}

func (s *State) memberJoined(before *member, r Report) *member {
	if before != nil {
		s.dropLoads(before)
	}
	x := &member{
		address: r.Address, zone: r.Zone, incarnation: r.Incarnation, joined: s.now, reported: s.now,
		used: map[string]float64{}, younger: r.Age < s.now.Sub(s.started), old: r.Age > youth,
	}
	s.members.byAddress[r.Address] = x
	s.members.changed()
	s.log("instance_joined", "address", r.Address, "incarnation", r.Incarnation, "age_ms", r.Age.Milliseconds())
	return x
}

func (s *State) memberLeft(x *member) {
	if x == nil {
		return
	}
	s.dropLoads(x)
	delete(s.members.byAddress, x.address)
	s.members.changed()
	s.log("instance_left", "address", x.address, "incarnation", x.incarnation)
}

// learnMembers probes instances that others have heard.
func (s *State) learnMembers(addresses []string) {
	m := &s.members
	for _, a := range addresses {
		if a == m.self || m.byAddress[a] != nil {
			continue
		}
		if last, ok := m.probed[a]; ok && s.now.Sub(last) < probeInterval {
			continue
		}
		m.probed[a] = s.now
		s.sendReports([]string{a})
	}
}

// forgetMembers drops the loads of members out of reach, and members that have
// been silent for long.
func (s *State) forgetMembers() {
	m := &s.members
	for a, x := range m.byAddress {
		if m.inReach(x, s.now) {
			continue
		}
		s.dropLoads(x)
		if s.now.Sub(x.heard) > memberMemory {
			delete(m.byAddress, a)
			m.changed()
			s.log("instance_forgotten", "address", a)
		}
	}
	for a, last := range m.probed {
		if s.now.Sub(last) > memberMemory {
			delete(m.probed, a)
		}
	}
}
