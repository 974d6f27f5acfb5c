package caller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
)

// forward sends a request to the incarnation that minted its ticket. Nobody
// else can say whether it ran: where that one cannot be asked, the outcome is
// unknown, and it is never run here.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, k *work, started time.Time) {
	t, _ := ticket.Parse(k.ticket)
	if r.Header.Get(headerForwarded) != "" {
		h.refuseHere(w, &refusedRequest{reason: refusal.OutcomeUnknown})
		return
	}
	peer := h.cfg.Peer(t.Incarnation)
	if peer == nil {
		h.takeUp(w, r, k, t, started)
		return
	}
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host = "http", "peer"
	out.RequestURI = ""
	out.Header.Set(headerForwarded, "1")
	out.Header.Del(headerKey)
	out.Body, out.ContentLength, out.GetBody = io.NopCloser(bytes.NewReader(k.body)), int64(len(k.body)), nil
	resp, err := peer.RoundTrip(out)
	if err != nil {
		h.takeUp(w, r, k, t, started)
		return
	}
	defer resp.Body.Close()
	copyHead(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := h.copyBody(w, resp.Body); err != nil {
		h.cutForwarded(w, r, k, resp, started)
	}
}

// cutForwarded ends an answer that broke on its way through a peer, so that
// it cannot look whole.
func (h *Handler) cutForwarded(w http.ResponseWriter, r *http.Request, k *work, resp *http.Response, started time.Time) {
	if resp.Header.Get("Content-Type") == eventStream && r.Context().Err() == nil {
		writeError(w, &refusedRequest{reason: refusal.AnswerCut, request: resp.Header.Get(HeaderRequest)})
	}
	h.log(r, k, resp.Header.Get(HeaderRequest), string(refusal.AnswerCut), started)
	panic(http.ErrAbortHandler)
}

// takeUp answers a re-send whose instance cannot be asked from the engine that
// still has the run. The run's name holds a digest of organisation and content,
// so nobody can name another's. Nothing is dispatched: where no engine has the
// run, the outcome is unknown.
func (h *Handler) takeUp(w http.ResponseWriter, r *http.Request, k *work, t ticket.Ticket, started time.Time) {
	var taken *traffic.TakenUp
	if k.call.Engine {
		id := traffic.WireID(reducer.Incarnation(t.Incarnation), reducer.RequestID(t.Sequence), k.call.Digest)
		taken = h.cfg.Exchange.TakeUp(r.Context(), id, h.engines(k), k.call)
	}
	if taken == nil {
		h.refuseHere(w, &refusedRequest{reason: refusal.OutcomeUnknown})
		return
	}
	copyHead(w.Header(), taken.Header())
	w.Header().Del("X-Request-Id")
	// The length is that of the engine's events, which are not passed on as
	// they came.
	w.Header().Del("Content-Length")
	w.Header().Set(HeaderRequest, requestName(t.Incarnation, t.Sequence))
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	w.Header().Set(HeaderTicket, k.ticket)
	if k.stream {
		h.takeUpStream(w, r, k, taken, started)
		return
	}
	var events bytes.Buffer
	err := taken.CopyTo(r.Context(), &events)
	var whole []byte
	if err == nil {
		whole, err = collect(&events)
	}
	if err != nil {
		w.Header().Del(traffic.EndpointHeader)
		h.refuseHere(w, &refusedRequest{reason: refusal.OutcomeUnknown})
		return
	}
	// A write that fails means that the caller has gone.
	_ = h.writeWhole(w, whole)
}

func (h *Handler) takeUpStream(w http.ResponseWriter, r *http.Request, k *work, taken *traffic.TakenUp, started time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if taken.CopyTo(r.Context(), flushing{w, h.cfg.Limits.IdleTimeout()}) == nil {
		return
	}
	if r.Context().Err() == nil {
		writeError(w, &refusedRequest{reason: refusal.AnswerCut})
	}
	h.log(r, k, "", string(refusal.AnswerCut), started)
	panic(http.ErrAbortHandler)
}

// flushing writes each event out at once, with a bound on the time it takes.
type flushing struct {
	w       http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
	rc := http.NewResponseController(f.w)
	// A writer without deadlines, as over a peer's session, has its own limits.
	_ = rc.SetWriteDeadline(time.Now().Add(f.timeout))
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, rc.Flush()
}

// engines lists the zone's engines of the model, by name and address.
func (h *Handler) engines(k *work) map[string]string {
	engines := map[string]string{}
	for _, e := range k.file.EndpointsIn(h.cfg.AvailabilityZone) {
		c := k.file.Class(e.Class)
		if c == nil || c.Kind != declared.KindEngine {
			continue
		}
		for _, m := range e.Models {
			if m == k.request.Pool {
				engines[e.Name] = e.Address
			}
		}
	}
	return engines
}
