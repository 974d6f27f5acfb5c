package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
)

// simLimits is the part of a simulation in which engines name rate limits. A nil
// simLimits is a simulation without limits.
type simLimits struct {
	// named holds the limits in force, by engine ID, and namedAt when each was
	// first named.
	named   map[string]float64
	namedAt map[string]Instant
	// arrivals are the requests that reached each engine.
	arrivals map[string][]simArrival
	// loss is the fraction of reports that are lost.
	loss float64
	// priorities are the priorities of the routes, which are used in turn.
	priorities []int
	// submitted holds the requests of runLoad that have not been refused.
	submitted map[simRequest]simSubmitted
	refusals  []simRefusal
	// perPriority counts the requests by priority.
	perPriority map[int]int
	// permits are the sums of CounterPermits.
	permits map[string]int64
}

// simArrival is a request that reached an engine, and when its sender was last
// disturbed.
type simArrival struct {
	at        Instant
	disturbed Instant
}

type simSubmitted struct {
	at       Instant
	priority int
}

type simRefusal struct {
	priority int
	reason   Reason
	// waited is the time from the request's arrival to its refusal.
	waited     time.Duration
	retryAfter time.Duration
}

// limitWindow is the window in which arrivals are counted, limitContact the time
// after the first statement of a limit from which it must hold.
const (
	limitWindow  = 4 * time.Second
	limitContact = 3 * time.Second
)

func newSimLimits() *simLimits {
	return &simLimits{
		named: map[string]float64{}, namedAt: map[string]Instant{}, arrivals: map[string][]simArrival{},
		priorities: []int{0}, submitted: map[simRequest]simSubmitted{}, perPriority: map[int]int{},
		permits: map[string]int64{},
	}
}

// name puts a limit in force at an engine, or changes it.
func (l *simLimits) name(f *simulation, engine string, perSecond float64) {
	if _, known := l.named[engine]; !known {
		l.namedAt[engine] = f.now
	}
	l.named[engine] = perSecond
}

// lift ends the limit of an engine.
func (l *simLimits) lift(engine string) { delete(l.named, engine) }

func (l *simLimits) lost(f *simulation) bool {
	return l != nil && l.loss > 0 && f.rand.Float64() < l.loss
}

func (l *simLimits) arrived(f *simulation, e *simEngine, job simJob) {
	if l == nil || !f.connected(e.zone, job.at.zone) {
		return
	}
	a := simArrival{at: f.now}
	if f.crashes != nil {
		a.disturbed = f.crashes.disturbed[job.at]
	}
	l.arrivals[e.id] = append(l.arrivals[e.id], a)
}

// answer sends the head of the answer.
func (l *simLimits) answer(f *simulation, e *simEngine, job simJob) {
	if l == nil {
		return
	}
	perSecond, named := l.named[e.id]
	if named || job.limited {
		f.after(simDelay, func() {
			f.stepJob(job, AnswerReceived{ID: job.id, Limit: RateLimit{Named: named, PerSecond: perSecond}})
		})
	}
}

// route returns the route of the next request of runLoad.
func (l *simLimits) route(f *simulation, i *simInstance) *routing.Route {
	if l == nil {
		return route("r", 0)
	}
	priority := l.priorities[int(f.nextID)%len(l.priorities)]
	l.submitted[simRequest{i, f.nextID}] = simSubmitted{f.now, priority}
	l.perPriority[priority]++
	return route(fmt.Sprint("r", priority), priority)
}

func (l *simLimits) counted(c Counted) {
	if l != nil && c.Counter == CounterPermits {
		l.permits[c.Label] += c.Delta
	}
}

func (l *simLimits) refused(f *simulation, i *simInstance, r Refuse) {
	if l == nil {
		return
	}
	key := simRequest{i, r.ID}
	if q, ok := l.submitted[key]; ok {
		l.refusals = append(l.refusals, simRefusal{q.priority, r.Reason, f.now.Sub(q.at), r.RetryAfter})
		delete(l.submitted, key)
	}
}

// count returns the number of requests that reached an engine in [from, to).
func (l *simLimits) count(engine string, from, to Instant) int {
	n := 0
	for _, a := range l.arrivals[engine] {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// worst returns the largest number of requests that reached an engine within
// limitWindow, from limitContact after its limit was first named. Requests from
// instances that were disturbed within contact before do not count.
func (l *simLimits) worst(engine string, until Instant, contact time.Duration) int {
	var window []Instant
	most := 0
	for _, a := range l.arrivals[engine] {
		disturbed := a.disturbed != 0 && a.at.Sub(a.disturbed) <= contact
		if a.at < l.namedAt[engine].Add(limitContact) || a.at >= until || disturbed {
			continue
		}
		window = append(window, a.at)
		window = slices.DeleteFunc(window, func(at Instant) bool { return a.at.Sub(at) >= limitWindow })
		most = max(most, len(window))
	}
	return most
}

// allowedByRule returns the number of requests within limitWindow from which
// the platform counts a limit as violated.
func allowedByRule(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// simBurst is the number of requests within limitWindow by which the limit
// itself may be exceeded: the permit that an idle endpoint has saved, and those
// in transit.
func simBurst(perSecond float64) int { return 2 + int(0.25*perSecond) }
