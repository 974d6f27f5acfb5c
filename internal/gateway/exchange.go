package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

// maxBufferedAnswerBytes is the size up to which an answer is read completely
// before its first byte is sent to the caller, so that a truncated answer can
// be replaced by that of another attempt.
const maxBufferedAnswerBytes = 256 << 10

// exchange is the state of one caller's request.
type exchange struct {
	h       *Handler
	id      scheduler.RequestID
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	route   *routing.Route
	org     *routing.Organisation
	version int64
	// minVersion is the version of the configuration by which another instance has
	// forwarded the request, or zero: an older one may no longer decide about it.
	minVersion int64
	body       []byte
	// holder counts the memory that the request occupies, heldBytes is the part of
	// it that is returned when the request ends. ownHolder is set if holder is not
	// that of a connection.
	holder    *bytebudget.Holder
	heldBytes int64
	ownHolder bool
	// bodyComplete is set once the body was read to its end.
	bodyComplete bool
	// fingerprint is equal for requests with the same caller, path and body.
	fingerprint uint64
	started     time.Time
	// ctx is done when the caller disconnects, at the deadline, or when the process is
	// about to end.
	ctx      context.Context
	deadline time.Time
	// decisions receives the scheduler's Dispatch and Refuse effects.
	decisions chan scheduler.Effect

	events eventCopier
	// answerStarted is set once any part of an answer has been written to the
	// caller.
	answerStarted bool
	// endpointFailure is an endpoint's own error answer, which the caller gets
	// if no further attempt is made.
	endpointFailure *bufferedAnswer
	// complete is the answer that the caller gets once the scheduler knows that the
	// attempt has ended.
	complete *bufferedAnswer
	// For the log.
	attempts int
	endpoint string
	// answerDefect is what was wrong with the last answer that was not well-formed.
	answerDefect string
	// sentTo holds the addresses of the endpoints to which the request was sent.
	sentTo []string
	// endpointVersion is the version of the endpoint's software, software identifies
	// it.
	endpointVersion string
	software        origin.Software
	// forwarding is set for a request of another instance's caller. via is the address
	// of the instance to which the request was forwarded last.
	forwarding *scheduler.Forwarding
	via        string
	queueTime  time.Duration
	// retryAfter is the delay that a refused caller was given.
	retryAfter time.Duration
	status     int
	reason     scheduler.Reason
	notRun     bool
	outcome    scheduler.Outcome
	// decisionFields are the log fields that explain the last decision.
	decisionFields []any
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run executes the scheduler's decisions until the request has ended.
func (x *exchange) run() {
	for {
		select {
		case decision := <-x.decisions:
			switch d := decision.(type) {
			case scheduler.Dispatch:
				if x.attempt(d) {
					return
				}
			case scheduler.Forward:
				if x.forward(d) {
					return
				}
			case scheduler.Refuse:
				x.finishRefused(d)
				return
			}
		case <-x.r.Context().Done():
			// The scheduler undoes a Dispatch that it issues before it
			// receives CallerGone. The caller may still read, and must not take
			// an empty answer for a success.
			x.h.post(scheduler.CallerGone{ID: x.id})
			x.reason = reasonCallerGone
			x.abort()
		}
	}
}

// attempt sends the request once and reports whether the exchange has ended.
func (x *exchange) attempt(d scheduler.Dispatch) bool {
	x.attempts = d.Attempt
	x.endpoint, x.endpointVersion, x.software = d.Endpoint.ID, d.Endpoint.Version, d.Software
	x.via = ""
	x.queueTime += d.Waited
	x.decisionFields = d.LogFields
	a := x.send(d)
	x.outcome = a.Outcome
	x.h.post(scheduler.AttemptEnded{ID: x.id, Attempt: a})
	return x.attemptEnded()
}

// attemptEnded reports whether the last attempt ended the exchange.
func (x *exchange) attemptEnded() bool {
	if x.outcome != scheduler.Completed && x.outcome != scheduler.Abandoned {
		return false
	}
	if x.outcome == scheduler.Abandoned {
		x.finishAbandoned()
	}
	if x.complete != nil {
		x.writeBuffered(x.complete)
	}
	return true
}

// finishAbandoned ends a request that reached its deadline, whose caller disconnected, or
// whose instance stops, while at an endpoint. A disconnected caller gets no answer.
func (x *exchange) finishAbandoned() {
	if x.r.Context().Err() != nil {
		x.reason = reasonCallerGone
		x.abort()
	}
	x.reason = scheduler.DeadlinePassed
	status := http.StatusGatewayTimeout
	if x.h.ended.Err() != nil && time.Now().Before(x.deadline) {
		x.reason, status = scheduler.InstanceStopping, http.StatusBadGateway
	}
	if x.answerStarted {
		x.abort()
	}
	x.writeFailure(status, 0)
}

// abort closes the caller's connection, since the partly written answer cannot
// be completed.
func (x *exchange) abort() {
	x.status = 0
	x.h.finish(x)
	panic(http.ErrAbortHandler)
}

// forwardStream forwards an event stream.
func (x *exchange) forwardStream(answer *endpoint.Answer, sent time.Time, a *scheduler.Attempt) {
	defer answer.Body.Close()
	x.events.connFirstAt = time.Time{}
	started, continued := false, false
	x.events.continues = x.answerStarted
	err := x.events.copy(answer.Body, func(events []byte) error {
		if !started {
			started = true
			x.h.post(scheduler.AnswerStarted{ID: x.id, Software: x.software})
		}
		if !continued && x.events.received > 1 {
			continued = true
			x.h.post(scheduler.AnswerContinued{ID: x.id})
		}
		if !x.answerStarted {
			x.startAnswer(answer.Status, answer.Header)
		}
		if _, err := x.w.Write(events); err != nil {
			return err
		}
		return http.NewResponseController(x.w).Flush()
	})
	if !x.events.connFirstAt.IsZero() {
		a.FirstByte = x.events.connFirstAt.Sub(sent)
		a.EventInterval = x.events.meanInterval()
	}
	a.AnswerStarted = x.answerStarted
	a.Inconclusive = answer.CloseDelimited
	end := attribution.StreamEnd{
		Continued: x.events.continues, Events: x.events.received,
		CloseDelimited: answer.CloseDelimited, FromStart: x.events.lastID == 0,
	}
	if end.Continued && x.events.lastID != 0 {
		end.Events = x.events.eventCount
	}
	if err == nil && !end.ProvesEnd() {
		err = errNoEvents
	}
	switch {
	case err == nil:
		a.Outcome = scheduler.Completed
		if !x.answerStarted {
			x.startAnswer(answer.Status, answer.Header)
		}
	case x.ctx.Err() != nil:
		a.Outcome = scheduler.Abandoned
	default:
		a.Outcome = scheduler.Broken
		x.h.logAttemptFailure(x, "stream", err)
	}
}

// bufferAnswer reads an answer, which the caller gets once it is complete. An
// answer for which there is no memory, or over the limit, is forwarded as it
// arrives.
func (x *exchange) bufferAnswer(answer *endpoint.Answer, sent time.Time, a *scheduler.Attempt) {
	defer answer.Body.Close()
	body, ended, err := x.readAnswer(answer.Body)
	a.FirstByte = time.Since(sent)
	a.Inconclusive = answer.CloseDelimited
	a.ErrorAnswer = answer.Status >= http.StatusBadRequest
	switch {
	case err != nil && x.ctx.Err() != nil:
		a.Outcome = scheduler.Abandoned
	case err != nil:
		a.Outcome = scheduler.Broken
		x.h.logAttemptFailure(x, "body", err)
	case !ended:
		x.forwardUnbuffered(answer, body, a)
	case x.answerStarted:
		// The answer to a resumed stream is not a stream.
		a.Outcome = scheduler.Broken
	case answer.Status >= http.StatusInternalServerError:
		a.Outcome = scheduler.Failed
		x.endpointFailure = &bufferedAnswer{answer.Status, answer.Header, body}
	default:
		a.Outcome = scheduler.Completed
		x.complete = &bufferedAnswer{answer.Status, answer.Header, body}
	}
}

// forwardUnbuffered forwards an answer that is too large to be buffered.
func (x *exchange) forwardUnbuffered(answer *endpoint.Answer, prefix []byte, a *scheduler.Attempt) {
	if x.answerStarted {
		a.Outcome = scheduler.Broken
		return
	}
	x.startAnswer(answer.Status, answer.Header)
	_, err := x.w.Write(prefix)
	if err == nil {
		_, err = copyBuffered(x.w, answer.Body)
	}
	a.AnswerStarted = true
	a.Outcome = scheduler.Completed
	if err != nil {
		a.Outcome = scheduler.Broken
		x.h.logAttemptFailure(x, "body", err)
	}
}

// startAnswer writes the status and headers of an answer without a length.
func (x *exchange) startAnswer(status int, header http.Header) {
	x.copyHeader(header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(status)
	x.answerStarted = true
	x.status = status
}

// writeBuffered writes an answer that was read completely. The endpoint's slot is
// free, so that only the connection's limit on the time without progress applies.
func (x *exchange) writeBuffered(answer *bufferedAnswer) {
	if !x.ownHolder {
		// The deadline of a limited connection can always be set.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	}
	x.copyHeader(answer.header)
	x.w.WriteHeader(answer.status)
	x.answerStarted = true
	x.status = answer.status
	if _, err := x.w.Write(answer.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.h.logAttemptFailure(x, "caller", err)
	}
}

func (x *exchange) copyHeader(header http.Header) {
	to := x.w.Header()
	for name, values := range header {
		to[name] = values
	}
	x.setInstanceHeaders()
	if x.h.draining.Load() {
		to.Set("Connection", "close")
	}
}

// finishRefused ends the exchange after the scheduler has refused the request.
func (x *exchange) finishRefused(d scheduler.Refuse) {
	x.reason, x.notRun = d.Reason, d.NotRun
	x.decisionFields = d.LogFields
	x.retryAfter = d.RetryAfter
	switch {
	case x.answerStarted:
		x.abort()
	case x.endpointFailure != nil:
		x.writeBuffered(x.endpointFailure)
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
	x.setRefusalHeaders()
	x.h.writeFailure(x.w, status, string(x.reason), retryAfter)
}
