package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
)

func readValue(t *testing.T, text string) readResult {
	client, err := New(Options{Address: headtest.Serve(t, func(*http.Request) string { return text })})
	must.NoError(t, err)
	return client.read(t.Context(), valuesPath+declared.Key, 0, time.Millisecond)
}

// Guards against a value or a version from an answer whose head is not well-formed.
func TestMalformedHeadIsNotRead(t *testing.T) {
	const value = "[[organisation]]\nname = \"a\"\n"
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 3\r\nContent-Length: %d\r\n\r\n%s", versionHeader, len(value), value)
	must.Eq(t, readResult{version: 3, bytes: []byte(value)}, readValue(t, sound))
	for defect, text := range headtest.Defects(sound) {
		t.Run(defect, func(t *testing.T) {
			r := readValue(t, text)
			must.SliceContains(t, []Reason{ReasonProtocol, ReasonUnreachable}, r.reason)
			must.Eq(t, 0, r.version)
		})
	}
}

// Guards against a part of a declared file that is taken for all of it: a file that ends
// after an entry is valid.
func TestCutValueIsNotRead(t *testing.T) {
	r := readValue(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 3\r\n\r\n[[organisation]]\nname = \"a\"\n", versionHeader))
	must.Eq(t, ReasonProtocol, r.reason)
	must.Nil(t, r.bytes)
}
