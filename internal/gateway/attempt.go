package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

func (x *exchange) send(d scheduler.Dispatch) scheduler.Attempt {
	conn, err := x.connect(d.Endpoint)
	if err != nil {
		if x.ctx.Err() != nil {
			return scheduler.Attempt{Outcome: scheduler.Abandoned}
		}
		x.h.logAttemptFailure(x, "connect", err)
		return scheduler.Attempt{Outcome: scheduler.NotSent, Refused: errors.Is(err, endpoint.ErrRefused)}
	}
	x.sentTo = append(x.sentTo, d.Endpoint.Address)
	sent := time.Now()
	answer, err := conn.Send(x.ctx, x.endpointCall(d))
	if err != nil {
		return x.sendFailure(err)
	}
	info := x.h.cfg.Dialect.ParseAnswer(answer.Status, answer.Header)
	x.reportStatements(info, d)
	a := scheduler.Attempt{}
	switch {
	case info.Misdirected && info.Instance != "" && info.Instance != d.Endpoint.ID:
		a.Outcome = scheduler.Misdirected
		answer.DiscardConn()
	case info.NotRun, info.Misdirected:
		// An endpoint that does not name another one at its address has not moved.
		a.Outcome = scheduler.NotRun
		a.RetryAfter = info.RetryAfter
		answer.DiscardConn()
	case !attribution.MayPassOn(answer.Status, x.route.Retryable()):
		x.unprovenRefusal(answer, &a)
	case x.route.Kind == routing.Stream && answer.Status == http.StatusOK:
		x.forwardStream(answer, sent, &a)
	default:
		x.bufferAnswer(answer, sent, &a)
	}
	return a
}

// connect returns a connection to an endpoint. Answers to requests without an ID, and to
// an earlier attempt of the same request, can't be told apart on a kept connection.
func (x *exchange) connect(e directory.Endpoint) (*endpoint.Conn, error) {
	again := slices.Contains(x.sentTo, e.Address) || x.forwarding != nil && slices.Contains(x.forwarding.Tried, e.ID)
	if again || x.info.ID == "" {
		return x.h.cfg.Client.ConnectNew(x.ctx, e.Address)
	}
	return x.h.cfg.Client.Connect(x.ctx, e.Address)
}

// unprovenRefusal ends an attempt whose endpoint answered with a status that promises that
// the request has not run, without stating so. The caller gets another status.
func (x *exchange) unprovenRefusal(answer *endpoint.Answer, a *scheduler.Attempt) {
	x.h.cfg.Counters.Add(counterUnprovenRefusals, strconv.Itoa(answer.Status), 1)
	x.h.logAttemptFailure(x, "refusal", errors.Newf("endpoint answered %d without stating that the request has not run", answer.Status))
	answer.DiscardConn()
	a.Outcome = scheduler.Failed
	a.ErrorAnswer = true
}

// reportStatements tells the scheduler what the head of an answer says about the
// endpoint. An answer without a statement is only of interest while one is in force,
// and one with a malformed statement neither makes nor ends one.
func (x *exchange) reportStatements(info AnswerInfo, d scheduler.Dispatch) {
	if info.Misdirected {
		return
	}
	if info.LimitMalformed {
		x.h.cfg.Counters.Add(string(scheduler.CounterLimitStatements), "malformed", 1)
	}
	if info.BrittleMalformed {
		x.h.cfg.Counters.Add(string(scheduler.CounterBrittle), "malformed", 1)
	}
	if info.LeavingMalformed {
		x.h.cfg.Counters.Add(string(scheduler.CounterLeaving), "malformed", 1)
	}
	if info.RetryAfterMalformed {
		x.h.cfg.Counters.Add(string(scheduler.CounterRests), "malformed", 1)
	}
	if info.LoadMalformed {
		x.h.cfg.Counters.Add(string(scheduler.CounterStatedLoads), "malformed", 1)
	}
	if info.Limit.Named || info.Brittle.Named || info.Leaving || info.Load.SlownessStated || d.Limited {
		x.h.post(scheduler.AnswerReceived{ID: x.id, Limit: info.Limit, Brittle: info.Brittle, Leaving: info.Leaving, Load: info.Load,
			LimitMalformed: info.LimitMalformed, BrittleMalformed: info.BrittleMalformed})
	}
}

func (x *exchange) endpointCall(d scheduler.Dispatch) endpoint.Call {
	info := ForwardInfo{Remaining: time.Until(x.deadline), Endpoint: d.Endpoint, LastEventID: x.events.lastID}
	if x.org != nil {
		info.Organisation = x.org.Name
	}
	return endpoint.Call{
		Method: x.r.Method,
		Path:   x.r.URL.RequestURI(),
		Host:   x.r.Host,
		Header: x.h.cfg.Dialect.EndpointHeader(x.r.Header, info),
		Body:   x.body,
		ID:     x.info.ID,
	}
}

func (x *exchange) sendFailure(err error) scheduler.Attempt {
	failure := new(endpoint.SendError)
	sent := !errors.As(err, &failure) || failure.Sent
	x.countForeignAnswer(err)
	switch {
	case x.ctx.Err() != nil:
		return scheduler.Attempt{Outcome: scheduler.Abandoned}
	case sent:
		x.h.logAttemptFailure(x, "answer", err)
		return scheduler.Attempt{Outcome: scheduler.Broken, AnswerStarted: x.answerStarted}
	default:
		x.h.logAttemptFailure(x, "send", err)
		return scheduler.Attempt{Outcome: scheduler.NotSent}
	}
}

// countForeignAnswer counts an answer that does not belong to the request.
func (x *exchange) countForeignAnswer(err error) {
	kind := ""
	switch {
	case errors.Is(err, endpoint.ErrRequestIDMismatch):
		kind = attribution.Foreign.String()
	case errors.Is(err, endpoint.ErrUnnamedAnswer):
		kind = attribution.Unnamed.String()
	default:
		return
	}
	x.h.cfg.Counters.Add(counterForeignAnswers, kind, 1)
}

const (
	// maxDiscardedBytes and maxDiscardTime bound what is read of an answer whose body
	// does not matter, so that its connection can be reused. The body of an endpoint
	// in trouble may never end.
	maxDiscardedBytes = 16 << 10
	maxDiscardTime    = 100 * time.Millisecond
)

// discardBody reads a short answer to its end, or closes its connection.
func (x *exchange) discardBody(answer *endpoint.Answer) {
	timer := time.AfterFunc(maxDiscardTime, func() { answer.Body.Close() })
	defer timer.Stop()
	if _, _, err := readUpTo(answer.Body, maxDiscardedBytes); err != nil {
		x.h.logAttemptFailure(x, "refusal", err)
	}
	answer.Body.Close()
}
