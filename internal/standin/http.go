package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// NewControl returns a handler that serves the record of all stand-ins of a
// recorder, even while they are down.
func NewControl(recorder *Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !serveRuns(recorder, "", w, r) {
			http.NotFound(w, r)
		}
	})
}

// serveRuns serves GET /standin/runs. It returns false for other paths. The
// query all=1 selects the runs of all stand-ins of the recorder.
func serveRuns(recorder *Recorder, endpoint string, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/standin/runs" {
		return false
	}
	if r.URL.Query().Get("all") == "1" {
		endpoint = ""
	}
	writeJSON(w, recorder.Runs(endpoint))
	return true
}

// unmarshalStrict decodes JSON and rejects unknown fields.
func unmarshalStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v))
}

func writeEvent(w http.ResponseWriter, event []byte) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(event)
	_, _ = w.Write([]byte("\n\n"))
}

// holdConnection keeps a connection open without a response until the client
// closes it.
func holdConnection(r *http.Request) {
	// The server detects a closed connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
