package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Load pattern: all instances of a system start within a third of a second. Guards against
// instances that learn of the others only after seconds, because those that they know are
// busy with reports to many: meanwhile each reads the platform for itself and admits next
// to nothing of the quotas.
func TestInstancesThatStartTogetherFindEachOther(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones int }{{6, 3}, {84, 4}, {195, 6}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			f := newSimulation(size.instances, size.zones, 12, 8)
			for n, i := range f.instances {
				i.down = true
				f.after(time.Duration(f.rand.Int64N(int64(300*time.Millisecond))), func() { f.start(i, uint64(1000+n), f.entries()) })
			}
			began := f.now
			contacted, zoneKnown := began, began
			for f.now < began.Add(5*time.Second) {
				f.advance(TickInterval)
				for _, i := range f.instances {
					if i.down || !i.s.members.contacted {
						contacted = f.now
					}
					if i.down || i.s.members.sameZone < (size.instances-1)/size.zones-1 {
						zoneKnown = f.now
					}
				}
			}
			t.Logf("%d instances: all have heard of another after %v, know their zone after %v", size.instances, contacted.Sub(began), zoneKnown.Sub(began))
			must.Less(t, 600*time.Millisecond, contacted.Sub(began))
			must.Less(t, 2*time.Second, zoneKnown.Sub(began))
		})
	}
}
