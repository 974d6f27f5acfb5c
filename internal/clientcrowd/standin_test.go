package clientcrowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Limits of the configuration: the values of current deployments.
const (
	maxHeaderBytes  = 16_384
	maxBodyBytes    = 4_194_304
	headerTimeoutMS = 3_000
	idleTimeoutMS   = 15_000
)

const (
	host       = "crowd.example"
	key        = "key"
	plainPath  = "/plain/"
	streamPath = "/stream/"
	noRoute    = "/none/"
	// slots is the number of requests that the endpoint of a service runs at a time.
	slots = 1_000
	// routeTimeoutMS is how long a request may take.
	routeTimeoutMS = 20_000
)

// storeRevision is the only revision of the store, which never changes.
const storeRevision = 2

type storeItem struct {
	Key      string
	Value    []byte
	Revision int64
}

// store is the stand-in of the platform's store. Its items are fixed.
type store []storeItem

// newStore returns a store with the configuration and one endpoint for each service.
func newStore(t *testing.T, endpoint string) store {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{"Name": prefix, "Host": host, "Prefix": prefix, "RouteKind": kind, "TimeoutMs": routeTimeoutMS,
			"TargetLatencyMs": routeTimeoutMS, "Service": service, "MaxAttempts": 1}
	}
	entry := func(service string) map[string]any {
		return map[string]any{"Service": service, "Address": endpoint, "Zone": "zone", "Slots": slots, "State": "ready",
			"Version": "v1", "Sequence": 1, "born": time.Now().UnixMilli()}
	}
	config := map[string]any{
		"Version": 1,
		"Routes":  []any{route(plainPath, "safe", "plain"), route(streamPath, "stream", "stream")},
		"Tenants": []any{map[string]any{"Name": "tenant", "ApiKeys": []string{key}, "RatePerS": 1e6, "Burst": 1e6}},
		"Limits": map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes,
			"HeaderTimeoutMs": headerTimeoutMS, "IdleTimeoutMs": idleTimeoutMS},
	}
	var s store
	for name, value := range map[string]any{"op/config": config, "servers/plain-1": entry("plain"), "servers/stream-1": entry("stream")} {
		data, err := json.Marshal(value)
		must.NoError(t, err)
		s = append(s, storeItem{Key: name, Value: data, Revision: storeRevision})
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	items := []storeItem{}
	switch r.URL.Path {
	case "/balsamstair/kv-range":
		for _, i := range s {
			if strings.HasPrefix(i.Key, query.Get("Prefix")) {
				items = append(items, i)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "HasMore": false, "CurrentRev": storeRevision})
	case "/balsamstair/kv-key":
		for _, i := range s {
			if i.Key == query.Get("Key") {
				_ = json.NewEncoder(w).Encode(i)
				return
			}
		}
		w.WriteHeader(http.StatusNotFound)
	case "/balsamstair/kv-watch":
		ms, _ := strconv.Atoi(query.Get("WaitMs"))
		select {
		case <-time.After(min(time.Duration(ms)*time.Millisecond, 30*time.Second)):
		case <-r.Context().Done():
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": items, "CurrentRev": storeRevision})
	default:
		http.NotFound(w, r)
	}
}

// serveEndpoint is the handler of the endpoint of both services. The query value
// bytes is the length of a plain answer, events the number of events of a stream.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Balsamstair-Attempt-Id", r.Header.Get("Balsamstair-Attempt-Id"))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	query := r.URL.Query()
	if events, _ := strconv.Atoi(query.Get("events")); events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, eventData); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		return
	}
	length, _ := strconv.Atoi(query.Get("bytes"))
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = io.CopyN(w, zeros{}, int64(length))
}

// eventData is the text of an event of a stream.
var eventData = strings.Repeat("e", 4_000)

// zeros is an endless io.Reader.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// serve serves a handler on a loopback address until the test ends.
func serve(t *testing.T, handler http.Handler) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}
