package peer

import (
	"encoding/binary"
	"net"
)

// The parts of the yamux frame header that wireConn reads.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// wireConn counts the bytes of a connection and merges each yamux header with
// the body that follows. Without this, every frame would cost two packets and
// two system calls, because yamux writes header and body separately. Write needs
// no lock: only one goroutine of a yamux session writes.
type wireConn struct {
	net.Conn
	stats *counters
	// pendingHeader is a header whose body has not been written yet.
	pendingHeader []byte
	buf           []byte
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.wireReceived.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader[:0], p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.write(p)
	}
	c.buf = append(append(c.buf[:0], c.pendingHeader...), p...)
	c.pendingHeader = c.pendingHeader[:0]
	n, err := c.write(c.buf)
	// Does not retain the buffer of an unusually large body.
	if cap(c.buf) > 4*maxBatchBytes {
		c.buf = nil
	}
	// The header was already reported as written.
	return max(0, n-muxHeaderBytes), err
}

func (c *wireConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.wireSent.Add(int64(n))
	return n, err
}

// isDataHeader reports whether p is the header of a data frame with a body,
// which yamux writes next.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
