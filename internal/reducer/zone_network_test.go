package reducer

import (
	"fmt"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"google.golang.org/protobuf/proto"
)

func (z *zone) member(inc Incarnation) *member {
	for _, m := range z.members {
		if m.incarnation == inc {
			return m
		}
	}
	return nil
}

func (z *zone) send(from *member, to Incarnation, f *peerpb.Frame) {
	dst := z.member(to)
	if dst == nil || !dst.alive || z.isPartitioned(from, dst) {
		return
	}
	z.events["frame "+fmt.Sprintf("%T", f.GetBody())[len("*peerpb.Frame_"):]]++
	if reply := f.GetFileReply(); reply != nil {
		file := from.state.file
		z.deliver(dst, func() { dst.step(FileOffered{File: file, Source: "peer"}) })
		return
	}
	if d := f.GetDecline(); d != nil && refusal.Reason(d.GetReason()) != declineNotOwner {
		dst.decliners[RequestID(d.GetRequest())] = from.currentDecision()
	}
	if c := f.GetTierClose(); c != nil {
		dst.closers[c.GetPool()] = from.currentDecision()
		z.note("%s closes rank %d of %s at %s, round %d", from.name, c.GetRank(), c.GetPool(), dst.name, c.GetRound())
	}
	for _, c := range f.GetHeartbeat().GetClosures() {
		// A joining member adopts the closures of another member, with the
		// decision that caused them.
		if d, ok := from.closers[c.GetPool()]; ok && !dst.ready {
			dst.closers[c.GetPool()] = d
		}
	}
	if c := f.GetTierCloseConfirm(); c != nil {
		z.note("%s confirms rank %d of %s to %s, round %d", from.name, c.GetRank(), c.GetPool(), dst.name, c.GetRound())
	}
	c := proto.Clone(f).(*peerpb.Frame)
	z.deliver(dst, func() { dst.step(PeerMessage{From: from.incarnation, Frame: c}) })
}

// deliver schedules a frame with a random delay and preserves the order of the
// frames to one member, as a session does.
func (z *zone) deliver(to *member, run func()) {
	at := z.now.Add(time.Duration(1+z.rand(3)) * time.Millisecond)
	for _, d := range z.inFlight {
		if d.to == to && d.at > at {
			at = d.at
		}
	}
	at = min(at, z.now.Add(10*time.Millisecond))
	z.inFlight = append(z.inFlight, delivery{at: at, to: to, run: run})
}

func (z *zone) after(m *member, d time.Duration, ev Event) {
	z.inFlight = append(z.inFlight, delivery{at: z.now.Add(d), to: m, run: func() { m.step(ev) }})
}

func (z *zone) connect(m *member, name string) {
	for _, o := range z.members {
		if o.name != name || !o.alive || o == m || o.paused || z.isPartitioned(m, o) {
			continue
		}
		a, b := m, o
		z.deliver(a, func() {
			a.step(PeerUp{Peer: b.incarnation, Hello: &peerpb.Hello{Instance: b.name, AvailabilityZone: "a"}})
		})
		z.deliver(b, func() {
			b.step(PeerUp{Peer: a.incarnation, Hello: &peerpb.Hello{Instance: a.name, AvailabilityZone: "a"}})
		})
	}
}

// advance moves the clock in steps of 5 ms and runs the deliveries, polls and
// ticks that are due.
func (z *zone) advance(d time.Duration) {
	end := z.now.Add(d)
	for z.now < end && z.violation == "" {
		z.now = z.now.Add(5 * time.Millisecond)
		z.runDue()
		if int64(z.now)/int64(5*time.Millisecond)%int64(pollInterval/(5*time.Millisecond)) == 0 {
			z.poll()
		}
		if int64(z.now)/int64(5*time.Millisecond)%20 == 0 {
			for _, m := range z.members {
				if m.alive && !m.paused {
					m.step(Tick{})
				}
			}
		}
	}
}

func (z *zone) runDue() {
	for {
		due := z.inFlight[:0:0]
		var rest []delivery
		for _, d := range z.inFlight {
			if d.at <= z.now {
				due = append(due, d)
			} else {
				rest = append(rest, d)
			}
		}
		if len(due) == 0 {
			return
		}
		z.inFlight = rest
		sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
		for _, d := range due {
			if d.to.paused {
				d.to.inbox = append(d.to.inbox, d.run)
			} else if d.to.alive {
				d.run()
			}
		}
	}
}
