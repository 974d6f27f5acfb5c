package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/clientconn"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

const (
	// defaultBodyStall is the default of Config.BodyStall.
	defaultBodyStall = 10 * time.Second
	// bodyProgressBytes is how much of a body must arrive to count as progress. It
	// is more than the size of most bodies.
	bodyProgressBytes = 16 << 10
	// firstBodyBytes is the size of the first buffer for a body. Shorter bodies get
	// a buffer of their declared length.
	firstBodyBytes = 16 << 10
	// maxRefusedBodyBytes is the largest declared body of a refused request that is
	// read so that its connection can be reused.
	maxRefusedBodyBytes = 16 << 10
	// defaultBodyBytes is the body limit if the configuration sets none.
	defaultBodyBytes = 4 << 20
)

var (
	errBodyMemory   = errors.New("gateway: no memory left for the body")
	errBodyTooLarge = errors.New("gateway: body exceeds the size limit")
)

// hold sets the holder of the request's memory: that of its connection, or a new
// one if the connection is not limited.
func (x *exchange) hold() {
	if c := clientconn.FromContext(x.r.Context()); c != nil {
		x.holder = c.Holder()
		return
	}
	address, _ := netip.ParseAddrPort(x.r.RemoteAddr)
	x.holder = x.h.cfg.Budget.Add(address.Addr().Unmap(), bodyOwner{http.NewResponseController(x.w)}, time.Now())
	x.ownHolder = true
}

// bodyOwner is the owner of a holder of a connection without limits.
type bodyOwner struct{ control *http.ResponseController }

// Evict implements bytebudget.Owner: it ends the reading of the body.
func (o bodyOwner) Evict() {
	// An error means that the connection is closed or does not support deadlines.
	_ = o.control.SetReadDeadline(time.Unix(1, 0))
}

// take takes n bytes until the request ends, or returns false.
func (x *exchange) take(n int64) bool {
	if x.forwarding != nil && x.h.forwardedBytes.Load()+n > int64(forwardedBodiesFraction*float64(x.h.cfg.Budget.Bytes())) {
		return false
	}
	if !clientconn.Take(x.holder, n) {
		return false
	}
	x.heldBytes += n
	if x.forwarding != nil {
		x.h.forwardedBytes.Add(n)
	}
	return true
}

func (x *exchange) giveBack(n int64) {
	x.heldBytes -= n
	x.holder.Release(n)
	if x.forwarding != nil {
		x.h.forwardedBytes.Add(-n)
	}
}

// releaseMemory returns what the request holds.
func (x *exchange) releaseMemory() {
	if x.heldBytes > 0 {
		x.giveBack(x.heldBytes)
	}
	if x.ownHolder {
		x.holder.Close()
	}
}

// readBody reads the complete body, or returns the status and reason of a
// refusal.
func (x *exchange) readBody(limits routing.Limits) (int, string) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, reasonBodyTooLarge
	}
	if x.r.ContentLength != 0 {
		if status, reason := x.receiveBody(limit); status != 0 {
			return status, reason
		}
	}
	x.bodyComplete = true
	if !x.holder.StartServing(time.Now()) {
		return http.StatusServiceUnavailable, reasonEvicted
	}
	return 0, ""
}

func (x *exchange) receiveBody(limit int64) (int, string) {
	x.holder.SetState(bytebudget.Receiving, time.Now())
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return http.StatusServiceUnavailable, reasonBadBody
	}
	watch := x.watchBody(control, x.h.cfg.BodyStall)
	deadline := time.AfterFunc(time.Until(x.deadline), watch.endRead)
	ignoreEnd := context.AfterFunc(x.h.ended, watch.endRead)
	err := x.readAll(watch.progressed, limit)
	deadline.Stop()
	ignoreEnd()
	watch.stop()
	switch {
	case err == nil:
	case x.holder.Evicted():
		return http.StatusServiceUnavailable, reasonEvicted
	case errors.Is(err, errBodyMemory):
		x.limitReached("body_memory")
		return http.StatusServiceUnavailable, reasonBodiesLimit
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, reasonBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded) && x.h.ended.Err() != nil:
		return http.StatusServiceUnavailable, string(scheduler.InstanceStopping)
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(x.deadline):
		x.limitReached("body_late")
		return http.StatusRequestTimeout, reasonBodyLate
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.limitReached("body_stalled")
		return http.StatusBadRequest, reasonBadBody
	default:
		return http.StatusBadRequest, reasonBadBody
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return http.StatusServiceUnavailable, reasonBadBody
	}
	return 0, ""
}

// limitReached counts and logs that the client has reached a limit.
func (x *exchange) limitReached(reason string) {
	if c := clientconn.FromContext(x.r.Context()); c != nil {
		c.Refused(reason)
	}
}

// readAll reads the body into a buffer that grows as the body arrives, whatever
// length the client has declared. Its memory is taken before it is allocated. progressed is
// called each time that enough has arrived to count as progress.
func (x *exchange) readAll(progressed func(), limit int64) error {
	// One byte over the limit is read to notice that a body without a declared
	// length is too large.
	size := limit + 1
	if x.r.ContentLength > 0 {
		size = x.r.ContentLength
	}
	marked := 0
	for int64(len(x.body)) < size {
		if len(x.body) == cap(x.body) && !x.growBody(size) {
			return errBodyMemory
		}
		n, err := x.r.Body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if err == io.EOF {
			if x.r.ContentLength > 0 && int64(len(x.body)) < size {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		if len(x.body)-marked >= bodyProgressBytes {
			marked = len(x.body)
			x.holder.Progress(time.Now())
			progressed()
			if x.holder.Evicted() {
				return net.ErrClosed
			}
		}
	}
	if x.r.ContentLength < 0 {
		return errBodyTooLarge
	}
	return nil
}

// growBody doubles the buffer of the body, up to size. It returns false if the
// memory for it is not available.
func (x *exchange) growBody(size int64) bool {
	old := int64(cap(x.body))
	next := max(2*old, firstBodyBytes)
	if next+firstBodyBytes > size {
		// The rest is not worth another copy.
		next = size
	}
	if !x.take(next) {
		return false
	}
	body := make([]byte, len(x.body), next)
	copy(body, x.body)
	x.body = body
	if old > 0 {
		x.giveBack(old)
	}
	return true
}

// leaveBody prepares the connection for a refusal of a request whose body was not
// read. What is left of a short body is read for a short time, so that the
// connection can be reused; otherwise it is closed.
func (x *exchange) leaveBody() {
	x.body = nil
	if x.heldBytes > 0 {
		x.giveBack(x.heldBytes)
	}
	if x.bodyComplete || x.r.ContentLength == 0 {
		return
	}
	// An error means that the connection is closed or does not support deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(clientconn.DrainTimeout))
	slow := x.reason == reasonBodyLate || x.reason == scheduler.InstanceStopping
	if x.r.ContentLength < 0 || x.r.ContentLength > maxRefusedBodyBytes || x.holder.Evicted() || slow {
		x.w.Header().Set("Connection", "close")
	}
}
