package experiment

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// reference is one scheduler that sees everything at once: true lengths, true
// caches, every engine as it is. It keeps tier order and refuses what would
// be late.
type reference struct {
	zone    *zone
	queues  [][]*call
	running map[*call]*run
}

func newReference(z *zone) *reference {
	s := &reference{zone: z, queues: make([][]*call, len(z.file.Tiers)), running: map[*call]*run{}}
	z.every(reducer.TickInterval, s.fill)
	return s
}

// submit implements scheduler.
func (s *reference) submit(c *call) {
	s.queues[c.tier.Rank-1] = append(s.queues[c.tier.Rank-1], c)
	s.fill()
}

// leave implements scheduler.
func (s *reference) leave(c *call) {
	if r := s.running[c]; r != nil {
		r.engine.end(r, reducer.EndedCancelled)
	}
}

func (s *reference) fill() {
	for rank := range s.queues {
		for len(s.queues[rank]) > 0 {
			c := s.queues[rank][0]
			on, took := s.choose(c)
			if on == nil {
				return
			}
			s.queues[rank] = s.queues[rank][1:]
			switch {
			case c.over:
			case s.zone.now.Add(took) > c.deadline:
				s.zone.refused(c, refusal.DeadlineUnmet, time.Second)
			default:
				s.dispatch(c, on)
			}
		}
	}
}

// choose returns the engine with a free slot that ends the call first.
func (s *reference) choose(c *call) (best *engine, took time.Duration) {
	for _, e := range s.zone.engines {
		if e.down || len(e.batch) >= e.slots {
			continue
		}
		if t := e.estimate(c); best == nil || t < took {
			best, took = e, t
		}
	}
	return best, took
}

// estimate is the time in which the engine would end a call that came now, if
// all its slots were taken.
func (e *engine) estimate(c *call) time.Duration {
	unread := c.prompt
	if e.cache.holds(c.prefix) {
		unread -= c.prefixTokens
	}
	for _, r := range e.batch {
		unread += r.toRead - r.read
	}
	return e.stepTime(0, unread) + time.Duration(c.output)*e.stepTime(e.slots, 0)
}

func (s *reference) dispatch(c *call, on *engine) {
	r := &run{call: c}
	s.running[c] = r
	s.zone.dispatch(r, on, func() {
		delete(s.running, c)
		s.zone.after(0, s.fill)
	})
}

// dispatch runs a call without an instance in between.
func (z *zone) dispatch(r *run, on *engine, ended func()) {
	r.first = func() { z.began(r.call) }
	r.ended = func(how reducer.Ended) {
		ended()
		z.ended(r, how)
		if how == reducer.EndedBroken {
			z.refused(r.call, refusal.EndpointFailed, 0)
		}
	}
	on.add(r)
}

// plain gives each call to the next engine at once, as a balancer without
// tiers, queue or admission does.
type plain struct {
	zone    *zone
	next    int
	running map[*call]*run
}

// submit implements scheduler.
func (s *plain) submit(c *call) {
	for range s.zone.engines {
		on := s.zone.engines[s.next%len(s.zone.engines)]
		s.next++
		if !on.down {
			r := &run{call: c}
			s.running[c] = r
			s.zone.dispatch(r, on, func() { delete(s.running, c) })
			return
		}
	}
	s.zone.refused(c, refusal.NoEndpoint, time.Second)
}

// leave implements scheduler.
func (s *plain) leave(c *call) {
	if r := s.running[c]; r != nil {
		r.engine.end(r, reducer.EndedCancelled)
	}
}
