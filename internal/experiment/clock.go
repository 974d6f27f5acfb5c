package experiment

import (
	"container/heap"
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// clock is virtual time with what is still to happen.
type clock struct {
	now  reducer.Instant
	next uint64
	due  timers
}

type timer struct {
	at reducer.Instant
	// order keeps what is due at one time in the order in which it was set.
	order uint64
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.next++
	heap.Push(&c.due, timer{c.now.Add(max(0, d)), c.next, f})
}

// every runs f now and then at each interval.
func (c *clock) every(d time.Duration, f func()) {
	f()
	c.after(d, func() { c.every(d, f) })
}

// runUntil lets time pass.
func (c *clock) runUntil(end reducer.Instant) {
	for len(c.due) > 0 && c.due[0].at <= end {
		t := heap.Pop(&c.due).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}
