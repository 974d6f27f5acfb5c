package peer

import "sync"

// queue holds the frames to be sent on one session, bounded in number and
// bytes. push never blocks.
type queue struct {
	maxFrames, maxBytes int

	mu       sync.Mutex
	ready    sync.Cond
	frames   []encodedFrame
	bytes    int
	finished bool
	closed   bool
}

func newQueue(maxFrames, maxBytes int) *queue {
	q := &queue{maxFrames: maxFrames, maxBytes: maxBytes}
	q.ready.L = &q.mu
	return q
}

// push appends a frame. If it cannot, it returns the reason and false.
func (q *queue) push(f encodedFrame) (DropReason, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closed || q.finished:
		return DroppedNoSession, false
	case len(q.frames) >= q.maxFrames:
		return DroppedQueueFrames, false
	case q.bytes+len(f.bytes) > q.maxBytes:
		return DroppedQueueBytes, false
	}
	q.frames = append(q.frames, f)
	q.bytes += len(f.bytes)
	q.ready.Signal()
	return "", true
}

// pop waits for frames and appends one to batch, then further ones while their
// total size stays within bytes. It reports false once no more frames will
// follow.
func (q *queue) pop(batch []encodedFrame, bytes int) ([]encodedFrame, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.frames) == 0 && !q.finished && !q.closed {
		q.ready.Wait()
	}
	if len(q.frames) == 0 || q.closed {
		return batch, false
	}
	taken, size := 0, 0
	for _, f := range q.frames {
		if taken > 0 && size+len(f.bytes) > bytes {
			break
		}
		taken++
		size += len(f.bytes)
	}
	batch = append(batch, q.frames[:taken]...)
	remaining := copy(q.frames, q.frames[taken:])
	clear(q.frames[remaining:])
	q.frames = q.frames[:remaining]
	q.bytes -= size
	return batch, true
}

// finish makes push reject further frames; pop still returns the queued ones.
func (q *queue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished = true
	q.ready.Signal()
}

// close drops all queued frames and returns their number.
func (q *queue) close() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.frames)
	q.closed = true
	q.frames, q.bytes = nil, 0
	q.ready.Signal()
	return n
}

func (q *queue) size() (frames, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames), q.bytes
}
