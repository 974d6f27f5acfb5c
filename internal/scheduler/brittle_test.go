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
