package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simRests is the part of a simulation in which engines reject requests and ask the
// instance for a rest, or say that they leave. A nil simRests is a simulation in which
// none does.
type simRests struct {
	// resting holds, by engine, until when it rejects and the rest that it asks for.
	resting map[string]simRest
	// asked holds what engines asked instances for.
	asked map[simAsk]simAsked
	// late counts the requests of an instance to an engine later than restContact after
	// it was asked for a rest and before its end; worst is the highest number.
	worst int
	// leaving holds since when an engine has said that it leaves, lateLeaving counts the
	// requests sent later than leavingContact after that.
	leaving     map[string]Instant
	lateLeaving int
}

type simRest struct {
	until Instant
	ask   time.Duration
}

type simAsk struct {
	at          *simInstance
	incarnation uint64
	engine      string
}

type simAsked struct {
	at, until Instant
	late      int
}

const (
	// restContact is the time after the rejection from which at most restAllowed requests
	// may arrive, leavingContact that after the first word of leaving.
	restContact    = 500 * time.Millisecond
	restAllowed    = 2
	leavingContact = 2 * time.Second
)

func newSimRests() *simRests {
	return &simRests{resting: map[string]simRest{}, asked: map[simAsk]simAsked{}, leaving: map[string]Instant{}}
}

// arrived counts a request and reports whether the engine rejects it.
func (r *simRests) arrived(f *simulation, e *simEngine, job simJob) bool {
	if r == nil {
		return false
	}
	if since, leaving := r.leaving[e.id]; leaving && job.sent.Sub(since) > leavingContact && f.crashes.undisturbed(f, job.at) {
		r.lateLeaving++
	}
	key := simAsk{job.at, job.incarnation, e.id}
	if asked, known := r.asked[key]; known && f.now.Sub(asked.at) > restContact && f.now < asked.until {
		asked.late++
		r.asked[key] = asked
		if f.crashes.undisturbed(f, job.at) {
			r.worst = max(r.worst, asked.late)
		}
	}
	rest, resting := r.resting[e.id]
	if !resting || f.now >= rest.until {
		return false
	}
	if _, known := r.asked[key]; !known || f.now >= r.asked[key].until {
		r.asked[key] = simAsked{at: f.now, until: f.now.Add(rest.ask)}
	}
	f.after(simDelay, func() {
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: NotRun, RetryAfter: rest.ask}})
	})
	return true
}

// answered says that the engine leaves.
func (r *simRests) answered(f *simulation, e *simEngine, job simJob) {
	if r == nil {
		return
	}
	if _, leaving := r.leaving[e.id]; leaving {
		f.stepJob(job, AnswerReceived{ID: job.id, Leaving: true})
	}
}

// undisturbed reports whether an instance had no fault for simContact.
func (c *simCrashes) undisturbed(f *simulation, i *simInstance) bool {
	return c == nil || c.disturbed[i] == 0 || f.now.Sub(c.disturbed[i]) > simContact
}

// Guards against an endpoint that gets requests from an instance that it has asked for
// a rest: some engines, or all, reject for some seconds.
func TestRestOfEndpointsIsKept(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		for _, share := range []float64{0.2, 1} {
			t.Run(fmt.Sprintf("%d_%.1f", size.instances, share), func(t *testing.T) {
				t.Parallel()
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rests, f.links = newSimRests(), newSimLinks()
				f.advance(3 * time.Second)
				load := 0.4 * float64(size.engines*size.slots) / simServiceTime.Seconds()
				f.runLoad(load, time.Second)
				for n := range int(share * float64(size.engines)) {
					f.rests.resting[fmt.Sprintf("e%d", n)] = simRest{f.now.Add(4 * time.Second), 3 * time.Second}
				}
				f.runLoad(load, 7*time.Second)
				end := f.now
				f.runLoad(load, 2*time.Second)
				f.advance(2 * time.Second)
				served, all, reasons := f.links.served(end, f.now, false)
				t.Logf("at most %d requests in a rest; afterwards %d of %d served (%v)", f.rests.worst, served, all, reasons)
				must.LessEq(t, restAllowed, f.rests.worst)
				must.GreaterEq(t, 49*all/50, served)
			})
		}
	}
}

// Guards against an endpoint that gets new work after it has said in an answer that it
// leaves, although its entry is ready: drawn schedules of kills, restarts, pauses and
// partitions, and entries that are listed again.
func TestEndpointsThatSayTheyLeaveGetNoMoreWork(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots, seeds int }{{6, 18, 10, 10}, {12, 18, 10, 5}, {84, 90, 6, 1}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.rests, f.crashes = newSimRests(), newSimCrashes(noCrash)
				f.advance(3 * time.Second)
				load := 0.2 * float64(size.engines*size.slots) / simServiceTime.Seconds()
				f.injectFaults(time.Second, 8*time.Second)
				for n := range 3 {
					f.after(time.Duration(n)*time.Second, func() { f.rests.leaving[fmt.Sprintf("e%d", n)] = f.now })
				}
				f.after(5*time.Second, func() { f.publish(f.entry(f.engines["e0"]), f.entry(f.engines["e1"])) })
				f.runLoad(load, 10*time.Second)
				if seed < 2 || f.rests.lateLeaving > 0 {
					t.Logf("seed %d: %d late requests", seed, f.rests.lateLeaving)
				}
				must.Eq(t, 0, f.rests.lateLeaving, must.Sprint(seed))
			}
		})
	}
}
