package reducer

import (
	"fmt"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

// note keeps the last things that matter for reading a violation.
func (z *zone) note(format string, args ...any) {
	z.trace = append(z.trace, fmt.Sprintf("%8.3fs ", time.Duration(z.now).Seconds())+fmt.Sprintf(format, args...))
	if len(z.trace) > 60 {
		z.trace = z.trace[1:]
	}
}

func (z *zone) fail(format string, args ...any) {
	if z.violation == "" {
		z.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(z.trace, "\n")
	}
}

func (m *member) recordRefusal(e Refuse) {
	z := m.zone
	reason := e.Refused.Reason
	z.refusals[e.Waiter] = reason
	z.finished[e.Waiter] = true
	if reason == refusal.TicketNeeded {
		m.tickets = append(m.tickets, e.Refused.Ticket)
	}
	kind, _ := refusal.Lookup(reason)
	if e.Request != 0 && kind.NotRun {
		m.refused[e.Request] = reason
		if z.dispatches[dispatchKey{m.incarnation, e.Request}] > 0 {
			z.fail("%s: request %d ran and was refused %q as not run", m.name, e.Request, reason)
		}
	}
	if sub := z.submitted[e.Waiter]; sub != nil {
		z.checkShed(m, sub, reason, e.Request)
	}
}

// checkShed holds a refusal for lack of capacity against what waits lower
// down at every member that this one can reach.
//
// What is promised is the order among instances that the deciding one does not
// believe dead: the owner that declined, or the instance that closed the tier.
func (z *zone) checkShed(m *member, sub *submission, reason refusal.Reason, id RequestID) {
	if reason != refusal.Shed && reason != refusal.TierClosed && reason != refusal.DeadlineUnmet {
		return
	}
	rank := m.state.rank(sub.req.Tier)
	decided := m.currentDecision()
	if d := m.decliners[id]; d.by != nil {
		decided = d
	} else if d := m.closers[sub.req.Pool]; d.by != nil && reason == refusal.TierClosed {
		decided = d
	}
	decider := decided.by
	for _, o := range z.members {
		if !o.alive || o.paused || z.isPartitioned(decider, o) || decided.deadPeers[o.incarnation] {
			continue
		}
		for _, r := range o.state.requests {
			if r.req.Pool == sub.req.Pool && r.rank > rank && r.waiting() && r.phase == awaitingGrant {
				z.fail("%s: tier of rank %d refused %q while rank %d waits at %s (%s)", m.name, rank, reason, r.rank, o.name, decider.healthOf(o))
			}
		}
	}
}

// healthOf says what m takes o for.
func (m *member) healthOf(o *member) string {
	p := m.state.peers[o.incarnation]
	switch {
	case m == o:
		return "itself"
	case p == nil:
		return "unknown"
	}
	return healthNames[p.health]
}

func (z *zone) isLeaving(endpoint string) bool { return z.leaving[endpoint] != 0 }

// checkSlots holds what runs on an endpoint against its slots: two owners for
// a moment may each grant all of them, never more.
func (z *zone) checkSlots(endpoint string) {
	running := 0
	for _, m := range z.members {
		for _, on := range m.running {
			if on == endpoint && m.alive {
				running++
			}
		}
	}
	limit := 2 * z.owners(endpoint)
	if running > limit {
		z.fail("%s runs %d requests, over the bound of %d", endpoint, running, limit)
	}
}

// owners counts the members that own the endpoint in their own view, and one
// for each view that has ended within a lease.
func (z *zone) owners(endpoint string) int {
	ids := map[Incarnation]bool{}
	for _, m := range z.members {
		if e := m.state.endpoints[endpoint]; e != nil && m.alive {
			ids[e.owner] = true
		}
	}
	return len(ids) + 1
}

func (z *zone) checkFile(m *member) {
	f := m.state.file
	if m.newestFile != nil && !f.Newer(m.newestFile) && f.Digest() != m.newestFile.Digest() {
		z.fail("%s: the file in force went back from revision %d to %d", m.name, m.newestFile.Revision, f.Revision)
	}
	m.newestFile = f
}

// healAndSettle heals everything and waits until nothing is left to do.
func (z *zone) healAndSettle() {
	for _, m := range z.members {
		if m.paused {
			z.resume(m)
		}
	}
	clear(z.partitions)
	clear(z.unreachable)
	clear(z.crashFingerprints)
	z.publishInstances()
	// The platform has the newest file, and one instance can read it.
	z.live()[0].post(FileOffered{File: z.file, Source: "platform"})
	z.advance(40 * time.Second)
}

// checkSettled holds the end state against what must be true once all faults
// are over.
func (z *zone) checkSettled() {
	for w, sub := range z.submitted {
		if sub.member.alive && !z.finished[w] {
			z.fail("waiter %d of %s never got an answer or a refusal", w, sub.member.name)
		}
	}
	for _, m := range z.live() {
		if !m.stopping && m.state.file.Digest() != z.file.Digest() {
			z.fail("%s ends with revision %d instead of %d", m.name, m.state.file.Revision, z.file.Revision)
		}
		for _, e := range m.state.endpointOrder {
			if e.owner == m.incarnation && len(e.grants) > 0 {
				z.fail("%s still holds %d grants of %s with nothing running", m.name, len(e.grants), e.name)
			}
		}
	}
}
