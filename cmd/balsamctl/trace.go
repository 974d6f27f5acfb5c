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
	synopsis: "find the cause of a routed request's end in logs",
	usage:    "REQUEST LOG...",
	about: `Trace reads logs of balsamd -routed, "-" for the standard input, and prints in
order of time every line about the request, and what its instance had come to
believe in the half minute before of the configuration, the platform and the
endpoints that the request was sent to. Text before a line's ts= is kept.`,
}

func init() {
	traceCommand.run = runTrace
	register(traceCommand)
}

// traceWindow is how long before the request's lines beliefs are shown.
const traceWindow = 30 * time.Second

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// instanceEvents change what an instance believes, whatever the request.
var instanceEvents = []string{
	"started", "stopping", "config_adopted", "platform_lost", "platform_reached", "ready_changed",
	"settings_reloaded", "settings_refused", "instance_joined", "instance_left", "instance_reached",
}

// logLine is one line of a log with what trace needs of it.
type logLine struct {
	text   string
	source string
	at     time.Time
	fields map[string]string
}

func runTrace(args []string, io streams) int {
	set := traceCommand.flags(io)
	if code, ok := traceCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() < 2 {
		return traceCommand.misused(set, io, "a request and a log are needed")
	}
	var lines []logLine
	for _, path := range set.Args()[1:] {
		read, err := readLog(path, io)
		if err != nil {
			return fail(io, path, err)
		}
		lines = append(lines, read...)
	}
	found := trace(set.Arg(0), lines)
	if len(found) == 0 {
		fmt.Fprintf(io.err, "balsamctl trace: no line is about request %s\n", set.Arg(0))
		return exitProblem
	}
	for _, l := range found {
		fmt.Fprintln(io.out, l.text)
	}
	return exitOK
}

func readLog(path string, io streams) ([]logLine, error) {
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

// parseLine reads the pairs of one line. What stands before them names the
// instance, if it has several words the last of them.
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

// trace selects the lines that explain a request, in order of time.
func trace(request string, lines []logLine) []logLine {
	var own []logLine
	endpoints := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] == request {
			own = append(own, l)
			endpoints[l.fields["endpoint"]] = true
		}
	}
	delete(endpoints, "")
	var out []logLine
	for _, l := range lines {
		if l.fields["request"] == request || slices.ContainsFunc(own, func(o logLine) bool { return explains(l, o, endpoints) }) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// explains reports whether l is a belief that may have decided about the
// request of the line own.
func explains(l, own logLine, endpoints map[string]bool) bool {
	before := own.at.Sub(l.at)
	if l.source != own.source || before < 0 || before > traceWindow {
		return false
	}
	if l.fields["request"] != "" {
		return false
	}
	return slices.Contains(instanceEvents, l.fields["event"]) || endpoints[l.fields["endpoint"]]
}
