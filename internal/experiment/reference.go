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
	r.first = func() { s.zone.began(c) }
	r.ended = func(how reducer.Ended) {
		delete(s.running, c)
		s.zone.ended(r, how)
		if how == reducer.EndedBroken {
			s.zone.refused(c, refusal.EndpointFailed, 0)
		}
		s.zone.after(0, s.fill)
	}
	s.running[c] = r
	on.add(r)
}
