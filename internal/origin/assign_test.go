package origin

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against software that gets more or fewer streams than its endpoints can run,
// and against a change of one share that moves the streams of others.
func TestAttemptsAreAssignedInProportionToSlots(t *testing.T) {
	const attempts = 20000
	before := []Share{{v1, 6}, {v2, 12}}
	after := []Share{{v2, 18}, {v1, 6}, {7, 0}}
	counts := map[Software]int{}
	for n := range attempts {
		a := AttemptOf("org", string(rune(n)))
		first, second := Assign(a, before), Assign(a, after)
		counts[first]++
		if first == v2 {
			must.Eq(t, v2, second)
		}
		must.Eq(t, v2, Assign(a, []Share{{v2, 18}}))
	}
	must.InDelta(t, attempts/3, counts[v1], attempts/50)
	must.Eq(t, attempts, counts[v1]+counts[v2])
	must.Eq(t, Unknown, Assign(1, nil))
}
