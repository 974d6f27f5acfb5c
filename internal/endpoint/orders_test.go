package endpoint

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeEngine accepts orders. It rejects stale ones only if checksFencing is
// set.
type fakeEngine struct {
	*rawEndpoint
	checksFencing bool

	mu              sync.Mutex
	order           Order
	receivedFencing []uint64
}

func newFakeEngine(t *testing.T, checksFencing bool) *fakeEngine {
	engine := &fakeEngine{checksFencing: checksFencing}
	engine.rawEndpoint = newRawEndpoint(t, func(e exchange) bool {
		e.write(engine.handle(e))
		return true
	})
	return engine
}

func (f *fakeEngine) handle(e exchange) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.request.Method == "GET" {
		body, _ := json.Marshal(f.order)
		return jsonAnswer(200, string(body))
	}
	var order Order
	_ = json.Unmarshal([]byte(e.body), &order)
	f.receivedFencing = append(f.receivedFencing, order.Fencing)
	if f.checksFencing && order.Fencing < f.order.Fencing {
		return jsonAnswer(409, "")
	}
	f.order = order
	return jsonAnswer(200, "")
}

// setOrder replaces the engine's order, as a former owner or a restart would.
func (f *fakeEngine) setOrder(order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = order
}

func (f *fakeEngine) fencing() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order.Fencing
}

// serveReconciler runs a reconciler until the test ends and returns it with its
// reports.
func serveReconciler(t *testing.T, config ReconcilerConfig, current func(string) (uint64, bool)) (*Reconciler, chan OrderReport) {
	// The buffer holds more reports than a test causes, so that the reconciler
	// does not block.
	reports := make(chan OrderReport, 1<<16)
	r := NewReconciler(newClient(t, Config{}), config, current, func(report OrderReport) { reports <- report })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return r, reports
}

// awaitOutcome reads reports up to the first with the given outcome.
func awaitOutcome(reports chan OrderReport, outcome OrderOutcome) OrderReport {
	for report := range reports {
		if report.Outcome == outcome {
			return report
		}
	}
	return OrderReport{}
}

func fixedFencing(fencing uint64) func(string) (uint64, bool) {
	return func(string) (uint64, bool) { return fencing, true }
}

var fastConfig = ReconcilerConfig{Interval: time.Millisecond}

// One reconciler knows only revision 1, the other knows revision 2. The revision
// of an order is its fencing number.
func TestConcurrentReconcilersConvergeOnNewestOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		for range 20 {
			engine := newFakeEngine(t, checksFencing)
			stale, staleReports := serveReconciler(t, fastConfig, fixedFencing(1))
			current, currentReports := serveReconciler(t, fastConfig, fixedFencing(2))
			must.True(t, stale.SetOrder("e", engine.address, Order{1, []string{"a"}}))
			must.True(t, current.SetOrder("e", engine.address, Order{2, []string{"b"}}))
			must.Eq(t, 2, awaitOutcome(currentReports, OrderApplied).Fencing)
			awaitOutcome(staleReports, OrderSuperseded)
			for engine.fencing() != 2 {
				awaitOutcome(currentReports, OrderApplied)
			}
			must.False(t, current.SetOrder("e", engine.address, Order{1, nil}))
			if checksFencing {
				// The stale reconciler may have been sending an order when
				// the engine received the newest one, but sends no other.
				engine.mu.Lock()
				newestAt := slices.Index(engine.receivedFencing, 2)
				must.LessEq(t, 1, len(engine.receivedFencing[newestAt+1:]))
				engine.mu.Unlock()
			}
		}
	}
}

// The process is paused between reading the engine's order and sending its own.
// Meanwhile the revision changes, the lease ends, or the process no longer knows
// a revision (zero).
func TestOrderIsWithheldWhenNoLongerCurrent(t *testing.T) {
	for _, state := range []struct {
		fencing uint64
		ok      bool
	}{{2, true}, {1, false}, {0, true}} {
		engine := newFakeEngine(t, false)
		r, reports := serveReconciler(t, fastConfig, func(string) (uint64, bool) { return state.fencing, state.ok })
		r.SetOrder("e", engine.address, Order{1, []string{"a"}})
		for range 3 {
			awaitOutcome(reports, OrderWithheld)
		}
		engine.mu.Lock()
		must.SliceEmpty(t, engine.receivedFencing)
		engine.mu.Unlock()
	}
}

// The engine accepted an old order because it ignores fencing numbers, or lost
// its order in a restart.
func TestOrderIsResentAfterDrift(t *testing.T) {
	engine := newFakeEngine(t, false)
	r, reports := serveReconciler(t, fastConfig, fixedFencing(5))
	r.SetOrder("e", engine.address, Order{5, []string{"a", "b"}})
	awaitOutcome(reports, OrderApplied)
	for _, order := range []Order{{}, {4, []string{"old"}}, {5, []string{"b"}}} {
		engine.setOrder(order)
		awaitOutcome(reports, OrderApplied)
	}
	// The sequence of the models does not matter.
	engine.setOrder(Order{5, []string{"b", "a"}})
	awaitOutcome(reports, OrderInForce)
	// Remove does not change the engine's order.
	r.Remove("e")
	must.Eq(t, 5, engine.fencing())
}

// The rate permits one model load during the test. The third engine already has
// its model, so its order is sent without waiting, unlike that of the second.
func TestOrdersRespectModelLoadRate(t *testing.T) {
	config := ReconcilerConfig{ModelsPerSecond: 1e-9, Interval: time.Millisecond}
	r, reports := serveReconciler(t, config, fixedFencing(1))
	first, second, third := newFakeEngine(t, true), newFakeEngine(t, true), newFakeEngine(t, true)
	third.setOrder(Order{0, []string{"a", "b"}})
	r.SetOrder("first", first.address, Order{1, []string{"a"}})
	awaitOutcome(reports, OrderApplied)
	r.SetOrder("second", second.address, Order{1, []string{"a"}})
	r.SetOrder("third", third.address, Order{1, []string{"a"}})
	must.Eq(t, "third", awaitOutcome(reports, OrderApplied).Endpoint)
	must.Eq(t, 0, second.fencing())
}

func TestEngineErrorIsReported(t *testing.T) {
	r, reports := serveReconciler(t, fastConfig, fixedFencing(1))
	engine := newRawEndpoint(t, func(e exchange) bool { e.write(jsonAnswer(500, "")); return true })
	r.SetOrder("e", engine.address, Order{Fencing: 1})
	must.ErrorContains(t, awaitOutcome(reports, OrderFailed).Err, "500")
}
