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
