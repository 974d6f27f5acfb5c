package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// joinedStreamsAllowed is the number of streams that may hold events of two software
// versions.
const joinedStreamsAllowed = 2

// streamSizes are the sizes at which streams go on, and the streams a second.
var streamSizes = []struct {
	instances, engines, slots int
	rate                      float64
}{{6, 18, 10, 25}, {84, 90, 6, 40}}

// Guards against streams with events of two software versions: broken ones are
// resumed within their answers when engines end, and taken up by their callers when
// instances die, while two versions serve.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			f := newStreamSimulation(size.instances, size.engines, size.slots, "v1", "v1", "v1.1")
			f.advance(3 * time.Second)
			end := f.now.Add(8 * time.Second)
			f.startStreams(size.rate, end)
			for n := range 6 {
				f.after(time.Duration(2+n)*time.Second, func() {
					for range 1 + size.engines/45 {
						e := f.randomEngine()
						f.replaceEngine(e, e.version, time.Second)
					}
					for range 1 + size.instances/12 {
						f.kill(f.liveInstance(), time.Second)
					}
				})
			}
			f.advance(12 * time.Second)
			share, n := f.streams.goOnShare(partContact)
			t.Logf("%d streams, %d with events of two versions; %.2f begin; of %d taken up %.2f go on",
				len(f.streams.all), f.streams.joined(), f.streams.beginShare(), n, share)
			must.LessEq(t, joinedStreamsAllowed, f.streams.joined())
			must.GreaterEq(t, 5, n)
			must.GreaterEq(t, 0.5*f.streams.beginShare(), share)
		})
	}
}

// Guards against streams that go on at the version that instances list after all of them
// have restarted, although they began at the one that was released before.
func TestStreamsAreNotJoinedAfterAllInstancesRestart(t *testing.T) {
	t.Parallel()
	for _, size := range streamSizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			f := newStreamSimulation(size.instances, size.engines, size.slots, "v1")
			f.advance(3 * time.Second)
			f.startStreams(size.rate, f.now.Add(8*time.Second))
			f.after(2*time.Second, func() { f.replaceAllEngines("v2") })
			f.after(2800*time.Millisecond, func() {
				for _, i := range f.instances {
					f.kill(i, 50*time.Millisecond)
				}
			})
			f.advance(12 * time.Second)
			t.Logf("%d streams, %d with events of two versions", len(f.streams.all), f.streams.joined())
			must.LessEq(t, joinedStreamsAllowed, f.streams.joined())
		})
	}
}

// Drawn schedules of kills, pauses, restarts of all instances, partitions, engines
// that end, and releases that replace engines one by one, three at a time and back
// again, while callers take broken streams up. Instances hear of changes at
// different times.
func TestStreamsGoOnThroughFaultsAndReleases(t *testing.T) {
	t.Parallel()
	sizes := []struct {
		instances, engines, slots, seeds int
		rate                             float64
	}{{6, 18, 10, 30, 25}, {12, 18, 10, 12, 25}, {84, 90, 6, 1, 30}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			wentOn, takenUp := 0.0, 0
			for seed := range uint64(size.seeds) {
				t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
					f := newStreamSimulation(size.instances, size.engines, size.slots, "v1")
					f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
					f.streams.attempts = 1 + f.rand.IntN(3)
					f.streams.lag = time.Duration(f.rand.IntN(3)) * time.Second
					f.advance(3 * time.Second)
					end := f.now.Add(18 * time.Second)
					f.startStreams(size.rate, end)
					f.injectFaults(1200*time.Millisecond, 15*time.Second)
					f.rollOut("v1.1", size.engines/3, 200*time.Millisecond+time.Duration(f.rand.Int64N(int64(time.Second))))
					f.after(6*time.Second, func() {
						for range 3 {
							f.rollOut([]string{"v1", "v2"}[f.rand.IntN(2)], size.engines/9, 500*time.Millisecond)
						}
					})
					for n := range 5 {
						f.after(time.Duration(2+3*n)*time.Second, func() {
							e := f.randomEngine()
							f.replaceEngine(e, e.version, 2*time.Second)
							if n == 3 && seed%3 == 0 {
								for _, i := range f.instances {
									f.kill(i, time.Second)
								}
							}
						})
					}
					f.advance(24 * time.Second)
					share, n := f.streams.goOnShare(partContact)
					wentOn, takenUp = wentOn+share*float64(n), takenUp+n
					if seed < 2 || f.streams.joined() > 0 {
						t.Logf("%d instances, seed %d: %d streams, %d with events of two versions; %.2f begin; of %d taken up %.2f go on",
							size.instances, seed, len(f.streams.all), f.streams.joined(), f.streams.beginShare(), n, share)
					}
					must.LessEq(t, joinedStreamsAllowed, f.streams.joined(), must.Sprint(seed))
					if n >= 12 {
						must.GreaterEq(t, 0.5*f.streams.beginShare(), share, must.Sprint(seed))
					}
				})
			}
			t.Logf("%d instances: of %d taken up %.2f go on", size.instances, takenUp, wentOn/float64(max(takenUp, 1)))
		})
	}
}
