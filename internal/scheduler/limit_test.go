package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an endpoint that gets more requests than the rate limit that it
// names, because each instance knows and counts only its own.
func TestEndpointLimitHoldsAcrossInstances(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		for _, perSecond := range []float64{1.4, 2, 6} {
			t.Run(fmt.Sprintf("%d instances, %v a second", size.instances, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.limits = newSimLimits()
				f.advance(3 * time.Second)
				load := 0.6 * float64(size.engines*size.slots) / simServiceTime.Seconds()
				f.runLoad(load, time.Second)
				f.limits.name(f, "e0", perSecond)
				f.runLoad(load, 12*time.Second)
				named := f.limits.namedAt["e0"]
				worst := f.limits.worst("e0", f.now, 0)
				used := float64(f.limits.count("e0", named.Add(limitContact), f.now)) / (perSecond * f.now.Sub(named.Add(limitContact)).Seconds())
				t.Logf("worst 4 s: %d of %.1f, share of the limit used: %.2f, permits %v", worst, perSecond*limitWindow.Seconds(), used, f.limits.permits)
				must.LessEq(t, allowedByRule(perSecond), worst)
				must.LessEq(t, int(perSecond*limitWindow.Seconds())+simBurst(perSecond), worst)
				must.GreaterEq(t, 0.8, used)
			})
		}
	}
}

// limitedSimulation returns a system at a fraction of its capacity in which
// engines can name limits.
func limitedSimulation(instances, engines, slots int) (f *simulation, capacity float64) {
	f = newSimulation(instances, 4, engines, slots)
	f.limits = newSimLimits()
	f.advance(3 * time.Second)
	return f, float64(engines*slots) / simServiceTime.Seconds()
}

// Guards against an endpoint that is spared after its limit has ended, because
// only the instance that heard of it last knows, or because nobody asks it.
func TestEndpointIsUsedAgainAfterLimitIsLifted(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		instances, engines, slots int
		limits                    []float64
	}{{6, 18, 10, []float64{0, 0.3, 2}}, {84, 90, 6, []float64{0}}} {
		for _, perSecond := range size.limits {
			t.Run(fmt.Sprintf("%d instances, %v a second", size.instances, perSecond), func(t *testing.T) {
				t.Parallel()
				f, capacity := limitedSimulation(size.instances, size.engines, size.slots)
				f.runLoad(0.6*capacity, 2*time.Second)
				usual := f.limits.count("e0", f.now.Add(-time.Second), f.now)
				f.limits.name(f, "e0", perSecond)
				f.runLoad(0.6*capacity, 8*time.Second)
				f.limits.lift("e0")
				f.runLoad(0.6*capacity, 6*time.Second)
				last := f.limits.count("e0", f.now.Add(-time.Second), f.now)
				t.Logf("arrivals a second: %d before, %d from five to six seconds after", usual, last)
				must.GreaterEq(t, usual/2, last)
				for _, i := range f.instances {
					must.False(t, i.s.endpoints["e0"].limited())
				}
			})
		}
	}
}

// Guards against an instance that keeps to an old limit: a lower one counts for
// all from the contact time on, a higher one is used soon.
func TestChangedLimitIsKeptAndUsed(t *testing.T) {
	f, capacity := limitedSimulation(6, 18, 10)
	for _, perSecond := range []float64{8, 1, 4, 0, 2} {
		f.limits.name(f, "e0", perSecond)
		f.runLoad(0.6*capacity, limitContact)
		from := f.now
		f.runLoad(0.6*capacity, 8*time.Second)
		n := f.limits.count("e0", from, f.now)
		t.Logf("limit of %v a second: %d requests in 8 s", perSecond, n)
		must.LessEq(t, int(8*perSecond)+simBurst(perSecond), n)
		must.GreaterEq(t, int(0.8*8*perSecond), n)
	}
}

// Guards against requests that wait in vain, or less urgent ones that are served
// first, if all endpoints of a service have limits: their sum is what it can do.
func TestLeastUrgentAreRefusedIfAllEndpointsHaveLimits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, engines, slots int
		perSecond                 float64
	}{{6, 4, 6, 2}, {6, 18, 10, 1.4}, {84, 90, 6, 2}, {84, 4, 6, 6}} {
		t.Run(fmt.Sprintf("%d instances, %d engines, %v a second", c.instances, c.engines, c.perSecond), func(t *testing.T) {
			t.Parallel()
			f, _ := limitedSimulation(c.instances, c.engines, c.slots)
			f.limits.priorities = []int{0, 1, 2}
			sum := c.perSecond * float64(c.engines)
			for id := range f.engines {
				f.limits.name(f, id, c.perSecond)
			}
			f.runLoad(3*sum, 4*time.Second)
			from := f.now
			f.limits.refusals, f.limits.perPriority = nil, map[int]int{}
			f.runLoad(3*sum, 10*time.Second)
			arrived := 0
			for id := range f.engines {
				arrived += f.limits.count(id, from, f.now)
				must.LessEq(t, allowedByRule(c.perSecond), f.limits.worst(id, f.now, 0))
			}
			refused := map[int]int{}
			longest := time.Duration(0)
			for _, r := range f.limits.refusals {
				refused[r.priority]++
				longest = max(longest, r.waited)
				must.Positive(t, r.retryAfter)
				must.Eq(t, LimitReached, r.reason)
			}
			used := float64(arrived) / (sum * 10)
			var served []float64
			for _, priority := range f.limits.priorities {
				total := f.limits.perPriority[priority]
				served = append(served, 1-float64(refused[priority])/float64(total))
			}
			t.Logf("%.2f of the limits used; served by priority %.2f; longest wait of a refused request %v", used, served, longest)
			must.GreaterEq(t, 0.8, used)
			must.LessEq(t, 2*time.Second, longest)
			must.Greater(t, served[1], served[0])
			must.Greater(t, served[2], served[1])
		})
	}
}

// Drawn schedules of kills, pauses, restarts and partitions, with lost reports,
// while engines name, change and lift limits.
func TestLimitHoldsThroughFaults(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots, seeds int }{{6, 18, 10, 30}, {12, 18, 10, 15}, {84, 90, 6, 1}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f, capacity := limitedSimulation(size.instances, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.crashes = newSimCrashes(noCrash)
				f.limits.loss = 0.02
				limits := map[string]float64{"e0": 1.4, "e1": 2, "e2": 0, "e3": 6}
				for id, perSecond := range limits {
					f.limits.name(f, id, perSecond)
				}
				f.injectFaults(700*time.Millisecond, 14*time.Second)
				f.runLoad(0.4*capacity, 18*time.Second)
				for id, perSecond := range limits {
					calm, all := f.limits.worst(id, f.now, limitContact), f.limits.worst(id, f.now, 0)
					if seed < 2 || all > allowedByRule(perSecond) {
						t.Logf("seed %d, limit of %v a second: worst 4 s %d, from all instances %d", seed, perSecond, calm, all)
					}
					must.LessEq(t, allowedByRule(perSecond), calm, must.Sprint(seed))
				}
			}
		})
	}
}
