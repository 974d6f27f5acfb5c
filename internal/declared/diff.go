package declared

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// ChangeKind is the kind of a difference between two files.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Altered ChangeKind = "altered"
)

// Change is one difference between two files.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Table is the table of the file, such as "tier" or "endpoint", or "file" for
	// the file's own keys. Name is the name of the entry; it is empty for the
	// file itself.
	Table string `json:"what"`
	Name  string `json:"name,omitempty"`
	// Key is the altered key; it is empty where a whole entry was added or
	// removed.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String describes the change in one line of text.
func (c Change) String() string {
	subject := c.Table
	if c.Name != "" {
		subject += " " + c.Name
	}
	switch c.Kind {
	case Added:
		return subject + " is added"
	case Removed:
		return subject + " is removed"
	}
	return fmt.Sprintf("%s: %s changes from %s to %s", subject, c.Key, c.Old, c.New)
}

// tableFile is the value of Change.What for the file's own keys.
const tableFile = "file"

// Diff returns what would change if next replaced old: first the file's own
// keys, then tiers, classes, endpoints, routes and organisations. Each list has
// the entries of old in their order, and then those that only next has. The
// order of entries within a file has no meaning, so another order is not a
// change.
func Diff(old, next *File) []Change {
	changes := diffKeys(nil, tableFile, "", reflect.ValueOf(*old), reflect.ValueOf(*next))
	changes = diffTable(changes, tableTier, old.Tiers, next.Tiers, func(t *Tier) string { return t.Name })
	changes = diffTable(changes, tableClass, old.Classes, next.Classes, func(c *Class) string { return c.Name })
	changes = diffTable(changes, tableEndpoint, old.Endpoints, next.Endpoints, func(e *Endpoint) string { return e.Name })
	changes = diffTable(changes, tableRoute, old.Routes, next.Routes, func(r *Route) string { return r.Name })
	return diffTable(changes, tableOrganisation, old.Organisations, next.Organisations, func(o *Organisation) string { return o.Name })
}

func diffTable[T any](changes []Change, table string, old, next []T, name func(*T) string) []Change {
	before, after := byName(old, name), byName(next, name)
	for i := range old {
		n := name(&old[i])
		if to, ok := after[n]; ok {
			changes = diffKeys(changes, table, n, reflect.ValueOf(old[i]), reflect.ValueOf(*to))
			continue
		}
		changes = append(changes, Change{Kind: Removed, Table: table, Name: n})
	}
	for i := range next {
		if n := name(&next[i]); before[n] == nil {
			changes = append(changes, Change{Kind: Added, Table: table, Name: n})
		}
	}
	return changes
}

// diffKeys appends a change for each key that differs between two structs. It
// skips arrays of tables, which diffTable compares.
func diffKeys(changes []Change, table, name string, old, next reflect.Value) []Change {
	for i := range old.NumField() {
		key := old.Type().Field(i).Tag.Get("toml")
		if key == "" || isTableArray(old.Field(i).Type()) {
			continue
		}
		if from, to := formatValue(old.Field(i)), formatValue(next.Field(i)); from != to {
			if key == "key_sha256" {
				from, to = abbreviateDigests(from), abbreviateDigests(to)
			}
			changes = append(changes, Change{Kind: Altered, Table: table, Name: name, Key: key, Old: from, New: to})
		}
	}
	return changes
}

func isTableArray(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// formatValue returns a value as readable text. Values that differ only in the
// order of their elements have the same text.
func formatValue(v reflect.Value) string {
	switch v := v.Interface().(type) {
	case []string:
		return orNone(strings.Join(slices.Sorted(slices.Values(v)), ", "))
	case map[string]int:
		parts := make([]string, 0, len(v))
		for _, name := range sortedKeys(v) {
			parts = append(parts, fmt.Sprintf("%s %d %%", name, v[name]))
		}
		return orNone(strings.Join(parts, ", "))
	default:
		return orNone(fmt.Sprint(v))
	}
}

var digestPattern = regexp.MustCompile(`\b([0-9A-Fa-f]{12})[0-9A-Fa-f]{52}\b`)

// abbreviateDigests shortens each SHA-256 digest to its first 12 digits, which
// suffice to distinguish keys.
func abbreviateDigests(text string) string {
	return digestPattern.ReplaceAllString(text, "$1...")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
