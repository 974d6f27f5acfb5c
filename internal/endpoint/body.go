package endpoint

import (
	"io"
	"sync"
	"time"
)

// Limits of reading on behind the logical end of an answer so that its
// connection can be kept.
const (
	drainTimeout = time.Second
	drainBytes   = 4 << 10
)

// answerBody is the body of an answer. It gives the connection back at the
// body's end.
type answerBody struct {
	client      *Client
	link        *link
	body        io.ReadCloser
	keep        bool
	undelimited bool

	once sync.Once
	err  error
}

// Read implements io.Reader. Only a whole body ends in io.EOF.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	switch {
	case err == nil:
	case err != io.EOF:
		b.err = because(ErrCut, err)
		b.abandon()
	case b.undelimited:
		b.err = ErrUndelimited
		b.abandon()
	default:
		b.err = io.EOF
		b.end()
	}
	return n, b.err
}

// Close implements io.Closer. Where the body was not read to its end, the
// connection is closed.
func (b *answerBody) Close() error {
	b.abandon()
	return nil
}

// end gives the connection back after a whole answer.
func (b *answerBody) end() {
	b.once.Do(func() {
		if b.keep {
			b.client.put(b.link)
		} else {
			b.link.discard()
		}
	})
}

func (b *answerBody) abandon() {
	b.once.Do(func() {
		b.link.discard()
		_ = b.body.Close()
	})
}

// drain reads on to the end of a body whose content is complete, within
// limits, so that the connection can be kept. It returns at once.
func (b *answerBody) drain() {
	timer := time.AfterFunc(drainTimeout, b.abandon)
	go func() {
		defer timer.Stop()
		defer b.abandon()
		_, _ = io.CopyN(io.Discard, b, drainBytes)
	}()
}
