package gateway

import (
	"io"
)

// copyBufferBytes is the size of the buffer for copying long answers.
const copyBufferBytes = 32 << 10

// readUpTo reads a body until its end or until at least limit bytes are read.
// In the latter case ended is false and err is nil, although the body may
// continue.
func readUpTo(body io.Reader, limit int) (data []byte, ended bool, err error) {
	data = make([]byte, 0, 1024)
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
		if len(data) >= limit {
			return data, false, nil
		}
	}
}

func copyBuffered(w io.Writer, r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, copyBufferBytes))
}

// freeAnswerBytes is the size up to which an answer's buffer is not counted. It is
// part of what a connection counts.
const freeAnswerBytes = 4 << 10

// freeEventBytes is the size up to which the buffer for the events of a stream is not
// counted. It is that of its first buffer.
const freeEventBytes = readBytes

// resizeEvents counts the buffer for events as memory of the request. It returns false if
// there is none left.
func (x *exchange) resizeEvents(from, to int64) bool {
	if to <= freeEventBytes {
		return true
	}
	if !x.take(to) {
		return false
	}
	if from > freeEventBytes {
		x.giveBack(from)
	}
	return true
}

// readAnswer reads an answer as readUpTo does, up to maxBufferedAnswerBytes. Its
// buffer counts as memory of the request; if there is none left, ended is false.
func (x *exchange) readAnswer(body io.Reader) (data []byte, ended bool, err error) {
	data = make([]byte, 0, 1024)
	counted := int64(0)
	for {
		if len(data) == cap(data) {
			next := int64(2 * cap(data))
			if next > freeAnswerBytes && !x.take(next) {
				return data, false, nil
			}
			data = append(make([]byte, 0, next), data...)
			if counted > 0 {
				x.giveBack(counted)
			}
			if next > freeAnswerBytes {
				counted = next
			}
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
		if len(data) >= maxBufferedAnswerBytes {
			return data, false, nil
		}
	}
}
