package reducer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/rapidseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	rapidseed.Fix("60")
	os.Exit(m.Run())
}

func drawRequest(t *rapid.T) Request {
	q := Request{
		Organisation: rapid.SampledFrom([]string{"big", "small"}).Draw(t, "organisation"),
		Tier:         rapid.SampledFrom([]string{"gold", "silver", "bronze"}).Draw(t, "tier"),
		Pool:         "chat", Idempotent: true,
		PromptTokens: 100, OutputTokens: 50,
		Fingerprint: rapid.Uint64Range(1, 1000).Draw(t, "fingerprint"),
		Deadline:    time.Duration(rapid.IntRange(500, 8000).Draw(t, "deadline")) * time.Millisecond,
	}
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		q.Pool, q.Idempotent, q.Tier = "bookings", false, "gold"
	}
	return q
}

// drawAction draws and runs one action: mostly load, sometimes a fault, and then
// time.
func (z *zone) drawAction(t *rapid.T) {
	live := z.live()
	m := live[rapid.IntRange(0, len(live)-1).Draw(t, "member")]
	switch k := rapid.IntRange(0, 22).Draw(t, "action"); {
	case k < 7:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			z.submit(m, drawRequest(t))
		}
	case k < 10:
		z.resend(t, m)
	case k == 10 && len(live) > 1:
		z.kill(m)
		z.start(m.name)
	case k == 11:
		z.pause(m)
	case k == 12 && m.paused:
		z.resume(m)
	case k == 13 && len(live) > 1:
		o := live[rapid.IntRange(0, len(live)-1).Draw(t, "other")]
		if o != m {
			z.setPartitioned(m, o, !z.isPartitioned(m, o))
		}
	case k == 14:
		z.file = parseZoneFile(int(z.file.Revision)+1, 3)
		m.post(FileOffered{File: z.file, Source: "platform"})
	case k == 15:
		// Another operator publishes concurrently, or a read returns an old
		// revision.
		racing := parseZoneFile(rapid.IntRange(1, int(z.file.Revision)).Draw(t, "revision"), 2)
		if racing.Newer(z.file) {
			z.file = racing
		}
		m.post(FileOffered{File: racing, Source: "platform"})
	case k == 16:
		z.unreachable["e0"] = !z.unreachable["e0"]
	case k == 18:
		z.crashFingerprints[rapid.Uint64Range(1, 1000).Draw(t, "crasher")] = true
	case k == 19:
		z.crash("e1")
	case k == 20:
		z.setEndpointLeaving("e2", !z.isLeaving("e2"))
	case k == 17 && len(live) > 2 && !m.paused && !m.stopping:
		m.stopping = true
		m.post(StopRequested{})
		z.start(fmt.Sprintf("i%d", len(z.members)))
	}
	z.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Millisecond)
}

// resend sends a ticket that is new, or whose request is running, has ended or
// was refused.
func (z *zone) resend(t *rapid.T, m *member) {
	if len(m.tickets) == 0 {
		q := drawRequest(t)
		q.Pool, q.Idempotent, q.Tier = "bookings", false, "gold"
		z.submit(m, q)
		return
	}
	ticket := m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
	q, used := m.ticketRequests[ticket.Request]
	if !used {
		q = drawRequest(t)
		q.Pool, q.Idempotent, q.Tier = "bookings", false, "gold"
		q.Ticket = ticket
		m.ticketRequests[ticket.Request] = q
	}
	z.submit(m, q)
	if rapid.Bool().Draw(t, "twice") {
		z.submit(m, q)
	}
}

// TestZoneInvariants runs three instances with random load and faults, and checks
// all invariants after each step.
func TestZoneInvariants(t *testing.T) {
	covered := map[string]int{}
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(3, 3, Guards{})
		z.advance(4 * time.Second)
		n := rapid.IntRange(10, 40).Draw(t, "actions")
		for range n {
			z.drawAction(t)
			if z.violation != "" {
				t.Fatal(z.violation)
			}
		}
		z.healAndSettle()
		z.checkFinalState()
		if z.violation != "" {
			t.Fatal(z.violation)
		}
		for k, v := range z.events {
			covered[k] += v
			steps += v
		}
	})
	t.Log("events:", steps, fmt.Sprint(covered))
}
