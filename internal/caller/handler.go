// Package caller implements the HTTP interface for callers: the
// chat-completions API for models and the declared routes of plain services.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/settings"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
	"github.com/cespare/xxhash/v2"
)

// Headers of the caller interface; docs/CALLERS.md describes them.
const (
	HeaderTicket    = "Balsam-Ticket"
	HeaderTier      = "Balsam-Tier"
	HeaderDeadline  = "Balsam-Deadline-Ms"
	HeaderRequest   = "Balsam-Request"
	HeaderInstance  = "Balsam-Instance"
	headerForwarded = "Balsam-Forwarded"
	headerKey       = "Idempotency-Key"
)

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 30 * time.Minute

// defaultDeadline applies to tiers that declare no deadline.
const defaultDeadline = 60 * time.Second

// Config configures a Handler.
type Config struct {
	Instance         string
	AvailabilityZone string
	Incarnation      uint64
	Exchange         *traffic.Exchange
	// File returns the declared file in force, or nil.
	File   func() *declared.File
	Minter *ticket.Minter
	// Peer returns a transport to the incarnation that minted a ticket, or nil
	// if it cannot be reached.
	Peer   func(incarnation uint64) http.RoundTripper
	Limits settings.Limits
	Log    *logline.Logger
	// CountRefusal counts a refusal that the Handler decided without the reducer.
	CountRefusal func(refusal.Reason)
}

// Handler serves requests of callers, including those that peers forward.
type Handler struct {
	cfg Config
	// budget limits the total size, in bytes, of the buffers of all request bodies.
	budget *bytebudget.Budget
}

// NewHandler returns a Handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{cfg: cfg, budget: bytebudget.New(bytebudget.Config{
		// The buffer of a body counts twice while it grows.
		Bytes:      max(cfg.Limits.BodiesBytes, 2*cfg.Limits.BodyBytes),
		SmallBytes: smallBodyBytes,
		StallAfter: stallAfter,
	})}
}

// inboundRequest is a request with the results of authentication and parsing.
type inboundRequest struct {
	file         *declared.File
	organisation *declared.Organisation
	call         *traffic.Call
	request      reducer.Request
	// holder counts the memory of the body; nil if no body was read.
	holder *bytebudget.Holder
	// body is the body as the caller sent it; it is used for forwarding.
	body   []byte
	stream bool
	ticket string
	// parseError describes why a request was refused with BadRequest.
	parseError string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	req, reason := h.readRequest(w, r)
	defer req.release()
	if reason != "" {
		// No request can have run under an invalid ticket.
		resent := r.Header.Get(HeaderTicket) != "" && reason != refusal.TicketInvalid
		h.refuseLocally(w, &refusalResponse{reason: reason, detail: req.parseError, resent: resent})
		h.log(r, req, "", string(reason), started)
		return
	}
	if req.ticket != "" && req.request.Ticket.Request == 0 {
		h.forward(w, r, req, started)
		h.log(r, req, "", "forwarded", started)
		return
	}
	waiter := h.cfg.Exchange.Submit(req.request, req.call)
	defer waiter.Detach()
	h.serveAnswer(w, r, req, waiter, started)
}

// readRequest authenticates a request and reads its headers and body. It
// returns a reason if the request is refused.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*inboundRequest, refusal.Reason) {
	req := &inboundRequest{file: h.cfg.File()}
	if req.file == nil {
		return req, refusal.NotReady
	}
	var ok bool
	if req.organisation, ok = h.authenticate(req.file, r); !ok {
		return req, refusal.Unauthorised
	}
	body, reason := h.readBody(req, w, r)
	if reason != "" {
		return req, reason
	}
	req.body = body
	if reason = h.parseRequest(req, r, body); reason != "" {
		return req, reason
	}
	return req, h.readTicket(req, r)
}

func (h *Handler) authenticate(f *declared.File, r *http.Request) (*declared.Organisation, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, false
	}
	return f.OrganisationByKey(key)
}

// parseRequest sets the call to the endpoint and the request to the reducer.
func (h *Handler) parseRequest(req *inboundRequest, r *http.Request, body []byte) refusal.Reason {
	tier := r.Header.Get(HeaderTier)
	var reason refusal.Reason
	if r.Method == http.MethodPost && r.URL.Path == chatPath {
		reason = parseChat(req, body)
	} else {
		reason = parseServiceCall(req, r, body, &tier)
	}
	if reason != "" {
		return reason
	}
	if tier == "" {
		tier = req.organisation.DefaultTier
	}
	if _, allowed := req.organisation.Tiers[tier]; !allowed {
		return refusal.TierNotAllowed
	}
	req.request.Organisation = req.organisation.Name
	req.request.Tier = tier
	req.request.Fingerprint, req.call.Digest = digestRequest(req.organisation.Name, r.Method, r.URL.RequestURI(), body)
	if key := r.Header.Get(headerKey); key != "" {
		req.request.CallerKey = xxhash.Sum64String(req.organisation.Name + "\x00" + key)
	}
	return readDeadline(req, r, tier)
}

func readDeadline(req *inboundRequest, r *http.Request, tier string) refusal.Reason {
	req.request.Deadline = defaultDeadline
	if t := req.file.Tier(tier); t != nil && t.DeadlineMS > 0 {
		req.request.Deadline = time.Duration(t.DeadlineMS) * time.Millisecond
	}
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return ""
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return refusal.BadRequest
	}
	req.request.Deadline = time.Duration(ms) * time.Millisecond
	return ""
}

// parseServiceCall sets the call from the declared route of a plain service.
func parseServiceCall(req *inboundRequest, r *http.Request, body []byte, tier *string) refusal.Reason {
	route := req.file.Route(r.Method, r.URL.Path)
	if route == nil {
		return refusal.NotFound
	}
	if *tier == "" {
		*tier = route.Tier
	}
	req.request.Pool = route.Pool
	req.request.Idempotent = route.Idempotent
	req.call = &traffic.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: endpointHeader(r.Header), Body: body}
	return ""
}

// endpointHeader returns the headers that are passed on to an endpoint. They
// include no credentials and none of this system's own headers.
func endpointHeader(from http.Header) http.Header {
	to := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := from.Values(name); len(v) > 0 {
			to[name] = v
		}
	}
	return to
}

// digestRequest hashes the organisation and the content of a request. It
// returns a short fingerprint for the reducer and an unforgeable digest that
// becomes part of the request ID for endpoints.
func digestRequest(organisation, method, uri string, body []byte) (fingerprint uint64, digest string) {
	d := sha256.New()
	for _, p := range []string{organisation, method, uri} {
		_, _ = io.WriteString(d, p)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	sum := d.Sum(nil)
	return binary.LittleEndian.Uint64(sum), hex.EncodeToString(sum[8:24])
}

// readTicket verifies a ticket of this incarnation. A ticket of another
// incarnation is not verified here, because the request is forwarded.
func (h *Handler) readTicket(req *inboundRequest, r *http.Request) refusal.Reason {
	req.ticket = r.Header.Get(HeaderTicket)
	if req.ticket == "" {
		return ""
	}
	t, err := ticket.Parse(req.ticket)
	if err != nil {
		return refusal.TicketInvalid
	}
	if t.Incarnation != h.cfg.Incarnation {
		return ""
	}
	if t, err = h.cfg.Minter.Verify(req.ticket); err != nil {
		return refusal.TicketInvalid
	}
	req.request.Ticket = reducer.Ticket{Request: reducer.RequestID(t.Sequence), Expires: reducer.Instant(t.Expires)}
	return ""
}

// log writes one line per request. The line never contains a key, a prompt or
// an answer.
func (h *Handler) log(r *http.Request, req *inboundRequest, requestID, outcome string, started time.Time) {
	organisation, pool, tier := "", "", ""
	if req.organisation != nil {
		organisation, pool, tier = req.organisation.Name, req.request.Pool, req.request.Tier
	}
	h.cfg.Log.Info("request", "method", r.Method, "organisation", organisation, "pool", pool,
		"tier", tier, "request", requestID, "outcome", outcome,
		"elapsed_ms", time.Since(started).Milliseconds())
}

// awaitDecision returns the first decision. It returns false if the caller has
// disconnected.
func awaitDecision(ctx context.Context, waiter *traffic.Waiter) (traffic.Decision, bool) {
	v, err := waiter.Next(ctx)
	return v, err == nil
}
