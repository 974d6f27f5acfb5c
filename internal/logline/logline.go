// Package logline writes one line of key=value pairs for each event. Whatever
// a name or a value holds, it can neither begin another line nor look like
// another pair.
package logline

import (
	"io"
	"log"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Logger logs events. It may be used concurrently.
type Logger struct{ log hclog.Logger }

// New returns a Logger that writes events of the level (trace, debug, info,
// warn, error or off) and above to w, each with a single Write. A level that
// ValidLevel refuses counts as info.
func New(w io.Writer, level string) *Logger {
	min := hclog.LevelFromString(level)
	if min == hclog.NoLevel {
		min = hclog.Info
	}
	// The root itself writes nothing: hclog's own text form would let a value
	// with a newline make several lines. Its sink does the writing.
	root := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off, Output: io.Discard})
	root.RegisterSink(&sink{w: w, min: min})
	return &Logger{log: root}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "off") }

// ValidLevel reports whether New knows the level.
func ValidLevel(level string) bool {
	return hclog.LevelFromString(level) != hclog.NoLevel
}

// Debug logs an event that matters only in a search for a fault.
func (l *Logger) Debug(name string, kv ...any) { l.log.Debug(name, kv...) }

// Event logs an ordinary event; kv is key, value, key, value.
func (l *Logger) Event(name string, kv ...any) { l.log.Info(name, kv...) }

// Warn logs an event that an operator should look at.
func (l *Logger) Warn(name string, kv ...any) { l.log.Warn(name, kv...) }

// Error logs an event that an operator must act on.
func (l *Logger) Error(name string, kv ...any) { l.log.Error(name, kv...) }

// Named returns a Logger whose lines also carry logger=name.
func (l *Logger) Named(name string) *Logger { return &Logger{log: l.log.Named(name)} }

// With returns a Logger whose lines also carry the pairs.
func (l *Logger) With(kv ...any) *Logger { return &Logger{log: l.log.With(kv...)} }

// HCLog returns the same Logger for libraries that want an hclog.Logger.
func (l *Logger) HCLog() hclog.Logger { return l.log }

// Standard returns a logger for libraries that want one of package log. Each
// message becomes one event of the given name with the message as its text,
// at the level of a leading [DEBUG], [INFO], [WARN], [ERR] or [ERROR], else
// as a warning.
func (l *Logger) Standard(event string) *log.Logger {
	return log.New(&standardWriter{log: l.log, event: event}, "", 0)
}

// StandardDebug is like Standard but logs every message as Debug does, for a
// library whose complaints its user reports in another way.
func (l *Logger) StandardDebug(event string) *log.Logger {
	return log.New(&standardWriter{log: l.log, event: event, quiet: true}, "", 0)
}

type standardWriter struct {
	log   hclog.Logger
	event string
	quiet bool
}

var prefixes = []struct {
	text  string
	level hclog.Level
}{
	{"[TRACE]", hclog.Trace},
	{"[DEBUG]", hclog.Debug},
	{"[INFO]", hclog.Info},
	{"[WARN]", hclog.Warn},
	{"[ERR]", hclog.Error},
	{"[ERROR]", hclog.Error},
}

// Write logs one message; package log calls it once for each.
func (w *standardWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	level := hclog.Warn
	for _, prefix := range prefixes {
		if rest, ok := strings.CutPrefix(text, prefix.text); ok {
			text, level = strings.TrimSpace(rest), prefix.level
			break
		}
	}
	if w.quiet {
		level = hclog.Debug
	}
	w.log.Log(level, w.event, "text", text)
	return len(p), nil
}
