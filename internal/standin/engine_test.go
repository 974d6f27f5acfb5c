package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestEngineStreamsCompleteAnswerOfEachRequest(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		b.engine(fastEngine())
		one, two := chat("one", "same", 5), chat("two", "same", 3)
		pending := b.sendAsync("r1", one)
		a2 := b.send("r2", two)
		a1 := <-pending
		must.True(t, a1.complete)
		must.Eq(t, one.Answer(), a1.text)
		must.Eq(t, two.Answer(), a2.text)
		must.NotEq(t, one.Token(0), two.Token(0))
		must.Eq(t, Usage{PromptTokens: 1, CompletionTokens: 5}, a1.usage)

		plain := chat("three", "same", 4)
		plain.Stream = false
		var unstreamed Chunk
		response, err := b.client.Do(b.request(http.MethodPost, "/v1/chat/completions", "r3", plain))
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		mustUnmarshal(t, body, &unstreamed)
		must.Eq(t, plain.Answer(), unstreamed.Choices[0].Message.Content)

		runs := b.recorder.Runs("")
		must.Len(t, 3, runs)
		for _, run := range runs {
			must.Eq(t, RunCompleted, run.State)
		}
		must.Eq(t, 1, b.recorder.Dispatches("one"))
	})
}

func TestRejectedRequestsAreRecorded(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.Models = []string{"other"}
		b.engine(s)
		must.Eq(t, http.StatusNotFound, b.send("r1", chat("u", "p", 1)).status)
		must.Eq(t, http.StatusBadRequest, b.post("/v1/chat/completions", "no object"))
		must.Eq(t, RunRejected, b.recorder.Runs("")[0].State)
		must.Eq(t, RunRejected, b.recorder.Runs("")[1].State)
	})
}

func TestBatchSharesSteps(t *testing.T) {
	for _, tc := range []struct {
		batch, limit int
		slow         float64
		want         time.Duration
	}{
		// Each prompt is one token, which the first of ten steps reads in 1 ms.
		// A later step of n requests takes 10 ms plus n ms.
		{batch: 1, limit: 8, want: 11 * 10 * time.Millisecond},
		{batch: 4, limit: 8, want: 14 * 10 * time.Millisecond},
		{batch: 1, limit: 8, slow: 10, want: 10 * 11 * 10 * time.Millisecond},
		// The batch limit is two: the second pair waits for the first.
		{batch: 4, limit: 2, want: 2 * 12 * 10 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d of %d, slow %v", tc.batch, tc.limit, tc.slow), func(t *testing.T) {
			withHarness(t, func(t *testing.T, b *harness) {
				s := fastEngine()
				s.MaxBatch = tc.limit
				s.Faults.SlowFactor = tc.slow
				e := b.engine(s)
				// All requests are admitted at the same instant of the fake clock.
				start := time.Now()
				var answers []<-chan receivedAnswer
				for i := range tc.batch {
					answers = append(answers, b.sendAsync(fmt.Sprint(i), chat(fmt.Sprint(i), "p", 10)))
				}
				for _, a := range answers {
					must.True(t, (<-a).complete)
				}
				elapsed := time.Since(start)
				// The request that started the batch may read its prompt in a
				// separate step. This is the only allowed difference.
				must.Between(t, tc.want, elapsed, tc.want+e.settings.DecodeStep*2)
			})
		})
	}
}

func TestPrefixCacheReducesPrefill(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.CacheTokens = 2000
		b.engine(s)
		shared := prompt("shared", 1000)
		cold := b.send("r1", chat("a", shared+"first question", 1))
		warm := b.send("r2", chat("b", shared+"second question", 1))
		must.Eq(t, 0, cold.usage.CachedTokens)
		must.Between(t, 990, warm.usage.CachedTokens, 1000)
		must.Greater(t, cold.first/10, cold.first-warm.first)
		must.Less(t, cold.first/10, warm.first)

		// Two other prompts fill the cache, and the shared one is evicted.
		b.send("r3", chat("c", prompt("x", 1000), 1))
		b.send("r4", chat("d", prompt("y", 1024), 1))
		evicted := b.send("r5", chat("e", shared, 1))
		must.Eq(t, 0, evicted.usage.CachedTokens)
	})
}

func TestCacheEventLagAndLoss(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.CacheTokens = 1000
		s.Faults.CacheEventLagMS = 3000
		e := b.engine(s)
		for i := range 20 {
			b.send("r", chat("u", prompt(fmt.Sprint(i), 500), 1))
		}
		var events []CacheEvent
		b.get("/v1/cache-events?after=0", &events)
		must.Less(t, 38, len(events))
		time.Sleep(3 * time.Second)
		b.get("/v1/cache-events?after=0", &events)
		must.Len(t, 38, events) // 20 prefixes cached, all but 2 evicted
		must.Eq(t, CacheEvent{Sequence: 1, Prefix: PrefixDigest(prompt("0", 500)), Cached: true}, events[0])
		must.Eq(t, CacheEvent{Sequence: 4, Prefix: PrefixDigest(prompt("0", 500))}, events[3])

		f := e.Faults()
		f.CacheEventLossPercent = 30
		e.SetFaults(f)
		var lossy, again []CacheEvent
		b.get("/v1/cache-events?after=0", &lossy)
		b.get("/v1/cache-events?after=0", &again)
		must.Between(t, 15, len(lossy), 35)
		must.Eq(t, lossy, again)
	})
}

func TestLoadReportLags(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.Faults.LoadLagMS = 2000
		e := b.engine(s)
		done := b.sendAsync("r", chat("u", "p", 200)) // 2.2 s
		time.Sleep(1900 * time.Millisecond)
		var l LoadReport
		b.get("/v1/load", &l)
		must.Eq(t, LoadReport{Started: e.process.startID, MeasuredMSAgo: 2000}, l)
		<-done
		time.Sleep(time.Second)
		b.get("/v1/load", &l)
		must.Eq(t, 1, l.Running)
		must.Between(t, 85, l.DecodeTokensPerSecond, 92)
		time.Sleep(2 * time.Second)
		b.get("/v1/load", &l)
		must.Eq(t, 0, l.Running)
	})
}

func TestInterruptedStreamResumesFromOffset(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.Faults.CutAfterEvents = 3
		b.engine(s)
		c := chat("u", "p", 10)
		interrupted := b.send("r", c)
		must.False(t, interrupted.complete)
		must.Len(t, 3, interrupted.events)
		rest := b.readAnswer(b.request(http.MethodGet, "/v1/requests/r/stream?offset=3", "r", nil))
		must.True(t, rest.complete)
		must.Eq(t, c.Answer(), interrupted.text+rest.text)
		must.Eq(t, 10, rest.usage.CompletionTokens)
		run := b.recorder.Runs("")[0]
		must.Eq(t, 1, run.Resumes)
		must.Eq(t, RunCompleted, run.State)
		must.Len(t, 1, b.recorder.Runs(""))

		must.Eq(t, 404, b.get("/v1/requests/unknown/stream?offset=0", nil))
		must.Eq(t, 400, b.get("/v1/requests/r/stream?offset=-1", nil))
	})
}

func TestCancelledAndAbandonedRequestsStop(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		b.engine(fastEngine())
		cancelled := b.sendAsync("r1", chat("a", "p", 1000))
		time.Sleep(time.Millisecond)
		ctx, disconnect := context.WithCancel(t.Context())
		abandoned := b.request(http.MethodPost, "/v1/chat/completions", "r2", chat("b", "p", 1000))
		go b.readAnswer(abandoned.WithContext(ctx))
		time.Sleep(200 * time.Millisecond)

		response, err := b.client.Do(b.request(http.MethodDelete, "/v1/requests/r1", "", nil))
		must.NoError(t, err)
		must.Eq(t, http.StatusNoContent, response.StatusCode)
		must.False(t, (<-cancelled).complete)
		must.Eq(t, RunCancelled, b.recorder.Runs("")[0].State)

		disconnect()
		time.Sleep(900 * time.Millisecond)
		must.Eq(t, RunRunning, b.recorder.Runs("")[1].State)
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, RunCancelled, b.recorder.Runs("")[1].State)
		must.Eq(t, 404, b.get("/v1/requests/r2/stream?offset=0", nil))
	})
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withHarness(t, func(t *testing.T, b *harness) {
			s := fastEngine()
			s.ChecksFencing = checks
			b.engine(s)
			must.Eq(t, 200, b.post("/v1/orders", order{Fencing: 7, Models: []string{"m"}}))
			must.Eq(t, 200, b.post("/v1/orders", order{Fencing: 7, Models: []string{"m"}}))
			old, want := 200, order{Fencing: 6, Models: []string{"old"}}
			if checks {
				old, want = 409, order{Fencing: 7, Models: []string{"m"}}
			}
			must.Eq(t, old, b.post("/v1/orders", order{Fencing: 6, Models: []string{"old"}}))
			var current order
			b.get("/v1/orders", &current)
			must.Eq(t, want, current)
			must.Eq(t, 400, b.post("/v1/orders", "nonsense"))
		})
	}
}

func TestCrashClearsStateButNotRecord(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := fastEngine()
		s.Faults.CrashMarker = "BOOM"
		s.Faults.RestartMS = 5000
		e := b.engine(s)
		must.Eq(t, 200, b.post("/v1/orders", order{Fencing: 3}))
		b.send("r0", chat("warm", prompt("shared", 100), 1))
		var before, after LoadReport
		b.get("/v1/load", &before)
		concurrent := b.sendAsync("r1", chat("concurrent", "p", 100))
		time.Sleep(100 * time.Millisecond)
		crashing := b.send("r2", chat("crashing", "BOOM", 5))
		must.Error(t, crashing.err)
		must.False(t, (<-concurrent).complete)

		_, err := b.client.Get("http://engine/v1/load")
		must.Error(t, err)
		must.Error(t, b.send("r3", chat("early", "p", 1)).err)
		time.Sleep(5 * time.Second)
		b.get("/v1/load", &after)
		must.NotEq(t, before.Started, after.Started)
		must.Eq(t, 0, e.process.fencing)
		must.Eq(t, 0, b.send("r4", chat("cold", prompt("shared", 100), 1)).usage.CachedTokens)
		must.Eq(t, 404, b.get("/v1/requests/r1/stream?offset=0", nil))

		states := map[string]RunState{}
		for _, run := range b.recorder.Runs("") {
			states[run.User] = run.State
		}
		must.Eq(t, map[string]RunState{
			"warm": RunCompleted, "concurrent": RunCrashed, "crashing": RunCrashed, "cold": RunCompleted,
		}, states)
	})
}

func TestPartlyReadRequestIsRecorded(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		b.engine(fastEngine())
		conn, err := b.pipes.DialContext(t.Context(), "tcp", "engine:80")
		must.NoError(t, err)
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: engine\r\nX-Request-Id: r1\r\nContent-Length: 100\r\n\r\nhalf")
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, RunReceived, b.recorder.Runs("")[0].State)
		must.NoError(t, conn.Close())
		synctest.Wait()
		run := b.recorder.Runs("")[0]
		must.Eq(t, "r1", run.RequestID)
		must.False(t, run.BodyComplete)
		must.Eq(t, "half", run.Body)
	})
}

func TestFaultsSetAtRunTime(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		e := b.engine(fastEngine())
		must.Eq(t, 204, b.post("/standin/faults", map[string]any{"leaving": true, "answer_delay_ms": 700}))
		must.Eq(t, 500, e.Faults().LoadLagMS) // fields absent from the body keep their values
		must.Eq(t, 400, b.post("/standin/faults", map[string]any{"leaving": "yes"}))
		must.Eq(t, 400, b.post("/standin/faults", map[string]any{"leeving": true}))

		time.Sleep(2 * time.Second)
		delayed := b.send("r1", chat("u", "p", 2))
		must.True(t, delayed.complete)
		must.True(t, delayed.first >= 700*time.Millisecond)
		run := b.recorder.Runs("")[0]
		must.True(t, run.Leaving)
		must.Eq(t, 2000, run.LeavingMS)
		var l LoadReport
		b.get("/v1/load", &l)
		must.True(t, l.Leaving)

		must.Eq(t, 204, b.post("/standin/faults", map[string]any{"leaving": false, "silent": true}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		silent := b.readAnswer(b.request(http.MethodPost, "/v1/chat/completions", "r2", chat("v", "p", 2)).WithContext(ctx))
		must.ErrorIs(t, silent.err, context.DeadlineExceeded)
		must.Eq(t, RunReceived, b.recorder.Runs("")[1].State)
	})
}

func TestAnswerWithAnotherRequestID(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		e := b.engine(fastEngine())
		other := chat("other", "p", 50)
		pending := b.sendAsync("r1", other)
		time.Sleep(100 * time.Millisecond)
		e.SetFaults(EngineFaults{RequestIDMismatchPercent: 100})
		got := b.send("r2", chat("mine", "p", 5))
		must.Eq(t, "r1", got.id)
		must.Eq(t, other.Answer(), got.text)
		must.True(t, strings.Contains(got.events[0], `"id":"r1"`))
		must.True(t, (<-pending).complete)
	})
}
