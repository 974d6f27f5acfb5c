package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a body that counts as stalled because this process was paused: one check
// stands for all that time.
func TestPauseOfProcessIsNoStall(t *testing.T) {
	ended := 0
	w := &stallWatch{interval: time.Hour, end: func() { ended++ }}
	w.timer = time.AfterFunc(time.Hour, func() {})
	for range 20 {
		for range stallChecks - 1 {
			w.check()
		}
		w.progressed()
		w.check()
	}
	must.Eq(t, 0, ended)
	for range stallChecks {
		must.Eq(t, 0, ended)
		w.check()
	}
	must.Eq(t, 1, ended)
	w.check()
	must.Eq(t, 1, ended)
}

// Guards against a watch that ends the read of the next request on the connection.
func TestStoppedWatchEndsNothing(t *testing.T) {
	w := &stallWatch{interval: time.Hour, end: func() { t.Error("the read was ended") }}
	w.timer = time.AfterFunc(time.Hour, func() {})
	w.stop()
	for range 2 * stallChecks {
		w.check()
	}
}
