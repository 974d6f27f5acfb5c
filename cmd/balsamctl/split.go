package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/balsamstair/balsamstair/internal/declared"
)

var splitCommand = &command{
	name:     "split",
	synopsis: "divide a declared file into parts and a manifest",
	usage:    "[-part-bytes N] FILE DIRECTORY",
	about: `Split writes a valid file as the values to publish: parts, each in a file named
as its key, and their manifest in a file named declared. Publish the parts
first and the manifest last. A file that changed in few places shares most of
its parts with the one before, and only the others travel. The names of the
files are printed in the order in which they are to be published.`,
}

func init() {
	splitCommand.run = runSplit
	register(splitCommand)
}

func runSplit(args []string, io streams) int {
	set := splitCommand.flags(io)
	partBytes := set.Int("part-bytes", declared.DefaultPartBytes, "mean size of a part in `bytes`")
	if code, ok := splitCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() != 2 {
		return splitCommand.misused(set, io, "a file and a directory are needed")
	}
	data, err := os.ReadFile(set.Arg(0))
	if err != nil {
		return fail(io, set.Arg(0), err)
	}
	values, err := declared.Split(data, *partBytes)
	if err != nil {
		return fail(io, set.Arg(0), err)
	}
	if err := writeValues(set.Arg(1), values); err != nil {
		return fail(io, set.Arg(1), err)
	}
	for _, v := range values {
		fmt.Fprintln(io.out, filepath.Join(set.Arg(1), v.Key))
	}
	return exitOK
}

func writeValues(dir string, values []declared.Value) error {
	const dirMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	for _, v := range values {
		if err := os.WriteFile(filepath.Join(dir, v.Key), v.Data, fileMode); err != nil {
			return err
		}
	}
	return nil
}
