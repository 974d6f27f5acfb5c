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

// run is an admitted request and the state of its execution.
type run struct {
	id       reducer.RequestID
	exchange *Exchange
	call     *Call
	buffer   *answerBuffer

	mu      sync.Mutex
	conn    *endpoint.Conn
	address string
	// endpoint is the name of the endpoint that the run was dispatched to.
	endpoint  string
	cancel    context.CancelFunc
	cancelled bool
}

func newRun(x *Exchange, id reducer.RequestID, call *Call) *run {
	return &run{id: id, exchange: x, call: call, buffer: newAnswerBuffer(x.cfg.AnswerLimit)}
}

func (r *run) wireID() string {
	return WireID(r.exchange.cfg.Incarnation, r.id, r.call.Digest)
}

// WireID returns the request ID that endpoints receive. It is unique across all
// incarnations, and cannot be guessed without knowing the organisation and the
// content of the request.
func WireID(incarnation reducer.Incarnation, id reducer.RequestID, digest string) string {
	return fmt.Sprintf("%016x-%x-%s", uint64(incarnation), uint64(id), digest)
}

// connect obtains a connection without writing to it.
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
	r.buffer.finish(errRefused)
}

// cancelRun stops the run, also at the engine, so that it causes no further
// cost.
func (r *run) cancelRun() {
	r.mu.Lock()
	cancel, address := r.cancel, r.address
	r.cancelled = true
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

// cancelTimeout is the timeout of the cancel request to an engine.
const cancelTimeout = 2 * time.Second

// dispatch sends the request, once, and records the answer.
func (r *run) dispatch(e reducer.Dispatch) {
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	r.cancel, r.endpoint = cancel, e.Endpoint
	r.mu.Unlock()
	conn := r.takeConn()
	if conn == nil {
		r.reportResult(reducer.Result{Ended: reducer.EndedNotSent})
		return
	}
	answer, err := conn.Send(ctx, endpoint.Call{
		Method: r.call.Method, Path: r.call.Path, Header: r.call.Header, Body: r.call.Body, ID: r.wireID(),
		// The lease is checked immediately before the first byte is written,
		// because the process may have been paused since the decision.
		Guard: func() bool { return boottime.Now() < int64(e.NotAfter) },
	})
	if err != nil {
		r.reportResult(r.sendFailed(err, started))
		return
	}
	r.exchange.cfg.Post(reducer.FirstByte{Request: r.id})
	res := r.recordAnswer(ctx, answer, started)
	res.Elapsed = time.Since(started)
	r.reportResult(res)
}

func (r *run) sendFailed(err error, started time.Time) reducer.Result {
	if errors.Is(err, endpoint.ErrWithheld) {
		return reducer.Result{Ended: reducer.EndedLeaseExpired}
	}
	var se *endpoint.SendError
	if errors.As(err, &se) && !se.Sent {
		return reducer.Result{Ended: reducer.EndedNotSent}
	}
	return reducer.Result{Ended: r.failureEnd(), Elapsed: time.Since(started)}
}

func (r *run) failureEnd() reducer.Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return reducer.EndedCancelled
	}
	return reducer.EndedBroken
}

// reportResult reports the result to the reducer. A run that failed or was
// cancelled is removed; its waiters receive the reducer's refusal.
func (r *run) reportResult(res reducer.Result) {
	r.exchange.cfg.Post(reducer.DispatchDone{Request: r.id, Result: res})
	if res.Ended == reducer.EndedBroken || res.Ended == reducer.EndedCancelled {
		r.exchange.removeRun(r.id)
	}
}

// recordAnswer copies an answer into the buffer.
func (r *run) recordAnswer(ctx context.Context, a *endpoint.Answer, started time.Time) reducer.Result {
	if r.call.Engine && a.Status == http.StatusOK {
		return r.recordEvents(ctx, a, started)
	}
	defer a.Body.Close()
	r.recordHead(a)
	buf := make([]byte, 16<<10)
	for {
		n, err := a.Body.Read(buf)
		r.buffer.write(buf[:n])
		if err == io.EOF {
			return r.finishAnswer(a.Status, reducer.Result{})
		}
		if err != nil {
			return reducer.Result{Ended: r.failureEnd()}
		}
	}
}

func (r *run) finishAnswer(status int, res reducer.Result) reducer.Result {
	r.buffer.finish(nil)
	res.Kept = r.buffer.complete()
	if res.Kept {
		r.exchange.retainAnswer(r.id, r.buffer.size())
	} else {
		r.exchange.removeRun(r.id)
	}
	res.Ended = reducer.EndedComplete
	if status >= http.StatusInternalServerError {
		res.Ended = reducer.EndedRejected
	}
	return res
}

// EndpointHeader is the header that names the endpoint that served the request.
const EndpointHeader = "Balsam-Endpoint"

// recordHead stores the status and the header of the answer in the buffer.
func (r *run) recordHead(a *endpoint.Answer) {
	header := a.Header.Clone()
	header.Set(EndpointHeader, r.endpoint)
	r.buffer.setHead(a.Status, header)
}

// recordEvents copies an event stream into the buffer. An interrupted stream is
// resumed at the endpoint, which does not count as a dispatch.
func (r *run) recordEvents(ctx context.Context, a *endpoint.Answer, started time.Time) reducer.Result {
	r.recordHead(a)
	stream := r.exchange.cfg.Client.Stream(r.address, r.wireID(), a)
	defer stream.Close()
	res := reducer.Result{}
	err := r.call.copyEvents(ctx, stream, r.buffer.write, func(u Usage) {
		res.PromptTokens, res.CachedTokens, res.OutputTokens = u.PromptTokens, u.CachedTokens, u.OutputTokens
	}, func() { res.FirstToken = time.Since(started) })
	if err == nil {
		return r.finishAnswer(a.Status, res)
	}
	res.Ended = r.failureEnd()
	return res
}

// doneEvent is the last event of a complete stream.
var doneEvent = []byte("data: [DONE]\n\n")

// copyEvents writes each event as it arrives, and doneEvent only if the stream
// is complete.
func (c *Call) copyEvents(ctx context.Context, stream *endpoint.Stream, write func([]byte), onUsage func(Usage), onFirstToken func()) error {
	var line []byte
	for {
		event, err := stream.Next(ctx)
		if err == io.EOF {
			write(doneEvent)
			return nil
		}
		if err != nil {
			return err
		}
		if stream.Offset() == 1 {
			onFirstToken()
		}
		if u, alone, ok := c.ReadUsage(event); ok {
			onUsage(u)
			if alone && c.HideUsage {
				continue
			}
		}
		line = endpoint.AppendEvent(line[:0], event)
		write(line)
	}
}
