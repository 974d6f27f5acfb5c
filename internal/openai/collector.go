package openai

import (
	"encoding/json"
	"slices"
)

// DefaultCollectedBytes is the default bound on the events of a Collector.
const DefaultCollectedBytes = 8 << 20

// maxElementIndex bounds the index of a choice and of a tool call in a choice.
const maxElementIndex = 128

// Collector assembles the events of a stream into one chat completion. The
// zero value is ready for use.
type Collector struct {
	// Limit bounds the total bytes of all events; zero means
	// DefaultCollectedBytes.
	Limit int

	size     int
	metadata chunkMetadata
	choices  []*partialChoice
	usage    json.RawMessage
}

// chunkMetadata holds the fields that are repeated in every event.
type chunkMetadata struct {
	ID                string          `json:"id,omitempty"`
	Created           json.RawMessage `json:"created,omitempty"`
	Model             string          `json:"model,omitempty"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
}

type chunk struct {
	chunkMetadata
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        delta     `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

type delta struct {
	Role             string          `json:"role"`
	Content          *string         `json:"content"`
	Refusal          *string         `json:"refusal"`
	ReasoningContent *string         `json:"reasoning_content"`
	ToolCalls        []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal"`
}

// partialChoice accumulates the deltas of one choice.
type partialChoice struct {
	role      string
	content   optionalText
	refusal   optionalText
	reasoning optionalText
	calls     []*toolCall
	finish    *string
	logprobs  *logprobs
}

type toolCall struct {
	id, kind, name string
	arguments      optionalText
}

// optionalText concatenates text deltas. It is present once a delta carried
// the field, even if the delta was empty.
type optionalText struct {
	bytes   []byte
	present bool
}

func (t *optionalText) add(part *string) {
	if part != nil {
		t.bytes = append(t.bytes, *part...)
		t.present = true
	}
}

func (t *optionalText) value() *string {
	if !t.present {
		return nil
	}
	s := string(t.bytes)
	return &s
}

// Add merges the data of one event. Its error is always an *Error.
func (c *Collector) Add(event []byte) error {
	limit := c.Limit
	setDefault(&limit, DefaultCollectedBytes)
	if c.size += len(event); c.size > limit {
		return &Error{Kind: TooLarge, Field: "the answer", Limit: limit}
	}
	var parsed chunk
	if err := json.Unmarshal(event, &parsed); err != nil {
		return &Error{Kind: NotJSON, Field: "the event"}
	}
	if present(parsed.Error) {
		return &Error{Kind: EngineError}
	}
	c.metadata.merge(parsed.chunkMetadata)
	if present(parsed.Usage) {
		c.usage = parsed.Usage
	}
	for _, part := range parsed.Choices {
		if err := c.addChoice(part); err != nil {
			return err
		}
	}
	return nil
}

// present reports whether a field is set and not null.
func present(value json.RawMessage) bool { return len(value) > 0 && string(value) != "null" }

// merge keeps the first value of each field.
func (h *chunkMetadata) merge(next chunkMetadata) {
	if h.ID == "" {
		h.ID = next.ID
	}
	if h.Model == "" {
		h.Model = next.Model
	}
	for _, field := range []struct{ have, next *json.RawMessage }{
		{&h.Created, &next.Created},
		{&h.SystemFingerprint, &next.SystemFingerprint},
		{&h.ServiceTier, &next.ServiceTier},
	} {
		if !present(*field.have) {
			*field.have = *field.next
		}
	}
}

func (c *Collector) addChoice(part chunkChoice) error {
	if part.Index < 0 || part.Index >= maxElementIndex {
		return &Error{Kind: OutOfRange, Field: "choices.index", Limit: maxElementIndex}
	}
	for len(c.choices) <= part.Index {
		c.choices = append(c.choices, nil)
	}
	if c.choices[part.Index] == nil {
		c.choices[part.Index] = &partialChoice{}
	}
	return c.choices[part.Index].add(part)
}

func (c *partialChoice) add(part chunkChoice) error {
	if c.role == "" {
		c.role = part.Delta.Role
	}
	c.content.add(part.Delta.Content)
	c.refusal.add(part.Delta.Refusal)
	c.reasoning.add(part.Delta.ReasoningContent)
	if part.FinishReason != nil {
		c.finish = part.FinishReason
	}
	if part.Logprobs != nil {
		if c.logprobs == nil {
			c.logprobs = &logprobs{}
		}
		c.logprobs.Content = append(c.logprobs.Content, part.Logprobs.Content...)
		c.logprobs.Refusal = append(c.logprobs.Refusal, part.Logprobs.Refusal...)
	}
	for _, call := range part.Delta.ToolCalls {
		if err := c.addCall(call); err != nil {
			return err
		}
	}
	return nil
}

func (c *partialChoice) addCall(part toolCallDelta) error {
	if part.Index < 0 || part.Index >= maxElementIndex {
		return &Error{Kind: OutOfRange, Field: "tool_calls.index", Limit: maxElementIndex}
	}
	for len(c.calls) <= part.Index {
		c.calls = append(c.calls, &toolCall{kind: "function"})
	}
	call := c.calls[part.Index]
	if part.ID != "" {
		call.id = part.ID
	}
	if part.Type != "" {
		call.kind = part.Type
	}
	call.name += part.Function.Name
	call.arguments.add(&part.Function.Arguments)
	return nil
}

type completion struct {
	chunkMetadata
	Object  string             `json:"object"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
	Logprobs     *logprobs         `json:"logprobs,omitempty"`
}

type completionMessage struct {
	Role             string           `json:"role"`
	Content          *string          `json:"content"`
	Refusal          *string          `json:"refusal,omitempty"`
	ReasoningContent *string          `json:"reasoning_content,omitempty"`
	ToolCalls        []completionCall `json:"tool_calls,omitempty"`
}

type completionCall struct {
	ID       string             `json:"id"`
	Type     string             `json:"type"`
	Function completionFunction `json:"function"`
}

type completionFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Body returns the chat completion assembled from the events. It is meant for
// a stream that ended normally.
func (c *Collector) Body() ([]byte, error) {
	result := completion{chunkMetadata: c.metadata, Object: "chat.completion", Usage: c.usage}
	for index, partial := range c.choices {
		if partial != nil {
			result.Choices = append(result.Choices, partial.toCompletionChoice(index))
		}
	}
	if len(result.Choices) == 0 {
		return nil, &Error{Kind: Missing, Field: "choices"}
	}
	return json.Marshal(result)
}

func (c *partialChoice) toCompletionChoice(index int) completionChoice {
	m := completionMessage{
		Role:             c.role,
		Content:          c.content.value(),
		Refusal:          c.refusal.value(),
		ReasoningContent: c.reasoning.value(),
	}
	if m.Role == "" {
		m.Role = "assistant"
	}
	m.ToolCalls = slices.Grow(m.ToolCalls, len(c.calls))
	for _, call := range c.calls {
		m.ToolCalls = append(m.ToolCalls, completionCall{
			ID:       call.id,
			Type:     call.kind,
			Function: completionFunction{Name: call.name, Arguments: string(call.arguments.bytes)},
		})
	}
	return completionChoice{Index: index, Message: m, FinishReason: c.finish, Logprobs: c.logprobs}
}
