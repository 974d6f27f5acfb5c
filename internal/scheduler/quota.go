package scheduler

import "time"

const (
	// partitionBonus is the factor by which an instance exceeds its share of a
	// quota while other instances are unreachable. Quotas may be exceeded by a
	// quarter; the rest covers reports in transit between instances.
	partitionBonus = 1.1
	// maxDebtSeconds is the maximum debt of a bucket in seconds of its rate. It
	// covers what instances may admit before they receive each other's
	// admissions.
	maxDebtSeconds = 2.0
	// minReserve is the fraction of a full bucket that the most urgent requests
	// leave to requests of low cost. priorityReserve is the further fraction kept
	// for urgent requests, and reservePriorities the number of priorities over
	// which it is divided.
	minReserve        = 0.08
	priorityReserve   = 0.5
	reservePriorities = 2
	// maxReserveSeconds limits the bucket of which a reserve is a fraction, in seconds
	// of its rate. What urgent requests may need until the bucket is filled again does
	// not grow with its size.
	maxReserveSeconds = 1.0
	// initialLevel is the fraction of a full bucket with which instances begin
	// when all of them restart, since such an outage lasts longer than the bucket
	// takes to fill.
	initialLevel = 0.5
	// minCostWeight is the least weight of a new sample in the mean cost.
	minCostWeight = 0.02
)

// bucket is this instance's view of an organisation's token bucket, which all
// instances share. It is filled at the share of the rate that the reachable
// instances may use, and debited for what each of them admits.
type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  Instant
	// used is the sum of this instance's own charges.
	used float64
	// share is the fraction of the quota that the reachable instances may use.
	share float64
	// keeper is the address of the instance that keeps the quota, as of a number of
	// changes; kept is the level that it reported last.
	keeper       string
	keeperChosen int
	kept         keptLevel
	// grantedShare is the share of which the initial level was granted.
	grantedShare float64
	// levelSynced is set once the level was taken over from an instance that was
	// past its startup period.
	levelSynced bool
}

// refill adds the tokens accrued since the last call. share is the fraction of
// the quota that the reachable instances may use.
func (b *bucket) refill(now Instant, share float64) {
	b.share = share
	b.level = min(b.level+b.rate*share*now.Sub(b.refilledAt).Seconds(), b.burst*share)
	b.refilledAt = now
}

// refill refills a bucket at the share of the reachable instances. While all of them are
// starting, the initial level grows with that share: each part of it is granted once.
func (s *State) refill(b *bucket) {
	b.refill(s.now, s.members.quotaShare(s.now))
	if b.share > b.grantedShare && s.members.onlyStartingMembers(s.now) {
		b.level = min(b.level+initialLevel*b.burst*(b.share-b.grantedShare), b.burst*b.share)
		b.grantedShare = b.share
	}
}

// reserve returns the level that a request must leave for more urgent ones, so
// that urgent requests are served first when an organisation exceeds its quota.
// relativeCost is the cost of the request relative to that of others: one of low cost
// leaves little.
func (b *bucket) reserve(priority int, relativeCost float64) float64 {
	fraction := minReserve + priorityReserve*float64(min(priority, reservePriorities))/reservePriorities
	return fraction * min(b.burst, maxReserveSeconds*b.rate) * b.share * min(1, relativeCost)
}

// costMean is the mean cost of the requests that an instance received, in one unit,
// whether or not they were admitted: a plain mean at first, then a moving average. It is
// that of all organisations, since in a large system an instance receives few requests
// of each.
type costMean struct {
	samples int
	mean    float64
}

func (c *costMean) add(cost float64) {
	c.samples++
	c.mean += max(minCostWeight, 1/float64(c.samples)) * (cost - c.mean)
}

// relative returns a cost relative to the mean.
func (c *costMean) relative(cost float64) float64 {
	if c.mean <= 0 {
		return 1
	}
	return cost / c.mean
}

func (b *bucket) debit(cost float64) {
	b.level = max(b.level-cost, -maxDebtSeconds*b.rate)
}

// applyQuotas updates the buckets after a configuration change. A new bucket is
// not full, since earlier admissions are unknown.
func (s *State) applyQuotas() {
	for _, o := range s.table.Organisations() {
		b := s.quotas[o.Name]
		added := b == nil
		if added {
			b = &bucket{refilledAt: s.now}
			s.quotas[o.Name] = b
		}
		s.refill(b)
		b.rate = o.Quota.RatePerSecond
		b.burst = max(o.Quota.Burst, b.rate*TickInterval.Seconds())
		b.level = min(b.level, b.burst)
		if added {
			b.grantedShare = b.share
			if s.members.onlyStartingMembers(s.now) {
				b.level = initialLevel * b.burst * b.share
			}
		}
	}
}

// cost returns what a request takes from its organisation's quota.
func (r *request) cost() float64 {
	q := r.Organisation.Quota
	switch {
	case !q.InTokens:
		return 1
	case r.Tokens == 0:
		return float64(q.DefaultTokens)
	default:
		return float64(r.Tokens)
	}
}

// quotaWait returns the time until the organisation's quota admits the request,
// or zero if it does now. A bucket above the request's reserve admits it
// whatever its cost; the debt is paid back before the next admission.
func (s *State) quotaWait(r *request) time.Duration {
	if r.Organisation == nil || r.Organisation.Quota.RatePerSecond <= 0 {
		return 0
	}
	b := s.quotas[r.Organisation.Name]
	if b == nil || b.rate <= 0 {
		return 0
	}
	cost := r.cost()
	if r.Organisation.Quota.InTokens {
		s.tokenCosts.add(cost)
	}
	s.members.demand.add(cost)
	s.refill(b)
	missing := b.reserve(r.Route.Priority, s.relativeCost(r)) - b.available(s.now)
	if missing < 0 {
		return 0
	}
	return time.Duration(missing/(b.rate*b.share)*float64(time.Second)) + time.Millisecond
}

// relativeCost returns the cost of a request relative to the mean of those in its unit.
func (s *State) relativeCost(r *request) float64 {
	if !r.Organisation.Quota.InTokens {
		return 1
	}
	return s.tokenCosts.relative(r.cost())
}

func (s *State) charge(r *request) {
	if r.Organisation == nil {
		return
	}
	if b := s.quotas[r.Organisation.Name]; b != nil && b.rate > 0 {
		r.charged = r.cost()
		b.debit(r.charged)
		b.used += r.charged
		s.usageChanged(r.Organisation.Name)
	}
}

// refund returns the charge of a request that never ran.
func (s *State) refund(r *request) {
	if r.charged == 0 {
		return
	}
	if b := s.quotas[r.Organisation.Name]; b != nil {
		b.level = min(b.level+r.charged, b.burst*b.share)
		b.used -= r.charged
	}
	r.charged = 0
}

func (s *State) usageReport() []Usage {
	var out []Usage
	if s.table == nil {
		return nil
	}
	for _, o := range s.table.Organisations() {
		if b := s.quotas[o.Name]; b != nil && b.rate > 0 {
			s.refill(b)
			out = append(out, Usage{Organisation: o.Name, Used: b.used, Level: b.level})
		}
	}
	return out
}

// applyUsage debits the cost that a member has admitted since its last report.
// newlyConnected is set if the report is the first one from any instance or the
// first one after the member was unreachable.
func (s *State) applyUsage(m *member, usage []Usage, newlyConnected bool) {
	for _, u := range usage {
		b := s.quotas[u.Organisation]
		if b == nil {
			continue
		}
		s.refill(b)
		last, known := m.used[u.Organisation]
		m.used[u.Organisation] = u.Used
		switch {
		case !b.levelSynced && m.established && s.members.startingUp(s.now):
			b.level = u.Level - b.used
			// The level is limited to a share until all instances are reachable.
			b.levelSynced = b.share >= 1
		case !known && !m.established && s.members.startingUp(s.now):
			// The level that both start with was granted with the share.
			b.debit(u.Used)
		case newlyConnected, !known && !m.startedLater:
			// Admissions without contact were covered by the share of the rate that
			// each instance kept to.
			b.level = min(b.level, u.Level)
		default:
			b.debit(u.Used - last)
		}
	}
}
