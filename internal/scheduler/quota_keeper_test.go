package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// newKeptInstance returns an instance of a large system whose organisation's quota is kept
// by another instance, or by itself, with a full bucket.
func newKeptInstance(t *testing.T, bySelf bool) (i *instance, org *routing.Organisation, keeper string) {
	t.Helper()
	for n := range 40 {
		i := newInstance(t, testConfig())
		config := quotaConfig()
		config.Organisations[0].Name = string(rune('A' + n))
		i.configure(config)
		i.applyChanges(engines(4, 100_000)...)
		for k := range 12 {
			i.memberReports(k, func(r *Report) { r.Age = time.Minute })
		}
		i.advance(TickInterval)
		b := i.s.quotas[config.Organisations[0].Name]
		b.level, b.share = testBurst, 1
		if keeper := i.s.keeperOf(config.Organisations[0].Name, b); bySelf == (keeper == i.s.cfg.Address) {
			i.reports = nil
			return i, &config.Organisations[0], keeper
		}
	}
	t.Fatal("no organisation with such a keeper")
	return nil, nil, ""
}

// memberReports delivers a report of the k-th of the other instances.
func (i *instance) memberReports(k int, change func(*Report)) {
	r := Report{Incarnation: uint64(100 + k), Address: address(10 + k), Zone: "b"}
	if x := i.s.members.byAddress[r.Address]; x != nil {
		r.Sequence = x.sequence
	}
	r.Sequence++
	change(&r)
	i.step(PeerReported{Report: r})
}

// partialReportFrom delivers a partial report of one of the other instances.
func (i *instance) partialReportFrom(a string, change func(*Report)) {
	for k := range 12 {
		if address(10+k) == a {
			i.memberReports(k, func(r *Report) { r.Partial = true; change(r) })
		}
	}
}

// advanceAmongMembers lets time pass in which all others report.
func (i *instance) advanceAmongMembers(d time.Duration) {
	for end := i.now.Add(d); i.now < end; {
		i.advance(TickInterval)
		for k := range 12 {
			i.memberReports(k, func(r *Report) { r.Age = time.Minute })
		}
	}
}

func (i *instance) admits(org *routing.Organisation) bool {
	return i.running(i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Tokens = org, 1000 }))
}

// Guards against an organisation that uses its quota at each of many instances before their
// reports, which are seconds apart, tell of it.
func TestUsageIsSentToTheKeeperAtOnce(t *testing.T) {
	i, org, keeper := newKeptInstance(t, false)
	must.True(t, i.admits(org))
	var sent []Usage
	for _, r := range i.reports {
		if len(r.Report.Usage) > 0 && r.Report.Partial {
			must.Eq(t, []string{keeper}, r.To)
			sent = r.Report.Usage
		}
	}
	must.Len(t, 1, sent)
	must.Eq(t, 1000, sent[0].Used)

	level := func(level float64) {
		i.partialReportFrom(keeper, func(r *Report) { r.Levels = []QuotaLevel{{org.Name, level}} })
	}
	level(-0.5 * testRate)
	must.False(t, i.admits(org))
	// The level that the keeper reported is filled at the quota's rate.
	i.advanceAmongMembers(700 * time.Millisecond)
	must.True(t, i.admits(org))
	level(-0.5 * testRate)
	must.False(t, i.admits(org))
	for k := range 12 {
		if address(10+k) != keeper {
			i.memberReports(k, func(r *Report) { r.Partial, r.Levels = true, []QuotaLevel{{org.Name, testBurst}} })
		}
	}
	must.False(t, i.admits(org), must.Sprint("only the keeper's level counts"))
}

// Guards against a keeper that never answers, such as one of an older build, on which a
// quota waits for ever.
func TestKeeperThatDoesNotAnswerIsReplaced(t *testing.T) {
	i, org, keeper := newKeptInstance(t, false)
	i.partialReportFrom(keeper, func(r *Report) { r.Levels = []QuotaLevel{{org.Name, -testRate}} })
	must.False(t, i.admits(org))
	i.advanceAmongMembers(keptLevelRetention + 2*TickInterval)
	must.True(t, i.admits(org), must.Sprint("the keeper's level is too old"))
	i.advanceAmongMembers(keeperTimeout + 2*TickInterval)
	next := i.s.keeperOf(org.Name, i.s.quotas[org.Name])
	must.NotEq(t, keeper, next)
	i.s.nextAssignment = i.now
	i.advanceAmongMembers(keeperPause + time.Second)
	i.s.keeperChanges++
	must.Eq(t, keeper, i.s.keeperOf(org.Name, i.s.quotas[org.Name]))
}

// Guards against usage that the keeper counts twice, and against a low level that instances
// learn only when they ask.
func TestKeeperAnswersWithTheLevelAndSendsLowLevels(t *testing.T) {
	i, org, _ := newKeptInstance(t, true)
	use := func(used float64) {
		i.memberReports(3, func(r *Report) { r.Partial, r.Usage = true, []Usage{{Organisation: org.Name, Used: used}} })
	}
	i.memberReports(3, func(r *Report) {
		r.Age, r.Usage = time.Minute, []Usage{{Organisation: org.Name, Used: 5000, Level: testBurst}}
	})
	before := i.s.quotas[org.Name].level
	i.reports = nil
	use(15_000)
	use(15_000)
	must.Eq(t, before-10_000, i.s.quotas[org.Name].level)
	must.Len(t, 2, i.reports)
	must.Eq(t, []string{address(13)}, i.reports[1].To)
	must.Eq(t, []QuotaLevel{{org.Name, before - 10_000}}, i.reports[1].Report.Levels)

	i.reports = nil
	i.advanceAmongMembers(lowLevelInterval + TickInterval)
	for _, r := range i.reports {
		must.SliceEmpty(t, r.Report.Levels)
	}
	use(15_000 + 1.2*testBurst)
	i.reports = nil
	i.advanceAmongMembers(lowLevelInterval + TickInterval)
	told := 0
	for _, r := range i.reports {
		if len(r.Report.Levels) > 0 {
			told = len(r.To)
		}
	}
	must.Eq(t, 12, told)
}
