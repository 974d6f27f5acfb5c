package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

// zoneEngines returns n engines with 4 slots, in the zones a and b in turn.
func zoneEngines(n int) []directory.Change {
	out := engines(n, 4)
	for k := range out {
		out[k].Endpoint.Zone = []string{"a", "b"}[k%2]
	}
	return out
}

func evacuate(zone string) directory.Change { return directory.Change{EvacuatedZone: zone} }

func restore(zone string) directory.Change {
	return directory.Change{EvacuatedZone: zone, Deleted: true}
}

func newZonedInstance(t *testing.T) *instance {
	i := newServingInstance(t, 0, 0)
	i.applyChanges(zoneEngines(4)...)
	i.advance(time.Second)
	return i
}

// zonesOfLoad submits requests, ends them, and returns how many each zone got.
func (i *instance) zonesOfLoad(requests int) map[string]int {
	out := map[string]int{}
	for range requests {
		id := i.arrive(route("r", 0), nil)
		if d, ok := i.dispatched[id]; ok {
			out[d.Endpoint.Zone]++
			i.end(id, Attempt{Outcome: Completed, FirstByte: 10 * time.Millisecond})
		}
		i.advance(TickInterval)
	}
	return out
}

// Guards against requests to an endpoint of an evacuated zone: new ones, second attempts
// and forwarded ones. Running ones finish, and a repeated key or an unknown zone does no
// harm.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	i := newZonedInstance(t)
	running := i.arrive(route("r", 0), nil)
	must.Eq(t, "a", i.dispatched[running].Endpoint.Zone)
	i.applyChanges(evacuate("a"), evacuate("a"), evacuate("nowhere"))
	must.True(t, i.running(running))
	must.Zero(t, i.zonesOfLoad(20)["a"])

	retried := i.arrive(route("r", 0), nil)
	i.end(retried, Attempt{Outcome: NotRun})
	must.Eq(t, "b", i.dispatched[retried].Endpoint.Zone)
	for range 3 {
		forwarded := i.arrive(route("r", 0), func(q *Request) { q.Forwarding = &Forwarding{} })
		must.Eq(t, "b", i.dispatched[forwarded].Endpoint.Zone)
	}
	// One that was added meanwhile, or whose entry was written again, is evacuated too.
	i.applyChanges(zoneEngines(6)...)
	must.Zero(t, i.zonesOfLoad(20)["a"])

	i.applyChanges(restore("a"))
	must.Positive(t, i.zonesOfLoad(40)["a"])
}

// Guards against requests that wait for an evacuated zone until their time is up, or that
// count as run: without any other zone they are refused at once with a pause.
func TestRequestsAreRefusedWhileAllZonesAreEvacuated(t *testing.T) {
	i := newZonedInstance(t)
	var waiting RequestID
	for range 60 {
		waiting = i.arrive(route("r", 0), nil)
	}
	must.False(t, i.running(waiting))
	i.applyChanges(evacuate("a"), evacuate("b"))
	for _, id := range []RequestID{waiting, i.arrive(route("r", 0), nil)} {
		got := i.refusal(id)
		must.Eq(t, NoEndpoint, got.Reason)
		must.True(t, got.NotRun)
		must.Positive(t, got.RetryAfter)
	}
	for id := range maps.Clone(i.dispatched) {
		i.end(id, Attempt{Outcome: Completed, FirstByte: 10 * time.Millisecond})
	}
	i.applyChanges(restore("b"))
	must.Positive(t, i.zonesOfLoad(40)["b"])
}

// Guards against a surge at the endpoints of a restored zone, which may have become cold.
func TestRestoredZoneStartsSlowly(t *testing.T) {
	i := newZonedInstance(t)
	i.applyChanges(evacuate("a"))
	for n := range 20 {
		i.step(PeerReported{Report: Report{Incarnation: uint64(100 + n), Sequence: 1, Address: fmt.Sprintf("10.0.1.%d:1", n), Zone: "a"}})
	}
	i.advance(time.Second)
	i.applyChanges(restore("a"))
	for _, e := range i.s.endpoints {
		if e.Zone == "a" {
			must.Eq(t, 1, e.window)
		}
	}
}

// Guards against an evacuation that ends by mistake: a listing lacks it that does not
// contain evacuations, that is from before it, or that follows an outage or comes from a
// copy of the platform's data. Any other listing that lacks it ends it, also one that
// another instance relays.
func TestListingEndsOnlyEvacuationsThatItCovers(t *testing.T) {
	for name, c := range map[string]struct {
		update directory.Update
		outage bool
		ends   bool
	}{
		"complete":             {directory.Update{Batch: directory.Batch{Revision: 60, Evacuations: true}}, false, true},
		"relayed":              {directory.Update{From: "10.0.0.9:1", Batch: directory.Batch{Revision: 60, Evacuations: true}}, false, true},
		"earlier release":      {directory.Update{From: "10.0.0.9:1", Batch: directory.Batch{Revision: 60}}, false, false},
		"older data":           {directory.Update{Batch: directory.Batch{Revision: 40, Evacuations: true}}, false, false},
		"after an outage":      {directory.Update{Batch: directory.Batch{Revision: 60, Evacuations: true}}, true, false},
		"copy of the platform": {directory.Update{NewHistory: true, Batch: directory.Batch{Era: 2, Revision: 3, Evacuations: true}}, false, false},
	} {
		i := newZonedInstance(t)
		i.applyChanges(directory.Change{Revision: 50, EvacuatedZone: "a"})
		if c.outage {
			i.advanceOffline(5 * time.Second)
		}
		c.update.Full = true
		c.update.Batch.Changes = zoneEngines(4)
		i.readDirectory(c.update)
		must.Eq(t, !c.ends, i.s.evacuations.Evacuated("a"), must.Sprint(name))
		i.applyChanges(directory.Change{Revision: 70, EvacuatedZone: "a", Deleted: true})
		must.False(t, i.s.evacuations.Evacuated("a"))
	}
}

// Guards against an instance that starts during an evacuation, after all were killed, and
// sends a request to the evacuated zone before it has read of it: its first listing has
// the endpoints first.
func TestStartedInstanceLearnsOfEvacuationFromFirstListing(t *testing.T) {
	i := newInstance(t, testConfig())
	config := testConfiguration()
	listing := append([]directory.Change{{Config: &config}}, zoneEngines(4)...)
	i.applySnapshot(append(listing, evacuate("a"))...)
	must.Zero(t, i.zonesOfLoad(20)["a"])
	must.Positive(t, i.zonesOfLoad(20)["b"])
}

// Guards against instances of an evacuated zone that share few endpoints of other zones,
// whose loads they learn late: each gets a full set, spread over the remaining zones, and
// the other sharers of an endpoint know of it.
func TestInstancesOfEvacuatedZoneShareEndpointsOfOthers(t *testing.T) {
	const zones, evacuated = 4, "0"
	f := newSimulation(84, zones, 90, 6)
	f.advance(4 * time.Second)
	f.read(evacuateAt(evacuated, 5))
	f.advance(time.Second)
	perZone, total := map[string]int{}, 0
	for _, i := range f.instances {
		usable := 0
		for _, e := range i.s.endpoints {
			if e.unassigned || e.Zone == evacuated {
				continue
			}
			usable++
			if i.zone == evacuated {
				perZone[e.Zone]++
			}
			for _, sharer := range e.sharers {
				other := f.byAddress[sharer].s.endpoints[e.ID]
				must.False(t, other.unassigned)
				must.SliceContains(t, other.sharers, i.address)
			}
		}
		must.Positive(t, usable, must.Sprintf("instance of zone %s", i.zone))
		if i.zone == evacuated {
			total += usable
		}
	}
	t.Logf("endpoints of instances of the evacuated zone: %v", perZone)
	must.MapLen(t, zones-1, perZone)
	must.GreaterEq(t, meanLocalAssignments*len(f.instances)/zones, total)
	f.read(directory.Change{EvacuatedZone: evacuated, Revision: 6, Deleted: true})
	f.advance(time.Second)
	for _, i := range f.instances {
		for _, e := range i.s.endpoints {
			must.False(t, e.preferred && e.Zone != i.zone)
		}
	}
}

// Guards against an instance that has too few endpoints for a peak of its callers while a
// zone is evacuated: each must have at least four.
func TestEachInstanceHasFourEndpointsDuringAnEvacuation(t *testing.T) {
	f := newSimulation(84, 4, 90, 6)
	f.advance(4 * time.Second)
	f.read(evacuateAt("0", 5))
	f.advance(time.Second)
	for _, i := range f.instances {
		usable := 0
		for _, e := range i.s.endpoints {
			if !e.unassigned && e.Zone != "0" {
				usable++
			}
		}
		must.GreaterEq(t, 4, usable, must.Sprintf("instance %s of zone %s", i.address, i.zone))
	}
}

func evacuateAt(zone string, revision int64) directory.Change {
	return directory.Change{EvacuatedZone: zone, Revision: revision}
}

// read delivers changes to all instances at the same moment.
func (f *simulation) read(changes ...directory.Change) {
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: changes}}})
	}
}
