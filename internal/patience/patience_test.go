package patience

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// Guards against a limit that ignores the expected run, half of the caller's time, the time
// after which a caller without output leaves or the route's timeout, and against one that needs completed requests.
func TestLimitsOfARequest(t *testing.T) {
	for name, c := range map[string]struct {
		r             Request
		inTime, waits Time
	}{
		"draft":        {Request{Target: 1200 * ms, CallerDeadline: 10000 * ms, Deadline: 10000 * ms, FirstOutput: 200 * ms, Run: 2000 * ms}, 950 * ms, 5000 * ms},
		"long run":     {Request{Target: 1200 * ms, CallerDeadline: 10000 * ms, Deadline: 10000 * ms, FirstOutput: 200 * ms, Run: 6000 * ms}, 950 * ms, 2500 * ms},
		"route's time": {Request{Target: 500 * ms, CallerDeadline: 10000 * ms, Deadline: 2000 * ms, FirstOutput: 80 * ms, Run: 800 * ms}, 400 * ms, 1000 * ms},
		"short call":   {Request{Target: 120 * ms, CallerDeadline: 600 * ms, Deadline: 600 * ms, FirstOutput: 40 * ms, Run: 40 * ms}, 70 * ms, 300 * ms},
		"unknown run":  {Request{Target: 120 * ms, CallerDeadline: 600 * ms, Deadline: 600 * ms}, 60 * ms, 300 * ms},
		"leaves early": {Request{Target: 400 * ms, CallerDeadline: 15000 * ms, Deadline: 15000 * ms, GivesUpAfter: 2000 * ms, FirstOutput: 200 * ms, Run: 1500 * ms}, 150 * ms, 1750 * ms},
		"given up":     {Request{Target: 120 * ms, CallerDeadline: -5 * ms, Deadline: -5 * ms, FirstOutput: 40 * ms, Run: 40 * ms}, 70 * ms, -55 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.inTime, c.r.InTimeUntil())
			must.Eq(t, c.waits, c.r.WaitsUntil())
			must.False(t, c.r.Late(c.inTime))
			must.True(t, c.r.Late(c.inTime+1))
		})
	}
}

// Guards against a late request ahead of one in time, and against a refusal while the rate
// of dispatches is unknown.
func TestOrderAndRefusal(t *testing.T) {
	order := []Key{{false, 0, 0}, {false, 0, 3}, {false, 2, 0}, {true, 0, 1}, {true, 2, 0}}
	for k := range order {
		for n := range order {
			must.Eq(t, k < n, order[k].Less(order[n]))
		}
	}
	r := Request{Target: 120 * ms, CallerDeadline: 600 * ms, Deadline: 600 * ms, FirstOutput: 40 * ms, Run: 40 * ms}
	must.False(t, Hopeless(r, Queue{Ahead: 1e6}, 0))
	must.False(t, Hopeless(r, Queue{Ahead: 30, PerSecond: 100}, 0))
	must.True(t, Hopeless(r, Queue{Ahead: 31, PerSecond: 100}, 0))
	must.True(t, Hopeless(r, Queue{Ahead: 6, PerSecond: 100}, 250*ms))
	wait, _ := Queue{Ahead: 1, PerSecond: 1e-300}.Wait()
	must.Eq(t, time.Hour, wait)
}
