package main

import (
	"fmt"

	"github.com/balsamstair/balsamstair/internal/declared"
)

var diffCommand = &command{
	name:     "diff",
	synopsis: "show what a new declared file would change",
	usage:    "[-json] OLD NEW",
	description: `Diff lists what would change if NEW replaced OLD, and warns if instances that
have OLD would not adopt NEW. Differences are not a problem: the exit code is 0
with and without them.`,
}

func init() {
	diffCommand.run = runDiff
	register(diffCommand)
}

// diffReport is the command's output as JSON.
type diffReport struct {
	OldRevision uint64 `json:"old_revision"`
	NewRevision uint64 `json:"new_revision"`
	// Adopted is whether an instance with the old file would adopt the new one.
	Adopted bool `json:"adopted"`
	// Same is whether the files are identical, byte for byte.
	Same    bool              `json:"same"`
	Changes []declared.Change `json:"changes"`
}

func runDiff(args []string, io ioStreams) int {
	flags := diffCommand.newFlagSet(io)
	asJSON := flags.Bool("json", false, "print JSON")
	if code, ok := diffCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() != 2 {
		return diffCommand.usageError(flags, io, "two files are needed")
	}
	old, err := readDeclared(flags.Arg(0))
	if err != nil {
		return reportError(io, flags.Arg(0), err)
	}
	next, err := readDeclared(flags.Arg(1))
	if err != nil {
		return reportError(io, flags.Arg(1), err)
	}
	d := diffReport{
		OldRevision: old.Revision,
		NewRevision: next.Revision,
		Adopted:     next.Newer(old),
		Same:        next.Digest() == old.Digest(),
		Changes:     declared.Diff(old, next),
	}
	if *asJSON {
		return writeJSON(io, d)
	}
	printDiff(io, d)
	return exitOK
}

func printDiff(io ioStreams, d diffReport) {
	for _, c := range d.Changes {
		fmt.Fprintln(io.out, c)
	}
	if len(d.Changes) == 0 {
		fmt.Fprintln(io.out, "nothing changes")
	}
	switch {
	case d.Same:
	case d.NewRevision == d.OldRevision:
		fmt.Fprintf(io.err, "warning: both files have revision %d, so their digests decide which one is adopted; increase the revision of the new file\n",
			d.NewRevision)
	case !d.Adopted:
		fmt.Fprintf(io.err, "warning: instances that have revision %d do not adopt revision %d; increase it\n",
			d.OldRevision, d.NewRevision)
	}
}
