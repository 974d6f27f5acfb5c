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
	t.Parallel()
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

// Guards against sound requests that are refused because engines ended under them
// for another reason: in series, all at once, or several times in a row.
func TestUnrelatedEndsConvictNoPart(t *testing.T) {
	t.Parallel()
	for _, subjects := range []int{1, 5, 200} {
		for name, crash := range map[string]func(f *simulation){
			"in series": func(f *simulation) {
				for n := range 8 {
					f.after(time.Duration(n)*400*time.Millisecond, func() { f.crashSome(1) })
				}
			},
			"a quarter, three times": func(f *simulation) {
				for n := range 3 {
					f.after(time.Duration(n)*time.Second, func() { f.crashSome(len(f.engines) / 4) })
				}
			},
			"all at once": func(f *simulation) { f.crashSome(len(f.engines)) },
		} {
			t.Run(fmt.Sprintf("%s, %d subjects", name, subjects), func(t *testing.T) {
				t.Parallel()
				f := newPartSimulation(6, 18, 10, subjects)
				f.advance(3 * time.Second)
				load := 0.5 * 180 / simServiceTime.Seconds()
				f.runLoad(load, time.Second)
				crash(f)
				f.runLoad(load, 8*time.Second)
				share, n := f.parts.begunShare(f.now.Add(-2*time.Second), f.now.Add(-time.Second), nil)
				t.Logf("%d refused as suspects; share that begins at the end: %.2f of %d", f.parts.refusedSound(), share, n)
				must.Eq(t, 0, f.parts.refusedSound())
				must.GreaterEq(t, 0.9, share)
			})
		}
	}
}

// Guards against causes that hide each other: two parts, and a part and a request,
// crash engines at the same time.
func TestUnlikeCausesAtOnceAreAllFound(t *testing.T) {
	t.Parallel()
	const other PromptPart = 777
	f := newPartSimulation(6, 18, 10, 50, crashingPart, other)
	f.crashes.crashing = 666
	f.advance(3 * time.Second)
	end := f.now.Add(12 * time.Second)
	f.repeatPrompts(3, end, 2, func() []PromptPart { return []PromptPart{firstPart, crashingPart} })
	f.repeatPrompts(3, end, 1, func() []PromptPart { return []PromptPart{other} })
	f.repeatCrashingRequest(2, 300*time.Millisecond)
	f.runLoad(0.3*180/simServiceTime.Seconds(), 12*time.Second)
	for _, part := range []PromptPart{crashingPart, other} {
		t.Logf("part %v: %d sends, %d engines ended", part, len(f.parts.sends[part]), len(f.parts.crashedAt[part]))
		must.GreaterEq(t, crashThreshold, len(f.parts.crashedAt[part]))
		must.LessEq(t, partLateSendsAllowed, f.parts.lateSends(part, partCrashesAllowed))
	}
	must.GreaterEq(t, crashesAllowed, len(f.crashes.crashedAt))
	must.LessEq(t, lateSendsAllowed, f.crashes.sendsAfter(crashesAllowed, simContact))
	must.Eq(t, 0, f.parts.refusedSound())
}

// Guards against sound requests that are refused because of a part that was seen
// only together with the one that crashes engines.
func TestCompanionOfCrashingPartIsAcquitted(t *testing.T) {
	t.Parallel()
	companion := subject(0)
	f := newPartSimulation(6, 18, 10, 40, crashingPart)
	f.advance(3 * time.Second)
	end := f.now.Add(12 * time.Second)
	f.repeatPrompts(4, end, 1, func() []PromptPart { return []PromptPart{companion, crashingPart} })
	f.runLoad(0.3*180/simServiceTime.Seconds(), 12*time.Second)
	sound := hasPart(companion)
	share, n := f.parts.begunShare(end.Add(-8*time.Second), end, sound)
	t.Logf("%d engines ended, %d refused as suspects, share of the companion's sound requests that begin: %.2f of %d",
		len(f.parts.crashedAt[crashingPart]), f.parts.refusedSound(), share, n)
	must.Eq(t, 0, f.parts.refusedSound())
	must.GreaterEq(t, 0.9, share)
	must.LessEq(t, partLateSendsAllowed, f.parts.lateSends(crashingPart, partCrashesAllowed))
}

// Guards against a part that stays refused for good although it no longer crashes
// engines, and against trials that end one engine after the other until then.
func TestPartThatBecomesSoundIsServedAgain(t *testing.T) {
	t.Parallel()
	f := newPartSimulation(6, 18, 10, 50, crashingPart)
	f.advance(3 * time.Second)
	send := func(d time.Duration) {
		f.repeatPrompts(4, f.now.Add(d), 1, func() []PromptPart { return []PromptPart{firstPart, crashingPart} })
		f.advance(d)
	}
	send(10 * time.Second)
	burst := len(f.parts.crashedAt[crashingPart])
	must.GreaterEq(t, crashThreshold+1, burst)
	send(50 * time.Second)
	t.Logf("%d engines ended at first, %d in the 50 s after", burst, len(f.parts.crashedAt[crashingPart])-burst)
	must.LessEq(t, 2, len(f.parts.crashedAt[crashingPart])-burst)
	delete(f.parts.crashing, crashingPart)
	trialTime := crash.MinTrialInterval * 16
	send(trialTime)
	dispatches := f.dispatches
	send(5 * time.Second)
	must.GreaterEq(t, 5, f.dispatches-dispatches)
}

// Guards against a prompt with hundreds of parts that hides the one that crashes
// engines, or pushes the evidence against others out of the table.
func TestPromptWithHundredsOfParts(t *testing.T) {
	t.Parallel()
	f := newPartSimulation(6, 18, 10, 50, crashingPart)
	f.advance(3 * time.Second)
	next := PromptPart(1 << 20)
	f.repeatPrompts(4, f.now.Add(9*time.Second), 1, func() []PromptPart {
		parts := []PromptPart{firstPart}
		for range 400 {
			next++
			parts = append(parts, next)
		}
		return append(parts, crashingPart)
	})
	f.runLoad(0.3*180/simServiceTime.Seconds(), 9*time.Second)
	t.Logf("%d engines ended", len(f.parts.crashedAt[crashingPart]))
	must.GreaterEq(t, crashThreshold, len(f.parts.crashedAt[crashingPart]))
	must.LessEq(t, partLateSendsAllowed, f.parts.lateSends(crashingPart, partCrashesAllowed))
	must.Eq(t, 0, f.parts.refusedSound())
}

// Drawn schedules of kills, pauses, restarts and partitions, and of engines that
// end for another reason, while requests with one part crash each engine that
// begins to answer. Once five engines have ended, at most three more may be sent by
// instances in contact, and sound requests are served on.
func TestCrashingPartIsBoundedThroughFaults(t *testing.T) {
	t.Parallel()
	sizes := []struct {
		instances, engines, slots, seeds int
		load                             float64
	}{{6, 18, 10, 30, 0.3}, {12, 18, 10, 15, 0.3}, {84, 90, 6, 1, 0.05}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f := newPartSimulation(size.instances, size.engines, size.slots, 1+int(seed*7%60), crashingPart)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.advance(3 * time.Second)
				load := size.load * float64(size.engines*size.slots) / simServiceTime.Seconds()
				begin := f.now
				f.runLoad(load, 2*time.Second)
				before, _ := f.parts.begunShare(begin, f.now, nil)
				end := f.now.Add(18 * time.Second)
				places := [][]PromptPart{{firstPart, crashingPart}, {crashingPart}, {firstPart, subject(0), crashingPart}, {crashingPart, subject(1)}}
				f.repeatPrompts(2+6*f.rand.Float64(), end, 1+f.rand.IntN(2), func() []PromptPart { return places[f.rand.IntN(len(places))] })
				f.injectFaults(700*time.Millisecond, 12*time.Second)
				for n := range 5 {
					f.after(time.Duration(n)*2*time.Second, func() { f.crashSome(1 + f.rand.IntN(3)) })
				}
				f.runLoad(load, 18*time.Second)
				late := f.parts.lateSends(crashingPart, partCrashesAllowed)
				after, n := f.parts.begunShare(end.Add(-4*time.Second), end.Add(-time.Second), nil)
				if seed < 2 || late > 0 || f.parts.refusedSound() > 0 {
					t.Logf("%d instances, seed %d: %d sends, %d engines ended, %d late sends, %d sound requests refused as suspects, begin %.2f before, %.2f at the end of %d",
						size.instances, seed, len(f.parts.sends[crashingPart]), len(f.parts.crashedAt[crashingPart]), late, f.parts.refusedSound(), before, after, n)
				}
				must.GreaterEq(t, crashThreshold, len(f.parts.crashedAt[crashingPart]), must.Sprint(seed))
				must.LessEq(t, partLateSendsAllowed, late, must.Sprint(seed))
				must.Eq(t, 0, f.parts.refusedSound(), must.Sprint(seed))
				must.GreaterEq(t, 0.5*before, after, must.Sprint(seed))
			}
		})
	}
}

// crashesOf returns the evidence of another instance against a part: ends of
// different endpoints at given ages.
func crashesOf(part PromptPart, ages ...time.Duration) Crash {
	c := Crash{Cause: crash.PartCause(service, uint64(part))}
	for n, age := range ages {
		c.Ends = append(c.Ends, CrashEnd{Endpoint: crash.Incarnation(100 + n), Age: age})
	}
	return c
}

func withParts(parts ...PromptPart) func(*Request) {
	return func(q *Request) { q.PromptParts = parts }
}

// Guards against evidence that is dropped although the endpoint may have ended: an
// error, an answer without a second event whose end is that of its connection, or a
// first event alone.
func TestOnlySoundRunsAcquit(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(i *instance, id RequestID)
		sound  bool
	}{
		"error":             {func(i *instance, id RequestID) { i.end(id, Attempt{Outcome: Completed, ErrorAnswer: true}) }, false},
		"failure":           {func(i *instance, id RequestID) { i.end(id, Attempt{Outcome: Failed}) }, false},
		"close-delimited":   {func(i *instance, id RequestID) { i.end(id, Attempt{Outcome: Completed, Inconclusive: true}) }, false},
		"first event":       {func(i *instance, id RequestID) { i.step(AnswerStarted{ID: id}) }, false},
		"second event":      {func(i *instance, id RequestID) { i.step(AnswerContinued{ID: id}) }, true},
		"complete":          {func(i *instance, id RequestID) { i.end(id, Attempt{Outcome: Completed}) }, true},
		"continued, broken": {func(i *instance, id RequestID) { i.step(AnswerContinued{ID: id}); i.end(id, Attempt{Outcome: Broken}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := newServingInstance(t, 9, 4)
			i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1",
				Crashes: []Crash{crashesOf(crashingPart, time.Second, time.Second)}}})
			id := i.arrive(route("r", 0), withParts(crashingPart))
			i.advance(TickInterval)
			c.answer(i, id)
			must.Eq(t, c.sound, len(i.s.crashes.Ends(crash.PartCause(service, uint64(crashingPart)))) == 0)
		})
	}
}

// Guards against an end that is attributed to a stream that had begun long before:
// one endpoint ends after the other, and a long stream is resumed at each.
func TestStreamThatHadBegunIsNoCandidate(t *testing.T) {
	i := newServingInstance(t, 9, 4)
	r := route("r", 0)
	r.MaxAttempts = 9
	id := i.arrive(r, withParts(crashingPart))
	for range 5 {
		i.step(AnswerStarted{ID: id})
		i.step(AnswerContinued{ID: id})
		i.advance(TickInterval)
		i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
		i.answerProbes(ProbeRefused)
		must.True(t, i.running(id))
		must.SliceEmpty(t, i.s.crashes.Ends(crash.PartCause(service, uint64(crashingPart))))
	}
	must.MapEmpty(t, i.s.suspectedAt)

	// Two streams had begun at the same endpoint.
	i = newServingInstance(t, 1, 4)
	r.MaxAttempts = 1
	ids := []RequestID{i.arrive(r, withParts(crashingPart)), i.arrive(r, withParts(crashingPart))}
	for _, id := range ids {
		i.step(AnswerContinued{ID: id})
	}
	i.advance(TickInterval)
	for _, id := range ids {
		i.step(AttemptEnded{ID: id, Attempt: Attempt{Outcome: Broken, AnswerStarted: true}})
		i.answerProbes(ProbeRefused)
	}
	must.SliceEmpty(t, i.s.crashes.Ends(crash.PartCause(service, uint64(crashingPart))))
}

// Guards against an instance that suspects a part since it has not heard of the
// sound runs at others, and against one that starts and knows no suspect.
func TestSuspicionIsCorrectedByOthersAndToldToNewcomers(t *testing.T) {
	i := newServingInstance(t, 9, 4)
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1"}})
	i.step(AnswerContinued{ID: i.arrive(route("r", 0), withParts(firstPart))})
	i.advance(TickInterval)
	i.reports = nil
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 2, Address: "10.0.0.9:1", Partial: true,
		Crashes: []Crash{crashesOf(firstPart, time.Second, time.Second, time.Second)}}})
	must.MapEmpty(t, i.s.suspectedAt)
	must.Len(t, 1, i.reports)
	must.Eq(t, []string{"10.0.0.9:1"}, i.reports[0].To)
	must.True(t, i.reports[0].Report.Crashes[0].Acquitted)

	other := newServingInstance(t, 9, 4)
	other.step(PeerReported{Report: Report{Incarnation: 8, Sequence: 1, Address: "10.0.0.8:1"}})
	other.step(PeerReported{Report: Report{Incarnation: 8, Sequence: 2, Address: "10.0.0.8:1", Partial: true,
		Crashes: []Crash{crashesOf(firstPart, time.Second, time.Second, time.Second)}}})
	held := other.arrive(route("r", 0), withParts(firstPart))
	must.False(t, other.running(held))
	asked := false
	other.advance(TickInterval)
	for _, report := range other.reports {
		for _, c := range report.Report.Crashes {
			asked = asked || report.Report.Partial && c.Cause == crash.PartCause(service, uint64(firstPart))
		}
	}
	must.True(t, asked)
	other.reports = nil
	other.step(PeerReported{Report: Report{Incarnation: 7, Sequence: 1, Address: "10.0.0.7:1"}})
	told := false
	for _, report := range other.reports {
		told = told || len(report.Report.Crashes) == 1 && report.To[0] == "10.0.0.7:1"
	}
	must.True(t, told)
	correction := i.reports[0].Report
	correction.Incarnation, correction.Address = 9, "10.0.0.9:1"
	other.step(PeerReported{Report: correction})
	must.True(t, other.running(held))
}

// Guards against a trial that is repeated at once after it broke, and against
// several at the same time.
func TestOneRequestAtATimeIsTried(t *testing.T) {
	i := newServingInstance(t, 9, 4)
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1", Partial: true,
		Crashes: []Crash{crashesOf(crashingPart, time.Second, time.Second, time.Second)}}})
	var ids []RequestID
	for range 4 {
		ids = append(ids, i.arrive(route("r", 0), withParts(crashingPart)))
	}
	must.MapEmpty(t, i.dispatched)
	i.advance(crash.ProofTime)
	must.MapLen(t, 1, i.dispatched)
	must.True(t, i.running(ids[0]))
	ended := i.dispatched[ids[0]].Endpoint.ID
	i.end(ids[0], Attempt{Outcome: Broken})
	must.MapEmpty(t, i.dispatched)
	i.answerProbes(ProbeRefused)
	i.advance(TickInterval)
	must.MapEmpty(t, i.dispatched)
	for n, id := range ids {
		must.Eq(t, CrashSuspect, i.refusal(id).Reason)
		must.Eq(t, n > 0, i.refusal(id).NotRun)
		must.Eq(t, 0, i.refusal(id).RetryAfter)
	}
	i.applyChanges(directory.Change{EndpointID: ended})
	i.advance(crash.MinTrialInterval - time.Second)
	must.Eq(t, CrashSuspect, i.refusal(i.arrive(route("r", 0), withParts(crashingPart))).Reason)
	i.advance(time.Second)
	again := i.arrive(route("r", 0), withParts(crashingPart))
	must.True(t, i.running(again))
	must.Eq(t, CrashSuspect, i.refusal(i.arrive(route("r", 0), withParts(crashingPart))).Reason)
	i.step(AnswerContinued{ID: again})
	must.True(t, i.running(i.arrive(route("r", 0), withParts(crashingPart))))
}

// Guards against all instances trying a suspect at the same moment: of two, one
// waits for its turn, and which one differs between suspects.
func TestInstancesTakeTurnsToTry(t *testing.T) {
	atOnce := 0
	const parts = 12
	for part := range PromptPart(parts) {
		i := newServingInstance(t, 9, 4)
		i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1"}})
		i.advance(TickInterval)
		i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 2, Address: "10.0.0.9:1", Partial: true,
			Crashes: []Crash{crashesOf(part, 0, 0, 0)}}})
		r := route("r", 0)
		r.Target = 20 * time.Second
		id := i.arrive(r, withParts(part))
		i.advance(crash.ProofTime + TickInterval)
		if i.running(id) {
			atOnce++
		}
		i.advance(trialSpacing)
		must.True(t, i.running(id))
	}
	must.Between(t, 1, atOnce, parts-1)
}

// Guards against requests that are held for seconds because an attempt broke at an
// endpoint that can't be reached.
func TestUnresolvedAttemptsAreForgotten(t *testing.T) {
	i := newServingInstance(t, 9, 4)
	i.step(PeerReported{Report: Report{Incarnation: 9, Sequence: 1, Address: "10.0.0.9:1",
		Crashes: []Crash{crashesOf(crashingPart, 0)}}})
	r := route("r", 0)
	r.MaxAttempts = 1
	ids := []RequestID{i.arrive(r, withParts(crashingPart)), i.arrive(r, withParts(crashingPart))}
	for _, id := range ids {
		i.end(id, Attempt{Outcome: Broken})
	}
	must.False(t, i.running(i.arrive(r, withParts(crashingPart))))
	i.answerProbes(ProbeUnknown)
	i.advance(unresolvedTime + TickInterval)
	must.True(t, i.running(i.arrive(r, withParts(crashingPart))))
}

// Guards against a part that is convicted at one service because it crashes the
// endpoints of another, or acquitted there.
func TestPartsOfServicesAreApart(t *testing.T) {
	must.NotEq(t, crash.PartCause("a", 1), crash.PartCause("b", 1))
	must.NotEq(t, crash.PartCause("a", 1), crash.RequestCause(1))
	q := Request{Service: "a", Fingerprint: 9, PromptParts: []PromptPart{1}}
	must.Eq(t, []crash.Cause{crash.RequestCause(9), crash.PartCause("a", 1)}, causesOf(q))
	must.Eq(t, []crash.Cause{crash.RequestCause(9)}, causesOf(Request{Service: "a", Fingerprint: 9}))
}
