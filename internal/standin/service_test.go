package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func mustUnmarshal(t *testing.T, body []byte, into any) {
	t.Helper()
	must.NoError(t, json.Unmarshal(body, into))
}

func (b *harness) service(f ServiceFaults) *Service {
	s := NewService(ServiceSettings{Faults: f}, b.recorder)
	b.pipes.Serve("engine:80", s)
	return s
}

// call makes one call to a service and returns its response.
func (b *harness) call(ctx context.Context, id string, body any) (ServiceAnswer, int, error) {
	var a ServiceAnswer
	response, err := b.client.Do(b.request(http.MethodPut, "/bookings/7", id, body).WithContext(ctx))
	if err != nil {
		return a, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(response.Body)
	must.NoError(b.t, err)
	mustUnmarshal(b.t, encoded, &a)
	return a, response.StatusCode, nil
}

func TestServiceRunsAndRecordsEachCall(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		b.service(ServiceFaults{DelayMS: 40, SlowFactor: 5})
		body := map[string]string{"user": "u"}
		for i := range 2 {
			start := time.Now()
			a, status, err := b.call(t.Context(), "r1", body)
			must.NoError(t, err)
			must.Eq(t, 200, status)
			must.Eq(t, ServiceAnswer{Endpoint: "service", RequestID: "r1", User: "u", Number: uint64(i + 1)}, a)
			must.Eq(t, 200*time.Millisecond, time.Since(start))
		}
		must.Eq(t, 2, b.recorder.Dispatches("u"))
		run := b.recorder.Runs("")[1]
		must.Eq(t, RunCompleted, run.State)
		must.Eq(t, "/bookings/7", run.Path)
		must.Eq(t, http.MethodPut, run.Method)
		must.Eq(t, `{"user":"u"}`, run.Body)
	})
}

func TestServiceFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults ServiceFaults
		want   RunState
		status int
	}{
		{"reset before running", ServiceFaults{ResetBefore: true}, RunRejected, 0},
		{"reset after running", ServiceFaults{DelayMS: 10, ResetAfter: true}, RunCompleted, 0},
		{"runs and never responds", ServiceFaults{DelayMS: 10, Silent: true}, RunCompleted, 0},
		{"crashes", ServiceFaults{CrashMarker: "user", RestartMS: 100}, RunCrashed, 0},
		{"error status", ServiceFaults{DelayMS: 10, Status: 503}, RunCompleted, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, b *harness) {
				b.service(tc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, status, err := b.call(ctx, "r", map[string]string{"user": "u"})
				must.Eq(t, tc.status == 0, err != nil)
				must.Eq(t, tc.status, status)
				must.Eq(t, tc.want, b.recorder.Runs("")[0].State)
			})
		})
	}
}

func TestServiceFinishesCallAfterCallerDisconnects(t *testing.T) {
	withHarness(t, func(t *testing.T, b *harness) {
		s := b.service(ServiceFaults{DelayMS: 1000, LoadLagMS: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := b.call(ctx, "r", nil)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		var l LoadReport
		b.get("/v1/load", &l)
		must.Eq(t, LoadReport{Running: 1, Started: s.startID, MeasuredMSAgo: 1}, l)
		time.Sleep(time.Second)
		must.Eq(t, RunCompleted, b.recorder.Runs("")[0].State)
	})
}
