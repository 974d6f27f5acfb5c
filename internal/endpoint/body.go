package endpoint

import (
	"io"
	"sync"
	"time"
)

// Limits for reading past the logical end of an answer so that its connection
// can be reused.
const (
	drainTimeout = time.Second
	drainBytes   = 4 << 10
)

// answerBody is the body of an answer. It returns the connection to the pool
// when the body was read to its end.
type answerBody struct {
	client         *Client
	pooled         *pooledConn
	body           io.ReadCloser
	reusable       bool
	closeDelimited bool

	once sync.Once
	err  error
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	switch {
	case err == nil:
	case err != io.EOF:
		b.err = wrapCause(ErrIncomplete, err)
		b.abort()
	case b.closeDelimited:
		b.err = ErrCloseDelimited
		b.abort()
	default:
		b.err = io.EOF
		b.complete()
	}
	return n, b.err
}

// Close implements io.Closer. It closes the connection if the body was not read
// to its end.
func (b *answerBody) Close() error {
	b.abort()
	return nil
}

// complete releases the connection after a complete answer: to the pool if it
// is reusable.
func (b *answerBody) complete() {
	b.once.Do(func() {
		if b.reusable {
			b.client.putIdle(b.pooled)
		} else {
			b.pooled.discard()
		}
	})
}

func (b *answerBody) abort() {
	b.once.Do(func() {
		b.pooled.discard()
		_ = b.body.Close()
	})
}

// drain reads the rest of a body whose content is complete, within limits, so
// that the connection can be reused. It reads in the background.
func (b *answerBody) drain() {
	timer := time.AfterFunc(drainTimeout, b.abort)
	go func() {
		defer timer.Stop()
		defer b.abort()
		_, _ = io.CopyN(io.Discard, b, drainBytes)
	}()
}
