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

// Exit codes of all commands.
const (
	exitOK = 0
	// exitProblem means that the command failed or found a problem.
	exitProblem = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
)

// ioStreams are the input and outputs of a command; errors are written to err only.
type ioStreams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// command is one subcommand. Each is defined in the file of its name, which
// registers it in its init function.
type command struct {
	name string
	// synopsis is the command's line in the list of commands.
	synopsis string
	// usage is the syntax of the flags and arguments after the name.
	usage string
	// description is the text that -help prints.
	description string
	// run parses the arguments, executes the command and returns an exit code.
	run func(args []string, io ioStreams) int
}

// commands holds the subcommands by name.
var commands = map[string]*command{}

// register adds a subcommand to commands. It panics if the name is already
// registered.
func register(c *command) {
	if commands[c.name] != nil {
		panic(errors.AssertionFailedf("command %q is registered twice", c.name))
	}
	commands[c.name] = c
}

func commandNames() []string { return slices.Sorted(maps.Keys(commands)) }

// newFlagSet returns an empty flag set with the command's usage text.
func (c *command) newFlagSet(io ioStreams) *flag.FlagSet {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.err)
	flags.Usage = func() {
		w := flags.Output()
		fmt.Fprintf(w, "Usage: balsamctl %s %s\n\n%s\n", c.name, c.usage, c.description)
		fmt.Fprint(w, "\nFlags:\n  -help\n    \tprint this help\n")
		flags.PrintDefaults()
		fmt.Fprint(w, "\nExit codes: 0 success, 1 problem found, 2 invalid usage.\n")
	}
	return flags
}

// parse reads the arguments into flags. If proceed is false, the command must
// return the exit code. Requested help is written to the standard output.
func (c *command) parse(flags *flag.FlagSet, args []string, io ioStreams) (code int, proceed bool) {
	if hasHelpFlag(args) {
		flags.SetOutput(io.out)
		flags.Usage()
		return exitOK, false
	}
	if err := flags.Parse(args); err != nil {
		return exitUsage, false
	}
	return exitOK, true
}

// hasHelpFlag reports whether args contain a help flag before a "--".
func hasHelpFlag(args []string) bool {
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

// usageError prints the reason why a command line is invalid, and the usage.
func (c *command) usageError(flags *flag.FlagSet, io ioStreams, reason string) int {
	fmt.Fprintf(io.err, "balsamctl %s: %s\n", c.name, reason)
	flags.Usage()
	return exitUsage
}

// reportError prints an error to the error stream, with one line for each problem
// of a declared file or settings file.
func reportError(io ioStreams, path string, err error) int {
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

// writeJSON prints v as indented JSON.
func writeJSON(io ioStreams, v any) int {
	e := json.NewEncoder(io.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintln(io.err, "balsamctl:", err)
		return exitProblem
	}
	return exitOK
}

// readDeclared reads a declared file. If path is a manifest, its parts are read
// from files in the same directory, named by their keys.
func readDeclared(path string) (*declared.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if declared.IsManifest(data) {
		return readManifest(path, data)
	}
	return declared.Parse(data)
}
