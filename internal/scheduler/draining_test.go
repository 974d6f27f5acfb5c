package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

// Guards against a process that is used again after it has said that it leaves: by an
// entry that still says ready, by a copy of the platform's data, or by an instance that
// has started since.
func TestStatedLeavingStays(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	id := i.arrive(route("r", 0), nil)
	i.step(AnswerReceived{ID: id, Leaving: true})
	must.True(t, i.running(id))
	leaving := func() bool { return i.s.endpoints["e0"].Leaving }
	must.True(t, leaving())
	i.applyChanges(engine(0, 4))
	must.True(t, leaving())
	i.applyChanges(directory.Change{EndpointID: "e0"})
	i.advance(10 * time.Second)
	i.applyChanges(engine(0, 4))
	must.True(t, leaving())

	i.reports = nil
	i.reportFor(nil)
	told := false
	for _, r := range i.reports {
		told = told || len(r.Report.LeavingEndpoints) == 1
	}
	must.True(t, told)

	next := engine(0, 4)
	next.Endpoint.Started = 2
	i.applyChanges(next)
	must.False(t, leaving())
}

// Guards against a report about a process that this instance has not seen listed yet.
func TestReportedLeavingPrecedesTheEntry(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.reportFor(func(r *Report) {
		r.Partial, r.LeavingEndpoints = true, []crash.Incarnation{crash.IncarnationOf("e1", 1)}
	})
	i.applyChanges(engine(1, 4))
	must.True(t, i.s.endpoints["e1"].Leaving)
	must.False(t, i.s.endpoints["e0"].Leaving)
}

// Guards against instances that tell each other of a process for ever that has left long
// ago, so that reports only grow.
func TestLeavingIsForgotten(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	process := crash.IncarnationOf("e0", 1)
	told := func(r *Report) { r.LeavingEndpoints = []crash.Incarnation{process} }
	i.reportFor(told)
	i.applyChanges(directory.Change{EndpointID: "e0"})
	for range 29 {
		i.advance(time.Second)
		i.reportFor(told)
	}
	must.Eq(t, []crash.Incarnation{process}, i.s.drainingReport())
	i.advance(2 * time.Second)
	i.reportFor(told)
	must.SliceEmpty(t, i.s.drainingReport())
	i.advance(goneRetention)
	must.MapEmpty(t, i.s.knownDraining)
}
