package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// waitingInstance returns an instance whose only endpoint is full and whose requests wait
// until their deadline.
func waitingInstance(t *testing.T) (i *instance, running []RequestID) {
	cfg := testConfig()
	cfg.WaitForDeadline = true
	i = newInstance(t, cfg)
	i.configure(testConfiguration())
	i.applyChanges(engines(1, 1)...)
	for range 1 + endpointQueueDepth {
		running = append(running, i.arrive(route("r", 1), nil))
	}
	return i, running
}

// Guards against a late request that is refused although it can still be served, or is
// served before one that is in time, of whichever rank, and against a wait for longer than the
// caller of a stream waits for its first event.
func TestLateRequestsGiveWayAndWait(t *testing.T) {
	i, running := waitingInstance(t)
	urgentLate := i.arrive(route("r", 0), nil)
	late := i.arrive(route("r", 1), nil)
	i.advance(time.Second)
	inTime := i.arrive(route("r", 1), nil)
	i.end(running[0], Attempt{Outcome: Abandoned})
	must.True(t, i.running(inTime))
	i.end(running[1], Attempt{Outcome: Abandoned})
	must.False(t, i.running(urgentLate), must.Sprint("a late request is sent ahead of a free slot"))
	i.end(inTime, Attempt{Outcome: Abandoned})
	must.True(t, i.running(urgentLate))
	// The caller of a stream leaves after 2.4 s without an event, of which half of the
	// target is left for the first one.
	i.advance(1050 * time.Millisecond)
	must.MapNotContainsKey(t, i.refused, late)
	i.advance(3 * TickInterval)
	got := i.refusal(late)
	must.Eq(t, QueueDelay, got.Reason)
	must.True(t, got.NotRun)
	must.LessEq(t, 870*time.Millisecond, got.RetryAfter)
}

// Guards against a request that waits in vain: 40 requests a second arrive where one slot
// serves ten. Those that can't be served are refused when they arrive.
func TestHopelessRequestsAreRefusedAtArrival(t *testing.T) {
	i, running := waitingInstance(t)
	for range 20 {
		for range 4 {
			i.arrive(route("r", 1), nil)
		}
		i.advance(100 * time.Millisecond)
		i.end(running[0], Attempt{Outcome: Completed, FirstByte: 100 * time.Millisecond})
		running = append(running[1:], i.order[len(i.order)-1])
	}
	var last RequestID
	for range 10 {
		last = i.arrive(route("r", 1), nil)
	}
	must.Eq(t, ExpectedDelay, i.refusal(last).Reason)
	must.Positive(t, i.refusal(last).RetryAfter)
	must.Less(t, 20, len(i.s.pools[service].waiting))
	for range maxWaiting + 1 {
		i.s.pools[service].slotTime = 0
		i.s.pools[service].dispatches.perSecond = 0
		i.arrive(route("r", 1), nil)
	}
	must.Eq(t, maxWaiting, len(i.s.pools[service].waiting))
}
