package endpoint

import (
	"context"
	"io"
	"net"

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/cockroachdb/errors"
)

// The results of AnswerDefect beside those of httphead.
const (
	// DefectMalformed means a head that is not HTTP/1.1.
	DefectMalformed = "malformed_head"
	// DefectRequestUnwritten means that the connection ended within an answer and before
	// the request was written (ErrRequestUnwritten).
	DefectRequestUnwritten = "request_unwritten"
)

// AnswerDefect returns what was wrong with an answer that failed with err, as in logs and
// metrics. It is empty if the connection failed, or if the answer may be well-formed but
// belongs to another request.
func AnswerDefect(err error) string {
	head := new(httphead.Error)
	switch {
	case errors.As(err, &head):
		return string(head.Defect)
	case errors.Is(err, ErrRequestUnwritten):
		return DefectRequestUnwritten
	case errors.Is(err, ErrProtocol):
		return DefectMalformed
	}
	return ""
}

// isConnectionError reports whether err is the failure of a connection or the end of its
// context, rather than that of parsing what arrived.
func isConnectionError(err error) bool {
	netErr := net.Error(nil)
	return errors.As(err, &netErr) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, context.Canceled, context.DeadlineExceeded,
		ErrConnectionLost, ErrRequestUnwritten, errWriteClosed, errUnsolicited)
}
