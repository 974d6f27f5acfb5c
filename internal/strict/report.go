// Package strict decodes TOML into structs, rejects every key that the struct
// does not have, and reports all problems of a document together, each with its
// line and key.
package strict

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line is the line number, counted from 1; 0 means that it is unknown.
	Line int `json:"line"`
	// Key is the dotted key, without the indexes of arrays of tables.
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Reason)
}

// Error holds all problems of one document, sorted by line.
type Error struct{ Problems []Problem }

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Path locates a key in a document.
type Path struct {
	// Table names an array of tables and Index its element, counted from 0;
	// Table is empty outside of arrays.
	Table string
	Index int
	// Key is the dotted key within the element; empty for the element itself.
	Key string
}

func (p Path) String() string {
	if p.Table == "" || p.Key == "" {
		return p.Table + p.Key
	}
	return p.Table + "." + p.Key
}

// child returns the path of the key name below p.
func (p Path) child(name string) Path {
	if p.Key != "" {
		name = p.Key + "." + name
	}
	p.Key = name
	return p
}

// Report collects the problems of one document.
type Report struct {
	document *document
	problems []Problem
	// rejected holds the paths whose values could not be decoded. No other
	// problem is reported for them.
	rejected map[Path]bool
	// Unusable reports whether the document has errors that make the decoded value
	// unusable.
	Unusable bool
}

// Add reports a problem of a decoded value. It does nothing if the value itself
// could not be decoded.
func (r *Report) Add(at Path, format string, args ...any) {
	if r.rejected[at] {
		return
	}
	r.add(r.Line(at), at, fmt.Sprintf(format, args...))
}

// Line returns the line of the key at. If the document does not have the key,
// it returns the line of the nearest table or element that would contain it.
func (r *Report) Line(at Path) int {
	lines := r.document.keyLines()
	for {
		if line, ok := lines[at]; ok {
			return line
		}
		switch i := strings.LastIndexByte(at.Key, '.'); {
		case i > 0:
			at.Key = at.Key[:i]
		case at.Key != "":
			at.Key = ""
		default:
			return 1
		}
	}
}

// Err returns an *Error with all problems, or nil where there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: r.problems}
}

func (r *Report) add(line int, at Path, reason string) {
	r.problems = append(r.problems, Problem{Line: line, Key: at.String(), Reason: reason})
}
