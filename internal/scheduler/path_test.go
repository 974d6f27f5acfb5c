package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// reportFor lets another instance report, with changes to the report.
func (i *instance) reportFor(change func(*Report)) {
	i.reportsSent++
	r := Report{Incarnation: 9, Sequence: i.reportsSent, Address: otherAddr, Zone: "a", Age: time.Minute}
	if change != nil {
		change(&r)
	}
	i.step(PeerReported{Report: r})
}

// advanceInContact advances the clock while another instance reports.
func (i *instance) advanceInContact(d time.Duration) {
	for end := i.now.Add(d); i.now < end; {
		i.advance(TickInterval)
		i.reportFor(nil)
	}
}

// loseAllPaths lets an instance find out that it reaches no endpoint: two connections
// are refused.
func (i *instance) loseAllPaths() {
	i.pathsCut = true
	for _, id := range []RequestID{i.arrive(route("r", 0), nil), i.arrive(route("r", 0), nil)} {
		for i.running(id) {
			i.end(id, Attempt{Outcome: NotSent, Refused: true})
		}
	}
}

// Guards against a silent endpoint that costs an instance its paths: a second of
// silence of sound endpoints leads to connections, which they accept, and ends nothing.
func TestSilenceOfSoundEndpointsLosesNoPath(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	var ids []RequestID
	for range 6 {
		ids = append(ids, i.arrive(route("r", 0), nil))
	}
	i.advanceInContact(1500 * time.Millisecond)
	must.False(t, i.s.pool(service).paths.lost)
	must.SliceEmpty(t, i.forwards)
	for _, id := range ids {
		must.True(t, i.running(id))
		i.end(id, Attempt{Outcome: Completed})
	}
}

// Guards against an instance that notices the loss of its links by requests only, one
// endpoint after the other: connections that hang are found out by a check while
// requests on kept connections are silent.
func TestSilentRequestsLeadToACheckOfThePaths(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	first := i.arrive(route("r", 0), nil)
	i.end(first, Attempt{Outcome: Completed})
	i.pathsCut = true
	i.arrive(route("r", 0), nil)
	i.advanceInContact(300 * time.Millisecond)
	must.False(t, i.s.pool(service).paths.lost)
	i.advanceInContact(200 * time.Millisecond)
	must.True(t, i.s.pool(service).paths.lost)
	i.arrive(route("r", 0), nil)
	must.Len(t, 1, i.forwards)
	must.Eq(t, otherAddr, i.forwards[0].Address)
}

// Guards against what an instance concludes from the loss of its own links: endpoints
// are neither suspended nor weighed down once it reaches them again, and are used.
func TestLostPathsLeaveNoTrace(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.loseAllPaths()
	must.True(t, i.s.pool(service).paths.lost)
	i.pathsCut = false
	i.advanceInContact(2 * time.Second)
	must.False(t, i.s.pool(service).paths.lost)
	for _, e := range i.s.endpoints {
		must.Eq(t, 0, e.failures)
		must.Eq(t, 0, e.failureRate)
		must.Eq(t, 0, e.endedAt)
	}
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// Guards against paths that come and go every half second: those that are lost again at
// once must stay sound for longer.
func TestUnstablePathsAreUsedLater(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.loseAllPaths()
	i.pathsCut = false
	i.advanceInContact(500 * time.Millisecond)
	must.False(t, i.s.pool(service).paths.lost)
	i.loseAllPaths()
	must.True(t, i.s.pool(service).paths.lost)
	i.pathsCut = false
	i.advanceInContact(500 * time.Millisecond)
	must.True(t, i.s.pool(service).paths.lost)
	i.advanceInContact(1500 * time.Millisecond)
	must.False(t, i.s.pool(service).paths.lost)
}

// Guards against requests that travel in a circle or to an instance that reaches no more
// endpoints than the sender.
func TestRequestsAreNotForwardedInVain(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(func(r *Report) { r.Paths = []ServicePaths{{Service: service, Reached: 0}} })
	i.advance(time.Second)
	i.reportFor(func(r *Report) { r.Paths = []ServicePaths{{Service: service, Reached: 0}} })
	i.loseAllPaths()
	must.SliceEmpty(t, i.forwards)
	i.reportFor(nil)
	i.advance(TickInterval)
	must.Positive(t, len(i.forwards))

	id := i.arrive(route("r", 0), func(q *Request) { q.Forwarding = &Forwarding{} })
	must.Eq(t, NoEndpoint, i.refusal(id).Reason)
	must.True(t, i.refusal(id).NotRun)
}

// Guards against a quota that is charged by both instances, and against an instance
// that takes any number of requests from others.
func TestForwardedRequestsAreBoundedAndNotCharged(t *testing.T) {
	i := newInstance(t, testConfig())
	org := routing.Organisation{Name: "org", Keys: []string{"k"}, Quota: routing.Quota{RatePerSecond: 1, Burst: 1}}
	i.configure(routing.Config{Version: 1, Organisations: []routing.Organisation{org}})
	i.applyChanges(engines(40, 10)...)
	forwarded := func(q *Request) {
		q.Forwarding, q.Organisation = &Forwarding{}, &i.s.table.Organisations()[0]
	}
	for range maxForwarded {
		must.True(t, i.running(i.arrive(route("r", 0), forwarded)))
	}
	must.Eq(t, 0, i.s.quotas["org"].used)
	id := i.arrive(route("r", 0), forwarded)
	must.Eq(t, PeerBusy, i.refusal(id).Reason)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// Guards against a service that one instance alone can't reach and whose endpoints it
// takes for ended, since it reaches those of another service.
func TestOneLostServiceIsNoEnd(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	other := engine(7, 4)
	other.Endpoint.Service = "other"
	i.applyChanges(other)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.onlyPathsTo = "other"
	id := i.arrive(route("r", 0), nil)
	for i.running(id) {
		i.end(id, Attempt{Outcome: Broken})
	}
	i.answerProbes(ProbeRefused)
	i.advanceInContact(time.Second)
	must.True(t, i.s.pool(service).paths.lost)
	for _, e := range i.s.endpoints {
		must.Eq(t, 0, e.endedAt)
	}
	must.Len(t, 0, i.s.crashes.Ends(crash.RequestCause(uint64(id))))
}

// Guards against evidence that is lost with the links of the instance that has it: it
// asks others, and what they have found counts.
func TestOthersAreAskedWhetherAnEndpointEnded(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.pathsCut = true
	id := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	e := i.dispatched[id].Endpoint
	i.end(id, Attempt{Outcome: Broken})
	i.reports = nil
	i.answerProbes(ProbeRefused)
	asked := false
	for _, r := range i.reports {
		for _, query := range r.Report.EndQueries {
			asked = asked || query == incarnationOf(e)
		}
	}
	must.True(t, asked)
	must.Len(t, 0, i.s.crashes.Ends(crash.RequestCause(uint64(id))))
	i.reportFor(func(r *Report) { r.Partial, r.Ended = true, []crash.Incarnation{incarnationOf(e)} })
	must.Len(t, 1, i.s.crashes.Ends(crash.RequestCause(uint64(id))))
}

// Guards against an instance that answers such a query without having tried the
// endpoint, or that an endpoint which lives has ended.
func TestQueriesAboutEndsAreAnswered(t *testing.T) {
	for result, ended := range map[ProbeResult]bool{ProbeRefused: true, ProbeAccepted: false, ProbeUnknown: false} {
		i := newServingInstance(t, 3, 4)
		i.reportFor(nil)
		i.advanceInContact(time.Second)
		e := i.s.endpoints["e1"]
		i.reportFor(func(r *Report) { r.Partial, r.EndQueries = true, []crash.Incarnation{e.incarnation()} })
		must.Len(t, 1, i.probes)
		i.reports = nil
		i.answerProbes(result)
		i.advanceInContact(200 * time.Millisecond)
		answered := false
		for _, r := range i.reports {
			answered = answered || len(r.Report.Ended) > 0
		}
		must.Eq(t, ended, answered, must.Sprint(result))
	}
}

// Guards against a refused connection that a paused process learns of when the cut that
// caused it is over.
func TestLateRefusalIsNoEnd(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	id := i.arrive(route("r", 0), nil)
	i.now = i.now.Add(400 * time.Millisecond)
	i.end(id, Attempt{Outcome: NotSent, Refused: true})
	i.advanceInContact(time.Second)
	for _, e := range i.s.endpoints {
		must.Eq(t, 0, e.endedAt)
	}
}

// Guards against a request that is sent to an instance again and again that can't be
// reached, and against one that is lost although others are left.
func TestUnreachableInstanceIsLeftOut(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	third := func() {
		i.reportsSent++
		i.step(PeerReported{Report: Report{Incarnation: 10, Sequence: i.reportsSent, Address: "10.0.0.10:1", Zone: "b", Age: time.Minute}})
	}
	i.reportFor(nil)
	third()
	i.advance(300 * time.Millisecond)
	i.reportFor(nil)
	third()
	i.loseAllPaths()
	i.forwards = nil
	id := i.arrive(route("r", 0), nil)
	must.Eq(t, otherAddr, i.forwards[0].Address, must.Sprint("the own zone first"))
	i.step(ForwardEnded{ID: id, Attempt: Attempt{Outcome: NotSent}})
	must.Len(t, 2, i.forwards)
	must.Eq(t, "10.0.0.10:1", i.forwards[1].Address)
	i.step(ForwardEnded{ID: id, Attempt: Attempt{Outcome: Completed}, Endpoint: "e1"})
	i.arrive(route("r", 0), nil)
	must.Eq(t, "10.0.0.10:1", i.forwards[2].Address)
	must.MapNotContainsKey(t, i.s.requests, id)
}

// Guards against an unsafe request that is sent again after it was lost at another
// instance.
func TestLostForwardOfAnUnsafeRequestIsNotRepeated(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(300 * time.Millisecond)
	i.loseAllPaths()
	i.forwards = nil
	id := i.arrive(route("r", 0), func(q *Request) { q.Route.Kind, q.Route.Resumable = routing.Unsafe, false })
	must.Len(t, 1, i.forwards)
	i.step(ForwardEnded{ID: id, Attempt: Attempt{Outcome: Broken}})
	must.Eq(t, NotRepeatable, i.refusal(id).Reason)
	must.False(t, i.refusal(id).NotRun)
	must.Len(t, 1, i.forwards)
}

// Guards against another instance's refusal that is replaced by one of this instance,
// with another Retry-After, or that keeps the request from further instances.
func TestRefusalOfAnotherInstance(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(300 * time.Millisecond)
	i.loseAllPaths()
	id := i.arrive(route("r", 0), nil)
	i.step(ForwardEnded{ID: id, Attempt: Attempt{Outcome: NotRun}, Reason: QueueDelay, RetryAfter: 123 * time.Millisecond})
	must.Eq(t, QueueDelay, i.refusal(id).Reason)
	must.Eq(t, 123*time.Millisecond, i.refusal(id).RetryAfter)
	must.True(t, i.refusal(id).NotRun)
	id = i.arrive(route("r", 0), nil)
	i.step(ForwardEnded{ID: id, Attempt: Attempt{Outcome: NotRun}, Reason: PeerBusy})
	must.MapNotContainsKey(t, i.refused, id)
}

// Guards against a loss of paths that is found out a second late, since they were
// checked just before.
func TestFailuresAfterACheckLoseThePaths(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	i.end(i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 }), Attempt{Outcome: Broken})
	must.Eq(t, i.now, i.s.pool(service).paths.checkedAt)
	i.advanceInContact(200 * time.Millisecond)
	i.pathsCut = true
	for id := i.arrive(route("r", 0), nil); i.running(id); {
		i.end(id, Attempt{Outcome: NotSent})
	}
	must.True(t, i.s.pool(service).paths.lost)
}

// Guards against an end that is concluded from a connection which was refused as a cut of
// the own links began: the links to other endpoints were cut some milliseconds later.
func TestRefusalAsACutBeginsIsNoEnd(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	id := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	i.end(id, Attempt{Outcome: Broken})
	i.answerProbes(ProbeRefused)
	i.pathsCut = true
	i.advanceInContact(200 * time.Millisecond)
	i.answerProbes(ProbeRefused)
	i.advanceInContact(time.Second)
	must.Len(t, 0, i.s.crashes.Ends(crash.RequestCause(uint64(id))))
}

// Guards against requests that go to endpoints, or are taken for other instances, while
// the own paths are flapping.
func TestFlappingPathsAreLeftOut(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	for _, sound := range []time.Duration{1500 * time.Millisecond, 900 * time.Millisecond} {
		i.loseAllPaths()
		i.advanceInContact(time.Second)
		i.pathsCut = false
		i.advanceInContact(sound)
	}
	must.True(t, i.s.pool(service).paths.damped)
	must.Eq(t, 0, i.s.reachedEndpoints(i.s.pool(service)))
	id := i.arrive(route("r", 0), func(q *Request) { q.Forwarding = &Forwarding{} })
	must.Eq(t, NoEndpoint, i.refusal(id).Reason)
	i.forwards = nil
	i.arrive(route("r", 0), nil)
	must.Len(t, 1, i.forwards)
	i.advanceInContact(2 * time.Second)
	must.False(t, i.s.pool(service).paths.lost)
}

// Guards against endpoints that are left out for seconds because some of them failed:
// that is no flap of the own paths, which are proved at once.
func TestFailingEndpointsAreNoFlap(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	paths := &i.s.pool(service).paths
	for range 3 {
		i.advanceInContact(time.Second)
		paths.checkedAt = i.now
		for _, id := range []RequestID{i.arrive(route("r", 0), nil), i.arrive(route("r", 0), nil)} {
			i.end(id, Attempt{Outcome: NotSent})
		}
		must.Eq(t, i.now, paths.lostSince)
		i.advanceInContact(100 * time.Millisecond)
		must.False(t, paths.lost)
	}
}

// Guards against flapping paths that are used although they were cut again while they had
// to be sound, which only a few connections show.
func TestFlappingPathsMustBeSoundWithoutABreak(t *testing.T) {
	i := newServingInstance(t, 12, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	paths := &i.s.pool(service).paths
	for range 2 {
		i.loseAllPaths()
		i.advanceInContact(1100 * time.Millisecond)
		i.pathsCut = false
		for paths.lost && (paths.hold == 0 || paths.soundSince == 0) {
			i.advanceInContact(TickInterval)
		}
		i.advanceInContact(200 * time.Millisecond)
	}
	must.True(t, paths.lost)
	i.pathsCut = true
	i.advanceInContact(300 * time.Millisecond)
	i.pathsCut = false
	i.advanceInContact(700 * time.Millisecond)
	must.True(t, paths.lost)
	i.advanceInContact(3 * time.Second)
	must.False(t, paths.lost)
}

// Guards against a suspicion that outlives a connection which the endpoint accepted.
func TestAcceptedConnectionEndsTheSuspicion(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.reportFor(nil)
	i.advanceInContact(time.Second)
	id := i.arrive(route("r", 0), func(q *Request) { q.Route.MaxAttempts = 1 })
	e := i.s.endpoints[i.dispatched[id].Endpoint.ID]
	i.end(id, Attempt{Outcome: Broken})
	i.answerProbes(ProbeRefused)
	i.pathsCut = true
	i.advanceInContact(200 * time.Millisecond)
	must.Positive(t, e.refusedBefore)
	must.Len(t, 1, i.probes)
	i.answerProbes(ProbeAccepted)
	must.Eq(t, 0, e.refusedBefore)
}
