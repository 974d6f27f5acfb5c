package caller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
)

// forward forwards a request to the incarnation that minted its ticket. Only
// that incarnation knows whether the request ran. If it is unreachable and the
// run cannot be resumed, the outcome is unknown. The request is never run here.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, req *inboundRequest, started time.Time) {
	t, _ := ticket.Parse(req.ticket)
	if r.Header.Get(headerForwarded) != "" {
		h.refuseLocally(w, &refusalResponse{reason: refusal.OutcomeUnknown})
		return
	}
	peer := h.cfg.Peer(t.Incarnation)
	if peer == nil {
		h.resumeRun(w, r, req, t, started)
		return
	}
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host = "http", "peer"
	out.RequestURI = ""
	out.Header.Set(headerForwarded, "1")
	out.Header.Del(headerKey)
	out.Body, out.ContentLength, out.GetBody = io.NopCloser(bytes.NewReader(req.body)), int64(len(req.body)), nil
	resp, err := httphead.RoundTrip(peer, out)
	if err == nil && httphead.CloseDelimited(resp) {
		_ = resp.Body.Close()
		err = endpoint.ErrCloseDelimited
	}
	if err != nil {
		h.cfg.Log.Info("forward_failed", "request", formatRequestID(t.Incarnation, t.Sequence), "error", err.Error())
		h.resumeRun(w, r, req, t, started)
		return
	}
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := h.copyBody(w, resp.Body); err != nil {
		h.abortForwarded(w, r, req, resp, started)
	}
}

// abortForwarded ends a forwarded answer that was interrupted and aborts the
// connection, so that the caller cannot mistake the answer for a complete one.
func (h *Handler) abortForwarded(w http.ResponseWriter, r *http.Request, req *inboundRequest, resp *http.Response, started time.Time) {
	if resp.Header.Get("Content-Type") == eventStreamType && r.Context().Err() == nil {
		writeErrorEvent(w, &refusalResponse{reason: refusal.AnswerCut, requestID: resp.Header.Get(HeaderRequest)})
	}
	h.log(r, req, resp.Header.Get(HeaderRequest), string(refusal.AnswerCut), started)
	panic(http.ErrAbortHandler)
}

// resumeRun answers a request whose ticket names an unreachable incarnation. It
// reads the answer from the engine that still holds the run. The run's ID
// contains a digest of organisation and content, so a caller cannot obtain the
// run of another organisation. Nothing is dispatched: if no engine holds the
// run, the outcome is unknown.
func (h *Handler) resumeRun(w http.ResponseWriter, r *http.Request, req *inboundRequest, t ticket.Ticket, started time.Time) {
	var resumed *traffic.ResumedAnswer
	if req.call.Engine {
		id := traffic.WireID(reducer.Incarnation(t.Incarnation), reducer.RequestID(t.Sequence), req.call.Digest)
		resumed = h.cfg.Exchange.ResumeRun(r.Context(), id, h.engines(req), req.call)
	}
	if resumed == nil {
		h.refuseLocally(w, &refusalResponse{reason: refusal.OutcomeUnknown})
		return
	}
	copyHeader(w.Header(), resumed.Header())
	w.Header().Del("X-Request-Id")
	// Content-Length is the length of the engine's event stream, which is not
	// passed on unchanged.
	w.Header().Del("Content-Length")
	w.Header().Set(HeaderRequest, formatRequestID(t.Incarnation, t.Sequence))
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	w.Header().Set(HeaderTicket, req.ticket)
	if req.stream {
		h.streamResumedRun(w, r, req, resumed, started)
		return
	}
	var events bytes.Buffer
	err := resumed.CopyTo(r.Context(), &events)
	var completion []byte
	if err == nil {
		completion, err = collectCompletion(&events)
	}
	if err != nil {
		w.Header().Del(traffic.EndpointHeader)
		h.refuseLocally(w, &refusalResponse{reason: refusal.OutcomeUnknown})
		return
	}
	// A write error means that the caller has disconnected.
	_ = h.writeCompletion(w, completion)
}

func (h *Handler) streamResumedRun(w http.ResponseWriter, r *http.Request, req *inboundRequest, resumed *traffic.ResumedAnswer, started time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if resumed.CopyTo(r.Context(), flushingWriter{w, h.cfg.Limits.IdleTimeout()}) == nil {
		return
	}
	if r.Context().Err() == nil {
		writeErrorEvent(w, &refusalResponse{reason: refusal.AnswerCut})
	}
	h.log(r, req, "", string(refusal.AnswerCut), started)
	panic(http.ErrAbortHandler)
}

// flushingWriter flushes after each write and sets a deadline for each write.
type flushingWriter struct {
	w       http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (f flushingWriter) Write(p []byte) (int, error) {
	rc := http.NewResponseController(f.w)
	// A writer without deadlines, as in a peer session, has its own limits.
	_ = rc.SetWriteDeadline(time.Now().Add(f.timeout))
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, rc.Flush()
}

// engines returns the engines of this availability zone that serve the
// requested model, as a map from name to address.
func (h *Handler) engines(req *inboundRequest) map[string]string {
	engines := map[string]string{}
	for _, e := range req.file.EndpointsIn(h.cfg.AvailabilityZone) {
		c := req.file.Class(e.Class)
		if c == nil || c.Kind != declared.KindEngine {
			continue
		}
		for _, m := range e.Models {
			if m == req.request.Pool {
				engines[e.Name] = e.Address
			}
		}
	}
	return engines
}
