package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against callers that wait in vain while all endpoints rest: a request waits if
// its deadline allows, and is otherwise refused at once, with a Retry-After that is
// true.
func TestRequestsWhileAllEndpointsRest(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	for _, rest := range []time.Duration{2 * time.Second, time.Second} {
		id := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
		i.end(id, Attempt{Outcome: NotRun, RetryAfter: rest})
	}
	id := i.arrive(route("r", 0), func(q *Request) { q.CallerDeadline, q.Deadline = i.now.Add(time.Minute), i.now.Add(time.Minute) })
	must.Eq(t, EndpointsResting, i.refusal(id).Reason)
	must.True(t, i.refusal(id).NotRun)
	must.Between(t, time.Second, i.refusal(id).RetryAfter, 3*time.Second)

	patient := i.arrive(route("r", 0), func(q *Request) {
		q.Route.Target = 20 * time.Second
		q.CallerDeadline, q.Deadline = i.now.Add(time.Minute), i.now.Add(time.Minute)
	})
	must.MapNotContainsKey(t, i.refused, patient)
	i.advance(900 * time.Millisecond)
	must.False(t, i.running(patient))
	i.advance(time.Second)
	must.True(t, i.running(patient))
}

// Guards against a rest that ends early by a shorter one, or that counts for another
// process at the address.
func TestRestBelongsToOneProcess(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	first := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	second := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	i.end(first, Attempt{Outcome: NotRun, RetryAfter: 3 * time.Second})
	i.end(second, Attempt{Outcome: NotRun, RetryAfter: time.Second})
	i.advance(2500 * time.Millisecond)
	must.False(t, i.running(i.arrive(route("r", 0), nil)))
	next := engine(0, 4)
	next.Endpoint.Started = 2
	i.applyChanges(next)
	i.advance(TickInterval)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}
