package gateway

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// eventQueue bounds the events that wait for the scheduler. A poster that
// meets a full queue waits.
const eventQueue = 1024

// Loop owns the scheduler's state on one goroutine. It is a suture service.
type Loop struct {
	state  *scheduler.State
	now    func() scheduler.Instant
	events chan scheduler.Event
	// ended is closed when Serve returns.
	ended    chan struct{}
	carriers []func(scheduler.Effect) bool
}

// NewLoop returns a loop that owns state from the call of Serve on.
func NewLoop(state *scheduler.State, now func() scheduler.Instant) *Loop {
	return &Loop{
		state: state, now: now,
		events: make(chan scheduler.Event, eventQueue),
		ended:  make(chan struct{}),
	}
}

// Use adds functions that carry effects out. Each reports whether an effect
// was of its kind, and must not block. Use must not be called after Serve.
func (l *Loop) Use(carriers ...func(scheduler.Effect) bool) {
	l.carriers = append(l.carriers, carriers...)
}

// Post hands an event to the scheduler.
func (l *Loop) Post(ev scheduler.Event) {
	select {
	case l.events <- ev:
	case <-l.ended:
	}
}

// Serve runs until ctx ends. It is called once. A panic of the scheduler is a
// broken invariant and is not recovered.
func (l *Loop) Serve(ctx context.Context) error {
	defer close(l.ended)
	tick := time.NewTicker(scheduler.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-l.events:
			l.step(ev)
		case <-tick.C:
			l.step(scheduler.Tick{})
		}
	}
}

func (l *Loop) step(ev scheduler.Event) {
	for _, e := range l.state.Step(l.now(), ev) {
		for _, carry := range l.carriers {
			if carry(e) {
				break
			}
		}
	}
}
