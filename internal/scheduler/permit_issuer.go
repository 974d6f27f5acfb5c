package scheduler

import (
	"slices"
	"time"
)

const (
	// permitRateFraction is the fraction of a limit that is issued. The rest
	// covers permits that are issued in one window and used in the next.
	permitRateFraction = 0.95
	// minPermitsPerSecond is the rate at which permits are issued for an endpoint
	// whose limit is lower, since only an answer shows that the limit was lifted.
	minPermitsPerSecond = 0.2
	// permitBurstTime is the time for which unused permits accumulate, though at
	// least one does.
	permitBurstTime = 200 * time.Millisecond
	// takeoverDelay is the time for which an instance that becomes an owner issues
	// no permits, since the previous owner's may still be in use.
	takeoverDelay = time.Second
	// permitPartitionBonus is the factor by which the owner exceeds the share of
	// the reachable instances while others are unreachable. Partitions that each
	// have an owner exceed the limit together by this factor at most.
	permitPartitionBonus = 1.25
	// oldestAskInterval is the number of permits issued by urgency after which the
	// instance that has waited longest gets one, so that no request starves.
	oldestAskInterval = lowestRankInterval
)

// permitIssuer is the state of the instance that owns the limit of an endpoint:
// a token bucket, and the instances that ask for permits.
type permitIssuer struct {
	level      float64
	refilledAt Instant
	// asks holds at most one entry for each instance.
	asks []*openAsk
	// issued counts permits since the last log line, sinceOldest since the last
	// one for the oldest ask.
	issued, sinceOldest int
}

// openAsk is an instance's request for permits.
type openAsk struct {
	from        string
	incarnation uint64
	PermitAsk
	// receivedAt is when the ask was received. waitingSince is when the instance
	// last got a permit or began to ask.
	receivedAt, waitingSince Instant
	expiresAt                Instant
}

// permitOwner returns the address of the instance that issues permits for e: one
// of the endpoint's zone, which reaches it as long as any does. Instances with
// different views may choose different owners for a moment.
func (s *State) permitOwner(e *endpoint) string {
	candidates := s.reachableInstances
	if s.leaving {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.address == s.cfg.Address })
	}
	inside, outside := splitByZone(candidates, e.Zone)
	switch {
	case len(inside) > 0:
		return topByHash(e.ID, inside, 1)[0]
	case len(outside) > 0:
		return topByHash(e.ID, outside, 1)[0]
	case s.leaving:
		return ""
	}
	return s.cfg.Address
}

// assignPermitOwners updates the owners of all limits. A leaving instance hears
// of no changes, so it keeps the owners that it knows.
func (s *State) assignPermitOwners() {
	for _, e := range s.limits {
		owner := s.permitOwner(e)
		if owner == e.limit.owner || owner == "" {
			continue
		}
		e.limit.owner = owner
		e.limit.issuer = permitIssuer{refilledAt: s.now}
		if owner == s.cfg.Address {
			e.limit.issuer.level = -e.limit.permitsPerSecond() * takeoverDelay.Seconds()
		}
		s.log("endpoint_limit_owner", "endpoint", e.ID, "owner", owner)
	}
}

// permitsPerSecond returns the rate at which permits are issued.
func (l *endpointLimit) permitsPerSecond() float64 {
	rate := permitRateFraction * l.PerSecond
	if l.cold > 0 && (!l.Named || l.cold < rate) {
		rate = l.cold
	}
	return max(rate, minPermitsPerSecond)
}

// permitShare returns the fraction of a limit that the reachable instances may
// use. The unreachable ones may have an owner of their own.
func (s *State) permitShare() float64 { return min(1, permitPartitionBonus*s.reachableShare()) }

// reachableShare returns the fraction of the instances that this one reaches.
func (s *State) reachableShare() float64 {
	m := &s.members
	reachable := 1
	for _, x := range m.byAddress {
		if m.reachable(x, s.now) {
			reachable++
		}
	}
	return min(1, float64(reachable)/float64(m.instanceCount(s.now)))
}

func (l *endpointLimit) refill(now Instant, share float64) {
	rate := l.permitsPerSecond() * share
	i := &l.issuer
	i.level = min(i.level+rate*now.Sub(i.refilledAt).Seconds(), l.maxLevel())
	i.refilledAt = now
}

func (l *endpointLimit) maxLevel() float64 {
	burst := permitBurstTime
	if l.cold > 0 {
		burst = coldBurstTime
	}
	return max(1, l.permitsPerSecond()*burst.Seconds())
}

// permitAsked applies an instance's ask.
func (s *State) permitAsked(from string, incarnation uint64, ask PermitAsk) {
	e := s.incarnations[ask.Endpoint]
	if e == nil || !e.limited() || e.limit.owner != s.cfg.Address {
		s.count(CounterPermits, "ask_ignored")
		return
	}
	i := &e.limit.issuer
	k := slices.IndexFunc(i.asks, func(a *openAsk) bool { return a.from == from })
	if k < 0 {
		k = len(i.asks)
		i.asks = append(i.asks, &openAsk{from: from, waitingSince: s.now})
	}
	open := i.asks[k]
	if open.incarnation == incarnation && ask.Number <= open.Number {
		return
	}
	if open.Wanted == 0 {
		open.waitingSince = s.now
	}
	open.incarnation, open.PermitAsk, open.receivedAt = incarnation, ask, s.now
	open.expiresAt = s.now.Add(askLifetime(s.instancesUsing(e)))
	i.level = min(i.level+float64(ask.Returned), e.limit.maxLevel())
	s.issuePermits(e)
}

// issuePermits grants the available permits to the instances that ask for them.
func (s *State) issuePermits(e *endpoint) {
	l := e.limit
	i := &l.issuer
	share := s.permitShare()
	if l.cold > 0 {
		share = s.reachableShare()
		if s.coldUnsettled() {
			l.issuer.level, l.issuer.refilledAt = 0, s.now
			return
		}
	}
	l.refill(s.now, share)
	i.asks = slices.DeleteFunc(i.asks, func(a *openAsk) bool { return s.now >= a.expiresAt })
	grants := map[*openAsk]int{}
	var order []*openAsk
	for i.level >= 1 {
		a := i.nextAsk()
		if a == nil {
			break
		}
		if grants[a] == 0 {
			order = append(order, a)
		}
		grants[a]++
		i.level--
		i.issued++
		a.Wanted--
		a.waitingSince = s.now
	}
	for _, a := range order {
		s.grantsSent++
		s.emitGrant(a, PermitGrant{Endpoint: e.incarnation(), Ask: a.Number, Number: s.grantsSent, Permits: grants[a], Queued: s.now.Sub(a.receivedAt)})
	}
}

// nextAsk returns the ask that gets the next permit: the most urgent one, and
// now and then the one that has waited longest.
func (i *permitIssuer) nextAsk() *openAsk {
	var best, oldest *openAsk
	for _, a := range i.asks {
		if a.Wanted <= 0 {
			continue
		}
		if oldest == nil || a.waitingSince < oldest.waitingSince {
			oldest = a
		}
		if best == nil || a.Urgency < best.Urgency || a.Urgency == best.Urgency && a.waitingSince < best.waitingSince {
			best = a
		}
	}
	i.sinceOldest++
	if i.sinceOldest > oldestAskInterval || best == oldest {
		i.sinceOldest = 0
		return oldest
	}
	return best
}

// emitGrant delivers a grant to the instance that asked, which may be this one.
func (s *State) emitGrant(a *openAsk, g PermitGrant) {
	s.emit(Counted{Counter: CounterPermits, Label: "issued", Delta: int64(g.Permits)})
	if a.from == s.cfg.Address {
		s.permitGranted(s.cfg.Incarnation, g)
		return
	}
	report := s.partialReport()
	report.Grants = []PermitGrant{g}
	s.emit(SendReport{To: []string{a.from}, Report: report})
}
