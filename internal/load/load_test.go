package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
)

func testFile() *declared.File {
	return &declared.File{
		Tiers: []declared.Tier{
			{Name: "low", Rank: 2, SharePercent: 25},
			{Name: "high", Rank: 1, SharePercent: 75, DeadlineMS: 4000},
		},
		Classes: []declared.Class{{Name: "c", Kind: declared.KindEngine}, {Name: "s", Kind: declared.KindService}},
		Endpoints: []declared.Endpoint{
			{Class: "c", Models: []string{"m"}}, {Class: "c", Models: []string{"m"}}, {Class: "s", Models: []string{"booking"}},
		},
		Organisations: []declared.Organisation{
			{Name: "a", Tiers: map[string]int{"high": 90, "low": 100}},
			{Name: "b", Tiers: map[string]int{"high": 10}},
		},
	}
}

func testMix(t *testing.T) *Mix {
	t.Helper()
	m, err := NewMix(testFile(), nil, func(name string) string { return "key of " + name })
	must.NoError(t, err)
	return m
}

func TestScheduleFollowsMixAndSeed(t *testing.T) {
	s := DefaultSettings()
	s.RequestsPerSecond, s.Duration = 100, 100*time.Second
	schedule, second := NewSchedule(s, testMix(t)), NewSchedule(s, testMix(t))
	counts := map[string]int{}
	beginnings := map[string]int{}
	var shortest, longest = 1 << 30, 0
	previous := time.Duration(0)
	for {
		r, ok := schedule.Next()
		repeated, _ := second.Next()
		must.Eq(t, r, repeated)
		if !ok {
			break
		}
		must.True(t, r.At >= previous)
		previous = r.At
		counts["all"]++
		counts[r.Tier]++
		counts[r.Organisation+r.Tier]++
		must.Eq(t, "key of "+r.Organisation, r.Key)
		must.Eq(t, "m", r.Chat.Model)
		beginnings[strings.SplitAfter(r.Chat.Prompt(), ". ")[0]]++
		shortest, longest = min(shortest, r.Chat.MaxTokens), max(longest, r.Chat.MaxTokens)
	}
	must.Between(t, 9700, counts["all"], 10300)
	must.Between(t, 7300, counts["high"], 7700)
	must.Between(t, 600, counts["bhigh"], 900)
	must.Eq(t, 0, counts["blow"])
	must.Eq(t, 8, shortest)
	must.Between(t, 500, longest, 800)
	shared := 0
	for beginning, n := range beginnings {
		if strings.HasPrefix(beginning, "shared text") {
			shared += n
		} else {
			must.Eq(t, 1, n)
		}
	}
	must.Between(t, 4700, shared, 5300)
}

func TestMixRequiresSendersAndModels(t *testing.T) {
	f := testFile()
	f.Organisations = nil
	_, err := NewMix(f, nil, nil)
	must.Error(t, err)
	f = testFile()
	f.Endpoints = f.Endpoints[2:]
	_, err = NewMix(f, nil, nil)
	must.Error(t, err)
}

// runLoad sends a load of one request a second to a handler in fake time.
func runLoad(t *testing.T, handler http.Handler, maxInFlight int) *Report {
	t.Helper()
	pipes := standin.NewPipes()
	defer pipes.Close()
	pipes.Serve("10.0.0.1:80", handler)
	transport := pipes.Transport()
	defer transport.CloseIdleConnections()
	s := DefaultSettings()
	s.RequestsPerSecond, s.Duration = 1, 100*time.Second
	s.Output = Lengths{Min: 10, Max: 10}
	runner := &Runner{
		Addresses: []string{"10.0.0.1:80"}, Transport: transport, Timeout: time.Minute, MaxInFlight: maxInFlight,
	}
	report, err := runner.Run(t.Context(), NewSchedule(s, testMix(t)))
	must.NoError(t, err)
	return report
}

func TestCompleteAnswersAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := standin.NewRecorder()
		engine := standin.NewEngine(standin.EngineSettings{
			DecodeStep: 20 * time.Millisecond, DecodeStepPerRequest: time.Nanosecond, PrefillTokensPerSecond: 1e9,
		}, recorder)
		defer engine.Close()
		report := runLoad(t, engine, 0)
		for _, tier := range report.Tiers {
			must.Positive(t, tier.Sent)
			must.Eq(t, map[Ended]int{EndedComplete: tier.Sent}, tier.Ended)
			must.Eq(t, 1.0, tier.Goodput())
			must.Eq(t, 10*tier.Sent, tier.Tokens)
			must.Between(t, 19*time.Millisecond, tier.FirstToken(50), 41*time.Millisecond)
			must.Between(t, 19*time.Millisecond, tier.TokenGap(95), 21*time.Millisecond)
		}
		must.Eq(t, "high", report.Tiers[0].Name)
		audit := Check(report, recorder.Runs(""))
		must.False(t, audit.HasViolations())
		must.Eq(t, len(report.Outcomes), audit.Dispatches)
		must.Eq(t, 0, audit.WastedTokens)
	})
}

func TestRequestEndings(t *testing.T) {
	engineWithFaults := func(f standin.EngineFaults) func() http.Handler {
		// The engine's channels must be created in the synctest bubble.
		return func() http.Handler {
			return standin.NewEngine(standin.EngineSettings{Faults: f}, standin.NewRecorder())
		}
	}
	respond := func(status int, body string) func() http.Handler {
		return func() http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				fmt.Fprint(w, body)
			})
		}
	}
	for name, tc := range map[string]struct {
		handler func() http.Handler
		want    Ended
		reason  refusal.Reason
	}{
		"incomplete":                     {handler: engineWithFaults(standin.EngineFaults{CutAfterEvents: 3}), want: EndedIncomplete},
		"timed out":                      {handler: engineWithFaults(standin.EngineFaults{Silent: true}), want: EndedTimedOut},
		"late":                           {handler: engineWithFaults(standin.EngineFaults{AnswerDelayMS: 5000}), want: EndedComplete},
		"refused":                        {handler: respond(503, `{"error":{"reason":"shed","not_run":true}}`), want: EndedRefused, reason: refusal.Shed},
		"error without a refusal reason": {handler: respond(404, "no such page"), want: EndedFailed},
		"answer of another request":      {handler: respond(200, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"), want: EndedWrong},
		"incomplete with a reason":       {handler: respond(200, "event: error\ndata: {\"error\":{\"reason\":\"answer_cut\"}}\n\n"), want: EndedIncomplete, reason: refusal.AnswerCut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := tc.handler()
				report := runLoad(t, handler, 0)
				high := report.Tier("high")
				must.Eq(t, map[Ended]int{tc.want: high.Sent}, high.Ended)
				must.Eq(t, 0.0, high.Goodput()) // a late answer does not count
				must.Eq(t, tc.reason, report.Outcomes[0].Reason)
				if tc.want == EndedRefused {
					must.Eq(t, map[refusal.Reason]int{tc.reason: len(report.Outcomes)}, report.Refusals())
				}
				if e, ok := handler.(*standin.Engine); ok {
					e.Close()
				}
			})
		})
	}
}

func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var highest, current atomic.Int64
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			highest.Store(max(highest.Load(), current.Add(1)))
			defer current.Add(-1)
			select {
			case <-time.After(7 * time.Second):
			case <-r.Context().Done():
			}
		})
		report := runLoad(t, handler, 0)
		must.Eq(t, 0, report.Skipped)
		must.Greater(t, 5, highest.Load())
		highest.Store(0)
		report = runLoad(t, handler, 5)
		must.Eq(t, 5, highest.Load())
		must.Positive(t, report.Skipped)
	})
}

func TestAuditReportsViolations(t *testing.T) {
	r := &Report{Outcomes: []Outcome{
		{User: "fine", Ended: EndedComplete}, {User: "twice", Ended: EndedComplete},
		{User: "ran though", Ended: EndedRefused, NotRun: true}, {User: "unseen", Ended: EndedComplete},
		{User: "incomplete", Ended: EndedIncomplete}, {User: "not run", Ended: EndedRefused, NotRun: true},
	}}
	run := func(user string) standin.Run { return standin.Run{User: user, PromptTokens: 10, CachedTokens: 4} }
	a := Check(r, []standin.Run{run("fine"), run("twice"), run("twice"), run("ran though"), run("incomplete"), run("another load")})
	must.Eq(t, &Audit{
		Dispatches: 5, DispatchedTwice: []string{"twice"}, RanAfterRefusal: []string{"ran though"}, WithoutDispatch: []string{"unseen"},
		PromptTokens: 50, CachedTokens: 20, WastedTokens: 12,
	}, a)
	must.True(t, a.HasViolations())
}

func TestRunStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		runner := &Runner{Addresses: []string{"10.0.0.1:80"}, Transport: standin.NewPipes().Transport(), Timeout: time.Second}
		s := DefaultSettings()
		s.Duration = time.Hour
		report, err := runner.Run(ctx, NewSchedule(s, testMix(t)))
		must.NoError(t, err)
		must.LessEq(t, 2*time.Second, report.Elapsed)
		_, err = (&Runner{}).Run(ctx, NewSchedule(s, testMix(t)))
		must.Error(t, err)
	})
}
