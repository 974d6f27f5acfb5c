package endpoint

import (
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var (
	errWriteClosed = errors.New("connection is closed for writing")
	errUnsolicited = errors.New("endpoint sent data before a request")
)

// ErrWithheld means that the Guard of a Call rejected the request.
var ErrWithheld = errors.New("request was withheld by its guard")

// trackedConn is the TCP connection under a transport. It tracks whether a byte
// of the current request may have been written, and blocks all writes once
// abort has reported that.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// started is set before the first byte of a request is written, and cleared
	// if that write sent nothing.
	started bool
	// guard, if set, is called once, immediately before the first byte is
	// written.
	guard func() bool
	// withheld is set when guard has rejected the request.
	withheld bool
	// writeClosed blocks all further writes.
	writeClosed bool
	// dead is set when the connection is known to be unusable.
	dead bool
}

// Write marks the request as started before it writes to the socket, so that a
// concurrent abort never reports "not sent" for bytes that are sent afterwards.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writeClosed {
		c.mu.Unlock()
		return 0, errWriteClosed
	}
	first := !c.started
	if first && c.guard != nil && !c.guard() {
		c.withheld = true
		c.writeClosed = true
		c.mu.Unlock()
		return 0, ErrWithheld
	}
	c.started = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.dead = true
		if first && n == 0 {
			c.started = false
		}
		c.mu.Unlock()
	}
	return n, err
}

// Read rejects data that arrives while no request is in progress: it belongs to
// the answer to another request.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dead = true
	}
	if n > 0 && !c.started {
		c.dead = true
		c.writeClosed = true
		return 0, errUnsolicited
	}
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.dead = true
	c.writeClosed = true
	started := c.started
	c.mu.Unlock()
	if started {
		c.discardUnsent()
	}
	return c.Conn.Close()
}

// abort closes the connection and reports whether any byte of the current
// request may have been sent. After abort returns false, no byte is sent.
func (c *trackedConn) abort() (sent bool) {
	c.mu.Lock()
	c.writeClosed = true
	c.dead = true
	sent = c.started
	c.mu.Unlock()
	if sent {
		c.discardUnsent()
	}
	_ = c.Conn.Close()
	return sent
}

// discardUnsent makes the close a reset, so that the kernel does not go on to deliver a
// request that was given up: while the way to the endpoint is cut, it would arrive seconds
// later.
func (c *trackedConn) discardUnsent() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// setGuard sets the guard of the next request.
func (c *trackedConn) setGuard(guard func() bool) {
	c.mu.Lock()
	c.guard = guard
	c.mu.Unlock()
}

// reset prepares the connection for the next request.
func (c *trackedConn) reset() {
	c.mu.Lock()
	c.started = false
	c.guard = nil
	c.mu.Unlock()
}

func (c *trackedConn) wasWithheld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withheld
}

func (c *trackedConn) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// usable checks in the kernel whether the peer has closed the connection or
// sent unsolicited data. Without this check a process that was paused would use
// connections that were closed in the meantime.
func (c *trackedConn) usable() bool {
	if c.isDead() {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}
