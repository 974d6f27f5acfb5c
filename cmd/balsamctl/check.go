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
	about: `Check reads declared files and says whether balsamd would accept them, and
otherwise everything that is wrong with them, each with its line, key and
reason. Of a directory it reads every *.toml file in it and below. A manifest
is checked together with its parts, which stand beside it in files named as
their keys. A directory is not searched for settings: name them by -settings.`,
}

func init() {
	checkCommand.run = runCheck
	register(checkCommand)
}

func runCheck(args []string, io streams) int {
	set := checkCommand.flags(io)
	var settingsFiles pathList
	set.Var(&settingsFiles, "settings", "check the settings of a balsamd in `FILE`; may be given more than once")
	var routedFiles pathList
	set.Var(&routedFiles, "routed", "check the settings of a balsamd -routed in `FILE`; may be given more than once")
	quiet := set.Bool("quiet", false, "print problems and warnings only")
	if code, ok := checkCommand.parse(set, args, io); !ok {
		return code
	}
	if set.NArg() == 0 && len(settingsFiles)+len(routedFiles) == 0 {
		return checkCommand.misused(set, io, "no file is named")
	}
	code := exitOK
	for _, path := range settingsFiles {
		code = max(code, checkSettings(path, *quiet, io))
	}
	for _, path := range routedFiles {
		code = max(code, checkRouted(path, *quiet, io))
	}
	for _, path := range set.Args() {
		code = max(code, checkPath(path, *quiet, io))
	}
	return code
}

// pathList is a flag that may be given more than once.
type pathList []string

func (p *pathList) String() string { return strings.Join(*p, " ") }

func (p *pathList) Set(path string) error {
	*p = append(*p, path)
	return nil
}

func checkSettings(path string, quiet bool, io streams) int {
	s, err := settings.Load(path)
	if err != nil {
		return fail(io, path, err)
	}
	for _, w := range s.Warnings {
		fmt.Fprintf(io.err, "%s: warning: %s\n", path, w)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

func checkRouted(path string, quiet bool, io streams) int {
	s, err := settings.LoadRouted(path)
	if err != nil {
		return fail(io, path, err)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, settings of instance %s in availability zone %s\n", path, s.Instance, s.AvailabilityZone)
	}
	return exitOK
}

// checkPath checks one file, or all of a directory.
func checkPath(path string, quiet bool, io streams) int {
	info, err := os.Stat(path)
	if err != nil {
		return fail(io, path, err)
	}
	if !info.IsDir() {
		return checkFile(path, quiet, io)
	}
	files, err := tomlFiles(path)
	if err != nil {
		return fail(io, path, err)
	}
	if len(files) == 0 {
		fmt.Fprintf(io.err, "%s: the directory holds no *.toml file\n", path)
		return exitProblem
	}
	code := exitOK
	for _, file := range files {
		code = max(code, checkFile(file, quiet, io))
	}
	return code
}

// tomlFiles lists the declared files of a directory. Settings, which stand
// beside them under the daemon's name, are no declared files.
func tomlFiles(root string) ([]string, error) {
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

func checkFile(path string, quiet bool, io streams) int {
	f, err := loadFile(path)
	if err != nil {
		return fail(io, path, err)
	}
	if !quiet {
		fmt.Fprintf(io.out, "%s: ok, revision %d: %d tiers, %d endpoints in %d availability zones, %d routes, %d organisations\n",
			path, f.Revision, len(f.Tiers), len(f.Endpoints), len(f.Zones()), len(f.Routes), len(f.Organisations))
	}
	return exitOK
}
