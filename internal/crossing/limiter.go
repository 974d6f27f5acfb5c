package crossing

import "time"

const (
	// firstWindow is the window towards a zone of which nothing is known: one crossing
	// to compare with, and one more.
	firstWindow = 2.0
	// minWindow and maxWindow bound the window. Below one it lengthens the pause between
	// two crossings.
	minWindow = 1.0 / 16
	maxWindow = 64.0
	// increase is what the window grows by while as many crossings as it holds succeed; a
	// window below one doubles with each.
	// decrease is the factor by which one that finds less room than expected reduces it.
	increase = 1.0
	decrease = 0.5
	// pause is the time between two crossings with a window of just below one: in the
	// order of the time in which a slot becomes free.
	pause = 100 * time.Millisecond
	// windowRetention is how long a window is kept without crossings. A zone's traffic
	// swings in some ten seconds, so that an older one says nothing.
	windowRetention = 10 * time.Second
	// slowAnswer is how much longer than expected an answer may take to begin, as a
	// fraction of the expected time, slowSlack what it may take in any case.
	slowAnswer = 1.0
	slowSlack  = 20 * time.Millisecond
)

// Result is what a crossing has shown.
type Result int

// The results.
const (
	// Unclear means that the crossing shows nothing about the room there.
	Unclear Result = iota
	// Served means that the answer began as soon as expected.
	Served
	// Slow means that the answer began later, Rejected that there was none.
	Slow
	Rejected
)

// Began returns the result of a crossing whose answer began after a time.
func Began(after, expected time.Duration) Result {
	if after > expected+time.Duration(slowAnswer*float64(expected))+slowSlack {
		return Slow
	}
	return Served
}

// Limiter limits the crossings to one zone whose result is not known yet by a window. It
// grows additively with each one that is served as fast as expected, at first by one for
// each, and is halved when one finds less room. The zero value is ready for use. Times
// are those since any fixed point.
type Limiter struct {
	window  float64
	pending int
	// congested is set once the window was reduced; its growth is additive since.
	congested           bool
	lastSent, reducedAt time.Duration
}

// Window returns the number of crossings that may be pending.
func (l *Limiter) Window() float64 {
	if l.window == 0 {
		return firstWindow
	}
	return l.window
}

// Allows reports whether another crossing may begin now.
func (l *Limiter) Allows(now time.Duration) bool {
	if l.pending == 0 && l.window != 0 && now-l.lastSent > windowRetention {
		*l = Limiter{}
	}
	w := l.Window()
	if w < 1 {
		return l.pending == 0 && now-l.lastSent >= time.Duration(float64(pause)/w)
	}
	return float64(l.pending+1) <= w
}

// Sent records the begin of a crossing. Ended must follow.
func (l *Limiter) Sent(now time.Duration) {
	l.pending++
	l.lastSent = now
}

// Ended records the result of a crossing that began at a time. Those that began before
// the last reduction reduce the window no further.
func (l *Limiter) Ended(now, sent time.Duration, r Result) {
	l.pending = max(l.pending-1, 0)
	w := l.Window()
	switch {
	case r == Unclear || l.congested && sent <= l.reducedAt:
		return
	case r == Served && l.congested:
		w += increase * min(w, 1/w)
	case r == Served:
		w += increase
	default:
		w *= decrease
		l.congested, l.reducedAt = true, now
	}
	l.window = min(max(w, minWindow), maxWindow)
}
