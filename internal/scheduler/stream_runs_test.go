package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// newRestartedInstance returns an instance of several that starts while endpoints of two
// versions serve and the platform has lost its history.
func newRestartedInstance(t *testing.T) *instance {
	cfg := testConfig()
	cfg.Seeds = []string{selfAddr, otherAddr}
	i := newInstance(t, cfg)
	i.historyGone = true
	i.configure(routing.Config{Version: 1, Services: []routing.Service{{Name: service, Engine: true}}})
	i.applyChanges(versionedEngine(0, 4, "v1"), versionedEngine(1, 4, "v2"))
	return i
}

// Guards against streams that all are refused after all instances have restarted, although
// the endpoints that began them still run them.
func TestRunsAtEndpointsTellTheOriginAfterRestart(t *testing.T) {
	i := newRestartedInstance(t)
	i.reportFrom(otherAddr, nil)
	i.advance(runsReadDelay)
	must.Len(t, 2, i.runReads)
	i.step(RunsRead{Endpoint: "e0", Started: 1, Runs: []string{"a", "both"}})
	i.step(RunsRead{Endpoint: "e1", Started: 1, Runs: []string{"b", "both"}})
	i.step(RunsRead{Endpoint: "e1", Started: 2, Runs: []string{"other process"}})
	i.step(RunsRead{Endpoint: "gone", Runs: []string{"gone"}})
	must.Eq(t, "v1", i.versionOf(i.takeUp("a")))
	must.Eq(t, "v2", i.versionOf(i.takeUp("b")))
	must.Eq(t, StreamVersionGone, i.refusal(i.takeUp("both")).Reason)
	for _, name := range []string{"other process", "gone", ""} {
		id := i.takeUp(name)
		i.advance(lookupTime + listingCheckTime)
		must.Eq(t, StreamOriginUnknown, i.refusal(id).Reason, must.Sprint(name))
	}
	// Another instance that asks learns of it, whatever its caller's organisation.
	i.reports = nil
	i.reportFrom(otherAddr, func(r *Report) {
		r.OriginQueries = []OriginQuery{{Attempt: origin.AttemptOf("org", "a"), Run: origin.RunOf("a"), Services: []string{service}, Memory: time.Minute}}
	})
	must.Eq(t, []OriginAnswer{{Attempt: origin.AttemptOf("org", "a"), Recorded: true, Software: origin.SoftwareOf(service, "v1")}}, i.reports[0].Report.OriginAnswers)
	i.advance(minSoftwareMemory + time.Second)
	_, known := i.s.origins.Lookup(origin.RunOf("a"))
	must.False(t, known)
}

// Guards against calls to endpoints at each start of an instance: only what nobody else
// knows is worth them.
func TestRunsAreReadOnceWhereNobodyKnows(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*instance)
		reads  int
	}{
		"all restarted": {func(i *instance) { i.reportFrom(otherAddr, nil) }, 2},
		"no contact":    {func(*instance) {}, 2},
		"another knows": {func(i *instance) {
			i.reportFrom(otherAddr, func(r *Report) { r.Partial, r.Age, r.InstanceCount = false, time.Minute, 3 })
		}, 0},
		"the platform knows":      {func(i *instance) { i.step(HistoryRead{Complete: true}) }, 0},
		"no engines":              {func(i *instance) { i.configure(routing.Config{Version: 2}) }, 0},
		"no configuration before": {func(i *instance) { i.s.table = nil }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := newRestartedInstance(t)
			c.change(i)
			i.advance(time.Second)
			must.Len(t, c.reads, i.runReads)
		})
	}
}

// Guards against an endpoint whose runs all instances read at once, or none.
func TestRunsOfAnEndpointAreReadByFew(t *testing.T) {
	for _, size := range []struct{ instances, zones, endpoints int }{{3, 1, 5}, {6, 3, 12}, {84, 4, 90}} {
		readers := map[string]int{}
		for n := range size.instances {
			address := func(n int) string { return fmt.Sprintf("10.3.0.%d:1", n) }
			cfg := testConfig()
			cfg.Address, cfg.Zone, cfg.Seeds = address(n), fmt.Sprint(n%size.zones), []string{address(0), address(1)}
			i := newInstance(t, cfg)
			i.historyGone = true
			i.configure(routing.Config{Version: 1, Services: []routing.Service{{Name: service, Engine: true}}})
			for k := range size.endpoints {
				c := versionedEngine(k, 4, "v1")
				c.Endpoint.Zone = fmt.Sprint(k % (size.zones + 1))
				i.applyChanges(c)
			}
			for other := range size.instances {
				if other != n {
					i.step(PeerReported{Report: Report{Incarnation: uint64(100 + other), Sequence: 1, Address: address(other), Zone: fmt.Sprint(other % size.zones)}})
				}
			}
			i.advance(runsReadDelay + TickInterval)
			must.LessEq(t, maxRunsRead, len(i.runReads))
			for _, read := range i.runReads {
				readers[read.Endpoint.ID]++
			}
		}
		must.MapLen(t, size.endpoints, readers)
		for id, n := range readers {
			must.Eq(t, min(runsReaders, size.instances), n, must.Sprint(id))
		}
	}
}
