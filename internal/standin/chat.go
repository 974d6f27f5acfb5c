package standin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4
	// DefaultMaxTokens is the length of an answer if the request sets none.
	DefaultMaxTokens = 16
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// User is a marker set by the caller. It makes the answer unique to the
	// request.
	User string `json:"user,omitempty"`
}

// Usage holds the token counts in the last chunk of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one event of a streamed answer, or a complete unstreamed answer.
type Chunk struct {
	// ID is the X-Request-Id of the request that the answer belongs to.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice in a Chunk. It has a Delta in a stream and a
// Message otherwise.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Prompt returns the contents of all messages, joined.
func (c *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// PromptTokens returns the length of the prompt in tokens, at least one.
func (c *ChatRequest) PromptTokens() int {
	return max(1, len(c.Prompt())/BytesPerToken)
}

// OutputTokens returns the length of the answer in tokens.
func (c *ChatRequest) OutputTokens() int {
	if c.MaxTokens <= 0 {
		return DefaultMaxTokens
	}
	return c.MaxTokens
}

// AnswerKey returns the digest that is part of every token of the answer. It
// depends only on the prompt, the model and the user marker, so that a caller
// can check that an answer belongs to its request.
func (c *ChatRequest) AnswerKey() uint64 {
	return xxhash.Sum64String(c.Model + "\x00" + c.User + "\x00" + c.Prompt())
}

// Token returns the text of the i-th token, from 0.
func (c *ChatRequest) Token(i int) string { return token(c.AnswerKey(), i) }

// Answer returns the text of the complete answer.
func (c *ChatRequest) Answer() string {
	key := c.AnswerKey()
	var b strings.Builder
	for i := range c.OutputTokens() {
		b.WriteString(token(key, i))
	}
	return b.String()
}

func token(key uint64, i int) string { return fmt.Sprintf("%016x-%d ", key, i) }

// tokenEvent returns the event with the i-th token.
func tokenEvent(id string, c *ChatRequest, key uint64, i int) []byte {
	return mustJSON(Chunk{
		ID: id, Object: "chat.completion.chunk", Model: c.Model,
		Choices: []Choice{{Delta: &Message{Role: "assistant", Content: token(key, i)}}},
	})
}

// lastEvent returns the event with the finish reason and the usage.
func lastEvent(id string, c *ChatRequest, usage Usage) []byte {
	return mustJSON(Chunk{
		ID: id, Object: "chat.completion.chunk", Model: c.Model,
		Choices: []Choice{{Delta: &Message{}, FinishReason: "length"}},
		Usage:   &usage,
	})
}

// unstreamedAnswer returns the body of an answer that is not streamed.
func unstreamedAnswer(id string, c *ChatRequest, usage Usage) []byte {
	return mustJSON(Chunk{
		ID: id, Object: "chat.completion", Model: c.Model,
		Choices: []Choice{{
			Message:      &Message{Role: "assistant", Content: c.Answer()},
			FinishReason: "length",
		}},
		Usage: &usage,
	})
}

// mustJSON encodes a value whose type can always be encoded. It panics on an
// error.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
