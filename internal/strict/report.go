// Package strict decodes TOML into structs, refuses every key that the struct
// does not name, and reports all faults of a document together, each with its
// line and key.
package strict

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Line counts from 1; 0 means that no line can be named.
	Line int `json:"line"`
	// Key is dotted, without the indexes of arrays of tables.
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

// Error holds every problem of one document, in the order of its lines.
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
	// refused holds the paths that could not be decoded, about which nothing
	// else can be said.
	refused map[Path]bool
	// Broken says that so much is wrong that the decoded value is unusable.
	Broken bool
}

// Add reports a problem of a decoded value. Nothing is added where the value
// itself could not be decoded.
func (r *Report) Add(at Path, format string, args ...any) {
	if r.refused[at] {
		return
	}
	r.add(r.Line(at), at, fmt.Sprintf(format, args...))
}

// Line returns the line of the key at, or of the element or table that should
// hold it.
func (r *Report) Line(at Path) int {
	lines := r.document.locate()
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
