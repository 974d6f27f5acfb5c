package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// simQuota is the part of a simulation in which one organisation has a quota and may
// request more than that. A nil simQuota is a simulation without it.
type simQuota struct {
	// rate is the quota in tokens per second; the burst is that of a second.
	rate float64
	// hotShare is the share of the requests that are the organisation's.
	hotShare float64
	admitted []admission
	charged  map[simRequest]bool
}

// organisations returns the organisations of the configuration.
func (q *simQuota) organisations() []routing.Organisation {
	all := simOrganisations()
	if q != nil {
		all[0].Quota.RatePerSecond, all[0].Quota.Burst = q.rate, q.rate
	}
	return all
}

// organisation returns the organisation of a new request at an instance.
func (q *simQuota) organisation(f *simulation, i *simInstance, id RequestID) *routing.Organisation {
	all := i.s.table.Organisations()
	if q == nil {
		return &all[id%16]
	}
	if f.rand.Float64() < q.hotShare {
		return &all[0]
	}
	return &all[1+id%15]
}

// dispatched records the cost of the organisation's requests when they are first sent.
func (q *simQuota) dispatched(f *simulation, job simJob) {
	key := simRequest{job.at, job.id}
	r, known := f.requests[key]
	if q == nil || !known || r.Organisation.Name != "org0" || q.charged[key] {
		return
	}
	q.charged[key] = true
	q.admitted = append(q.admitted, admission{f.now, float64(r.Tokens)})
}

// maxInWindow returns the highest cost admitted in any window.
func (q *simQuota) maxInWindow() float64 {
	f := fleet{admitted: q.admitted}
	return f.maxInWindow()
}

// Load pattern: an organisation asks for four times its quota at all instances of a large
// system, which are killed at once in the middle and start again. Guards against instances
// that each use what all may use together while they do not know of the others: at the
// begin of the peak, since their usage is seconds old, and after the start.
func TestQuotaHoldsInLargeSystems(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, zones, engines int }{{6, 3, 78}, {150, 6, 78}, {195, 6, 78}} {
		if size.instances == 195 && !*flagLarge {
			continue
		}
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			const requestCost = 2100
			f := newSimulation(size.instances, size.zones, size.engines, 8)
			f.rand = rand.New(rand.NewPCG(uint64(size.instances), 3))
			f.crashes = newSimCrashes(noCrash)
			q := &simQuota{rate: testRate, charged: map[simRequest]bool{}}
			f.quota = q
			for n, i := range f.instances {
				f.start(i, uint64(1000+n), f.entries())
				// Past its startup period.
				i.s.started = f.now.Add(-time.Minute)
				i.s.members.started = i.s.started
			}
			f.advance(3 * time.Second)
			demand := 4 * q.rate / requestCost
			others := 0.05 * float64(size.engines*8) / simServiceTime.Seconds()
			q.hotShare = demand / (demand + others)
			f.runLoad(demand+others, 3*time.Second)
			peak := q.maxInWindow() / ((3*testRate + testBurst) * (1 + testOvershoot))
			t.Logf("%d instances: %.2f of the bound in the three seconds before the restart", size.instances, peak)
			must.LessEq(t, 1, peak)
			for _, i := range f.instances {
				f.kill(i, time.Second+time.Duration(f.rand.Int64N(int64(300*time.Millisecond))))
			}
			f.runLoad(demand+others, 3*time.Second)
			used := q.maxInWindow()
			t.Logf("%d instances: %.2f of the bound in the worst window", size.instances, used/quotaBound())
			must.LessEq(t, quotaBound(), used)
		})
	}
}
