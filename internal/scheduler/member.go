package scheduler

import (
	"maps"
	"slices"
	"sort"
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
	// quotaSilentReports is how many reports in a row are missed by a member
	// whose part of quotas is left to it. Losing as many by chance costs little.
	quotaSilentReports = 3
	// silentReports is how many reports in a row are missed by a member that
	// counts as out of reach.
	silentReports = 7
	// memberMemory is how long a member that is out of reach is counted as one
	// that may be using its part of quotas elsewhere.
	memberMemory = 45 * time.Second
	// homesInterval is the time between two divisions of endpoints.
	homesInterval = 500 * time.Millisecond
	// probeInterval is the time between reports to addresses that don't
	// answer.
	probeInterval = 500 * time.Millisecond
	// loneParts is the least number of instances that one assumes which has
	// only heard instances as young as itself, if its seeds name others.
	loneParts = 8
	// youth is the age up to which an instance may not know of others that are
	// out of its reach.
	youth = 10 * time.Second
	// reportedMembers bounds the addresses in a report to the own zone and to
	// young members, strangerMembers those in other reports.
	reportedMembers = 12
	strangerMembers = 3
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

// changed tells that an instance was added or removed.
func (m *members) changed() {
	m.sorted = nil
	m.partStale = true
}

func (m *members) seedsChanged(seeds []string) {
	m.seeds = seeds
	m.partStale = true
}

const (
	// demandInterval and demandWeight make a moving average of demand over
	// some seconds.
	demandInterval = 500 * time.Millisecond
	demandWeight   = 0.2
	// evenShare is the part of a quota that is divided evenly, whatever the
	// demand was: it may come to another instance next.
	evenShare = 0.4
)

// demand is the moving average of the cost that is asked of this instance.
type demand struct {
	sum       float64
	perSecond float64
	since     Instant
}

func (d *demand) add(cost float64) { d.sum += cost }

func (d *demand) update(now Instant) {
	passed := now.Sub(d.since)
	if passed < demandInterval {
		return
	}
	d.perSecond += demandWeight * (d.sum/passed.Seconds() - d.perSecond)
	d.sum = 0
	d.since = now
}

func newMembers(cfg Config, now Instant) members {
	return members{
		self: cfg.Address, zone: cfg.Zone, seeds: cfg.Seeds, started: now,
		byAddress: map[string]*member{}, probed: map[string]Instant{},
	}
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

// heardForQuota reports whether the member has told lately what it admits.
func (m *members) heardForQuota(x *member, now Instant) bool {
	return now.Sub(x.heard) <= quotaSilentReports*m.interval(x)
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

// quotaPart is the part of a quota that the instances in reach may use
// together. Each of the groups into which the instances are cut gets what
// corresponds to its number and to the demand that it had. The result is kept
// for a tick: working it out takes a look at every member.
func (m *members) quotaPart(now Instant) float64 {
	if m.partStale || now.Sub(m.partAt) >= TickInterval {
		m.part = m.newQuotaPart(now)
		m.partAt, m.partStale = now, false
	}
	return m.part
}

func (m *members) newQuotaPart(now Instant) float64 {
	all := float64(m.known(now))
	number, weight := 1.0, m.weight(m.self, all)
	for _, a := range m.addresses() {
		if m.heardForQuota(m.byAddress[a], now) {
			number++
			weight += m.weight(a, all)
		}
	}
	if number == all {
		return 1
	}
	return min(1, shareBonus*(evenShare*number/all+(1-evenShare)*weight))
}

// weight is an instance's part of the demand; one that was not there when the
// parts were last known gets an average one.
func (m *members) weight(address string, all float64) float64 {
	if w, ok := m.weights[address]; ok {
		return w
	}
	return 1 / all
}

// updateWeights notes each instance's part of the demand while all are in
// reach.
func (m *members) updateWeights(now Instant) {
	m.demand.update(now)
	total := m.demand.perSecond
	for _, a := range m.addresses() {
		x := m.byAddress[a]
		if !m.heardForQuota(x, now) {
			return
		}
		total += x.demand
	}
	if 1+len(m.byAddress) < m.known(now) {
		return
	}
	if total <= 0 {
		return
	}
	m.partStale = true
	m.weights = map[string]float64{m.self: m.demand.perSecond / total}
	for a, x := range m.byAddress {
		m.weights[a] = x.demand / total
	}
}

// addresses returns the members' addresses in order. The result is shared and
// must not be changed.
func (m *members) addresses() []string {
	if m.sorted == nil {
		m.sorted = slices.Sorted(maps.Keys(m.byAddress))
	}
	return m.sorted
}

// gossip sends the reports that are due.
func (s *State) gossip() {
	m := &s.members
	s.forgetMembers()
	m.countNeighbours()
	m.updateWeights(s.now)
	var to []string
	for _, a := range m.addresses() {
		x := m.byAddress[a]
		if m.inReach(x, s.now) && s.now.Sub(x.reported) >= m.interval(x) {
			x.reported = s.now
			to = append(to, a)
		}
	}
	to = append(to, s.probes()...)
	s.sendReports(to)
	s.assignHomes()
}

// probes returns the addresses, due for a probe, of seeds that were not heard
// and of members that fell silent.
func (s *State) probes() []string {
	m := &s.members
	var out []string
	for _, a := range append(slices.Clone(m.seeds), m.addresses()...) {
		if x := m.byAddress[a]; a == m.self || x != nil && m.inReach(x, s.now) {
			continue
		}
		interval := probeInterval
		if !m.joined {
			interval = reportInterval
		}
		if last, ok := m.probed[a]; ok && s.now.Sub(last) < interval {
			continue
		}
		m.probed[a] = s.now
		out = append(out, a)
	}
	return out
}

// sendReports sends what the addressees need. In a large system instances of
// other zones get no loads: the few that share endpoints have notices.
func (s *State) sendReports(to []string) {
	if len(to) == 0 {
		return
	}
	s.members.sequence++
	var near, young, far []string
	for _, a := range to {
		x := s.members.byAddress[a]
		switch {
		case x == nil || x.zone == s.cfg.Zone || !s.largeSystem():
			near = append(near, a)
		case s.now.Sub(x.joined) <= youth:
			young = append(young, a)
		default:
			far = append(far, a)
		}
	}
	report := s.report()
	if len(near) > 0 {
		s.emit(SendReport{To: near, Report: report})
	}
	report.Loads, report.WithoutLoads = nil, true
	if len(young) > 0 {
		s.emit(SendReport{To: young, Report: report})
	}
	report.Members = report.Members[:min(strangerMembers, len(report.Members))]
	if len(far) > 0 {
		s.emit(SendReport{To: far, Report: report})
	}
}

// report returns the whole report of now.
func (s *State) report() Report {
	m := &s.members
	report := Report{
		Incarnation: s.cfg.Incarnation,
		Sequence:    m.sequence,
		Address:     s.cfg.Address,
		Zone:        s.cfg.Zone,
		Age:         s.now.Sub(s.started),
		Leaving:     s.leaving,
		Demand:      m.demand.perSecond,
		Known:       m.known(s.now),
		Members:     s.someMembers(),
		Usage:       s.usageReport(),
		Loads:       s.loadReport(),
		Crashes:     s.crashReport(),
	}
	if s.table != nil {
		report.Version = s.table.Version()
	}
	return report
}

// someMembers returns addresses of members in reach, others at each call.
func (s *State) someMembers() []string {
	m := &s.members
	var live []string
	for _, a := range m.addresses() {
		if m.inReach(m.byAddress[a], s.now) {
			live = append(live, a)
		}
	}
	if len(live) <= reportedMembers {
		return live
	}
	m.next = (m.next + reportedMembers) % len(live)
	return slices.Concat(live[m.next:], live[:m.next])[:reportedMembers]
}

func (s *State) loadReport() []EndpointLoad {
	var out []EndpointLoad
	for _, e := range s.endpoints {
		if e.mine > 0 {
			out = append(out, EndpointLoad{Endpoint: e.ID, Running: e.mine, Prefill: e.prefill})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
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

// learnLoads replaces what a member has told of its requests at endpoints.
func (s *State) learnLoads(x *member, loads []EndpointLoad) {
	s.dropLoads(x)
	for _, l := range loads {
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.setOthers(x.incarnation, l)
			x.loads = append(x.loads, l.Endpoint)
		}
	}
}

func (s *State) dropLoads(x *member) {
	for _, id := range x.loads {
		if e := s.endpoints[id]; e != nil {
			e.setOthers(x.incarnation, EndpointLoad{})
		}
	}
	x.loads = x.loads[:0]
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
