package declared

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// ChangeKind says what became of a thing between two files.
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
	// What is a table of the file, as "tier" or "endpoint"; Name is empty for
	// the file itself.
	What string `json:"what"`
	Name string `json:"name,omitempty"`
	// Key is the altered key; empty where a whole thing was added or removed.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String says the change in words.
func (c Change) String() string {
	thing := c.What
	if c.Name != "" {
		thing += " " + c.Name
	}
	switch c.Kind {
	case Added:
		return thing + " is added"
	case Removed:
		return thing + " is removed"
	}
	return fmt.Sprintf("%s: %s changes from %s to %s", thing, c.Key, c.Old, c.New)
}

const whatFile = "file"

// Diff returns what would change if next came into force in place of old:
// first the file's own keys, then tiers, classes, endpoints, routes and
// organisations, each list in the order of old and then of next. The order of
// things within a file means nothing and is no change.
func Diff(old, next *File) []Change {
	changes := altered(nil, whatFile, "", reflect.ValueOf(*old), reflect.ValueOf(*next))
	changes = diffTable(changes, tableTier, old.Tiers, next.Tiers, func(t *Tier) string { return t.Name })
	changes = diffTable(changes, tableClass, old.Classes, next.Classes, func(c *Class) string { return c.Name })
	changes = diffTable(changes, tableEndpoint, old.Endpoints, next.Endpoints, func(e *Endpoint) string { return e.Name })
	changes = diffTable(changes, tableRoute, old.Routes, next.Routes, func(r *Route) string { return r.Name })
	return diffTable(changes, tableOrganisation, old.Organisations, next.Organisations, func(o *Organisation) string { return o.Name })
}

func diffTable[T any](changes []Change, what string, old, next []T, name func(*T) string) []Change {
	before, after := byName(old, name), byName(next, name)
	for i := range old {
		n := name(&old[i])
		if to, ok := after[n]; ok {
			changes = altered(changes, what, n, reflect.ValueOf(old[i]), reflect.ValueOf(*to))
			continue
		}
		changes = append(changes, Change{Kind: Removed, What: what, Name: n})
	}
	for i := range next {
		if n := name(&next[i]); before[n] == nil {
			changes = append(changes, Change{Kind: Added, What: what, Name: n})
		}
	}
	return changes
}

// altered appends a change for each key that differs between two structs.
// Tables below them are left to diffTable.
func altered(changes []Change, what, name string, old, next reflect.Value) []Change {
	for i := range old.NumField() {
		key := old.Type().Field(i).Tag.Get("toml")
		if key == "" || isTables(old.Field(i).Type()) {
			continue
		}
		if from, to := inWords(old.Field(i)), inWords(next.Field(i)); from != to {
			if key == "key_sha256" {
				from, to = shortDigests(from), shortDigests(to)
			}
			changes = append(changes, Change{Kind: Altered, What: what, Name: name, Key: key, Old: from, New: to})
		}
	}
	return changes
}

func isTables(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// inWords returns a value as people read it. Equal values, whatever the order
// of their elements, have equal words.
func inWords(v reflect.Value) string {
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

var longDigest = regexp.MustCompile(`\b([0-9A-Fa-f]{12})[0-9A-Fa-f]{52}\b`)

// shortDigests leaves of each digest what is enough to tell keys apart.
func shortDigests(words string) string {
	return longDigest.ReplaceAllString(words, "$1...")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
