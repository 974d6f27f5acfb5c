package scheduler

import "time"

const (
	// shareBonus is by how much an instance exceeds its part of a quota while
	// instances are out of reach. Quotas may be overrun by a quarter; the rest
	// covers what is under way between instances.
	shareBonus = 1.1
	// debtLimit is the largest debt of a bucket, in seconds of its rate: what
	// instances may admit before they know of each other's admissions.
	debtLimit = 2.0
	// leastReserve is the part of a full bucket that the most urgent requests
	// leave to those that cost little. reserveShare is the further part that
	// is kept for urgent requests, reserveSteps the number of ranks over which
	// it is divided.
	leastReserve = 0.08
	reserveShare = 0.5
	reserveSteps = 2
	// freshLevel is the part of a full bucket with which instances begin that
	// all start anew: each time they were away for longer than it takes to
	// fill it.
	freshLevel = 0.5
	// costWeight is the weight of a new sample in the mean cost.
	costWeight = 0.02
)

// bucket is this instance's view of an organisation's token bucket, which all
// instances share: it is filled at the whole rate and pays for what every
// reachable instance admits.
type bucket struct {
	rate, burst float64
	level       float64
	at          Instant
	// used is the sum of this instance's own charges.
	used float64
	// part is the part of the quota that the instances in reach may use.
	part float64
	// meanCost is the moving average of what requests cost.
	meanCost float64
	// adopted is set once an instance that was there before told its level.
	adopted bool
}

// fill adds what has accrued. part is the part of the whole quota that the
// instances in reach may use.
func (b *bucket) fill(now Instant, part float64) {
	b.part = part
	b.level = min(b.level+b.rate*part*now.Sub(b.at).Seconds(), b.burst*part)
	b.at = now
}

// reserve is the level that a request must leave to more urgent ones. Where
// an organisation asks for more than its quota, urgent requests then get it
// first. A request that costs little needs to leave little.
func (b *bucket) reserve(priority int, cost float64) float64 {
	if b.meanCost <= 0 {
		return 0
	}
	share := leastReserve + reserveShare*float64(min(priority, reserveSteps))/reserveSteps
	return share * b.burst * b.part * min(1, cost/b.meanCost)
}

// observe notes the cost of a request that was asked for.
func (b *bucket) observe(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += costWeight * (cost - b.meanCost)
}

func (b *bucket) pay(cost float64) {
	b.level = max(b.level-cost, -debtLimit*b.rate)
}

// adoptQuotas follows a changed configuration. A new bucket is not full:
// nobody knows what was admitted before.
func (s *State) adoptQuotas() {
	for _, o := range s.table.Organisations() {
		b := s.quotas[o.Name]
		fresh := b == nil
		if fresh {
			b = &bucket{at: s.now}
			s.quotas[o.Name] = b
		}
		part := s.members.quotaPart(s.now)
		b.fill(s.now, part)
		b.rate = o.Quota.RatePerSecond
		b.burst = max(o.Quota.Burst, b.rate*TickInterval.Seconds())
		b.level = min(b.level, b.burst)
		if fresh && s.members.allYoung(s.now) {
			b.level = freshLevel * b.burst * part
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
	b.observe(cost)
	s.members.demand.add(cost)
	b.fill(s.now, s.members.quotaPart(s.now))
	missing := b.reserve(r.Route.Priority, cost) - b.level
	if missing < 0 {
		return 0
	}
	return time.Duration(missing/(b.rate*b.part)*float64(time.Second)) + time.Millisecond
}

func (s *State) charge(r *request) {
	if r.Organisation == nil {
		return
	}
	if b := s.quotas[r.Organisation.Name]; b != nil && b.rate > 0 {
		r.charged = r.cost()
		b.pay(r.charged)
		b.used += r.charged
	}
}

// refund gives back what a request was charged that never ran.
func (s *State) refund(r *request) {
	if r.charged == 0 {
		return
	}
	if b := s.quotas[r.Organisation.Name]; b != nil {
		b.level = min(b.level+r.charged, b.burst*b.part)
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
			b.fill(s.now, s.members.quotaPart(s.now))
			out = append(out, Usage{Organisation: o.Name, Used: b.used, Level: b.level})
		}
	}
	return out
}

// learnUsage charges what a member has admitted since its last report.
func (s *State) learnUsage(m *member, usage []Usage, joining bool) {
	for _, u := range usage {
		b := s.quotas[u.Organisation]
		if b == nil {
			continue
		}
		b.fill(s.now, s.members.quotaPart(s.now))
		last, known := m.used[u.Organisation]
		m.used[u.Organisation] = u.Used
		switch {
		case !b.adopted && m.old && s.members.young(s.now):
			b.level = u.Level - b.used
			// While others are still to be heard, the level is cut to a part.
			b.adopted = b.part >= 1
		case !known && !m.old && s.members.young(s.now):
			// Both began with a part of their own; the level is the whole's.
			b.level = max(b.level, freshLevel*b.burst*b.part)
			b.pay(u.Used)
		case joining, !known && !m.younger:
			// What was admitted while the two did not hear each other was paid
			// for by the parts of the rate that each kept to.
			b.level = min(b.level, u.Level)
		default:
			b.pay(u.Used - last)
		}
	}
}
