// Package warmup decides until when the process of an endpoint is cold, and how many
// requests per second it takes meanwhile.
//
// Inputs are the remaining time that the endpoint's entry states, with the revision of the
// entry, and the figures of its service in the configuration. A statement counts from the
// moment it is applied, however old the read was that brought it: the endpoint then counts
// as cold for too long rather than too short. internal/scheduler calls it for each entry
// that it reads and at each tick.
//
// The package does no I/O and reads no clock.
package warmup

import "time"

// Time is a point in time in nanoseconds on a monotonic clock.
type Time int64

// Process is what is known about the coldness of an endpoint's process. The zero value is
// that of a process of which nothing is known, which is not cold.
type Process struct {
	until    Time
	revision int64
	known    bool
}

// Stated records that the entry of a revision says that the process is cold for a time. A
// repeated read of the same entry or an older one does not start the time anew.
func (p *Process) Stated(remaining time.Duration, revision int64, now Time) {
	if p.known && revision <= p.revision {
		return
	}
	p.until, p.revision, p.known = now+Time(remaining), revision, true
}

// Started records that the process has appeared while it was watched and states nothing.
// It then counts as cold for the time that its service needs.
func (p *Process) Started(coldStart time.Duration, revision int64, now Time) {
	if !p.known {
		p.until, p.revision, p.known = now+Time(coldStart), revision, true
	}
}

// Cold reports whether the process is cold.
func (p *Process) Cold(now Time) bool { return p.known && now < p.until }

// Rate returns the number of requests per second that the process takes while it is cold,
// given that of its service; zero means no limit.
func (p *Process) Rate(coldPerSecond float64, now Time) float64 {
	if !p.Cold(now) {
		return 0
	}
	return coldPerSecond
}

// Remaining returns how much longer the process is cold.
func (p *Process) Remaining(now Time) time.Duration { return time.Duration(max(p.until-now, 0)) }
