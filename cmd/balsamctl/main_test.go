package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/shoenig/test/must"
)

const examplesDir = "../../examples"

// balsamctl runs one command line.
func balsamctl(args ...string) (code int, out, errors string) {
	var o, e bytes.Buffer
	code = run(args, ioStreams{in: strings.NewReader(""), out: &o, err: &e})
	return code, o.String(), e.String()
}

func exampleFile(name string) string { return filepath.Join(examplesDir, name, "declared.toml") }

func TestUsage(t *testing.T) {
	for _, c := range []struct {
		args       []string
		code       int
		out, error string
	}{
		{nil, exitUsage, "", "Usage: balsamctl COMMAND"},
		{[]string{"-h"}, exitOK, "  forecast", ""},
		{[]string{"-version"}, exitOK, "balsamctl ", ""},
		{[]string{"help", "diff"}, exitOK, "Usage: balsamctl diff", ""},
		{[]string{"help", "nothing"}, exitUsage, "", `there is no command "nothing"`},
		{[]string{"chekc"}, exitUsage, "", `there is no command "chekc"`},
		{[]string{"check"}, exitUsage, "", "no file is named"},
		{[]string{"check", "-colour"}, exitUsage, "", "-colour"},
		{[]string{"diff", "one"}, exitUsage, "", "two files are needed"},
		{[]string{"forecast"}, exitUsage, "", "one file is needed"},
		{[]string{"forecast", "nowhere.toml"}, exitProblem, "", "nowhere.toml"},
		{[]string{"diff", exampleFile("piedmont"), "nowhere.toml"}, exitProblem, "", "nowhere.toml"},
	} {
		code, out, errors := balsamctl(c.args...)
		must.Eq(t, c.code, code, must.Sprint(c.args))
		must.StrContains(t, out, c.out)
		must.StrContains(t, errors, c.error)
		must.Eq(t, c.out == "", out == "", must.Sprint(c.args))
		must.Eq(t, c.error == "", errors == "", must.Sprint(c.args))
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, name := range commandNames() {
		must.NotEq(t, "", commands[name].synopsis)
		code, out, errors := balsamctl(name, "-help")
		must.Eq(t, exitOK, code)
		must.Eq(t, "", errors)
		must.StrContains(t, out, "Usage: balsamctl "+name)
		must.StrContains(t, out, "Exit codes")
	}
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	code, out, errors := balsamctl("check", "-settings", filepath.Join(examplesDir, "piedmont", "balsamd.toml"),
		"-settings", filepath.Join(examplesDir, "kalahari", "balsamd.toml"), filepath.Join(examplesDir, "piedmont"), exampleFile("kalahari"))
	must.Eq(t, "", errors)
	must.Eq(t, exitOK, code)
	must.Len(t, 4, strings.Split(strings.TrimSpace(out), "\n"))
	must.StrContains(t, out, "22 endpoints in 4 availability zones")
	code, out, errors = balsamctl("check", "-quiet", exampleFile("kalahari"))
	must.Eq(t, "", out+errors)
	must.Eq(t, exitOK, code)
}

func TestCheckRejectsEveryFileOfADirectory(t *testing.T) {
	bad := filepath.Join(examplesDir, "bad")
	files, err := declaredFiles(bad)
	must.NoError(t, err)
	code, out, errors := balsamctl("check", bad)
	must.Eq(t, exitProblem, code)
	must.Eq(t, "", out)
	lines := strings.Split(strings.TrimSpace(errors), "\n")
	must.Len(t, len(files), lines)
	for i, line := range lines {
		must.StrHasPrefix(t, files[i]+": line ", line)
	}
	code, _, errors = balsamctl("check", t.TempDir())
	must.Eq(t, exitProblem, code)
	must.StrContains(t, errors, "no *.toml file")
}

func TestCheckPrintsWarningsOfSettings(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(examplesDir, "piedmont", "balsamd.toml"))
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.toml")
	open := "allow_plaintext = true\n" + strings.Replace(string(data), "127.0.0.1:21202", "10.0.0.1:21202", 1)
	must.NoError(t, os.WriteFile(path, []byte(open), 0o600))
	code, _, errors := balsamctl("check", "-settings", path)
	must.Eq(t, exitOK, code)
	must.StrContains(t, errors, "warning: peer_address: 10.0.0.1:21202 uses plaintext")
}

func TestCheckReadsAManifestWithItsParts(t *testing.T) {
	data, err := os.ReadFile(exampleFile("piedmont"))
	must.NoError(t, err)
	dir := t.TempDir()
	manifest := "manifest = true\nrevision = 1\n"
	for i, part := range [][]byte{data[:1000], data[1000:]} {
		key := fmt.Sprint("part-", i)
		manifest += fmt.Sprintf("[[part]]\nkey = %q\nsha256 = \"%x\"\n", key, sha256.Sum256(part))
		must.NoError(t, os.WriteFile(filepath.Join(dir, key), part, 0o600))
	}
	path := filepath.Join(dir, "declared.toml")
	must.NoError(t, os.WriteFile(path, []byte(manifest), 0o600))
	code, out, errors := balsamctl("check", path)
	must.Eq(t, "", errors)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "5 organisations")
	must.NoError(t, os.WriteFile(filepath.Join(dir, "part-1"), data[:10], 0o600))
	code, _, errors = balsamctl("check", path)
	must.Eq(t, exitProblem, code)
	must.StrContains(t, errors, "part-1: the part's bytes are not those")
}

func TestDiff(t *testing.T) {
	code, out, errors := balsamctl("diff", exampleFile("piedmont"), exampleFile("piedmont"))
	must.Eq(t, exitOK, code)
	must.Eq(t, "nothing changes\n", out)
	must.Eq(t, "", errors)
	code, _, errors = balsamctl("diff", exampleFile("piedmont"), exampleFile("kalahari"))
	must.Eq(t, exitOK, code)
	must.StrContains(t, errors, "warning: both files have revision 1")
	code, out, _ = balsamctl("diff", "-json", exampleFile("piedmont"), exampleFile("kalahari"))
	must.Eq(t, exitOK, code)
	var d diffReport
	must.NoError(t, json.Unmarshal([]byte(out), &d))
	must.Eq(t, declared.Change{Kind: declared.Altered, Table: "file", Key: "currency", Old: "USD", New: "NAD"}, d.Changes[0])
}

func TestSplitOutputAssemblesToTheSameFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	code, out, errors := balsamctl("split", "-part-bytes", "1024", exampleFile("piedmont"), dir)
	must.Eq(t, "", errors)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "declared-")
	code, out, errors = balsamctl("diff", exampleFile("piedmont"), filepath.Join(dir, "declared"))
	must.Eq(t, "", errors)
	must.Eq(t, exitOK, code)
	must.Eq(t, "nothing changes\n", out)
	code, _, _ = balsamctl("split", "-part-bytes", "1", exampleFile("piedmont"), dir)
	must.Eq(t, exitProblem, code)
	code, _, _ = balsamctl("split", filepath.Join(examplesDir, "bad", "syntax.toml"), dir)
	must.Eq(t, exitProblem, code)
}

func TestForecast(t *testing.T) {
	code, out, errors := balsamctl("forecast", exampleFile("piedmont"))
	must.Eq(t, exitOK, code)
	must.Eq(t, "", errors)
	must.StrContains(t, out, "total    0.00  61800.00       spend")
	code, out, _ = balsamctl("forecast", "-json", exampleFile("piedmont"))
	must.Eq(t, exitOK, code)
	var fc declared.Forecast
	must.NoError(t, json.Unmarshal([]byte(out), &fc))
	must.Eq(t, 61_800_000_000, fc.Total.Highest)
	must.Len(t, 4, fc.Classes)
}

func TestRegisterPanicsOnDuplicateName(t *testing.T) {
	must.Panic(t, func() { register(&command{name: "check"}) })
}
