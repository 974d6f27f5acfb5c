package endpoint

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrEventTooLarge means that a server-sent event is longer than its limit.
var ErrEventTooLarge = errors.New("event is larger than its limit")

// eventReadBytes is the size of the read buffer of one stream.
const eventReadBytes = 4 << 10

var (
	dataField = []byte("data")
	doneData  = []byte("[DONE]")
)

// EventReader reads server-sent events of a streamed answer. It keeps no more
// than one event.
type EventReader struct {
	body   io.ReadCloser
	lines  *bufio.Reader
	limit  int
	offset int
	// event gathers the data of the event being read, line a line that is
	// longer than the read buffer.
	event   []byte
	line    []byte
	hasData bool
	err     error
}

// NewEventReader reads the events of body, each at most maxEventBytes long;
// zero means the default. It owns body from then on.
func NewEventReader(body io.ReadCloser, maxEventBytes int) *EventReader {
	if maxEventBytes <= 0 {
		maxEventBytes = DefaultMaxEventBytes
	}
	return &EventReader{
		body:  body,
		lines: bufio.NewReaderSize(body, eventReadBytes),
		limit: maxEventBytes,
	}
}

// Events reads the events of an answer within the client's limit.
func (c *Client) Events(answer *Answer) *EventReader {
	return NewEventReader(answer.Body, c.config.MaxEventBytes)
}

// Offset is the number of events that Next has returned, as Resume counts
// them.
func (r *EventReader) Offset() int { return r.offset }

// Next returns the data of the next event, which is valid until the call
// after it. The error is io.EOF only after the stream's own end, "[DONE]". A
// stream that ends without it gives an ErrCut, an overlong event
// ErrEventTooLarge; part of an event is never returned.
func (r *EventReader) Next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	event, err := r.readEvent()
	if err == nil && bytes.Equal(event, doneData) {
		err = io.EOF
	}
	if err != nil {
		r.finish(err)
		return nil, r.err
	}
	r.offset++
	return event, nil
}

// Close ends the reading. Before the stream's end it closes the connection.
func (r *EventReader) Close() error {
	if r.err == nil {
		r.finish(ErrClosedStream)
	}
	return nil
}

// ErrClosedStream is the error of Next after Close.
var ErrClosedStream = errors.New("event stream is closed")

func (r *EventReader) finish(err error) {
	r.err = err
	body, ok := r.body.(*answerBody)
	if ok && err == io.EOF {
		body.drain()
		return
	}
	_ = r.body.Close()
}

// readEvent reads lines up to the empty one that ends an event with data.
func (r *EventReader) readEvent() ([]byte, error) {
	r.event = r.event[:0]
	r.hasData = false
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if r.hasData {
				return r.event, nil
			}
			continue
		}
		if err := r.addField(line); err != nil {
			return nil, err
		}
	}
}

// addField takes up a line's data; other fields and comments are passed over.
func (r *EventReader) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return nil
	}
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	if len(r.event)+len(value)+1 > r.limit {
		return ErrEventTooLarge
	}
	if r.hasData {
		r.event = append(r.event, '\n')
	}
	r.event = append(r.event, value...)
	r.hasData = true
	return nil
}

// readLine returns a line without its end. The line is valid until the next
// call. The stream's end is never io.EOF here: only "[DONE]" is whole.
func (r *EventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return trimLine(part), nil
		}
		if len(r.line)+len(part) > r.limit+len("data: \r\n") {
			return nil, ErrEventTooLarge
		}
		r.line = append(r.line, part...)
		switch {
		case err == nil:
			return trimLine(r.line), nil
		case err == bufio.ErrBufferFull:
		case err == io.EOF:
			return nil, because(ErrCut, io.ErrUnexpectedEOF)
		default:
			return nil, because(ErrCut, err)
		}
	}
}

// trimLine removes the line's end: a line feed, with or without a carriage
// return before it.
func trimLine(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r"))
}

// AppendEvent appends an event with that data to dst as it stands in a
// stream. Data of several lines stays one event.
func AppendEvent(dst, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
		if !more {
			return append(dst, '\n')
		}
		data = rest
	}
}
