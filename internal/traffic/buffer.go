package traffic

import (
	"io"
	"net/http"
	"sync"
)

// answerBuffer holds the answer of one run while callers read it. Up to limit
// bytes it keeps the complete answer, so that a request sent again can read it
// from the beginning. Beyond the limit it discards what every reader has read
// and accepts no new readers.
type answerBuffer struct {
	limit int

	mu           sync.Mutex
	changed      *sync.Cond
	headReceived bool
	status       int
	header       http.Header
	// data holds the bytes of the answer from dataOffset on.
	data       []byte
	dataOffset int64
	ended      bool
	err        error
	readers    map[*answerReader]bool
}

// answerReader is the read position of one caller in an answerBuffer.
type answerReader struct {
	buffer *answerBuffer
	offset int64
}

func newAnswerBuffer(limit int) *answerBuffer {
	b := &answerBuffer{limit: limit, readers: map[*answerReader]bool{}}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// setHead stores the status and the header of the answer.
func (b *answerBuffer) setHead(status int, header http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.headReceived, b.status, b.header = true, status, header
	b.changed.Broadcast()
}

// write appends p. It blocks while a slow reader still has more than limit
// bytes to read; without readers it never blocks.
func (b *answerBuffer) write(p []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	b.changed.Broadcast()
	for len(b.data) > b.limit && !b.ended {
		if b.trim() {
			continue
		}
		b.changed.Wait()
	}
}

// trim discards the bytes that every reader has read and reports whether there
// were any.
func (b *answerBuffer) trim() bool {
	lowest := b.dataOffset + int64(len(b.data))
	for r := range b.readers {
		lowest = min(lowest, r.offset)
	}
	n := int(lowest - b.dataOffset)
	if n == 0 {
		return false
	}
	b.data = append(b.data[:0], b.data[n:]...)
	b.dataOffset = lowest
	return true
}

// finish ends the answer. A nil error means that it is complete.
func (b *answerBuffer) finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended, b.err = true, err
	b.changed.Broadcast()
}

// complete reports whether the answer ended without an error and all of it is
// still buffered.
func (b *answerBuffer) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && b.err == nil && b.dataOffset == 0
}

// size returns the number of buffered bytes.
func (b *answerBuffer) size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.data))
}

// newReader returns a reader at the beginning of the answer, or nil if the
// beginning has been discarded.
func (b *answerBuffer) newReader() *answerReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dataOffset > 0 {
		return nil
	}
	r := &answerReader{buffer: b}
	b.readers[r] = true
	return r
}

// head waits for the status and the header of the answer. It returns an error
// if the run ended without them.
func (r *answerReader) head() (int, http.Header, error) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.headReceived && !b.ended && b.readers[r] {
		b.changed.Wait()
	}
	if !b.headReceived {
		if b.err != nil {
			return 0, nil, b.err
		}
		return 0, nil, io.ErrClosedPipe
	}
	return b.status, b.header, nil
}

// Read implements io.Reader. It returns io.EOF only after a complete answer.
func (r *answerReader) Read(p []byte) (int, error) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if available := b.dataOffset + int64(len(b.data)) - r.offset; available > 0 {
			n := copy(p, b.data[r.offset-b.dataOffset:])
			r.offset += int64(n)
			if len(b.data) > b.limit {
				b.changed.Broadcast()
			}
			return n, nil
		}
		if b.ended {
			if b.err != nil {
				return 0, b.err
			}
			return 0, io.EOF
		}
		if !b.readers[r] {
			return 0, io.ErrClosedPipe
		}
		b.changed.Wait()
	}
}

// Close detaches the reader from the buffer and unblocks a pending Read.
func (r *answerReader) Close() error {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, r)
	b.changed.Broadcast()
	return nil
}
