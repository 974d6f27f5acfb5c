package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the time between reports to a member in a small system.
	// In a larger one it grows with the number of members, so that an instance
	// sends and receives a constant number of reports per second.
	reportInterval = 100 * time.Millisecond
	// membersAtInterval is the number of members up to which reportInterval
	// applies.
	membersAtInterval = 8
	// maxMissedReports is the number of consecutive reports that a reachable
	// member may have missed.
	maxMissedReports = 7
	// memberRetention is how long after its last contact an unreachable member
	// still counts as an instance that may be using its share of quotas
	// elsewhere.
	memberRetention = 45 * time.Second
	// minAssumedInstances is the least number of instances that a starting
	// instance assumes while it has received reports only from instances that are
	// starting too, if its seeds name others. For quotas maxAssumedInstances is what it
	// assumes until discoveryPause has passed without a new member: it may be one of as
	// many that start at once.
	minAssumedInstances = 8
	maxAssumedInstances = 400
	discoveryPause      = 70 * time.Millisecond
	// startupPeriod is the age up to which an instance may not know of others
	// that it can't reach.
	startupPeriod = 10 * time.Second
)

// member is another instance from which a report was received.
type member struct {
	address     string
	zone        string
	incarnation uint64
	sequence    uint64
	lastContact Instant
	// heardAt is when the latest report, complete or partial, was received.
	heardAt Instant
	// firstContact is when the first report from the member was received.
	firstContact Instant
	// lastSent is when a report was last sent to the member.
	lastSent Instant
	// used is the member's admitted cost by organisation as of its last report.
	used map[string]float64
	// startedLater is set if the member started after this instance. established
	// is set if it was past its startup period at first contact.
	startedLater, established bool
	// version is the version of the configuration in force at the member.
	version int64
	// demand is the cost per second of the requests received by the member.
	demand float64
	// lostPaths holds the services of which the member has lost paths, with the number
	// of endpoints that it reaches; nil if there are none.
	lostPaths map[string]int
	// forwards is the number of this instance's requests at the member, which gets no
	// more before avoidUntil.
	forwards   int
	avoidUntil Instant
	// usageUnanswered is when the first usage was sent that the member, as the keeper of a
	// quota, has not answered, or zero. It is no keeper before keeperAvoidUntil.
	usageUnanswered, keeperAvoidUntil Instant
	// loads lists the endpoints for which the member has reported a load.
	loads []string
	// demandShare is the member's share of the total demand as of the last time all
	// known instances were reachable; hasDemandShare is set once it was known then.
	demandShare    float64
	hasDemandShare bool
}

// members is this instance's view of the other instances.
type members struct {
	self      string
	zone      string
	sameZone  int
	seeds     []string
	started   Instant
	byAddress map[string]*member
	probedAt  map[string]Instant
	sequence  uint64
	// contacted is set once a report from another instance was received.
	contacted bool
	// reportedInstances is the highest number of instances reported by an older
	// instance while this one was starting up, startingInstances that known to others
	// that were starting too.
	reportedInstances, startingInstances int
	// joinedAt is when the latest member was discovered.
	joinedAt     Instant
	sampleOffset int
	demand       demand
	// ownDemandShare and hasOwnDemandShare are this instance's demandShare, as those
	// of the members. Instances that are partitioned from each other thus divide a
	// quota by the same figures.
	ownDemandShare    float64
	hasOwnDemandShare bool
	// removedShares holds the demandShare of members that were removed since, by
	// address. It applies to their next processes.
	removedShares map[string]float64
	// sorted and sortedAddresses cache the members in the order of their addresses;
	// both are nil after a change.
	sorted          []*member
	sortedAddresses []string
	// share caches the result of quotaShare, computed at shareAt and valid until
	// shareUntil. shareStale is set if its inputs have changed since.
	share               float64
	shareAt, shareUntil Instant
	shareStale          bool
}

func newMembers(cfg Config, now Instant) members {
	return members{
		self: cfg.Address, zone: cfg.Zone, seeds: cfg.Seeds, started: now,
		byAddress: map[string]*member{}, probedAt: map[string]Instant{}, removedShares: map[string]float64{},
	}
}

// membershipChanged invalidates cached values after an instance was added or
// removed.
func (m *members) membershipChanged() {
	m.sorted, m.sortedAddresses = nil, nil
	m.shareStale = true
}

func (m *members) seedsChanged(seeds []string) {
	m.seeds = seeds
	m.shareStale = true
}

// reportIntervalTo returns the time between two reports to and from a member.
// Members of the own zone, which share most endpoints, exchange reports more
// often.
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

// knownInZone reports whether a member is known in an availability zone.
func (m *members) knownInZone(zone string) bool {
	for _, x := range m.byAddress {
		if x.zone == zone {
			return true
		}
	}
	return false
}

// countSameZone updates the number of other instances in the own zone.
func (m *members) countSameZone() {
	sameZone := 0
	for _, x := range m.inOrder() {
		if x.zone == m.zone {
			sameZone++
		}
	}
	if sameZone != m.sameZone {
		// The time between reports, by which members count as reachable, has changed.
		m.sameZone, m.shareStale = sameZone, true
	}
}

// singleInstance reports whether the seeds name no other instance.
func (m *members) singleInstance() bool {
	return !slices.ContainsFunc(m.seeds, func(a string) bool { return a != m.self })
}

// instanceCount returns the number of instances that may be using their share
// of a common allowance: this instance, its members and the seeds without
// contact. If the seeds name other instances, it is during startup at least the
// number that older instances have reported, or if none has, what the others that start
// have discovered and minAssumedInstances.
func (m *members) instanceCount(now Instant) int {
	n := m.knownInstances()
	switch {
	case !m.startingUp(now) || m.singleInstance():
		return n
	case m.reportedInstances > 0:
		return max(n, m.reportedInstances)
	}
	return max(n, minAssumedInstances, m.startingInstances)
}

// quotaInstances returns the number of instances that may be using their share of a
// quota.
func (m *members) quotaInstances(now Instant) int {
	n := m.instanceCount(now)
	discovering := !m.contacted || now.Sub(m.joinedAt) < discoveryPause
	if m.onlyStartingMembers(now) && discovering && !m.singleInstance() {
		return max(n, maxAssumedInstances)
	}
	return n
}

// reportedCount returns the number of instances that this one reports to others: not
// what it only assumes.
func (m *members) reportedCount(now Instant) int {
	if m.startingUp(now) && m.reportedInstances == 0 {
		return m.knownInstances()
	}
	return m.instanceCount(now)
}

// knownInstances returns the number of this instance, its members and the seeds without
// contact.
func (m *members) knownInstances() int {
	n := 1 + len(m.byAddress)
	for _, seed := range m.seeds {
		if seed != m.self && m.byAddress[seed] == nil {
			n++
		}
	}
	return n
}

func (m *members) startingUp(now Instant) bool { return now.Sub(m.started) <= startupPeriod }

// onlyStartingMembers reports whether this instance is starting up and has
// received no report from one that is past its startup period.
func (m *members) onlyStartingMembers(now Instant) bool {
	return m.startingUp(now) && m.reportedInstances == 0
}

// shareCount returns the number of instances among which a common allowance is
// divided.
func (m *members) shareCount(now Instant) int { return m.instanceCount(now) }

// addresses returns the members' addresses in order. The result is shared and
// must not be modified.
func (m *members) addresses() []string {
	if m.sortedAddresses == nil {
		m.sortedAddresses = slices.Sorted(maps.Keys(m.byAddress))
	}
	return m.sortedAddresses
}

// remove removes a member.
func (m *members) remove(x *member) {
	delete(m.byAddress, x.address)
	if x.hasDemandShare {
		m.removedShares[x.address] = x.demandShare
	}
	m.membershipChanged()
}

// add adds a member, in place of an earlier process at its address.
func (m *members) add(x *member) {
	if previous := m.byAddress[x.address]; previous != nil {
		m.remove(previous)
	}
	x.demandShare, x.hasDemandShare = m.removedShares[x.address]
	m.byAddress[x.address] = x
	m.membershipChanged()
}

// inOrder returns the members in the order of their addresses. The result is shared and
// must not be modified.
func (m *members) inOrder() []*member {
	if m.sorted == nil && len(m.byAddress) > 0 {
		for _, a := range m.addresses() {
			m.sorted = append(m.sorted, m.byAddress[a])
		}
	}
	return m.sorted
}

func (s *State) peerReported(r Report) {
	m := &s.members
	if r.Incarnation == s.cfg.Incarnation || r.Address == m.self {
		return
	}
	s.mergeCrashes(r.Crashes, r.Address)
	s.mergeLimits(r.Limits, r.Address)
	s.applyPermitMessages(r)
	s.mergeBrittle(r.Brittle, r.Address)
	s.mergeDraining(r.LeavingEndpoints, r.Address)
	s.applyDepartures(r.Departures, r.Address)
	s.applyFurtherSoftware(r.FurtherSoftware, r.Address)
	s.answerEndQueries(r.EndQueries, r.Address)
	s.applyEnds(r.Ended)
	s.mergeOrigins(r.Origins)
	s.answerOriginQueries(r.OriginQueries, r.Address)
	s.applyOriginAnswers(r.OriginAnswers, r.Address)
	x := m.byAddress[r.Address]
	if x != nil && x.incarnation == r.Incarnation && r.Sequence <= x.sequence {
		return
	}
	if r.Partial {
		if x != nil && x.incarnation == r.Incarnation {
			x.sequence = r.Sequence
			x.heardAt = s.now
			s.applyLoadUpdate(x, r.Loads)
			if len(r.Usage) > 0 {
				s.answerUsage(x, r.Usage)
			}
			if len(r.Levels) > 0 {
				s.applyLevels(x, r.Levels)
			}
			if len(r.Paths) > 0 {
				s.applyPathReport(x, r.Paths)
			}
		}
		return
	}
	if r.Leaving {
		s.memberLeft(x)
		s.sendCrashes([]string{r.Address}, s.crashes.Next(maxReportedCrashes))
		s.sendLimits([]string{r.Address}, s.limits)
		return
	}
	newlyConnected := !m.contacted
	if x == nil || x.incarnation != r.Incarnation {
		x = s.memberJoined(x, r)
	} else if !m.reachable(x, s.now) {
		newlyConnected = true
		s.log("instance_reached", "address", r.Address, "silent_ms", s.now.Sub(x.lastContact).Milliseconds())
	}
	m.contacted = true
	if m.startingUp(s.now) {
		if r.Age > startupPeriod {
			m.reportedInstances = max(m.reportedInstances, r.InstanceCount)
		} else {
			m.startingInstances = max(m.startingInstances, r.InstanceCount)
		}
		m.shareStale = true
	}
	if !m.reachableForQuota(x, s.now) {
		m.shareStale = true
	}
	x.sequence = r.Sequence
	x.lastContact, x.heardAt = s.now, s.now
	s.zoneReached(x.zone, s.now)
	x.demand = r.Demand
	s.applyPathReport(x, r.Paths)
	s.versionReported(x, r.Version)
	s.keysReported(r.KeysVersion, r.Address)
	s.probeUnknownMembers(r.Members)
	if len(r.Members) == 0 && x.firstContact == s.now {
		// It knows nobody yet, and its turn among all members may be seconds away.
		s.sendReports([]string{r.Address})
	}
	s.applyUsage(x, r.Usage, newlyConnected)
	if !r.WithoutLoads {
		s.replaceLoads(x, r.Loads)
	}
}

func (s *State) memberJoined(previous *member, r Report) *member {
	if previous != nil {
		s.clearLoads(previous)
	}
	x := &member{
		address: r.Address, zone: r.Zone, incarnation: r.Incarnation, firstContact: s.now, lastSent: s.now,
		used: map[string]float64{}, startedLater: r.Age < s.now.Sub(s.started), established: r.Age > startupPeriod,
	}
	s.members.add(x)
	s.members.joinedAt = s.now
	if len(s.members.byAddress) == largeSystemMembers+1 {
		// From now on others read the platform for this instance.
		s.nextAssignment = s.now
	}
	s.sendLimits([]string{r.Address}, s.limits)
	s.sendDraining(r.Address)
	s.sendCrashes([]string{r.Address}, firstN(s.crashes.Suspects(), maxNoticedCrashes))
	s.recordersChanged = true
	s.log("instance_joined", "address", r.Address, "incarnation", r.Incarnation, "age_ms", r.Age.Milliseconds())
	return x
}

func (s *State) memberLeft(x *member) {
	if x == nil {
		return
	}
	s.clearLoads(x)
	s.members.remove(x)
	s.nextAssignment = s.now
	s.log("instance_left", "address", x.address, "incarnation", x.incarnation)
}

// probeUnknownMembers sends reports to instances that a member has listed but
// that have not reported to this instance.
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

// expireMembers drops the loads of unreachable members and removes members
// without contact for memberRetention.
func (s *State) expireMembers() {
	m := &s.members
	for _, x := range m.inOrder() {
		if m.reachable(x, s.now) {
			continue
		}
		s.clearLoads(x)
		if s.now.Sub(x.lastContact) > memberRetention {
			m.remove(x)
			s.log("instance_forgotten", "address", x.address)
		}
	}
	for a, last := range m.probedAt {
		if s.now.Sub(last) > memberRetention {
			delete(m.probedAt, a)
		}
	}
}
