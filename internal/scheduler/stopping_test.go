package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that a stopping instance begins or holds in its queue although
// they can't end before it does.
func TestStoppingInstanceRefusesWhatCannotEnd(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	r := unsafeRoute()
	r.Timeout = 20 * time.Second
	arrive := func() RequestID {
		return i.arrive(r, func(q *Request) { q.Deadline, q.CallerDeadline = i.now.Add(r.Timeout), i.now.Add(r.Timeout) })
	}
	running := arrive()
	var waiting []RequestID
	for range 3 {
		waiting = append(waiting, arrive())
	}
	i.step(StopRequested{EndsAt: i.now.Add(7 * time.Second)})
	must.True(t, i.running(running))
	for _, id := range append(waiting, arrive()) {
		if i.running(id) {
			// The endpoint's queue takes one more.
			continue
		}
		got := i.refusal(id)
		must.Eq(t, InstanceStopping, got.Reason)
		must.True(t, got.NotRun)
		must.Positive(t, got.RetryAfter)
	}
	must.False(t, i.running(waiting[2]))

	// Once its runs are known to be short, the route is served until they might be cut.
	for id := range i.dispatched {
		if i.running(id) {
			i.end(id, Attempt{Outcome: Completed, FirstByte: time.Millisecond})
		}
	}
	short := arrive()
	must.True(t, i.running(short))
	i.end(short, Attempt{Outcome: Completed, FirstByte: time.Millisecond})
	i.advance(6900 * time.Millisecond)
	must.True(t, i.running(arrive()))
	i.advance(100 * time.Millisecond)
	must.Eq(t, InstanceStopping, i.refusal(arrive()).Reason)
}
