package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/patience"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/shutdown"
)

// maxWaiting limits the requests that wait at an instance until their deadline. Besides
// its body, which the gateway's budget for bodies covers, each holds a connection with its
// buffers and a goroutine: estimated, not measured, at 32 KB, or 16 MB in all, less than a
// fifth of the smallest machine's 88 MB.
const maxWaiting = 512

// runTimes are moving averages of a route's completed requests: from the dispatch to the
// first output, or to the end of a plain answer, and to the end.
type runTimes struct {
	first, whole float64
	// longest is the longest recent one.
	longest time.Duration
}

// recordRun adds a completed request to the averages of its route. The answer of a stream
// that was taken up is only a part of one.
func (p *pool) recordRun(r *request, a Attempt, now Instant) {
	if a.FirstByte <= 0 || r.bound {
		return
	}
	first, whole := float64(a.FirstByte), float64(max(now.Sub(r.dispatched), a.FirstByte))
	t, known := p.runs[r.Route.Name]
	if !known {
		t = runTimes{first: first, whole: whole}
	}
	t.first += latencyWeight * (first - t.first)
	t.whole += latencyWeight * (whole - t.whole)
	t.longest = shutdown.UpdateLongest(t.longest, time.Duration(whole))
	p.runs[r.Route.Name] = t
	if p.slotTime == 0 {
		p.slotTime = whole
	}
	p.slotTime += latencyWeight * (whole - p.slotTime)
}

// patienceOf returns what is known of a waiting request.
func (p *pool) patienceOf(r *request) patience.Request {
	t := p.runs[r.Route.Name]
	out := patience.Request{
		Arrived: patience.Time(r.arrived), Target: r.Route.Target,
		CallerDeadline: patience.Time(r.CallerDeadline), Deadline: patience.Time(r.Deadline),
		FirstOutput: time.Duration(t.first), Run: time.Duration(t.whole),
	}
	if r.Route.Kind == routing.Stream {
		out.GivesUpAfter = r.callerPatience()
	}
	return out
}

// dispatchRate returns the rate per second at which waiting requests can be expected to be
// dispatched: the recent one, or this instance's equal part of the endpoints' slots by the
// time that requests hold them, which is more after a time of low load. It is zero while no
// request has completed.
func (s *State) dispatchRate(p *pool) float64 {
	slots := 0.0
	for _, e := range p.endpoints {
		if !e.unassigned && s.usable(e) {
			slots += float64(e.slots) / float64(s.instancesUsing(e))
		}
	}
	if p.slotTime <= 0 {
		return 0
	}
	return max(p.dispatches.perSecond, slots/time.Duration(p.slotTime).Seconds())
}

// queueAhead returns the queue ahead of the requests from index k on.
func (s *State) queueAhead(p *pool, k int) patience.Queue {
	return patience.Queue{Ahead: k, PerSecond: s.dispatchRate(p)}
}

// reviewWaiting moves the requests that can't meet their latency target any more behind
// the others and refuses those that can't be served before their deadline, if requests
// wait that long. Permits and the owners of brittle endpoints have rules of their own.
func (s *State) reviewWaiting(p *pool) {
	if !s.cfg.WaitForDeadline || len(p.waiting) == 0 {
		return
	}
	for _, r := range p.waiting {
		r.late = !r.bound && p.patienceOf(r).Late(patience.Time(s.now))
	}
	slices.SortStableFunc(p.waiting, func(a, b *request) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	s.boundWaiting(p)
	if p.brittle.Named || s.allLimited(p) {
		return
	}
	queue := s.queueAhead(p, 0)
	for _, r := range slices.Clone(p.waiting) {
		if !r.mayHaveRun && patience.Hopeless(p.patienceOf(r), queue, patience.Time(s.now)) {
			s.refuseWaiting(p, r, ExpectedDelay)
			continue
		}
		queue.Ahead++
	}
}

// boundWaiting refuses the last requests of a queue while too many wait at this instance.
func (s *State) boundWaiting(p *pool) {
	waiting := 0
	for _, other := range s.poolOrder {
		waiting += len(other.waiting)
	}
	for k := len(p.waiting) - 1; k >= 0 && waiting > maxWaiting; k-- {
		if r := p.waiting[k]; !r.mayHaveRun {
			s.refuseWaiting(p, r, QueueFull)
			waiting--
		}
	}
}

func (s *State) refuseWaiting(p *pool, r *request, reason Reason) {
	p.dequeue(r)
	s.refuseHeld(r, reason)
}

// queueRetryAfter returns the time after which the requests will have been dispatched that
// a new one of the same rank would have to wait for.
func (s *State) queueRetryAfter(r *request) time.Duration {
	p, fresh := s.pool(r.Service), r.orderKey()
	fresh.Late = false
	ahead := sort.Search(len(p.waiting), func(i int) bool { return fresh.Less(p.waiting[i].orderKey()) })
	wait, _ := s.queueAhead(p, ahead).Wait()
	return s.jitteredRetryAfter(r, max(minRetryAfter, wait))
}

// waitBasis returns the inputs of the decision how long a request may wait, as log fields.
func (s *State) waitBasis(r *request, p *pool) []any {
	if !s.cfg.WaitForDeadline {
		return nil
	}
	of := p.patienceOf(r)
	wait, _ := s.queueAhead(p, len(p.waiting)).Wait()
	return []any{"late", r.late, "waited_ms", s.now.Sub(r.arrived).Milliseconds(),
		"may_wait_ms", (of.WaitsUntil() - of.Arrived).Milliseconds(), "queue_wait_ms", wait.Milliseconds(),
		"first_output_ms", of.FirstOutput.Milliseconds(), "run_ms", of.Run.Milliseconds()}
}

// expireQueued refuses requests that have reached their queue deadline.
func (s *State) expireQueued() {
	for _, p := range s.poolOrder {
		var expired []*request
		rate, limited := 0.0, len(p.waiting) > 0 && s.allLimited(p)
		if limited {
			rate = s.limitedRate(p)
		}
		for _, r := range slices.Concat(p.waiting, p.held, p.looking) {
			deadline := s.leavesQueueAt(r)
			if limited {
				deadline = r.queueDeadline(r.limitedWait(rate))
			}
			if s.now >= deadline {
				expired = append(expired, r)
			}
		}
		for _, r := range expired {
			p.dequeue(r)
			reason := QueueDelay
			switch {
			case s.now >= r.Deadline:
				reason = DeadlinePassed
			case limited:
				reason = LimitReached
			}
			s.refuseHeld(r, reason)
		}
		s.reviewWaiting(p)
	}
}

// leavesQueueAt returns the time at which a request leaves the queue of a service whose
// endpoints do not all limit the rate of requests.
func (s *State) leavesQueueAt(r *request) Instant {
	if !s.cfg.WaitForDeadline || r.mayHaveRun {
		return r.queueDeadline(maxQueueTime(r.Route.Target))
	}
	return Instant(s.pool(r.Service).patienceOf(r).WaitsUntil())
}

// queueDeadline returns the time at which the request leaves the queue. A
// request that may have run, or whose answer has started, can only wait for
// another endpoint until its deadline.
func (r *request) queueDeadline(maxWait time.Duration) Instant {
	if r.mayHaveRun && r.bound {
		return min(r.Deadline, r.queued.Add(r.callerPatience()))
	}
	if r.mayHaveRun {
		return r.Deadline
	}
	return min(r.Deadline, r.arrived.Add(maxWait))
}
