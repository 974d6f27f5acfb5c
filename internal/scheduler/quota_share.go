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
// instances and their previous demand. The result is cached for a tick, since
// computing it iterates over all members.
func (m *members) quotaShare(now Instant) float64 {
	if m.shareStale || now.Sub(m.shareAt) >= TickInterval {
		m.share = m.computeQuotaShare(now)
		m.shareAt, m.shareStale = now, false
	}
	return m.share
}

func (m *members) computeQuotaShare(now Instant) float64 {
	all := float64(m.quotaInstances(now))
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

// demandShare returns an instance's share of the total demand, or an average
// share if the instance was absent when the shares were last computed.
func (m *members) demandShare(address string, all float64) float64 {
	if w, ok := m.demandShares[address]; ok {
		return w
	}
	return 1 / all
}

// updateDemandShares recomputes each instance's share of the demand while all
// instances are reachable.
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
