package openai

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
)

// member is one field of a JSON object with the place of its value.
type member struct {
	key   string
	value json.RawMessage
	// start is the offset of the value in the object's bytes.
	start int
}

// members reads the fields of an object in their order. Keys are compared as
// they stand, not in encoding/json's way, which takes "MODEL" for "model" and
// the last of two equal keys: an engine may read such an object differently.
func members(object []byte) ([]member, error) {
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
			return nil, &Error{Kind: Twice, Field: boundedName(m.key)}
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

// maxNameBytes bounds a field's name in an Error.
const maxNameBytes = 64

func boundedName(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxNameBytes)], "")
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

// setting is a field that an object is to have.
type setting struct {
	key   string
	value []byte
}

// withSettings returns the object with the settings in place and every other
// byte as it was. List holds the object's members.
func withSettings(object []byte, list []member, settings ...setting) []byte {
	var b bytes.Buffer
	b.Grow(len(object) + 64*len(settings))
	opening := bytes.IndexByte(object, '{') + 1
	b.Write(object[:opening])
	written := 0
	for _, s := range settings {
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
	from := opening
	for _, m := range list {
		for _, s := range settings {
			if s.key == m.key {
				b.Write(object[from:m.start])
				b.Write(s.value)
				from = m.start + len(m.value)
			}
		}
	}
	b.Write(object[from:])
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
