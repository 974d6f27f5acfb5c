// Package control runs the reducer: one goroutine owns its state, passes it
// events and applies the resulting effects.
package control

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// eventQueueLength is the capacity of the event queue. Post blocks while the
// queue is full, so overload slows traffic down before it slows control down.
const eventQueueLength = 4096

// EffectHandler applies the effects of some types. It must not block, because it is
// called on the control goroutine.
type EffectHandler interface {
	// HandleEffect applies an effect and reports whether it handles effects of that
	// type.
	HandleEffect(reducer.Effect) bool
}

// Loop runs the control goroutine. It is a suture service.
type Loop struct {
	state          *reducer.State
	events         chan reducer.Event
	queries        chan func(*reducer.State)
	effectHandlers []EffectHandler
	stopped        chan struct{}
	// serveDone is closed when Serve returns; no event is processed after that.
	serveDone chan struct{}
}

// New returns a Loop for state. The Loop owns state once Serve is called.
func New(state *reducer.State) *Loop {
	return &Loop{
		state:     state,
		events:    make(chan reducer.Event, eventQueueLength),
		queries:   make(chan func(*reducer.State)),
		stopped:   make(chan struct{}),
		serveDone: make(chan struct{}),
	}
}

// Use adds effect handlers. It must not be called after Serve.
func (l *Loop) Use(handlers ...EffectHandler) {
	l.effectHandlers = append(l.effectHandlers, handlers...)
}

// Post queues an event for the reducer. It blocks while the queue is full and
// must not be called on the control goroutine. Events posted after Serve has
// returned are discarded.
func (l *Loop) Post(ev reducer.Event) {
	select {
	case l.events <- ev:
	case <-l.serveDone:
	}
}

// Stopped is closed when the reducer has nothing left to do after
// StopRequested.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Query calls f with the state on the control goroutine. If ctx ends first, it
// returns the error of ctx, and f may still run afterwards.
func (l *Loop) Query(ctx context.Context, f func(*reducer.State)) error {
	done := make(chan struct{})
	run := func(s *reducer.State) { f(s); close(done) }
	select {
	case l.queries <- run:
	case <-l.serveDone:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve processes events until ctx ends. It continues after the reducer has
// stopped, so that requests that arrive late are still refused. It must be
// called only once. A panic of the reducer means a violated invariant and is
// not recovered.
func (l *Loop) Serve(ctx context.Context) error {
	defer close(l.serveDone)
	tick := time.NewTicker(reducer.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-l.events:
			l.step(ev)
		case <-tick.C:
			l.step(reducer.Tick{})
		case q := <-l.queries:
			q(l.state)
		}
	}
}

func (l *Loop) step(ev reducer.Event) {
	for _, e := range l.state.Step(reducer.Instant(boottime.Now()), ev) {
		l.handleEffect(e)
	}
}

func (l *Loop) handleEffect(e reducer.Effect) {
	if _, ok := e.(reducer.StopComplete); ok {
		close(l.stopped)
		return
	}
	for _, h := range l.effectHandlers {
		if h.HandleEffect(e) {
			return
		}
	}
}
