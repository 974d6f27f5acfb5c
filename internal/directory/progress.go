package directory

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// progress tells whether an answer is being received.
type progress struct {
	// at is when something last arrived, or nil. It keeps the reading of the monotonic
	// clock: the time of day may step.
	at atomic.Pointer[time.Time]
	// extend puts off the end of the call.
	extend func()
}

type progressKey struct{}

// ReportProgress returns a reader of the body of an answer to a call of a Source. It
// tells the caller that the answer is being received, so that a slow one is not given
// up. ctx is that of the call.
func ReportProgress(ctx context.Context, body io.Reader) io.Reader {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return body
	}
	return progressReader{body, p}
}

type progressReader struct {
	io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		now := time.Now()
		r.progress.at.Store(&now)
		r.progress.extend()
	}
	return n, err
}

// within reports whether something arrived within a time.
func (p *progress) within(d time.Duration) bool {
	at := p.at.Load()
	return at != nil && time.Since(*at) < d
}

// stallTimeout returns a context that ends after timeout, or once an answer that is
// being received has made no progress for stall, at the latest after limit.
func stallTimeout(ctx context.Context, timeout, stall, limit time.Duration) (context.Context, *progress, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	ctx, stop := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { stop(context.DeadlineExceeded) })
	p := &progress{extend: func() { timer.Reset(stall) }}
	return context.WithValue(ctx, progressKey{}, p), p, func() {
		timer.Stop()
		stop(nil)
		cancel()
	}
}
