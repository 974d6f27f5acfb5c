package logline

import (
	"io"
	"sync/atomic"
)

// asyncQueueLines bounds the number of queued lines.
const asyncQueueLines = 4096

// AsyncWriter queues each write and passes it on from its own goroutine. A
// write never blocks: if the queue is full, the line is dropped and counted.
// It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), flush: make(chan chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It never returns an error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush waits until every line queued before the call has been written.
func (a *AsyncWriter) Flush() {
	done := make(chan struct{})
	a.flush <- done
	<-done
}

// maxBatchBytes is the size at which a batch of lines takes no more lines.
const maxBatchBytes = 16 << 10

func (a *AsyncWriter) run(w io.Writer) {
	batch := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case line := <-a.lines:
			batch = a.appendQueued(append(batch[:0], line...))
			// A failed write of the log cannot be reported anywhere.
			_, _ = w.Write(batch)
		case done := <-a.flush:
			for len(a.lines) > 0 {
				batch = a.appendQueued(batch[:0])
				_, _ = w.Write(batch)
			}
			close(done)
		}
	}
}

// appendQueued appends queued lines until the queue is empty or the batch is
// full.
func (a *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
