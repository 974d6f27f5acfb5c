package scheduler

import "time"

const (
	// quotaMissedReports is how many reports in a row are missed by a member
	// whose part of quotas is left to it. Losing as many by chance costs little.
	quotaMissedReports = 3
	// demandInterval and demandWeight make a moving average of demand over
	// some seconds.
	demandInterval = 500 * time.Millisecond
	demandWeight   = 0.2
	// evenFraction is the part of a quota that is divided evenly, whatever the
	// demand was: it may come to another instance next.
	evenFraction = 0.4
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

// reachableForQuota reports whether the member has told lately what it admits.
func (m *members) reachableForQuota(x *member, now Instant) bool {
	return now.Sub(x.lastContact) <= quotaMissedReports*m.reportIntervalTo(x)
}

// quotaShare is the part of a quota that the instances in reach may use
// together. Each of the groups into which the instances are cut gets what
// corresponds to its number and to the demand that it had. The result is kept
// for a tick: working it out takes a look at every member.
func (m *members) quotaShare(now Instant) float64 {
	if m.shareStale || now.Sub(m.shareAt) >= TickInterval {
		m.share = m.computeQuotaShare(now)
		m.shareAt, m.shareStale = now, false
	}
	return m.share
}

func (m *members) computeQuotaShare(now Instant) float64 {
	all := float64(m.instanceCount(now))
	reachable, demandFraction := 1.0, m.demandShare(m.self, all)
	for _, a := range m.addresses() {
		if m.reachableForQuota(m.byAddress[a], now) {
			reachable++
			demandFraction += m.demandShare(a, all)
		}
	}
	if reachable == all {
		return 1
	}
	return min(1, partitionBonus*(evenFraction*reachable/all+(1-evenFraction)*demandFraction))
}

// demandShare is an instance's part of the demand; one that was not there when the
// parts were last known gets an average one.
func (m *members) demandShare(address string, all float64) float64 {
	if w, ok := m.demandShares[address]; ok {
		return w
	}
	return 1 / all
}

// updateDemandShares notes each instance's part of the demand while all are in
// reach.
func (m *members) updateDemandShares(now Instant) {
	m.demand.update(now)
	total := m.demand.perSecond
	for _, a := range m.addresses() {
		x := m.byAddress[a]
		if !m.reachableForQuota(x, now) {
			return
		}
		total += x.demand
	}
	if 1+len(m.byAddress) < m.instanceCount(now) {
		return
	}
	if total <= 0 {
		return
	}
	m.shareStale = true
	m.demandShares = map[string]float64{m.self: m.demand.perSecond / total}
	for a, x := range m.byAddress {
		m.demandShares[a] = x.demand / total
	}
}
