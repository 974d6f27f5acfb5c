package openai

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Estimates and sizes of prompts.
const (
	// BytesPerToken is how many bytes of text a token is taken for.
	BytesPerToken = 4
	// PrefixBytes is the unit of prefix digests: 256 tokens.
	PrefixBytes = 256 * BytesPerToken
	// cacheBlockBytes is the unit in which cache events count a prompt that
	// is shorter than PrefixBytes.
	cacheBlockBytes = 64
	// partTokens is the estimate for one part that is not text, as a picture.
	partTokens = 1024
)

// message is what is read of one message. Other fields pass.
type message struct {
	Role      *string         `json:"role"`
	Content   json.RawMessage `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// part is one part of a content that is a list.
type part struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// prompt gathers estimates and digests while messages go by.
type prompt struct {
	text        []byte
	parts       int
	otherBytes  int
	fingerprint *xxhash.Digest
}

func (r *Request) readMessages(limits Limits) error {
	value, ok := lookup(r.members, "messages")
	if !ok {
		return &Error{Kind: Missing, Field: "messages"}
	}
	var list []message
	if err := into(&list, value, "messages"); err != nil {
		return err
	}
	if len(list) == 0 {
		return &Error{Kind: Missing, Field: "messages"}
	}
	if len(list) > limits.Messages {
		return &Error{Kind: TooMany, Field: "messages", Limit: limits.Messages}
	}
	p := &prompt{text: make([]byte, 0, len(value)), fingerprint: xxhash.New()}
	p.mark(r.Model)
	if tools, ok := lookup(r.members, "tools"); ok {
		p.mark(string(tools))
		p.otherBytes += len(tools)
	}
	for _, m := range list {
		if err := p.add(m); err != nil {
			return err
		}
	}
	r.Messages = len(list)
	r.PromptTokens = max(1, (len(p.text)+p.otherBytes)/BytesPerToken+p.parts*partTokens)
	r.Fingerprint = p.fingerprint.Sum64()
	r.Prefix = cachePrefix(p.text)
	r.Prefixes = prefixes(p.text)
	return nil
}

// mark adds a string to the fingerprint with its length, so that no two lists
// of strings look alike.
func (p *prompt) mark(s string) {
	var length [8]byte
	for i := range length {
		length[i] = byte(len(s) >> (8 * i))
	}
	_, _ = p.fingerprint.Write(length[:])
	_, _ = p.fingerprint.WriteString(s)
}

func (p *prompt) add(m message) error {
	if m.Role == nil {
		return &Error{Kind: Missing, Field: "messages.role"}
	}
	p.mark(*m.Role)
	p.mark(string(m.ToolCalls))
	p.otherBytes += len(m.ToolCalls)
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return nil
	}
	switch m.Content[0] {
	case '"':
		var text string
		if err := into(&text, m.Content, "messages.content"); err != nil {
			return err
		}
		p.addText(text)
		return nil
	case '[':
		return p.addParts(m.Content)
	}
	return &Error{Kind: WrongType, Field: "messages.content"}
}

func (p *prompt) addText(text string) {
	p.mark(text)
	p.text = append(p.text, text...)
}

// addParts adds a content that is a list. A part that is not text counts into
// the digests by its JSON.
func (p *prompt) addParts(content json.RawMessage) error {
	var list []json.RawMessage
	if err := into(&list, content, "messages.content"); err != nil {
		return err
	}
	for _, raw := range list {
		var one part
		if err := into(&one, raw, "messages.content"); err != nil {
			return err
		}
		if one.Text != nil {
			p.addText(*one.Text)
			continue
		}
		if one.Type == "" {
			return &Error{Kind: Missing, Field: "messages.content.type"}
		}
		p.mark(string(raw))
		p.parts++
	}
	return nil
}

// cachePrefix returns the digest of the first whole cache blocks of a prompt.
func cachePrefix(text []byte) uint64 {
	end := min(len(text), PrefixBytes) / cacheBlockBytes * cacheBlockBytes
	if end == 0 {
		return 0
	}
	return xxhash.Sum64(text[:end])
}

// prefixes returns the digests of 1, 2, 4, 8, ... times PrefixBytes.
func prefixes(text []byte) []uint64 {
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
