package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// simLoad is the part of a simulation in which requests of two kinds contend and engines
// are slowed in turns. A nil simLoad is a simulation without it.
type simLoad struct {
	// routes are the urgent and the least urgent kind; drafts is the share of the latter.
	routes [2]*routing.Route
	drafts float64
	// slowed is set while a sixth of the engines is slowed 2.5 times for 0.6 s at a time.
	// If states is set, engines state it, or lie if lie is not zero.
	slowed, states bool
	lie            float64
	outcomes       [2]simOutcomes
	// arrivals determines the arrivals, which are then equal whatever is decided.
	arrivals *rand.Rand
	// times is the sum of the times from the dispatch to the end.
	times time.Duration
}

// simOutcomes counts the requests of a kind.
type simOutcomes struct{ arrived, inTime, late, refused int }

// worth returns the mean worth of a request, where a late one counts 0.3.
func (o simOutcomes) worth() float64 {
	return (float64(o.inTime) + 0.3*float64(o.late)) / float64(max(o.arrived, 1))
}

func (o simOutcomes) servedShare() float64 {
	return float64(o.inTime+o.late) / float64(max(o.arrived, 1))
}

func newSimLoad() *simLoad {
	l := &simLoad{routes: [2]*routing.Route{route("urgent", 0), route("drafts", 2)}, drafts: 0.5, arrivals: rand.New(rand.NewPCG(3, 4))}
	l.routes[0].Target, l.routes[1].Target = 500*time.Millisecond, 1200*time.Millisecond
	return l
}

func (l *simLoad) random(usual *rand.Rand) *rand.Rand {
	if l == nil {
		return usual
	}
	return l.arrivals
}

func (l *simLoad) route(f *simulation, usual *routing.Route) *routing.Route {
	if l == nil {
		return usual
	}
	kind := 0
	if l.arrivals.Float64() < l.drafts {
		kind = 1
	}
	l.outcomes[kind].arrived++
	return l.routes[kind]
}

func (l *simLoad) refused(f *simulation, i *simInstance, e Refuse) {
	if l != nil {
		l.outcomes[min(f.requests[simRequest{i, e.ID}].Route.Priority, 1)].refused++
	}
}

// started records the start of a request at an engine and returns the engine's slowness.
func (l *simLoad) started(f *simulation, e *simEngine, job simJob) float64 {
	if l == nil {
		return 1
	}
	slowness := 1.0
	n := 0
	_, _ = fmt.Sscanf(e.id, "e%d", &n)
	if l.slowed && (int(f.now/Instant(600*time.Millisecond))+n)%6 == 0 {
		slowness = 2.5
	}
	if l.states {
		said := slowness
		if l.lie != 0 {
			said = l.lie
		}
		f.stepJob(job, AnswerReceived{ID: job.id, Load: StatedLoad{Slots: e.slots, SlownessStated: true, Slowness: said}})
	}
	r := f.requests[simRequest{job.at, job.id}]
	o := &l.outcomes[min(r.Route.Priority, 1)]
	if f.now.Add(stretch(simFirstOutput, slowness)).Sub(r.CallerDeadline.Add(-5*time.Second)) <= r.Route.Target {
		o.inTime++
	} else {
		o.late++
	}
	l.times += f.now.Sub(job.sent) + stretch(f.serviceTime, slowness)
	return slowness
}

func stretch(d time.Duration, slowness float64) time.Duration {
	return time.Duration(float64(d) * slowness)
}

// contend returns what became of the requests of a load, relative to the capacity, that
// lasts for a time after two seconds of a load of 0.8.
func contend(waitForDeadline bool, instances, engines, slots int, phases ...simPhase) *simLoad {
	f := newSimulation(instances, 4, engines, slots)
	for _, i := range f.instances {
		i.s.cfg.WaitForDeadline = waitForDeadline
	}
	f.load = newSimLoad()
	f.advance(3 * time.Second)
	capacity := float64(engines*slots) / simServiceTime.Seconds()
	f.runLoad(0.8*capacity, 2*time.Second)
	f.load.outcomes = [2]simOutcomes{}
	for _, p := range phases {
		f.load.drafts = p.drafts / (p.urgent + p.drafts)
		f.runLoad((p.urgent+p.drafts)*capacity, p.lasts)
	}
	f.advance(3 * time.Second)
	return f.load
}

// simPhase is a time for which the kinds have a load relative to the capacity.
type simPhase struct {
	urgent, drafts float64
	lasts          time.Duration
}

var simSizes = []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}}

// Load patterns: 1.5 times the capacity for 3 s; long least urgent work rises 2.4 times for
// 5 s and then the most urgent rises 1.7 times. Guards against a queue that serves fewer, or
// fewer in time, than one that refuses after half of the target, and against an urgent kind
// that is served less often than a less urgent one.
func TestWaitingUntilTheDeadlineServesMore(t *testing.T) {
	t.Parallel()
	for name, phases := range map[string][]simPhase{
		"overload": {{0.75, 0.75, 3 * time.Second}},
		"drafts":   {{0.4, 0.96, 5 * time.Second}, {0.68, 0.4, 2 * time.Second}},
	} {
		for _, size := range simSizes {
			if name == "overload" && size.instances > 6 {
				continue // Each instance decides for itself; the run is as long as the other.
			}
			t.Run(fmt.Sprintf("%s_%d", name, size.instances), func(t *testing.T) {
				t.Parallel()
				var before, after [2]simOutcomes
				concurrently(
					func() { before = contend(false, size.instances, size.engines, size.slots, phases...).outcomes },
					func() { after = contend(true, size.instances, size.engines, size.slots, phases...).outcomes },
				)
				t.Logf("urgent %+v, drafts %+v; with deadline: urgent %+v, drafts %+v", before[0], before[1], after[0], after[1])
				must.Eq(t, before[0].arrived, after[0].arrived)
				must.Greater(t, before[0].worth()+before[1].worth(), after[0].worth()+after[1].worth())
				must.GreaterEq(t, before[0].worth()-0.02, after[0].worth())
				must.GreaterEq(t, after[1].servedShare()-0.05, after[0].servedShare())
			})
		}
	}
}

// concurrently runs independent simulations at the same time.
func concurrently(runs ...func()) {
	var group sync.WaitGroup
	for _, run := range runs {
		group.Go(run)
	}
	group.Wait()
}

// Load pattern: a sixth of the engines is slowed 2.5 times for 0.6 s in turns. Guards
// against work for engines that say that they are slowed, and against harm by engines that
// always state the same slowness.
func TestSlowedEndpointsGetLessWork(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 7}, {84, 90, 7}} {
		mean := func(states bool, lie float64) time.Duration {
			f := newSimulation(size.instances, 3, size.engines, size.slots)
			f.serviceTime = 80 * time.Millisecond
			f.load = newSimLoad()
			f.load.slowed, f.load.states, f.load.lie = true, states, lie
			f.advance(3 * time.Second)
			f.runLoad(0.5*float64(size.engines*size.slots)/f.serviceTime.Seconds(), 1500*time.Millisecond)
			return f.load.times / time.Duration(f.dispatches)
		}
		var silent, stated, lying time.Duration
		concurrently(func() { silent = mean(false, 0) }, func() { stated = mean(true, 0) }, func() { lying = mean(true, 3) })
		t.Logf("%d instances: mean time %v, with stated slowness %v, with a fixed one %v", size.instances, silent, stated, lying)
		must.Less(t, silent, stated)
		must.Less(t, silent*11/10, lying)
	}
}
