package reducer

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/shoenig/test/must"
)

// TestWaitingSuspectDoesNotBlockOthers guards against a crash suspect that waits
// at the head of the queue and blocks the requests behind it. Two suspects and
// then another request arrive for one endpoint with two slots: the second suspect
// waits, the other request runs.
func TestWaitingSuspectDoesNotBlockOthers(t *testing.T) {
	s, _ := loadedState(1, 0)
	for id := range RequestID(2) {
		s.Step(4, DispatchDone{Request: id + 1, Result: Result{}})
	}
	s.addCrash(501, 1)
	s.addCrash(502, 1)
	var granted []RequestID
	for i, f := range []uint64{501, 502, 9} {
		q := benchRequest(0)
		q.Fingerprint = f
		for _, e := range s.Step(5, RequestArrived{Request: q, Waiter: Waiter(100 + i)}) {
			if c, ok := e.(Connect); ok {
				granted = append(granted, c.Request)
			}
		}
	}
	must.Eq(t, []RequestID{3, 5}, granted)
}

// newReportedZone returns a zone whose members know the start of each endpoint.
func newReportedZone(members int) *zone {
	z := newZone(members, 3, Guards{})
	z.advance(4 * time.Second)
	z.poll()
	z.crashFingerprints[666] = true
	return z
}

// Guards against a crashing request that is sent on because each owner has
// counted one crash: two equal requests crash endpoints of two owners at the
// same time.
func TestCrashesAtDifferentOwnersAddUp(t *testing.T) {
	z := newReportedZone(3)
	must.NotEq(t, z.members[0].state.endpoints["e0"].owner, z.members[0].state.endpoints["e1"].owner)
	z.unreachable["e2"] = true
	for range refuseAfterCrashes {
		z.submit(z.members[0], chatRequest("gold", 666, 5*time.Second))
	}
	z.advance(4 * time.Second)
	must.Eq(t, refuseAfterCrashes, z.crashCount)
	for _, m := range z.members {
		must.True(t, m.state.refusedAsSuspect(666), must.Sprint(m.name))
		z.submit(m, chatRequest("gold", 666, 5*time.Second))
	}
	z.advance(4 * time.Second)
	must.Eq(t, refuseAfterCrashes, z.crashCount)
	must.EqOp(t, "", z.violation)
}

// Guards against a crashing request that is sent on by an instance that started
// after the crashes, once the instances that counted them are gone.
func TestInstanceThatStartsLaterKnowsCrashingRequests(t *testing.T) {
	z := newReportedZone(2)
	for range 4 {
		z.submit(z.members[0], chatRequest("gold", 666, 5*time.Second))
		z.advance(4 * time.Second)
	}
	must.Eq(t, refuseAfterCrashes, z.crashCount)
	late := z.start("i2")
	z.advance(4 * time.Second)
	for _, m := range z.members[:2] {
		z.kill(m)
	}
	z.publishInstances()
	z.advance(10 * time.Second)
	z.poll()
	z.submit(late, chatRequest("gold", 666, 5*time.Second))
	z.advance(4 * time.Second)
	must.Eq(t, refuseAfterCrashes, z.crashCount)
	must.EqOp(t, "", z.violation)
}

// Guards against a queued request that is granted a slot although equal requests
// have crashed two endpoints since it was queued.
func TestQueuedRequestIsRefusedOnceItIsSuspect(t *testing.T) {
	s, running := loadedState(1, 0)
	q := benchRequest(0)
	q.Fingerprint = 501
	const waiter = Waiter(100)
	s.Step(4, RequestArrived{Request: q, Waiter: waiter})
	report := &peerpb.CrashReport{Fingerprint: 501, Ends: []*peerpb.CrashEnd{{Endpoint: 1}, {Endpoint: 2}}}
	var refused []refusal.Reason
	effects := slices.Clone(s.Step(5, PeerMessage{From: 2, Frame: &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: report}}}))
	for _, e := range append(effects, s.Step(6, DispatchDone{Request: running[0], Result: Result{Ended: EndedComplete}})...) {
		switch e := e.(type) {
		case Refuse:
			must.Eq(t, waiter, e.Waiter)
			refused = append(refused, e.Refused.Reason)
		case Connect:
			t.Fatalf("request %d was granted a slot", e.Request)
		}
	}
	must.Eq(t, []refusal.Reason{refusal.CrashSuspect}, refused)
}

// Guards against a second crash of the same endpoint that is taken for the first
// one: the endpoint is back and crashes again within a crashWindow.
func TestSecondCrashOfSameEndpointCounts(t *testing.T) {
	for _, reported := range []bool{true, false} {
		s, running := loadedState(1, 0)
		for _, id := range running {
			s.Step(4, DispatchDone{Request: id, Result: Result{Ended: EndedComplete}})
		}
		now := Instant(4)
		for n := range refuseAfterCrashes {
			q := benchRequest(0)
			q.Fingerprint = 666
			var id RequestID
			for _, e := range s.Step(now, RequestArrived{Request: q, Waiter: Waiter(100 + n)}) {
				if c, ok := e.(Connect); ok {
					id = c.Request
				}
			}
			must.Positive(t, id)
			s.Step(now, ConnectDone{Request: id, Endpoint: "e0", OK: true})
			s.Step(now, DispatchDone{Request: id, Result: Result{Ended: EndedBroken}})
			s.Step(now, EndpointReported{Endpoint: "e0", Report: EndpointReport{Unreachable: true}})
			now = now.Add(crashWindow / 3)
			report := EndpointReport{Started: 1}
			if reported {
				report.Started += uint64(n) + 1
			}
			s.Step(now, EndpointReported{Endpoint: "e0", Report: report})
			now = now.Add(crashWindow / 3)
			s.Step(now, Tick{})
		}
		must.True(t, s.refusedAsSuspect(666), must.Sprint(reported))
	}
}
