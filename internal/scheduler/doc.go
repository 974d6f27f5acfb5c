// Package scheduler makes the decisions about routed requests at one instance:
// which requests are queued, which are refused, which endpoint each is sent to
// and whether it may be retried. State is a pure state machine: it takes typed
// events and returns typed effects, without a clock, I/O or randomness other
// than its seed.
package scheduler

import "time"

// Instant is a point in time in nanoseconds on a monotonic clock that also
// counts the time during which the machine was suspended.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time elapsed from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// never precedes every instant that a clock returns.
const never = Instant(-1 << 62)
