package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/balsamstair/balsamstair/internal/declared"
)

var splitCommand = &command{
	name:     "split",
	synopsis: "split a declared file into parts and a manifest",
	usage:    "[-part-bytes N] FILE DIRECTORY",
	description: `Split writes a valid file as the values to publish: parts, each in a file named
by its key, and their manifest in a file named declared. Publish the parts
first and the manifest last. A file with few changes shares most of its parts
with the previous one, and only the others are transferred. The file names are
printed in the order in which to publish them.`,
}

func init() {
	splitCommand.run = runSplit
	register(splitCommand)
}

func runSplit(args []string, io ioStreams) int {
	flags := splitCommand.newFlagSet(io)
	partBytes := flags.Int("part-bytes", declared.DefaultPartBytes, "mean size of a part in `bytes`")
	if code, ok := splitCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() != 2 {
		return splitCommand.usageError(flags, io, "a file and a directory are needed")
	}
	data, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return reportError(io, flags.Arg(0), err)
	}
	values, err := declared.Split(data, *partBytes)
	if err != nil {
		return reportError(io, flags.Arg(0), err)
	}
	if err := writeValues(flags.Arg(1), values); err != nil {
		return reportError(io, flags.Arg(1), err)
	}
	for _, v := range values {
		fmt.Fprintln(io.out, filepath.Join(flags.Arg(1), v.Key))
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
