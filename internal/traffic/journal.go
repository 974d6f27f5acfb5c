package traffic

import (
	"io"
	"net/http"
	"sync"
)

// journal holds the answer of one run while callers read it. It keeps the
// whole answer up to a limit, so that re-sends can join; beyond the limit it
// drops what every reader has read and takes no new readers.
type journal struct {
	limit int

	mu      sync.Mutex
	changed *sync.Cond
	began   bool
	status  int
	header  http.Header
	// data holds the answer's bytes from offset dropped on.
	data    []byte
	dropped int64
	ended   bool
	err     error
	readers map[*reader]bool
}

// reader is one caller's place in a journal.
type reader struct {
	journal *journal
	at      int64
}

func newJournal(limit int) *journal {
	j := &journal{limit: limit, readers: map[*reader]bool{}}
	j.changed = sync.NewCond(&j.mu)
	return j
}

// begin records the head of the answer.
func (j *journal) begin(status int, header http.Header) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.began, j.status, j.header = true, status, header
	j.changed.Broadcast()
}

// write appends bytes. It waits while a slow reader holds more than the limit
// back; with no reader it never waits.
func (j *journal) write(p []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.data = append(j.data, p...)
	j.changed.Broadcast()
	for len(j.data) > j.limit && !j.ended {
		if j.trim() {
			continue
		}
		j.changed.Wait()
	}
}

// trim drops what every reader has read and reports whether anything was.
func (j *journal) trim() bool {
	lowest := j.dropped + int64(len(j.data))
	for r := range j.readers {
		lowest = min(lowest, r.at)
	}
	n := int(lowest - j.dropped)
	if n == 0 {
		return false
	}
	j.data = append(j.data[:0], j.data[n:]...)
	j.dropped = lowest
	return true
}

// end finishes the answer; a nil error says that it is whole.
func (j *journal) end(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended, j.err = true, err
	j.changed.Broadcast()
}

// kept reports whether the whole answer is still there.
func (j *journal) kept() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && j.err == nil && j.dropped == 0
}

// size is how many bytes the journal holds.
func (j *journal) size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return int64(len(j.data))
}

// attach returns a reader from the beginning, or nil if that is dropped.
func (j *journal) attach() *reader {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.dropped > 0 {
		return nil
	}
	r := &reader{journal: j}
	j.readers[r] = true
	return r
}

// head waits for the head of the answer; it returns an error if the run ended
// without one.
func (r *reader) head() (int, http.Header, error) {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	for !j.began && !j.ended && j.readers[r] {
		j.changed.Wait()
	}
	if !j.began {
		if j.err != nil {
			return 0, nil, j.err
		}
		return 0, nil, io.ErrClosedPipe
	}
	return j.status, j.header, nil
}

// Read returns io.EOF only after a whole answer.
func (r *reader) Read(p []byte) (int, error) {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	for {
		if have := j.dropped + int64(len(j.data)) - r.at; have > 0 {
			n := copy(p, j.data[r.at-j.dropped:])
			r.at += int64(n)
			if len(j.data) > j.limit {
				j.changed.Broadcast()
			}
			return n, nil
		}
		if j.ended {
			if j.err != nil {
				return 0, j.err
			}
			return 0, io.EOF
		}
		if !j.readers[r] {
			return 0, io.ErrClosedPipe
		}
		j.changed.Wait()
	}
}

// Close takes the reader off the journal and wakes its Read.
func (r *reader) Close() error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.readers, r)
	j.changed.Broadcast()
	return nil
}
