// Package traffic carries callers' bodies and answers. The reducer decides
// what happens to a request; traffic does it on goroutines of its own and
// reports back by events.
package traffic

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
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
}

// Exchange connects waiting callers with running requests.
type Exchange struct {
	cfg  Config
	next atomic.Uint64

	mu      sync.Mutex
	waiters map[reducer.Waiter]*Waiter
	runs    map[reducer.RequestID]*run
}

// New returns an Exchange.
func New(cfg Config) *Exchange {
	return &Exchange{cfg: cfg, waiters: map[reducer.Waiter]*Waiter{}, runs: map[reducer.RequestID]*run{}}
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
// cannot be read from its beginning any more.
func (x *Exchange) join(e reducer.Join) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.waiters[e.Waiter]
	if w == nil {
		return
	}
	if r := x.runs[e.Request]; r != nil {
		w.reader = r.journal.attach()
	}
	if w.reader == nil {
		k, _ := refusal.Lookup(refusal.AlreadyRunning)
		w.verdicts <- Verdict{Request: e.Request, Refused: &reducer.Refused{Reason: refusal.AlreadyRunning, RetryAfter: k.RetryAfter}}
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
	x.mu.Unlock()
	if r != nil {
		go r.abandon()
	}
}

// run is one admitted request.
type run struct {
	id       reducer.RequestID
	exchange *Exchange
	call     *Call
	journal  *journal

	mu      sync.Mutex
	conn    *endpoint.Conn
	address string
	// endpoint is the name of where the run was dispatched.
	endpoint string
	cancel   context.CancelFunc
	stopped  bool
}

func newRun(x *Exchange, id reducer.RequestID, call *Call) *run {
	return &run{id: id, exchange: x, call: call, journal: newJournal(x.cfg.AnswerLimit)}
}

// wireID names the request to endpoints: unique over all incarnations.
func (r *run) wireID() string {
	return fmt.Sprintf("%016x-%x", uint64(r.exchange.cfg.Incarnation), uint64(r.id))
}

// connect obtains a connection and writes nothing on it.
func (r *run) connect(e reducer.Connect) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := r.exchange.cfg.Client.Connect(ctx, e.Address)
	if err == nil {
		r.mu.Lock()
		r.conn, r.address = conn, e.Address
		r.mu.Unlock()
	}
	r.exchange.cfg.Post(reducer.ConnectDone{Request: r.id, Endpoint: e.Endpoint, OK: err == nil})
}

func (r *run) takeConn() *endpoint.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conn
	r.conn = nil
	return c
}

func (r *run) disconnect() {
	if c := r.takeConn(); c != nil {
		c.Close()
	}
}

// abandon ends a run that was refused.
func (r *run) abandon() {
	r.disconnect()
	r.journal.end(errRefused)
}

// cancelRun stops the run at the endpoint too, so that it stops paying.
func (r *run) cancelRun() {
	r.mu.Lock()
	cancel, address := r.cancel, r.address
	r.stopped = true
	r.mu.Unlock()
	if r.call.Engine {
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		r.exchange.cfg.Client.Cancel(ctx, address, r.wireID())
	}
	if cancel != nil {
		cancel()
	}
}

// cancelTimeout bounds the order to an engine to stop a run.
const cancelTimeout = 2 * time.Second

// dispatch writes the request once and records the answer.
func (r *run) dispatch(e reducer.Dispatch) {
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	r.cancel, r.endpoint = cancel, e.Endpoint
	r.mu.Unlock()
	conn := r.takeConn()
	if conn == nil || boottime.Now() >= int64(e.NotAfter) {
		if conn != nil {
			conn.Close()
		}
		r.done(reducer.Result{Ended: reducer.EndedNotSent})
		return
	}
	answer, err := conn.Send(ctx, endpoint.Call{
		Method: r.call.Method, Path: r.call.Path, Header: r.call.Header, Body: r.call.Body, ID: r.wireID(),
	})
	if err != nil {
		r.done(r.sendFailed(err, started))
		return
	}
	r.exchange.cfg.Post(reducer.FirstByte{Request: r.id})
	res := r.record(ctx, answer, started)
	res.Elapsed = time.Since(started)
	r.done(res)
}

func (r *run) sendFailed(err error, started time.Time) reducer.Result {
	var se *endpoint.SendError
	if errors.As(err, &se) && !se.Sent {
		return reducer.Result{Ended: reducer.EndedNotSent}
	}
	return reducer.Result{Ended: r.brokenOrCancelled(), Elapsed: time.Since(started)}
}

func (r *run) brokenOrCancelled() reducer.Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return reducer.EndedCancelled
	}
	return reducer.EndedBroken
}

// done reports the end. A broken journal ends with the reducer's refusal.
func (r *run) done(res reducer.Result) {
	r.exchange.cfg.Post(reducer.DispatchDone{Request: r.id, Result: res})
	if res.Ended == reducer.EndedBroken || res.Ended == reducer.EndedCancelled {
		r.exchange.forget(r.id)
	}
}

// record copies an answer into the journal.
func (r *run) record(ctx context.Context, a *endpoint.Answer, started time.Time) reducer.Result {
	if r.call.Engine && a.Status == http.StatusOK {
		return r.recordEvents(ctx, a, started)
	}
	defer a.Body.Close()
	r.begin(a)
	buf := make([]byte, 16<<10)
	for {
		n, err := a.Body.Read(buf)
		r.journal.write(buf[:n])
		if err == io.EOF {
			return r.ended(a.Status, reducer.Result{})
		}
		if err != nil {
			return reducer.Result{Ended: r.brokenOrCancelled()}
		}
	}
}

func (r *run) ended(status int, res reducer.Result) reducer.Result {
	r.journal.end(nil)
	res.Kept = r.journal.kept()
	if !res.Kept {
		r.exchange.forget(r.id)
	}
	res.Ended = reducer.EndedWhole
	if status >= http.StatusInternalServerError {
		res.Ended = reducer.EndedRejected
	}
	return res
}

// EndpointHeader tells a caller which endpoint served it.
const EndpointHeader = "Balsam-Endpoint"

// begin opens the journal with the head of the answer.
func (r *run) begin(a *endpoint.Answer) {
	header := a.Header.Clone()
	header.Set(EndpointHeader, r.endpoint)
	r.journal.begin(a.Status, header)
}

// resumeTries bounds how often one run's stream is resumed.
const resumeTries = 3

// recordEvents copies an event stream; a cut one is resumed at the endpoint,
// which is not a dispatch.
func (r *run) recordEvents(ctx context.Context, a *endpoint.Answer, started time.Time) reducer.Result {
	r.begin(a)
	res := reducer.Result{}
	events := 0
	for try := 0; ; try++ {
		err := r.copyEvents(a, &events, &res, started)
		if err == nil {
			return r.ended(a.Status, res)
		}
		if try >= resumeTries || ctx.Err() != nil {
			break
		}
		a, err = r.exchange.cfg.Client.Resume(ctx, r.address, r.wireID(), events)
		if err != nil {
			break
		}
	}
	res.Ended = r.brokenOrCancelled()
	return res
}

var (
	dataPrefix = []byte("data: ")
	eventEnd   = []byte("\n\n")
)

func (r *run) copyEvents(a *endpoint.Answer, events *int, res *reducer.Result, started time.Time) error {
	reader := r.exchange.cfg.Client.Events(a)
	defer reader.Close()
	var line []byte
	for {
		event, err := reader.Next()
		if err == io.EOF {
			r.journal.write([]byte("data: [DONE]\n\n"))
			return nil
		}
		if err != nil {
			return err
		}
		if *events == 0 {
			res.FirstToken = time.Since(started)
		}
		*events++
		if u, alone, ok := r.call.UsageOf(event); ok {
			res.PromptTokens, res.CachedTokens, res.OutputTokens = u.PromptTokens, u.CachedTokens, u.OutputTokens
			if alone && r.call.HideUsage {
				continue
			}
		}
		line = append(append(append(line[:0], dataPrefix...), event...), eventEnd...)
		r.journal.write(line)
	}
}
