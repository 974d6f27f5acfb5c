package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a large system reports to other zones are seconds apart, and an organisation whose
// requests arrive at many instances could use its quota many times over before they know
// of each other. There each quota has a keeper among the reachable instances, by
// rendezvous hashing: instances send it what they admit at once, it answers with the
// level of the bucket, and it sends a low level to all. The keeper decides nothing, so
// instances need not agree on it: one that is not answered relies on the reports alone.
const (
	// keptLevelRetention is how long a keeper's level counts.
	keptLevelRetention = time.Second
	// lowLevelInterval is the time between two notices of a low level. lowLevelSeconds is
	// the level in seconds of the rate, or of a smaller burst, below which it is low.
	lowLevelInterval = 250 * time.Millisecond
	lowLevelSeconds  = 0.5
	// keeperTimeout is how long a keeper may leave usage unanswered before another one
	// takes its place for keeperPause.
	keeperTimeout = 300 * time.Millisecond
	keeperPause   = 5 * time.Second
)

// QuotaLevel is the level of an organisation's bucket at the keeper of its quota.
type QuotaLevel struct {
	Organisation string
	Level        float64
}

// keptLevel is the level that a bucket's keeper reported at a time at which this instance
// had used some tokens of it in all.
type keptLevel struct {
	level, used float64
	at          Instant
}

// available returns the level of the bucket as far as this instance knows: the lower one
// of its own and the keeper's.
func (b *bucket) available(now Instant) float64 {
	passed := now.Sub(b.kept.at)
	if b.kept.at == 0 || passed > keptLevelRetention {
		return b.level
	}
	kept := b.kept.level + b.rate*b.share*passed.Seconds() - (b.used - b.kept.used)
	return min(b.level, kept, b.burst*b.share)
}

// keeperOf returns the address of the instance that keeps an organisation's quota.
func (s *State) keeperOf(organisation string, b *bucket) string {
	if b.keeper != "" && b.keeperChosen == s.keeperChanges {
		return b.keeper
	}
	hash, highest := xxhash.Sum64String(organisation), uint64(0)
	b.keeper, b.keeperChosen = s.cfg.Address, s.keeperChanges
	for _, c := range s.reachableInstances {
		if x := s.members.byAddress[c.address]; x == nil && c.address != s.cfg.Address || x != nil && s.now < x.keeperAvoidUntil {
			continue
		}
		if h := mix64(c.hash ^ hash); h >= highest {
			b.keeper, highest = c.address, h
		}
	}
	return b.keeper
}

// usageChanged marks the usage of an organisation for sending to its keeper.
func (s *State) usageChanged(organisation string) {
	if s.largeSystem() && !slices.Contains(s.changedUsage, organisation) {
		s.changedUsage = append(s.changedUsage, organisation)
	}
}

// sendUsage sends the changed usage to the keepers.
func (s *State) sendUsage() {
	byKeeper := map[string][]Usage{}
	var order []string
	for _, name := range s.changedUsage {
		b := s.quotas[name]
		keeper := s.keeperOf(name, b)
		x := s.members.byAddress[keeper]
		if x == nil {
			continue
		}
		if x.usageUnanswered == 0 {
			x.usageUnanswered = s.now
		}
		if byKeeper[keeper] == nil {
			order = append(order, keeper)
		}
		byKeeper[keeper] = append(byKeeper[keeper], Usage{Organisation: name, Used: b.used, Level: b.level})
	}
	s.changedUsage = s.changedUsage[:0]
	for _, keeper := range order {
		report := s.partialReport()
		report.Usage = byKeeper[keeper]
		s.emit(SendReport{To: []string{keeper}, Report: report})
	}
}

// answerUsage debits what another instance has admitted and answers with the levels.
func (s *State) answerUsage(x *member, usage []Usage) {
	report := s.partialReport()
	for _, u := range usage {
		b := s.quotas[u.Organisation]
		if b == nil {
			continue
		}
		s.refill(b)
		if last, known := x.used[u.Organisation]; known {
			b.debit(u.Used - last)
			x.used[u.Organisation] = u.Used
		}
		report.Levels = append(report.Levels, QuotaLevel{u.Organisation, b.level})
	}
	s.emit(SendReport{To: []string{x.address}, Report: report})
}

// applyLevels applies the levels that a keeper has sent.
func (s *State) applyLevels(x *member, levels []QuotaLevel) {
	x.usageUnanswered = 0
	for _, l := range levels {
		if b := s.quotas[l.Organisation]; b != nil && s.keeperOf(l.Organisation, b) == x.address {
			b.kept = keptLevel{level: l.Level, used: b.used, at: s.now}
		}
	}
}

// reviewKeepers replaces keepers that do not answer.
func (s *State) reviewKeepers() {
	for _, x := range s.members.inOrder() {
		if x.usageUnanswered != 0 && s.now.Sub(x.usageUnanswered) > keeperTimeout {
			x.usageUnanswered = 0
			x.keeperAvoidUntil = s.now.Add(keeperPause)
			s.keeperChanges++
			s.count(CounterKeepersReplaced, "unanswered")
		}
	}
}

// sendLowLevels sends the low levels of the quotas that this instance keeps to all others.
func (s *State) sendLowLevels() {
	if s.table == nil || !s.largeSystem() || s.now.Sub(s.lowLevelsSentAt) < lowLevelInterval {
		return
	}
	s.lowLevelsSentAt = s.now
	var low []QuotaLevel
	for _, o := range s.table.Organisations() {
		b := s.quotas[o.Name]
		if b == nil || b.rate <= 0 || s.keeperOf(o.Name, b) != s.cfg.Address {
			continue
		}
		s.refill(b)
		if b.level < lowLevelSeconds*min(b.burst, b.rate)*b.share {
			low = append(low, QuotaLevel{o.Name, b.level})
		}
	}
	if to := s.members.addresses(); len(low) > 0 && len(to) > 0 {
		report := s.partialReport()
		report.Levels = low
		s.emit(SendReport{To: to, Report: report})
	}
}
