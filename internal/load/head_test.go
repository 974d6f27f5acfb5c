package load

import (
	"net/http"
	"testing"

	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
	"github.com/shoenig/test/must"
)

// Guards against a record of runs, by which the answers are judged, from a response whose head
// is not well-formed.
func TestMalformedRecordIsNotRead(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
	_, err := FetchRuns(t.Context(), headtest.Serve(t, func(*http.Request) string { return sound }))
	must.NoError(t, err)
	for name, text := range headtest.Defects(sound) {
		t.Run(name, func(t *testing.T) {
			_, err := FetchRuns(t.Context(), headtest.Serve(t, func(*http.Request) string { return text }))
			must.Error(t, err)
		})
	}
}

// Guards against an answer that counts as served although its head is not well-formed.
func TestMalformedAnswerDoesNotCount(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	runner := &Runner{Transport: NewTransport()}
	send := func(text string) Ended {
		outcome := runner.send(t.Context(), headtest.Serve(t, func(*http.Request) string { return text }), &Request{Deadline: 1 << 40})
		return outcome.Ended
	}
	must.Eq(t, EndedWrong, send(sound))
	for name, text := range headtest.Defects(sound) {
		t.Run(name, func(t *testing.T) { must.Eq(t, EndedFailed, send(text)) })
	}
}
