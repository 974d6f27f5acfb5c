package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Times of one run.
const (
	// warmUp passes before anything is counted.
	warmUp = 20 * time.Second
	// drain is how long the load goes on after the last call that counts.
	drain = 15 * time.Second
	// resendDelay is how long a caller takes to come back after a failure, and
	// how long the balancer waits where no instance is ready.
	resendDelay = 100 * time.Millisecond
	// mostResends bounds how often a caller sends again after a failure that
	// may have run.
	mostResends = 2
)

// scheduler places calls; the reducer's instances and the reference do.
type scheduler interface {
	// submit takes one attempt of a call.
	submit(c *call)
	// leave says that the caller has given up.
	leave(c *call)
}

// zone is one availability zone with its load.
type zone struct {
	clock
	scenario  *Scenario
	file      *declared.File
	name      string
	engines   []*engine
	scheduler scheduler
	workload  *workload
	reference *declared.Class
	random    *rand.Rand
	outcome   *Outcome
	// perSecond is the mean rate of arrivals, burst multiplies it.
	perSecond, burst float64
}

func newZone(s *Scenario, name string, seed uint64) *zone {
	z := &zone{
		clock: clock{now: 1}, scenario: s, file: s.File, name: name, burst: 1,
		random: rand.New(rand.NewPCG(seed, 2)), outcome: newOutcome(),
	}
	for _, e := range s.File.EndpointsIn(name) {
		class := s.File.Class(e.Class)
		if class.Kind != declared.KindEngine {
			continue
		}
		z.engines = append(z.engines, newEngine(&z.clock, e, class, z.outcome))
		z.reference = class
		z.workload = newWorkload(s.File, e.Models[0], seed)
	}
	return z
}

// run drives the load and returns what was measured.
func (z *zone) run(perSecond float64) *Outcome {
	z.perSecond = perSecond
	z.after(z.workload.gap(perSecond), z.arrive)
	z.runUntil(z.now.Add(warmUp))
	z.outcome.measuring = true
	z.runUntil(z.now.Add(z.scenario.Span))
	z.outcome.measuring = false
	z.runUntil(z.now.Add(drain))
	z.outcome.seconds = z.scenario.Span.Seconds()
	z.outcome.forecast = z.highestRate() * time.Duration(z.now).Seconds()
	return z.outcome
}

// highestRate is the zone's part of the forecast's highest bill, a second.
func (z *zone) highestRate() float64 {
	sum := 0.0
	for i := range z.file.Organisations {
		sum += z.file.SpendRate(z.file.Organisations[i].Name, z.name)
	}
	total := float64(declared.NewForecast(z.file).Total.Highest) / declared.Month.Seconds()
	return min(sum, total)
}

func (z *zone) arrive() {
	z.after(z.workload.gap(z.perSecond*z.burst), z.arrive)
	c := z.workload.draw(z.now)
	c.measured = z.outcome.measuring
	if c.measured {
		count(z.outcome.offered, c, c.work(z.reference))
	}
	z.after(c.deadline.Sub(z.now), func() { z.giveUp(c) })
	z.scheduler.submit(c)
}

func (z *zone) giveUp(c *call) {
	if !c.over {
		c.over = true
		z.scheduler.leave(c)
	}
}

// began notes the first token that a caller sees.
func (z *zone) began(c *call) {
	if c.over || c.firstAt != 0 {
		return
	}
	c.firstAt = z.now
	if c.measured {
		_ = z.outcome.firstToken.RecordValue(min(z.now.Sub(c.arrived), longestRecorded).Microseconds())
	}
}

// answered gives a caller its whole answer. It reports false where nobody
// waits for it any more.
func (z *zone) answered(c *call) bool {
	if c.over {
		return false
	}
	c.over = true
	if c.measured {
		count(z.outcome.good, c, c.work(z.reference))
	}
	if z.outcome.measuring {
		count(z.outcome.done, c, c.work(z.reference))
	}
	return true
}

// ended counts what the run's prefill was good for.
func (z *zone) ended(r *run, how reducer.Ended) {
	switch {
	case how == reducer.EndedBroken:
		z.outcome.waste(reducer.WasteBroken, r)
	case how == reducer.EndedCancelled:
		z.outcome.waste(reducer.WasteCancelled, r)
	case !z.answered(r.call):
		z.outcome.waste(reducer.WasteLate, r)
	}
}

// refused gives a caller its refusal. A caller comes back after RetryAfter a
// bounded number of times, and sends again at once what may have run.
func (z *zone) refused(c *call, why refusal.Reason, retryAfter time.Duration) {
	if c.over {
		return
	}
	if z.outcome.measuring {
		z.outcome.refusals[string(why)+" "+c.tier.Name]++
	}
	kind, _ := refusal.Lookup(why)
	switch {
	case !kind.NotRun && c.resends < mostResends:
		c.resends++
		z.resend(c, resendDelay)
	case kind.NotRun && retryAfter > 0 && c.comebacks < z.scenario.Comebacks:
		c.comebacks++
		z.resend(c, retryAfter)
	default:
		c.over = true
	}
}

func (z *zone) resend(c *call, after time.Duration) {
	z.after(after, func() {
		if !c.over {
			c.firstAt = 0
			z.scheduler.submit(c)
		}
	})
}
