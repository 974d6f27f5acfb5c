package strict

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// shape is a Go type as far as documents can fill it.
type shape struct {
	kind reflect.Kind
	// zero is a value of the type, by which the range of numbers is checked.
	zero reflect.Value
	// fields are the keys that a struct names.
	fields map[string]field
	// elem is the shape of the elements of a slice or map.
	elem *shape
}

type field struct {
	name  string
	shape *shape
}

func newShape(t reflect.Type) *shape {
	s := &shape{kind: t.Kind(), zero: reflect.Zero(t)}
	switch s.kind {
	case reflect.Slice, reflect.Map:
		s.elem = newShape(t.Elem())
	case reflect.Struct:
		s.fields = make(map[string]field, t.NumField())
		for i := range t.NumField() {
			f := t.Field(i)
			if tag := f.Tag.Get("toml"); tag != "" && tag != "-" {
				s.fields[tag] = field{tag, newShape(f.Type)}
			}
		}
	}
	return s
}

// known returns the keys of a struct for people.
func (s *shape) known() string {
	return strings.Join(slices.Sorted(maps.Keys(s.fields)), ", ")
}

// isTables reports whether s is an array of tables.
func (s *shape) isTables() bool {
	return s.kind == reflect.Slice && s.elem.kind == reflect.Struct
}

func (s *shape) isTable() bool {
	return s.kind == reflect.Struct || s.kind == reflect.Map
}
