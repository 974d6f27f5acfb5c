package reducer

import (
	"testing"

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
	s.addCrash(501)
	s.addCrash(502)
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
