package reducer

import (
	"time"
)

func (z *zone) isPartitioned(a, b *member) bool {
	return z.partitions[[2]Incarnation{a.incarnation, b.incarnation}] || z.partitions[[2]Incarnation{b.incarnation, a.incarnation}]
}

// crash breaks every run on the endpoint and makes it report another start.
func (z *zone) crash(endpoint string) {
	z.crashCount++
	for _, m := range z.members {
		for id, on := range m.running {
			if on != endpoint || !m.alive {
				continue
			}
			delete(m.running, id)
			z.after(m, time.Millisecond, DispatchDone{Request: id, Result: Result{Ended: EndedBroken, Elapsed: time.Millisecond}})
		}
	}
	z.restarts[endpoint]++
}

// setEndpointLeaving sets whether an endpoint reports to all members that it is
// leaving.
func (z *zone) setEndpointLeaving(endpoint string, leaving bool) {
	delete(z.leaving, endpoint)
	if leaving {
		z.leaving[endpoint] = z.now
	}
}

func (z *zone) kill(m *member) {
	z.note("%s killed", m.name)
	m.alive = false
	m.running = map[RequestID]string{}
	z.dropSessions(m)
}

func (z *zone) dropSessions(m *member) {
	for _, o := range z.members {
		if o != m && o.alive {
			o.post(PeerDown{Peer: m.incarnation})
		}
	}
}

func (z *zone) pause(m *member) {
	z.note("%s paused", m.name)
	m.paused = true
}

func (z *zone) resume(m *member) {
	z.note("%s resumed", m.name)
	m.paused = false
	inbox := m.inbox
	m.inbox = nil
	for _, run := range inbox {
		if m.alive {
			run()
		}
	}
}

func (z *zone) setPartitioned(a, b *member, partitioned bool) {
	z.note("partition between %s and %s: %v", a.name, b.name, partitioned)
	z.partitions[[2]Incarnation{a.incarnation, b.incarnation}] = partitioned
	if partitioned {
		a.post(PeerDown{Peer: b.incarnation})
		b.post(PeerDown{Peer: a.incarnation})
	}
}

func (z *zone) live() []*member {
	var all []*member
	for _, m := range z.members {
		if m.alive {
			all = append(all, m)
		}
	}
	return all
}
