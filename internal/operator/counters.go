package operator

import (
	"encoding/json"
	"expvar"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultMaxLabels bounds the labels of a counter that declares none. It
	// has room for one label for each organisation at the size that the system
	// is built for.
	DefaultMaxLabels = 6000
	// maxCounters bounds the counters that were not declared.
	maxCounters = 256

	// Other is the label under which everything is added up that has no label
	// of its own.
	Other = "other"

	foldedName = "folded_additions_total"
)

// unitSuffixes end the names of counters.
var unitSuffixes = []string{"_total", "_bytes", "_seconds", "_ms", "_tokens", "_micros"}

// Definition declares a counter.
type Definition struct {
	// Name ends in its unit, or in _total for a count.
	Name string
	// Labels is the closed list of the counter's labels; each is published
	// from the start, as zero. A counter without them takes any labels, up to
	// the limit.
	Labels []string
}

// Counters are named sums, each by label. The zero value is not valid. It may
// be used concurrently.
type Counters struct {
	maxLabels int
	vars      *expvar.Map

	mu   sync.RWMutex
	sets map[string]*set
	// folded counts the additions that went to Other, by counter.
	folded *set
}

// NewCounters returns counters with those that are declared. It panics if a
// name has no unit or is declared twice, which is a mistake in the program.
func NewCounters(definitions ...Definition) *Counters {
	c := &Counters{maxLabels: DefaultMaxLabels, vars: new(expvar.Map), sets: map[string]*set{}}
	c.folded = c.newSet(foldedName)
	for _, d := range definitions {
		c.declare(d)
	}
	return c
}

func (c *Counters) declare(d Definition) {
	if !hasUnit(d.Name) {
		panic(errors.AssertionFailedf("operator: counter %q has no unit in its name", d.Name))
	}
	if c.sets[d.Name] != nil {
		panic(errors.AssertionFailedf("operator: counter %q is declared twice", d.Name))
	}
	s := c.newSet(d.Name)
	for _, label := range d.Labels {
		s.values[label] = new(expvar.Int)
	}
	s.closed = len(d.Labels) > 0
}

func hasUnit(name string) bool {
	return slices.ContainsFunc(unitSuffixes, func(suffix string) bool { return strings.HasSuffix(name, suffix) })
}

// newSet makes an empty set and publishes it.
func (c *Counters) newSet(name string) *set {
	s := &set{values: map[string]*expvar.Int{}}
	c.sets[name] = s
	c.vars.Set(name, s)
	return s
}

// Add adds n to a counter under a label, which may be empty. Where the label
// is not on the counter's closed list, or would be one too many, n is added
// under Other. A counter that was not declared begins with its first addition;
// past a limit of these, their additions are all added to one counter of that
// name.
func (c *Counters) Add(counter, label string, n int64) {
	if !c.set(counter).add(label, n, c.maxLabels) {
		c.folded.add(counter, 1, maxCounters)
	}
}

func (c *Counters) set(name string) *set {
	c.mu.RLock()
	s := c.sets[name]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sets[name]; s != nil {
		return s
	}
	if len(c.sets) >= maxCounters && name != Other {
		if s := c.sets[Other]; s != nil {
			return s
		}
		name = Other
	}
	return c.newSet(name)
}

// Publish shows what f returns, as JSON, beside the counters. It replaces what
// was shown under the name. f may be called concurrently.
func (c *Counters) Publish(name string, f func() any) {
	c.vars.Set(name, expvar.Func(f))
}

// Value returns the sum under one label of a counter, zero if there is none.
func (c *Counters) Value(counter, label string) int64 {
	c.mu.RLock()
	s := c.sets[counter]
	c.mu.RUnlock()
	if s == nil {
		return 0
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if v := s.values[label]; v != nil {
		return v.Value()
	}
	return 0
}

// set is one counter; it is an expvar.Var.
type set struct {
	closed bool

	mu     sync.RWMutex
	values map[string]*expvar.Int
}

// add reports whether the label had a place of its own.
func (s *set) add(label string, n int64, limit int) bool {
	s.mu.RLock()
	v := s.values[label]
	s.mu.RUnlock()
	if v != nil {
		v.Add(n)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := !s.closed && len(s.values) < limit
	if !own {
		label = Other
	}
	v = s.values[label]
	if v == nil {
		v = new(expvar.Int)
		s.values[label] = v
	}
	v.Add(n)
	return own
}

// String returns the set as JSON: a number if it has no labels, else an object
// by label.
func (s *set) String() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if v := s.values[""]; v != nil && len(s.values) == 1 {
		return v.String()
	}
	out := make(map[string]int64, len(s.values))
	for label, v := range s.values {
		out[label] = v.Value()
	}
	b, err := json.Marshal(out)
	if err != nil {
		return "null"
	}
	return string(b)
}
