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

// walker compares a document with a shape, expression by expression.
type walker struct {
	parser unstable.Parser
	shape  *shape

	// The table that the last header opened; open is nil below a header that
	// was refused.
	open *shape
	path Path
	// elements counts the elements of each array of tables.
	elements map[string]int

	// failed says that something was refused.
	failed bool
	// recording walkers note lines and problems; others only fail.
	recording bool
	report    *Report
	lines     map[Path]int
	bad       []span

	// line is the line of the byte at offset counted, which only grows.
	counted int
	line    int
	// blanking says that the last of bad has no end yet.
	blanking bool
}

// span is a range of bytes from start to before end.
type span struct{ start, end int }

func newWalker(data []byte, s *shape) *walker {
	w := &walker{shape: s, open: s, elements: make(map[string]int), line: 1}
	w.parser.Reset(data)
	return w
}

// record makes the walker note every line, and every problem in r where r is
// not nil.
func (w *walker) record(r *Report) {
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
		w.begin(e)
		start := w.counted
		if ok := w.expression(e); !ok && w.recording {
			w.bad = append(w.bad, span{start: start})
			w.blanking = true
		}
	}
	w.endBlank(len(w.parser.Data()))
	if w.parser.Error() != nil {
		w.failed = true
	}
}

// begin moves the line to the beginning of an expression, and ends the range
// to blank of the one before.
func (w *walker) begin(e *unstable.Node) {
	if !w.recording {
		return
	}
	start := w.start(e)
	w.endBlank(start)
	w.seek(start)
}

// start returns the offset of an expression, brackets included.
func (w *walker) start(e *unstable.Node) int {
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

// seek counts lines up to offset.
func (w *walker) seek(offset int) {
	if offset > w.counted {
		w.line += bytes.Count(w.parser.Data()[w.counted:offset], []byte{'\n'})
		w.counted = offset
	}
}

func (w *walker) endBlank(offset int) {
	if w.blanking {
		w.bad[len(w.bad)-1].end = offset
		w.blanking = false
	}
}

// blanked returns the document without the expressions that were refused;
// lines stay where they are.
func (w *walker) blanked() []byte {
	data := bytes.Clone(w.parser.Data())
	for _, s := range w.bad {
		for i := s.start; i < s.end; i++ {
			if data[i] != '\n' {
				data[i] = ' '
			}
		}
	}
	return data
}

// syntaxError reports where parsing stopped early.
func (w *walker) syntaxError(r *Report) bool {
	err := w.parser.Error()
	if err == nil {
		return false
	}
	r.Broken = true
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		if offset := cap(w.parser.Data()) - cap(pe.Highlight); offset >= 0 && offset <= len(w.parser.Data()) {
			w.seek(offset)
		}
	}
	r.add(w.line, w.path, "syntax: "+err.Error())
	return true
}

// refuse notes a problem and returns false.
func (w *walker) refuse(at Path, format string, args ...any) bool {
	w.failed = true
	if w.report != nil {
		w.report.refused[at] = true
		w.report.add(w.line, at, fmt.Sprintf(format, args...))
	}
	return false
}

// seen notes the line of a path and refuses one that came before.
func (w *walker) seen(at Path) bool {
	if !w.recording {
		return true
	}
	if first, ok := w.lines[at]; ok {
		return w.refuse(at, "given twice, first on line %d", first)
	}
	w.lines[at] = w.line
	return true
}

// expression checks one expression and reports whether it can be decoded.
func (w *walker) expression(e *unstable.Node) bool {
	if e.Kind == unstable.KeyValue {
		return w.open != nil && w.keyValue(w.open, w.path, e)
	}
	w.open = nil
	t, at, ok := w.descend(w.shape, Path{}, e.Key())
	if !ok {
		return false
	}
	if e.Kind == unstable.ArrayTable {
		return w.openElement(t, at)
	}
	if t.isTables() {
		return w.refuse(at, "is a list: write [[%s]]", at)
	}
	if !t.isTable() {
		return w.refuse(at, "is not a table")
	}
	if !w.seen(at) {
		return false
	}
	w.open, w.path = t, at
	return true
}

// openElement begins the next element of an array of tables.
func (w *walker) openElement(t *shape, at Path) bool {
	if !t.isTables() {
		return w.refuse(at, "is not a list of tables")
	}
	name := at.Key
	at = Path{Table: name, Index: w.elements[name]}
	w.elements[name]++
	w.open, w.path = t.elem, at
	return w.seen(at)
}

// child returns the path of a field. Walkers that do not record need the names
// of arrays of tables only, which stand at the top.
func (w *walker) child(p Path, name string) Path {
	if p.Key == "" || w.recording {
		return p.child(name)
	}
	return p
}

// descend follows a dotted key from t and returns what it leads to.
func (w *walker) descend(t *shape, at Path, keys unstable.Iterator) (*shape, Path, bool) {
	for keys.Next() {
		key := keys.Node()
		if t.isTables() {
			// A header below an array of tables means its last element.
			last := w.elements[at.Key] - 1
			if last < 0 {
				return nil, at, w.refuse(at, "is a list: write [[%s]] first", at)
			}
			t, at = t.elem, Path{Table: at.Key, Index: last}
		}
		switch t.kind {
		case reflect.Struct:
			f, ok := t.fields[string(key.Data)]
			if !ok {
				return nil, at, w.refuse(at.child(string(key.Data)), "unknown key; known are %s", t.known())
			}
			t, at = f.shape, w.child(at, f.name)
		case reflect.Map:
			t = t.elem
			if w.recording {
				at = at.child(string(key.Data))
			}
		default:
			return nil, at, w.refuse(at, "is not a table")
		}
	}
	return t, at, true
}

func (w *walker) keyValue(t *shape, at Path, e *unstable.Node) bool {
	if w.recording {
		w.seek(w.start(e))
	}
	t, at, ok := w.descend(t, at, e.Key())
	if !ok {
		return false
	}
	return w.seen(at) && w.value(t, at, e.Value())
}

// value checks the type of one value.
func (w *walker) value(t *shape, at Path, n *unstable.Node) bool {
	switch t.kind {
	case reflect.String:
		return n.Kind == unstable.String || w.wrongType(at, "a string", n)
	case reflect.Bool:
		return n.Kind == unstable.Bool || w.wrongType(at, "true or false", n)
	case reflect.Float64:
		return w.number(at, n)
	case reflect.Slice:
		return w.array(t.elem, at, n)
	case reflect.Map, reflect.Struct:
		return w.inlineTable(t, at, n)
	default:
		return w.integer(t, at, n)
	}
}

func (w *walker) wrongType(at Path, want string, n *unstable.Node) bool {
	return w.refuse(at, "must be %s, not %s", want, strings.ToLower(n.Kind.String()))
}

func (w *walker) integer(t *shape, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.Integer {
		return w.wrongType(at, "a whole number", n)
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
	if err != nil {
		return w.refuse(at, "%s is out of range", n.Data)
	}
	switch {
	case t.zero.CanUint() && v < 0:
		return w.refuse(at, "must not be negative")
	case t.zero.CanUint() && t.zero.OverflowUint(uint64(v)), t.zero.CanInt() && t.zero.OverflowInt(v):
		return w.refuse(at, "%d is out of range", v)
	}
	return true
}

// number takes what a float64 can hold, but for infinity and NaN: no setting
// means anything by them.
func (w *walker) number(at Path, n *unstable.Node) bool {
	if n.Kind == unstable.Integer {
		return true
	}
	if n.Kind != unstable.Float {
		return w.wrongType(at, "a number", n)
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
	if err != nil || math.IsInf(v, 0) || math.IsNaN(v) {
		return w.refuse(at, "%s is not a finite number", n.Data)
	}
	return true
}

func (w *walker) array(elem *shape, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.Array {
		return w.wrongType(at, "a list", n)
	}
	ok := true
	index := 0
	for children := n.Children(); children.Next(); {
		if children.Node().Kind == unstable.Comment {
			continue
		}
		below := at
		if elem.kind == reflect.Struct {
			below = Path{Table: at.Key, Index: index}
			w.elements[at.Key]++
		}
		ok = w.value(elem, below, children.Node()) && ok
		index++
	}
	return ok
}

func (w *walker) inlineTable(t *shape, at Path, n *unstable.Node) bool {
	if n.Kind != unstable.InlineTable {
		return w.wrongType(at, "a table", n)
	}
	ok := true
	for children := n.Children(); children.Next(); {
		if children.Node().Kind == unstable.KeyValue {
			ok = w.keyValue(t, at, children.Node()) && ok
		}
	}
	return ok
}
