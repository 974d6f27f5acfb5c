package experiment

import (
	"container/heap"
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// clock is a virtual clock with its pending timers.
type clock struct {
	now      reducer.Instant
	sequence uint64
	pending  timers
}

type timer struct {
	at reducer.Instant
	// sequence orders timers with the same time by the order of their creation.
	sequence uint64
	run      func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// after runs f after d.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.pending, timer{c.now.Add(max(0, d)), c.sequence, f})
}

// every runs f now and then each time d has passed.
func (c *clock) every(d time.Duration, f func()) {
	f()
	c.after(d, func() { c.every(d, f) })
}

// runUntil runs the timers that are due up to end and sets the time to end.
func (c *clock) runUntil(end reducer.Instant) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}
