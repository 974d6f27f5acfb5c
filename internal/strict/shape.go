package strict

import (
	"reflect"
	"slices"
	"strings"
)

// shape is the keys that each struct below a root struct names.
type shape struct {
	root   reflect.Type
	fields map[reflect.Type]map[string]field
}

type field struct {
	name  string
	shape reflect.Type
}

func newShape(root reflect.Type) *shape {
	s := &shape{root: root, fields: make(map[reflect.Type]map[string]field)}
	s.learn(root)
	return s
}

func (s *shape) learn(t reflect.Type) {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || s.fields[t] != nil {
		return
	}
	keys := make(map[string]field, t.NumField())
	s.fields[t] = keys
	for i := range t.NumField() {
		f := t.Field(i)
		if tag := f.Tag.Get("toml"); tag != "" && tag != "-" {
			keys[tag] = field{tag, f.Type}
			s.learn(f.Type)
		}
	}
}

// known returns the keys of t for people.
func (s *shape) known(t reflect.Type) string {
	keys := make([]string, 0, len(s.fields[t]))
	for k := range s.fields[t] {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

// isTables reports whether t is an array of tables.
func isTables(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || t.Kind() == reflect.Map
}
