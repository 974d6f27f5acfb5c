// Command balsamctl is the operator's tool: it checks, compares and forecasts
// declared files with the code by which balsamd decides on them.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"text/tabwriter"
)

func main() {
	os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}

// run carries out one command line and returns its exit code.
func run(args []string, io streams) int {
	if len(args) == 0 {
		usage(io.err)
		return exitUsage
	}
	switch args[0] {
	case "-version", "--version", "version":
		fmt.Fprintln(io.out, "balsamctl", version())
		return exitOK
	case "-h", "-help", "--help", "help":
		return help(args[1:], io)
	}
	c, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(io.err, "balsamctl: there is no command %q\n", args[0])
		usage(io.err)
		return exitUsage
	}
	return c.run(args[1:], io)
}

// help explains one command, or lists all.
func help(args []string, io streams) int {
	if len(args) == 0 {
		usage(io.out)
		return exitOK
	}
	c, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(io.err, "balsamctl: there is no command %q\n", args[0])
		return exitUsage
	}
	return c.run([]string{"-help"}, io)
}

func usage(w io.Writer) {
	fmt.Fprint(w, "Usage: balsamctl COMMAND [flags] [arguments]\n\nCommands:\n")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range commandNames() {
		fmt.Fprintf(table, "  %s\t%s\n", name, commands[name].synopsis)
	}
	table.Flush()
	fmt.Fprint(w, "\nbalsamctl COMMAND -help explains a command; balsamctl -version prints the version.\n")
}

// version returns the version under which the program was built.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
