package main

import (
	"fmt"

	"github.com/balsamstair/balsamstair/internal/declared"
)

var diffCommand = &command{
	name:     "diff",
	synopsis: "say what a new declared file would change",
	usage:    "[-json] OLD NEW",
	about: `Diff says in words what would change if NEW came into force in place of OLD,
and whether instances that have OLD would adopt NEW. Finding changes is no
problem: the exit code is 0 with and without them.`,
}

func init() {
	diffCommand.run = runDiff
	register(diffCommand)
}

// difference is the JSON form of a comparison.
type difference struct {
	OldRevision uint64 `json:"old_revision"`
	NewRevision uint64 `json:"new_revision"`
	// Adopted says that an instance with the old file would take the new one.
	Adopted bool `json:"adopted"`
	// Same says that the files are the same to the byte.
	Same    bool              `json:"same"`
	Changes []declared.Change `json:"changes"`
}

func runDiff(args []string, io streams) int {
	set := diffCommand.flags(io)
	asJSON := set.Bool("json", false, "print JSON")
	if code, ok := diffCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() != 2 {
		return diffCommand.misused(set, io, "two files are needed")
	}
	old, err := loadFile(set.Arg(0))
	if err != nil {
		return fail(io, set.Arg(0), err)
	}
	next, err := loadFile(set.Arg(1))
	if err != nil {
		return fail(io, set.Arg(1), err)
	}
	d := difference{
		OldRevision: old.Revision,
		NewRevision: next.Revision,
		Adopted:     next.Newer(old),
		Same:        next.Digest() == old.Digest(),
		Changes:     declared.Diff(old, next),
	}
	if *asJSON {
		return writeJSON(io, d)
	}
	printDifference(io, d)
	return exitOK
}

func printDifference(io streams, d difference) {
	for _, c := range d.Changes {
		fmt.Fprintln(io.out, c)
	}
	if len(d.Changes) == 0 {
		fmt.Fprintln(io.out, "nothing changes")
	}
	switch {
	case d.Same:
	case d.NewRevision == d.OldRevision:
		fmt.Fprintf(io.err, "warning: both files have revision %d, so that their digests decide which comes into force; raise the new one's revision\n",
			d.NewRevision)
	case !d.Adopted:
		fmt.Fprintf(io.err, "warning: instances that have revision %d do not adopt revision %d; raise it\n",
			d.OldRevision, d.NewRevision)
	}
}
