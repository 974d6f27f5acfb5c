package endpoint

import (
	"io"
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
	// request is the writing of the current or last request; nil before the first.
	request *requestWrite
	// answered is set once bytes were read after the request was begun.
	answered bool
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
	request := c.request
	c.mu.Unlock()

	n, err := c.Conn.Write(p)
	request.wrote(p[:n])
	if err != nil {
		request.fail()
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
// the answer to another request. The end of an answer is regular only if its request was
// written to the end.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	request, solicited := c.noteRead(n, err)
	switch {
	case !solicited:
		return 0, errUnsolicited
	case err == io.EOF && request != nil && !request.await():
		return n, ErrRequestUnwritten
	}
	return n, err
}

// noteRead updates the state after a read. It returns the request whose answer has begun, or
// nil if none has, and whether the bytes may belong to an answer.
func (c *trackedConn) noteRead(n int, err error) (request *requestWrite, solicited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dead = true
	}
	if n > 0 && !c.started {
		c.dead = true
		c.writeClosed = true
		return nil, false
	}
	c.answered = c.answered || n > 0
	if !c.answered {
		return nil, true
	}
	return c.request, true
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.dead = true
	c.writeClosed = true
	started, request := c.started, c.request
	c.mu.Unlock()
	request.fail()
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
	request := c.request
	c.mu.Unlock()
	request.fail()
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

// begin prepares the connection for a request with a body of the given size. guard may be
// nil.
func (c *trackedConn) begin(guard func() bool, bodyBytes int) {
	c.mu.Lock()
	c.guard = guard
	c.request = newRequestWrite(bodyBytes)
	c.answered = false
	c.mu.Unlock()
}

// reset ends the current request.
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

// hasAnswered reports whether a part of the answer to the current request was read.
func (c *trackedConn) hasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
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
