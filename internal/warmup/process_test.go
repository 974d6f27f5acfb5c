package warmup

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const second = Time(time.Second)

// Guards against an entry that is read again, or late, and starts coldness anew.
func TestOnlyNewerEntryCounts(t *testing.T) {
	var p Process
	must.False(t, p.Cold(0))
	p.Stated(3*time.Second, 5, 0)
	p.Stated(3*time.Second, 5, 2*second)
	p.Stated(9*time.Second, 4, 2*second)
	must.True(t, p.Cold(3*second-1))
	must.False(t, p.Cold(3*second))
	p.Stated(3*time.Second, 6, 4*second)
	must.True(t, p.Cold(6*second))
	p.Stated(0, 7, 5*second)
	must.False(t, p.Cold(5*second))
	must.Eq(t, 0, p.Rate(7, 5*second))
}

// Guards against a process that states its coldness and is counted as newly started, and
// against one that states nothing and gets its full load at once.
func TestStartedProcessIsColdUnlessItStatesOtherwise(t *testing.T) {
	var silent, warm Process
	silent.Started(4*time.Second, 5, 0)
	silent.Started(4*time.Second, 6, 3*second)
	must.Eq(t, 7, silent.Rate(7, 4*second-1))
	must.Eq(t, 0, silent.Rate(7, 4*second))
	must.Eq(t, 3*time.Second, silent.Remaining(second))
	warm.Stated(0, 5, 0)
	warm.Started(4*time.Second, 6, 0)
	must.False(t, warm.Cold(0))
}
