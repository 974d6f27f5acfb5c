package gossip

import (
	"math"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// FuzzReportsDoNotStopTheScheduler guards against a datagram that takes the
// process down, or after which an instance no longer serves requests: any datagram
// is decoded and applied, and a request is served after it.
func FuzzReportsDoNotStopTheScheduler(f *testing.F) {
	seed := testReport()
	seed.Incarnation, seed.Partial, seed.Leaving = 7, false, false
	for _, change := range []func(*scheduler.Report){
		func(*scheduler.Report) {},
		func(r *scheduler.Report) { r.Partial = true },
		func(r *scheduler.Report) { r.Leaving = true },
		func(r *scheduler.Report) { r.Demand = math.NaN() },
		func(r *scheduler.Report) { r.Demand = math.Inf(1) },
		func(r *scheduler.Report) { r.Demand = -1e300 },
		func(r *scheduler.Report) { r.InstanceCount = 1 << 30 },
		func(r *scheduler.Report) { r.Loads[0].Running = 1 << 30 },
		func(r *scheduler.Report) { r.Age = math.MaxInt64 },
	} {
		r := seed
		r.Loads = append([]scheduler.EndpointLoad(nil), seed.Loads...)
		change(&r)
		datagram, err := encode(r)
		must.NoError(f, err)
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		report, err := decode(datagram)
		if err != nil {
			return
		}
		now := scheduler.Instant(time.Hour)
		s := scheduler.New(scheduler.Config{Instance: "i", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Seeds: []string{"127.0.0.1:1"}}, now)
		org := routing.Organisation{Name: "org", Keys: []string{"k"}, Quota: routing.Quota{RatePerSecond: 1000, Burst: 1000}}
		config := routing.Config{Version: 1, Organisations: []routing.Organisation{org}}
		s.Step(now, scheduler.DirectoryRead{Update: directory.Update{ReadAt: int64(now), Full: true, Batch: directory.Batch{Changes: []directory.Change{
			{Config: &config}, {EndpointID: "e", Endpoint: &directory.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:2", Zone: "z", Slots: 4}},
		}}}})
		s.Step(now, scheduler.PeerReported{Report: report})
		for range 200 {
			now = now.Add(scheduler.TickInterval)
			s.Step(now, scheduler.Tick{})
		}
		route := &routing.Route{Name: "r", Split: []routing.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1, Target: time.Second, Timeout: 5 * time.Second}
		for _, e := range s.Step(now, scheduler.Arrived{Request: scheduler.Request{
			ID: 1, Route: route, Organisation: &config.Organisations[0], Service: "s", Version: 1, Fingerprint: 1,
			CallerDeadline: now.Add(5 * time.Second), Deadline: now.Add(5 * time.Second),
		}}) {
			if _, ok := e.(scheduler.Dispatch); ok {
				return
			}
		}
		t.Fatalf("the request is not served after %+v", report)
	})
}
