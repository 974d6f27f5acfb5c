package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// partCrashesAllowed is the number of endpoints that may end under a part, and
	// partLateSendsAllowed that of later requests with it that are sent.
	partCrashesAllowed   = 5
	partLateSendsAllowed = 3
)

const crashingPart PromptPart = 666

// partSizes are the sizes at which a system with crashing parts is simulated, and
// the load of sound requests as a share of the engines' capacity.
var partSizes = []struct {
	instances, engines, slots int
	load                      float64
}{{6, 18, 10, 0.4}, {84, 90, 6, 0.12}}

// Guards against requests that share a crashing part of their prompts, no two
// alike, and that end one engine each because their crashes do not add up.
func TestCrashesUnderSharedPromptPartAddUp(t *testing.T) {
	for _, size := range partSizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			f := newPartSimulation(size.instances, size.engines, size.slots, 50, crashingPart)
			f.advance(3 * time.Second)
			load := size.load * float64(size.engines*size.slots) / simServiceTime.Seconds()
			begin := f.now
			f.runLoad(load, 2*time.Second)
			before, _ := f.parts.begunShare(begin, f.now, nil)
			end := f.now.Add(9 * time.Second)
			f.repeatPrompts(4, end, 1, func() []PromptPart { return []PromptPart{firstPart, crashingPart} })
			f.runLoad(load, 9*time.Second)
			ended, late := len(f.parts.crashedAt[crashingPart]), f.parts.lateSends(crashingPart, partCrashesAllowed)
			t.Logf("%d sends, %d engines ended, %d late sends, %d sound requests refused as suspects",
				len(f.parts.sends[crashingPart]), ended, late, f.parts.refusedSound())
			must.GreaterEq(t, 1, ended)
			must.LessEq(t, partLateSendsAllowed, late)
			must.Eq(t, 0, f.parts.refusedSound())
			after, n := f.parts.begunShare(end.Add(-2*time.Second), end, nil)
			t.Logf("share of sound requests that begin: %.2f before, %.2f at the end (of %d)", before, after, n)
			must.GreaterEq(t, 0.9*before, after)
		})
	}
}
