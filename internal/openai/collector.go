package openai

import (
	"encoding/json"
	"slices"
)

// DefaultCollectedBytes bounds what a Collector takes in.
const DefaultCollectedBytes = 8 << 20

// maxIndex bounds the number of an answer or of a tool call in it.
const maxIndex = 128

// Collector turns the events of a stream into one body. The zero value is
// ready for use.
type Collector struct {
	// Limit bounds the bytes of all events; zero means the default.
	Limit int

	size    int
	head    chunkHead
	choices []*choice
	usage   json.RawMessage
}

// chunkHead holds the fields that every event repeats.
type chunkHead struct {
	ID                string          `json:"id,omitempty"`
	Created           json.RawMessage `json:"created,omitempty"`
	Model             string          `json:"model,omitempty"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
}

type chunk struct {
	chunkHead
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
	Role             string      `json:"role"`
	Content          *string     `json:"content"`
	Refusal          *string     `json:"refusal"`
	ReasoningContent *string     `json:"reasoning_content"`
	ToolCalls        []deltaCall `json:"tool_calls"`
}

type deltaCall struct {
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

// choice is one answer as far as it has come.
type choice struct {
	role      string
	content   text
	refusal   text
	reasoning text
	calls     []*toolCall
	finish    *string
	logprobs  *logprobs
}

type toolCall struct {
	id, kind, name string
	arguments      text
}

// text grows by parts; an empty part makes it present.
type text struct {
	bytes   []byte
	present bool
}

func (t *text) add(part *string) {
	if part != nil {
		t.bytes = append(t.bytes, *part...)
		t.present = true
	}
}

func (t *text) value() *string {
	if !t.present {
		return nil
	}
	s := string(t.bytes)
	return &s
}

// Add takes in the data of one event. Its error is always an *Error.
func (c *Collector) Add(event []byte) error {
	limit := c.Limit
	setDefault(&limit, DefaultCollectedBytes)
	if c.size += len(event); c.size > limit {
		return &Error{Kind: TooLarge, Field: "the answer", Limit: limit}
	}
	var one chunk
	if err := json.Unmarshal(event, &one); err != nil {
		return &Error{Kind: NotJSON, Field: "the event"}
	}
	if present(one.Error) {
		return &Error{Kind: EngineFailed}
	}
	c.head.merge(one.chunkHead)
	if present(one.Usage) {
		c.usage = one.Usage
	}
	for _, part := range one.Choices {
		if err := c.addChoice(part); err != nil {
			return err
		}
	}
	return nil
}

func present(value json.RawMessage) bool { return len(value) > 0 && string(value) != "null" }

// merge keeps the first value of each field.
func (h *chunkHead) merge(next chunkHead) {
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
	if part.Index < 0 || part.Index >= maxIndex {
		return &Error{Kind: OutOfRange, Field: "choices.index", Limit: maxIndex}
	}
	for len(c.choices) <= part.Index {
		c.choices = append(c.choices, nil)
	}
	if c.choices[part.Index] == nil {
		c.choices[part.Index] = &choice{}
	}
	return c.choices[part.Index].add(part)
}

func (c *choice) add(part chunkChoice) error {
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

func (c *choice) addCall(part deltaCall) error {
	if part.Index < 0 || part.Index >= maxIndex {
		return &Error{Kind: OutOfRange, Field: "tool_calls.index", Limit: maxIndex}
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
	chunkHead
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

// Body returns the chat completion that the events make up. It is for a
// stream that has ended whole.
func (c *Collector) Body() ([]byte, error) {
	whole := completion{chunkHead: c.head, Object: "chat.completion", Usage: c.usage}
	for index, one := range c.choices {
		if one != nil {
			whole.Choices = append(whole.Choices, one.whole(index))
		}
	}
	if len(whole.Choices) == 0 {
		return nil, &Error{Kind: Missing, Field: "choices"}
	}
	return json.Marshal(whole)
}

func (c *choice) whole(index int) completionChoice {
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
