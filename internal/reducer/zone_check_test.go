package reducer

import (
	"fmt"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

// note adds a line to the trace that is printed with a violation. The trace keeps
// the last 60 lines.
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

// checkShed checks that a request is not refused for lack of capacity while a
// request of a lower tier waits at a member that the deciding member can reach.
//
// The decider is the owner that declined or the member that closed the tier. The
// order of tiers holds among the members that the decider does not regard as
// dead.
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

// healthOf returns the state of o as m sees it.
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

// checkSlots checks that the runs on an endpoint do not exceed its slots per
// owner: for a short time each of two owners may grant all of them.
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

// owners counts the owners of the endpoint in the views of the live members, and
// adds one for a view that ended within the last GrantLease.
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
		z.fail("%s: the file in force was replaced by an older one: revision %d by %d", m.name, m.newestFile.Revision, f.Revision)
	}
	m.newestFile = f
}

// healAndSettle ends all faults and advances the clock until all work is done.
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
	// The platform has the newest file, and only one instance reads it.
	z.live()[0].post(FileOffered{File: z.file, Source: "platform"})
	z.advance(40 * time.Second)
}

// checkFinalState checks the invariants of the final state, after all faults have
// ended.
func (z *zone) checkFinalState() {
	for w, sub := range z.submitted {
		if sub.member.alive && !z.finished[w] {
			z.fail("waiter %d of %s received neither an answer nor a refusal", w, sub.member.name)
		}
	}
	for _, m := range z.live() {
		if !m.stopping && m.state.file.Digest() != z.file.Digest() {
			z.fail("%s ends with revision %d instead of %d", m.name, m.state.file.Revision, z.file.Revision)
		}
		for _, e := range m.state.endpointOrder {
			if e.owner == m.incarnation && len(e.grants) > 0 {
				z.fail("%s still has %d grants of %s although no request is running", m.name, len(e.grants), e.name)
			}
		}
	}
}
