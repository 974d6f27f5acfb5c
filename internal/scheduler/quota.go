package scheduler

import "time"

const (
	// partitionBonus is by how much an instance exceeds its part of a quota while
	// instances are out of reach. Quotas may be overrun by a quarter; the rest
	// covers what is under way between instances.
	partitionBonus = 1.1
	// maxDebtSeconds is the largest debt of a bucket, in seconds of its rate: what
	// instances may admit before they know of each other's admissions.
	maxDebtSeconds = 2.0
	// minReserve is the part of a full bucket that the most urgent requests
	// leave to those that cost little. reserveShare is the further part that
	// is kept for urgent requests, reserveSteps the number of ranks over which
	// it is divided.
	minReserve        = 0.08
	priorityReserve   = 0.5
	reservePriorities = 2
	// initialLevel is the part of a full bucket with which instances begin that
	// all start anew: each time they were away for longer than it takes to
	// fill it.
	initialLevel = 0.5
	// costWeight is the weight of a new sample in the mean cost.
	costWeight = 0.02
)

// bucket is this instance's view of an organisation's token bucket, which all
// instances share: it is filled at the whole rate and pays for what every
// reachable instance admits.
type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  Instant
	// used is the sum of this instance's own charges.
	used float64
	// share is the share of the quota that the instances in reach may use.
	share float64
	// meanCost is the moving average of what requests cost.
	meanCost float64
	// levelSynced is set once an instance that was there before told its level.
	levelSynced bool
}

// refill adds what has accrued. part is the part of the whole quota that the
// instances in reach may use.
func (b *bucket) refill(now Instant, share float64) {
	b.share = share
	b.level = min(b.level+b.rate*share*now.Sub(b.refilledAt).Seconds(), b.burst*share)
	b.refilledAt = now
}

// reserve is the level that a request must leave to more urgent ones. Where
// an organisation asks for more than its quota, urgent requests then get it
// first. A request that costs little needs to leave little.
func (b *bucket) reserve(priority int, cost float64) float64 {
	if b.meanCost <= 0 {
		return 0
	}
	fraction := minReserve + priorityReserve*float64(min(priority, reservePriorities))/reservePriorities
	return fraction * b.burst * b.share * min(1, cost/b.meanCost)
}

// recordCost notes the cost of a request that was asked for.
func (b *bucket) recordCost(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += costWeight * (cost - b.meanCost)
}

func (b *bucket) debit(cost float64) {
	b.level = max(b.level-cost, -maxDebtSeconds*b.rate)
}

// applyQuotas follows a changed configuration. A new bucket is not full:
// nobody knows what was admitted before.
func (s *State) applyQuotas() {
	for _, o := range s.table.Organisations() {
		b := s.quotas[o.Name]
		added := b == nil
		if added {
			b = &bucket{refilledAt: s.now}
			s.quotas[o.Name] = b
		}
		share := s.members.quotaShare(s.now)
		b.refill(s.now, share)
		b.rate = o.Quota.RatePerSecond
		b.burst = max(o.Quota.Burst, b.rate*TickInterval.Seconds())
		b.level = min(b.level, b.burst)
		if added && s.members.onlyStartingMembers(s.now) {
			b.level = initialLevel * b.burst * share
		}
	}
}

// cost is what a request takes from its organisation's quota.
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

// quotaWait returns how long the organisation must wait for its quota, or
// zero if the request is inside it. A bucket above the request's reserve
// admits, whatever the cost: the debt is paid back before the next.
func (s *State) quotaWait(r *request) time.Duration {
	if r.Organisation == nil || r.Organisation.Quota.RatePerSecond <= 0 {
		return 0
	}
	b := s.quotas[r.Organisation.Name]
	if b == nil || b.rate <= 0 {
		return 0
	}
	cost := r.cost()
	b.recordCost(cost)
	s.members.demand.add(cost)
	b.refill(s.now, s.members.quotaShare(s.now))
	missing := b.reserve(r.Route.Priority, cost) - b.level
	if missing < 0 {
		return 0
	}
	return time.Duration(missing/(b.rate*b.share)*float64(time.Second)) + time.Millisecond
}

func (s *State) charge(r *request) {
	if r.Organisation == nil {
		return
	}
	if b := s.quotas[r.Organisation.Name]; b != nil && b.rate > 0 {
		r.charged = r.cost()
		b.debit(r.charged)
		b.used += r.charged
	}
}

// refund gives back what a request was charged that never ran.
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
			b.refill(s.now, s.members.quotaShare(s.now))
			out = append(out, Usage{Organisation: o.Name, Used: b.used, Level: b.level})
		}
	}
	return out
}

// applyUsage charges what a member has admitted since its last report.
func (s *State) applyUsage(m *member, usage []Usage, reconnected bool) {
	for _, u := range usage {
		b := s.quotas[u.Organisation]
		if b == nil {
			continue
		}
		b.refill(s.now, s.members.quotaShare(s.now))
		last, known := m.used[u.Organisation]
		m.used[u.Organisation] = u.Used
		switch {
		case !b.levelSynced && m.established && s.members.startingUp(s.now):
			b.level = u.Level - b.used
			// While others are still to be heard, the level is cut to a part.
			b.levelSynced = b.share >= 1
		case !known && !m.established && s.members.startingUp(s.now):
			// Both began with a part of their own; the level is the whole's.
			b.level = max(b.level, initialLevel*b.burst*b.share)
			b.debit(u.Used)
		case reconnected, !known && !m.startedLater:
			// What was admitted while the two did not hear each other was paid
			// for by the parts of the rate that each kept to.
			b.level = min(b.level, u.Level)
		default:
			b.debit(u.Used - last)
		}
	}
}
