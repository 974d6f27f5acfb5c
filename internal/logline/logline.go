// Package logline writes each log event as one line of key=value pairs. Names
// and values are escaped, so that no text can start another line or be read as
// another pair.
package logline

import (
	"io"
	"log"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Logger logs events. It is safe for concurrent use.
type Logger struct{ log hclog.Logger }

// New returns a Logger that writes events at or above the level (trace, debug,
// info, warn, error or off) to w, each with a single Write. An invalid level
// is treated as info.
func New(w io.Writer, level string) *Logger {
	min := hclog.LevelFromString(level)
	if min == hclog.NoLevel {
		min = hclog.Info
	}
	// The root logger writes nothing itself, because hclog's text format writes
	// a value that contains a newline as several lines. The sink writes the
	// events.
	root := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off, Output: io.Discard})
	root.RegisterSink(&sink{w: w, min: min})
	return &Logger{log: root}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "off") }

// ValidLevel reports whether level is one that New accepts.
func ValidLevel(level string) bool {
	return hclog.LevelFromString(level) != hclog.NoLevel
}

// Debug logs an event that is needed only for troubleshooting.
func (l *Logger) Debug(name string, kv ...any) { l.log.Debug(name, kv...) }

// Info logs an event at level info; kv holds alternating keys and values.
func (l *Logger) Info(name string, kv ...any) { l.log.Info(name, kv...) }

// Warn logs an event that an operator should investigate.
func (l *Logger) Warn(name string, kv ...any) { l.log.Warn(name, kv...) }

// Error logs an event that an operator must act on.
func (l *Logger) Error(name string, kv ...any) { l.log.Error(name, kv...) }

// Named returns a Logger whose lines also carry logger=name.
func (l *Logger) Named(name string) *Logger { return &Logger{log: l.log.Named(name)} }

// With returns a Logger whose lines also carry the pairs.
func (l *Logger) With(kv ...any) *Logger { return &Logger{log: l.log.With(kv...)} }

// HCLog returns the Logger as an hclog.Logger, for libraries that need one.
func (l *Logger) HCLog() hclog.Logger { return l.log }

// Standard returns a log.Logger, for libraries that need one. Each message is
// logged as one event of the given name, with the message under the key text.
// Its level is that of a leading [TRACE], [DEBUG], [INFO], [WARN], [ERR] or
// [ERROR], and warn without one.
func (l *Logger) Standard(event string) *log.Logger {
	return log.New(&standardWriter{log: l.log, event: event}, "", 0)
}

// StandardDebug is like Standard but logs every message at level debug, for a
// library whose errors its user already reports in another way.
func (l *Logger) StandardDebug(event string) *log.Logger {
	return log.New(&standardWriter{log: l.log, event: event, forceDebug: true}, "", 0)
}

type standardWriter struct {
	log        hclog.Logger
	event      string
	forceDebug bool
}

var levelPrefixes = []struct {
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

// Write logs one message; package log calls it once per message.
func (w *standardWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	level := hclog.Warn
	for _, prefix := range levelPrefixes {
		if rest, ok := strings.CutPrefix(text, prefix.text); ok {
			text, level = strings.TrimSpace(rest), prefix.level
			break
		}
	}
	if w.forceDebug {
		level = hclog.Debug
	}
	w.log.Log(level, w.event, "text", text)
	return len(p), nil
}
