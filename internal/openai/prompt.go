package openai

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Token estimates and digest block sizes.
const (
	// BytesPerToken is the assumed number of text bytes per token.
	BytesPerToken = 4
	// PrefixBytes is the unit of prefix digests: 256 tokens.
	PrefixBytes = 256 * BytesPerToken
	// cacheBlockBytes is the size of an engine's cache block. The prefix digest
	// of a prompt shorter than PrefixBytes covers only complete blocks.
	cacheBlockBytes = 64
	// nonTextPartTokens is the estimate for one content part that is not
	// text, such as an image.
	nonTextPartTokens = 1024
)

// message holds the fields that are read from a message. Other fields are
// ignored.
type message struct {
	Role      *string         `json:"role"`
	Content   json.RawMessage `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// contentPart is one element of message content that is a list.
type contentPart struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// promptAccumulator collects the input of token estimates and digests over all
// messages.
type promptAccumulator struct {
	text         []byte
	nonTextParts int
	toolBytes    int
	// fingerprint covers the model, the tools and all messages.
	fingerprint *xxhash.Digest
}

func (r *Request) readMessages(limits Limits) error {
	value, ok := lookup(r.members, "messages")
	if !ok {
		return &Error{Kind: Missing, Field: "messages"}
	}
	var list []message
	if err := decodeField(&list, value, "messages"); err != nil {
		return err
	}
	if len(list) == 0 {
		return &Error{Kind: Missing, Field: "messages"}
	}
	if len(list) > limits.Messages {
		return &Error{Kind: TooMany, Field: "messages", Limit: limits.Messages}
	}
	p := &promptAccumulator{text: make([]byte, 0, len(value)), fingerprint: xxhash.New()}
	p.hashString(r.Model)
	if tools, ok := lookup(r.members, "tools"); ok {
		p.hashString(string(tools))
		p.toolBytes += len(tools)
	}
	for _, m := range list {
		if err := p.add(m); err != nil {
			return err
		}
	}
	r.Messages = len(list)
	r.PromptTokens = max(1, (len(p.text)+p.toolBytes)/BytesPerToken+p.nonTextParts*nonTextPartTokens)
	r.Fingerprint = p.fingerprint.Sum64()
	r.Prefix = cachePrefixDigest(p.text)
	r.Prefixes = prefixDigests(p.text)
	return nil
}

// hashString adds a string to the fingerprint, prefixed with its length, so
// that different lists of strings never hash the same input.
func (p *promptAccumulator) hashString(s string) {
	var length [8]byte
	for i := range length {
		length[i] = byte(len(s) >> (8 * i))
	}
	_, _ = p.fingerprint.Write(length[:])
	_, _ = p.fingerprint.WriteString(s)
}

func (p *promptAccumulator) add(m message) error {
	if m.Role == nil {
		return &Error{Kind: Missing, Field: "messages.role"}
	}
	p.hashString(*m.Role)
	p.hashString(string(m.ToolCalls))
	p.toolBytes += len(m.ToolCalls)
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return nil
	}
	switch m.Content[0] {
	case '"':
		var text string
		if err := decodeField(&text, m.Content, "messages.content"); err != nil {
			return err
		}
		p.addText(text)
		return nil
	case '[':
		return p.addParts(m.Content)
	}
	return &Error{Kind: WrongType, Field: "messages.content"}
}

func (p *promptAccumulator) addText(text string) {
	p.hashString(text)
	p.text = append(p.text, text...)
}

// addParts adds message content that is a list. A part that is not text enters
// the fingerprint as its JSON.
func (p *promptAccumulator) addParts(content json.RawMessage) error {
	var list []json.RawMessage
	if err := decodeField(&list, content, "messages.content"); err != nil {
		return err
	}
	for _, raw := range list {
		var decoded contentPart
		if err := decodeField(&decoded, raw, "messages.content"); err != nil {
			return err
		}
		if decoded.Text != nil {
			p.addText(*decoded.Text)
			continue
		}
		if decoded.Type == "" {
			return &Error{Kind: Missing, Field: "messages.content.type"}
		}
		p.hashString(string(raw))
		p.nonTextParts++
	}
	return nil
}

// cachePrefixDigest returns the digest by which an engine's cache events identify
// the prefix of a prompt: of the complete cache blocks within its first
// PrefixBytes, or zero if there are none.
func cachePrefixDigest(text []byte) uint64 {
	end := min(len(text), PrefixBytes) / cacheBlockBytes * cacheBlockBytes
	if end == 0 {
		return 0
	}
	return xxhash.Sum64(text[:end])
}

// prefixDigests returns the digests of the first 1, 2, 4, 8, ... times
// PrefixBytes of a prompt.
func prefixDigests(text []byte) []uint64 {
	var digests []uint64
	digest := xxhash.New()
	from := 0
	for end := PrefixBytes; end <= len(text); end *= 2 {
		_, _ = digest.Write(text[from:end])
		digests = append(digests, digest.Sum64())
		from = end
	}
	return digests
}
