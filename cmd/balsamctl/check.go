package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/balsamstair/balsamstair/internal/settings"
)

var checkCommand = &command{
	name:     "check",
	synopsis: "check declared files and settings",
	usage:    "[-settings FILE] [-routed FILE] [FILE or DIRECTORY]...",
	description: `Check reads declared files and reports whether balsamd would accept them. If
not, it prints every problem with its line, key and reason. In a directory it
reads every *.toml file, also in subdirectories. A manifest is checked together
with its parts, which are files in the same directory, named by their keys.
Settings files in a directory are not checked: name them with -settings or
-routed.`,
}

func init() {
	checkCommand.run = runCheck
	register(checkCommand)
}

func runCheck(args []string, io ioStreams) int {
	flags := checkCommand.newFlagSet(io)
	var settingsFiles pathList
	flags.Var(&settingsFiles, "settings", "check the balsamd settings in `FILE`; may be repeated")
	var routedFiles pathList
	flags.Var(&routedFiles, "routed", "check the balsamd -routed settings in `FILE`; may be repeated")
	quiet := flags.Bool("quiet", false, "print problems and warnings only")
	if code, ok := checkCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() == 0 && len(settingsFiles)+len(routedFiles) == 0 {
		return checkCommand.usageError(flags, io, "no file is named")
	}
	code := exitOK
	for _, path := range settingsFiles {
		code = max(code, checkSettings(path, *quiet, io))
	}
	for _, path := range routedFiles {
		code = max(code, checkRoutedSettings(path, *quiet, io))
	}
	for _, path := range flags.Args() {
		code = max(code, checkPath(path, *quiet, io))
	}
	return code
}

// pathList is the value of a flag that may be repeated.
type pathList []string

func (p *pathList) String() string { return strings.Join(*p, " ") }

func (p *pathList) Set(path string) error {
	*p = append(*p, path)
	return nil
}

func checkSettings(path string, quiet bool, io ioStreams) int {
	s, err := settings.Load(path)
	if err != nil {
		return reportError(io, path, err)
	}
	for _, w := range s.Warnings {
		fmt.Fprintf(io.err, "%s: warning: %s\n", path, w)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

func checkRoutedSettings(path string, quiet bool, io ioStreams) int {
	s, err := settings.LoadRouted(path)
	if err != nil {
		return reportError(io, path, err)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

// checkPath checks one declared file, or all of a directory.
func checkPath(path string, quiet bool, io ioStreams) int {
	info, err := os.Stat(path)
	if err != nil {
		return reportError(io, path, err)
	}
	if !info.IsDir() {
		return checkDeclared(path, quiet, io)
	}
	files, err := declaredFiles(path)
	if err != nil {
		return reportError(io, path, err)
	}
	if len(files) == 0 {
		fmt.Fprintf(io.err, "%s: the directory contains no *.toml file\n", path)
		return exitProblem
	}
	code := exitOK
	for _, file := range files {
		code = max(code, checkDeclared(file, quiet, io))
	}
	return code
}

// declaredFiles lists the declared files in root and its subdirectories. It
// skips settings files, which may be in the same directories, by their name.
func declaredFiles(root string) ([]string, error) {
	const settingsName = "balsamd.toml"
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".toml" && entry.Name() != settingsName {
			files = append(files, path)
		}
		return err
	})
	return files, err
}

func checkDeclared(path string, quiet bool, io ioStreams) int {
	f, err := readDeclared(path)
	if err != nil {
		return reportError(io, path, err)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, revision %d: %d tiers, %d endpoints in %d availability zones, %d routes, %d organisations\n",
			path, f.Revision, len(f.Tiers), len(f.Endpoints), len(f.Zones()), len(f.Routes), len(f.Organisations))
	}
	return exitOK
}
