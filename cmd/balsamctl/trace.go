package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

var traceCommand = &command{
	name:     "trace",
	synopsis: "find in logs why a routed request ended as it did",
	usage:    "REQUEST LOG...",
	description: `Trace reads logs of balsamd -routed, or the standard input for "-". It prints,
sorted by time, every line about the request, and the changes of its instance's
state in the 30 seconds before each of them: of the configuration, the platform
and the endpoints that the request was sent to. Text before a line's ts= is
kept.`,
}

func init() {
	traceCommand.run = runTrace
	register(traceCommand)
}

// traceWindow is how long before the request's lines state changes are included.
const traceWindow = 30 * time.Second

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// instanceEvents are the events that change an instance's state independently of
// a request.
var instanceEvents = []string{
	"started", "stopping", "config_adopted", "platform_lost", "platform_reached", "ready_changed",
	"settings_reloaded", "settings_refused", "instance_joined", "instance_left", "instance_reached",
}

// logLine is one parsed line of a log. source identifies the instance that wrote
// it.
type logLine struct {
	text   string
	source string
	at     time.Time
	fields map[string]string
}

func runTrace(args []string, io ioStreams) int {
	flags := traceCommand.newFlagSet(io)
	if code, ok := traceCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() < 2 {
		return traceCommand.usageError(flags, io, "a request and a log are needed")
	}
	var lines []logLine
	for _, path := range flags.Args()[1:] {
		read, err := readLog(path, io)
		if err != nil {
			return reportError(io, path, err)
		}
		lines = append(lines, read...)
	}
	found := selectLines(flags.Arg(0), lines)
	if len(found) == 0 {
		fmt.Fprintf(io.err, "balsamctl trace: no log line about request %s\n", flags.Arg(0))
		return exitProblem
	}
	for _, l := range found {
		fmt.Fprintln(io.out, l.text)
	}
	return exitOK
}

func readLog(path string, io ioStreams) ([]logLine, error) {
	in := io.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			if l.source == "" {
				l.source = path
			}
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// parseLine parses the key=value pairs of one line. The last word before them
// identifies the instance.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{text: text, fields: map[string]string{}}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.source = before[len(before)-1]
	}
	for _, pair := range strings.Fields(text[start:]) {
		if key, value, ok := strings.Cut(pair, "="); ok {
			l.fields[key] = value
		}
	}
	at, err := time.Parse(time.RFC3339, l.fields["ts"])
	l.at = at
	return l, err == nil
}

// selectLines returns the lines that explain a request, sorted by time.
func selectLines(request string, lines []logLine) []logLine {
	var requestLines []logLine
	endpoints := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] == request {
			requestLines = append(requestLines, l)
			endpoints[l.fields["endpoint"]] = true
		}
	}
	delete(endpoints, "")
	var out []logLine
	for _, l := range lines {
		if l.fields["request"] == request || slices.ContainsFunc(requestLines, func(o logLine) bool { return isContext(l, o, endpoints) }) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// isContext reports whether l records a state change that may have affected the
// request of requestLine.
func isContext(l, requestLine logLine, endpoints map[string]bool) bool {
	before := requestLine.at.Sub(l.at)
	if l.source != requestLine.source || before < 0 || before > traceWindow {
		return false
	}
	if l.fields["request"] != "" {
		return false
	}
	return slices.Contains(instanceEvents, l.fields["event"]) || endpoints[l.fields["endpoint"]]
}
