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

// fakeEngine takes orders; it refuses old ones only where it checks.
type fakeEngine struct {
	*rawEndpoint
	checks bool

	mu    sync.Mutex
	held  Order
	given []uint64
}

func newFakeEngine(t *testing.T, checks bool) *fakeEngine {
	engine := &fakeEngine{checks: checks}
	engine.rawEndpoint = newRawEndpoint(t, func(e exchange) bool {
		e.write(engine.answer(e))
		return true
	})
	return engine
}

func (f *fakeEngine) answer(e exchange) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.request.Method == "GET" {
		held, _ := json.Marshal(f.held)
		return jsonAnswer(200, string(held))
	}
	var order Order
	_ = json.Unmarshal([]byte(e.body), &order)
	f.given = append(f.given, order.Fencing)
	if f.checks && order.Fencing < f.held.Fencing {
		return jsonAnswer(409, "")
	}
	f.held = order
	return jsonAnswer(200, "")
}

// obey makes the engine hold an order, as an old owner or a restart would.
func (f *fakeEngine) obey(order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = order
}

func (f *fakeEngine) fencing() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.Fencing
}

// serve runs a reconciler until the test ends and returns its reports.
func serve(t *testing.T, config ReconcilerConfig, current func(string) (uint64, bool)) (*Reconciler, chan OrderReport) {
	reports := make(chan OrderReport, 1<<16)
	r := NewReconciler(newClient(t, Config{}), config, current, func(report OrderReport) { reports <- report })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return r, reports
}

// await reads reports up to the first with that outcome.
func await(reports chan OrderReport, outcome OrderOutcome) OrderReport {
	for report := range reports {
		if report.Outcome == outcome {
			return report
		}
	}
	return OrderReport{}
}

func newest(fencing uint64) func(string) (uint64, bool) {
	return func(string) (uint64, bool) { return fencing, true }
}

var quick = ReconcilerConfig{Interval: time.Millisecond}

// One reconciler still believes in revision 1, the other knows 2.
func TestRacingReconcilersEndWithTheNewestOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for range 20 {
			engine := newFakeEngine(t, checks)
			behind, behindReports := serve(t, quick, newest(1))
			ahead, aheadReports := serve(t, quick, newest(2))
			must.True(t, behind.Want("e", engine.address, Order{1, []string{"a"}}))
			must.True(t, ahead.Want("e", engine.address, Order{2, []string{"b"}}))
			must.Eq(t, 2, await(aheadReports, OrderApplied).Fencing)
			await(behindReports, OrderSuperseded)
			for engine.fencing() != 2 {
				await(aheadReports, OrderApplied)
			}
			must.False(t, ahead.Want("e", engine.address, Order{1, nil}))
			if checks {
				engine.mu.Lock()
				last := slices.Index(engine.given, 2)
				must.LessEq(t, 1, len(engine.given[last+1:]))
				engine.mu.Unlock()
			}
		}
	}
}

// The process is paused between the look at the engine and its order, and
// meanwhile another revision, or the end of its lease, came.
func TestOrderOfAProcessThatWakesLateIsWithheld(t *testing.T) {
	for _, now := range []struct {
		fencing uint64
		ok      bool
	}{{2, true}, {1, false}, {0, true}} {
		engine := newFakeEngine(t, false)
		r, reports := serve(t, quick, func(string) (uint64, bool) { return now.fencing, now.ok })
		r.Want("e", engine.address, Order{1, []string{"a"}})
		for range 3 {
			await(reports, OrderWithheld)
		}
		engine.mu.Lock()
		must.SliceEmpty(t, engine.given)
		engine.mu.Unlock()
	}
}

// An engine that ignored the numbers obeyed an old order, or lost its order.
func TestOrderIsGivenAgainWhereItIsNotInForce(t *testing.T) {
	engine := newFakeEngine(t, false)
	r, reports := serve(t, quick, newest(5))
	r.Want("e", engine.address, Order{5, []string{"a", "b"}})
	await(reports, OrderApplied)
	for _, held := range []Order{{}, {4, []string{"old"}}, {5, []string{"b"}}} {
		engine.obey(held)
		await(reports, OrderApplied)
	}
	engine.obey(Order{5, []string{"b", "a"}})
	await(reports, OrderInForce)
	r.Forget("e")
	must.Eq(t, 5, engine.fencing())
}

func TestOrdersKeepTheWeightStoresRate(t *testing.T) {
	config := ReconcilerConfig{ModelsPerSecond: 1e-9, Interval: time.Millisecond}
	r, reports := serve(t, config, newest(1))
	first, second, third := newFakeEngine(t, true), newFakeEngine(t, true), newFakeEngine(t, true)
	third.obey(Order{0, []string{"a", "b"}})
	r.Want("first", first.address, Order{1, []string{"a"}})
	await(reports, OrderApplied)
	r.Want("second", second.address, Order{1, []string{"a"}})
	r.Want("third", third.address, Order{1, []string{"a"}})
	must.Eq(t, "third", await(reports, OrderApplied).Endpoint)
	must.Eq(t, 0, second.fencing())
}

func TestUnreachableEngineIsReported(t *testing.T) {
	r, reports := serve(t, quick, newest(1))
	engine := newRawEndpoint(t, func(e exchange) bool { e.write(jsonAnswer(500, "")); return true })
	r.Want("e", engine.address, Order{Fencing: 1})
	must.ErrorContains(t, await(reports, OrderFailed).Err, "500")
}
