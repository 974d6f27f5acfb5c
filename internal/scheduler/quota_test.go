package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

const (
	testRate  = 100_000.0
	testBurst = 100_000.0
	// The limit on an organisation's use in each window, as deployments state it:
	// (rate x window + burst) x (1 + overshoot) + slack.
	testWindow    = 8 * time.Second
	testOvershoot = 0.25
	testSlack     = 0.39 * testRate
)

func quotaConfig() routing.Config {
	return routing.Config{Version: 1, Organisations: []routing.Organisation{{
		Name: "org", Quota: routing.Quota{RatePerSecond: testRate, Burst: testBurst, InTokens: true, DefaultTokens: 200},
	}}}
}

// fleet is a set of instances that send reports over links with packet loss and
// partitions.
type fleet struct {
	t         *testing.T
	rand      *rand.Rand
	now       Instant
	config    routing.Config
	instances []*instance
	// group is the number of the partition to which each instance belongs.
	group         []int
	admitted      []admission
	requestedCost float64
	starts        uint64
	lossRate      float64
}

type admission struct {
	at   Instant
	cost float64
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: Instant(time.Hour), config: quotaConfig(), lossRate: 0.02}
	f.instances = make([]*instance, n)
	f.group = make([]int, n)
	for k := range n {
		f.start(k)
	}
	return f
}

func address(k int) string { return fmt.Sprintf("10.0.0.%d:1", k+1) }

// start replaces an instance with a newly started one.
func (f *fleet) start(k int) {
	f.starts++
	cfg := testConfig()
	cfg.Address = address(k)
	cfg.Incarnation = f.starts
	cfg.RandomSeed = f.starts
	cfg.Seeds = []string{address(0), address(1), address(2)}
	i := newInstance(f.t, cfg)
	i.now = f.now
	i.s = New(cfg, f.now)
	i.configure(f.config)
	i.applyChanges(engines(4, 100_000)...)
	f.instances[k] = i
}

func (f *fleet) org() *routing.Organisation { return &f.config.Organisations[0] }

// tick advances the fleet by one tick: arrivals at every instance, then
// reports.
func (f *fleet) tick(demand []float64) {
	f.now = f.now.Add(TickInterval)
	for k, i := range f.instances {
		i.now = f.now
		i.confirmConfig()
		i.step(Tick{})
		f.arrivals(i, demand[k])
	}
	for k, i := range f.instances {
		for _, r := range i.reports {
			f.deliver(k, r)
		}
		i.reports = nil
	}
}

func (f *fleet) arrivals(i *instance, demand float64) {
	const cost = 1000
	expected := demand * TickInterval.Seconds() / cost
	n := int(expected)
	if f.rand.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		f.requestedCost += cost
		id := i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Tokens = f.org(), cost })
		if i.running(id) {
			f.admitted = append(f.admitted, admission{f.now, cost})
			i.end(id, Attempt{Outcome: Completed})
		}
	}
}

func (f *fleet) deliver(from int, r SendReport) {
	for _, to := range r.To {
		for k, other := range f.instances {
			if address(k) == to && f.group[k] == f.group[from] && f.rand.Float64() >= f.lossRate {
				other.step(PeerReported{Report: r.Report})
			}
		}
	}
}

// maxInWindow returns the highest cost admitted in any window.
func (f *fleet) maxInWindow() float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, a := range f.admitted {
		sum += a.cost
		for a.at.Sub(f.admitted[first].at) > testWindow {
			sum -= f.admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

func (f *fleet) total(from, to Instant) float64 {
	sum := 0.0
	for _, a := range f.admitted {
		if a.at > from && a.at <= to {
			sum += a.cost
		}
	}
	return sum
}

func quotaBound() float64 {
	return (testRate*testWindow.Seconds()+testBurst)*(1+testOvershoot) + testSlack
}

// Load pattern: one organisation requests several times its quota, unevenly
// over the instances, while instances are restarted, partitioned and
// reconnected. The limit on the total must hold in every window.
func TestQuotaHoldsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		f := newFleet(t, 6, seed)
		demand := make([]float64, len(f.instances))
		for tick := range 60 * int(time.Second/TickInterval) {
			if tick%100 == 0 {
				f.injectFault(demand)
			}
			f.tick(demand)
		}
		must.LessEq(t, quotaBound(), f.maxInWindow(), must.Sprintf("seed %d", seed))
	}
}

// injectFault draws new demands and either one fault or a reconnection.
func (f *fleet) injectFault(demand []float64) {
	for k := range demand {
		demand[k] = f.rand.Float64() * testRate
	}
	switch f.rand.IntN(6) {
	case 0:
		for k := range f.group {
			f.group[k] = f.rand.IntN(2)
		}
	case 1:
		for k := range f.group {
			f.group[k] = k
		}
	case 2:
		f.start(f.rand.IntN(len(f.instances)))
	case 3:
		for k := range f.instances {
			f.start(k)
		}
	default:
		clear(f.group)
	}
}

// Load pattern: demand at twice the quota, without faults. The whole quota is
// served, whichever instance receives the requests.
func TestFullQuotaIsUsableAtAnyInstance(t *testing.T) {
	f := newFleet(t, 6, 1)
	demand := []float64{2 * testRate, 0, 0, 0, 0, 0}
	for range 20 * int(time.Second/TickInterval) {
		f.tick(demand)
	}
	measureStart := f.now.Add(-10 * time.Second)
	must.Greater(t, 0.97*10*testRate, f.total(measureStart, f.now))
	must.Less(t, 1.05*10*testRate, f.total(measureStart, f.now))
}

// Load pattern: a partition isolates the instance that receives most of the
// demand. It keeps the larger part of the quota.
func TestPartitionedInstanceKeepsItsDemandShare(t *testing.T) {
	f := newFleet(t, 6, 1)
	demand := []float64{0.6 * testRate, 0.05 * testRate, 0.05 * testRate, 0.05 * testRate, 0.05 * testRate, 0.05 * testRate}
	for range 10 * int(time.Second/TickInterval) {
		f.tick(demand)
	}
	f.group[0] = 1
	for range 3 * int(time.Second/TickInterval) {
		f.tick(demand)
	}
	start := f.now
	for range 5 * int(time.Second/TickInterval) {
		f.tick(demand)
	}
	must.Greater(t, 0.95*5*0.85*testRate, f.total(start, f.now))
}

// Load pattern: a newly started instance without contact to any other. It
// admits a small share of the quota.
func TestIsolatedNewInstanceAdmitsSmallShare(t *testing.T) {
	f := newFleet(t, 6, 1)
	for k := range f.group {
		f.group[k] = k
	}
	demand := []float64{2 * testRate, 0, 0, 0, 0, 0}
	for range 8 * int(time.Second/TickInterval) {
		f.tick(demand)
	}
	must.Less(t, (8*testRate+initialLevel*testBurst)/minAssumedInstances*partitionBonus, f.total(0, f.now))
}

// Load pattern: an organisation exceeds its quota with requests of several
// ranks. Urgent requests are admitted first; requests of low cost are admitted
// as well.
func TestUrgentRequestsGetQuotaFirst(t *testing.T) {
	i := newInstance(t, testConfig())
	config := quotaConfig()
	i.configure(config)
	i.applyChanges(engines(4, 100_000)...)
	o := &config.Organisations[0]
	served := map[string]float64{}
	routes := []*routing.Route{route("urgent", 0), route("low", 2), route("cheap", 2)}
	costs := map[string]int{"urgent": 3000, "low": 3000, "cheap": 100}
	arrivals := 0.0
	for tick := range 30 * int(time.Second/TickInterval) {
		i.now = i.now.Add(TickInterval)
		i.confirmConfig()
		i.step(Tick{})
		for _, r := range routes {
			if tick%3 == 0 {
				continue
			}
			arrivals++
			id := i.arrive(r, func(q *Request) { q.Organisation, q.Tokens = o, costs[r.Name] })
			if i.running(id) {
				served[r.Name]++
				i.end(id, Attempt{Outcome: Completed})
			}
		}
	}
	perRoute := arrivals / 3
	must.Greater(t, 0.9*perRoute, served["urgent"], must.Sprint(served))
	must.Greater(t, 0.9*perRoute, served["cheap"], must.Sprint(served))
	must.Less(t, served["urgent"]/2, served["low"], must.Sprint(served))
}

// Load pattern: all instances lose power and the callers return. An
// organisation's usual demand is served immediately.
func TestUsualDemandIsServedAfterFullRestart(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.lossRate = 0
	for range 4 {
		f.tick(make([]float64, 6))
	}
	start := f.now
	demand := make([]float64, 6)
	for k := range demand {
		demand[k] = 0.6 * testRate / 6
	}
	for range int(time.Second / TickInterval) {
		f.tick(demand)
	}
	must.GreaterEq(t, f.requestedCost, f.total(start, f.now))
}

// Load pattern: one instance restarts while its organisation stays within its
// quota. It takes over the bucket level of the others.
func TestRestartedInstanceAdoptsBucketLevel(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.lossRate = 0
	for range 20 * int(time.Second/TickInterval) {
		f.tick(make([]float64, 6))
	}
	f.start(4)
	for range 10 {
		f.tick(make([]float64, 6))
	}
	got := f.instances[4].s.usageReport()
	must.Greater(t, 0.95*testBurst, got[0].Level)
}

func TestRefusedRequestIsNotCharged(t *testing.T) {
	i := newInstance(t, testConfig())
	config := quotaConfig()
	i.configure(config)
	i.applyChanges(engine(0, 1))
	i.advance(2 * time.Second)
	i.s.usageReport()
	level := i.s.quotas["org"].level
	o := &config.Organisations[0]
	for range 10 {
		i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Tokens = o, 1000 })
	}
	must.Eq(t, level-10_000, i.s.quotas["org"].level)
	i.advance(time.Second)
	must.Eq(t, float64(1+endpointQueueDepth)*1000, i.s.quotas["org"].used)
}

func TestUnknownTokenCountCostsDefault(t *testing.T) {
	r := request{Request: Request{Organisation: &quotaConfig().Organisations[0]}}
	must.Eq(t, 200, r.cost())
	r.Tokens = 7
	must.Eq(t, 7, r.cost())
}

// quotaInstance returns an instance with one organisation whose bucket has a level.
func quotaInstance(t *testing.T, rate, burst, level float64) (*instance, *routing.Organisation) {
	i := newInstance(t, testConfig())
	config := routing.Config{Version: 1, Organisations: []routing.Organisation{
		{Name: "org", Quota: routing.Quota{RatePerSecond: rate, Burst: burst, InTokens: true, DefaultTokens: 200}},
		{Name: "other", Quota: routing.Quota{RatePerSecond: 1e9, Burst: 1e9, InTokens: true, DefaultTokens: 200}},
	}}
	i.configure(config)
	i.applyChanges(engines(4, 100_000)...)
	i.s.usageReport()
	i.s.quotas["org"].level, i.s.quotas["other"].level = level, 1e9
	return i, &config.Organisations[0]
}

// Load pattern: a burst takes half of a large bucket, which still holds two seconds of
// the organisation's rate. Guards against a refusal of less urgent requests that are within
// the quota.
func TestReserveDoesNotGrowWithTheBurst(t *testing.T) {
	for seconds, admitted := range map[float64]bool{2: true, 1: true, 0.7: true, 0.5: false} {
		i, org := quotaInstance(t, testRate, 4*testRate, seconds*testRate)
		i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Tokens = org, 3000 })
		id := i.arrive(route("low", 2), func(q *Request) { q.Organisation, q.Tokens = org, 3000 })
		must.Eq(t, admitted, i.running(id), must.Sprint(seconds))
	}
}

// Load pattern: many instances, each of which receives a request of an organisation now
// and then. Guards against a cheap request that is taken for one of the mean cost because
// it is the first of its organisation at this instance.
func TestFirstCheapRequestOfAnOrganisationIsAdmitted(t *testing.T) {
	i, org := quotaInstance(t, testRate, testRate, 0.2*testRate)
	other := &routing.Organisation{Name: "other", Quota: routing.Quota{RatePerSecond: 1e9, Burst: 1e9, InTokens: true}}
	for n := range 20 {
		i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Tokens = other, 200+n%4*1500 })
	}
	cheap := i.arrive(route("cheap", 2), func(q *Request) { q.Organisation, q.Tokens = org, 200 })
	must.True(t, i.running(cheap))
	mean := i.arrive(route("mean", 2), func(q *Request) { q.Organisation, q.Tokens = org, 3000 })
	must.False(t, i.running(mean))
}
