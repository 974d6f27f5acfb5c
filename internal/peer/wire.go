package peer

import (
	"encoding/binary"
	"net"
)

// The parts of a yamux frame's header that wireConn looks at.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// wireConn counts the bytes of a connection and joins each yamux header with
// the body that follows it, which yamux writes on its own: else every frame
// would cost two packets and two calls of the system. Only one goroutine of a
// yamux session writes.
type wireConn struct {
	net.Conn
	stats *counters
	// held is a header whose body has not come yet.
	held []byte
	buf  []byte
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.wireReceived.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(p) {
		c.held = append(c.held[:0], p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.write(p)
	}
	c.buf = append(append(c.buf[:0], c.held...), p...)
	c.held = c.held[:0]
	n, err := c.write(c.buf)
	if cap(c.buf) > 4*maxBatchBytes {
		c.buf = nil
	}
	return max(0, n-muxHeaderBytes), err
}

func (c *wireConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.wireSent.Add(int64(n))
	return n, err
}

// announcesBody reports whether p is the header of a data frame with a body,
// which yamux writes next.
func announcesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
