package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against instances without endpoints, endpoints without instances and endpoints
// whose sharers are too many to know of each other, at any ratio of the ones to the others.
func TestEndpointsAreDividedAtAnyRatio(t *testing.T) {
	for _, instances := range []int{1, 2, 5, 14, 21, 33, 60} {
		for _, endpoints := range []int{1, 2, 3, 5, 13, 22, 69, 300} {
			var candidates []candidate
			for n := range instances {
				candidates = append(candidates, newCandidate(fmt.Sprintf("10.2.0.%d:1", n), "a"))
			}
			var all []*endpoint
			for n := range endpoints {
				e := &endpoint{Endpoint: *engine(n, 4).Endpoint}
				all = append(all, e)
			}
			out, remote := map[string][]string{}, remoteSharers(5*instances, 5*endpoints)
			assignLocal(out, all, candidates, remote)
			perInstance, least, most := map[string]int{}, instances, 0
			for _, e := range all {
				least, most = min(least, len(out[e.ID])), max(most, len(out[e.ID]))
				for _, a := range out[e.ID] {
					perInstance[a]++
				}
			}
			n, limited := localSharers(instances, endpoints, remote)
			label := must.Sprintf("%d instances, %d endpoints: %d to %d sharers", instances, endpoints, least, most)
			must.LessEq(t, n, most, label)
			must.GreaterEq(t, n, least, label)
			if !limited {
				// Few sharers, or so many endpoints for each that they can't be limited.
				must.True(t, most <= max(maxLocalSharers, ceilDiv(2*instances, endpoints)) || max(maxLocalSharers, 2*instances/endpoints)+remote > maxSharers, label)
				continue
			}
			must.LessEq(t, max(maxLocalSharers, 2*instances/endpoints+1), most, label)
			must.LessEq(t, maxSharers, most+remote, label)
			fewest, highest := endpoints, 0
			for _, c := range candidates {
				fewest, highest = min(fewest, perInstance[c.address]), max(highest, perInstance[c.address])
			}
			must.GreaterEq(t, min(minLocalEndpoints, endpoints), fewest, label)
			must.LessEq(t, fewest+1, highest, label)
		}
	}
}

// Guards against an assignment that is made anew for all when one instance joins or leaves.
func TestEvenAssignmentIsStable(t *testing.T) {
	var candidates []candidate
	for n := range 33 {
		candidates = append(candidates, newCandidate(fmt.Sprintf("10.2.0.%d:1", n), "a"))
	}
	var all []*endpoint
	for n := range 13 {
		all = append(all, &endpoint{Endpoint: *engine(n, 8).Endpoint})
	}
	before := map[string][]string{}
	assignLocal(before, all, candidates, 5)
	kept, total := 0, 0
	for out := range candidates {
		after := map[string][]string{}
		assignLocal(after, all, append(append([]candidate(nil), candidates[:out]...), candidates[out+1:]...), 5)
		for id, addresses := range before {
			for _, a := range addresses {
				if a == candidates[out].address {
					continue
				}
				total++
				for _, b := range after[id] {
					if a == b {
						kept++
					}
				}
			}
		}
	}
	t.Logf("%.2f of the assignments are kept when one of 33 instances leaves", float64(kept)/float64(total))
	must.Greater(t, 0.8*float64(total), float64(kept))
}

// Load pattern: many instances before few engines: normal load, a burst of 1.5 times what
// the engines can do, normal load again. Guards against requests that wait in the engines'
// queues since no instance knows what the others have sent: there a more urgent request
// can't overtake, and a refusal can't spare its caller the wait.
func TestManyInstancesBeforeFewEnginesKnowTheirLoad(t *testing.T) {
	t.Parallel()
	// In each zone as many as at 195 instances before 78 engines in six zones.
	zones := 2
	if *flagLarge {
		zones = 6
	}
	f := newSimulation(65*zones/2, zones, 13*zones, 8)
	f.advance(3 * time.Second)
	capacity := float64(13*zones*8) / simServiceTime.Seconds()
	for _, load := range []float64{0.8, 1.5, 0.8} {
		f.runLoad(load*capacity, 2*time.Second)
		used := float64(f.dispatches) / 2 / capacity
		t.Logf("load %.1f: dispatched %.2f of capacity, %d to other zones, %d refused, wait at engines p50 %v p99 %v",
			load, used, f.crossZone, f.refused, f.engineWait(0.5).Round(time.Millisecond), f.engineWait(0.99).Round(time.Millisecond))
		must.Less(t, route("r", 0).Target, f.engineWait(0.99))
		must.GreaterEq(t, 0.95*min(load, 1), used)
	}
}

// Guards against a list of loads that grows with each request of an instance of another
// zone, whose reports replace it only in small systems.
func TestLoadUpdatesDoNotAccumulate(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	x := &member{incarnation: 7}
	for n := range 100 {
		i.s.applyLoadUpdate(x, []EndpointLoad{{Endpoint: "e0", Running: n % 2}})
	}
	must.Len(t, 1, x.loads)
	i.s.clearLoads(x)
	must.Eq(t, 0, i.s.endpoints["e0"].load())
}
