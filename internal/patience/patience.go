// Package patience decides how long a request may wait for an endpoint, in which order
// waiting requests are served, and which of them are refused at once.
//
// A response within its latency target is worth most, a later one within the caller's
// deadline still something, a refusal nothing. So a request that can't meet its target any
// more gives way to those that can, and waits on while it can be served before its deadline.
//
// The inputs are those of one instance: the limits of the request, the moving averages of
// how long the route's recent requests ran (as old as the last completed request), and the
// queue with the rate at which it was recently served (some seconds). internal/scheduler
// calls the package for each waiting request at arrival and at each tick. The package does
// no I/O and reads no clock.
package patience

import "time"

// Time is a point in time on the monotonic clock of this instance.
type Time = time.Duration

const (
	// runMargin multiplies the expected time of a run: the times of a route's requests
	// differ, and a request that is started too late costs a slot for nothing.
	runMargin = 1.25
	// maxWaitFraction is the largest fraction of the caller's time that a request waits. The
	// rest is left for the run, or for one more attempt of a refused caller.
	maxWaitFraction = 0.5
	// unknownRunFraction is the fraction of the latency target that a run is expected to
	// take while no request of the route has completed.
	unknownRunFraction = 0.5
)

// Request is what is known of a waiting request.
type Request struct {
	Arrived Time
	// Target is the route's latency objective. It is met by the first event of a stream or
	// the end of a plain answer.
	Target time.Duration
	// CallerDeadline is until when the caller waits, Deadline the earlier one of that and
	// the route's timeout.
	CallerDeadline, Deadline Time
	// GivesUpAfter is the time without any output after which the caller leaves; zero if it
	// stays until its deadline.
	GivesUpAfter time.Duration
	// FirstOutput and Run are the expected times from the dispatch to what meets the
	// target and to the end of the answer; zero if unknown.
	FirstOutput, Run time.Duration
}

// InTimeUntil returns the latest start that still meets the latency target.
func (r Request) InTimeUntil() Time {
	return r.Arrived + r.Target - withMargin(r.FirstOutput, r.Target)
}

// WaitsUntil returns until when the request may wait.
func (r Request) WaitsUntil() Time {
	half := time.Duration(maxWaitFraction * float64(max(r.CallerDeadline-r.Arrived, 0)))
	until := min(r.Deadline-withMargin(r.Run, r.Target), r.Arrived+half)
	if r.GivesUpAfter > 0 {
		until = min(until, r.Arrived+r.GivesUpAfter-withMargin(r.FirstOutput, r.Target))
	}
	return until
}

func withMargin(run, target time.Duration) time.Duration {
	if run <= 0 {
		return time.Duration(unknownRunFraction * float64(target))
	}
	return time.Duration(runMargin * float64(run))
}

// Late reports whether the request can't meet its target any more.
func (r Request) Late(now Time) bool { return now > r.InTimeUntil() }

// Key orders waiting requests. The zero value of Late gives the order by rank alone.
type Key struct {
	// Late is set for a request that can't meet its target any more.
	Late bool
	// Route and Organisation are the priorities; lower values are more urgent.
	Route, Organisation int
}

// Less reports whether requests with key k precede those with the other key. Late requests
// follow those of all ranks that are in time: their response is worth less than any of these.
func (k Key) Less(other Key) bool {
	switch {
	case k.Late != other.Late:
		return other.Late
	case k.Route != other.Route:
		return k.Route < other.Route
	}
	return k.Organisation < other.Organisation
}

// Queue is what is known of the requests ahead of a waiting one.
type Queue struct {
	// Ahead is the number of requests that are dispatched before.
	Ahead int
	// PerSecond is the rate at which waiting requests can be expected to be dispatched;
	// zero if unknown.
	PerSecond float64
}

// Wait returns the expected time until the requests ahead are dispatched, and whether it
// is known.
func (q Queue) Wait() (wait time.Duration, known bool) {
	if q.PerSecond <= 0 {
		return 0, false
	}
	return time.Duration(min(float64(q.Ahead)/q.PerSecond, maxWaitSeconds) * float64(time.Second)), true
}

// maxWaitSeconds limits an expected wait; no caller waits that long.
const maxWaitSeconds = 3600

// Hopeless reports whether a waiting request is expected to wait longer than it may.
func Hopeless(r Request, q Queue, now Time) bool {
	wait, known := q.Wait()
	return known && now+wait > r.WaitsUntil()
}
