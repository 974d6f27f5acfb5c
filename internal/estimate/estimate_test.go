package estimate

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// Guards against a slowness that outlives its 0.6 s, and against one that can't be true.
func TestSlownessLosesWeight(t *testing.T) {
	slow := Statement{}.Stated(2.5)
	must.Eq(t, 2.5, slow.At(0))
	must.Eq(t, 1.75, slow.At(halfLife))
	must.Less(t, 1.05, slow.At(2*time.Second))
	for _, wrong := range []float64{0, -1, 11, 1e300, math.NaN(), math.Inf(1)} {
		must.True(t, Statement{}.Stated(wrong).Discarded())
		must.Eq(t, 1, Statement{}.Stated(wrong).At(0))
	}
}

// Guards against a figure that never changes while requests take their usual time, and
// against distrust of one that is true or has changed since.
func TestContradictedSlownessIsDiscarded(t *testing.T) {
	lie, truth := Statement{}.Stated(3), Statement{}.Stated(2.5)
	for range maxContradictions {
		must.False(t, lie.Discarded())
		lie = lie.Stated(3).Measured(101, 100)
		truth = truth.Stated(2.5).Measured(240, 100)
	}
	must.Eq(t, 1, lie.At(0))
	must.Eq(t, 2.5, truth.At(0))
	must.Eq(t, 1.5, lie.Stated(1.5).At(0))
}

func TestExpectedTimes(t *testing.T) {
	e := Endpoint{Load: 3, Slots: 4, Pace: 2.5}
	must.Eq(t, 0, e.UntilFreeSlot(500*ms))
	must.Eq(t, 100*ms, e.UntilFirstOutput(500*ms, 40*ms))
	e.Load = 5
	must.Eq(t, 625*ms, e.UntilFreeSlot(500*ms))
}
