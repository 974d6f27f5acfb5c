// Package traffic transfers request bodies and answers between callers and
// endpoints. The reducer decides what happens to a request; this package applies
// the resulting effects on its own goroutines and reports the results as events.
package traffic

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Usage is the token usage that an engine reports for a run.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Call is a request as it is sent to an endpoint. It is sent at most once.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Digest is a cryptographic digest of organisation and content. It is part
	// of the request ID that endpoints receive.
	Digest string
	// Engine is true if the answer is an event stream that can be resumed.
	Engine bool
	// ReadUsage reads the usage from one event of an engine's answer. ok is
	// false if the event carries no usage; usageOnly is true if it carries
	// nothing else.
	ReadUsage func(event []byte) (u Usage, usageOnly, ok bool)
	// HideUsage drops events that carry only usage, which the caller did not
	// request.
	HideUsage bool
}

// Config configures an Exchange.
type Config struct {
	Incarnation reducer.Incarnation
	Client      *endpoint.Client
	// Post passes an event to the reducer.
	Post func(reducer.Event)
	// AnswerLimit is the maximum number of bytes kept of one answer.
	AnswerLimit int
	// KeptLimit is the maximum total size, in bytes, of all complete answers
	// that are kept for callers that send their request again.
	KeptLimit int64
}

// Exchange connects waiting callers to the runs that answer them.
type Exchange struct {
	cfg Config
	// lastWaiter is the number of the waiter that was created last.
	lastWaiter atomic.Uint64

	mu      sync.Mutex
	waiters map[reducer.Waiter]*Waiter
	runs    map[reducer.RequestID]*run
	kept    keptAnswers
}

// New returns an Exchange.
func New(cfg Config) *Exchange {
	return &Exchange{
		cfg: cfg, waiters: map[reducer.Waiter]*Waiter{}, runs: map[reducer.RequestID]*run{},
		kept: keptAnswers{sizes: map[reducer.RequestID]int64{}},
	}
}

// Waiter represents one caller that waits for an answer.
type Waiter struct {
	id       reducer.Waiter
	exchange *Exchange
	call     *Call
	// decisions is written by the control goroutine. Its capacity covers every
	// decision that a waiter can receive, so that a send never blocks.
	decisions    chan Decision
	refused      chan struct{}
	refuseOnce   sync.Once
	finalRefusal reducer.Refused
	reader       *answerReader
}

// Decision is the reducer's decision on a waiter's request.
type Decision struct {
	Request reducer.RequestID
	Ticket  reducer.Ticket
	// Refused is set for a final refusal.
	Refused *reducer.Refused
	// Answer is set if an answer can be read.
	Answer *Answer
}

// Answer reads the answer of a run for one waiter.
type Answer struct {
	reader *answerReader
	waiter *Waiter
}

// Head waits for the status and the header. It returns an error if the run
// ended without an answer; Refused then returns the reason.
func (a *Answer) Head() (int, http.Header, error) { return a.reader.head() }

// Read returns io.EOF only after a complete answer.
func (a *Answer) Read(p []byte) (int, error) { return a.reader.Read(p) }

// Refused returns the reducer's refusal of a run that failed. If none arrives
// within a second, it returns EndpointFailed.
func (a *Answer) Refused() reducer.Refused {
	select {
	case <-a.waiter.refused:
		return a.waiter.finalRefusal
	case <-time.After(time.Second):
		kind, _ := refusal.Lookup(refusal.EndpointFailed)
		return reducer.Refused{Reason: refusal.EndpointFailed, RetryAfter: kind.RetryAfter}
	}
}

// Submit passes a request to the reducer. The caller must call Detach on the
// returned Waiter.
func (x *Exchange) Submit(q reducer.Request, call *Call) *Waiter {
	w := &Waiter{
		id: reducer.Waiter(x.lastWaiter.Add(1)), exchange: x, call: call,
		decisions: make(chan Decision, 4), refused: make(chan struct{}),
	}
	x.mu.Lock()
	x.waiters[w.id] = w
	x.mu.Unlock()
	x.cfg.Post(reducer.RequestArrived{Request: q, Waiter: w.id})
	return w
}

// Next returns the next decision, or an error when ctx ends.
func (w *Waiter) Next(ctx context.Context) (Decision, error) {
	select {
	case d := <-w.decisions:
		return d, nil
	case <-ctx.Done():
		return Decision{}, ctx.Err()
	}
}

// Detach ends the wait and reports to the reducer that the caller is gone.
// Further calls have no effect.
func (w *Waiter) Detach() {
	x := w.exchange
	x.mu.Lock()
	_, registered := x.waiters[w.id]
	delete(x.waiters, w.id)
	if w.reader != nil {
		w.reader.Close()
	}
	x.mu.Unlock()
	if registered {
		x.cfg.Post(reducer.CallerGone{Waiter: w.id})
	}
}

// HandleEffect implements control.EffectHandler.
func (x *Exchange) HandleEffect(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.Admitted:
		x.handleAdmitted(e)
	case reducer.JoinAnswer:
		x.handleJoin(e)
	case reducer.Refuse:
		x.handleRefuse(e)
	case reducer.Connect:
		x.withRun(e.Request, func(r *run) { go r.connect(e) })
	case reducer.Dispatch:
		x.withRun(e.Request, func(r *run) { go r.dispatch(e) })
	case reducer.Disconnect:
		x.withRun(e.Request, func(r *run) { go r.disconnect() })
	case reducer.Cancel:
		x.withRun(e.Request, func(r *run) { go r.cancelRun() })
	case reducer.DiscardAnswer:
		x.removeRun(e.Request)
	default:
		return false
	}
	return true
}

func (x *Exchange) withRun(id reducer.RequestID, f func(*run)) {
	x.mu.Lock()
	r := x.runs[id]
	x.mu.Unlock()
	if r != nil {
		f(r)
	}
}

func (x *Exchange) handleAdmitted(e reducer.Admitted) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	r := newRun(x, e.Request, w.call)
	x.runs[e.Request] = r
	w.reader = r.buffer.newReader()
	w.decisions <- Decision{Request: e.Request, Ticket: e.Ticket, Answer: &Answer{reader: w.reader, waiter: w}}
}

// handleJoin attaches a waiter to an existing run. It refuses the waiter if the
// answer has exceeded its size limit and can no longer be read from the
// beginning (AlreadyRunning), or if it was evicted in favour of newer answers
// (AlreadyRan).
func (x *Exchange) handleJoin(e reducer.JoinAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	reason := refusal.AlreadyRan
	if r := x.runs[e.Request]; r != nil {
		reason = refusal.AlreadyRunning
		w.reader = r.buffer.newReader()
	}
	if w.reader == nil {
		kind, _ := refusal.Lookup(reason)
		w.decisions <- Decision{Request: e.Request, Refused: &reducer.Refused{Reason: reason, RetryAfter: kind.RetryAfter}}
		return
	}
	w.decisions <- Decision{Request: e.Request, Answer: &Answer{reader: w.reader, waiter: w}}
}

// errRefused is the error with which the answer buffer of a refused request
// ends.
var errRefused = errors.New("traffic: the request was refused")

// handleRefuse delivers the final refusal to a waiter. A waiter that is already
// reading an answer receives it after its read fails.
func (x *Exchange) handleRefuse(e reducer.Refuse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	w.refuseOnce.Do(func() {
		w.finalRefusal = e.Refused
		close(w.refused)
	})
	if w.reader == nil {
		w.decisions <- Decision{Request: e.Request, Refused: &e.Refused}
		return
	}
	w.reader.buffer.finish(errRefused)
}

// removeRun removes a run whose answer is no longer kept or never existed.
func (x *Exchange) removeRun(id reducer.RequestID) {
	x.mu.Lock()
	r := x.runs[id]
	delete(x.runs, id)
	x.kept.remove(id)
	x.mu.Unlock()
	if r != nil {
		go r.abandon()
	}
}

// retainAnswer adds a complete answer to the kept ones and evicts the oldest
// answers that exceed KeptLimit.
func (x *Exchange) retainAnswer(id reducer.RequestID, size int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, old := range x.kept.add(id, size, x.cfg.KeptLimit) {
		delete(x.runs, old)
	}
}
