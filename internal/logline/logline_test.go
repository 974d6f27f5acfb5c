package logline

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// parse parses one line and fails the test on anything that is not a pair.
func parse(t *testing.T, line string) (keys []string, values map[string]string) {
	t.Helper()
	line, ended := strings.CutSuffix(line, "\n")
	must.True(t, ended)
	must.StrNotContains(t, line, "\n")
	values = map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		must.True(t, ok)
		must.NotEq(t, "", key)
		must.StrNotContains(t, key, " ")
		var value string
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			must.NoError(t, err)
			value, err = strconv.Unquote(quoted)
			must.NoError(t, err)
			rest = rest[len(quoted):]
			must.True(t, rest == "" || rest[0] == ' ')
			rest = strings.TrimPrefix(rest, " ")
		} else {
			value, rest, _ = strings.Cut(rest, " ")
			must.StrNotContains(t, value, "=")
		}
		keys = append(keys, key)
		values[key] = value
		line = rest
	}
	return keys, values
}

var hostileStrings = []string{
	"", " ", "\n", "a\nts=2026 level=error event=forged", "a\r\nb", `"`, `\"`, `" event=forged x="`,
	"a=b", "=", "\x00\x1b[31mred", "\u2028\u2029\u0085", "\u202Eright to left", "é∀", "\xff\xfe", "a\tb",
	strings.Repeat("long\n", 10_000), `\n`, "%s%d%n", "event", "ts",
}

func TestHostileTextIsEscaped(t *testing.T) {
	for _, text := range hostileStrings {
		var out bytes.Buffer
		New(&out, "info").Named(text).Info(text, text, text, "last", text)
		keys, values := parse(t, out.String())
		must.Eq(t, []string{"ts", "level", "event"}, keys[:3])
		must.Eq(t, "last", keys[len(keys)-1])
		must.Between(t, 5, len(keys), 6)
		if len(text) <= maxValueBytes {
			must.Eq(t, text, values["event"])
			must.Eq(t, text, values["last"])
		}
	}
}

func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "warn").Named("peer").With("zone", "north 1")
	l.Info("ignored")
	l.Warn("peer_refused", "count", 3, "err", errors.New("a b"), "ok", true, "event", "x", "odd")
	_, rest, _ := strings.Cut(out.String(), " ")
	must.Eq(t, `level=warn event=peer_refused logger=peer zone="north 1" count=3 err="a b" ok=true event_=x missing_key=odd`+"\n", rest)
}

func TestStandardLoggerParsesLevelAndEscapes(t *testing.T) {
	var out bytes.Buffer
	std := New(&out, "info").Standard("yamux")
	std.Printf("[ERR] yamux: broken\nts=1 event=%s", "forged")
	std.Print("panic serving\n\ngoroutine 1")
	std.Print("[DEBUG] not seen")
	lines := strings.SplitAfter(out.String(), "\n")
	must.Len(t, 3, lines)
	_, values := parse(t, lines[0])
	must.Eq(t, "error", values["level"])
	must.Eq(t, "yamux", values["event"])
	must.Eq(t, "yamux: broken\nts=1 event=forged", values["text"])
	_, values = parse(t, lines[1])
	must.Eq(t, "warn", values["level"])
	must.Eq(t, "panic serving\n\ngoroutine 1", values["text"])
}

func TestStandardDebugLogsAtDebugOnly(t *testing.T) {
	var out bytes.Buffer
	New(&out, "info").StandardDebug("yamux").Print("[ERR] yamux: closed")
	must.Eq(t, 0, out.Len())
	New(&out, "debug").StandardDebug("yamux").Print("[ERR] yamux: closed")
	_, values := parse(t, out.String())
	must.Eq(t, "debug", values["level"])
	must.Eq(t, "yamux: closed", values["text"])
}

func TestOffAndUnknownLevels(t *testing.T) {
	var out bytes.Buffer
	New(&out, "off").Error("x")
	must.Eq(t, 0, out.Len())
	must.False(t, ValidLevel("loud"))
	must.True(t, ValidLevel("debug"))
	New(&out, "loud").Debug("x")
	must.Eq(t, 0, out.Len())
	New(&out, "loud").Info("x")
	must.Positive(t, out.Len())
}

func FuzzEvent(f *testing.F) {
	for _, text := range hostileStrings {
		f.Add(text, "key", text)
		f.Add("name", text, text)
	}
	f.Fuzz(func(t *testing.T, name, key, value string) {
		var out bytes.Buffer
		New(&out, "info").Info(name, key, value)
		keys, values := parse(t, out.String())
		must.Eq(t, []string{"ts", "level", "event"}, keys[:3])
		must.Len(t, 4, keys)
		must.False(t, reservedKeys[keys[3]])
		if len(value) <= maxValueBytes {
			must.Eq(t, value, values[keys[3]])
		}
	})
}
