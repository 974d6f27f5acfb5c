package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/cockroachdb/errors"
)

const (
	// firstBodyBytes is the size of the first buffer for a body.
	firstBodyBytes = 8 << 10
	// bodyProgressBytes is how much of a body must arrive to count as progress.
	bodyProgressBytes = 16 << 10
	// smallBodyBytes is the size up to which a body replaces larger ones if there is
	// no memory left.
	smallBodyBytes = 64 << 10
	// stallAfter is the time without progress from which a request may be evicted.
	stallAfter = time.Second
	// memoryPoll is the interval at which a request that waits for memory asks
	// again. It doubles up to maxMemoryPoll, since each time costs a pass over all
	// requests that are being read.
	memoryPoll    = 5 * time.Millisecond
	maxMemoryPoll = 200 * time.Millisecond
)

var (
	errEvicted  = errors.New("caller: request evicted")
	errTooLarge = errors.New("caller: body exceeds the size limit")
)

// bodyOwner is the owner of the memory of a body that is being read.
type bodyOwner struct {
	control *http.ResponseController
	cancel  context.CancelFunc
}

// Evict implements bytebudget.Owner: it ends the reading of the body, and the wait
// for memory.
func (o bodyOwner) Evict() {
	o.cancel()
	// A writer without deadlines, as in a peer session, has its own limits.
	_ = o.control.SetReadDeadline(time.Unix(1, 0))
}

// release returns the memory of the body.
func (req *inboundRequest) release() {
	if req.holder != nil {
		req.holder.Close()
	}
}

// readBody reads the body into a buffer that grows as it arrives. A request waits
// while there is no memory for it: it is not refused, since which requests to shed
// is decided by tier, and that is not possible before a request is read. Requests
// whose bodies make no progress are evicted for others.
func (h *Handler) readBody(req *inboundRequest, w http.ResponseWriter, r *http.Request) ([]byte, refusal.Reason) {
	if r.ContentLength > h.cfg.Limits.BodyBytes {
		return nil, refusal.TooLarge
	}
	if r.ContentLength == 0 {
		return nil, ""
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	control := http.NewResponseController(w)
	address, _ := netip.ParseAddrPort(r.RemoteAddr)
	req.holder = h.budget.Add(address.Addr().Unmap(), bodyOwner{control, cancel}, time.Now())
	req.holder.SetState(bytebudget.Receiving, time.Now())
	reader := bodyReader{handler: h, holder: req.holder, ctx: ctx, control: control, request: r}
	err := reader.read()
	if err == nil && !req.holder.StartServing(time.Now()) {
		err = errEvicted
	}
	switch {
	case err == nil:
		return reader.data, ""
	case req.holder.Evicted():
		w.Header().Set("Connection", "close")
		return nil, refusal.Shed
	case errors.Is(err, context.Canceled):
		return nil, refusal.CallerGone
	case errors.Is(err, errTooLarge):
		w.Header().Set("Connection", "close")
		return nil, refusal.TooLarge
	default:
		return nil, refusal.BadRequest
	}
}

// bodyReader reads the body of one request.
type bodyReader struct {
	handler *Handler
	holder  *bytebudget.Holder
	ctx     context.Context
	control *http.ResponseController
	request *http.Request
	data    []byte
}

func (b *bodyReader) read() error {
	// One byte over the limit is read to notice that the body is too large.
	size := b.handler.cfg.Limits.BodyBytes + 1
	if b.request.ContentLength > 0 {
		size = b.request.ContentLength
	}
	b.moveDeadline()
	marked := 0
	for int64(len(b.data)) < size {
		if err := b.grow(size); err != nil {
			return err
		}
		n, err := b.request.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			if int64(len(b.data)) < b.request.ContentLength {
				return io.ErrUnexpectedEOF
			}
			_ = b.control.SetReadDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.data)-marked >= bodyProgressBytes {
			marked = len(b.data)
			b.holder.Progress(time.Now())
			b.moveDeadline()
		}
	}
	if b.request.ContentLength < 0 {
		return errTooLarge
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return nil
}

func (b *bodyReader) moveDeadline() {
	// A writer without deadlines, as in a peer session, has its own limits.
	_ = b.control.SetReadDeadline(time.Now().Add(b.handler.cfg.Limits.IdleTimeout()))
}

// grow doubles a full buffer, up to size. It waits for the memory.
func (b *bodyReader) grow(size int64) error {
	old := int64(cap(b.data))
	if int64(len(b.data)) < old {
		return nil
	}
	next := max(2*old, firstBodyBytes)
	if next+firstBodyBytes > size {
		next = size
	}
	if err := b.take(next); err != nil {
		return err
	}
	data := make([]byte, len(b.data), next)
	copy(data, b.data)
	b.data = data
	b.holder.Release(old)
	return nil
}

// take takes n bytes. It waits until others have returned theirs, or have been
// evicted.
func (b *bodyReader) take(n int64) error {
	waited, poll := false, memoryPoll
	for {
		result, victims := b.holder.Take(n, time.Now())
		if result == bytebudget.Taken {
			if waited {
				b.moveDeadline()
			}
			return nil
		}
		for _, v := range victims {
			v.Owner().Evict()
		}
		if b.holder.Evicted() {
			return errEvicted
		}
		waited = true
		select {
		case <-b.ctx.Done():
			return b.ctx.Err()
		case <-time.After(poll):
			poll = min(2*poll, maxMemoryPoll)
		}
	}
}
