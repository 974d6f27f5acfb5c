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
	// DefaultMaxLabels bounds the labels of a counter without declared labels.
	// It allows one label per organisation at the system's design size.
	DefaultMaxLabels = 6000
	// maxCounters is the number of counters at which Add stops creating
	// undeclared ones.
	maxCounters = 256

	// OtherLabel is the label of the sum of all additions whose label is not
	// allowed or exceeds the limit. It is also the name of the counter for
	// counter names above the limit.
	OtherLabel = "other"

	foldedAdditionsName = "folded_additions_total"
)

// unitSuffixes are the allowed suffixes of counter names.
var unitSuffixes = []string{"_total", "_bytes", "_seconds", "_ms", "_tokens", "_micros"}

// CounterDefinition declares a counter.
type CounterDefinition struct {
	// Name ends in the counter's unit, or in _total for a count.
	Name string
	// Labels is the complete list of the counter's labels; each is published
	// from the start with the value zero. If it is empty, the counter accepts
	// any labels, up to the limit.
	Labels []string
}

// Counters is a set of named counters with one sum per label. Use NewCounters;
// the zero value is not valid. It is safe for concurrent use.
type Counters struct {
	maxLabels int
	vars      *expvar.Map

	mu       sync.RWMutex
	counters map[string]*counter
	// folded counts the additions made under OtherLabel, by counter.
	folded *counter
}

// NewCounters returns Counters that hold the declared counters. It panics if a
// name has no unit or is declared twice, which is a programming error.
func NewCounters(definitions ...CounterDefinition) *Counters {
	c := &Counters{maxLabels: DefaultMaxLabels, vars: new(expvar.Map), counters: map[string]*counter{}}
	c.folded = c.newCounter(foldedAdditionsName)
	for _, d := range definitions {
		c.declare(d)
	}
	return c
}

func (c *Counters) declare(d CounterDefinition) {
	if !hasUnit(d.Name) {
		panic(errors.AssertionFailedf("operator: counter %q has no unit in its name", d.Name))
	}
	if c.counters[d.Name] != nil {
		panic(errors.AssertionFailedf("operator: counter %q is declared twice", d.Name))
	}
	ctr := c.newCounter(d.Name)
	for _, label := range d.Labels {
		ctr.values[label] = new(expvar.Int)
	}
	ctr.fixedLabels = len(d.Labels) > 0
}

func hasUnit(name string) bool {
	return slices.ContainsFunc(unitSuffixes, func(suffix string) bool { return strings.HasSuffix(name, suffix) })
}

// newCounter creates and publishes an empty counter.
func (c *Counters) newCounter(name string) *counter {
	ctr := &counter{values: map[string]*expvar.Int{}}
	c.counters[name] = ctr
	c.vars.Set(name, ctr)
	return ctr
}

// Add adds n to a counter under a label, which may be empty. If the label is
// not one of the counter's declared labels, or exceeds the limit, n is added
// under OtherLabel. An undeclared counter is created by its first addition.
// Above the limit on counters, additions to further undeclared counters go to
// a single counter named OtherLabel.
func (c *Counters) Add(name, label string, n int64) {
	if !c.getOrCreate(name).add(label, n, c.maxLabels) {
		c.folded.add(name, 1, maxCounters)
	}
}

func (c *Counters) getOrCreate(name string) *counter {
	c.mu.RLock()
	ctr := c.counters[name]
	c.mu.RUnlock()
	if ctr != nil {
		return ctr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctr := c.counters[name]; ctr != nil {
		return ctr
	}
	if len(c.counters) >= maxCounters && name != OtherLabel {
		if ctr := c.counters[OtherLabel]; ctr != nil {
			return ctr
		}
		name = OtherLabel
	}
	return c.newCounter(name)
}

// Publish publishes the result of f as JSON under the name, next to the
// counters. It replaces anything published under that name before. f may be
// called concurrently.
func (c *Counters) Publish(name string, f func() any) {
	c.vars.Set(name, expvar.Func(f))
}

// Value returns a counter's sum under one label, or zero if there is none.
func (c *Counters) Value(name, label string) int64 {
	c.mu.RLock()
	ctr := c.counters[name]
	c.mu.RUnlock()
	if ctr == nil {
		return 0
	}
	ctr.mu.RLock()
	defer ctr.mu.RUnlock()
	if v := ctr.values[label]; v != nil {
		return v.Value()
	}
	return 0
}

// counter is one counter with its sums by label. It implements expvar.Var.
type counter struct {
	fixedLabels bool

	mu     sync.RWMutex
	values map[string]*expvar.Int
}

// add adds n under the label, or under OtherLabel if the label is not allowed.
// It reports whether it used the given label.
func (c *counter) add(label string, n int64, limit int) bool {
	c.mu.RLock()
	v := c.values[label]
	c.mu.RUnlock()
	if v != nil {
		v.Add(n)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hasOwnLabel := !c.fixedLabels && len(c.values) < limit
	if !hasOwnLabel {
		label = OtherLabel
	}
	v = c.values[label]
	if v == nil {
		v = new(expvar.Int)
		c.values[label] = v
	}
	v.Add(n)
	return hasOwnLabel
}

// String returns the counter as JSON: a number if it has no labels, otherwise
// an object keyed by label.
func (c *counter) String() string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if v := c.values[""]; v != nil && len(c.values) == 1 {
		return v.String()
	}
	out := make(map[string]int64, len(c.values))
	for label, v := range c.values {
		out[label] = v.Value()
	}
	b, err := json.Marshal(out)
	if err != nil {
		return "null"
	}
	return string(b)
}
