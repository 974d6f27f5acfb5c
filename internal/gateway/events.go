package gateway

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var (
	errEventMemory   = errors.New("gateway: no memory left for an event")
	errEventTooLarge = errors.New("gateway: event exceeds the size limit")
	errNoEvents      = errors.New("gateway: stream ended without an event, which does not prove its end")
	errUnnumbered    = errors.New("gateway: event without an id in a stream that was continued")
	errEventOrder    = errors.New("gateway: event id does not follow the previous one")
)

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
)

// eventCopier forwards the complete events of a stream as they arrive. Its
// state outlives the connection to an endpoint, so that a resumed stream
// continues it.
type eventCopier struct {
	// lastID is the id of the last event forwarded.
	lastID int64
	// eventCount is the number of events with an id received on the current
	// connection. connFirstAt is when its first events were forwarded,
	// lastForwardedAt when the last ones were.
	eventCount int
	// continues is set if the caller has received events of an earlier connection.
	continues bool
	// received is the number of all events received on the current connection.
	received                     int
	connFirstAt, lastForwardedAt time.Time
	// firstForwardedAt is when the first event of all connections was
	// forwarded. longestGap is the longest time between two forwards since.
	firstForwardedAt time.Time
	longestGap       time.Duration
	buffer           []byte
	// resize counts the memory of the buffer as it grows; it returns false if there is
	// none left.
	resize func(from, to int64) bool
}

// copy forwards events from body until its end. The error is nil only if the
// body ended regularly after a complete event. Incomplete events are never
// forwarded.
func (c *eventCopier) copy(body io.Reader, forward func([]byte) error) error {
	c.buffer = c.buffer[:0]
	c.eventCount, c.received = 0, 0
	for {
		if cap(c.buffer)-len(c.buffer) < readBytes {
			next := 2*cap(c.buffer) + readBytes
			if !c.resize(int64(cap(c.buffer)), int64(next)) {
				return errEventMemory
			}
			c.buffer = append(make([]byte, 0, next), c.buffer...)
		}
		n, err := body.Read(c.buffer[len(c.buffer) : len(c.buffer)+readBytes])
		c.buffer = c.buffer[:len(c.buffer)+n]
		if forwardErr := c.forwardComplete(forward); forwardErr != nil {
			return forwardErr
		}
		if err == io.EOF && len(c.buffer) == 0 {
			return nil
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(c.buffer) > maxEventBytes {
			return errEventTooLarge
		}
	}
}

// forwardComplete forwards the complete events in the buffer with one call.
func (c *eventCopier) forwardComplete(forward func([]byte) error) error {
	end := 0
	var orderErr error
	for {
		i := bytes.Index(c.buffer[end:], eventTerminator)
		if i < 0 {
			break
		}
		if orderErr = c.checkOrder(c.buffer[end : end+i]); orderErr != nil {
			break
		}
		end += i + len(eventTerminator)
		c.received++
	}
	if end > 0 {
		if err := forward(c.buffer[:end]); err != nil {
			return err
		}
		c.recordForwarded(time.Now())
		c.buffer = append(c.buffer[:0], c.buffer[end:]...)
	}
	return orderErr
}

// recordForwarded records the time at which events were forwarded.
func (c *eventCopier) recordForwarded(now time.Time) {
	if c.firstForwardedAt.IsZero() {
		c.firstForwardedAt = now
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastForwardedAt))
	}
	if c.connFirstAt.IsZero() {
		c.connFirstAt = now
	}
	c.lastForwardedAt = now
}

// checkOrder checks and records the id of an event. Ids increase by one. An event
// without an id is forwarded unchecked, unless it continues a stream whose events had
// ids: it may be the text of an error.
func (c *eventCopier) checkOrder(event []byte) error {
	id, ok := eventID(event)
	switch {
	case !ok && c.continues && c.lastID != 0 && !isComment(event):
		return errUnnumbered
	case !ok:
		return nil
	}
	if c.lastID != 0 && id != c.lastID+1 {
		return errEventOrder
	}
	c.lastID = id
	c.eventCount++
	return nil
}

// isComment reports whether an event consists of comments, which some endpoints send to
// keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, eventTerminator[:1]) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, eventTerminator[:1]) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// meanInterval returns the mean time between events on the current connection,
// or zero if there are too few.
func (c *eventCopier) meanInterval() time.Duration {
	if c.eventCount < minIntervalEvents {
		return 0
	}
	return c.lastForwardedAt.Sub(c.connFirstAt) / time.Duration(c.eventCount-1)
}

// minIntervalEvents is the number of events below which their mean interval
// does not reflect the endpoint's speed.
const minIntervalEvents = 4
