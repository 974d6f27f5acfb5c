package experiment

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// reference is a central scheduler with full information: the actual lengths,
// caches and engine states, without delay. It serves tiers in order of rank and
// refuses calls that would miss their deadline.
type reference struct {
	zone    *zone
	queues  [][]*call
	running map[*call]*run
}

func newReference(z *zone) *reference {
	s := &reference{zone: z, queues: make([][]*call, len(z.file.Tiers)), running: map[*call]*run{}}
	z.every(reducer.TickInterval, s.dispatchQueued)
	return s
}

// submit implements scheduler.
func (s *reference) submit(c *call) {
	s.queues[c.tier.Rank-1] = append(s.queues[c.tier.Rank-1], c)
	s.dispatchQueued()
}

// cancel implements scheduler.
func (s *reference) cancel(c *call) {
	if r := s.running[c]; r != nil {
		r.engine.end(r, reducer.EndedCancelled)
	}
}

func (s *reference) dispatchQueued() {
	for rank := range s.queues {
		for len(s.queues[rank]) > 0 {
			c := s.queues[rank][0]
			target, duration := s.selectEngine(c)
			if target == nil {
				return
			}
			s.queues[rank] = s.queues[rank][1:]
			switch {
			case c.done:
			case s.zone.now.Add(duration) > c.deadline:
				s.zone.handleRefusal(c, refusal.DeadlineUnmet, time.Second)
			default:
				s.dispatch(c, target)
			}
		}
	}
}

// selectEngine returns the engine with a free slot that would finish the call
// first.
func (s *reference) selectEngine(c *call) (best *engine, duration time.Duration) {
	for _, e := range s.zone.engines {
		if e.down || len(e.batch) >= e.slots {
			continue
		}
		if t := e.estimateRunTime(c); best == nil || t < duration {
			best, duration = e, t
		}
	}
	return best, duration
}

// estimateRunTime returns the time that the engine would need for a call that
// arrives now, if all its slots were in use.
func (e *engine) estimateRunTime(c *call) time.Duration {
	prefillTokens := c.prompt
	if e.cache.contains(c.prefix) {
		prefillTokens -= c.prefixTokens
	}
	for _, r := range e.batch {
		prefillTokens += r.toPrefill - r.prefilled
	}
	return e.stepTime(0, prefillTokens) + time.Duration(c.output)*e.stepTime(e.slots, 0)
}

func (s *reference) dispatch(c *call, target *engine) {
	r := &run{call: c}
	s.running[c] = r
	s.zone.dispatch(r, target, func() {
		delete(s.running, c)
		s.zone.after(0, s.dispatchQueued)
	})
}

// dispatch runs a call on an engine without an instance in between.
func (z *zone) dispatch(r *run, target *engine, onEnd func()) {
	r.onFirstToken = func() { z.recordFirstToken(r.call) }
	r.onEnd = func(how reducer.Ended) {
		onEnd()
		z.recordRunEnd(r, how)
		if how == reducer.EndedBroken {
			z.handleRefusal(r.call, refusal.EndpointFailed, 0)
		}
	}
	target.add(r)
}

// plainRoundRobin dispatches each call to the next engine immediately, as a load
// balancer without tiers, queue or admission does.
type plainRoundRobin struct {
	zone    *zone
	next    int
	running map[*call]*run
}

// submit implements scheduler.
func (s *plainRoundRobin) submit(c *call) {
	for range s.zone.engines {
		target := s.zone.engines[s.next%len(s.zone.engines)]
		s.next++
		if !target.down {
			r := &run{call: c}
			s.running[c] = r
			s.zone.dispatch(r, target, func() { delete(s.running, c) })
			return
		}
	}
	s.zone.handleRefusal(c, refusal.NoEndpoint, time.Second)
}

// cancel implements scheduler.
func (s *plainRoundRobin) cancel(c *call) {
	if r := s.running[c]; r != nil {
		r.engine.end(r, reducer.EndedCancelled)
	}
}
