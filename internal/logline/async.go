package logline

import (
	"io"
	"sync/atomic"
)

// asyncLines bounds the lines that wait to be written.
const asyncLines = 4096

// AsyncWriter writes each slice it is given on a goroutine of its own and
// never blocks: a slice that finds no room is dropped and counted. It may be
// used concurrently.
type AsyncWriter struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer onto w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), flush: make(chan chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It always reports success.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of slices dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush waits until everything that was written before it has been passed on.
func (a *AsyncWriter) Flush() {
	done := make(chan struct{})
	a.flush <- done
	<-done
}

// batchBytes bounds what is gathered for one write.
const batchBytes = 16 << 10

func (a *AsyncWriter) run(w io.Writer) {
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-a.lines:
			batch = a.gather(append(batch[:0], line...))
			// There is nowhere to report a failed write of the log.
			_, _ = w.Write(batch)
		case done := <-a.flush:
			for len(a.lines) > 0 {
				batch = a.gather(batch[:0])
				_, _ = w.Write(batch)
			}
			close(done)
		}
	}
}

// gather appends the lines that wait, up to a batch.
func (a *AsyncWriter) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
