package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// denyAge is the age of the configuration from which on an unknown route
	// or key may only be too new to be known here. It is longer than the time
	// between two answers of the platform.
	denyAge = 2500 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// requestLines and requestLinesBurst bound the log lines a second about
	// single requests; what exceeds them is counted.
	requestLines      = 300
	requestLinesBurst = 600
	// defaultBodyBytes bounds a body where the configuration does not.
	defaultBodyBytes = 4 << 20
)

// Reasons of refusals that need no decision of the scheduler.
const (
	reasonNoRoute  = "no_route"
	reasonNoKey    = "unknown_key"
	reasonTooLarge = "too_large"
	reasonHead     = "head_too_large"
	reasonBadBody  = "bad_body"
	reasonMemory   = "bodies_limit"
)

// Config describes a Handler.
type Config struct {
	Client  *endpoint.Client
	Dialect Dialect
	// Now returns the scheduler's time.
	Now func() scheduler.Instant
	// Post hands an event to the scheduler.
	Post     func(scheduler.Event)
	Log      *logline.Logger
	Counters *operator.Counters
	// BodiesBytes bounds the bodies of all requests together.
	BodiesBytes int64
}

// Handler serves callers' requests.
type Handler struct {
	cfg     Config
	table   atomic.Pointer[routing.Table]
	next    atomic.Uint64
	draws   atomic.Uint64
	leaving atomic.Bool
	// confirmed is when the configuration was last known to be the newest.
	confirmed atomic.Int64
	bodies    atomic.Int64
	lines     *rate.Limiter
	latency   *operator.Histogram
	firstByte *operator.Histogram
	queueing  *operator.Histogram

	mu   sync.Mutex
	open map[scheduler.RequestID]*exchange
}

// NewHandler returns a Handler that refuses everything until a configuration
// is adopted.
func NewHandler(cfg Config) *Handler {
	h := &Handler{
		cfg:   cfg,
		open:  map[scheduler.RequestID]*exchange{},
		lines: rate.NewLimiter(requestLines, requestLinesBurst),
	}
	h.latency = operator.NewHistogram()
	h.firstByte = operator.NewHistogram()
	h.queueing = operator.NewHistogram()
	cfg.Counters.Publish("routed_request_latency_ms", h.latency.Snapshot)
	cfg.Counters.Publish("routed_first_byte_latency_ms", h.firstByte.Snapshot)
	cfg.Counters.Publish("routed_queue_delay_ms", h.queueing.Snapshot)
	return h
}

// Leave makes every answer close its connection.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Open is the number of requests in progress.
func (h *Handler) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

// Carry takes the scheduler's effects that concern requests. It does not
// block.
func (h *Handler) Carry(e scheduler.Effect) bool {
	switch e := e.(type) {
	case scheduler.Dispatch:
		h.decide(e.ID, e)
	case scheduler.Refuse:
		h.decide(e.ID, e)
	case scheduler.ConfigAdopted:
		h.table.Store(e.Table)
	case scheduler.ConfigConfirmed:
		h.confirmed.Store(int64(e.At))
	default:
		return false
	}
	return true
}

// decide hands a decision to its request. There is room for it: the scheduler
// decides again only after an attempt was reported.
func (h *Handler) decide(id scheduler.RequestID, e scheduler.Effect) {
	h.mu.Lock()
	x := h.open[id]
	h.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.decisions <- e:
	default:
		h.cfg.Log.Error("decision_lost", "request", x.head.ID)
	}
}

func (h *Handler) post(ev scheduler.Event) { h.cfg.Post(ev) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		h: h, w: w, r: r, started: time.Now(),
		head:      h.cfg.Dialect.CallerHead(r.Header),
		decisions: make(chan scheduler.Effect, 2),
	}
	table := h.table.Load()
	if status, reason := x.resolve(table); status != 0 {
		x.reason = scheduler.Reason(reason)
		x.notRun = true
		x.writeFailure(status, h.denyRetry(status, x))
		h.finish(x)
		return
	}
	if status, reason := x.readBody(table.Limits()); status != 0 {
		x.reason = scheduler.Reason(reason)
		x.notRun = true
		x.writeFailure(status, h.denyRetry(status, x))
		h.finish(x)
		return
	}
	h.bodies.Add(int64(len(x.body)))
	defer h.bodies.Add(-int64(len(x.body)))
	x.schedule(table)
	h.finish(x)
}

// denyRetryAfter is when a caller that was refused without a decision of the
// scheduler may come back.
const denyRetryAfter = 500 * time.Millisecond

func (h *Handler) denyRetry(status int, x *exchange) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	if x.head.Patience == 0 {
		return denyRetryAfter
	}
	return min(denyRetryAfter, x.head.Patience/4)
}

// resolve finds the route and the organisation, or the status and reason of a
// refusal. Where the configuration may be outdated, what it does not know is
// not denied.
func (x *exchange) resolve(table *routing.Table) (int, string) {
	if table == nil {
		return http.StatusServiceUnavailable, string(scheduler.ConfigUnknown)
	}
	outdated := x.h.cfg.Now().Sub(scheduler.Instant(x.h.confirmed.Load())) > denyAge
	x.version = table.Version()
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(x.r.Header) > limit {
		return http.StatusRequestHeaderFieldsTooLarge, reasonHead
	}
	x.route = table.Route(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		if outdated {
			return http.StatusServiceUnavailable, string(scheduler.ConfigStale)
		}
		return http.StatusNotFound, reasonNoRoute
	}
	if x.route.Public || !table.RequiresKeys() {
		return 0, ""
	}
	if x.org = table.Organisation(x.head.Key); x.org != nil {
		return 0, ""
	}
	if outdated {
		return http.StatusServiceUnavailable, string(scheduler.ConfigStale)
	}
	return http.StatusUnauthorized, reasonNoKey
}

// headerBytes is the size of the header fields on the wire.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// readBody reads the whole body.
func (x *exchange) readBody(limits routing.Limits) (int, string) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	}
	if x.h.bodies.Load()+max(x.r.ContentLength, 0) > x.h.cfg.BodiesBytes {
		return http.StatusServiceUnavailable, reasonMemory
	}
	if x.r.ContentLength == 0 {
		return 0, ""
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(x.started.Add(bodyTimeout)); err != nil {
		return http.StatusServiceUnavailable, reasonBadBody
	}
	body, err := readRequest(x.r, limit)
	if err != nil {
		return http.StatusBadRequest, reasonBadBody
	}
	if int64(len(body)) > limit {
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	}
	x.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return http.StatusServiceUnavailable, reasonBadBody
	}
	return 0, ""
}

func readRequest(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
}

// schedule hands the request to the scheduler and carries its decisions out.
func (x *exchange) schedule(table *routing.Table) {
	h := x.h
	x.id = scheduler.RequestID(h.next.Add(1))
	patience := x.head.Patience
	if patience <= 0 {
		patience = x.route.Timeout
	}
	left := patience
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.started.Add(left)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.events.last = x.head.LastEvent
	h.mu.Lock()
	h.open[x.id] = x
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.open, x.id)
		h.mu.Unlock()
	}()
	now := h.cfg.Now()
	h.post(scheduler.Arrived{Request: scheduler.Request{
		ID:             x.id,
		Name:           x.head.ID,
		Route:          x.route,
		Organisation:   x.org,
		Key:            x.head.Key,
		Service:        x.route.PickService(h.draw()),
		Version:        table.Version(),
		Tokens:         x.head.PromptTokens + x.head.OutputTokens,
		PromptTokens:   x.head.PromptTokens,
		Fingerprint:    x.fingerprint(),
		CallerDeadline: now.Add(patience),
		Deadline:       now.Add(left),
	}})
	x.run()
}

// draw returns a number that is spread over all integers.
func (h *Handler) draw() uint64 {
	// A fixed odd multiplier visits every part of a split evenly.
	const multiplier = 0x9e3779b97f4a7c15
	return (h.draws.Add(1) * multiplier) >> 1
}

func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.head.Key)
	_, _ = d.WriteString("\n" + x.r.Method + " " + x.r.Host + x.r.URL.RequestURI() + "\n")
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// writeFailure writes a refusal of the instance's own.
func (h *Handler) writeFailure(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if h.leaving.Load() {
		header.Set("Connection", "close")
	}
	body := reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has left gets no answer.
	_, _ = io.WriteString(w, body)
}

// finish counts and logs the end of a request.
func (h *Handler) finish(x *exchange) {
	total := time.Since(x.started)
	h.latency.Observe(total)
	if x.attempts > 0 {
		h.queueing.Observe(x.waited)
	}
	firstEvent := time.Duration(0)
	if !x.events.begun.IsZero() {
		firstEvent = x.events.begun.Sub(x.started)
		h.firstByte.Observe(firstEvent)
	}
	h.cfg.Counters.Add("routed_answers_total", strconv.Itoa(x.status), 1)
	if x.reason != "" {
		h.cfg.Counters.Add("routed_endings_total", string(x.reason), 1)
	}
	if !h.lines.Allow() {
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
	fields := append([]any{"request", x.head.ID, "status", x.status, "reason", string(x.reason),
		"not_run", x.notRun, "retry_after_ms", x.retryAfter.Milliseconds(), "route", route, "organisation", org, "version", x.version,
		"config_age_ms", h.cfg.Now().Sub(scheduler.Instant(h.confirmed.Load())).Milliseconds(),
		"attempts", x.attempts, "endpoint", x.endpoint, "outcome", outcome,
		"queued_ms", x.waited.Milliseconds(), "first_event_ms", firstEvent.Milliseconds(),
		"longest_pause_ms", x.events.longest.Milliseconds(), "prompt_tokens", x.head.PromptTokens,
		"took_ms", total.Milliseconds(), "events", x.events.last}, x.basis...)
	h.cfg.Log.Event("request_ended", fields...)
}

// attemptFailed logs why an attempt at an endpoint did not end well.
func (h *Handler) attemptFailed(x *exchange, step string, err error) {
	h.cfg.Counters.Add("routed_attempt_failures_total", step, 1)
	if h.lines.Allow() {
		h.cfg.Log.Event("attempt_failed", "request", x.head.ID, "endpoint", x.endpoint, "attempt", x.attempts,
			"step", step, "events", x.events.last, "error", err.Error())
	}
}
