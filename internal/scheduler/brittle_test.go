package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// brittle lets an instance hear that the endpoints of the service are brittle.
func (i *instance) brittle(rejections int) {
	id := i.arrive(route("r", 0), nil)
	i.step(AnswerReceived{ID: id, Brittle: Brittleness{Named: true, Rejections: rejections}})
	i.end(id, Attempt{Outcome: Completed})
}

// Guards against an instance that stops and sends to brittle endpoints on, although
// another one takes its place.
func TestStoppingInstanceLeavesBrittleEndpointsToOthers(t *testing.T) {
	i := newServingInstance(t, 6, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.brittle(2)
	i.advanceInContact(time.Second)
	own := 0
	for _, e := range i.s.endpoints {
		if i.s.ownsBrittle(e) {
			own++
		}
	}
	must.Between(t, 1, own, 5)
	i.step(StopRequested{})
	for _, e := range i.s.endpoints {
		must.False(t, i.s.ownsBrittle(e))
	}
}

// Guards against two instances that each cause the rejections that an endpoint bears:
// one that takes the place of another waits.
func TestNewOwnerOfABrittleEndpointWaits(t *testing.T) {
	i := newServingInstance(t, 6, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.brittle(2)
	var other *endpoint
	for _, e := range i.s.endpoints {
		if !i.s.ownsBrittle(e) {
			other = e
		}
	}
	must.NotNil(t, other)
	i.reportFor(func(r *Report) { r.Leaving = true })
	i.advance(TickInterval)
	must.True(t, i.s.ownsBrittle(other))
	p := i.s.pool(service)
	must.False(t, i.s.brittleRoom(p, other))
	i.advance(rejectionWindow)
	must.True(t, i.s.brittleRoom(p, other))
}

// Guards against a statement that outlives its end: an answer without it, to a request
// sent after the last one with it, ends it, and no older report brings it back.
func TestBrittlenessEnds(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.brittle(2)
	must.True(t, i.s.pool(service).brittle.Named)
	i.advanceInContact(time.Second)
	var id RequestID
	for id = range i.dispatched {
		break
	}
	if id == 0 {
		for id = i.arrive(route("r", 0), nil); !i.running(id); id = i.arrive(route("r", 0), nil) {
			i.advanceInContact(TickInterval)
		}
	}
	i.advanceInContact(TickInterval)
	i.step(AnswerReceived{ID: id})
	must.False(t, i.s.pool(service).brittle.Named)
	i.reportFor(func(r *Report) {
		r.Brittle = []BrittleStatement{{Service: service, Brittleness: Brittleness{Named: true}, SentAge: 3 * time.Second, ReceivedAge: 2 * time.Second}}
	})
	must.False(t, i.s.pool(service).brittle.Named)
	i.reportFor(func(r *Report) {
		r.Brittle = []BrittleStatement{{Service: service, Brittleness: Brittleness{Named: true}}}
	})
	must.True(t, i.s.pool(service).brittle.Named)
}

// Guards against a request that travels from instance to instance: one that was
// forwarded waits for the endpoints of this one.
func TestForwardedRequestStaysAtTheOwner(t *testing.T) {
	i := newServingInstance(t, 6, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.brittle(1)
	i.advanceInContact(time.Second)
	i.forwards = nil
	for range 12 {
		i.arrive(route("r", 0), func(q *Request) { q.Forwarding = &Forwarding{} })
	}
	must.SliceEmpty(t, i.forwards)
	i.arrive(route("r", 0), nil)
	must.Len(t, 1, i.forwards)
}

// Guards against instances that send to brittle endpoints until the next report, and
// against one that has missed the notice.
func TestBrittlenessIsToldAtOnceAndRepeated(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	for _, partial := range []bool{true, false} {
		i.reports = nil
		if partial {
			i.brittle(2)
		} else {
			i.advanceInContact(200 * time.Millisecond)
		}
		told := false
		for _, r := range i.reports {
			told = told || r.Report.Partial == partial && len(r.Report.Brittle) == 1
		}
		must.True(t, told)
	}
	other := newServingInstance(t, 2, 4)
	other.reportFor(func(r *Report) {
		r.Brittle = []BrittleStatement{{Service: service, Brittleness: Brittleness{Named: true, Rejections: 2}}}
	})
	must.True(t, other.s.pool(service).brittle.Named)
}

// Guards against room that is never used again after one rejection.
func TestRoomOfABrittleEndpointGrows(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.brittle(4)
	e, p := i.s.endpoints["e0"], i.s.pool(service)
	id := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	i.end(id, Attempt{Outcome: NotRun})
	must.Eq(t, 1, e.brittle.room)
	i.advance(rejectionWindow)
	first := i.arrive(route("r", 0), nil)
	must.True(t, i.running(first))
	i.advance(acceptTime)
	must.False(t, i.running(i.arrive(route("r", 0), nil)))
	i.advance(roomGrowth(p.brittle.Rejections))
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
	must.Eq(t, 2, e.brittle.room)
}

// Guards against an instance that has just started, takes the place of another one and
// adds its rejections to those of the last second.
func TestStartingOwnerOfABrittleEndpointWaits(t *testing.T) {
	i := newServingInstance(t, 6, 4)
	i.reportFor(func(r *Report) {
		r.Brittle = []BrittleStatement{{Service: service, Brittleness: Brittleness{Named: true, Rejections: 2}, SentAge: 100 * time.Millisecond, ReceivedAge: 90 * time.Millisecond}}
	})
	i.advanceInContact(600 * time.Millisecond)
	p, own := i.s.pool(service), 0
	for _, e := range i.s.endpoints {
		if i.s.ownsBrittle(e) {
			own++
			must.False(t, i.s.brittleRoom(p, e))
		}
	}
	must.Positive(t, own)
	i.advanceInContact(rejectionWindow)
	for _, e := range i.s.endpoints {
		must.Eq(t, i.s.ownsBrittle(e), i.s.brittleRoom(p, e))
	}
}
