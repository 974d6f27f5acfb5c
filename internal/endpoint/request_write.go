package endpoint

import (
	"sync"
	"time"
)

// writeStallTimeout limits the time without progress of a request that is still being
// written when the connection has already ended for reading.
const writeStallTimeout = time.Second

// requestWrite tracks the writing of one request. The kernel reports a reset once: if the
// write of the request gets that error, the next read finds a regular end, which looks like
// that of an answer without a length. wrote and fail accept nil, for a connection without a
// request.
type requestWrite struct {
	mu     sync.Mutex
	extent requestExtent
	// bytes is the number of bytes written.
	bytes int64
	// ended is closed once the request is written or writing it has failed.
	ended    chan struct{}
	hasEnded bool
}

func newRequestWrite(bodyBytes int) *requestWrite {
	return &requestWrite{extent: requestExtent{bodyLeft: int64(bodyBytes)}, ended: make(chan struct{})}
}

// wrote records bytes that the kernel has accepted.
func (w *requestWrite) wrote(p []byte) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += int64(len(p))
	w.extent.advance(p)
	if w.extent.whole() {
		w.endLocked()
	}
}

// fail records that no more of the request will be written.
func (w *requestWrite) fail() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked()
}

func (w *requestWrite) endLocked() {
	if !w.hasEnded {
		w.hasEnded = true
		close(w.ended)
	}
}

// await waits for the end of the writing and reports whether the whole request was written.
// It stops waiting after writeStallTimeout without progress.
func (w *requestWrite) await() bool {
	before, whole := w.state()
	if whole {
		return true
	}
	timer := time.NewTimer(writeStallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-w.ended:
			_, whole := w.state()
			return whole
		case <-timer.C:
			bytes, whole := w.state()
			if whole || bytes == before {
				return whole
			}
			before = bytes
			timer.Reset(writeStallTimeout)
		}
	}
}

// state returns the number of bytes written, and whether they are the whole request.
func (w *requestWrite) state() (bytes int64, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes, w.extent.whole()
}

// headEnd ends the head of a message.
const headEnd = "\r\n\r\n"

// requestExtent finds the end of a request in the sequence of its bytes.
type requestExtent struct {
	// matched is the length of the part of headEnd that the bytes of the head end with.
	matched int
	// bodyLeft is the number of bytes of the body to come.
	bodyLeft int64
}

// advance consumes the next bytes of the request.
func (e *requestExtent) advance(p []byte) {
	for i, b := range p {
		if e.matched == len(headEnd) {
			e.bodyLeft -= int64(len(p) - i)
			return
		}
		switch b {
		case headEnd[e.matched]:
			e.matched++
		case headEnd[0]:
			e.matched = 1
		default:
			e.matched = 0
		}
	}
}

// whole reports whether the bytes so far are the whole request.
func (e *requestExtent) whole() bool { return e.matched == len(headEnd) && e.bodyLeft <= 0 }
