package shutdown

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that begin although they can't end before their instance, and
// against refusals of those that can.
func TestRequestsBeginIfTheyCanEndInTime(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		r    Request
		now  Time
		want bool
	}{
		"its own time is over first":     {Request{Deadline: 7 * s}, 6 * s, true},
		"nothing is known":               {Request{Deadline: 8 * s, Repeatable: true}, 1 * s, false},
		"short runs":                     {Request{Deadline: 15 * s, Repeatable: true, Longest: 4 * s}, 3 * s, true},
		"long runs":                      {Request{Deadline: 15 * s, Repeatable: true, Longest: 4 * s}, 4 * s, false},
		"short runs that may run once":   {Request{Deadline: 15 * s, Longest: 2 * s}, 3 * s, true},
		"long runs that may run once":    {Request{Deadline: 15 * s, Longest: 3 * s}, 3 * s, false},
		"at the end":                     {Request{Deadline: 7 * s, Repeatable: true, Longest: 1}, 7 * s, false},
		"its own time is over, long ago": {Request{Deadline: 1 * s}, 2 * s, true},
	} {
		must.Eq(t, c.want, c.r.MayBegin(c.now, 7*s), must.Sprint(name))
	}
}

// Guards against a long run that is forgotten with the next short one, or never.
func TestLongestRunIsForgottenSlowly(t *testing.T) {
	longest := UpdateLongest(0, 4*time.Second)
	for range 10 {
		longest = UpdateLongest(longest, time.Second)
	}
	must.Greater(t, 3*time.Second, longest)
	for range 1000 {
		longest = UpdateLongest(longest, time.Second)
	}
	must.Less(t, 1100*time.Millisecond, longest)
	must.Eq(t, 5*time.Second, UpdateLongest(longest, 5*time.Second))
}
