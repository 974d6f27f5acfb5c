package clientconn

import (
	"net"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes that the client's system has not
// acknowledged yet, or -1 if it is not known. A blocked write makes progress
// while it decreases, although the kernel accepts more bytes only when a large
// part of its buffer is free.
func unacknowledged(conn net.Conn) int {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return -1
	}
	return n
}
