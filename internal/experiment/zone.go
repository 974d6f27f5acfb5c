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
	// warmUp is the time before the measured time.
	warmUp = 20 * time.Second
	// coolDown is how long the load continues after the measured time.
	coolDown = 15 * time.Second
	// retryDelay is the delay before a caller retries after a failure, and
	// before the load balancer retries if no instance is ready.
	retryDelay = 100 * time.Millisecond
	// maxFailureRetries limits the retries of a caller after a failure of a
	// call that may have run.
	maxFailureRetries = 2
)

// scheduler places calls. It is implemented by the reducer's instances, the
// reference and the plain round robin.
type scheduler interface {
	// submit accepts one attempt of a call.
	submit(c *call)
	// cancel is called when the caller's timeout has passed.
	cancel(c *call)
}

// zone simulates one availability zone with its load.
type zone struct {
	clock
	scenario       *Scenario
	file           *declared.File
	name           string
	engines        []*engine
	scheduler      scheduler
	workload       *workload
	referenceClass *declared.Class
	random         *rand.Rand
	outcome        *Outcome
	// arrivalRate is the mean number of arrivals a second, and burstRateFactor
	// multiplies it.
	arrivalRate, burstRateFactor float64
}

func newZone(s *Scenario, name string, seed uint64) *zone {
	z := &zone{
		clock: clock{now: 1}, scenario: s, file: s.File, name: name, burstRateFactor: 1,
		random: rand.New(rand.NewPCG(seed, 2)), outcome: newOutcome(),
	}
	for _, e := range s.File.EndpointsIn(name) {
		class := s.File.Class(e.Class)
		if class.Kind != declared.KindEngine {
			continue
		}
		z.engines = append(z.engines, newEngine(&z.clock, e, class, z.outcome))
		z.referenceClass = class
		z.workload = newWorkload(s.File, e.Models[0], seed)
	}
	return z
}

// run generates the load and returns the measurements.
func (z *zone) run(arrivalRate float64) *Outcome {
	z.arrivalRate = arrivalRate
	z.after(z.workload.drawInterarrival(arrivalRate), z.arrive)
	z.runUntil(z.now.Add(warmUp))
	z.outcome.measuring = true
	z.runUntil(z.now.Add(z.scenario.Duration))
	z.outcome.measuring = false
	z.runUntil(z.now.Add(coolDown))
	z.outcome.seconds = z.scenario.Duration.Seconds()
	z.outcome.forecast = z.maxSpendRate() * time.Duration(z.now).Seconds()
	return z.outcome
}

// maxSpendRate returns the zone's part of the forecast's highest spend, per
// second.
func (z *zone) maxSpendRate() float64 {
	sum := 0.0
	for i := range z.file.Organisations {
		sum += z.file.SpendRate(z.file.Organisations[i].Name, z.name)
	}
	total := float64(declared.NewForecast(z.file).Total.Highest) / declared.Month.Seconds()
	return min(sum, total)
}

func (z *zone) arrive() {
	z.after(z.workload.drawInterarrival(z.arrivalRate*z.burstRateFactor), z.arrive)
	c := z.workload.drawCall(z.now)
	c.measured = z.outcome.measuring
	if c.measured {
		addCall(z.outcome.offered, c, c.work(z.referenceClass))
	}
	z.after(c.deadline.Sub(z.now), func() { z.expireCall(c) })
	z.scheduler.submit(c)
}

func (z *zone) expireCall(c *call) {
	if !c.done {
		c.done = true
		z.scheduler.cancel(c)
	}
}

// recordFirstToken records the first token that a caller receives.
func (z *zone) recordFirstToken(c *call) {
	if c.done || c.firstTokenAt != 0 {
		return
	}
	c.firstTokenAt = z.now
	if c.measured {
		_ = z.outcome.firstToken.RecordValue(min(z.now.Sub(c.arrived), maxRecordedTime).Microseconds())
	}
}

// completeCall delivers a complete answer to the caller. It returns false if
// the caller no longer waits.
func (z *zone) completeCall(c *call) bool {
	if c.done {
		return false
	}
	c.done = true
	if c.measured {
		addCall(z.outcome.good, c, c.work(z.referenceClass))
	}
	if z.outcome.measuring {
		addCall(z.outcome.completed, c, c.work(z.referenceClass))
	}
	return true
}

// recordRunEnd completes the call of a run, or counts the prefill of the run as
// wasted.
func (z *zone) recordRunEnd(r *run, how reducer.Ended) {
	switch {
	case how == reducer.EndedBroken:
		z.outcome.addWaste(reducer.WasteBroken, r)
	case how == reducer.EndedCancelled:
		z.outcome.addWaste(reducer.WasteCancelled, r)
	case !z.completeCall(r.call):
		z.outcome.addWaste(reducer.WasteLate, r)
	}
}

// handleRefusal delivers a refusal to the caller. The caller retries a call that
// did not run after retryAfter, at most MaxRefusalRetries times, and a call that may
// have run after retryDelay, at most maxFailureRetries times.
func (z *zone) handleRefusal(c *call, reason refusal.Reason, retryAfter time.Duration) {
	if c.done {
		return
	}
	if z.outcome.measuring {
		z.outcome.refusals[string(reason)+" "+c.tier.Name]++
	}
	kind, _ := refusal.Lookup(reason)
	switch {
	case !kind.NotRun && c.failureRetries < maxFailureRetries:
		c.failureRetries++
		z.retry(c, retryDelay)
	case kind.NotRun && retryAfter > 0 && c.refusalRetries < z.scenario.MaxRefusalRetries:
		c.refusalRetries++
		z.retry(c, retryAfter)
	default:
		c.done = true
	}
}

func (z *zone) retry(c *call, delay time.Duration) {
	z.after(delay, func() {
		if !c.done {
			c.firstTokenAt = 0
			z.scheduler.submit(c)
		}
	})
}
