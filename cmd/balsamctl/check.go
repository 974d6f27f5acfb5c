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

func runCheck(args []string, streams ioStreams) int {
	flags := checkCommand.newFlagSet(streams)
	var settingsFiles pathList
	flags.Var(&settingsFiles, "settings", "check the balsamd settings in `FILE`; may be repeated")
	var routedFiles pathList
	flags.Var(&routedFiles, "routed", "check the balsamd -routed settings in `FILE`; may be repeated")
	quiet := flags.Bool("quiet", false, "print problems and warnings only")
	if code, ok := checkCommand.parse(flags, args, streams); !ok {
		return code
	}
	if flags.NArg() == 0 && len(settingsFiles)+len(routedFiles) == 0 {
		return checkCommand.usageError(flags, streams, "no file is named")
	}
	code := exitOK
	for _, path := range settingsFiles {
		code = max(code, checkSettings(path, *quiet, streams))
	}
	for _, path := range routedFiles {
		code = max(code, checkRoutedSettings(path, *quiet, streams))
	}
	for _, path := range flags.Args() {
		code = max(code, checkPath(path, *quiet, streams))
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

func checkSettings(path string, quiet bool, streams ioStreams) int {
	s, err := settings.Load(path)
	if err != nil {
		return reportError(streams, path, err)
	}
	for _, w := range s.Warnings {
		fmt.Fprintf(streams.err, "%s: warning: %s\n", path, w)
	}
	if !quiet {
		fmt.Fprintf(streams.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

func checkRoutedSettings(path string, quiet bool, streams ioStreams) int {
	s, err := settings.LoadRouted(path)
	if err != nil {
		return reportError(streams, path, err)
	}
	if !quiet {
		fmt.Fprintf(streams.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

// checkPath checks one declared file, or all of a directory.
func checkPath(path string, quiet bool, streams ioStreams) int {
	info, err := os.Stat(path)
	if err != nil {
		return reportError(streams, path, err)
	}
	if !info.IsDir() {
		return checkDeclared(path, quiet, streams)
	}
	files, err := declaredFiles(path)
	if err != nil {
		return reportError(streams, path, err)
	}
	if len(files) == 0 {
		fmt.Fprintf(streams.err, "%s: the directory contains no *.toml file\n", path)
		return exitProblem
	}
	code := exitOK
	for _, file := range files {
		code = max(code, checkDeclared(file, quiet, streams))
	}
	return code
}

// declaredFiles lists the declared files in root and its subdirectories. It
// skips files of settings, which may be in the same directory and are recognised
// by their name.
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

func checkDeclared(path string, quiet bool, streams ioStreams) int {
	f, err := readDeclared(path)
	if err != nil {
		return reportError(streams, path, err)
	}
	if !quiet {
		fmt.Fprintf(streams.out, "%s: ok, revision %d: %d tiers, %d endpoints in %d availability zones, %d routes, %d organisations\n",
			path, f.Revision, len(f.Tiers), len(f.Endpoints), len(f.Zones()), len(f.Routes), len(f.Organisations))
	}
	return exitOK
}
