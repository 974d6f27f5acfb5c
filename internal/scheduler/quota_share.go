package scheduler

import "time"

const (
	// quotaMissedReports is the number of consecutive missed reports above which
	// a member's share of quotas is left to that member. Losing this many reports
	// by chance has little effect.
	quotaMissedReports = 3
	// demandInterval and demandWeight define a moving average of demand over some
	// seconds.
	demandInterval = 500 * time.Millisecond
	demandWeight   = 0.2
	// evenFraction is the fraction of a quota that is divided evenly, regardless
	// of past demand, since demand may move to another instance.
	evenFraction = 0.4
)

// demand is the moving average of the cost of requests received by this
// instance.
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

// reachableForQuota reports whether the member has reported its usage recently.
func (m *members) reachableForQuota(x *member, now Instant) bool {
	return now.Sub(x.lastContact) <= quotaMissedReports*m.reportIntervalTo(x)
}

// quotaShare returns the fraction of a quota that the reachable instances may
// use together. Each partition receives a share according to its number of
// instances and their previous demand. The result is cached, since computing it
// iterates over all members: for a tick during startup, then until the first member
// would become unreachable without another report.
func (m *members) quotaShare(now Instant) float64 {
	if m.shareStale || now >= m.shareUntil && now.Sub(m.shareAt) >= TickInterval {
		m.share, m.shareUntil = m.computeQuotaShare(now)
		m.shareAt, m.shareStale = now, false
	}
	return m.share
}

func (m *members) computeQuotaShare(now Instant) (share float64, until Instant) {
	all := float64(m.quotaInstances(now))
	reachable, demandFraction := 1.0, shareOrAverage(m.hasOwnDemandShare, m.ownDemandShare, all)
	until = now.Add(memberRetention)
	if m.startingUp(now) {
		until = now
	}
	for _, x := range m.inOrder() {
		if !m.reachableForQuota(x, now) {
			continue
		}
		until = min(until, x.lastContact.Add(quotaMissedReports*m.reportIntervalTo(x)))
		reachable++
		demandFraction += shareOrAverage(x.hasDemandShare, x.demandShare, all)
	}
	if reachable == all {
		return 1, until
	}
	return min(1, partitionBonus*(evenFraction*reachable/all+(1-evenFraction)*demandFraction)), until
}

// shareOrAverage returns an instance's share of the total demand, or an average
// share if the instance was absent when the shares were last computed.
func shareOrAverage(known bool, share, all float64) float64 {
	if known {
		return share
	}
	return 1 / all
}

// updateDemandShares recomputes each instance's share of the demand while all
// instances are reachable.
func (m *members) updateDemandShares(now Instant) {
	m.demand.update(now)
	total := m.demand.perSecond
	for _, x := range m.inOrder() {
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
	// While all instances are reachable their share is one, whoever has the demand.
	m.ownDemandShare, m.hasOwnDemandShare = m.demand.perSecond/total, true
	clear(m.removedShares)
	for _, x := range m.inOrder() {
		x.demandShare, x.hasDemandShare = x.demand/total, true
	}
}
