package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/attribution"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// Headers between instances. They are removed from what callers and endpoints get.
const (
	// headerForwardTo holds the incarnation of the instance to which a request is
	// forwarded. Only instances know it, from each other's reports.
	headerForwardTo = "Instance-Forward-To"
	// headerVersion holds the version of the configuration by which the instance that
	// forwards a request has chosen its route.
	headerVersion = "Instance-Config-Version"
	// headerSoftware identifies the software that began a stream, in requests, or that
	// of the endpoint, in answers. headerTried lists endpoints tried before.
	headerSoftware = "Instance-Software"
	headerTried    = "Instance-Tried"
	// headerEndpoint and headerEndpointVersion name the endpoint of an answer, or to
	// which a refused request was sent.
	headerEndpoint        = "Instance-Endpoint"
	headerEndpointVersion = "Instance-Endpoint-Version"
	// headerRefused holds the reason of a refusal by the instance itself, headerNotRun
	// is set if the request has not run and will not.
	headerRefused = "Instance-Refused"
	headerNotRun  = "Instance-Not-Run"
)

var instanceHeaders = []string{
	headerForwardTo, headerVersion, headerSoftware, headerTried, headerEndpoint, headerEndpointVersion, headerRefused, headerNotRun,
}

func deleteInstanceHeaders(h http.Header) {
	for _, name := range instanceHeaders {
		delete(h, name)
	}
}

const (
	// forwardedBodiesFraction is the part of the memory for bodies that requests of
	// other instances may use.
	forwardedBodiesFraction = 0.5
	// reasonWrongIncarnation refuses a request that was forwarded to a process which
	// has ended, or by something that is no instance.
	reasonWrongIncarnation = "wrong_incarnation"
)

// IsForwarded reports whether another instance forwards a request.
func IsForwarded(r *http.Request) bool { return len(r.Header[headerForwardTo]) > 0 }

// ServeForwarded serves requests that other instances forward. It must be reachable
// for instances only.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	x := h.newExchange(w, r)
	defer x.releaseMemory()
	x.forwarding = &scheduler.Forwarding{}
	to, err := strconv.ParseUint(r.Header.Get(headerForwardTo), 16, 64)
	if err != nil || to != h.cfg.Incarnation {
		x.refuseLocally(http.StatusServiceUnavailable, reasonWrongIncarnation)
		return
	}
	if h.draining.Load() {
		x.refuseLocally(http.StatusServiceUnavailable, string(scheduler.PeerBusy))
		return
	}
	// Instances of earlier releases state no version.
	if version, err := strconv.ParseInt(r.Header.Get(headerVersion), 10, 64); err == nil {
		x.minVersion = version
	}
	if software, err := strconv.ParseUint(r.Header.Get(headerSoftware), 16, 64); err == nil {
		x.forwarding.Software = origin.Software(software)
	}
	if tried := r.Header.Get(headerTried); tried != "" {
		x.forwarding.Tried = strings.Split(tried, ",")
	}
	deleteInstanceHeaders(r.Header)
	h.serve(x)
}

// setInstanceHeaders tells the instance that forwarded the request which endpoint got
// it.
func (x *exchange) setInstanceHeaders() {
	if x.forwarding == nil {
		return
	}
	header := x.w.Header()
	header.Set(headerEndpoint, x.endpoint)
	header.Set(headerEndpointVersion, x.endpointVersion)
	header.Set(headerSoftware, strconv.FormatUint(uint64(x.software), 16))
}

// setRefusalHeaders tells the instance that forwarded the request why this one refuses
// it.
func (x *exchange) setRefusalHeaders() {
	if x.forwarding == nil {
		return
	}
	if x.attempts > 0 && x.outcome != scheduler.NotSent && x.outcome != scheduler.Misdirected {
		x.setInstanceHeaders()
	}
	x.w.Header().Set(headerRefused, string(x.reason))
	if x.notRun {
		x.w.Header().Set(headerNotRun, "1")
	}
}

// forward sends the request to another instance and reports whether the exchange has
// ended.
func (x *exchange) forward(d scheduler.Forward) bool {
	x.attempts, x.via = d.Attempt, d.Address
	x.endpoint, x.endpointVersion = "", ""
	x.queueTime += d.Waited
	x.decisionFields = d.LogFields
	ended := x.sendToInstance(d)
	ended.ID = x.id
	x.outcome = ended.Attempt.Outcome
	x.h.post(ended)
	return x.attemptEnded()
}

func (x *exchange) sendToInstance(d scheduler.Forward) scheduler.ForwardEnded {
	conn, err := x.h.cfg.Instances.Connect(x.ctx, d.Address)
	if err != nil {
		if x.ctx.Err() != nil {
			return scheduler.ForwardEnded{Attempt: scheduler.Attempt{Outcome: scheduler.Abandoned}}
		}
		x.h.logAttemptFailure(x, "connect_instance", err)
		return scheduler.ForwardEnded{Attempt: scheduler.Attempt{Outcome: scheduler.NotSent}}
	}
	sent := time.Now()
	answer, err := conn.Send(x.ctx, x.instanceCall(d))
	if err != nil {
		return scheduler.ForwardEnded{Attempt: x.sendFailure(err)}
	}
	ended := x.takeInstanceHeaders(answer)
	switch {
	case ended.Reason != "":
		x.discardBody(answer)
	case !attribution.MayPassOn(answer.Status, x.route.Retryable()):
		// Earlier versions pass on what their endpoint answered.
		x.unprovenRefusal(answer, &ended.Attempt)
	case x.route.Kind == routing.Stream && answer.Status == http.StatusOK:
		x.forwardStream(answer, sent, &ended.Attempt)
	default:
		x.bufferAnswer(answer, sent, &ended.Attempt)
	}
	return ended
}

// instanceCall returns the request as it is sent to another instance: that of the
// caller, with the time that is left.
func (x *exchange) instanceCall(d scheduler.Forward) endpoint.Call {
	header := x.h.cfg.Dialect.InstanceHeader(x.r.Header, time.Until(x.deadline), x.events.lastID)
	deleteInstanceHeaders(header)
	header.Set(headerForwardTo, strconv.FormatUint(d.Incarnation, 16))
	header.Set(headerVersion, strconv.FormatInt(x.version, 10))
	if d.Forwarding.Software != origin.Unknown {
		header.Set(headerSoftware, strconv.FormatUint(uint64(d.Forwarding.Software), 16))
	}
	if tried := slices.DeleteFunc(slices.Clone(d.Forwarding.Tried), func(id string) bool { return id == "" }); len(tried) > 0 {
		header.Set(headerTried, strings.Join(tried, ","))
	}
	return endpoint.Call{Method: x.r.Method, Path: x.r.URL.RequestURI(), Host: x.r.Host, Header: header, Body: x.body, ID: x.info.ID}
}

// takeInstanceHeaders reads and removes what the other instance says of its answer.
func (x *exchange) takeInstanceHeaders(answer *endpoint.Answer) scheduler.ForwardEnded {
	header := answer.Header
	x.endpoint, x.endpointVersion = header.Get(headerEndpoint), header.Get(headerEndpointVersion)
	// A value that is no number is that of unknown software.
	software, _ := strconv.ParseUint(header.Get(headerSoftware), 16, 64)
	x.software = origin.Software(software)
	ended := scheduler.ForwardEnded{Endpoint: x.endpoint, Reason: scheduler.Reason(header.Get(headerRefused))}
	if ended.Reason != "" {
		ended.Attempt.Outcome = scheduler.Broken
		if header.Get(headerNotRun) != "" {
			ended.Attempt.Outcome = scheduler.NotRun
		}
		if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && seconds > 0 {
			ended.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	deleteInstanceHeaders(header)
	return ended
}

// probePath connects to an endpoint to find out whether this instance reaches it. A
// new connection is kept for a later request.
func (h *Handler) probePath(p scheduler.ProbePath) {
	h.post(scheduler.PathProbed{Endpoint: p.Endpoint, Result: h.connect(p.Endpoint.Address, "routed_path_probes_total")})
}
