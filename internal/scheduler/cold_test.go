package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// coldConfig is a configuration whose endpoints take some requests per second while cold.
func coldConfig(version int64, start time.Duration, perSecond float64) directory.Change {
	return directory.Change{Config: &routing.Config{Version: version, Services: []routing.Service{
		{Name: service, ColdStart: start, ColdPerSecond: perSecond}}}}
}

// cold returns the entry of an engine that states for how long it is cold.
func cold(n int, started, revision int64, remaining time.Duration) directory.Change {
	c := engine(n, 10)
	c.Revision = revision
	c.Endpoint.Started, c.Endpoint.ColdRemaining, c.Endpoint.ColdStated = started, remaining, true
	return c
}

func (i *instance) isCold(id string) bool {
	e := i.s.endpoints[id]
	return e.limited() && e.limit.cold > 0
}

// Guards against a re-read of an old entry that starts coldness anew, and against an
// endpoint that stays limited once it is warm.
func TestColdEntryCountsOnceAndEnds(t *testing.T) {
	i := newInstance(t, testConfig())
	i.applyChanges(coldConfig(1, 0, 7), cold(0, 1, 5, 2*time.Second))
	must.True(t, i.isCold("e0"))
	must.Eq(t, 7, i.s.endpoints["e0"].limit.effective())
	i.advance(1500 * time.Millisecond)
	i.applyChanges(cold(0, 1, 5, 2*time.Second))
	i.advance(600 * time.Millisecond)
	must.False(t, i.isCold("e0"))
	must.Less(t, slowStartHold, i.now.Sub(i.s.endpoints["e0"].slowStartedAt))
	i.applyChanges(cold(0, 1, 9, 2*time.Second))
	must.True(t, i.isCold("e0"))
	i.applyChanges(cold(0, 1, 10, 0))
	must.False(t, i.isCold("e0"))
}

// Guards against a new process without a figure that gets its full load at once, against
// all endpoints that count as cold when an instance starts, and against a process whose
// entry was missing for a moment and counts as new.
func TestOnlyProcessThatAppearsWithoutFigureIsCold(t *testing.T) {
	i := newInstance(t, testConfig())
	i.applySnapshot(coldConfig(1, 2*time.Second, 7), engine(0, 10))
	must.False(t, i.isCold("e0"))
	i.applyChanges(directory.Change{EndpointID: "e0"})
	i.applyChanges(engine(0, 10))
	must.False(t, i.isCold("e0"))
	i.applyChanges(engine(1, 10))
	must.True(t, i.isCold("e1"))
	// Another process at the ID and the address of the first.
	replaced := engine(0, 10)
	replaced.Endpoint.Started = 2
	i.applyChanges(replaced)
	must.True(t, i.isCold("e0"))
	// The entry of the process before says nothing about it.
	i.applyChanges(cold(0, 1, 99, time.Hour))
	i.advance(2100 * time.Millisecond)
	must.False(t, i.isCold("e0"))
	must.False(t, i.isCold("e1"))
}

// Guards against a cold limit that others take for a statement of the endpoint, and
// against one that hides a lower limit which the endpoint states.
func TestColdLimitIsNotReportedAndLowerLimitCounts(t *testing.T) {
	i := newInstance(t, testConfig())
	i.applyChanges(coldConfig(1, 0, 7), cold(0, 1, 5, time.Hour))
	must.SliceEmpty(t, i.s.limitReport())
	e := i.s.endpoints["e0"]
	i.s.mergeLimits([]LimitStatement{{Endpoint: e.incarnation(), Limit: RateLimit{Named: true, PerSecond: 3}}}, "x")
	must.Eq(t, 3, e.limit.effective())
	must.Eq(t, 3, i.s.limitReport()[0].Limit.PerSecond)
	i.advance(time.Second)
	i.s.mergeLimits([]LimitStatement{{Endpoint: e.incarnation()}}, "x")
	must.True(t, e.limited())
	must.Eq(t, 7, e.limit.effective())
	i.applyChanges(cold(0, 1, 6, 0))
	must.False(t, e.limited())
}

// Guards against cold figures that have an effect where the configuration has no rate.
func TestColdEndpointWithoutRateIsNotLimited(t *testing.T) {
	i := newInstance(t, testConfig())
	i.applyChanges(coldConfig(1, time.Hour, 0), cold(0, 1, 5, time.Hour), engine(1, 4))
	must.SliceEmpty(t, i.s.limits)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// worstSecond returns the largest number of requests that reached an engine in any second
// of [from, to).
func (l *simLimits) worstSecond(engine string, from, to Instant) int {
	most := 0
	for _, a := range l.arrivals[engine] {
		if a.at >= from && a.at < to {
			most = max(most, l.count(engine, a.at, min(a.at.Add(time.Second), to)))
		}
	}
	return most
}

// Guards against cold endpoints that get more than they take: half of the endpoints come
// back cold under load, all instances start again at once while they are cold, and the
// requests of all instances at each cold endpoint in any second are counted.
func TestColdReturnStaysWithinRate(t *testing.T) {
	t.Parallel()
	const perSecond, coldFor = 1.0, 4 * time.Second
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d_restarted=%v", size.instances, restarted), func(t *testing.T) {
				t.Parallel()
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.limits = newSimLimits()
				f.advance(3 * time.Second)
				config := coldConfig(2, 0, perSecond)
				config.Config.Organisations = f.quota.organisations()
				f.configVersion = 2
				f.read(config)
				load := 0.5 * float64(size.engines*size.slots) / simServiceTime.Seconds()
				f.runLoad(load, 300*time.Millisecond)
				var back, entries []directory.Change
				for n := range size.engines {
					id := fmt.Sprintf("e%d", n)
					c := f.entry(f.engines[id])
					c.Revision = 10
					if n%2 == 0 {
						f.read(directory.Change{EndpointID: id, Revision: 9})
						f.engines[id].started = 2
						c = f.entry(f.engines[id])
						c.Revision = 11
						c.Endpoint.ColdRemaining, c.Endpoint.ColdStated = coldFor, true
						back = append(back, c)
					}
					entries = append(entries, c)
				}
				f.advance(simServiceTime)
				from := f.now
				f.read(back...)
				if restarted {
					for n, i := range f.instances {
						f.start(i, uint64(1000+n), entries)
					}
					f.read(config)
				}
				f.runLoad(load, coldFor-100*time.Millisecond)
				worst, total := 0, 0
				for _, c := range back {
					worst = max(worst, f.limits.worstSecond(c.EndpointID, from, f.now))
					total += f.limits.count(c.EndpointID, from, f.now)
				}
				t.Logf("worst second %d, %d requests at %d cold endpoints in %v", worst, total, len(back), f.now.Sub(from))
				must.LessEq(t, 1.5*perSecond+5, float64(worst))
				must.Positive(t, total)
			})
		}
	}
}

// Guards against an instance that has just started, takes itself for the owner of all
// limits since it knows no other, and sends a cold endpoint requests as all others do.
func TestStartedInstanceSendsColdEndpointNothingBeforeItKnowsOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Seeds = []string{"10.0.0.2:1"}
	i := newInstance(t, cfg)
	i.applySnapshot(coldConfig(1, 0, 50), cold(0, 1, 5, time.Hour))
	for i.now.Sub(i.s.started) < coldSettleTime-TickInterval {
		i.arrive(route("r", 0), nil)
		i.advance(TickInterval)
		must.SliceEmpty(t, i.order)
	}
	i.advance(500 * time.Millisecond)
	must.Positive(t, len(i.order))
}

// Guards against a release that makes all endpoints of a service cold and requests that
// reach them beyond their rate, or that are refused as if they had run.
func TestReleaseOfWholeServiceStaysWithinRate(t *testing.T) {
	i := newInstance(t, testConfig())
	i.applySnapshot(coldConfig(1, 10*time.Second, 4), engine(0, 10), engine(1, 10))
	for n := range 2 {
		replaced := engine(n, 10)
		replaced.Endpoint.Started = 2
		i.applyChanges(replaced)
	}
	i.advance(time.Second)
	i.order = nil
	for range 80 {
		i.arrive(route("r", 0), nil)
		i.advance(TickInterval)
	}
	must.Between(t, 8, len(i.order), 2*(2*4+2))
	must.Positive(t, len(i.refused))
	for _, got := range i.refused {
		must.True(t, got.NotRun)
		must.Positive(t, got.RetryAfter)
	}
}
