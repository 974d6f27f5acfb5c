package origin

import "time"

// History is the software that services have run, as far as this instance knows.
// It is not safe for concurrent use.
type History struct {
	services map[string]map[Software]seen
	// begun is when the first software was listed.
	begun    Time
	hasBegun bool
	// complete is set if all software is known that was listed before.
	complete bool
}

// startGrace is the time after the first listing within which software counts as
// having been there before.
const startGrace = time.Second

// seen is when software was first and last listed.
type seen struct{ first, last Time }

// NewHistory returns an empty History.
func NewHistory() *History { return &History{services: map[string]map[Software]seen{}} }

// AddPast records that a service may have run some software at any time before the first
// listing here.
func (h *History) AddPast(service string, software Software, now Time) {
	h.Listed(service, software, now)
	h.services[service][software] = seen{first: h.begun, last: now}
}

// SetComplete records that all software is known that was listed before the first listing
// here: what AddPast has added.
func (h *History) SetComplete() { h.complete = true }

// Complete reports whether SetComplete was called.
func (h *History) Complete() bool { return h.complete }

// Covers reports whether the history includes all software that was listed within a
// time. After a start the first listing does not show what was removed before.
func (h *History) Covers(now Time, within time.Duration) bool {
	return h.hasBegun && (h.complete || now-h.begun > within)
}

// Listed records that an endpoint of a service is listed with some software. It
// reports whether this is a further one: new here, of a service that has run others.
func (h *History) Listed(service string, software Software, now Time) (further bool) {
	if !h.hasBegun {
		h.hasBegun, h.begun = true, now
	}
	all := h.services[service]
	if all == nil {
		all = map[Software]seen{}
		h.services[service] = all
	}
	at, known := all[software]
	if !known {
		at.first = now
		further = len(all) > 0
	}
	at.last = now
	all[software] = at
	return further
}

// Several reports whether the services have run more than one software within a
// time.
func (h *History) Several(services []string, now Time, within time.Duration) bool {
	n := 0
	for _, service := range services {
		for _, at := range h.services[service] {
			if now-at.last <= within {
				n++
			}
		}
	}
	return n > 1
}

// Sole returns the software that must have begun an attempt that is not recorded
// and began within a time: the only one that the services have run since, or the
// only one that they had run before the others came. An instance records attempts
// from the moment at which it knows of the second one. Software that was there when
// this instance first read the list counts as older than any time. The result is
// Unknown if there is no such software; alone is set if it is the only one. It proves
// nothing unless the history of some instance covers the time.
func (h *History) Sole(services []string, now Time, within time.Duration) (software Software, alone bool) {
	var all, older []Software
	for _, service := range services {
		for software, at := range h.services[service] {
			if now-at.last > within {
				continue
			}
			all = append(all, software)
			if at.first <= h.begun+startGrace || now-at.first > within {
				older = append(older, software)
			}
		}
	}
	switch {
	case len(all) == 1:
		return all[0], true
	case len(older) == 1:
		return older[0], false
	}
	return Unknown, false
}

// Forget removes software that was last listed before a time.
func (h *History) Forget(before Time) {
	for service, all := range h.services {
		for software, at := range all {
			if at.last < before {
				delete(all, software)
			}
		}
		if len(all) == 0 {
			delete(h.services, service)
		}
	}
}
