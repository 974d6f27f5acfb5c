package openai

import (
	"bytes"
	"encoding/json"
)

// Usage is what an engine says that a run used, in tokens.
type Usage struct {
	PromptTokens int
	// CachedTokens is the part of the prompt that was in the cache.
	CachedTokens int
	OutputTokens int
	// Alone says that the event carries nothing but the usage: a caller that
	// did not ask for it need not get the event.
	Alone bool
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

var usageKey = []byte(`"usage"`)

// ReadUsage returns the usage that an event carries, or false. An event
// without it is only searched, not parsed.
func ReadUsage(event []byte) (Usage, bool) {
	if !mayHaveUsage(event) {
		return Usage{}, false
	}
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *wireUsage        `json:"usage"`
	}
	if json.Unmarshal(event, &chunk) != nil || chunk.Usage == nil {
		return Usage{}, false
	}
	u := chunk.Usage
	prompt := max(0, u.PromptTokens)
	return Usage{
		PromptTokens: prompt,
		CachedTokens: min(prompt, max(0, u.CachedTokens, u.Details.CachedTokens)),
		OutputTokens: max(0, u.CompletionTokens),
		Alone:        len(chunk.Choices) == 0,
	}, true
}

// mayHaveUsage reports whether the key stands before an object. Many engines
// write "usage":null into every other event.
func mayHaveUsage(event []byte) bool {
	for {
		i := bytes.Index(event, usageKey)
		if i < 0 {
			return false
		}
		event = event[i+len(usageKey):]
		if value := bytes.TrimLeft(event, " \t\r\n:"); len(value) > 0 && value[0] == '{' {
			return true
		}
	}
}
