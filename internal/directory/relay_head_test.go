package directory

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/balsamstair/balsamstair/internal/httphead/headtest"
	"github.com/shoenig/test/must"
)

// relayAnswers returns what a relay answers to a listing and to a read of the configuration.
func relayAnswers(t *testing.T) map[string]string {
	t.Helper()
	replica := NewReplica()
	replica.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Era: 2, Revision: 12, Changes: []Change{putChange("a", 3), configChange(7, 11)}}})
	relay := RelayHandler(replica, func() int64 { return 100 })
	answers := map[string]string{}
	for path, query := range map[string]string{relayPath: "?after=0&wait_ms=0", relayConfigPath: ""} {
		recorder := httptest.NewRecorder()
		relay.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path+query, nil))
		response := recorder.Result()
		response.ContentLength = int64(recorder.Body.Len())
		text, err := httputil.DumpResponse(response, true)
		must.NoError(t, err)
		answers[path] = string(text)
	}
	return answers
}

func readRelay(t *testing.T, path, text string) (Batch, error) {
	relay := &Relay{Address: headtest.Serve(t, func(*http.Request) string { return text }), Client: &http.Client{Transport: &http.Transport{}}}
	if path == relayConfigPath {
		return relay.Config(t.Context())
	}
	return relay.List(t.Context())
}

// Guards against data of another instance from an answer whose head is not well-formed, and
// against such a refusal that makes this one discard what it knows.
func TestMalformedRelayHeadIsNotRead(t *testing.T) {
	for path, sound := range relayAnswers(t) {
		_, err := readRelay(t, path, sound)
		must.NoError(t, err)
		defects := headtest.Defects(sound)
		defects["refusal"] = "HTTP/1.1 410 Gone\r\n" + relayEraHeader + ": 9\r\nCustom : v\r\nContent-Length: 0\r\n\r\n"
		for defect, text := range defects {
			t.Run(path+"/"+defect, func(t *testing.T) {
				batch, err := readRelay(t, path, text)
				must.Error(t, err)
				must.False(t, errors.Is(err, ErrCompacted))
				must.Eq(t, 0, batch.Era)
			})
		}
	}
}

// Guards against a part of an answer without a length that is taken for all of it.
func TestCutRelayAnswerIsNotRead(t *testing.T) {
	for path, sound := range relayAnswers(t) {
		t.Run(path, func(t *testing.T) {
			head, body, _ := strings.Cut(sound, "\r\n\r\n")
			lines := strings.Split(head, "\r\n")
			for n, line := range lines {
				if strings.HasPrefix(line, "Content-Length:") {
					lines[n] = "Custom: v"
				}
			}
			whole, err := readRelay(t, path, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
			must.NoError(t, err)
			for cut := range len(body) {
				batch, err := readRelay(t, path, strings.Join(lines, "\r\n")+"\r\n\r\n"+body[:cut])
				if err == nil {
					must.Eq(t, len(whole.Changes), len(batch.Changes), must.Sprint(cut))
				}
			}
		})
	}
}
