// Package scheduler decides what happens to routed requests at one instance:
// which wait, which are refused, which endpoint each is sent to and whether it
// may be sent again. State is one pure state machine: typed events in, typed
// effects out, with no clock, no I/O and no randomness but its seed.
package scheduler

import "time"

// Instant is a point of time in nanoseconds by a clock that never steps and
// that counts the time during which the machine was suspended.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// never is long before any instant that a clock returns.
const never = Instant(-1 << 62)
