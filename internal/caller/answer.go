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

// refusedRequest is a refusal on its way to a caller.
type refusedRequest struct {
	reason     refusal.Reason
	retryAfter time.Duration
	ticket     string
	request    string
	// detail is added to the reason's own text.
	detail string
	// resent says that the request came with a ticket of which nothing is
	// known here: an earlier send of it may have run, whatever the reason.
	resent bool
}

// refuseHere refuses without the reducer, and counts it.
func (h *Handler) refuseHere(w http.ResponseWriter, x *refusedRequest) {
	h.cfg.Refused(x.reason)
	h.refuse(w, x)
}

// refuse writes the JSON form of a refusal with its status and Retry-After.
func (h *Handler) refuse(w http.ResponseWriter, x *refusedRequest) {
	kind, body := x.body()
	if x.ticket != "" {
		w.Header().Set(HeaderTicket, x.ticket)
	}
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(body.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(kind.Status)
	// The caller may have gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func (x *refusedRequest) body() (refusal.Kind, refusal.Body) {
	kind, _ := refusal.Lookup(x.reason)
	after := max(x.retryAfter, kind.RetryAfter)
	text := kind.Text
	if x.detail != "" {
		text += ": " + x.detail
	}
	return kind, refusal.Body{Error: refusal.Detail{
		Reason: x.reason, NotRun: kind.NotRun && !x.resent, Message: text,
		RetryAfterMS: after.Milliseconds(), Ticket: x.ticket, RequestID: x.request,
	}}
}

// refused builds the refusal that the reducer decided.
func (h *Handler) refused(id reducer.RequestID, d reducer.Refused) *refusedRequest {
	x := &refusedRequest{reason: d.Reason, retryAfter: d.RetryAfter, request: h.requestName(id)}
	if d.Ticket.Request != 0 {
		x.ticket = h.cfg.Minter.Mint(uint64(d.Ticket.Request), int64(d.Ticket.Expires))
	}
	return x
}

func (h *Handler) requestName(id reducer.RequestID) string {
	if id == 0 {
		return ""
	}
	return requestName(h.cfg.Incarnation, uint64(id))
}

// requestName is how callers, operators and logs name a request.
func requestName(incarnation, id uint64) string {
	return fmt.Sprintf("%016x-%x", incarnation, id)
}

// answer waits for the verdict on a submitted request and writes what comes.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, k *work, waiter *traffic.Waiter, started time.Time) {
	v, ok := wait(r.Context(), waiter)
	if !ok {
		h.log(r, k, "", string(refusal.CallerGone), started)
		return
	}
	name := h.requestName(v.Request)
	if v.Refused != nil {
		h.refuse(w, h.refused(v.Request, *v.Refused))
		h.log(r, k, name, string(v.Refused.Reason), started)
		return
	}
	// Head and Read end when the caller goes.
	defer context.AfterFunc(r.Context(), waiter.Leave)()
	status, header, err := v.Answer.Head()
	if err != nil {
		h.answerBroken(w, r, k, v, name, started)
		return
	}
	chat := k.call.Engine && status == http.StatusOK
	var whole []byte
	if chat && !k.stream {
		// Nothing is written yet, so that a broken run still gets an answer.
		if whole, err = collect(v.Answer); err != nil {
			h.answerBroken(w, r, k, v, name, started)
			return
		}
	}
	h.writeHead(w, v, header, name)
	if chat {
		// The length is that of the engine's own events.
		w.Header().Del("Content-Length")
	}
	switch {
	case whole != nil:
		err = h.writeWhole(w, whole)
	case chat:
		err = h.writeStream(w, v.Answer)
	default:
		w.WriteHeader(status)
		err = h.copyBody(w, v.Answer)
	}
	if err != nil {
		h.cut(w, r, k, v, name, started)
	}
	h.log(r, k, name, "answered", started)
}

// answerBroken tells why a request that was admitted has no answer.
func (h *Handler) answerBroken(w http.ResponseWriter, r *http.Request, k *work, v traffic.Verdict, name string, started time.Time) {
	if r.Context().Err() != nil {
		h.log(r, k, name, string(refusal.CallerGone), started)
		return
	}
	d := v.Answer.Refused()
	if v.Ticket.Request != 0 {
		w.Header().Set(HeaderTicket, h.cfg.Minter.Mint(uint64(v.Ticket.Request), int64(v.Ticket.Expires)))
	}
	h.refuse(w, h.refused(v.Request, d))
	h.log(r, k, name, string(d.Reason), started)
}

func (h *Handler) writeHead(w http.ResponseWriter, v traffic.Verdict, header http.Header, name string) {
	copyHead(w.Header(), header)
	w.Header().Del("X-Request-Id")
	w.Header().Set(HeaderRequest, name)
	w.Header().Set(HeaderInstance, h.cfg.Instance)
	if v.Ticket.Request != 0 {
		w.Header().Set(HeaderTicket, h.cfg.Minter.Mint(uint64(v.Ticket.Request), int64(v.Ticket.Expires)))
	}
}

func copyHead(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// cut ends an answer so that it cannot look whole: the connection is aborted.
func (h *Handler) cut(w http.ResponseWriter, r *http.Request, k *work, v traffic.Verdict, name string, started time.Time) {
	reason := refusal.CallerGone
	if r.Context().Err() == nil {
		reason = v.Answer.Refused().Reason
	}
	if k.call.Engine && k.stream && r.Context().Err() == nil {
		writeError(w, &refusedRequest{reason: reason, request: name})
	}
	h.log(r, k, name, string(reason), started)
	panic(http.ErrAbortHandler)
}

// writeError ends an event stream with an event that says why.
func writeError(w http.ResponseWriter, x *refusedRequest) {
	_, body := x.body()
	text, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", text)
	_ = http.NewResponseController(w).Flush()
}

// copyBuffer is the size in bytes of the buffer that copies answers.
const copyBuffer = 16 << 10

// copyBody copies and flushes until the whole answer is written.
func (h *Handler) copyBody(w http.ResponseWriter, from io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
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
