package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/openai"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/traffic"
)

// chatPath is the route of the chat-completions form.
const chatPath = "/v1/chat/completions"

// describeChat reads a chat completion and turns it into a streamed call:
// engines are always asked for events, so that a cut answer can be resumed.
func describeChat(k *work, body []byte) refusal.Reason {
	c, err := openai.Parse(body, openai.Limits{})
	if err != nil {
		k.problem = err.Error()
		return refusal.BadRequest
	}
	k.stream = c.Stream
	k.request.Pool = c.Model
	k.request.Idempotent = true
	k.request.PromptTokens = c.PromptTokens
	k.request.OutputTokens = c.OutputTokens
	k.request.Prefix = c.Prefix
	k.call = &traffic.Call{
		Method: http.MethodPost, Path: chatPath, Body: c.StreamBody(), Engine: true,
		Header:    http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		UsageOf:   usageOf,
		HideUsage: !c.IncludeUsage,
	}
	return ""
}

// usageOf reads the usage from an event.
func usageOf(event []byte) (u traffic.Usage, alone, ok bool) {
	got, ok := openai.ReadUsage(event)
	return traffic.Usage{PromptTokens: got.PromptTokens, CachedTokens: got.CachedTokens, OutputTokens: got.OutputTokens}, got.Alone, ok
}

// eventStream is the content type of an engine's answer.
const eventStream = "text/event-stream"

// writeStream writes an engine's event stream as it comes.
func (h *Handler) writeStream(w http.ResponseWriter, from io.Reader) error {
	w.Header().Set("Content-Type", eventStream)
	w.WriteHeader(http.StatusOK)
	return h.copyBody(w, from)
}

// writeWhole writes a collected chat completion.
func (h *Handler) writeWhole(w http.ResponseWriter, whole []byte) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A writer without deadlines, as over a peer's session, has its own limits.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.Limits.IdleTimeout()))
	_, err := w.Write(whole)
	return err
}

// collect turns an event stream into one chat completion.
func collect(from io.Reader) ([]byte, error) {
	events := endpoint.NewEventReader(io.NopCloser(from), 0)
	var c openai.Collector
	for {
		event, err := events.Next()
		if err == io.EOF {
			return c.Body()
		}
		if err != nil {
			return nil, err
		}
		if err := c.Add(event); err != nil {
			return nil, err
		}
	}
}
