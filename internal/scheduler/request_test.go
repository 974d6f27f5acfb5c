package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func unsafeRoute() *routing.Route {
	r := route("unsafe", 0)
	r.Kind = routing.Unsafe
	r.Resumable = false
	return r
}

// A request that must not run twice is retried only if it is certain that it
// did not run.
func TestUnsafeRequestsAreRetriedOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		retried bool
	}{
		{NotSent, true}, {NotRun, true}, {Misdirected, true}, {Broken, false}, {Failed, false},
	} {
		i := newServingInstance(t, 2, 4)
		id := i.arrive(unsafeRoute(), nil)
		i.end(id, Attempt{Outcome: c.outcome})
		must.Eq(t, c.retried, i.running(id), must.Sprint(c.outcome))
		if !c.retried {
			must.Eq(t, NotRepeatable, i.refusal(id).Reason)
			must.False(t, i.refusal(id).NotRun)
			must.Eq(t, 0, i.refusal(id).RetryAfter)
		}
	}
}

func TestRetriesUseAnotherEndpointAndAreLimited(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	id := i.arrive(route("r", 0), nil)
	first := i.dispatched[id].Endpoint.ID
	i.end(id, Attempt{Outcome: Broken})
	second := i.dispatched[id].Endpoint.ID
	must.NotEq(t, first, second)
	i.end(id, Attempt{Outcome: Broken})
	must.Eq(t, AttemptsUsed, i.refusal(id).Reason)
	must.MapEmpty(t, i.s.requests)
}

// Load pattern: every attempt fails at every endpoint. Retries stay within this
// instance's share of the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	i := newServingInstance(t, 40, 100)
	retries := 0
	const requests = 1000
	for range requests {
		id := i.arrive(route("r", 0), nil)
		if !i.running(id) {
			continue
		}
		i.end(id, Attempt{Outcome: Failed})
		if i.running(id) {
			retries++
			i.end(id, Attempt{Outcome: Failed})
		}
	}
	must.Greater(t, requests/10, retries)
	must.LessEq(t, requests/5+50, retries)
}

// A request that may have run must not be refused as not run.
func TestRefusalAfterPossibleExecutionIsNotMarkedNotRun(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	id := i.arrive(route("r", 0), nil)
	i.end(id, Attempt{Outcome: Broken})
	i.advance(6 * time.Second)
	got := i.refusal(id)
	must.Eq(t, DeadlinePassed, got.Reason)
	must.False(t, got.NotRun)
}

func TestCallerDisconnectReleasesSlot(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	var ids []RequestID
	for range 1 + endpointQueueDepth + 2 {
		ids = append(ids, i.arrive(route("r", 0), nil))
	}
	waiting, next := ids[len(ids)-2], ids[len(ids)-1]
	i.step(CallerGone{ID: waiting})
	i.end(ids[0], Attempt{Outcome: Abandoned})
	must.True(t, i.running(next))
	// A dispatch that crossed the caller's disconnect is reverted.
	i.step(CallerGone{ID: next})
	must.Eq(t, endpointQueueDepth, i.s.endpoints["e0"].ownRunning)
}

// Load pattern: one request crashes each endpoint that runs it and is sent
// again by its caller. After the third crash it is sent once more, to confirm that
// the request is the cause, and from then on it is refused, at this and at other
// instances.
func TestCrashingRequestIsRefusedByAllInstances(t *testing.T) {
	i := newServingInstance(t, 9, 4)
	crashing := func(q *Request) { q.Fingerprint = 666 }
	crashed := 0
	for range 40 {
		if len(i.dispatched) == 0 {
			i.arrive(route("r", 0), crashing)
		}
		for len(i.dispatched) > 0 {
			for running, d := range i.dispatched {
				crashed++
				i.end(running, Attempt{Outcome: Broken})
				i.answerProbes(ProbeRefused)
				i.applyChanges(directory.Change{EndpointID: d.Endpoint.ID})
			}
		}
		i.advance(300 * time.Millisecond)
	}
	must.Eq(t, crashThreshold+1, crashed)
	got := i.refusal(i.arrive(route("r", 0), crashing))
	must.Eq(t, CrashSuspect, got.Reason)
	must.True(t, got.NotRun)

	other := newServingInstance(t, 0, 4)
	other.applyChanges(engine(20, 4), engine(21, 4))
	other.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Crashes: i.s.crashReport(i.s.crashes.Next(1))}})
	held := other.arrive(route("r", 0), crashing)
	must.False(t, other.running(held))
	other.advance(crash.ProofTime)
	must.Eq(t, CrashSuspect, other.refusal(held).Reason)
	must.Eq(t, CrashSuspect, other.refusal(other.arrive(route("r", 0), crashing)).Reason)
	must.True(t, other.running(other.arrive(route("r", 0), nil)))
}

func TestRetryAfterIsJitteredWithinCallerDeadline(t *testing.T) {
	i := newInstance(t, testConfig())
	i.configure(routing.Config{Version: 1})
	seen := map[time.Duration]bool{}
	for range 100 {
		got := i.refusal(i.arrive(route("r", 0), func(q *Request) { q.CallerDeadline = i.now.Add(time.Second) }))
		must.Eq(t, NoEndpoint, got.Reason)
		must.Less(t, time.Second/3, got.RetryAfter)
		must.Greater(t, 100*time.Millisecond, got.RetryAfter)
		seen[got.RetryAfter.Round(10*time.Millisecond)] = true
	}
	must.Greater(t, 8, len(seen))
}
