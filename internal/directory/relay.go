package directory

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstair/balsamstair/internal/httphead"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
)

// relayPath and relayConfigPath are the HTTP paths of RelayHandler. relayEraHeader
// contains the era of the data in answers that refuse a read, relayHistoryHeader
// Batch.HistorySince.
const (
	relayPath          = "/directory"
	relayConfigPath    = "/directory/config"
	relayEraHeader     = "Directory-Era"
	relayHistoryHeader = "Directory-History-Since"
)

const (
	// maxRelayWait bounds how long the handler holds a poll open.
	maxRelayWait = 2 * time.Second
	// maxRelayBytes bounds the size of a response body.
	maxRelayBytes = 16 << 20
)

// relayAnswer is the JSON body of a response.
type relayAnswer struct {
	Batch Batch
	// AgeMicros is how far the data was out of date when the request arrived,
	// in microseconds.
	AgeMicros int64
	// Late, ConfigVersion and HistorySince are those of Batch.
	Late          bool  `json:",omitempty"`
	ConfigVersion int64 `json:",omitempty"`
	HistorySince  int64 `json:",omitempty"`
}

// relayHandler is the http.Handler that RelayHandler returns.
type relayHandler struct {
	replica *Replica
	now     func() int64
	// transfers limits the configurations that are sent at the same time: the others
	// read it elsewhere rather than share a slow link.
	transfers chan struct{}
}

// maxConfigTransfers is the number of configurations that an instance sends at the same
// time.
const maxConfigTransfers = 3

// RelayHandler serves a Replica to other instances. now must be the clock that
// timestamps the replica's updates.
func RelayHandler(r *Replica, now func() int64) http.Handler {
	return &relayHandler{replica: r, now: now, transfers: make(chan struct{}, maxConfigTransfers)}
}

// ServeHTTP implements http.Handler.
func (h *relayHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case relayPath:
		h.serveWatch(w, q)
	case relayConfigPath:
		h.serveConfig(w, q)
	default:
		http.NotFound(w, q)
	}
}

func (h *relayHandler) serveWatch(w http.ResponseWriter, q *http.Request) {
	requestedAt := h.now()
	after, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	era, err := strconv.ParseInt(cmp.Or(q.URL.Query().Get("era"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "era is not a number", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(q.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		http.Error(w, "wait_ms is not a time", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxRelayWait)
	batch, age, err := h.replica.Watch(q.Context(), requestedAt, Position{Era: era, Revision: after}, wait)
	w.Header().Set(relayEraHeader, strconv.FormatInt(batch.Era, 10))
	w.Header().Set(relayHistoryHeader, strconv.FormatInt(batch.HistorySince, 10))
	switch {
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if q.URL.Query().Has("config") {
		batch.Changes = slices.DeleteFunc(batch.Changes, func(c Change) bool { return c.Config != nil })
	} else {
		// Readers of earlier releases take the configuration from the changes.
		batch.ConfigVersion = 0
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(relayAnswer{
		Batch: batch, AgeMicros: age.Microseconds(), Late: batch.Late, ConfigVersion: batch.ConfigVersion,
		HistorySince: batch.HistorySince,
	})
}

// serveConfig sends the newest configuration that was received, compressed.
func (h *relayHandler) serveConfig(w http.ResponseWriter, q *http.Request) {
	body, err := h.replica.encodeConfig()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	select {
	case h.transfers <- struct{}{}:
		defer func() { <-h.transfers }()
	case <-q.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(body)
}

// Relay is a Source that reads from another instance.
type Relay struct {
	Address string
	Client  *http.Client
}

// List implements Source.
func (r *Relay) List(ctx context.Context) (Batch, error) { return r.watch(ctx, Position{}, 0) }

// Watch implements Source. Batch.Age is how far the data was out of date when
// the call began.
func (r *Relay) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	return r.watch(ctx, after, wait)
}

func (r *Relay) watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	var session any
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { session = c.Conn }})
	response, body, err := r.get(ctx, relayPath, url.Values{
		"after":   {strconv.FormatInt(after.Revision, 10)},
		"era":     {strconv.FormatInt(after.Era, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"config":  {"announce"},
	})
	if err != nil {
		return Batch{}, err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		// A header that is no number states nothing.
		era, _ := strconv.ParseInt(response.Header.Get(relayEraHeader), 10, 64)
		since, _ := strconv.ParseInt(response.Header.Get(relayHistoryHeader), 10, 64)
		return Batch{Era: max(era, 0), HistorySince: max(since, 0), Session: session}, ErrCompacted
	default:
		return Batch{}, errors.Newf("relay answered %d", response.StatusCode)
	}
	var answer relayAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Batch{}, errors.Wrap(err, "relay: answer")
	}
	answer.Batch.Late, answer.Batch.ConfigVersion = answer.Late, answer.ConfigVersion
	answer.Batch.HistorySince, answer.Batch.Session = answer.HistorySince, session
	answer.Batch.Age = time.Duration(answer.AgeMicros) * time.Microsecond
	answer.Batch.announceUnstated()
	return answer.Batch, nil
}

// announceUnstated replaces a configuration that does not state whether keys are required
// by the announcement of its version, so that it is read from another source.
func (b *Batch) announceUnstated() {
	b.Changes = slices.DeleteFunc(b.Changes, func(c Change) bool {
		if c.Config == nil || c.Config.KeyRequirement() != routing.KeysUnstated {
			return false
		}
		b.ConfigVersion = max(b.ConfigVersion, c.Config.Version)
		return true
	})
}

// Config implements Source.
func (r *Relay) Config(ctx context.Context) (Batch, error) {
	response, body, err := r.get(ctx, relayConfigPath, nil)
	if err != nil {
		return Batch{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Batch{}, errors.Newf("relay answered %d", response.StatusCode)
	}
	unpacked, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return Batch{}, errors.Wrap(err, "relay: configuration")
	}
	var change Change
	if err := json.NewDecoder(io.LimitReader(unpacked, maxRelayBytes)).Decode(&change); err != nil {
		return Batch{}, errors.Wrap(err, "relay: configuration")
	}
	if change.Config != nil && change.Config.KeyRequirement() == routing.KeysUnstated {
		return Batch{}, ErrKeysUnstated
	}
	return Batch{Changes: []Change{change}}, nil
}

// get calls the instance and returns the response with its complete body.
func (r *Relay) get(ctx context.Context, path string, query url.Values) (*http.Response, []byte, error) {
	target := url.URL{Scheme: "http", Host: r.Address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "relay")
	}
	// Set here, so that the client does not unpack the answer.
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := httphead.Do(r.Client, request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "relay")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(ReportProgress(ctx, response.Body), maxRelayBytes))
	return response, body, errors.Wrap(err, "relay")
}
