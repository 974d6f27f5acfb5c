package experiment

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Policy is the name of a placement policy.
type Policy string

// The policies of one table. Random, RoundRobin and LeastOutstanding replace
// only the reducer's placement and keep its admission. Plain uses neither.
const (
	Cost             Policy = "cost"
	Random           Policy = "random"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
	Reference        Policy = "all-seeing"
	Plain            Policy = "plain round robin"
)

// Policies returns the policies in the order of the table's columns.
func Policies() []Policy {
	return []Policy{Cost, Random, RoundRobin, LeastOutstanding, Plain, Reference}
}

var reducerPolicies = map[Policy]reducer.Policy{
	Cost: reducer.PolicyCost, Random: reducer.PolicyRandom,
	RoundRobin: reducer.PolicyRoundRobin, LeastOutstanding: reducer.PolicyLeastOutstanding,
}

// Scenario is one deployment with one load.
type Scenario struct {
	Deployment string
	File       *declared.File
	// Instances is the number of instances in all zones of the deployment.
	Instances int
	// LoadFraction is the offered work as a fraction of the zone's measured capacity.
	LoadFraction float64
	Faults       bool
	// Duration is the length of the measured time.
	Duration time.Duration
	// MaxRefusalRetries limits how often a refused caller retries.
	MaxRefusalRetries int
}

// Capacity is the maximum rate of the engines of one zone: the calls a second,
// and their work in engine seconds a second.
type Capacity struct{ callsPerSecond, workPerSecond float64 }

// MeasureCapacities measures every zone of a file with a constant backlog and
// without deadlines.
func MeasureCapacities(f *declared.File, seed uint64) map[string]Capacity {
	capacities := map[string]Capacity{}
	for _, name := range f.Zones() {
		capacities[name] = measureCapacity(f, name, seed)
	}
	return capacities
}

// backlogCalls is the number of calls that wait while a capacity is measured.
const backlogCalls = 50

func measureCapacity(f *declared.File, name string, seed uint64) Capacity {
	z := newZone(&Scenario{File: f}, name, seed)
	s := newReference(z)
	z.scheduler = s
	z.every(10*time.Millisecond, func() {
		for len(s.queues[0]) < backlogCalls {
			c := z.workload.drawCall(z.now)
			c.deadline = c.deadline.Add(time.Hour)
			s.queues[0] = append(s.queues[0], c)
		}
		s.dispatchQueued()
	})
	const span = time.Minute
	z.runUntil(z.now.Add(warmUp))
	z.outcome.measuring = true
	z.runUntil(z.now.Add(span))
	completed := tierTotal(z.outcome.completed, 0)
	return Capacity{float64(completed.calls) / span.Seconds(), completed.work / span.Seconds()}
}

// Run measures one scenario with one policy in all zones.
func Run(s Scenario, p Policy, capacities map[string]Capacity, seed uint64) *Outcome {
	sum := newOutcome()
	zones := s.File.Zones()
	for i, name := range zones {
		z := newZone(&s, name, seed+uint64(i)*1000)
		size := s.Instances / len(zones)
		if i < s.Instances%len(zones) {
			size++
		}
		z.startScheduler(p, size)
		out := z.run(s.LoadFraction * capacities[name].callsPerSecond)
		out.capacity = capacities[name].workPerSecond * s.Duration.Seconds()
		sum.merge(out)
	}
	return sum
}

func (z *zone) startScheduler(p Policy, size int) {
	switch p {
	case Reference:
		z.scheduler = newReference(z)
	case Plain:
		z.scheduler = &plainRoundRobin{zone: z, running: map[*call]*run{}}
	default:
		f := newFleet(z, reducerPolicies[p], size)
		z.scheduler = f
		if z.scenario.Faults {
			f.scheduleFaults()
		}
	}
	if z.scenario.Faults {
		z.scheduleFaults()
	}
}

// Times of faults as fractions of the measured time, and their sizes.
const (
	stragglerStart, stragglerEnd = 0.1, 0.45
	crashAt                      = 0.3
	killAt                       = 0.55
	burstAt                      = 0.8
	replacementDelay             = 2 * time.Second
	burstDuration                = time.Second
	burstFactor                  = 10
	stragglerFactor              = 5
)

// atFraction runs f after a fraction of the measured time.
func (z *zone) atFraction(fraction float64, f func()) {
	z.after(warmUp+time.Duration(fraction*float64(z.scenario.Duration)), f)
}

// scheduleFaults schedules the faults of engines and a burst of calls.
func (z *zone) scheduleFaults() {
	straggler := z.engines[z.random.IntN(len(z.engines))]
	z.atFraction(stragglerStart, func() { straggler.slowdown = stragglerFactor })
	z.atFraction(stragglerEnd, func() { straggler.slowdown = 1 })
	z.atFraction(crashAt, z.engines[z.random.IntN(len(z.engines))].crash)
	z.atFraction(burstAt, func() {
		z.burstRateFactor = burstFactor
		z.after(burstDuration, func() { z.burstRateFactor = 1 })
	})
}

// scheduleFaults schedules the faults of instances: reports are late, and one
// instance is replaced unless it is the only one of the zone.
func (f *fleet) scheduleFaults() {
	f.lateReports = true
	if len(f.instances) < 2 {
		return
	}
	f.zone.atFraction(killAt, func() {
		killed := f.instances[0]
		killed.kill()
		f.zone.after(replacementDelay, func() { f.start(killed.name) })
	})
}
