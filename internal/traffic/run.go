package traffic

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

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

func (r *run) wireID() string {
	return WireID(r.exchange.cfg.Incarnation, r.id, r.call.Digest)
}

// WireID names a request to endpoints: unique over all incarnations, and only
// to be named by who knows the request's organisation and content.
func WireID(incarnation reducer.Incarnation, id reducer.RequestID, digest string) string {
	return fmt.Sprintf("%016x-%x-%s", uint64(incarnation), uint64(id), digest)
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
	if conn == nil {
		r.done(reducer.Result{Ended: reducer.EndedNotSent})
		return
	}
	answer, err := conn.Send(ctx, endpoint.Call{
		Method: r.call.Method, Path: r.call.Path, Header: r.call.Header, Body: r.call.Body, ID: r.wireID(),
		// The lease is looked at immediately before the first byte leaves: this
		// process may have been paused on the way here.
		Guard: func() bool { return boottime.Now() < int64(e.NotAfter) },
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
	if errors.Is(err, endpoint.ErrWithheld) {
		return reducer.Result{Ended: reducer.EndedWithheld}
	}
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
	if res.Kept {
		r.exchange.keep(r.id, r.journal.size())
	} else {
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

// recordEvents copies an event stream; a cut one is resumed at the endpoint,
// which is not a dispatch.
func (r *run) recordEvents(ctx context.Context, a *endpoint.Answer, started time.Time) reducer.Result {
	r.begin(a)
	stream := r.exchange.cfg.Client.Stream(r.address, r.wireID(), a)
	defer stream.Close()
	res := reducer.Result{}
	err := r.call.copyEvents(ctx, stream, r.journal.write, func(u Usage) {
		res.PromptTokens, res.CachedTokens, res.OutputTokens = u.PromptTokens, u.CachedTokens, u.OutputTokens
	}, func() { res.FirstToken = time.Since(started) })
	if err == nil {
		return r.ended(a.Status, res)
	}
	res.Ended = r.brokenOrCancelled()
	return res
}

// streamEnd is the last event of a whole stream.
var streamEnd = []byte("data: [DONE]\n\n")

// copyEvents writes each event as it comes, and the stream's end only if the
// stream is whole.
func (c *Call) copyEvents(ctx context.Context, from *endpoint.Stream, write func([]byte), used func(Usage), first func()) error {
	var line []byte
	for {
		event, err := from.Next(ctx)
		if err == io.EOF {
			write(streamEnd)
			return nil
		}
		if err != nil {
			return err
		}
		if from.Offset() == 1 {
			first()
		}
		if u, alone, ok := c.UsageOf(event); ok {
			used(u)
			if alone && c.HideUsage {
				continue
			}
		}
		line = endpoint.AppendEvent(line[:0], event)
		write(line)
	}
}
