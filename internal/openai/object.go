package openai

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
)

// member is one field of a JSON object and the position of its value.
type member struct {
	key   string
	value json.RawMessage
	// start is the offset of the value in the object's bytes.
	start int
}

// parseMembers returns the fields of an object in order. Keys are compared
// exactly, and a duplicate key is an error. encoding/json would match "MODEL"
// to "model" and use the last of two equal keys, but an engine may read such an
// object differently.
func parseMembers(object []byte) ([]member, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	opening, err := decoder.Token()
	if err != nil || opening != json.Delim('{') {
		return nil, &Error{Kind: NotJSON}
	}
	var list []member
	seen := make(map[string]bool)
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, &Error{Kind: NotJSON}
		}
		m := member{key: key.(string)}
		if err := decoder.Decode(&m.value); err != nil {
			return nil, &Error{Kind: NotJSON}
		}
		if seen[m.key] {
			return nil, &Error{Kind: DuplicateField, Field: truncatedName(m.key)}
		}
		seen[m.key] = true
		m.start = int(decoder.InputOffset()) - len(m.value)
		list = append(list, m)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, &Error{Kind: NotJSON}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &Error{Kind: NotJSON}
	}
	return list, nil
}

// maxFieldNameBytes bounds the length of a field name in an Error.
const maxFieldNameBytes = 64

func truncatedName(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxFieldNameBytes)], "")
}

// lookup returns the value of a field; null counts as absent.
func lookup(list []member, key string) (json.RawMessage, bool) {
	for _, m := range list {
		if m.key == key && string(m.value) != "null" {
			return m.value, true
		}
	}
	return nil, false
}

// override is a field to set in an object.
type override struct {
	key   string
	value []byte
}

// withOverrides returns the object with the overrides applied and every other
// byte unchanged. list holds the object's members.
func withOverrides(object []byte, list []member, overrides ...override) []byte {
	var b bytes.Buffer
	b.Grow(len(object) + 64*len(overrides))
	opening := bytes.IndexByte(object, '{') + 1
	b.Write(object[:opening])
	written := 0
	for _, s := range overrides {
		if indexOf(list, s.key) >= 0 {
			continue
		}
		if written > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`"` + s.key + `":`)
		b.Write(s.value)
		written++
	}
	if written > 0 && len(list) > 0 {
		b.WriteByte(',')
	}
	copied := opening
	for _, m := range list {
		for _, s := range overrides {
			if s.key == m.key {
				b.Write(object[copied:m.start])
				b.Write(s.value)
				copied = m.start + len(m.value)
			}
		}
	}
	b.Write(object[copied:])
	return b.Bytes()
}

func indexOf(list []member, key string) int {
	for i := range list {
		if list[i].key == key {
			return i
		}
	}
	return -1
}
