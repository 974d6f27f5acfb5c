package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

// wholeAnswerBytes is up to which size an answer is read whole before its
// first byte is sent to the caller, so that one that is cut can be replaced.
const wholeAnswerBytes = 256 << 10

// exchange is one caller's request on its way.
type exchange struct {
	h       *Handler
	id      scheduler.RequestID
	w       http.ResponseWriter
	r       *http.Request
	head    RequestInfo
	route   *routing.Route
	org     *routing.Organisation
	version int64
	body    []byte
	started time.Time
	// ctx ends with the caller or at the deadline.
	ctx      context.Context
	deadline time.Time
	// decisions takes the scheduler's Dispatch and Refuse.
	decisions chan scheduler.Effect

	events eventCopier
	// begun is set once a byte of an answer has been written to the caller.
	begun bool
	// kept is an endpoint's own failure, which the caller gets if no further
	// attempt is made.
	kept *wholeAnswer
	// For the log.
	attempts int
	endpoint string
	waited   time.Duration
	// retryAfter is what a refused caller was told.
	retryAfter time.Duration
	status     int
	reason     scheduler.Reason
	notRun     bool
	outcome    scheduler.Outcome
	// basis is what decided about the request last.
	basis []any
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run waits for decisions and carries them out until the request is over.
func (x *exchange) run() {
	for {
		select {
		case decision := <-x.decisions:
			switch d := decision.(type) {
			case scheduler.Dispatch:
				if x.attempt(d) {
					return
				}
			case scheduler.Refuse:
				x.refused(d)
				return
			}
		case <-x.r.Context().Done():
			// A Dispatch that crosses this is undone by the scheduler.
			x.h.post(scheduler.CallerGone{ID: x.id})
			x.reason = "caller_gone"
			return
		}
	}
}

// attempt sends the request once and reports whether the exchange is over.
func (x *exchange) attempt(d scheduler.Dispatch) bool {
	x.attempts = d.Attempt
	x.endpoint = d.Endpoint.ID
	x.waited += d.Waited
	x.basis = d.Basis
	a := x.send(d)
	x.outcome = a.Outcome
	x.h.post(scheduler.AttemptEnded{ID: x.id, Attempt: a})
	if a.Outcome != scheduler.Completed && a.Outcome != scheduler.Abandoned {
		return false
	}
	if a.Outcome == scheduler.Abandoned {
		x.abandoned()
	}
	return true
}

// abandoned ends a request whose time ran out at an endpoint. A caller that
// left gets nothing.
func (x *exchange) abandoned() {
	if x.r.Context().Err() != nil {
		x.reason = "caller_gone"
		x.abort()
	}
	x.reason = scheduler.DeadlinePassed
	if x.begun {
		x.abort()
	}
	x.writeFailure(http.StatusGatewayTimeout, 0)
}

// abort closes the caller's connection, since what was written can't be
// completed.
func (x *exchange) abort() {
	x.status = 0
	x.h.finish(x)
	panic(http.ErrAbortHandler)
}

func (x *exchange) send(d scheduler.Dispatch) scheduler.Attempt {
	conn, err := x.h.cfg.Client.Connect(x.ctx, d.Endpoint.Address)
	if err != nil {
		if x.ctx.Err() != nil {
			return scheduler.Attempt{Outcome: scheduler.Abandoned}
		}
		x.h.attemptFailed(x, "connect", err)
		return scheduler.Attempt{Outcome: scheduler.NotSent}
	}
	sent := time.Now()
	answer, err := conn.Send(x.ctx, x.call(d))
	if err != nil {
		return x.sendFailed(err)
	}
	head := x.h.cfg.Dialect.AnswerHead(answer.Status, answer.Header)
	a := scheduler.Attempt{}
	switch {
	case head.Misdirected:
		a.Outcome = scheduler.Misdirected
		x.discard(answer)
	case head.NotRun:
		a.Outcome = scheduler.NotRun
		x.discard(answer)
	case x.route.Kind == routing.Stream && answer.Status == http.StatusOK:
		x.stream(answer, sent, &a)
	default:
		x.whole(answer, sent, &a)
	}
	return a
}

func (x *exchange) call(d scheduler.Dispatch) endpoint.Call {
	send := Send{Left: time.Until(x.deadline), Endpoint: d.Endpoint, LastEvent: x.events.last}
	if x.org != nil {
		send.Organisation = x.org.Name
	}
	return endpoint.Call{
		Method: x.r.Method,
		Path:   x.r.URL.RequestURI(),
		Host:   x.r.Host,
		Header: x.h.cfg.Dialect.EndpointHeader(x.r.Header, send),
		Body:   x.body,
		ID:     x.head.ID,
	}
}

func (x *exchange) sendFailed(err error) scheduler.Attempt {
	failure := new(endpoint.SendError)
	sent := !errors.As(err, &failure) || failure.Sent
	switch {
	case x.ctx.Err() != nil:
		return scheduler.Attempt{Outcome: scheduler.Abandoned}
	case sent:
		x.h.attemptFailed(x, "answer", err)
		return scheduler.Attempt{Outcome: scheduler.Broken, Begun: x.begun}
	default:
		x.h.attemptFailed(x, "send", err)
		return scheduler.Attempt{Outcome: scheduler.NotSent}
	}
}

// discard reads a short answer to its end, so that its connection is kept.
func (x *exchange) discard(answer *endpoint.Answer) {
	if _, _, err := readUpTo(answer.Body, wholeAnswerBytes); err != nil {
		x.h.attemptFailed(x, "refusal", err)
	}
	answer.Body.Close()
}

// stream forwards an event stream.
func (x *exchange) stream(answer *endpoint.Answer, sent time.Time, a *scheduler.Attempt) {
	defer answer.Body.Close()
	x.events.first = time.Time{}
	told := false
	err := x.events.copy(answer.Body, func(events []byte) error {
		if !told {
			told = true
			x.h.post(scheduler.AnswerBegun{ID: x.id})
		}
		if !x.begun {
			x.begin(answer.Status, answer.Header)
		}
		if _, err := x.w.Write(events); err != nil {
			return err
		}
		return http.NewResponseController(x.w).Flush()
	})
	if !x.events.first.IsZero() {
		a.FirstByte = x.events.first.Sub(sent)
		a.Pace = x.events.pace()
	}
	a.Begun = x.begun
	switch {
	case err == nil:
		a.Outcome = scheduler.Completed
		if !x.begun {
			x.begin(answer.Status, answer.Header)
		}
	case x.ctx.Err() != nil:
		a.Outcome = scheduler.Abandoned
	default:
		a.Outcome = scheduler.Broken
		x.h.attemptFailed(x, "stream", err)
	}
}

// whole reads an answer and passes it on once it is complete. An answer over
// the limit is passed on as it comes.
func (x *exchange) whole(answer *endpoint.Answer, sent time.Time, a *scheduler.Attempt) {
	defer answer.Body.Close()
	body, ended, err := readUpTo(answer.Body, wholeAnswerBytes)
	a.FirstByte = time.Since(sent)
	switch {
	case err != nil && x.ctx.Err() != nil:
		a.Outcome = scheduler.Abandoned
	case err != nil:
		a.Outcome = scheduler.Broken
		x.h.attemptFailed(x, "body", err)
	case !ended:
		x.long(answer, body, a)
	case x.begun:
		// A resumed stream was answered by something else.
		a.Outcome = scheduler.Broken
	case answer.Status >= http.StatusInternalServerError:
		a.Outcome = scheduler.Failed
		x.kept = &wholeAnswer{answer.Status, answer.Header, body}
	default:
		a.Outcome = scheduler.Completed
		x.deliver(&wholeAnswer{answer.Status, answer.Header, body})
	}
}

// long passes on an answer that is too large to be held.
func (x *exchange) long(answer *endpoint.Answer, head []byte, a *scheduler.Attempt) {
	if x.begun {
		a.Outcome = scheduler.Broken
		return
	}
	x.begin(answer.Status, answer.Header)
	_, err := x.w.Write(head)
	if err == nil {
		_, err = copyBuffered(x.w, answer.Body)
	}
	a.Begun = true
	a.Outcome = scheduler.Completed
	if err != nil {
		a.Outcome = scheduler.Broken
		x.h.attemptFailed(x, "body", err)
	}
}

// begin writes the head of an answer without a length.
func (x *exchange) begin(status int, header http.Header) {
	x.copyHeader(header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(status)
	x.begun = true
	x.status = status
}

func (x *exchange) deliver(answer *wholeAnswer) {
	x.copyHeader(answer.header)
	x.w.WriteHeader(answer.status)
	x.begun = true
	x.status = answer.status
	if _, err := x.w.Write(answer.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.h.attemptFailed(x, "caller", err)
	}
}

func (x *exchange) copyHeader(header http.Header) {
	to := x.w.Header()
	for name, values := range header {
		to[name] = values
	}
	if x.h.leaving.Load() {
		to.Set("Connection", "close")
	}
}

// refused ends the exchange by the scheduler's word.
func (x *exchange) refused(d scheduler.Refuse) {
	x.reason, x.notRun = d.Reason, d.NotRun
	x.basis = d.Basis
	x.retryAfter = d.RetryAfter
	switch {
	case x.begun:
		x.abort()
	case x.kept != nil:
		x.deliver(x.kept)
	case d.Reason == scheduler.QuotaExceeded:
		x.writeFailure(http.StatusTooManyRequests, d.RetryAfter)
	case d.NotRun:
		x.writeFailure(http.StatusServiceUnavailable, d.RetryAfter)
	case d.Reason == scheduler.DeadlinePassed:
		x.writeFailure(http.StatusGatewayTimeout, 0)
	default:
		x.writeFailure(http.StatusBadGateway, 0)
	}
}

func (x *exchange) writeFailure(status int, retryAfter time.Duration) {
	x.status = status
	x.h.writeFailure(x.w, status, string(x.reason), retryAfter)
}
