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

const (
	// crashesAllowed is the number of endpoints that may end under a request, and
	// lateSendsAllowed that of its later dispatches.
	crashesAllowed   = 3
	lateSendsAllowed = 3
)

// Guards against a request that is sent on after three endpoints ended under
// it because no instance saw all three: each instance sees one attempt.
func TestCrashesSeenByDifferentInstancesAddUp(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		for _, attempts := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d instances, %d attempts", size.instances, attempts), func(t *testing.T) {
				t.Parallel()
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.crashes = newSimCrashes(666)
				f.advance(3 * time.Second)
				f.repeatCrashingRequest(attempts, 300*time.Millisecond)
				f.runLoad(0.1*float64(size.engines*size.slots)/simServiceTime.Seconds(), 10*time.Second)
				late := f.crashes.sendsAfter(crashesAllowed, 0)
				t.Logf("%d sends, %d engines ended, %d sends after the third end", len(f.crashes.sends), len(f.crashes.crashedAt), late)
				must.GreaterEq(t, crashesAllowed, len(f.crashes.crashedAt))
				must.LessEq(t, lateSendsAllowed, late)
			})
		}
	}
}

// Guards against a queued request that is sent although three endpoints have
// ended under equal requests since it arrived.
func TestQueuedRequestIsRefusedOnceItIsSuspect(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	var filler []RequestID
	for range 1 + endpointQueueDepth {
		filler = append(filler, i.arrive(route("r", 0), nil))
	}
	queued := i.arrive(route("r", 0), func(q *Request) { q.Fingerprint = 666 })
	must.False(t, i.running(queued))
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Crashes: confirmedCrashes(1)}})
	i.end(filler[0], Attempt{Outcome: Completed})
	must.False(t, i.running(queued))
	i.advance(crash.ProofTime)
	must.False(t, i.running(queued))
	must.Eq(t, CrashSuspect, i.refusal(queued).Reason)
	must.True(t, i.refusal(queued).NotRun)
	must.Eq(t, 0, i.refusal(queued).RetryAfter)
}

// confirmedCrashes returns the evidence against request 666 after enough endpoints
// have ended under it, and some more after the time for proof.
func confirmedCrashes(more int) []Crash {
	c := Crash{Cause: crash.RequestCause(666)}
	for n := range crashThreshold + more {
		age := time.Second
		if n >= crashThreshold {
			age = 0
		}
		c.Ends = append(c.Ends, CrashEnd{Endpoint: crash.Incarnation(n + 1), Age: age})
	}
	return []Crash{c}
}

// breakAttempt sends a request with a fingerprint whose first attempt breaks,
// and returns the probe of the endpoint.
func (i *instance) breakAttempt(fingerprint uint64) ProbeEndpoint {
	i.t.Helper()
	r := route("r", 0)
	r.MaxAttempts = 1
	id := i.arrive(r, func(q *Request) { q.Fingerprint = fingerprint })
	must.True(i.t, i.running(id))
	i.probes = nil
	i.end(id, Attempt{Outcome: Broken})
	must.Len(i.t, 1, i.probes)
	return i.probes[0]
}

// Guards against a healthy request that is refused because endpoints that live
// on reset its connections or lose its answers.
func TestBrokenAttemptsAtLiveEndpointsAreNoCrashes(t *testing.T) {
	i := newServingInstance(t, 12, 4)
	for range 10 {
		i.breakAttempt(666)
		i.answerProbes(ProbeAccepted)
		i.advance(100 * time.Millisecond)
	}
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
	must.True(t, i.running(i.arrive(route("r", 0), func(q *Request) { q.Fingerprint = 666 })))
}

// Guards against a crash that is missed because its instance saw neither a reset
// nor a refused connection, and learns only from the platform that the process
// is gone or that another one has taken its address or its ID.
func TestEndpointThatEndedWithoutTraceCounts(t *testing.T) {
	for name, outcome := range map[string]Outcome{"silent until the deadline": Abandoned, "reset, address does not respond": Broken} {
		for change, update := range map[string]func(e directory.Endpoint) directory.Change{
			"entry removed": func(e directory.Endpoint) directory.Change { return directory.Change{EndpointID: e.ID} },
			"address taken": func(e directory.Endpoint) directory.Change {
				e.ID, e.Started = "new", 2
				return directory.Change{EndpointID: e.ID, Endpoint: &e}
			},
			"restarted": func(e directory.Endpoint) directory.Change {
				e.Started = 2
				return directory.Change{EndpointID: e.ID, Endpoint: &e}
			},
		} {
			t.Run(name+", "+change, func(t *testing.T) {
				i := newServingInstance(t, 3, 4)
				id := i.arrive(route("r", 0), func(q *Request) { q.Fingerprint = 666 })
				e := i.dispatched[id].Endpoint
				i.end(id, Attempt{Outcome: outcome})
				i.answerProbes(ProbeUnknown)
				must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
				i.applyChanges(update(e))
				must.Len(t, 1, i.s.crashes.Ends(crash.RequestCause(666)))
			})
		}
	}
}

// Guards against an endpoint that is taken for replaced when the platform lists
// the same process again, as after a partition of its zone.
func TestEndpointListedAgainIsNotReplaced(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	report := Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Zone: "a"}
	i.step(PeerReported{Report: report})
	i.breakAttempt(666)
	i.answerProbes(ProbeRefused)
	i.advance(2 * pathProofWindow)
	i.applyChanges(directory.Change{EndpointID: "e0"})
	i.applyChanges(engine(0, 4))
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
}

// Guards against an end that is attributed to a request although its endpoint
// has answered another one since, or was leaving as planned.
func TestEndpointThatAnsweredSinceDoesNotCount(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.breakAttempt(666)
	i.answerProbes(ProbeUnknown)
	i.advance(time.Second)
	later := i.arrive(route("r", 0), nil)
	must.True(t, i.running(later))
	i.step(AnswerStarted{ID: later})
	i.applyChanges(directory.Change{EndpointID: "e0"})
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))

	i = newServingInstance(t, 1, 4)
	id := i.arrive(route("r", 0), func(q *Request) { q.Fingerprint = 666 })
	i.end(id, Attempt{Outcome: Abandoned, AnswerStarted: true})
	leaving := engine(0, 4)
	leaving.Endpoint.Leaving = true
	i.applyChanges(leaving)
	i.applyChanges(directory.Change{EndpointID: "e0"})
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
}

// Guards against a partition that refuses connections and is taken for the end
// of every endpoint behind it.
func TestRefusalCountsOnlyOnceTheZoneIsReached(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	report := Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Zone: "a"}
	i.step(PeerReported{Report: report})
	i.breakAttempt(666)
	i.answerProbes(ProbeRefused)
	i.advance(2 * pathProofWindow)
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
	other := Report{Incarnation: 8, Sequence: 1, Address: "10.0.0.8:1", Zone: "b"}
	i.step(PeerReported{Report: other})
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
	// The partition has ended: the endpoint may have lived on behind it.
	report.Sequence++
	i.step(PeerReported{Report: report})
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))

	i.breakAttempt(666)
	i.answerProbes(ProbeRefused)
	// This report may have been sent before the partition began.
	report.Sequence++
	i.step(PeerReported{Report: report})
	must.SliceEmpty(t, i.s.crashes.Ends(crash.RequestCause(666)))
	i.advance(pathProofDelay)
	report.Sequence++
	i.step(PeerReported{Report: report})
	must.Len(t, 1, i.s.crashes.Ends(crash.RequestCause(666)))
}

// Guards against a partitioned zone whose endpoints all lose their entries and
// are taken for ended.
func TestRemovedEntryOfPartitionedZoneIsNoEnd(t *testing.T) {
	for _, partitioned := range []bool{true, false} {
		i := newServingInstance(t, 1, 4)
		report := Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Zone: "a"}
		i.step(PeerReported{Report: report})
		i.breakAttempt(666)
		i.answerProbes(ProbeUnknown)
		i.advance(2 * time.Second)
		if !partitioned {
			report.Sequence++
			i.step(PeerReported{Report: report})
		}
		i.applyChanges(directory.Change{EndpointID: "e0"})
		must.Eq(t, partitioned, len(i.s.crashes.Ends(crash.RequestCause(666))) == 0)
	}
}

// Guards against an instance that was cut off from endpoints and whose wrong
// evidence makes all others refuse a request.
func TestEndOfEndpointThatLivesOnIsRefuted(t *testing.T) {
	ends := func(age time.Duration) []Crash {
		c := Crash{Cause: crash.RequestCause(666)}
		for _, e := range engines(3, 4) {
			c.Ends = append(c.Ends, CrashEnd{Endpoint: crash.IncarnationOf(e.Endpoint.ID, e.Endpoint.Started), Age: age})
		}
		return []Crash{c}
	}
	report := Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1"}

	// The platform still lists the processes after the time of its removals.
	i := newServingInstance(t, 3, 4)
	i.advance(10 * time.Second)
	report.Crashes = ends(0)
	i.step(PeerReported{Report: report})
	must.True(t, i.s.crashes.Suspect(crash.RequestCause(666)))
	i.advance(9 * time.Second)
	must.False(t, i.s.crashes.Suspect(crash.RequestCause(666)))
	report.Sequence, report.Crashes = 2, ends(9*time.Second)
	i.step(PeerReported{Report: report})
	must.False(t, i.s.crashes.Suspect(crash.RequestCause(666)))

	// While the platform is out of reach, its list shows nothing.
	i = newServingInstance(t, 3, 4)
	report.Crashes = ends(0)
	i.step(PeerReported{Report: report})
	i.advanceOffline(20 * time.Second)
	i.advance(3 * time.Second)
	must.True(t, i.s.crashes.Suspect(crash.RequestCause(666)))
	i.advance(9 * time.Second)
	must.False(t, i.s.crashes.Suspect(crash.RequestCause(666)))

	// They have answered requests that were sent after they are said to have ended.
	i = newServingInstance(t, 3, 4)
	i.advance(2 * time.Second)
	for range 3 {
		i.step(AnswerStarted{ID: i.arrive(route("r", 0), nil)})
	}
	report.Crashes = ends(time.Second)
	i.step(PeerReported{Report: report})
	must.False(t, i.s.crashes.Suspect(crash.RequestCause(666)))
}

// Guards against a crash that only an instance knows that has died since, and
// against one that an instance which started later never hears of.
func TestObservedCrashIsSentToAllAndRepeated(t *testing.T) {
	i := newServingInstance(t, 40, 4)
	for n := range 9 {
		i.step(PeerReported{Report: Report{Incarnation: uint64(10 + n), Sequence: 1, Address: fmt.Sprintf("10.0.0.%d:1", 10+n)}})
	}
	for f := range uint64(30) {
		i.breakAttempt(f)
		i.answerProbes(ProbeRefused)
	}
	i.reports = nil
	i.advance(TickInterval)
	noticed := map[uint64]bool{}
	for _, report := range i.reports {
		if report.Report.Partial && len(report.Report.Crashes) > 0 {
			must.Len(t, 9, report.To)
			for _, c := range report.Report.Crashes {
				noticed[c.Cause.ID] = true
			}
		}
	}
	must.MapLen(t, 30, noticed)

	cfg := testConfig()
	cfg.Address, cfg.Incarnation = "10.0.0.2:1", 2
	late := newInstance(t, cfg)
	for range 8 {
		report := i.s.report()
		must.LessEq(t, maxReportedCrashes, len(report.Crashes))
		late.step(PeerReported{Report: report})
	}
	for f := range uint64(30) {
		must.Len(t, 1, late.s.crashes.Ends(crash.RequestCause(f)))
	}
}

// Guards against a stopped instance that serves its open connections for seconds
// and sends a crashing request on: nobody reports to a member that has left.
func TestLeavingInstanceLearnsOfCrashes(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	report := Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Leaving: true}
	i.step(PeerReported{Report: report})
	for range crashThreshold {
		i.breakAttempt(666)
		i.answerProbes(ProbeRefused)
	}
	i.reports = nil
	report.Sequence++
	i.step(PeerReported{Report: report})
	must.Len(t, 1, i.reports)
	must.Eq(t, []string{report.Address}, i.reports[0].To)
	must.True(t, i.reports[0].Report.Partial)
	must.Len(t, crashThreshold, i.reports[0].Report.Crashes[0].Ends)
}

// Guards against a suspect that is missed because one report brings more ends
// than are needed, and against queued requests that stay queued then.
func TestReportWithMoreEndsThanNeededMakesSuspect(t *testing.T) {
	i := newServingInstance(t, 1, 1)
	for range 1 + endpointQueueDepth {
		i.arrive(route("r", 0), nil)
	}
	queued := i.arrive(route("r", 0), func(q *Request) { q.Fingerprint = 666 })
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Crashes: confirmedCrashes(2)}})
	i.advance(crash.ProofTime)
	must.Eq(t, CrashSuspect, i.refusal(queued).Reason)
}

// Guards against evidence in a report that is dropped because a newer report of
// the sender arrived first.
func TestCrashesInReorderedReportsCount(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	report := Report{Incarnation: 9, Sequence: 2, Address: "10.0.0.9:1"}
	i.step(PeerReported{Report: report})
	report.Sequence, report.Partial = 1, true
	report.Crashes = []Crash{{Cause: crash.RequestCause(666), Ends: []CrashEnd{{Endpoint: 1}}}}
	i.step(PeerReported{Report: report})
	must.Len(t, 1, i.s.crashes.Ends(crash.RequestCause(666)))
}

// Guards against a retry that ends a fourth endpoint while it is not yet known
// whether the third one has ended, and against a healthy one that is refused then.
func TestRetryWaitsForProbeOnceTwoEndpointsEnded(t *testing.T) {
	for _, result := range []ProbeResult{ProbeAccepted, ProbeRefused} {
		i := newServingInstance(t, 9, 4)
		for range crashThreshold - 1 {
			i.breakAttempt(666)
			i.answerProbes(ProbeRefused)
		}
		crashing := func(q *Request) { q.Fingerprint = 666 }
		id := i.arrive(route("r", 0), crashing)
		i.end(id, Attempt{Outcome: Broken})
		next := i.arrive(route("r", 0), crashing)
		i.advance(100 * time.Millisecond)
		must.False(t, i.running(id))
		must.False(t, i.running(next))
		i.answerProbes(result)
		must.Eq(t, result == ProbeAccepted, i.running(id))
		must.Eq(t, result == ProbeAccepted, i.running(next))
		i.advance(100 * time.Millisecond)
		must.Eq(t, result == ProbeAccepted, i.running(next))
	}
}

// Load pattern: one request is so popular that several of its runs are at
// engines when a quarter of all engines crash. Every instance hears of more than
// three engines that ended under it. It must be served again within a second.
func TestPopularRequestIsServedAfterMassCrash(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		f := newSimulation(size.instances, 4, size.engines, size.slots)
		f.crashes = newSimCrashes(noCrash)
		f.crashes.popular = 7
		f.advance(3 * time.Second)
		capacity := float64(size.engines*size.slots) / simServiceTime.Seconds()
		f.runLoad(0.5*capacity, time.Second)
		for n := range size.engines / 4 {
			f.crash(f.engines[fmt.Sprintf("e%d", n)])
		}
		f.runLoad(0.5*capacity, time.Second)
		during := f.crashes.refusedPopular
		f.runLoad(0.5*capacity, time.Second)
		t.Logf("%d instances: %d of the popular request refused as a suspect in the first second, %d later",
			size.instances, during, f.crashes.refusedPopular-during)
		must.Eq(t, during, f.crashes.refusedPopular)
	}
}

// Drawn schedules of kills, pauses, restarts and partitions while a request
// crashes each engine that runs it and is repeated at random instances. Once
// three engines have ended, at most three more sends may come from instances in
// contact.
func TestCrashingRequestIsBoundedThroughFaults(t *testing.T) {
	t.Parallel()
	sizes := []struct{ instances, engines, slots, seeds int }{{6, 18, 10, 30}, {12, 18, 10, 15}, {84, 90, 6, 1}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.crashes = newSimCrashes(666)
				f.advance(3 * time.Second)
				f.repeatCrashingRequest(1+f.rand.IntN(2), 50*time.Millisecond+time.Duration(f.rand.Int64N(int64(1500*time.Millisecond))))
				f.injectFaults(700*time.Millisecond, 12*time.Second)
				f.runLoad(0.1*float64(size.engines*size.slots)/simServiceTime.Seconds(), 18*time.Second)
				late := f.crashes.sendsAfter(crashesAllowed, simContact)
				if late > 0 || seed < 2 {
					t.Logf("%d instances, seed %d: %d sends, %d engines ended, %d late sends", size.instances, seed,
						len(f.crashes.sends), len(f.crashes.crashedAt), late)
				}
				must.GreaterEq(t, crashesAllowed, len(f.crashes.crashedAt), must.Sprint(seed))
				must.LessEq(t, lateSendsAllowed, late, must.Sprint(seed))
			}
		})
	}
}
