package clientconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/cockroachdb/errors"
)

const (
	// headLineBytes is what a line of a head costs in addition to its bytes, as
	// received and as forwarded: measured 100 bytes for each copy of a field of
	// 4 bytes, and more while the map of the fields grows.
	headLineBytes = 256
	// freeHeadBytes is the cost of a head that ConnectionBytes includes.
	freeHeadBytes = 8 << 10
	// refusalTimeout bounds writing a refusal to a client whose head is not read.
	refusalTimeout = time.Second
	// DrainTimeout and maxDrainedBytes bound what is read from a refused client,
	// whose system would otherwise discard the refusal that it has received.
	DrainTimeout    = 500 * time.Millisecond
	maxDrainedBytes = 256 << 10
)

// errRefused ends the reading of a head whose client got a refusal. net/http
// writes no answer of its own after an error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("clientconn: request head refused")}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Conn is a connection of a client. It takes ConnectionBytes from the budget
// before its first read.
type Conn struct {
	net.Conn
	limiter   *Limiter
	headBytes func() int
	holder    *bytebudget.Holder
	closed    atomic.Bool
	// readsHead is set while a request's head is awaited or read.
	readsHead atomic.Bool
	// headRead is the number of bytes of the head read so far.
	headRead atomic.Int64
	// paid is set once ConnectionBytes are taken. headCost is what the head
	// costs, headTaken what was taken for it. They belong to the goroutine that
	// reads heads.
	paid                bool
	headCost, headTaken int64

	write writeLimit
	// mu guards the deadlines of the inner connection after an eviction.
	mu      sync.Mutex
	evicted bool
}

// Holder returns what the connection holds of the budget.
func (c *Conn) Holder() *bytebudget.Holder { return c.holder }

// Refused counts and logs that a request of the connection was refused because of
// a limit.
func (c *Conn) Refused(reason string) { c.limiter.refused(c, reason) }

// Evict implements bytebudget.Owner. Reads end at once, so that the request is
// refused if a part of it was read; a blocked write ends too.
func (c *Conn) Evict() {
	state := c.holder.State()
	c.limiter.cfg.Counters.Add(counterEvicted, state.String(), 1)
	c.limiter.log("client_evicted", c, state.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	// The deadlines cannot be set only if the connection is closed.
	_ = c.Conn.SetReadDeadline(past)
	if state == bytebudget.Sending {
		_ = c.Conn.SetWriteDeadline(past)
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// Close implements net.Conn. It returns all bytes that the connection holds.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.holder.Close()
		c.limiter.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http finish an answer before it closes the connection: without it
// unread bytes of the client would reset the connection and discard the answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. What an evicted connection still sends is
// read for DrainTimeout at most.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted && (t.IsZero() || time.Until(t) > DrainTimeout) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn. While a head is read, it counts the head's bytes and
// refuses a head that is too large.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.readsHead.Load() {
		return c.Conn.Read(p)
	}
	if !c.paid {
		if c.paid = Take(c.holder, ConnectionBytes); !c.paid {
			c.limiter.refused(c, "connection_memory")
			return 0, errRefused
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.countHead(p[:n], err)
	}
	if err != nil && c.holder.Evicted() && c.headRead.Load() > 0 {
		return 0, c.refuseHead(http.StatusServiceUnavailable, "head_evicted")
	}
	return n, err
}

// countHead counts bytes of a head.
func (c *Conn) countHead(p []byte, err error) (int, error) {
	if c.headRead.Load() == 0 {
		c.holder.SetState(bytebudget.Receiving, time.Now())
	}
	size := c.headRead.Add(int64(len(p)))
	if size > int64(c.headBytes()) {
		return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, "head_too_large")
	}
	head := p
	if end := bytes.Index(p, headEnd); end >= 0 {
		head = p[:end]
	}
	c.headCost += int64(2*len(head) + headLineBytes*bytes.Count(head, lineEnd))
	if missing := c.headCost - freeHeadBytes - c.headTaken; missing > 0 {
		if !Take(c.holder, missing) {
			return 0, c.refuseHead(http.StatusServiceUnavailable, "head_memory")
		}
		c.headTaken += missing
	}
	return len(p), err
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\n")
)

// refuseHead writes a refusal of a request whose head is not complete. Such a
// request has not run.
func (c *Conn) refuseHead(status int, reason string) error {
	c.limiter.refused(c, reason)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 0.500\r\n"
	}
	text := reason + "\n"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The write fails only if the client has disconnected or reads nothing.
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nContent-Type: text/plain; charset=utf-8\r\n"+retry+"Content-Length: "+strconv.Itoa(len(text))+
		"\r\nConnection: close\r\n\r\n"+text)
	c.drain()
	return errRefused
}

// drain closes the connection for writing and reads what the client still sends.
func (c *Conn) drain() {
	// An error means that the client has closed the connection.
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(DrainTimeout))
	buffer := make([]byte, 4<<10)
	for read := 0; read < maxDrainedBytes; {
		n, err := c.Conn.Read(buffer)
		if read += n; err != nil {
			return
		}
	}
}

// headEnded is called when a request's head was read.
func (c *Conn) headEnded() {
	c.readsHead.Store(false)
	c.holder.StartServing(time.Now())
}

// requestEnded is called when a request has ended and its connection is kept.
func (c *Conn) requestEnded() {
	c.holder.SetState(bytebudget.Idle, time.Now())
	if c.headTaken > 0 {
		c.holder.Release(c.headTaken)
	}
	c.headCost, c.headTaken = 0, 0
	c.headRead.Store(0)
	c.readsHead.Store(true)
}

// writeLimit bounds the writes to a client.
type writeLimit struct {
	// deadline is that of the server, in nanoseconds since 1970; zero means none.
	deadline atomic.Int64
	// inner is the deadline of the inner connection. It belongs to the goroutine
	// that writes.
	inner time.Time
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.write.deadline.Store(0)
		return nil
	}
	c.write.deadline.Store(t.UnixNano())
	return nil
}

// progressCheckInterval is the interval of checks whether a blocked write makes
// progress.
const progressCheckInterval = 2 * time.Second

// Write implements net.Conn. It fails if the client acknowledges nothing for the
// limiter's WriteStall.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	before := c.holder.State()
	c.holder.SetState(bytebudget.Sending, now)
	defer func() { c.holder.SetState(before, time.Now()) }()
	progressed, written, queued := now, 0, -1
	for {
		if err := c.moveWriteDeadline(now); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.holder.Evicted() {
			return written, err
		}
		now = time.Now()
		left := unacknowledged(c.Conn)
		if n > 0 || left >= 0 && queued >= 0 && left < queued {
			progressed = now
			c.holder.Progress(now)
		}
		queued = left
		if now.Sub(progressed) >= c.limiter.cfg.WriteStall {
			c.limiter.refused(c, "write_stalled")
			return written, err
		}
	}
}

// moveWriteDeadline sets the deadline of the inner connection if the old one is
// near, or returns an error if the server's deadline has passed.
func (c *Conn) moveWriteDeadline(now time.Time) error {
	deadline := now.Add(progressCheckInterval)
	if limit := c.write.deadline.Load(); limit != 0 {
		if now.UnixNano() >= limit {
			return os.ErrDeadlineExceeded
		}
		if end := time.Unix(0, limit); end.Before(deadline) {
			deadline = end
		}
	}
	if left := c.write.inner.Sub(now); left >= progressCheckInterval/2 && !deadline.Before(c.write.inner) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.write.inner = deadline
	return c.Conn.SetWriteDeadline(deadline)
}
