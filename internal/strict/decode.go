package strict

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// document is the published bytes and the struct that they should fill.
type document struct {
	data  []byte
	shape *shape
	lines map[Path]int
}

// locate returns the line of every key. It walks the document at its first
// call only, so that a document without problems never pays for it.
func (d *document) locate() map[Path]int {
	if d.lines == nil {
		w := newWalker(d.data, d.shape)
		w.record(nil)
		w.walk()
		d.lines = w.lines
	}
	return d.lines
}

// Decode fills the struct that into points to and reports what is wrong with
// the form of data: syntax, unknown keys, wrong types, keys given twice. Keys
// that are wrong keep the value that they had before. Arrays of tables are
// understood at the top of the document only. The time grows with the length
// of data alone, however much is wrong with it: the library's own strict mode
// renders the document anew for each unknown key.
func Decode(data []byte, into any) *Report {
	d := &document{data: data, shape: newShape(reflect.TypeOf(into).Elem())}
	r := &Report{document: d}
	target := reflect.ValueOf(into).Elem()
	before := reflect.New(target.Type()).Elem()
	before.Set(target)
	w := newWalker(data, d.shape)
	w.walk()
	if !w.failed && toml.Unmarshal(data, into) == nil {
		return r
	}
	// Something is wrong: walk again, noting where.
	target.Set(before)
	r.refused = make(map[Path]bool)
	w = newWalker(data, d.shape)
	w.record(r)
	w.walk()
	d.lines = w.lines
	if w.syntaxError(r) {
		return r
	}
	if err := toml.Unmarshal(w.blanked(), into); err != nil {
		r.decodeError(err)
	}
	return r
}

// decodeError reports what the walker let through and the library did not.
func (r *Report) decodeError(err error) {
	r.Broken = true
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		r.add(1, Path{}, err.Error())
		return
	}
	line, _ := de.Position()
	at := Path{}
	for _, part := range de.Key() {
		at = at.child(part)
	}
	r.add(line, at, de.Error())
}
