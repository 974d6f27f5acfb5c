// Package openai reads the chat-completions form that callers and engines
// speak. A request's bytes are kept as they came, but for the fields that ask
// for a stream with its usage; unknown fields pass.
package openai

import (
	"encoding/json"
	"errors"
	"strconv"
)

// Defaults of Limits.
const (
	DefaultMaxMessages     = 4096
	DefaultOutputTokens    = 1024
	DefaultMaxOutputTokens = 1 << 20
	DefaultMaxChoices      = 16
)

// Limits bounds what a request may ask for. A zero field means its default.
type Limits struct {
	Messages int
	// DefaultOutputTokens is the estimate where a request gives no limit.
	DefaultOutputTokens int
	// OutputTokens bounds what a request may give as its limit.
	OutputTokens int
	// Choices bounds the answers to one request.
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

// Request is a parsed chat completion.
type Request struct {
	// Body holds the bytes as they came.
	Body  []byte
	Model string
	// Stream says that the caller wants events, and IncludeUsage that it
	// wants the usage among them.
	Stream       bool
	IncludeUsage bool
	Messages     int
	// MaxTokens is the caller's limit for one answer, or zero.
	MaxTokens int
	// PromptTokens and OutputTokens are estimates; the latter counts every
	// answer that is asked for.
	PromptTokens int
	OutputTokens int
	// Prefix is the digest by which cache events name the prompt's beginning:
	// of its whole cache blocks within PrefixBytes. It is zero for a prompt
	// that is shorter than a block.
	Prefix uint64
	// Prefixes holds the digests of the first 1, 2, 4, 8, ... times
	// PrefixBytes of the prompt, as far as it reaches, so that prompts with a
	// common beginning share the first ones.
	Prefixes []uint64
	// Fingerprint is the digest of the model and the whole content.
	Fingerprint uint64

	members []member
}

// Parse reads a chat completion. Its error is always an *Error.
func Parse(body []byte, limits Limits) (*Request, error) {
	limits = limits.withDefaults()
	list, err := members(body)
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
	if err := into(&r.Model, value, "model"); err != nil {
		return err
	}
	if r.Model == "" {
		return &Error{Kind: Missing, Field: "model"}
	}
	return nil
}

func (r *Request) readStream(Limits) error {
	if value, ok := lookup(r.members, "stream"); ok {
		if err := into(&r.Stream, value, "stream"); err != nil {
			return err
		}
	}
	value, ok := lookup(r.members, "stream_options")
	if !ok {
		return nil
	}
	options, err := members(value)
	if err != nil {
		return &Error{Kind: WrongType, Field: "stream_options"}
	}
	if value, ok := lookup(options, "include_usage"); ok {
		return into(&r.IncludeUsage, value, "stream_options.include_usage")
	}
	return nil
}

// readTokens reads the limits of the answer. The newer field goes first.
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

// readCount reads a whole number between 1 and limit, also one that is
// written as 1e3 or 5.0. An absent field changes nothing.
func (r *Request) readCount(count *int, field string, limit int) error {
	value, ok := lookup(r.members, field)
	if !ok {
		return nil
	}
	var number json.Number
	if value[0] == '"' {
		return &Error{Kind: WrongType, Field: field}
	}
	if err := into(&number, value, field); err != nil {
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

// into decodes a value and names the field where its type is wrong.
func into(target any, value []byte, field string) error {
	err := json.Unmarshal(value, target)
	if err == nil {
		return nil
	}
	if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) && wrong.Field != "" {
		field += "." + wrong.Field
	}
	return &Error{Kind: WrongType, Field: field}
}

// StreamBody returns the request's bytes changed so that the engine streams
// and tells the usage at the end.
func (r *Request) StreamBody() []byte {
	if r.Stream && r.IncludeUsage {
		return r.Body
	}
	include := setting{"include_usage", []byte("true")}
	options := []byte(`{"include_usage":true}`)
	if value, ok := lookup(r.members, "stream_options"); ok {
		// Parse has read them as an object.
		list, _ := members(value)
		options = withSettings(value, list, include)
	}
	return withSettings(r.Body, r.members, setting{"stream", []byte("true")}, setting{"stream_options", options})
}

// Rewrite is StreamBody for bytes that were not parsed.
func Rewrite(body []byte) ([]byte, error) {
	list, err := members(body)
	if err != nil {
		return nil, err
	}
	r := &Request{Body: body, members: list}
	if err := r.readStream(Limits{}); err != nil {
		return nil, err
	}
	return r.StreamBody(), nil
}
