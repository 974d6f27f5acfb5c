package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

// announce lets another instance announce a departure.
func (i *instance) announce(d Departure) {
	i.reportFor(func(r *Report) { r.Partial, r.Departures = true, []Departure{d} })
}

// Guards against an endpoint that is used after its removal was announced, since an
// answer that was in progress still contains its entry, and against one that registers
// again and is never used.
func TestAnnouncedRemovalPrecedesTheRead(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	used := func() bool {
		id := i.arrive(route("r", 0), nil)
		defer i.end(id, Attempt{Outcome: Completed})
		return i.running(id)
	}
	e0 := engine(0, 4)
	i.announce(Departure{Process: crash.IncarnationOf("e0", 1), Revision: 7, Removed: true})
	must.False(t, used())
	e0.Revision = 6
	i.applyChanges(e0)
	must.False(t, used())
	e0.Revision = 8
	i.applyChanges(e0)
	must.True(t, used())
}

// Guards against an announcement that is older than what was read, or from a history that
// the platform has replaced.
func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	i := newServingInstance(t, 0, 4)
	e0 := engine(0, 4)
	e0.Revision = 9
	i.readDirectory(directory.Update{Batch: directory.Batch{Era: 2, Revision: 9, Changes: []directory.Change{e0}}})
	process := crash.IncarnationOf("e0", 1)
	for _, d := range []Departure{{process, 2, 8, true}, {process, 1, 12, true}, {process, 1, 12, false}, {process, 2, 9, false}} {
		i.announce(d)
		must.False(t, i.s.endpoints["e0"].Leaving)
	}
	i.announce(Departure{process, 2, 10, false})
	must.True(t, i.s.endpoints["e0"].Leaving)
}

// Guards against each instance announcing what all read from one another, and against
// announcements to the whole of a large system.
func TestOnlyReadersOfThePlatformAnnounce(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.reportFor(nil)
	i.reports = nil
	i.readDirectory(directory.Update{From: otherAddr, Batch: directory.Batch{Revision: 3, Changes: []directory.Change{{EndpointID: "e0", Revision: 3}}}})
	must.SliceEmpty(t, i.reports)
	i.applyChanges(directory.Change{EndpointID: "e1", Revision: 4})
	must.Len(t, 1, i.reports)
	must.Eq(t, []Departure{{crash.IncarnationOf("e1", 1), 0, 4, true}}, i.reports[0].Report.Departures)
	must.Len(t, 2, i.s.departureReport())
	i.advance(departureRetention + 2*TickInterval)
	must.SliceEmpty(t, i.s.departureReport())
}

// Guards against announcements to all instances of a large system.
func TestDeparturesAreAnnouncedWithinTheZone(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	for n := range 12 {
		zone := "a"
		if n >= 4 {
			zone = "b"
		}
		i.step(PeerReported{Report: Report{
			Incarnation: uint64(100 + n), Sequence: 1, Address: fmt.Sprintf("10.9.0.%d:1", n), Zone: zone, Age: time.Minute,
		}})
	}
	i.advance(assignmentInterval + TickInterval)
	i.reports = nil
	i.applyChanges(directory.Change{EndpointID: "e1", Revision: 4})
	for _, r := range i.reports {
		if len(r.Report.Departures) > 0 {
			must.Len(t, 4, r.To)
			return
		}
	}
	t.Fatal("not announced")
}
