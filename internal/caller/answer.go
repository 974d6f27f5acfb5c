package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/traffic"
)

// refusalResponse is a refusal to be sent to a caller.
type refusalResponse struct {
	reason     refusal.Reason
	retryAfter time.Duration
	ticket     string
	requestID  string
	// detail is appended to the text of the reason.
	detail string
	// resent is true if the request carried a ticket whose state is not known
	// here. An earlier send of it may have run, whatever the reason is.
	resent bool
}

// refuseLocally writes and counts a refusal that the reducer did not decide.
func (h *Handler) refuseLocally(w http.ResponseWriter, resp *refusalResponse) {
	h.cfg.CountRefusal(resp.reason)
	h.writeRefusal(w, resp)
}

// writeRefusal writes the JSON body of a refusal with its status and
// Retry-After.
func (h *Handler) writeRefusal(w http.ResponseWriter, resp *refusalResponse) {
	kind, body := resp.body()
	if resp.ticket != "" {
		w.Header().Set(HeaderTicket, resp.ticket)
	}
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(body.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(kind.Status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (resp *refusalResponse) body() (refusal.Kind, refusal.Body) {
	kind, _ := refusal.Lookup(resp.reason)
	after := max(resp.retryAfter, kind.RetryAfter)
	text := kind.Text
	if resp.detail != "" {
		text += ": " + resp.detail
	}
	return kind, refusal.Body{Error: refusal.Detail{
		Reason: resp.reason, NotRun: kind.NotRun && !resp.resent, Message: text,
		RetryAfterMS: after.Milliseconds(), Ticket: resp.ticket, RequestID: resp.requestID,
	}}
}

// reducerRefusal returns the response for a refusal that the reducer decided.
func (h *Handler) reducerRefusal(id reducer.RequestID, d reducer.Refused) *refusalResponse {
	resp := &refusalResponse{reason: d.Reason, retryAfter: d.RetryAfter, requestID: h.externalID(id)}
	if d.Ticket.Request != 0 {
		resp.ticket = h.cfg.Minter.Mint(uint64(d.Ticket.Request), int64(d.Ticket.Expires))
	}
	return resp
}

func (h *Handler) externalID(id reducer.RequestID) string {
	if id == 0 {
		return ""
	}
	return formatRequestID(h.cfg.Incarnation, uint64(id))
}

// formatRequestID returns the request ID that callers, operators and logs see.
func formatRequestID(incarnation, id uint64) string {
	return fmt.Sprintf("%016x-%x", incarnation, id)
}

// serveAnswer waits for the decision on a submitted request and writes the
// answer or the refusal.
func (h *Handler) serveAnswer(w http.ResponseWriter, r *http.Request, req *inboundRequest, waiter *traffic.Waiter, started time.Time) {
	v, ok := awaitDecision(r.Context(), waiter)
	if !ok {
		h.log(r, req, "", string(refusal.CallerGone), started)
		return
	}
	id := h.externalID(v.Request)
	if v.Refused != nil {
		h.writeRefusal(w, h.reducerRefusal(v.Request, *v.Refused))
		h.log(r, req, id, string(v.Refused.Reason), started)
		return
	}
	// Head and Read return when the caller disconnects.
	defer context.AfterFunc(r.Context(), waiter.Detach)()
	status, header, err := v.Answer.Head()
	if err != nil {
		h.refuseFailedRun(w, r, req, v, id, started)
		return
	}
	chat := req.call.Engine && status == http.StatusOK
	var completion []byte
	if chat && !req.stream {
		// Nothing has been written yet, so a failed run can still be refused.
		if completion, err = collectCompletion(v.Answer); err != nil {
			h.refuseFailedRun(w, r, req, v, id, started)
			return
		}
	}
	h.setAnswerHeader(w, v, header, id)
	if chat {
		// Content-Length is the length of the engine's event stream.
		w.Header().Del("Content-Length")
	}
	switch {
	case completion != nil:
		err = h.writeCompletion(w, completion)
	case chat:
		err = h.writeStream(w, v.Answer)
	default:
		w.WriteHeader(status)
		err = h.copyBody(w, v.Answer)
	}
	if err != nil {
		h.abortAnswer(w, r, req, v, id, started)
	}
	h.log(r, req, id, "answered", started)
}

// refuseFailedRun writes the refusal of an admitted request whose run failed
// before anything was written.
func (h *Handler) refuseFailedRun(w http.ResponseWriter, r *http.Request, req *inboundRequest, v traffic.Decision, id string, started time.Time) {
	if r.Context().Err() != nil {
		h.log(r, req, id, string(refusal.CallerGone), started)
		return
	}
	d := v.Answer.Refused()
	if v.Ticket.Request != 0 {
		w.Header().Set(HeaderTicket, h.cfg.Minter.Mint(uint64(v.Ticket.Request), int64(v.Ticket.Expires)))
	}
	h.writeRefusal(w, h.reducerRefusal(v.Request, d))
	h.log(r, req, id, string(d.Reason), started)
}

func (h *Handler) setAnswerHeader(w http.ResponseWriter, v traffic.Decision, header http.Header, id string) {
	copyHeader(w.Header(), header)
	w.Header().Del("X-Request-Id")
	w.Header().Set(HeaderRequest, id)
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	if v.Ticket.Request != 0 {
		w.Header().Set(HeaderTicket, h.cfg.Minter.Mint(uint64(v.Ticket.Request), int64(v.Ticket.Expires)))
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// abortAnswer ends an incomplete answer and aborts the connection, so that the
// caller cannot mistake the answer for a complete one.
func (h *Handler) abortAnswer(w http.ResponseWriter, r *http.Request, req *inboundRequest, v traffic.Decision, id string, started time.Time) {
	reason := refusal.CallerGone
	if r.Context().Err() == nil {
		reason = v.Answer.Refused().Reason
	}
	if req.call.Engine && req.stream && r.Context().Err() == nil {
		writeErrorEvent(w, &refusalResponse{reason: reason, requestID: id})
	}
	h.log(r, req, id, string(reason), started)
	panic(http.ErrAbortHandler)
}

// writeErrorEvent ends an event stream with an event that contains the reason.
func writeErrorEvent(w http.ResponseWriter, resp *refusalResponse) {
	_, body := resp.body()
	text, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", text)
	_ = http.NewResponseController(w).Flush()
}

// copyBufferBytes is the size of the buffer with which answers are copied.
const copyBufferBytes = 16 << 10

// copyBody copies from to w and flushes after each write, until from ends.
func (h *Handler) copyBody(w http.ResponseWriter, from io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(h.cfg.Limits.IdleTimeout()))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = rc.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
