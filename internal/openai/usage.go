package openai

import (
	"bytes"
	"encoding/json"
)

// Usage is the token usage that an engine reports for a run.
type Usage struct {
	PromptTokens int
	// CachedTokens is the number of prompt tokens served from the cache.
	CachedTokens int
	OutputTokens int
	// UsageOnly reports whether the event carries only the usage, so that it can
	// be withheld from a caller that did not request usage.
	UsageOnly bool
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

// ReadUsage returns the usage in an event, or false if there is none. An event
// without usage is searched for the key but not parsed.
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
		UsageOnly:    len(chunk.Choices) == 0,
	}, true
}

// mayHaveUsage reports whether the key is followed by an object. Many engines
// write "usage":null into all other events.
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
