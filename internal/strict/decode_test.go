package strict

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

type site struct {
	Name  string         `toml:"name"`
	Size  uint8          `toml:"size"`
	Open  bool           `toml:"open"`
	Parts []part         `toml:"part"`
	Inner inner          `toml:"inner"`
	Count map[string]int `toml:"count"`
}

type part struct {
	Name  string         `toml:"name"`
	Tags  []string       `toml:"tags"`
	Count map[string]int `toml:"count"`
}

type inner struct {
	File string `toml:"file"`
}

func TestDecodeAcceptsEveryForm(t *testing.T) {
	for _, document := range []string{
		"name = 'a'\nsize = 0xff\nopen = true\n[inner]\nfile = 'f'\n",
		"inner = {file = 'f'}\n[[part]]\nname = 'x'\ntags = [ # why\n'a',\n]\n[part.count]\na = 1\n[[part]]\ncount = {a = 2}\n",
		"part = [{name = 'a'}, {name = 'b', tags = []}]\n",
		"count.a = 1\ncount.\"b c\" = 2\ninner.file = 'f'\n",
		"",
	} {
		s := site{}
		must.NoError(t, Decode([]byte(document), &s).Err(), must.Sprint(document))
	}
}

func TestDecodeReportsLineAndKeyOfEachProblem(t *testing.T) {
	cases := []struct {
		document string
		want     []string
	}{
		{"nam = 'a'\nsize = 300\nopen = 1\n", []string{
			"line 1: nam: unknown key; known are count, inner, name, open, part, size",
			"line 2: size: 300 is out of range",
			"line 3: open: must be true or false, not integer"}},
		{"size = -1\n\n[[part]]\nname = 3\n[[part]]\ntags = ['a', 4]\n", []string{
			"line 1: size: must not be negative",
			"line 4: part.name: must be a string, not integer",
			"line 6: part.tags: must be a string, not integer"}},
		{"size = 99999999999999999999\n", []string{"line 1: size: 99999999999999999999 is out of range"}},
		{"name = 'a'\nname = 'b'\n[inner]\n[inner]\nfile = 'g'\n", []string{
			"line 2: name: given twice, first on line 1",
			"line 4: inner: given twice, first on line 3"}},
		{"[part]\nname = 'a'\n", []string{"line 1: part: is a list: write [[part]]"}},
		{"[[inner]]\nfile = 'a'\n", []string{"line 1: inner: is not a list of tables"}},
		{"[part.count]\na = 1\n", []string{"line 1: part: is a list: write [[part]] first"}},
		{"[name]\n", []string{"line 1: name: is not a table"}},
		{"[other]\nname = 'a'\n[inner]\nfil = 'x'\n", []string{
			"line 1: other: unknown key; known are count, inner, name, open, part, size",
			"line 4: inner.fil: unknown key; known are file"}},
		{"part = [\n{name = 'a'},\n{nam = 'b'}]\n", []string{
			"line 3: part.nam: unknown key; known are count, name, tags"}},
		{"[[part]]\ncount = {a = 1, b = 'x'}\n", []string{
			"line 2: part.count.b: must be a whole number, not string"}},
		{"\n\nname = \n", []string{"line 3: syntax: unexpected character U+000A at start of value"}},
	}
	for _, c := range cases {
		s := site{}
		err := Decode([]byte(c.document), &s).Err()
		e := &Error{}
		must.True(t, errors.As(err, &e), must.Sprint(c.document))
		must.Eq(t, c.want, strings.Split(e.Error(), "\n"))
	}
}

func TestDecodeKeepsValidKeys(t *testing.T) {
	s := site{Name: "default", Size: 7}
	r := Decode([]byte("name = 1\nsize = 9\n'nam e' = \"\"\"\nx\n\"\"\"\n[[part]]\nname = 'p'\ncolour = 'red'\n"), &s)
	must.Error(t, r.Err())
	must.False(t, r.Unusable)
	must.Eq(t, site{Name: "default", Size: 9, Parts: []part{{Name: "p"}}}, s)
	// No further problem is reported for a rejected value; problems of other
	// values still are.
	r.Add(Path{Key: "name"}, "is missing")
	r.Add(Path{Table: "part", Index: 0, Key: "tags"}, "is missing")
	must.StrContains(t, r.Err().Error(), "line 6: part.tags: is missing")
	must.StrNotContains(t, r.Err().Error(), "name: is missing")
}

func TestLineFallsBackToNearestParent(t *testing.T) {
	s := site{}
	r := Decode([]byte("name = 'a'\n\n[[part]]\nname = 'b'\n[[part]]\n[part.count]\nx = 1\n"), &s)
	must.Eq(t, 4, r.Line(Path{Table: "part", Index: 0, Key: "name"}))
	must.Eq(t, 5, r.Line(Path{Table: "part", Index: 1, Key: "name"}))
	must.Eq(t, 6, r.Line(Path{Table: "part", Index: 1, Key: "count.y"}))
	must.Eq(t, 7, r.Line(Path{Table: "part", Index: 1, Key: "count.x"}))
	must.Eq(t, 1, r.Line(Path{Key: "size"}))
}

// The time for a document of unknown keys must grow with its length, as for
// known keys, and not with the product of its length and its number of
// problems.
func TestDecodeLargeDocumentWithManyProblems(t *testing.T) {
	document := strings.Repeat("[[part]]\nnome = 'a'\n", 50_000)
	s := site{}
	e := &Error{}
	must.True(t, errors.As(Decode([]byte(document), &s).Err(), &e))
	must.Len(t, 50_000, e.Problems)
	must.Eq(t, 100_000, e.Problems[49_999].Line)
}

func TestDecodeFloats(t *testing.T) {
	var v struct {
		Ratio float64 `toml:"ratio"`
		Whole float64 `toml:"whole"`
	}
	must.NoError(t, Decode([]byte("ratio = 0.25\nwhole = 3\n"), &v).Err())
	must.Eq(t, 0.25, v.Ratio)
	must.Eq(t, 3, v.Whole)
	for _, bad := range []string{"inf", "nan", "\"0.5\"", "true"} {
		must.Error(t, Decode([]byte("ratio = "+bad+"\n"), &v).Err(), must.Sprint(bad))
	}
}
