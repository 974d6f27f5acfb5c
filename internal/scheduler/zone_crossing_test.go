package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crossing"
	"github.com/shoenig/test/must"
)

// Load pattern: a burst at a zone with one slot while another zone is empty. Guards
// against crossings that are not limited until they are answered, that take the room of
// the other zone's callers, or that can't be explained from the log.
func TestCrossingsAreLimitedAndLogged(t *testing.T) {
	cfg := testConfig()
	cfg.AdaptiveCrossing, cfg.CrossingCost = true, crossing.DefaultCost
	i := newInstance(t, cfg)
	i.configure(testConfiguration())
	there := engine(1, 5)
	there.Endpoint.Zone = "b"
	i.applyChanges(engine(0, 1), there)
	left := func() (out []RequestID) {
		for _, id := range i.order {
			if d, running := i.dispatched[id]; running && d.Endpoint.Zone == "b" {
				must.True(t, slices.Contains(d.LogFields, any("crossing_reason")) && slices.Contains(d.LogFields, any(string(crossing.RefusedHere))))
				out = append(out, id)
			}
		}
		return out
	}
	for range 12 {
		i.arrive(route("r", 0), nil)
	}
	must.Len(t, 2, left())
	i.now = i.now.Add(time.Millisecond)
	for _, id := range left() {
		i.step(AnswerStarted{ID: id})
	}
	i.advance(TickInterval)
	must.Len(t, 4, left())
	for _, id := range left() {
		i.step(AnswerStarted{ID: id})
	}
	i.advance(TickInterval)
	must.Len(t, 4, left(), must.Sprint("one slot stays free"))
}
