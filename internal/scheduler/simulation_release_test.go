package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

// drainingBound is the time within which all instances of a zone must know that an
// endpoint is draining once one of them has read it, although their own reads bring
// nothing.
const drainingBound = time.Second

// Guards against an endpoint that gets requests from an instance whose reads of the
// platform lag although others of its zone have read that the endpoint is draining or has
// been removed: a release of many endpoints, which only two instances of each zone read, with reports
// that are lost.
func TestReadersAnnounceDrainingEndpoints(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, engines int }{{6, 1, 18}, {84, 4, 90}, {300, 20, 360}} {
		for _, loss := range []float64{0, 0.1, 0.33} {
			if !*flagLarge && (size.instances == 300 || size.instances == 84 && loss != 0.33) {
				continue
			}
			t.Run(fmt.Sprintf("%d_%.2f", size.instances, loss), func(t *testing.T) {
				t.Parallel()
				f := newSimulation(size.instances, size.zones, size.engines, 6)
				f.rand = rand.New(rand.NewPCG(uint64(100*loss), uint64(size.instances)))
				f.limits = newSimLimits()
				f.limits.loss = loss
				f.advance(5 * time.Second)
				readers := map[string]int{}
				read := map[*simInstance]bool{}
				for _, i := range f.instances {
					if readers[i.zone] < 2 {
						readers[i.zone]++
						read[i] = true
					}
				}
				drained := 60
				switch {
				case size.instances == 6:
					drained = size.engines
				case !*flagLarge:
					drained = 20
				}
				var listed []Instant
				worst, late := time.Duration(0), 0
				for n := range drained {
					c := f.entry(f.engines[fmt.Sprintf("e%d", n)])
					draining, removed := *c.Endpoint, n%2 == 1
					draining.Leaving = true
					c.Endpoint, c.Revision = &draining, int64(10+n)
					if removed {
						c.Endpoint = nil
					}
					for _, i := range f.instances {
						if read[i] {
							f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: []directory.Change{c}, Revision: c.Revision}}})
						}
					}
					listed = append(listed, f.now)
					process := crash.IncarnationOf(draining.ID, draining.Started)
					known := func(i *simInstance) bool {
						e := i.s.incarnations[process]
						return removed && (e == nil || f.now < e.withdrawnUntil) || !removed && e.Leaving
					}
					for _, i := range f.instances {
						f.watchUntil(known, i, f.now, &worst)
					}
					f.advance(500 * time.Millisecond)
				}
				f.advance(drainingBound)
				for n := range drained {
					for _, i := range f.instances {
						if e := i.s.endpoints[fmt.Sprintf("e%d", n)]; e != nil && !e.Leaving && e.withdrawnUntil == 0 {
							late++
						}
					}
				}
				t.Logf("%d endpoints, worst %v, %d never", len(listed), worst, late)
				must.Eq(t, 0, late)
				must.LessEq(t, drainingBound, worst)
			})
		}
	}
}

// watchUntil records the time from since until an instance knows a fact, for at most
// some seconds.
func (f *simulation) watchUntil(known func(*simInstance) bool, i *simInstance, since Instant, worst *time.Duration) {
	const resolution = 10 * time.Millisecond
	switch elapsed := f.now.Sub(since); {
	case known(i):
		*worst = max(*worst, elapsed)
	case elapsed < 5*time.Second:
		f.after(resolution, func() { f.watchUntil(known, i, since, worst) })
	default:
		*worst = max(*worst, elapsed)
	}
}
