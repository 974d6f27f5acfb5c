package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// requestLogsPerSecond and requestLogBurst limit the log lines about
	// single requests; lines over the limit are counted.
	requestLogsPerSecond = 300
	requestLogBurst      = 600
	// writeGrace is how long after a request's deadline its caller may take to
	// read the end of an answer that still arrives from an endpoint.
	writeGrace = time.Second
)

// Reasons for refusals without a decision of the scheduler.
const (
	reasonNoRoute         = "no_route"
	reasonUnknownKey      = "unknown_key"
	reasonBodyTooLarge    = "too_large"
	reasonHeadersTooLarge = "head_too_large"
	reasonBadBody         = "bad_body"
	reasonBodyLate        = "body_late"
	reasonBodiesLimit     = "bodies_limit"
	reasonEvicted         = "client_evicted"
	reasonCallerGone      = "caller_gone"
	// reasonConfigBehind refuses a request that an instance with a newer configuration
	// forwards.
	reasonConfigBehind = "config_behind"
)

// Config configures a Handler.
type Config struct {
	Client *endpoint.Client
	// Instances connects to other instances.
	Instances *endpoint.Client
	// Incarnation is that of this process.
	Incarnation uint64
	Dialect     Dialect
	// Now returns the current time of the scheduler's clock.
	Now func() scheduler.Instant
	// Post sends an event to the scheduler.
	Post     func(scheduler.Event)
	Log      *logline.Logger
	Counters *operator.Counters
	// Budget limits the memory that the clients of all requests occupy.
	Budget *bytebudget.Budget
	// BodyStall bounds the time without progress while a request body is read. The
	// default is 10 s.
	BodyStall time.Duration
}

// Handler serves callers' requests.
type Handler struct {
	cfg        Config
	table      atomic.Pointer[routing.Table]
	nextID     atomic.Uint64
	splitDraws atomic.Uint64
	draining   atomic.Bool
	// configConfirmedAt is the time as of which the configuration was last
	// known to be the newest.
	configConfirmedAt atomic.Int64
	// forwardedBytes is the size of the buffers of requests of other instances.
	forwardedBytes atomic.Int64
	logLimiter     *rate.Limiter
	latency        *operator.Histogram
	firstByte      *operator.Histogram
	queueDelay     *operator.Histogram

	mu       sync.Mutex
	inFlight map[scheduler.RequestID]*exchange

	// ended is done once running requests are broken off.
	ended context.Context
	end   context.CancelFunc
}

// NewHandler returns a Handler that refuses all requests until a configuration
// is adopted.
func NewHandler(cfg Config) *Handler {
	if cfg.BodyStall <= 0 {
		cfg.BodyStall = defaultBodyStall
	}
	h := &Handler{
		cfg:        cfg,
		inFlight:   map[scheduler.RequestID]*exchange{},
		logLimiter: rate.NewLimiter(requestLogsPerSecond, requestLogBurst),
	}
	h.ended, h.end = context.WithCancel(context.Background())
	h.latency = operator.NewHistogram()
	h.firstByte = operator.NewHistogram()
	h.queueDelay = operator.NewHistogram()
	cfg.Counters.Publish("routed_request_latency_ms", h.latency.Snapshot)
	cfg.Counters.Publish("routed_first_byte_latency_ms", h.firstByte.Snapshot)
	cfg.Counters.Publish("routed_queue_delay_ms", h.queueDelay.Snapshot)
	return h
}

// Drain makes the handler close the connection after every answer.
func (h *Handler) Drain() { h.draining.Store(true) }

// EndRequests breaks off all requests, since the process is about to end. Their callers get
// an answer unless one has begun.
func (h *Handler) EndRequests() { h.end() }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inFlight)
}

// HandleEffect applies the scheduler's effects that concern requests and reports
// whether e is one of them. It does not block.
func (h *Handler) HandleEffect(e scheduler.Effect) bool {
	switch e := e.(type) {
	case scheduler.Dispatch:
		h.deliverDecision(e.ID, e)
	case scheduler.Forward:
		h.deliverDecision(e.ID, e)
	case scheduler.Refuse:
		h.deliverDecision(e.ID, e)
	case scheduler.ProbeEndpoint:
		go h.probe(e)
	case scheduler.ReadRuns:
		go h.readRuns(e)
	case scheduler.ProbePath:
		go h.probePath(e)
	case scheduler.ConfigAdopted:
		h.table.Store(e.Table)
	case scheduler.ConfigConfirmed:
		h.configConfirmedAt.Store(int64(e.At))
	default:
		return false
	}
	return true
}

// deliverDecision passes a decision to its request. The channel has room for
// it, since the scheduler decides again only after an attempt was reported.
func (h *Handler) deliverDecision(id scheduler.RequestID, e scheduler.Effect) {
	h.mu.Lock()
	x := h.inFlight[id]
	h.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.decisions <- e:
	default:
		h.cfg.Log.Error("decision_lost", "request", x.info.ID)
	}
}

func (h *Handler) post(ev scheduler.Event) { h.cfg.Post(ev) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := h.newExchange(w, r)
	defer x.releaseMemory()
	h.serve(x)
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	// The caller's Connection header must not apply to what is added to the request.
	endpoint.StripHopByHop(r.Header, h.cfg.Dialect.EndToEnd)
	x := &exchange{
		h: h, w: w, r: r, started: time.Now(),
		info:      h.cfg.Dialect.ParseRequest(r.Header),
		decisions: make(chan scheduler.Effect, 2),
	}
	x.events.resize = x.resizeEvents
	x.hold()
	return x
}

func (h *Handler) serve(x *exchange) {
	// Loaded in this order, the table is at least as new as its confirmation.
	confirmedAt := scheduler.Instant(h.configConfirmedAt.Load())
	table := h.table.Load()
	if status, reason := x.resolve(table, confirmedAt); status != 0 {
		x.refuseLocally(status, reason)
		return
	}
	x.setDeadline()
	if status, reason := x.readBody(table.Limits()); status != 0 {
		x.refuseLocally(status, reason)
		return
	}
	x.schedule(table)
	x.requireAnswer()
	h.finish(x)
}

// requireAnswer closes the connection of a request for which nothing was written:
// net/http would complete the answer with status 200.
func (x *exchange) requireAnswer() {
	if x.status != 0 || x.answerStarted {
		return
	}
	x.h.cfg.Counters.Add(counterUnanswered, "", 1)
	x.h.cfg.Log.Error("request_unanswered", "request", x.info.ID, "reason", string(x.reason))
	x.abort()
}

// refuseLocally ends a request without a decision of the scheduler.
func (x *exchange) refuseLocally(status int, reason string) {
	x.reason = scheduler.Reason(reason)
	x.notRun = true
	x.leaveBody()
	x.writeFailure(status, x.h.retryAfterLocalRefusal(status, x))
	x.h.finish(x)
}

// localRetryAfter is the default retry delay for a caller that was refused
// without a decision of the scheduler.
const localRetryAfter = 500 * time.Millisecond

func (h *Handler) retryAfterLocalRefusal(status int, x *exchange) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	if x.info.Timeout == 0 {
		return localRetryAfter
	}
	return min(localRetryAfter, x.info.Timeout/4)
}

// schedule submits the request to the scheduler and executes its decisions.
func (x *exchange) schedule(table *routing.Table) {
	h := x.h
	x.id = scheduler.RequestID(h.nextID.Add(1))
	x.fingerprint = x.computeFingerprint()
	callerTimeout, remaining := x.timeouts()
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(h.ended, cancel)()
	x.ctx = ctx
	x.events.lastID = x.info.LastEventID
	h.mu.Lock()
	h.inFlight[x.id] = x
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.inFlight, x.id)
		h.mu.Unlock()
	}()
	defer x.limitWrites()()
	defer x.recoverPanic()
	if x.forwarding != nil {
		// The instance that took the request from its caller counts the attempts.
		oneAttempt := *x.route
		oneAttempt.MaxAttempts = 1
		x.route = &oneAttempt
	}
	now := h.cfg.Now()
	h.post(scheduler.Arrived{Request: scheduler.Request{
		ID:             x.id,
		Name:           x.info.ID,
		Route:          x.route,
		Organisation:   x.org,
		Key:            x.info.Key,
		Service:        x.route.PickService(h.nextSplitDraw()),
		Version:        table.Version(),
		Tokens:         x.info.PromptTokens + x.info.OutputTokens,
		PromptTokens:   x.info.PromptTokens,
		Fingerprint:    x.fingerprint,
		PromptParts:    x.info.PromptParts,
		Resumes:        x.info.Resumes,
		LastEventID:    x.info.LastEventID,
		Forwarding:     x.forwarding,
		CallerDeadline: now.Add(callerTimeout),
		Deadline:       now.Add(remaining),
	}})
	x.run()
}

// limitWrites bounds the time for which a caller that reads nothing blocks its
// request. The returned function ends the bound, since the connection is reused.
func (x *exchange) limitWrites() (end func()) {
	control := http.NewResponseController(x.w)
	// An error means that the connection does not support deadlines.
	_ = control.SetWriteDeadline(x.deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// recoverPanic limits an unexpected error to its request: the scheduler learns
// that the request has ended, and the caller's connection is closed.
func (x *exchange) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		x.h.cfg.Counters.Add("routed_panics_total", "", 1)
		x.h.cfg.Log.Error("request_panicked", "request", x.info.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		// Only one of the two concerns the request, depending on whether it is at
		// an endpoint.
		x.h.post(scheduler.AttemptEnded{ID: x.id, Attempt: scheduler.Attempt{Outcome: scheduler.Abandoned}})
		x.h.post(scheduler.CallerGone{ID: x.id})
	}
	panic(http.ErrAbortHandler)
}

// nextSplitDraw returns the next number of a sequence that is spread evenly
// over the non-negative integers.
func (h *Handler) nextSplitDraw() uint64 {
	// Multiples of a fixed odd number cover all parts of a split evenly.
	const multiplier = 0x9e3779b97f4a7c15
	return (h.splitDraws.Add(1) * multiplier) >> 1
}

func (x *exchange) computeFingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.info.Key)
	_, _ = d.WriteString("\n" + x.r.Method + " " + x.r.Host + x.r.URL.RequestURI() + "\n")
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// writeFailure writes a refusal or failure that comes from the instance
// itself.
func (h *Handler) writeFailure(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if h.draining.Load() {
		header.Set("Connection", "close")
	}
	body := reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_, _ = io.WriteString(w, body)
}

// finish updates the metrics and logs the end of a request.
func (h *Handler) finish(x *exchange) {
	total := time.Since(x.started)
	h.latency.Observe(total)
	if x.attempts > 0 {
		h.queueDelay.Observe(x.queueTime)
	}
	firstEvent := time.Duration(0)
	if !x.events.firstForwardedAt.IsZero() {
		firstEvent = x.events.firstForwardedAt.Sub(x.started)
		h.firstByte.Observe(firstEvent)
	}
	h.cfg.Counters.Add("routed_answers_total", strconv.Itoa(x.status), 1)
	if x.reason != "" {
		h.cfg.Counters.Add("routed_endings_total", string(x.reason), 1)
	}
	if !h.logLimiter.Allow() {
		h.cfg.Counters.Add("routed_log_lines_dropped_total", "", 1)
		return
	}
	route, org, outcome := "", "", ""
	if x.attempts > 0 {
		outcome = x.outcome.String()
	}
	if x.route != nil {
		route = x.route.Name
	}
	if x.org != nil {
		org = x.org.Name
	}
	fields := append([]any{"request", x.info.ID, "status", x.status, "reason", string(x.reason),
		"not_run", x.notRun, "retry_after_ms", x.retryAfter.Milliseconds(), "route", route, "organisation", org, "version", x.version,
		"config_age_ms", h.cfg.Now().Sub(scheduler.Instant(h.configConfirmedAt.Load())).Milliseconds(),
		"attempts", x.attempts, "endpoint", x.endpoint, "endpoint_version", x.endpointVersion, "outcome", outcome, "answer_defect", x.answerDefect,
		"via", x.via, "forwarded", x.forwarding != nil,
		"resumes", x.info.Resumes, "resumes_after", x.info.LastEventID,
		"queued_ms", x.queueTime.Milliseconds(), "first_event_ms", firstEvent.Milliseconds(),
		"longest_pause_ms", x.events.longestGap.Milliseconds(), "prompt_tokens", x.info.PromptTokens,
		"took_ms", total.Milliseconds(), "events", x.events.lastID, "fingerprint", scheduler.FormatFingerprint(x.fingerprint),
		"prompt_parts", scheduler.FormatPromptParts(x.info.PromptParts)}, x.decisionFields...)
	h.cfg.Log.Info("request_ended", fields...)
}

// logAttemptFailure counts and logs the error of an attempt at an endpoint.
func (h *Handler) logAttemptFailure(x *exchange, step string, err error) {
	h.cfg.Counters.Add("routed_attempt_failures_total", step, 1)
	defect := endpoint.AnswerDefect(err)
	if defect != "" {
		x.answerDefect = defect
		h.cfg.Counters.Add(counterDefectiveAnswers, defect, 1)
	}
	if h.logLimiter.Allow() {
		h.cfg.Log.Info("attempt_failed", "request", x.info.ID, "endpoint", x.endpoint, "endpoint_version", x.endpointVersion, "attempt", x.attempts,
			"step", step, "answer_defect", defect, "events", x.events.lastID, "fingerprint", scheduler.FormatFingerprint(x.fingerprint),
			"prompt_parts", scheduler.FormatPromptParts(x.info.PromptParts), "error", err.Error())
	}
}
