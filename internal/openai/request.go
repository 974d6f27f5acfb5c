// Package openai parses the OpenAI chat completions API that callers and
// engines use. A request body is forwarded unchanged except for the fields
// that request a stream with usage; unknown fields are preserved.
package openai

import (
	"encoding/json"
	"errors"
	"strconv"
)

// Default values of Limits.
const (
	DefaultMaxMessages     = 4096
	DefaultOutputTokens    = 1024
	DefaultMaxOutputTokens = 1 << 20
	DefaultMaxChoices      = 16
)

// Limits bounds the parameters of a request. A zero field means its default.
type Limits struct {
	Messages int
	// DefaultOutputTokens is the output estimate for a request without a token
	// limit.
	DefaultOutputTokens int
	// OutputTokens bounds the token limit of a request.
	OutputTokens int
	// Choices bounds the number of choices that a request may ask for.
	Choices int
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Messages, DefaultMaxMessages)
	setDefault(&l.DefaultOutputTokens, DefaultOutputTokens)
	setDefault(&l.OutputTokens, DefaultMaxOutputTokens)
	setDefault(&l.Choices, DefaultMaxChoices)
	return l
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Request is a parsed chat completion request.
type Request struct {
	// Body holds the request body as received.
	Body  []byte
	Model string
	// Stream reports whether the caller requested a stream, and IncludeUsage
	// whether it requested usage in it.
	Stream       bool
	IncludeUsage bool
	Messages     int
	// MaxTokens is the caller's limit for one choice, or zero.
	MaxTokens int
	// PromptTokens and OutputTokens are estimates; OutputTokens covers all
	// requested choices.
	PromptTokens int
	OutputTokens int
	// Prefix is the digest that identifies the prompt's prefix in cache
	// events. It covers the complete cache blocks within the first PrefixBytes
	// and is zero for a prompt shorter than one block.
	Prefix uint64
	// Prefixes holds the digests of the first 1, 2, 4, 8, ... times
	// PrefixBytes of the prompt, up to its length. Prompts with a common
	// prefix share the first digests.
	Prefixes []uint64
	// Fingerprint is the digest of the model, the tools and all messages.
	Fingerprint uint64

	members []member
}

// Parse parses a chat completion request. Its error is always an *Error.
func Parse(body []byte, limits Limits) (*Request, error) {
	limits = limits.withDefaults()
	list, err := parseMembers(body)
	if err != nil {
		return nil, err
	}
	r := &Request{Body: body, members: list}
	for _, read := range []func(Limits) error{r.readModel, r.readStream, r.readTokens, r.readMessages} {
		if err := read(limits); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Request) readModel(Limits) error {
	value, ok := lookup(r.members, "model")
	if !ok {
		return &Error{Kind: Missing, Field: "model"}
	}
	if err := decodeField(&r.Model, value, "model"); err != nil {
		return err
	}
	if r.Model == "" {
		return &Error{Kind: Missing, Field: "model"}
	}
	return nil
}

func (r *Request) readStream(Limits) error {
	if value, ok := lookup(r.members, "stream"); ok {
		if err := decodeField(&r.Stream, value, "stream"); err != nil {
			return err
		}
	}
	value, ok := lookup(r.members, "stream_options")
	if !ok {
		return nil
	}
	options, err := parseMembers(value)
	if err != nil {
		return &Error{Kind: WrongType, Field: "stream_options"}
	}
	if value, ok := lookup(options, "include_usage"); ok {
		return decodeField(&r.IncludeUsage, value, "stream_options.include_usage")
	}
	return nil
}

// readTokens reads the output limits. max_completion_tokens, the newer field,
// takes precedence over max_tokens.
func (r *Request) readTokens(limits Limits) error {
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if err := r.readCount(&r.MaxTokens, field, limits.OutputTokens); err != nil {
			return err
		}
	}
	choices := 1
	if err := r.readCount(&choices, "n", limits.Choices); err != nil {
		return err
	}
	r.OutputTokens = r.MaxTokens
	setDefault(&r.OutputTokens, limits.DefaultOutputTokens)
	r.OutputTokens *= choices
	return nil
}

// readCount reads an integer between 1 and limit, which may be written as 1e3
// or 5.0. If the field is absent, count is unchanged.
func (r *Request) readCount(count *int, field string, limit int) error {
	value, ok := lookup(r.members, field)
	if !ok {
		return nil
	}
	var number json.Number
	if value[0] == '"' {
		return &Error{Kind: WrongType, Field: field}
	}
	if err := decodeField(&number, value, field); err != nil {
		return err
	}
	f, err := strconv.ParseFloat(number.String(), 64)
	if err != nil || f < 1 || f > float64(limit) {
		return &Error{Kind: OutOfRange, Field: field, Limit: limit}
	}
	if f != float64(int(f)) {
		return &Error{Kind: WrongType, Field: field}
	}
	*count = int(f)
	return nil
}

// decodeField decodes a value into target. Its error carries the path of the
// field with the wrong type.
func decodeField(target any, value []byte, field string) error {
	err := json.Unmarshal(value, target)
	if err == nil {
		return nil
	}
	if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) && wrong.Field != "" {
		field += "." + wrong.Field
	}
	return &Error{Kind: WrongType, Field: field}
}

// StreamBody returns the request body with streaming enabled and with usage
// requested at the end of the stream.
func (r *Request) StreamBody() []byte {
	if r.Stream && r.IncludeUsage {
		return r.Body
	}
	includeUsage := override{"include_usage", []byte("true")}
	options := []byte(`{"include_usage":true}`)
	if value, ok := lookup(r.members, "stream_options"); ok {
		// The error is ignored: readStream has parsed the value as an object.
		list, _ := parseMembers(value)
		options = withOverrides(value, list, includeUsage)
	}
	return withOverrides(r.Body, r.members, override{"stream", []byte("true")}, override{"stream_options", options})
}

// EnableStreaming returns a body as StreamBody does, without parsing the rest
// of the request.
func EnableStreaming(body []byte) ([]byte, error) {
	list, err := parseMembers(body)
	if err != nil {
		return nil, err
	}
	r := &Request{Body: body, members: list}
	if err := r.readStream(Limits{}); err != nil {
		return nil, err
	}
	return r.StreamBody(), nil
}
