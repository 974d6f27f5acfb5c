// Package traffic carries callers' bodies and answers. The reducer decides
// what happens to a request; traffic does it on goroutines of its own and
// reports back by events.
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

// Usage is what an engine says that a run used.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Call is what is sent to an endpoint, once.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Digest is a part of the request's name to endpoints: a cryptographic
	// digest of organisation and content.
	Digest string
	// Engine says that the answer is an event stream that can be resumed.
	Engine bool
	// UsageOf reads the usage from one event of an engine's answer; ok is
	// false for events that carry none, and alone true for those that carry
	// nothing else.
	UsageOf func(event []byte) (u Usage, alone, ok bool)
	// HideUsage drops events that carry usage alone: the caller did not ask
	// for them.
	HideUsage bool
}

// Config is what an Exchange needs.
type Config struct {
	Incarnation reducer.Incarnation
	Client      *endpoint.Client
	Post        func(reducer.Event)
	// AnswerLimit bounds, in bytes, what is kept of one answer.
	AnswerLimit int
	// KeptLimit bounds, in bytes, all whole answers that are kept together.
	KeptLimit int64
}

// Exchange connects waiting callers with running requests.
type Exchange struct {
	cfg  Config
	next atomic.Uint64

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

// Waiter is one caller's wait for an answer.
type Waiter struct {
	id       reducer.Waiter
	exchange *Exchange
	call     *Call
	// verdicts is written by the control goroutine; its capacity covers every
	// verdict that a waiter can get.
	verdicts chan Verdict
	refused  chan struct{}
	once     sync.Once
	reason   reducer.Refused
	reader   *reader
}

// Verdict is what was decided about a waiter's request.
type Verdict struct {
	Request reducer.RequestID
	Ticket  reducer.Ticket
	// Refused is set for a final refusal.
	Refused *reducer.Refused
	// Answer is set where an answer can be read.
	Answer *Answer
}

// Answer is an answer that is being read.
type Answer struct {
	reader *reader
	waiter *Waiter
}

// Head waits for status and header. It returns an error if the run ended
// without an answer; Refused then says why.
func (a *Answer) Head() (int, http.Header, error) { return a.reader.head() }

// Read returns io.EOF only after a whole answer.
func (a *Answer) Read(p []byte) (int, error) { return a.reader.Read(p) }

// Refused waits briefly for the reducer's word on a broken answer.
func (a *Answer) Refused() reducer.Refused {
	select {
	case <-a.waiter.refused:
		return a.waiter.reason
	case <-time.After(time.Second):
		k, _ := refusal.Lookup(refusal.EndpointFailed)
		return reducer.Refused{Reason: refusal.EndpointFailed, RetryAfter: k.RetryAfter}
	}
}

// Submit hands a request to the reducer. The caller must call Leave in the end.
func (x *Exchange) Submit(q reducer.Request, call *Call) *Waiter {
	w := &Waiter{
		id: reducer.Waiter(x.next.Add(1)), exchange: x, call: call,
		verdicts: make(chan Verdict, 4), refused: make(chan struct{}),
	}
	x.mu.Lock()
	x.waiters[w.id] = w
	x.mu.Unlock()
	x.cfg.Post(reducer.RequestArrived{Request: q, Waiter: w.id})
	return w
}

// Next returns the next verdict, or an error when ctx ends.
func (w *Waiter) Next(ctx context.Context) (Verdict, error) {
	select {
	case v := <-w.verdicts:
		return v, nil
	case <-ctx.Done():
		return Verdict{}, ctx.Err()
	}
}

// Leave says that the caller no longer waits.
func (w *Waiter) Leave() {
	x := w.exchange
	x.mu.Lock()
	_, here := x.waiters[w.id]
	delete(x.waiters, w.id)
	if w.reader != nil {
		w.reader.Close()
	}
	x.mu.Unlock()
	if here {
		x.cfg.Post(reducer.CallerGone{Waiter: w.id})
	}
}

// Carry implements control.Carrier.
func (x *Exchange) Carry(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.Admitted:
		x.admitted(e)
	case reducer.Join:
		x.join(e)
	case reducer.Refuse:
		x.refuse(e)
	case reducer.Connect:
		x.withRun(e.Request, func(r *run) { go r.connect(e) })
	case reducer.Dispatch:
		x.withRun(e.Request, func(r *run) { go r.dispatch(e) })
	case reducer.Disconnect:
		x.withRun(e.Request, func(r *run) { go r.disconnect() })
	case reducer.Cancel:
		x.withRun(e.Request, func(r *run) { go r.cancelRun() })
	case reducer.Forget:
		x.forget(e.Request)
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

func (x *Exchange) admitted(e reducer.Admitted) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	r := newRun(x, e.Request, w.call)
	x.runs[e.Request] = r
	w.reader = r.journal.attach()
	w.verdicts <- Verdict{Request: e.Request, Ticket: e.Ticket, Answer: &Answer{reader: w.reader, waiter: w}}
}

// join attaches a waiter to a run. An answer that has grown past the limit
// cannot be read from its beginning any more, and one that is gone was pushed
// out by newer ones.
func (x *Exchange) join(e reducer.Join) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	reason := refusal.AlreadyRan
	if r := x.runs[e.Request]; r != nil {
		reason = refusal.AlreadyRunning
		w.reader = r.journal.attach()
	}
	if w.reader == nil {
		k, _ := refusal.Lookup(reason)
		w.verdicts <- Verdict{Request: e.Request, Refused: &reducer.Refused{Reason: reason, RetryAfter: k.RetryAfter}}
		return
	}
	w.verdicts <- Verdict{Request: e.Request, Answer: &Answer{reader: w.reader, waiter: w}}
}

// errRefused ends the journal of a request that was refused.
var errRefused = errors.New("traffic: the request was refused")

// refuse gives a waiter its final word. A waiter that reads an answer learns
// it when its reading fails.
func (x *Exchange) refuse(e reducer.Refuse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	w.once.Do(func() {
		w.reason = e.Refused
		close(w.refused)
	})
	if w.reader == nil {
		w.verdicts <- Verdict{Request: e.Request, Refused: &e.Refused}
		return
	}
	w.reader.journal.end(errRefused)
}

// forget drops a run: its answer is no longer kept, or there never was one.
func (x *Exchange) forget(id reducer.RequestID) {
	x.mu.Lock()
	r := x.runs[id]
	delete(x.runs, id)
	x.kept.remove(id)
	x.mu.Unlock()
	if r != nil {
		go r.abandon()
	}
}

// keep counts a whole answer and lets go of the oldest ones beyond the limit.
func (x *Exchange) keep(id reducer.RequestID, size int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, old := range x.kept.add(id, size, x.cfg.KeptLimit) {
		delete(x.runs, old)
	}
}
