package scheduler

import (
	"fmt"
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
