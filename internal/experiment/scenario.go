package experiment

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Policy names what places the calls.
type Policy string

// The policies of one table. Random, RoundRobin and LeastOutstanding replace the
// reducer's placement alone and keep its admission; Plain has neither.
const (
	Cost             Policy = "cost"
	Random           Policy = "random"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
	Reference        Policy = "all-seeing"
	Plain            Policy = "plain round robin"
)

// Policies lists them in the order of the table's columns.
func Policies() []Policy {
	return []Policy{Cost, Random, RoundRobin, LeastOutstanding, Plain, Reference}
}

var reducerPolicies = map[Policy]reducer.Policy{
	Cost: reducer.PolicyCost, Random: reducer.PolicyRandom,
	RoundRobin: reducer.PolicyRoundRobin, LeastOutstanding: reducer.PolicyLeastOutstanding,
}

// Scenario is one deployment under one load.
type Scenario struct {
	Deployment string
	File       *declared.File
	// Instances is how many the deployment has over its zones.
	Instances int
	// Load is the offered work as a part of the zone's measured best.
	Load   float64
	Faults bool
	// Span is the time that is measured.
	Span time.Duration
	// Comebacks bounds how often a refused caller comes back.
	Comebacks int
}

// Best is what the engines of one zone can do: the arrivals and the work in
// engine seconds, each a second.
type Best struct{ calls, work float64 }

// Bests measures every zone of a file under a backlog without deadlines.
func Bests(f *declared.File, seed uint64) map[string]Best {
	bests := map[string]Best{}
	for _, name := range f.Zones() {
		bests[name] = measureBest(f, name, seed)
	}
	return bests
}

// backlog is how many calls wait while the best is measured.
const backlog = 50

func measureBest(f *declared.File, name string, seed uint64) Best {
	z := newZone(&Scenario{File: f}, name, seed)
	s := newReference(z)
	z.scheduler = s
	z.every(10*time.Millisecond, func() {
		for len(s.queues[0]) < backlog {
			c := z.workload.draw(z.now)
			c.deadline = c.deadline.Add(time.Hour)
			s.queues[0] = append(s.queues[0], c)
		}
		s.fill()
	})
	const span = time.Minute
	z.runUntil(z.now.Add(warmUp))
	z.outcome.measuring = true
	z.runUntil(z.now.Add(span))
	done := tier(z.outcome.done, 0)
	return Best{float64(done.calls) / span.Seconds(), done.work / span.Seconds()}
}

// Run measures one scenario under one policy over all zones.
func Run(s Scenario, p Policy, bests map[string]Best, seed uint64) *Outcome {
	sum := newOutcome()
	zones := s.File.Zones()
	for i, name := range zones {
		z := newZone(&s, name, seed+uint64(i)*1000)
		size := s.Instances / len(zones)
		if i < s.Instances%len(zones) {
			size++
		}
		z.schedule(p, size)
		out := z.run(s.Load * bests[name].calls)
		out.best = bests[name].work * s.Span.Seconds()
		sum.add(out)
	}
	return sum
}

func (z *zone) schedule(p Policy, size int) {
	switch p {
	case Reference:
		z.scheduler = newReference(z)
	case Plain:
		z.scheduler = &plain{zone: z, running: map[*call]*run{}}
	default:
		f := newFleet(z, reducerPolicies[p], size)
		z.scheduler = f
		if z.scenario.Faults {
			f.planFaults()
		}
	}
	if z.scenario.Faults {
		z.planFaults()
	}
}

// Faults, as parts of the measured span.
const (
	stragglerFrom, stragglerTo = 0.1, 0.45
	crashAt                    = 0.3
	killAt                     = 0.55
	burstAt                    = 0.8
	replaceAfter               = 2 * time.Second
	burstSpan                  = time.Second
	burstFactor                = 10
	stragglerFactor            = 5
)

// at runs f at a part of the measured span.
func (z *zone) at(part float64, f func()) {
	z.after(warmUp+time.Duration(part*float64(z.scenario.Span)), f)
}

// planFaults plans what happens to engines and callers.
func (z *zone) planFaults() {
	slow := z.engines[z.random.IntN(len(z.engines))]
	z.at(stragglerFrom, func() { slow.slowness = stragglerFactor })
	z.at(stragglerTo, func() { slow.slowness = 1 })
	z.at(crashAt, z.engines[z.random.IntN(len(z.engines))].crash)
	z.at(burstAt, func() {
		z.burst = burstFactor
		z.after(burstSpan, func() { z.burst = 1 })
	})
}

// planFaults plans what happens to instances: one is replaced, unless it is
// the zone's only one.
func (f *fleet) planFaults() {
	f.late = true
	if len(f.instances) < 2 {
		return
	}
	f.zone.at(killAt, func() {
		killed := f.instances[0]
		killed.kill()
		f.zone.after(replaceAfter, func() { f.start(killed.name) })
	})
}
