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
