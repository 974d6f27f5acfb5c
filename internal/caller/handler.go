// Package caller serves callers over HTTP: the chat-completions form for
// models and the declared routes of plain services.
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

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/settings"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"
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

// maxDeadline bounds the deadline that a caller may ask for.
const maxDeadline = 30 * time.Minute

// defaultDeadline is used for tiers that declare none.
const defaultDeadline = 60 * time.Second

// Config is what a Handler needs.
type Config struct {
	Instance         string
	AvailabilityZone string
	Incarnation      uint64
	Exchange         *traffic.Exchange
	// File returns the declared file in force, or nil.
	File   func() *declared.File
	Minter *ticket.Minter
	// Peer returns how to reach the incarnation that minted a ticket, or nil.
	Peer   func(incarnation uint64) http.RoundTripper
	Limits settings.Limits
	Log    *logline.Logger
	// Refused counts a refusal that was decided here, without the reducer.
	Refused func(refusal.Reason)
}

// Handler serves callers, and peers that forward callers.
type Handler struct {
	cfg Config
	// bodies bounds the bytes of all requests that are held together.
	bodies *semaphore.Weighted
}

// NewHandler returns a Handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{cfg: cfg, bodies: semaphore.NewWeighted(cfg.Limits.BodiesBytes)}
}

// work is one authenticated request with its body.
type work struct {
	file         *declared.File
	organisation *declared.Organisation
	call         *traffic.Call
	request      reducer.Request
	// reserved is the room that the body takes among all bodies.
	reserved int64
	// body is what the caller sent, for forwarding.
	body   []byte
	stream bool
	ticket string
	// problem says what is wrong with a request that is refused as bad.
	problem string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	k, reason := h.read(w, r)
	defer func() { h.bodies.Release(k.reserved) }()
	if reason != "" {
		// A ticket that is no ticket stands for nothing that could have run.
		resent := r.Header.Get(HeaderTicket) != "" && reason != refusal.TicketInvalid
		h.refuseHere(w, &refusedRequest{reason: reason, detail: k.problem, resent: resent})
		h.log(r, k, "", string(reason), started)
		return
	}
	if k.ticket != "" && k.request.Ticket.Request == 0 {
		h.forward(w, r, k, started)
		h.log(r, k, "", "forwarded", started)
		return
	}
	waiter := h.cfg.Exchange.Submit(k.request, k.call)
	defer waiter.Leave()
	h.answer(w, r, k, waiter, started)
}

// read authenticates a request and takes its head and body. It returns a
// reason where the request is refused.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*work, refusal.Reason) {
	k := &work{file: h.cfg.File()}
	if k.file == nil {
		return k, refusal.NotReady
	}
	var ok bool
	if k.organisation, ok = h.authenticate(k.file, r); !ok {
		return k, refusal.Unauthorised
	}
	body, reason := h.readBody(k, w, r)
	if reason != "" {
		return k, reason
	}
	k.body = body
	if reason = h.describe(k, r, body); reason != "" {
		return k, reason
	}
	return k, h.readTicket(k, r)
}

func (h *Handler) authenticate(f *declared.File, r *http.Request) (*declared.Organisation, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, false
	}
	return f.OrganisationByKey(key)
}

// readBody waits for room among the bodies that are held, then reads. A caller
// that has to wait for room is not refused: which request gives way is for the
// tiers to decide, and they cannot yet.
func (h *Handler) readBody(k *work, w http.ResponseWriter, r *http.Request) ([]byte, refusal.Reason) {
	room := h.cfg.Limits.BodyBytes
	if r.ContentLength > room {
		return nil, refusal.TooLarge
	}
	if r.ContentLength >= 0 {
		room = r.ContentLength
	}
	if h.bodies.Acquire(r.Context(), room) != nil {
		return nil, refusal.CallerGone
	}
	k.reserved = room
	rc := http.NewResponseController(w)
	// A writer without deadlines, as over a peer's session, has its own limits.
	_ = rc.SetReadDeadline(time.Now().Add(h.cfg.Limits.IdleTimeout()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.Limits.BodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	if err == nil {
		return body, ""
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, refusal.TooLarge
	}
	return nil, refusal.BadRequest
}

// describe works out the call and the reducer's view of it.
func (h *Handler) describe(k *work, r *http.Request, body []byte) refusal.Reason {
	tier := r.Header.Get(HeaderTier)
	var reason refusal.Reason
	if r.Method == http.MethodPost && r.URL.Path == chatPath {
		reason = describeChat(k, body)
	} else {
		reason = describeRoute(k, r, body, &tier)
	}
	if reason != "" {
		return reason
	}
	if tier == "" {
		tier = k.organisation.DefaultTier
	}
	if _, allowed := k.organisation.Tiers[tier]; !allowed {
		return refusal.TierNotAllowed
	}
	k.request.Organisation = k.organisation.Name
	k.request.Tier = tier
	k.request.Fingerprint, k.call.Digest = identify(k.organisation.Name, r.Method, r.URL.RequestURI(), body)
	if key := r.Header.Get(headerKey); key != "" {
		k.request.CallerKey = xxhash.Sum64String(k.organisation.Name + "\x00" + key)
	}
	return readDeadline(k, r, tier)
}

func readDeadline(k *work, r *http.Request, tier string) refusal.Reason {
	k.request.Deadline = defaultDeadline
	if t := k.file.Tier(tier); t != nil && t.DeadlineMS > 0 {
		k.request.Deadline = time.Duration(t.DeadlineMS) * time.Millisecond
	}
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return ""
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return refusal.BadRequest
	}
	k.request.Deadline = time.Duration(ms) * time.Millisecond
	return ""
}

// describeRoute finds the declared route of a plain service.
func describeRoute(k *work, r *http.Request, body []byte, tier *string) refusal.Reason {
	route := k.file.Route(r.Method, r.URL.Path)
	if route == nil {
		return refusal.NotFound
	}
	if *tier == "" {
		*tier = route.Tier
	}
	k.request.Pool = route.Pool
	k.request.Idempotent = route.Idempotent
	k.call = &traffic.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: endToEnd(r.Header), Body: body}
	return ""
}

// endToEnd keeps the headers that an endpoint may see: no credentials, none of
// this system's own.
func endToEnd(from http.Header) http.Header {
	to := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := from.Values(name); len(v) > 0 {
			to[name] = v
		}
	}
	return to
}

// identify digests a request's organisation and content: briefly for the
// reducer, and as a part of its name to endpoints that cannot be forged.
func identify(organisation, method, uri string, body []byte) (fingerprint uint64, digest string) {
	d := sha256.New()
	for _, p := range []string{organisation, method, uri} {
		_, _ = io.WriteString(d, p)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	sum := d.Sum(nil)
	return binary.LittleEndian.Uint64(sum), hex.EncodeToString(sum[8:24])
}

// readTicket verifies a ticket of this incarnation; one of another incarnation
// stays unverified here and is forwarded.
func (h *Handler) readTicket(k *work, r *http.Request) refusal.Reason {
	k.ticket = r.Header.Get(HeaderTicket)
	if k.ticket == "" {
		return ""
	}
	t, err := ticket.Parse(k.ticket)
	if err != nil {
		return refusal.TicketInvalid
	}
	if t.Incarnation != h.cfg.Incarnation {
		return ""
	}
	if t, err = h.cfg.Minter.Verify(k.ticket); err != nil {
		return refusal.TicketInvalid
	}
	k.request.Ticket = reducer.Ticket{Request: reducer.RequestID(t.Sequence), Expires: reducer.Instant(t.Expires)}
	return ""
}

// log writes one line for each request; never a key, a prompt or an answer.
func (h *Handler) log(r *http.Request, k *work, request, outcome string, started time.Time) {
	organisation, pool, tier := "", "", ""
	if k.organisation != nil {
		organisation, pool, tier = k.organisation.Name, k.request.Pool, k.request.Tier
	}
	h.cfg.Log.Event("request", "method", r.Method, "organisation", organisation, "pool", pool,
		"tier", tier, "request", request, "outcome", outcome,
		"elapsed_ms", time.Since(started).Milliseconds())
}

// wait returns the first verdict, or reports that the caller has gone.
func wait(ctx context.Context, waiter *traffic.Waiter) (traffic.Verdict, bool) {
	v, err := waiter.Next(ctx)
	return v, err == nil
}
