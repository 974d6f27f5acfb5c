package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// Load pattern: more requests than slots. No request beyond the slots and the
// queue depth is sent to an endpoint, since endpoints admit in order of
// arrival.
func TestRequestsBeyondQueueDepthWait(t *testing.T) {
	i := newServingInstance(t, 2, 3)
	for range 20 {
		i.arrive(route("r", 0), nil)
	}
	must.MapLen(t, 2*(3+endpointQueueDepth), i.dispatched)
	perEndpoint := map[string]int{}
	for _, d := range i.dispatched {
		perEndpoint[d.Endpoint.ID]++
	}
	must.Eq(t, map[string]int{"e0": 3 + endpointQueueDepth, "e1": 3 + endpointQueueDepth}, perEndpoint)
}

// Load pattern: a burst of requests of all ranks. A free slot goes to the most
// urgent waiting request, then to the oldest.
func TestRequestsAreDispatchedByRankThenArrival(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	first := i.arrive(route("low", 2), nil)
	second := i.arrive(route("low", 2), nil)
	low := i.arrive(route("low", 2), nil)
	middle := i.arrive(route("middle", 1), nil)
	urgent := i.arrive(route("urgent", 0), nil)
	later := i.arrive(route("urgent", 0), nil)
	for _, id := range []RequestID{first, second, urgent, later, middle, low} {
		must.True(t, i.running(id))
		i.end(id, Attempt{Outcome: Completed})
	}
}

// Load pattern: a continuous burst of urgent requests. Requests of the lowest
// waiting rank are dispatched at intervals.
func TestLowestRankIsNotStarved(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	low := route("low", 2)
	low.Target = time.Hour
	waiting := i.arrive(low, nil)
	for range 3 {
		i.arrive(route("urgent", 0), nil)
	}
	must.True(t, i.running(waiting))
	waiting = i.arrive(low, nil)
	served := 0
	for range 4 * lowestRankInterval {
		i.arrive(route("urgent", 0), nil)
		i.end(i.order[len(i.order)-1], Attempt{Outcome: Completed})
		if i.running(waiting) {
			served++
			waiting = i.arrive(low, nil)
		}
	}
	must.GreaterEq(t, 2, served)
}

// Load pattern: overload. A request that can't be started in time is refused as
// not run, with a retry time within the caller's deadline.
func TestQueueTimeIsLimitedToHalfTheTarget(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	for range 1 + endpointQueueDepth {
		i.arrive(route("r", 0), nil)
	}
	id := i.arrive(route("r", 0), nil)
	i.advance(250 * time.Millisecond)
	must.MapNotContainsKey(t, i.refused, id)
	i.advance(100 * time.Millisecond)
	got := i.refusal(id)
	must.Eq(t, QueueDelay, got.Reason)
	must.True(t, got.NotRun)
	must.Greater(t, 0, got.RetryAfter)
	must.Less(t, 5*time.Second/3, got.RetryAfter)
}

// Load pattern: engines of different speed. One that takes three times as long
// receives fewer requests.
func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	i := newServingInstance(t, 2, 8)
	counts := map[string]int{}
	var running []RequestID
	for range 400 {
		id := i.arrive(route("r", 0), nil)
		counts[i.dispatched[id].Endpoint.ID]++
		running = append(running, id)
		if len(running) < 8 {
			continue
		}
		pace := 20 * time.Millisecond
		if i.dispatched[running[0]].Endpoint.ID == "e0" {
			pace *= 3
		}
		i.end(running[0], Attempt{Outcome: Completed, EventInterval: pace, FirstByte: pace})
		running = running[1:]
	}
	must.Less(t, counts["e1"]/2, counts["e0"], must.Sprint(counts))
}

// Load pattern: an endpoint crashes. It receives no request during its
// suspension, then one at a time until one completes.
func TestFailedEndpointIsProbed(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.end(i.arrive(route("r", 0), nil), Attempt{Outcome: NotSent})
	must.MapEmpty(t, i.dispatched)
	i.advance(minSuspension + TickInterval)
	must.MapLen(t, 1, i.dispatched)
	id := i.arrive(route("r", 0), nil)
	must.False(t, i.running(id))
	i.end(i.order[len(i.order)-1], Attempt{Outcome: Completed})
	must.True(t, i.running(id))
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	leaving := engine(0, 4)
	leaving.Endpoint.Leaving = true
	i.applyChanges(leaving)
	for range 4 {
		must.Eq(t, "e1", i.dispatched[i.arrive(route("r", 0), nil)].Endpoint.ID)
	}
	i.applyChanges(directory.Change{EndpointID: "e1"})
	must.Eq(t, NoEndpoint, i.refusal(i.arrive(route("r", 0), nil)).Reason)
}

// Load pattern: after a platform outage some entries are missing because they
// lapsed. Live endpoints stay in use until they are listed again; the others
// are removed.
func TestLapsedEntriesAreKeptForGracePeriod(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.advanceOffline(4 * time.Second)
	i.applySnapshot(directory.Change{EndpointID: "e0", Endpoint: engine(0, 4).Endpoint})
	must.MapLen(t, 2, i.s.endpoints)
	i.advance(time.Second)
	must.MapLen(t, 2, i.s.endpoints)
	i.advance(time.Second)
	must.MapLen(t, 1, i.s.endpoints)
	// Without an outage, an endpoint that is not listed is removed at once.
	i.advance(5 * time.Second)
	i.applySnapshot()
	must.MapEmpty(t, i.s.endpoints)
}

// An entry of an earlier start must not replace that of a later one.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	newer := engine(0, 4)
	newer.Endpoint.Started = 5
	newer.Endpoint.Address = "10.9.9.9:1"
	i.applyChanges(newer)
	i.applyChanges(engine(0, 4))
	must.Eq(t, "10.9.9.9:1", i.s.endpoints["e0"].Address)
}

func TestLoadOfOtherInstancesAffectsPlacement(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.step(PeerReported{Report: Report{
		Incarnation: 2, Sequence: 1, Address: "10.0.0.2:1", Loads: []EndpointLoad{{Endpoint: "e0", Running: 5}},
	}})
	for range 4 {
		must.Eq(t, "e1", i.dispatched[i.arrive(route("r", 0), nil)].Endpoint.ID)
	}
	// The load of an instance that becomes unreachable is dropped.
	i.advance(5 * time.Second)
	must.MapEmpty(t, i.s.endpoints["e0"].otherLoads)
}

// Load pattern: many instances, each with a few requests per second. Instances
// of the same zone prefer different endpoints.
func TestInstancesOfAZonePreferDifferentEndpoints(t *testing.T) {
	i := newServingInstance(t, 12, 4)
	for n := range 3 {
		i.step(PeerReported{Report: Report{Incarnation: uint64(n + 2), Sequence: 1, Address: address(n + 1), Zone: "a"}})
	}
	i.advance(TickInterval)
	preferred := map[string]bool{}
	for id, e := range i.s.endpoints {
		if e.preferred {
			preferred[id] = true
		}
	}
	must.Between(t, 1, len(preferred), 7)
	for range preferred {
		must.MapContainsKey(t, preferred, i.dispatched[i.arrive(route("r", 0), nil)].Endpoint.ID)
	}
}

// Load pattern: prompt lengths that differ by a factor of hundreds. A short
// request avoids an endpoint that is processing a long prompt, until the answer
// to the long prompt starts.
func TestShortRequestsAvoidLongPrompts(t *testing.T) {
	i := newServingInstance(t, 2, 10)
	long := i.arrive(route("r", 0), func(q *Request) { q.PromptTokens = 30_000 })
	at := i.dispatched[long].Endpoint.ID
	for range 5 {
		id := i.arrive(route("r", 0), func(q *Request) { q.PromptTokens = 100 })
		must.NotEq(t, at, i.dispatched[id].Endpoint.ID)
	}
	i.step(AnswerStarted{ID: long})
	must.Eq(t, 0, i.s.endpoints[at].backlog())
	id := i.arrive(route("r", 0), func(q *Request) { q.PromptTokens = 100 })
	must.Eq(t, at, i.dispatched[id].Endpoint.ID)
	i.end(long, Attempt{Outcome: Completed})
	must.Eq(t, 100, i.s.endpoints[at].backlog())
}

// Load pattern: overload at many instances, which learn of a free slot at the
// same moment. Each fills its assigned endpoints and does not use the others.
// Once its assigned endpoints fail it uses the others, where it leaves a margin
// of free slots.
func TestInstancesOfALargeSystemUseTheirAssignedEndpoints(t *testing.T) {
	const slots = 6
	i := newServingInstance(t, 20, slots)
	for n := range 20 {
		i.step(PeerReported{Report: Report{Incarnation: uint64(n + 2), Sequence: 1, Address: address(n + 1), Zone: "a"}})
	}
	i.advance(TickInterval)
	for range 400 {
		i.arrive(route("r", 0), nil)
	}
	perEndpoint := map[string]int{}
	for _, d := range i.dispatched {
		perEndpoint[d.Endpoint.ID]++
	}
	assigned := 0
	for id, e := range i.s.endpoints {
		if e.preferred {
			assigned++
			must.Eq(t, slots+endpointQueueDepth, perEndpoint[id])
		} else {
			must.Eq(t, 0, perEndpoint[id])
		}
	}
	must.Between(t, 1, assigned, 9)

	for id, d := range i.dispatched {
		if i.s.endpoints[d.Endpoint.ID].preferred {
			i.end(id, Attempt{Outcome: Broken})
		}
	}
	for range 400 {
		i.arrive(route("r", 0), nil)
	}
	clear(perEndpoint)
	for _, d := range i.dispatched {
		perEndpoint[d.Endpoint.ID]++
	}
	must.MapLen(t, 20-assigned, perEndpoint)
	for id := range perEndpoint {
		must.Eq(t, slots-unassignedSlotMargin, perEndpoint[id])
	}
}

// newLargeSystemInstance returns an instance of zone "a" with 20 members in its
// zone, 20 in each of two other zones, and endpoints in every zone.
func newLargeSystemInstance(t *testing.T, endpointsPerZone int) *instance {
	i := newInstance(t, testConfig())
	i.configure(routing.Config{Version: 1})
	for z, zone := range []string{"a", "b", "c"} {
		for n := range endpointsPerZone {
			c := engine(100*z+n, 6)
			c.Endpoint.Zone = zone
			i.applyChanges(c)
		}
		for n := range 20 {
			at := 100*z + n + 1
			i.step(PeerReported{Report: Report{Incarnation: uint64(at + 1), Sequence: 1, Address: address(at), Zone: zone}})
		}
	}
	i.advance(TickInterval)
	return i
}

// Load pattern: a zone that receives more than its share of requests. Some
// endpoints of other zones are assigned to each of its instances, and each of
// them to few instances.
func TestEndpointsAreAssignedToFewInstancesOfOtherZones(t *testing.T) {
	i := newLargeSystemInstance(t, 20)
	preferred, remote := 0, 0
	for _, e := range i.s.endpoints {
		switch {
		case e.preferred:
			preferred++
		case !e.unassigned:
			remote++
			must.NotEq(t, "a", e.Zone)
		}
		must.LessEq(t, maxSharers, len(e.sharers))
		must.Eq(t, e.unassigned, len(e.sharers) == 0)
	}
	must.Between(t, 1, preferred, 3*meanLocalAssignments)
	must.Between(t, 1, remote, 4*meanRemoteAssignments)
}

// Load pattern: a service with one endpoint in each zone.
func TestEndpointsOfASmallServiceAreAssignedToAllOfTheZone(t *testing.T) {
	i := newLargeSystemInstance(t, 1)
	for _, e := range i.s.endpoints {
		must.Eq(t, e.Zone == "a", e.preferred)
		must.False(t, e.Zone == "a" && e.unassigned)
		must.SliceEmpty(t, e.sharers)
	}
	remote := 0
	for _, e := range i.s.endpoints {
		if !e.preferred && !e.unassigned {
			remote++
		}
	}
	must.Between(t, 1, remote, 2)
}

// Load pattern: as many requests as slots, at instances that share endpoints.
// Each load change is sent to the sharers at once. A slot that is filled again
// in the same step is no change.
func TestSharersReceiveEveryLoadChange(t *testing.T) {
	i := newLargeSystemInstance(t, 20)
	i.reports = nil
	id := i.arrive(route("r", 0), nil)
	at := i.s.endpoints[i.dispatched[id].Endpoint.ID]
	update := func() SendReport {
		t.Helper()
		must.Len(t, 1, i.reports)
		n := i.reports[0]
		i.reports = nil
		must.True(t, n.Report.Partial)
		must.Eq(t, at.sharers, n.To)
		return n
	}
	must.Eq(t, []EndpointLoad{{Endpoint: at.ID, Running: 1}}, update().Report.Loads)
	i.end(id, Attempt{Outcome: Completed})
	must.Eq(t, []EndpointLoad{{Endpoint: at.ID}}, update().Report.Loads)

	for range 400 {
		id = i.arrive(route("r", 0), nil)
	}
	for id = range i.dispatched {
		break
	}
	i.reports = nil
	i.end(id, Attempt{Outcome: Completed})
	must.SliceEmpty(t, i.reports)
}

func TestLoadUpdateChangesOneEndpoint(t *testing.T) {
	i := newServingInstance(t, 2, 10)
	deliver := func(sequence uint64, partial bool, loads ...EndpointLoad) {
		i.step(PeerReported{Report: Report{Incarnation: 2, Sequence: sequence, Address: address(1), Zone: "a", Partial: partial, Loads: loads}})
	}
	load := func(id string) int { return i.s.endpoints[id].load() }
	deliver(1, true, EndpointLoad{Endpoint: "e0", Running: 9})
	must.Eq(t, 0, load("e0"), must.Sprint("load update from an unknown sender"))
	deliver(2, false, EndpointLoad{Endpoint: "e0", Running: 3})
	deliver(3, true, EndpointLoad{Endpoint: "e1", Running: 2, Prefill: 70})
	must.Eq(t, []int{3, 2, 70}, []int{load("e0"), load("e1"), i.s.endpoints["e1"].backlog()})
	deliver(2, true, EndpointLoad{Endpoint: "e1", Running: 8})
	must.Eq(t, 2, load("e1"), must.Sprint("load update with an older sequence number"))
	deliver(4, true, EndpointLoad{Endpoint: "e1"}, EndpointLoad{Endpoint: "gone", Running: 1})
	must.Eq(t, []int{3, 0}, []int{load("e0"), load("e1")})
	deliver(5, true, EndpointLoad{Endpoint: "e1", Running: 1})
	deliver(6, false)
	must.Eq(t, []int{0, 0}, []int{load("e0"), load("e1")}, must.Sprint("complete report without loads"))
}

// Load pattern: overload at many instances with a single endpoint of the
// service in the zone. All instances prefer it, so none is kept from its last
// slots.
func TestSingleEndpointIsPreferredByAllInstances(t *testing.T) {
	i := newServingInstance(t, 1, 6)
	for n := range 20 {
		i.step(PeerReported{Report: Report{Incarnation: uint64(n + 2), Sequence: 1, Address: address(n + 1), Zone: "a"}})
	}
	i.advance(TickInterval)
	must.True(t, i.s.endpoints["e0"].preferred)
	must.Eq(t, 6+endpointQueueDepth, i.s.endpoints["e0"].maxRequests())
}

// Load pattern: many instances in several zones, whose reports to each other
// cause the largest cost between zones.
func TestReportsToOtherZonesOfALargeSystemOmitLoads(t *testing.T) {
	i := newLargeSystemInstance(t, 20)
	for range 50 {
		i.arrive(route("r", 0), nil)
	}
	for age := time.Duration(0); age < startupPeriod+time.Second; age += TickInterval {
		for z, zone := range []string{"a", "b", "c"} {
			for n := range 20 {
				at := 100*z + n + 1
				i.step(PeerReported{Report: Report{Incarnation: uint64(at + 1), Sequence: uint64(2 + age), Address: address(at), Zone: zone}})
			}
		}
		i.advance(TickInterval)
	}
	i.reports = nil
	i.advance(time.Second)
	local, remote := 0, 0
	for _, sent := range i.reports {
		if sent.Report.Partial {
			continue
		}
		for _, to := range sent.To {
			if i.s.members.byAddress[to].zone == "a" {
				local++
				must.SliceNotEmpty(t, sent.Report.Loads)
				must.False(t, sent.Report.WithoutLoads)
				continue
			}
			remote++
			must.True(t, sent.Report.WithoutLoads)
			must.SliceEmpty(t, sent.Report.Loads)
			must.LessEq(t, maxRemoteReportedMembers, len(sent.Report.Members))
		}
	}
	must.Positive(t, local)
	must.Positive(t, remote)
}

func TestReportWithoutLoadsKeepsLoadUpdates(t *testing.T) {
	i := newServingInstance(t, 1, 10)
	deliver := func(r Report) {
		r.Incarnation, r.Address, r.Zone = 2, address(1), "b"
		i.step(PeerReported{Report: r})
	}
	deliver(Report{Sequence: 1, WithoutLoads: true})
	deliver(Report{Sequence: 2, Partial: true, Loads: []EndpointLoad{{Endpoint: "e0", Running: 3}}})
	deliver(Report{Sequence: 3, WithoutLoads: true})
	must.Eq(t, 3, i.s.endpoints["e0"].load())
	deliver(Report{Sequence: 4})
	must.Eq(t, 0, i.s.endpoints["e0"].load())
}

// Load pattern: links that lose packets. A lost load update is made up for by
// the next refresh, also for an endpoint that has become idle.
func TestLoadUpdatesAreRepeated(t *testing.T) {
	i := newLargeSystemInstance(t, 20)
	id := i.arrive(route("r", 0), nil)
	at := i.dispatched[id].Endpoint.ID
	lastUpdate := func() (last *EndpointLoad) {
		i.reports = nil
		i.advance(loadRefreshInterval)
		for _, sent := range i.reports {
			if sent.Report.Partial && sent.Report.Loads[0].Endpoint == at {
				last = &sent.Report.Loads[0]
			}
		}
		return last
	}
	for range 3 {
		must.Eq(t, &EndpointLoad{Endpoint: at, Running: 1}, lastUpdate())
	}
	i.end(id, Attempt{Outcome: Completed})
	must.Eq(t, &EndpointLoad{Endpoint: at}, lastUpdate())
	must.Nil(t, lastUpdate())
}
