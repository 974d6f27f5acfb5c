// Package control owns the reducer's state on one goroutine, feeds it events
// and carries its effects out.
package control

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// eventQueue bounds the events that wait for the control goroutine. A poster
// that meets a full queue waits: traffic slows down before control does.
const eventQueue = 4096

// Carrier carries out one kind of effect. It must not block: it is called on
// the control goroutine.
type Carrier interface {
	// Carry takes an effect and reports whether it was of its kind.
	Carry(reducer.Effect) bool
}

// Loop is the control goroutine. It is a suture service.
type Loop struct {
	state    *reducer.State
	events   chan reducer.Event
	queries  chan func(*reducer.State)
	carriers []Carrier
	stopped  chan struct{}
	// ended is closed when Serve returns: nobody takes events any more.
	ended chan struct{}
}

// New returns a loop that owns state from the call of Serve on.
func New(state *reducer.State) *Loop {
	return &Loop{
		state:   state,
		events:  make(chan reducer.Event, eventQueue),
		queries: make(chan func(*reducer.State)),
		stopped: make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

// Use adds carriers. It must not be called after Serve.
func (l *Loop) Use(carriers ...Carrier) { l.carriers = append(l.carriers, carriers...) }

// Post hands an event to the reducer. It waits while the queue is full and
// must not be called on the control goroutine.
func (l *Loop) Post(ev reducer.Event) {
	select {
	case l.events <- ev:
	case <-l.ended:
	}
}

// Stopped is closed when the reducer has nothing left to do after
// StopRequested.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Query runs f with the state on the control goroutine. It returns the error
// of ctx if that ends first; f may then still run.
func (l *Loop) Query(ctx context.Context, f func(*reducer.State)) error {
	done := make(chan struct{})
	run := func(s *reducer.State) { f(s); close(done) }
	select {
	case l.queries <- run:
	case <-l.ended:
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

// Serve runs until ctx ends, also after the reducer has stopped: callers that
// come late still get their refusal. It is called once. A panic of the reducer
// is a broken invariant and is not recovered.
func (l *Loop) Serve(ctx context.Context) error {
	defer close(l.ended)
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
		l.carry(e)
	}
}

func (l *Loop) carry(e reducer.Effect) {
	if _, ok := e.(reducer.StopComplete); ok {
		close(l.stopped)
		return
	}
	for _, c := range l.carriers {
		if c.Carry(e) {
			return
		}
	}
}
