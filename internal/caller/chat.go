package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/traffic"
	"github.com/cespare/xxhash/v2"
)

// chatPath is the route of the chat-completions form.
const chatPath = "/v1/chat/completions"

// Estimates for requests that say nothing themselves.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 1024
	prefixBytes         = 1024
)

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// describeChat reads a chat completion and turns it into a streamed call.
func describeChat(k *work, body []byte) refusal.Reason {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil || c.Model == "" || len(c.Messages) == 0 {
		return refusal.BadRequest
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return refusal.BadRequest
	}
	raw["stream"] = json.RawMessage("true")
	streamed, err := json.Marshal(raw)
	if err != nil {
		return refusal.BadRequest
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Content)
	}
	prompt := text.String()
	k.stream = c.Stream
	k.request.Pool = c.Model
	k.request.Idempotent = true
	k.request.PromptTokens = len(prompt)/bytesPerToken + 1
	k.request.OutputTokens = c.MaxTokens
	if c.MaxTokens <= 0 {
		k.request.OutputTokens = defaultOutputTokens
	}
	k.request.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
	k.call = &traffic.Call{
		Method: http.MethodPost, Path: chatPath, Body: streamed, Engine: true,
		Header:  http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		UsageOf: usageOf,
	}
	return ""
}

var usageKey = []byte(`"usage":{`)

func usageOf(event []byte) (traffic.Usage, bool) {
	if !bytes.Contains(event, usageKey) {
		return traffic.Usage{}, false
	}
	var chunk struct {
		Usage chatUsage `json:"usage"`
	}
	if json.Unmarshal(event, &chunk) != nil {
		return traffic.Usage{}, false
	}
	u := chunk.Usage
	return traffic.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, OutputTokens: u.CompletionTokens}, true
}

// writeChat writes an engine's event stream, as it comes or collected.
func (h *Handler) writeChat(w http.ResponseWriter, from io.Reader, stream bool) error {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		return h.copyBody(w, from)
	}
	whole, err := collect(from)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.Limits.IdleTimeout()))
	_, err = w.Write(whole)
	return err
}

type chatChunk struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Usage *chatUsage `json:"usage"`
}

// collect turns an event stream into one chat completion.
func collect(from io.Reader) ([]byte, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 4096), 1<<20)
	var text strings.Builder
	var usage chatUsage
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		var c chatChunk
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			usage = *c.Usage
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{
		"object":  "chat.completion",
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text.String()}}},
		"usage":   usage,
	})
}
