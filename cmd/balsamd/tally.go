package main

import "sync"

// tally counts until the operator interface takes over.
type tally struct {
	mu sync.Mutex
	n  map[string]int64
}

func newTally() *tally { return &tally{n: map[string]int64{}} }

// Add implements control.Counters.
func (t *tally) Add(counter, label string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n[counter+" "+label] += n
}
