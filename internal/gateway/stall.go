package gateway

import (
	"net/http"
	"sync"
	"time"
)

// stallChecks is the number of checks in one limit on the time without progress.
const stallChecks = 4

// stallWatch ends the read of a body that makes no progress. It counts checks instead of
// comparing times: a process that was paused, or got no processor, makes one check for all
// that time, and then finds the bytes that have arrived meanwhile.
type stallWatch struct {
	interval time.Duration
	// end ends the read. It is called once at most, and not after stop has returned.
	end func()

	mu       sync.Mutex
	timer    *time.Timer
	progress bool
	idle     int
	stopped  bool
}

// watchBody ends the read of the body once it has made no progress for limit.
func (x *exchange) watchBody(control *http.ResponseController, limit time.Duration) *stallWatch {
	w := &stallWatch{interval: limit / stallChecks, end: func() {
		// An error means that the connection is closed or does not support deadlines.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}}
	w.mu.Lock()
	w.timer = time.AfterFunc(w.interval, w.check)
	w.mu.Unlock()
	return w
}

// progressed records that the body has made progress.
func (w *stallWatch) progressed() {
	w.mu.Lock()
	w.progress = true
	w.mu.Unlock()
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.idle++
	if w.progress {
		w.progress, w.idle = false, 0
	}
	if w.idle < stallChecks {
		w.timer.Reset(w.interval)
		return
	}
	w.stopped = true
	w.end()
}

// endRead ends the read at once.
func (w *stallWatch) endRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	w.timer.Stop()
	w.end()
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
