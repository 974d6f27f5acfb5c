package scheduler

import "time"

const (
	// quotaSilentReports is how many reports in a row are missed by a member
	// whose part of quotas is left to it. Losing as many by chance costs little.
	quotaSilentReports = 3
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

// heardForQuota reports whether the member has told lately what it admits.
func (m *members) heardForQuota(x *member, now Instant) bool {
	return now.Sub(x.heard) <= quotaSilentReports*m.interval(x)
}

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
