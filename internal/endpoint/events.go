package endpoint

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrEventTooLarge means that a server-sent event exceeds its size limit.
var ErrEventTooLarge = errors.New("event exceeds its size limit")

// eventReadBytes is the size of the read buffer of a stream.
const eventReadBytes = 4 << 10

var (
	dataField = []byte("data")
	doneData  = []byte("[DONE]")
)

// EventReader reads the server-sent events of a streamed answer. It buffers at
// most one event.
type EventReader struct {
	body   io.ReadCloser
	lines  *bufio.Reader
	limit  int
	offset int
	// event collects the data of the current event; line collects a line that
	// does not fit into the read buffer.
	event   []byte
	line    []byte
	hasData bool
	err     error
}

// NewEventReader returns a reader of the events in body. An event may be at
// most maxEventBytes long; zero means DefaultMaxEventBytes. The reader takes
// ownership of body.
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

// Events returns a reader of the events of an answer, with the event size limit
// of the client.
func (c *Client) Events(answer *Answer) *EventReader {
	return NewEventReader(answer.Body, c.config.MaxEventBytes)
}

// Offset returns the number of events that Next has returned; Resume takes it
// as its offset.
func (r *EventReader) Offset() int { return r.offset }

// Next returns the data of the next event, which is valid until the following
// call. The error is io.EOF only after the end marker of the stream, "[DONE]".
// A stream that ends without the marker gives an error that wraps
// ErrIncomplete, an oversize event ErrEventTooLarge. A partial event is never
// returned.
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

// Close stops reading. Before the end of the stream it closes the connection.
func (r *EventReader) Close() error {
	if r.err == nil {
		r.finish(ErrStreamClosed)
	}
	return nil
}

// ErrStreamClosed is the error of Next after Close.
var ErrStreamClosed = errors.New("event stream is closed")

func (r *EventReader) finish(err error) {
	r.err = err
	body, ok := r.body.(*answerBody)
	if ok && err == io.EOF {
		body.drain()
		return
	}
	_ = r.body.Close()
}

// readEvent reads lines up to the empty line that ends an event with data.
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

// addField appends the data of a data line to the event. It ignores other
// fields and comments.
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

// readLine returns the next line without its line ending. The line is valid
// until the following call. The end of the stream is never reported as io.EOF
// here: only "[DONE]" marks a complete stream.
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
			return nil, wrapCause(ErrIncomplete, io.ErrUnexpectedEOF)
		default:
			return nil, wrapCause(ErrIncomplete, err)
		}
	}
}

// trimLine removes the line ending: a line feed, optionally preceded by a
// carriage return.
func trimLine(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r"))
}

// AppendEvent appends an event with the given data to dst, in the encoding of
// an event stream. Data with several lines stays one event.
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
