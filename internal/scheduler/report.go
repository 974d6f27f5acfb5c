package scheduler

import (
	"slices"
	"time"
)

const (
	// probeInterval is the time between reports to an address that does not
	// answer.
	probeInterval = 500 * time.Millisecond
	// maxReportedMembers limits the addresses in a report to the own zone and to
	// new members; a few hops then reach every instance of a hundred.
	// maxRemoteReportedMembers limits those in other reports, which only have to
	// repeat an instance that was missed.
	maxReportedMembers       = 12
	maxRemoteReportedMembers = 3
)

// sendDueReports sends the reports that are due, after removing expired
// members, and reassigns endpoints.
func (s *State) sendDueReports() {
	m := &s.members
	s.expireMembers()
	m.countSameZone()
	m.updateDemandShares(s.now)
	var to []string
	for _, x := range m.inOrder() {
		if s.now.Sub(x.lastSent) >= m.reportIntervalTo(x) && m.reachable(x, s.now) {
			x.lastSent = s.now
			to = append(to, x.address)
		}
	}
	to = append(to, s.dueProbes()...)
	s.sendReports(to)
	s.assignEndpoints()
}

// dueProbes returns the addresses, due for a probe, of seeds without contact
// and of unreachable members.
func (s *State) dueProbes() []string {
	m := &s.members
	var out []string
	probe := func(a string) {
		interval := probeInterval
		if !m.contacted {
			interval = reportInterval
		}
		if last, ok := m.probedAt[a]; ok && s.now.Sub(last) < interval {
			return
		}
		m.probedAt[a] = s.now
		out = append(out, a)
	}
	for _, a := range m.seeds {
		if x := m.byAddress[a]; a != m.self && (x == nil || !m.reachable(x, s.now)) {
			probe(a)
		}
	}
	for _, x := range m.inOrder() {
		if !m.reachable(x, s.now) {
			probe(x.address)
		}
	}
	return out
}

// sendReports sends each receiver the report that it needs. In a large system
// instances of other zones receive no loads: the few that share endpoints
// receive load updates.
func (s *State) sendReports(to []string) {
	if len(to) == 0 {
		return
	}
	s.members.sequence++
	var withLoads, newRemote, remote []string
	for _, a := range to {
		x := s.members.byAddress[a]
		switch {
		case x == nil || x.zone == s.cfg.Zone || !s.largeSystem():
			withLoads = append(withLoads, a)
		case s.now.Sub(x.firstContact) <= startupPeriod:
			newRemote = append(newRemote, a)
		default:
			remote = append(remote, a)
		}
	}
	report := s.report()
	if len(withLoads) > 0 {
		s.emit(SendReport{To: withLoads, Report: report})
	}
	report.Loads, report.WithoutLoads, report.Departures, report.FurtherSoftware = nil, true, nil, nil
	if len(newRemote) > 0 {
		s.emit(SendReport{To: newRemote, Report: report})
	}
	report.Members = report.Members[:min(maxRemoteReportedMembers, len(report.Members))]
	if len(remote) > 0 {
		s.emit(SendReport{To: remote, Report: report})
	}
}

// report returns the current complete report.
func (s *State) report() Report {
	m := &s.members
	report := Report{
		Incarnation:   s.cfg.Incarnation,
		Sequence:      m.sequence,
		Address:       s.cfg.Address,
		Zone:          s.cfg.Zone,
		Age:           s.now.Sub(s.started),
		Leaving:       s.leaving,
		KeysVersion:   s.keysVersion,
		Demand:        m.demand.perSecond,
		InstanceCount: m.reportedCount(s.now),
		Members:       s.memberSample(),
		Usage:         s.usageReport(),
		Loads:         s.loadReport(),
		Crashes:       s.crashReport(s.crashes.Next(maxReportedCrashes)),
		Limits:        s.limitReport(),
		Paths:         s.pathReport(),
		Brittle:       s.brittleReport(),

		LeavingEndpoints: s.drainingReport(),
		Departures:       s.departureReport(),
		FurtherSoftware:  newestSoftware(s.furtherSoftware),
	}
	if s.table != nil {
		report.Version = s.table.Version()
	}
	return report
}

// partialReport returns a report without content, to which the caller adds
// changes.
func (s *State) partialReport() Report {
	s.members.sequence++
	return Report{Incarnation: s.cfg.Incarnation, Sequence: s.members.sequence, Address: s.cfg.Address, Partial: true}
}

// memberSample returns addresses of reachable members, a different selection at
// each call.
func (s *State) memberSample() []string {
	m := &s.members
	var live []string
	for _, x := range m.inOrder() {
		if m.reachable(x, s.now) {
			live = append(live, x.address)
		}
	}
	if len(live) <= maxReportedMembers {
		return live
	}
	m.sampleOffset = (m.sampleOffset + maxReportedMembers) % len(live)
	return slices.Concat(live[m.sampleOffset:], live[:m.sampleOffset])[:maxReportedMembers]
}
