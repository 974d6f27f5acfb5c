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
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLarge = errors.New("gateway: event is larger than its limit")
	errEventOrder    = errors.New("gateway: events do not continue the stream")
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventCopier forwards whole events of a stream as they arrive. Its state
// outlives the endpoint's connection, so that a resumed stream continues it.
type eventCopier struct {
	// last is the id of the last event forwarded.
	last int64
	// count is the number of events forwarded, first and latest the times of
	// the first and the last one of the current connection.
	count         int
	first, latest time.Time
	// begun is when the first event of all connections was forwarded, longest
	// the longest pause between two events since.
	begun   time.Time
	longest time.Duration
	buffer  []byte
}

// copy forwards events from body until its end. The error is nil only where
// the body ended whole, behind a whole event. Part of an event is never
// forwarded.
func (c *eventCopier) copy(body io.Reader, forward func([]byte) error) error {
	c.buffer = c.buffer[:0]
	c.count = 0
	for {
		if cap(c.buffer)-len(c.buffer) < readBytes {
			c.buffer = append(make([]byte, 0, 2*cap(c.buffer)+readBytes), c.buffer...)
		}
		n, err := body.Read(c.buffer[len(c.buffer) : len(c.buffer)+readBytes])
		c.buffer = c.buffer[:len(c.buffer)+n]
		if forwardErr := c.forwardWhole(forward); forwardErr != nil {
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

// forwardWhole forwards the whole events in the buffer with one call.
func (c *eventCopier) forwardWhole(forward func([]byte) error) error {
	end := 0
	var orderErr error
	for {
		i := bytes.Index(c.buffer[end:], eventEnd)
		if i < 0 {
			break
		}
		if orderErr = c.check(c.buffer[end : end+i]); orderErr != nil {
			break
		}
		end += i + len(eventEnd)
	}
	if end > 0 {
		if err := forward(c.buffer[:end]); err != nil {
			return err
		}
		c.forwarded(time.Now())
		c.buffer = append(c.buffer[:0], c.buffer[end:]...)
	}
	return orderErr
}

// forwarded notes when events were passed on.
func (c *eventCopier) forwarded(now time.Time) {
	if c.begun.IsZero() {
		c.begun = now
	} else {
		c.longest = max(c.longest, now.Sub(c.latest))
	}
	if c.first.IsZero() {
		c.first = now
	}
	c.latest = now
}

// check notes the id of an event. Ids rise by one; an event without an id is
// passed on.
func (c *eventCopier) check(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	if c.last != 0 && id != c.last+1 {
		return errEventOrder
	}
	c.last = id
	c.count++
	return nil
}

// eventID returns the id field of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, eventEnd[:1]) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// pace is the mean time between the events of the current connection.
func (c *eventCopier) pace() time.Duration {
	if c.count < minPaceEvents {
		return 0
	}
	return c.latest.Sub(c.first) / time.Duration(c.count-1)
}

// minPaceEvents is the number of events from which on their pace says
// something of the endpoint's speed.
const minPaceEvents = 4
