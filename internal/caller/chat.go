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

// chatPath is the path of the chat-completions API.
const chatPath = "/v1/chat/completions"

// parseChat parses a chat-completion request into a streamed call. Engines
// always receive a streaming request, so that an interrupted answer can be
// resumed.
func parseChat(req *inboundRequest, body []byte) refusal.Reason {
	c, err := openai.Parse(body, openai.Limits{})
	if err != nil {
		req.parseError = err.Error()
		return refusal.BadRequest
	}
	req.stream = c.Stream
	req.request.Pool = c.Model
	req.request.Idempotent = true
	req.request.PromptTokens = c.PromptTokens
	req.request.OutputTokens = c.OutputTokens
	req.request.Prefix = c.Prefix
	req.call = &traffic.Call{
		Method: http.MethodPost, Path: chatPath, Body: c.StreamBody(), Engine: true,
		Header:    http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		ReadUsage: readUsage,
		HideUsage: !c.IncludeUsage,
	}
	return ""
}

// readUsage reads the token usage from an event.
func readUsage(event []byte) (u traffic.Usage, usageOnly, ok bool) {
	usage, ok := openai.ReadUsage(event)
	return traffic.Usage{PromptTokens: usage.PromptTokens, CachedTokens: usage.CachedTokens, OutputTokens: usage.OutputTokens}, usage.UsageOnly, ok
}

// eventStreamType is the content type of an engine's answer.
const eventStreamType = "text/event-stream"

// writeStream writes an engine's event stream as it arrives.
func (h *Handler) writeStream(w http.ResponseWriter, from io.Reader) error {
	w.Header().Set("Content-Type", eventStreamType)
	w.WriteHeader(http.StatusOK)
	return h.copyBody(w, from)
}

// writeCompletion writes a chat completion as one JSON body.
func (h *Handler) writeCompletion(w http.ResponseWriter, completion []byte) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A writer without deadlines, as in a peer session, has its own limits.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.Limits.IdleTimeout()))
	_, err := w.Write(completion)
	return err
}

// collectCompletion merges an event stream into one chat completion.
func collectCompletion(from io.Reader) ([]byte, error) {
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
