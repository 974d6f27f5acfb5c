package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

const otherAddr = "10.0.0.9:1"

// versionedEngine returns an engine with a version.
func versionedEngine(n, slots int, version string) directory.Change {
	c := engine(n, slots)
	c.Endpoint.Version = version
	return c
}

// newVersionedInstance returns an instance with one engine of each version.
func newVersionedInstance(t *testing.T, slots int, versions ...string) *instance {
	cfg := testConfig()
	cfg.Seeds = []string{selfAddr, otherAddr}
	i := newInstance(t, cfg)
	i.configure(routing.Config{Version: 1})
	var changes []directory.Change
	for n, version := range versions {
		changes = append(changes, versionedEngine(n, slots, version))
	}
	i.applyChanges(changes...)
	i.step(Tick{})
	i.reports = nil
	return i
}

// begin sends a stream that has begun when it returns.
func (i *instance) begin() RequestID {
	i.t.Helper()
	r := route("r", 0)
	r.MaxAttempts = 9
	id := i.arrive(r, nil)
	must.True(i.t, i.running(id))
	i.step(AnswerStarted{ID: id})
	return id
}

// attemptAssignedTo returns an attempt that begins at a version of those listed now.
func attemptAssignedTo(i *instance, version string) string {
	for n := 0; ; n++ {
		name := fmt.Sprintf("assigned-%d", n)
		if origin.Assign(origin.AttemptOf("", name), i.s.softwareShares(i.s.pool(service))) == origin.SoftwareOf(service, version) {
			return name
		}
	}
}

// takeUp sends a request that takes up the stream of another one.
func (i *instance) takeUp(resumes string) RequestID {
	return i.arrive(route("r", 0), func(q *Request) { q.Resumes, q.LastEventID = resumes, 7 })
}

func (i *instance) versionOf(id RequestID) string {
	i.t.Helper()
	must.True(i.t, i.running(id), must.Sprintf("request %d is not at an endpoint", id))
	return i.dispatched[id].Endpoint.Version
}

// Guards against a broken stream that is resumed within its answer at an endpoint
// with another software version.
func TestBrokenStreamIsResumedAtItsVersionOnly(t *testing.T) {
	for range 20 {
		i := newVersionedInstance(t, 4, "v1", "v2", "v1", "v2", "v1")
		id := i.begin()
		version := i.versionOf(id)
		i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
		must.Eq(t, version, i.versionOf(id))
	}
}

// Guards against a caller that waits for an endpoint of a version that no endpoint
// runs any more, and against one that waits longer than callers do.
func TestBrokenStreamWhoseVersionIsGoneEndsAtOnce(t *testing.T) {
	i := newVersionedInstance(t, 4, "v1", "v2")
	id := i.begin()
	i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
	must.Eq(t, StreamVersionGone, i.refusal(id).Reason)
	must.False(t, i.refusal(id).NotRun)

	// Endpoints of the version are full.
	i = newVersionedInstance(t, 1, "v1")
	id = i.begin()
	i.applyChanges(versionedEngine(1, 1, "v1"), versionedEngine(2, 9, "v2"))
	full := 0
	for i.s.endpoints["e1"].ownRunning < 1+endpointQueueDepth+boundExtraRequests {
		full++
		must.Less(t, 30, full)
		i.arrive(route("r", 0), nil)
		i.s.endpoints["e1"].ownRunning = 1 + endpointQueueDepth + boundExtraRequests
	}
	i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
	waiting := i.arrive(route("r", 0), func(q *Request) { q.Name = attemptAssignedTo(i, "v2") })
	must.Eq(t, "v2", i.versionOf(waiting))
	i.advance(patienceTargets*route("r", 0).Target + TickInterval)
	must.Eq(t, QueueDelay, i.refusal(id).Reason)
}

// Guards against streams that are not resumed where no entry names a version, and
// against those that begin or go on at an endpoint without one beside others.
func TestEntriesWithoutVersion(t *testing.T) {
	i := newVersionedInstance(t, 4, "", "")
	id := i.begin()
	i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
	must.True(t, i.running(id))

	for _, versions := range [][]string{{"", "v1", ""}, {"v1", ""}} {
		i = newVersionedInstance(t, 4, versions...)
		id = i.begin()
		i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
		must.Eq(t, StreamVersionGone, i.refusal(id).Reason)
	}
}

// Guards against two versions under one ID: another process has taken the place of
// one that ended, and the entry does not say so yet.
func TestStreamDoesNotGoOnAtProcessThatMayHaveChanged(t *testing.T) {
	i := newVersionedInstance(t, 4, "v1", "v1")
	id := i.begin()
	e := i.dispatched[id].Endpoint
	other := i.s.endpoints[map[string]string{"e0": "e1", "e1": "e0"}[e.ID]]
	i.s.connectionRefused(other)
	i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
	must.Eq(t, StreamVersionGone, i.refusal(id).Reason)
	// What begins there can't go on elsewhere.
	must.Eq(t, origin.Unknown, i.s.softwareOf(other))
	i.advance(missedHeartbeats*testConfig().EndpointHeartbeat + entryDelay)
	must.NotEq(t, origin.Unknown, i.s.softwareOf(other))
	i.s.doubtProcess(other)
	entry := other.Endpoint
	entry.Started++
	entry.Version = "v2"
	i.applyChanges(directory.Change{EndpointID: entry.ID, Endpoint: &entry})
	must.Eq(t, origin.SoftwareOf(service, "v2"), i.s.softwareOf(i.s.endpoints[entry.ID]))
}

// Guards against a stream that a caller takes up at the instance that began it, and
// that goes on at another version there.
func TestStreamTakenUpAtItsInstanceGoesOnAtItsVersion(t *testing.T) {
	for range 20 {
		i := newVersionedInstance(t, 4, "v1", "v2", "v1", "v2")
		id := i.begin()
		version, name := i.versionOf(id), fmt.Sprint(id)
		i.end(id, Attempt{Outcome: Abandoned, AnswerStarted: true})
		must.Eq(t, version, i.versionOf(i.takeUp(name)))
	}
}

// reportFrom delivers a report of another instance.
func (i *instance) reportFrom(address string, change func(*Report)) {
	i.reportsSent++
	r := Report{Incarnation: 9, Sequence: i.reportsSent, Address: address, Zone: "b"}
	if change != nil {
		r.Partial = true
		change(&r)
	}
	i.step(PeerReported{Report: r})
}

// queries returns the queries that were sent since the last call.
func (i *instance) queries() (out []OriginQuery) {
	for _, report := range i.reports {
		out = append(out, report.Report.OriginQueries...)
	}
	i.reports = nil
	return out
}

// Guards against a stream that goes on at another version because the instance at
// which its caller takes it up did not begin it.
func TestStreamTakenUpElsewhereAsksForItsVersion(t *testing.T) {
	i := newVersionedInstance(t, 4, "v1", "v2")
	i.reportFrom(otherAddr, nil)
	answer := func(a OriginAnswer) {
		must.Len(t, 1, i.queries())
		a.Attempt = origin.AttemptOf("", "x")
		i.reportFrom(otherAddr, func(r *Report) { r.OriginAnswers = []OriginAnswer{a} })
	}
	for _, version := range []string{"v1", "v2"} {
		id := i.takeUp("x")
		must.False(t, i.running(id))
		answer(OriginAnswer{Recorded: true, Software: origin.SoftwareOf(service, version)})
		must.Eq(t, version, i.versionOf(id))
		i.end(id, Attempt{Outcome: Completed})
		i.s.origins = origin.NewTable(maxOriginRecords)
	}
	id := i.takeUp("x")
	answer(OriginAnswer{Recorded: true, Software: origin.SoftwareOf(service, "v3")})
	must.Eq(t, StreamVersionGone, i.refusal(id).Reason)
	must.True(t, i.refusal(id).NotRun)
	must.Eq(t, 0, i.refusal(id).RetryAfter)

	// Two versions have served from the start, nobody has a record, and the platform has
	// no history.
	i = newVersionedInstance(t, 4, "v1", "v2")
	i.s.history = origin.NewHistory()
	i.reportFrom(otherAddr, nil)
	i.reports = nil
	id = i.takeUp("x")
	answer(OriginAnswer{})
	must.Eq(t, StreamOriginUnknown, i.refusal(id).Reason)
	must.True(t, i.refusal(id).NotRun)
	must.Eq(t, 0, i.refusal(id).RetryAfter)
}

// Guards against streams that are refused where only one version serves, and
// against those that go on while other instances know better, or can't be asked.
func TestStreamWithoutRecordGoesOnIfOneVersionServed(t *testing.T) {
	v1 := origin.SoftwareOf(service, "v1")
	for name, c := range map[string]struct {
		answer  *OriginAnswer
		second  bool
		offline time.Duration
		goesOn  bool
	}{
		"all know one":                         {answer: &OriginAnswer{Software: v1, Alone: true}, goesOn: true},
		"another knows two":                    {answer: &OriginAnswer{}},
		"another knows that the second is new": {answer: &OriginAnswer{Software: v1}, goesOn: true},
		"no answer":                            {goesOn: true},
		"no answer, no platform":               {offline: 3 * time.Second},
		"no answer, no platform for a moment":  {offline: 500 * time.Millisecond},
		"second is new":                        {answer: &OriginAnswer{Software: v1}, second: true, goesOn: true},
		"second is new, no answer":             {second: true, offline: TickInterval},
	} {
		t.Run(name, func(t *testing.T) {
			i := newVersionedInstance(t, 4, "v1")
			i.advance(time.Minute)
			if c.second {
				i.applyChanges(versionedEngine(1, 4, "v2"))
			}
			i.platformDown = c.offline > 0
			i.advanceOffline(c.offline)
			i.reportFrom(otherAddr, nil)
			i.reports = nil
			id := i.takeUp("x")
			must.False(t, i.running(id))
			if c.answer != nil {
				a := *c.answer
				a.Attempt = origin.AttemptOf("", "x")
				i.reportFrom(otherAddr, func(r *Report) { r.OriginAnswers = []OriginAnswer{a} })
			}
			i.advanceOffline(lookupTime + listingCheckTime)
			must.Eq(t, c.goesOn, i.running(id))
			if !c.goesOn {
				must.Eq(t, StreamOriginUnknown, i.refusal(id).Reason)
			}
		})
	}
}

// Guards against a stream that goes on at another version at an instance that was cut off
// or stood still while the version joined that began it.
func TestInstanceOutOfStepDoesNotInferAnOrigin(t *testing.T) {
	for name, outOfStep := range map[string]func(*instance){
		"cut off":      func(i *instance) { i.advanceOffline(time.Second) },
		"stands still": func(i *instance) { i.now = i.now.Add(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			i := newVersionedInstance(t, 4, "v1")
			i.reportFrom(otherAddr, nil)
			i.advance(time.Minute)
			i.reportFrom(otherAddr, nil)
			i.platformDown = true
			outOfStep(i)
			other := newVersionedInstance(t, 4, "v1", "v2")
			id := i.takeUp(attemptAssignedTo(other, "v2"))
			i.advanceOffline(lookupTime)
			must.False(t, i.running(id))
			// The platform answers again, first of all with the new version.
			i.applyChanges(versionedEngine(1, 4, "v2"))
			i.advanceOffline(listingCheckTime)
			must.False(t, i.running(id))
			must.True(t, i.refusal(id).NotRun)
		})
	}
}

// Guards against a stream that goes on at the only software that instances list after
// they all have restarted, although it began at software that had left before.
func TestInstancesThatRestartedDoNotInferAnOrigin(t *testing.T) {
	v1 := origin.SoftwareOf(service, "v1")
	for name, c := range map[string]struct {
		running time.Duration
		history bool
		before  []directory.Change
		answer  OriginAnswer
		goesOn  bool
	}{
		"all restarted":                {answer: OriginAnswer{Software: v1, Alone: true}},
		"another has run for long":     {answer: OriginAnswer{Software: v1, Alone: true, Covered: true}, goesOn: true},
		"another has run since before": {answer: OriginAnswer{Covered: true}},
		"platform knows all versions":  {history: true, before: []directory.Change{versionedEngine(9, 4, "v1")}, answer: OriginAnswer{Software: v1, Alone: true}, goesOn: true},
		"platform knows another":       {history: true, before: []directory.Change{{Config: &routing.Config{Version: 1}}, versionedEngine(9, 4, "v0")}, answer: OriginAnswer{Software: v1, Alone: true}},
		"not long enough":              {running: minSoftwareMemory - time.Second, answer: OriginAnswer{Software: v1, Alone: true}},
		"has run for long":             {running: minSoftwareMemory + time.Second, answer: OriginAnswer{Software: v1, Alone: true}, goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Seeds = []string{selfAddr, otherAddr}
			i := newInstance(t, cfg)
			i.historyGone = !c.history
			i.history = c.before
			i.configure(routing.Config{Version: 1})
			i.applyChanges(versionedEngine(0, 4, "v1"))
			i.advance(max(c.running, TickInterval))
			i.reportFrom(otherAddr, nil)
			id := i.takeUp("x")
			answer := c.answer
			answer.Attempt = origin.AttemptOf("", "x")
			i.reportFrom(otherAddr, func(r *Report) { r.OriginAnswers = []OriginAnswer{answer} })
			i.advance(lookupTime)
			must.Eq(t, c.goesOn, i.running(id))
			if !c.goesOn {
				must.Eq(t, StreamOriginUnknown, i.refusal(id).Reason)
				must.True(t, i.refusal(id).NotRun)
			}
		})
	}
}

// Guards against streams of two versions that all are refused after all instances have
// restarted, or go on at another version than they were assigned to.
func TestOriginIsDerivedFromTheAttempt(t *testing.T) {
	v1, v2, more := versionedEngine(0, 6, "v1"), versionedEngine(1, 12, "v2"), versionedEngine(2, 6, "v2")
	removed := directory.Change{EndpointID: "e0"}
	config := directory.Change{Config: &routing.Config{Version: 1}}
	began := map[string]string{}
	before := newVersionedInstance(t, 6, "v1")
	before.applyChanges(v2)
	for n := range 30 {
		name := fmt.Sprint(n)
		began[name] = before.versionOf(before.arrive(route("r", 0), func(q *Request) { q.Name = name }))
		before.s.endpoints["e0"].ownRunning, before.s.endpoints["e1"].ownRunning = 0, 0
		before.s.endpoints["e0"].window, before.s.endpoints["e1"].window = 9, 9
	}
	for name, c := range map[string]struct {
		history []directory.Change
		gone    bool
		// goOn is the version at which some streams go on, none of which began
		// elsewhere according to began, if that is set.
		goOn  string
		began map[string]string
	}{
		"the last endpoint of a version has left": {history: []directory.Change{v1, v2, config, more, removed}, goOn: "v2", began: began},
		"nothing began before the configuration":  {history: []directory.Change{v1, removed, v2, config, more}, goOn: "v2"},
		"one version only before the other":       {history: []directory.Change{config, v1, v2, more, removed}},
		"platform has no history":                 {gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Seeds = []string{selfAddr, otherAddr}
			i := newInstance(t, cfg)
			i.history, i.historyGone = c.history, c.gone
			i.configure(routing.Config{Version: 1})
			i.applyChanges(v2, more)
			i.advance(TickInterval)
			unnamed := i.takeUp("")
			i.advance(lookupTime + listingCheckTime)
			must.Eq(t, StreamOriginUnknown, i.refusal(unnamed).Reason)
			goOn := 0
			for name := range began {
				id := i.takeUp(name)
				i.advance(lookupTime + listingCheckTime)
				if i.running(id) {
					goOn++
					must.Eq(t, c.goOn, i.versionOf(id))
					if c.began != nil {
						must.Eq(t, c.began[name], i.versionOf(id))
					}
					i.end(id, Attempt{Outcome: Completed})
				}
			}
			must.Eq(t, c.goOn != "", goOn > 0)
		})
	}
}

// Guards against streams that can't go on since they began after a restart, when only
// one version is listed, and the instance that began them ends.
func TestOriginsAreRecordedElsewhereAfterRestart(t *testing.T) {
	for name, firstStart := range map[string]bool{"first start": true, "restart": false} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Seeds = []string{selfAddr, otherAddr}
			i := newInstance(t, cfg)
			i.historyGone = !firstStart
			i.configure(routing.Config{Version: 1})
			i.applyChanges(versionedEngine(0, 4, "v1"))
			i.reportFrom(otherAddr, nil)
			i.step(Tick{})
			i.reports = nil
			i.begin()
			i.step(Tick{})
			recorded := 0
			for _, report := range i.reports {
				recorded += len(report.Report.Origins)
			}
			must.Eq(t, !firstStart, recorded > 0)
		})
	}
}

// Guards against records that only the instance has that began the stream, that are
// written too late, or that are sent where one version serves.
func TestOriginIsRecordedAtTwoInstancesOfTwoZones(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		i := newVersionedInstance(t, 9, versions...)
		for n := range 6 {
			i.step(PeerReported{Report: Report{Incarnation: uint64(20 + n), Sequence: 1, Address: fmt.Sprintf("10.0.0.%d:1", 20+n), Zone: []string{"a", "b", "c"}[n%3]}})
		}
		i.reports = nil
		id := i.arrive(route("r", 0), nil)
		i.step(Tick{})
		zones := map[string]bool{}
		for _, report := range i.reports {
			for _, o := range report.Report.Origins {
				must.Eq(t, origin.AttemptOf("", fmt.Sprint(id)), o.Attempt)
				must.Eq(t, origin.SoftwareOf(service, i.dispatched[id].Endpoint.Version), o.Software)
				zones[i.s.members.byAddress[report.To[0]].zone] = true
			}
		}
		if len(versions) == 1 {
			must.MapEmpty(t, zones)
			continue
		}
		must.MapLen(t, 2, zones)
		must.True(t, zones["a"])
		// An instance that keeps records has restarted.
		i.reports = nil
		i.step(PeerReported{Report: Report{Incarnation: 99, Sequence: 1, Address: "10.0.0.20:1", Zone: "a"}})
		i.step(Tick{})
		repeated := 0
		for _, report := range i.reports {
			repeated += len(report.Report.Origins)
		}
		must.Eq(t, 2, repeated)

		other := newVersionedInstance(t, 4, versions...)
		other.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: otherAddr, Partial: true, Origins: []StreamOrigin{
			{Attempt: 5, Software: 6, Dispatch: 1, Remaining: time.Second}}}})
		other.reports = nil
		other.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 2, Address: otherAddr, Partial: true, OriginQueries: []OriginQuery{
			{Attempt: 5, Services: []string{service}, Memory: time.Minute}, {Attempt: 6, Services: []string{service}, Memory: time.Minute}}}})
		must.Eq(t, []OriginAnswer{{Attempt: 5, Recorded: true, Software: 6}, {Attempt: 6, Covered: true}}, other.reports[0].Report.OriginAnswers)
		must.Eq(t, []string{otherAddr}, other.reports[0].To)
	}
}

// Guards against a stream that goes on at another service than the one that began
// it, after its route was split.
func TestStreamTakenUpStaysAtItsService(t *testing.T) {
	i := newVersionedInstance(t, 4, "v1")
	e := versionedEngine(5, 4, "v1")
	e.Endpoint.Service = "other"
	i.applyChanges(e)
	r := route("r", 0)
	r.Split = []routing.Share{{Service: service, Weight: 1}, {Service: "other", Weight: 1}}
	for _, began := range []string{service, "other"} {
		id := i.arrive(r, func(q *Request) { q.Service = began })
		i.step(AnswerStarted{ID: id})
		i.end(id, Attempt{Outcome: Abandoned, AnswerStarted: true})
		for _, drawn := range []string{service, "other"} {
			again := i.arrive(r, func(q *Request) { q.Service, q.Resumes, q.LastEventID = drawn, fmt.Sprint(id), 3 })
			must.True(t, i.running(again))
			must.Eq(t, began, i.dispatched[again].Endpoint.Service)
			i.end(again, Attempt{Outcome: Completed})
		}
	}
	// The route has been moved away from the service.
	id := i.arrive(r, func(q *Request) { q.Service = "other" })
	i.step(AnswerStarted{ID: id})
	i.end(id, Attempt{Outcome: Abandoned, AnswerStarted: true})
	must.Eq(t, StreamVersionGone, i.refusal(i.takeUp(fmt.Sprint(id))).Reason)
}

// Guards against callers that take streams up and find the last endpoints of their
// version taken by new streams.
func TestStreamsTakenUpGoFirst(t *testing.T) {
	i := newVersionedInstance(t, 1, "v1", "v2")
	id := i.begin()
	version, name := i.versionOf(id), fmt.Sprint(id)
	for range 10 {
		i.arrive(route("r", 0), nil)
	}
	again := i.takeUp(name)
	must.Eq(t, version, i.versionOf(again))
	second := i.takeUp(name)
	must.Eq(t, version, i.versionOf(second))
	third := i.takeUp(name)
	must.False(t, i.running(third))
	i.end(again, Attempt{Outcome: Completed})
	must.Eq(t, version, i.versionOf(third))
}

// Guards against a stream that goes on at the version of an earlier dispatch, which
// brought no event.
func TestOriginIsThatOfTheLastDispatch(t *testing.T) {
	i := newVersionedInstance(t, 4, "v1")
	id := i.arrive(route("r", 0), nil)
	first := i.versionOf(id)
	i.applyChanges(versionedEngine(1, 4, "v2"), directory.Change{EndpointID: "e0"})
	i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: NotRun}})
	second := i.versionOf(id)
	must.NotEq(t, first, second)
	record, known := i.s.origins.Lookup(origin.AttemptOf("", fmt.Sprint(id)))
	must.True(t, known)
	must.Eq(t, origin.SoftwareOf(service, second), record.Software)
	must.Eq(t, 2, record.Dispatch)
}

// Guards against a stream that goes on at the version of another organisation's
// attempt with the same ID.
func TestAttemptsOfOrganisationsAreApart(t *testing.T) {
	q := Request{Name: "x", Route: route("r", 0), Organisation: &routing.Organisation{Name: "a"}}
	other := q
	other.Organisation = &routing.Organisation{Name: "b"}
	must.NotEq(t, q.originAttempt(), other.originAttempt())
}
