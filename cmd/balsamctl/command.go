package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
)

// The exit codes of every command.
const (
	exitOK = 0
	// exitProblem says that the command ran and found something wrong.
	exitProblem = 1
	// exitUsage says that the command line could not be understood.
	exitUsage = 2
)

// streams are what a command reads and writes; errors go to err alone.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// command is one subcommand. Each stands in a file of its own name and
// registers itself from there.
type command struct {
	name string
	// synopsis is one line for the list of commands.
	synopsis string
	// usage follows the name on the command line.
	usage string
	// about is the text that -help prints.
	about string
	// run parses the arguments, does the work and returns an exit code.
	run func(args []string, io streams) int
}

// commands is the one table of subcommands, by name.
var commands = map[string]*command{}

// register adds a subcommand to the table. A name that is taken is a mistake
// in the program.
func register(c *command) {
	if commands[c.name] != nil {
		panic(errors.AssertionFailedf("command %q is registered twice", c.name))
	}
	commands[c.name] = c
}

func commandNames() []string { return slices.Sorted(maps.Keys(commands)) }

// flags returns the command's empty flag set; the command adds its own flags.
func (c *command) flags(io streams) *flag.FlagSet {
	set := flag.NewFlagSet(c.name, flag.ContinueOnError)
	set.SetOutput(io.err)
	set.Usage = func() {
		w := set.Output()
		fmt.Fprintf(w, "Usage: balsamctl %s %s\n\n%s\n", c.name, c.usage, c.about)
		fmt.Fprint(w, "\nFlags:\n  -help\n    \tprint this text\n")
		set.PrintDefaults()
		fmt.Fprint(w, "\nExit codes: 0 all is well, 1 a problem was found, 2 wrong usage.\n")
	}
	return set
}

// parse reads the arguments into set. It reports false, with the exit code,
// where the command is not to go on. Help that was asked for goes to out.
func (c *command) parse(set *flag.FlagSet, args []string, io streams) (code int, proceed bool) {
	if wantsHelp(args) {
		set.SetOutput(io.out)
		set.Usage()
		return exitOK, false
	}
	if err := set.Parse(args); err != nil {
		return exitUsage, false
	}
	return exitOK, true
}

// wantsHelp reports whether a help flag stands before the first argument that
// ends the flags.
func wantsHelp(args []string) bool {
	for _, a := range args {
		switch a {
		case "-h", "-help", "--help":
			return true
		case "--":
			return false
		}
	}
	return false
}

// misused explains a wrong command line.
func (c *command) misused(set *flag.FlagSet, io streams, reason string) int {
	fmt.Fprintf(io.err, "balsamctl %s: %s\n", c.name, reason)
	set.Usage()
	return exitUsage
}

// fail prints an error to err, one line for each problem of the file at path.
func fail(io streams, path string, err error) int {
	var problems *strict.Error
	if errors.As(err, &problems) {
		for _, p := range problems.Problems {
			fmt.Fprintf(io.err, "%s: %s\n", path, p)
		}
		return exitProblem
	}
	fmt.Fprintf(io.err, "%s: %v\n", path, err)
	return exitProblem
}

// writeJSON prints v in an indented form.
func writeJSON(io streams, v any) int {
	e := json.NewEncoder(io.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintln(io.err, "balsamctl:", err)
		return exitProblem
	}
	return exitOK
}

// loadFile reads a declared file, or a manifest whose parts stand beside it
// under their keys.
func loadFile(path string) (*declared.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if declared.IsManifest(data) {
		return loadParts(path, data)
	}
	return declared.Parse(data)
}
