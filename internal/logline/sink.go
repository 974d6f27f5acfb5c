package logline

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"
)

const (
	timeLayout = "2006-01-02T15:04:05.000Z"

	maxKeyBytes   = 64
	maxValueBytes = 8 << 10
)

// reservedKeys are the keys that only the sink writes.
var reservedKeys = map[string]bool{"ts": true, "level": true, "event": true, "logger": true}

// sink formats the events that it receives from hclog.
type sink struct {
	min hclog.Level

	mu  sync.Mutex
	w   io.Writer
	buf []byte
}

// Accept writes one event as one line.
func (s *sink) Accept(name string, level hclog.Level, event string, kv ...any) {
	if level < s.min || s.min == hclog.Off {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append(s.buf[:0], "ts="...)
	b = time.Now().UTC().AppendFormat(b, timeLayout)
	b = append(b, " level="...)
	b = append(b, level.String()...)
	b = append(b, " event="...)
	b = appendValue(b, event)
	if name != "" {
		b = append(b, " logger="...)
		b = appendValue(b, name)
	}
	for i := 0; i+1 < len(kv); i += 2 {
		b = appendPair(b, fmt.Sprint(kv[i]), kv[i+1])
	}
	if len(kv)%2 == 1 {
		b = appendPair(b, "missing_key", kv[len(kv)-1])
	}
	b = append(b, '\n')
	// A failed write of the log cannot be reported anywhere.
	_, _ = s.w.Write(b)
	if cap(b) <= 4*maxValueBytes {
		s.buf = b
	}
}

func appendPair(b []byte, key string, value any) []byte {
	b = append(b, ' ')
	b = appendKey(b, key)
	b = append(b, '=')
	switch v := value.(type) {
	case string:
		return appendValue(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	default:
		return appendValue(b, fmt.Sprint(v))
	}
}

// appendKey appends a key. Letters, digits, '_', '-' and '.' are kept, and any
// other byte becomes '_'. A reserved key gets a trailing '_'.
func appendKey(b []byte, key string) []byte {
	if len(key) > maxKeyBytes {
		key = key[:maxKeyBytes]
	}
	if key == "" {
		return append(b, '_')
	}
	for i := range len(key) {
		c := key[i]
		if !isKeyByte(c) {
			c = '_'
		}
		b = append(b, c)
	}
	if reservedKeys[key] {
		b = append(b, '_')
	}
	return b
}

func isKeyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	default:
		return c == '_' || c == '-' || c == '.'
	}
}

// appendValue appends a plain value unchanged and any other value as a quoted
// Go string, which escapes newlines, control and invisible characters, quotes
// and invalid UTF-8. A value longer than maxValueBytes is truncated, and its
// full length is appended.
func appendValue(b []byte, value string) []byte {
	if len(value) > maxValueBytes {
		cut := maxValueBytes
		for cut > maxValueBytes-utf8.UTFMax && !utf8.RuneStart(value[cut]) {
			cut--
		}
		value = value[:cut] + "... (" + strconv.Itoa(len(value)) + " bytes)"
	}
	if isPlain(value) {
		return append(b, value...)
	}
	return strconv.AppendQuote(b, value)
}

// isPlain reports whether a value needs no quotes: non-empty printable ASCII
// without space, quote, backslash or '='.
func isPlain(value string) bool {
	for i := range len(value) {
		c := value[i]
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '=' {
			return false
		}
	}
	return value != ""
}
