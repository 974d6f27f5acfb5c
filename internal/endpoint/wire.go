package endpoint

import (
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var (
	errSealed      = errors.New("connection is sealed")
	errUnsolicited = errors.New("endpoint sent bytes before it was asked")
)

// ErrWithheld means that the Guard of a Call forbade the request.
var ErrWithheld = errors.New("request was withheld by its guard")

// wire is the TCP connection under a transport. It knows whether a byte of
// the current request may have left, and lets no byte leave once that
// question has been answered.
type wire struct {
	net.Conn

	mu sync.Mutex
	// started is set before the first byte of a request is given to the
	// kernel, and cleared when that write gave it none.
	started bool
	// guard, where set, is asked once, immediately before the first byte.
	guard func() bool
	// withheld is set once the guard has forbidden the request.
	withheld bool
	// sealed forbids every later write.
	sealed bool
	// dead is set once the connection is known to be unusable.
	dead bool
}

// Write marks the request as started before it gives bytes to the kernel, so
// that a concurrent seal never reports "not sent" for bytes that then leave.
func (w *wire) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.sealed {
		w.mu.Unlock()
		return 0, errSealed
	}
	first := !w.started
	if first && w.guard != nil && !w.guard() {
		w.withheld = true
		w.sealed = true
		w.mu.Unlock()
		return 0, ErrWithheld
	}
	w.started = true
	w.mu.Unlock()

	n, err := w.Conn.Write(p)
	if err != nil {
		w.mu.Lock()
		w.dead = true
		if first && n == 0 {
			w.started = false
		}
		w.mu.Unlock()
	}
	return n, err
}

// Read refuses bytes that come while no request is out: they belong to
// another request's answer.
func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.dead = true
	}
	if n > 0 && !w.started {
		w.dead = true
		w.sealed = true
		return 0, errUnsolicited
	}
	return n, err
}

// Close closes the connection.
func (w *wire) Close() error {
	w.mu.Lock()
	w.dead = true
	w.sealed = true
	w.mu.Unlock()
	return w.Conn.Close()
}

// seal ends the connection and reports whether any byte of the current
// request may have been sent. No byte leaves after it returned false.
func (w *wire) seal() (sent bool) {
	w.mu.Lock()
	w.sealed = true
	w.dead = true
	sent = w.started
	w.mu.Unlock()
	_ = w.Conn.Close()
	return sent
}

// begin sets the guard of the next request.
func (w *wire) begin(guard func() bool) {
	w.mu.Lock()
	w.guard = guard
	w.mu.Unlock()
}

// finish makes the connection ready for its next request.
func (w *wire) finish() {
	w.mu.Lock()
	w.started = false
	w.guard = nil
	w.mu.Unlock()
}

func (w *wire) wasWithheld() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withheld
}

func (w *wire) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// usable asks the kernel whether the peer has closed the connection or sent
// unasked bytes. Without it a process that was paused would trust connections
// that were closed meanwhile.
func (w *wire) usable() bool {
	if w.isDead() {
		return false
	}
	raw, ok := w.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
