package logline

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

func TestAsyncWriterPreservesOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	log := New(w, "info")
	for i := range 100 {
		log.Info("line", "n", i)
	}
	w.Flush()
	must.Eq(t, 100, bytes.Count(out.Bytes(), []byte("\n")))
	must.Less(t, bytes.Index(out.Bytes(), []byte("n=99")), bytes.Index(out.Bytes(), []byte("n=98")))
	must.Eq(t, 0, w.Dropped())
}

// Load pattern: the reader of the log has stopped reading.
func TestAsyncWriterDropsInsteadOfBlocking(t *testing.T) {
	r, blocked := io.Pipe()
	w := NewAsyncWriter(blocked)
	// One batch and a full queue may be buffered.
	for range asyncQueueLines + maxBatchBytes {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Greater(t, 0, w.Dropped())
	must.NoError(t, r.Close())
}
