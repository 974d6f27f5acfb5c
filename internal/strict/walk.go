package strict

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// walker checks a document against a schema, expression by expression.
type walker struct {
	parser unstable.Parser
	schema *schema

	// table and tablePath belong to the table that the last header opened; table
	// is nil below a header that was rejected.
	table     *schema
	tablePath Path
	// elements counts the elements of each array of tables.
	elements map[string]int

	// failed reports whether anything was rejected.
	failed bool
	// recording makes the walker record lines and problems; otherwise it only
	// sets failed.
	recording     bool
	report        *Report
	lines         map[Path]int
	rejectedSpans []span

	// line is the line number of the byte at lineOffset, which only increases.
	lineOffset int
	line       int
	// spanOpen reports whether the last of rejectedSpans has no end yet.
	spanOpen bool
}

// span is the range of bytes from start up to, but not including, end.
type span struct{ start, end int }

func newWalker(data []byte, s *schema) *walker {
	w := &walker{schema: s, table: s, elements: make(map[string]int), line: 1}
	w.parser.Reset(data)
	return w
}

// enableRecording makes the walker record the line of every key, and every
// problem in r if r is not nil.
func (w *walker) enableRecording(r *Report) {
	w.recording = true
	w.report = r
	w.lines = make(map[Path]int)
}

func (w *walker) walk() {
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		if e.Kind == unstable.Comment {
			continue
		}
		w.beginExpression(e)
		start := w.lineOffset
		if ok := w.checkExpression(e); !ok && w.recording {
			w.rejectedSpans = append(w.rejectedSpans, span{start: start})
			w.spanOpen = true
		}
	}
	w.closeSpan(len(w.parser.Data()))
	if w.parser.Error() != nil {
		w.failed = true
	}
}

// beginExpression advances the line to the start of an expression and closes
// the rejected span of the previous one.
func (w *walker) beginExpression(e *unstable.Node) {
	if !w.recording {
		return
	}
	start := w.startOffset(e)
	w.closeSpan(start)
	w.advanceTo(start)
}

// startOffset returns the offset of an expression, brackets included.
func (w *walker) startOffset(e *unstable.Node) int {
	keys := e.Key()
	keys.Next()
	at := int(keys.Node().Raw.Offset)
	if e.Kind == unstable.KeyValue {
		return at
	}
	data := w.parser.Data()
	for at > 0 && strings.IndexByte("[ \t", data[at-1]) >= 0 {
		at--
	}
	return at
}

// advanceTo counts lines up to offset.
func (w *walker) advanceTo(offset int) {
	if offset > w.lineOffset {
		w.line += bytes.Count(w.parser.Data()[w.lineOffset:offset], []byte{'\n'})
		w.lineOffset = offset
	}
}

func (w *walker) closeSpan(offset int) {
	if w.spanOpen {
		w.rejectedSpans[len(w.rejectedSpans)-1].end = offset
		w.spanOpen = false
	}
}

// blankRejected returns the document with the rejected expressions replaced by
// spaces, so that line numbers stay the same.
func (w *walker) blankRejected() []byte {
	data := bytes.Clone(w.parser.Data())
	for _, s := range w.rejectedSpans {
		for i := s.start; i < s.end; i++ {
			if data[i] != '\n' {
				data[i] = ' '
			}
		}
	}
	return data
}

// reportSyntaxError reports the position at which parsing stopped, and returns
// whether there was a syntax error.
func (w *walker) reportSyntaxError(r *Report) bool {
	err := w.parser.Error()
	if err == nil {
		return false
	}
	r.Unusable = true
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		if offset := cap(w.parser.Data()) - cap(pe.Highlight); offset >= 0 && offset <= len(w.parser.Data()) {
			w.advanceTo(offset)
		}
	}
	r.add(w.line, w.tablePath, "syntax: "+err.Error())
	return true
}

// reject records a problem and returns false.
func (w *walker) reject(at Path, format string, args ...any) bool {
	w.failed = true
	if w.report != nil {
		w.report.rejected[at] = true
		w.report.add(w.line, at, fmt.Sprintf(format, args...))
	}
	return false
}

// recordKey records the line of a key and rejects a duplicate.
func (w *walker) recordKey(at Path) bool {
	if !w.recording {
		return true
	}
	if first, ok := w.lines[at]; ok {
		return w.reject(at, "given twice, first on line %d", first)
	}
	w.lines[at] = w.line
	return true
}

// checkExpression checks one expression and reports whether it can be decoded.
func (w *walker) checkExpression(e *unstable.Node) bool {
	if e.Kind == unstable.KeyValue {
		return w.table != nil && w.checkKeyValue(w.table, w.tablePath, e)
	}
	w.table = nil
	t, at, ok := w.resolveKey(w.schema, Path{}, e.Key())
	if !ok {
		return false
	}
	if e.Kind == unstable.ArrayTable {
		return w.openElement(t, at)
	}
	if t.isTableArray() {
		return w.reject(at, "is a list: write [[%s]]", at)
	}
	if !t.isTable() {
		return w.reject(at, "is not a table")
	}
	if !w.recordKey(at) {
		return false
	}
	w.table, w.tablePath = t, at
	return true
}

// openElement opens the next element of an array of tables.
func (w *walker) openElement(t *schema, at Path) bool {
	if !t.isTableArray() {
		return w.reject(at, "is not a list of tables")
	}
	name := at.Key
	at = Path{Table: name, Index: w.elements[name]}
	w.elements[name]++
	w.table, w.tablePath = t.elem, at
	return w.recordKey(at)
}

// childPath returns the path of a field. A walker that does not record needs
// only the names of arrays of tables, which are top-level keys.
func (w *walker) childPath(p Path, name string) Path {
	if p.Key == "" || w.recording {
		return p.child(name)
	}
	return p
}

// resolveKey resolves a dotted key relative to t and returns the schema and
// path of its value.
func (w *walker) resolveKey(t *schema, at Path, keys unstable.Iterator) (*schema, Path, bool) {
	for keys.Next() {
		key := keys.Node()
		if t.isTableArray() {
			// A header below an array of tables refers to its last element.
			last := w.elements[at.Key] - 1
			if last < 0 {
				return nil, at, w.reject(at, "is a list: write [[%s]] first", at)
			}
			t, at = t.elem, Path{Table: at.Key, Index: last}
		}
		switch t.kind {
		case reflect.Struct:
			f, ok := t.fields[string(key.Data)]
			if !ok {
				return nil, at, w.reject(at.child(string(key.Data)), "unknown key; known are %s", t.knownKeys())
			}
			t, at = f.schema, w.childPath(at, f.name)
		case reflect.Map:
			t = t.elem
			if w.recording {
				at = at.child(string(key.Data))
			}
		default:
			return nil, at, w.reject(at, "is not a table")
		}
	}
	return t, at, true
}

func (w *walker) checkKeyValue(t *schema, at Path, e *unstable.Node) bool {
	if w.recording {
		w.advanceTo(w.startOffset(e))
	}
	t, at, ok := w.resolveKey(t, at, e.Key())
	if !ok {
		return false
	}
	return w.recordKey(at) && w.checkValue(t, at, e.Value())
}

// checkValue checks the type of one value.
func (w *walker) checkValue(t *schema, at Path, n *unstable.Node) bool {
	switch t.kind {
	case reflect.String:
		return n.Kind == unstable.String || w.rejectType(at, "a string", n)
	case reflect.Bool:
		return n.Kind == unstable.Bool || w.rejectType(at, "true or false", n)
	case reflect.Float64:
		return w.checkFloat(at, n)
	case reflect.Slice:
		return w.checkArray(t.elem, at, n)
	case reflect.Map, reflect.Struct:
		return w.checkInlineTable(t, at, n)
	default:
		return w.checkInteger(t, at, n)
	}
}

func (w *walker) rejectType(at Path, want string, n *unstable.Node) bool {
	return w.reject(at, "must be %s, not %s", want, strings.ToLower(n.Kind.String()))
}

func (w *walker) checkInteger(t *schema, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.Integer {
		return w.rejectType(at, "a whole number", n)
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
	if err != nil {
		return w.reject(at, "%s is out of range", n.Data)
	}
	switch {
	case t.zero.CanUint() && v < 0:
		return w.reject(at, "must not be negative")
	case t.zero.CanUint() && t.zero.OverflowUint(uint64(v)), t.zero.CanInt() && t.zero.OverflowInt(v):
		return w.reject(at, "%d is out of range", v)
	}
	return true
}

// checkFloat accepts finite numbers only: no setting has a meaning for infinity
// or NaN.
func (w *walker) checkFloat(at Path, n *unstable.Node) bool {
	if n.Kind == unstable.Integer {
		return true
	}
	if n.Kind != unstable.Float {
		return w.rejectType(at, "a number", n)
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
	if err != nil || math.IsInf(v, 0) || math.IsNaN(v) {
		return w.reject(at, "%s is not a finite number", n.Data)
	}
	return true
}

func (w *walker) checkArray(elem *schema, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.Array {
		return w.rejectType(at, "a list", n)
	}
	ok := true
	index := 0
	for children := n.Children(); children.Next(); {
		if children.Node().Kind == unstable.Comment {
			continue
		}
		elemPath := at
		if elem.kind == reflect.Struct {
			elemPath = Path{Table: at.Key, Index: index}
			w.elements[at.Key]++
		}
		ok = w.checkValue(elem, elemPath, children.Node()) && ok
		index++
	}
	return ok
}

func (w *walker) checkInlineTable(t *schema, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.InlineTable {
		return w.rejectType(at, "a table", n)
	}
	ok := true
	for children := n.Children(); children.Next(); {
		if children.Node().Kind == unstable.KeyValue {
			ok = w.checkKeyValue(t, at, children.Node()) && ok
		}
	}
	return ok
}
