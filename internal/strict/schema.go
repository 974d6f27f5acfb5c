package strict

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// schema describes a Go type that documents are decoded into.
type schema struct {
	kind reflect.Kind
	// zero is the zero value of the type; it is used to check the range of
	// numbers.
	zero reflect.Value
	// fields are the fields of a struct by TOML key.
	fields map[string]field
	// elem is the schema of the elements of a slice or map.
	elem *schema
}

type field struct {
	name   string
	schema *schema
}

func newSchema(t reflect.Type) *schema {
	s := &schema{kind: t.Kind(), zero: reflect.Zero(t)}
	switch s.kind {
	case reflect.Slice, reflect.Map:
		s.elem = newSchema(t.Elem())
	case reflect.Struct:
		s.fields = make(map[string]field, t.NumField())
		for i := range t.NumField() {
			f := t.Field(i)
			if tag := f.Tag.Get("toml"); tag != "" && tag != "-" {
				s.fields[tag] = field{tag, newSchema(f.Type)}
			}
		}
	}
	return s
}

// knownKeys returns the keys of a struct, for use in messages.
func (s *schema) knownKeys() string {
	return strings.Join(slices.Sorted(maps.Keys(s.fields)), ", ")
}

// isTableArray reports whether s is an array of tables.
func (s *schema) isTableArray() bool {
	return s.kind == reflect.Slice && s.elem.kind == reflect.Struct
}

func (s *schema) isTable() bool {
	return s.kind == reflect.Struct || s.kind == reflect.Map
}
