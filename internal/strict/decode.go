package strict

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// document is a TOML document and the schema of the struct that it is decoded
// into.
type document struct {
	data   []byte
	schema *schema
	lines  map[Path]int
}

// keyLines returns the line of each key. It parses the document for them on its
// first call only, so that decoding a document without problems does not pay
// for it.
func (d *document) keyLines() map[Path]int {
	if d.lines == nil {
		w := newWalker(d.data, d.schema)
		w.enableRecording(nil)
		w.walk()
		d.lines = w.lines
	}
	return d.lines
}

// Decode decodes data into the struct that into points to and reports all
// problems of the document's form: syntax errors, unknown keys, wrong types and
// duplicate keys. Keys with a problem keep their previous value. Arrays of
// tables are supported only at the top level of the document. The time depends
// on the length of data alone, not on the number of problems; the library's own
// strict mode renders the document again for each unknown key.
func Decode(data []byte, into any) *Report {
	d := &document{data: data, schema: newSchema(reflect.TypeOf(into).Elem())}
	r := &Report{document: d}
	target := reflect.ValueOf(into).Elem()
	initial := reflect.New(target.Type()).Elem()
	initial.Set(target)
	w := newWalker(data, d.schema)
	w.walk()
	if !w.failed && toml.Unmarshal(data, into) == nil {
		return r
	}
	// The document has problems: walk it again and record their lines.
	target.Set(initial)
	r.rejected = make(map[Path]bool)
	w = newWalker(data, d.schema)
	w.enableRecording(r)
	w.walk()
	d.lines = w.lines
	if w.reportSyntaxError(r) {
		return r
	}
	if err := toml.Unmarshal(w.blankRejected(), into); err != nil {
		r.decodeError(err)
	}
	return r
}

// decodeError reports an error of the library in a document that the walker
// accepted.
func (r *Report) decodeError(err error) {
	r.Unusable = true
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		r.add(1, Path{}, err.Error())
		return
	}
	line, _ := de.Position()
	path := Path{}
	for _, part := range de.Key() {
		path = path.child(part)
	}
	r.add(line, path, de.Error())
}
