package gateway

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// eventQueueSize is the number of events that may be queued for the scheduler.
// Post blocks while the queue is full.
const eventQueueSize = 1024

// Loop runs the scheduler's state machine on one goroutine. It is a suture
// service.
type Loop struct {
	state  *scheduler.State
	now    func() scheduler.Instant
	events chan scheduler.Event
	// ended is closed when Serve returns.
	ended          chan struct{}
	effectHandlers []func(scheduler.Effect) bool
}

// NewLoop returns a Loop that owns state once Serve is called.
func NewLoop(state *scheduler.State, now func() scheduler.Instant) *Loop {
	return &Loop{
		state: state, now: now,
		events: make(chan scheduler.Event, eventQueueSize),
		ended:  make(chan struct{}),
	}
}

// AddEffectHandlers adds functions that apply effects. Each reports whether it handles an
// effect of that type, and must not block. AddEffectHandlers must not be called after Serve.
func (l *Loop) AddEffectHandlers(handlers ...func(scheduler.Effect) bool) {
	l.effectHandlers = append(l.effectHandlers, handlers...)
}

// Post sends an event to the scheduler. It drops the event once Serve has
// returned.
func (l *Loop) Post(ev scheduler.Event) {
	select {
	case l.events <- ev:
	case <-l.ended:
	}
}

// Serve runs until ctx is done. It is called once. A panic in the scheduler is
// a violated invariant and is not recovered.
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
		for _, handleEffect := range l.effectHandlers {
			if handleEffect(e) {
				break
			}
		}
	}
}
