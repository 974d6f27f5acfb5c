package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// relayPath is the HTTP path of RelayHandler. relayEraHeader contains the era of
// the data in answers that refuse a read.
const (
	relayPath      = "/directory"
	relayEraHeader = "Directory-Era"
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
	// Late is Batch.Late.
	Late bool `json:",omitempty"`
}

// RelayHandler serves a Replica to other instances. now must be the clock that
// timestamps the replica's updates.
func RelayHandler(r *Replica, now func() int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requestedAt := now()
		if q.URL.Path != relayPath {
			http.NotFound(w, q)
			return
		}
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
		batch, age, err := r.Watch(q.Context(), requestedAt, Position{Era: era, Revision: after}, wait)
		w.Header().Set(relayEraHeader, strconv.FormatInt(batch.Era, 10))
		switch {
		case errors.Is(err, ErrCompacted):
			http.Error(w, err.Error(), http.StatusGone)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The write fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(relayAnswer{Batch: batch, AgeMicros: age.Microseconds(), Late: batch.Late})
	})
}

// Relay is a Source that reads from another instance.
type Relay struct {
	Address string
	Client  *http.Client
}

// List implements Source.
func (r *Relay) List(ctx context.Context) (Batch, error) { return r.get(ctx, Position{}, 0) }

// Watch implements Source. Batch.Age is how far the data was out of date when
// the call began.
func (r *Relay) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	return r.get(ctx, after, wait)
}

func (r *Relay) get(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(after.Revision, 10)},
		"era":     {strconv.FormatInt(after.Era, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	target := url.URL{Scheme: "http", Host: r.Address, Path: relayPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "relay")
	}
	response, err := r.Client.Do(request)
	if err != nil {
		return Batch{}, errors.Wrap(err, "relay")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRelayBytes))
	if err != nil {
		return Batch{}, errors.Wrap(err, "relay")
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		// A header that is no number states no era.
		era, _ := strconv.ParseInt(response.Header.Get(relayEraHeader), 10, 64)
		return Batch{Era: max(era, 0)}, ErrCompacted
	default:
		return Batch{}, errors.Newf("relay answered %d", response.StatusCode)
	}
	var answer relayAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Batch{}, errors.Wrap(err, "relay: answer")
	}
	answer.Batch.Late = answer.Late
	answer.Batch.Age = time.Duration(answer.AgeMicros) * time.Microsecond
	return answer.Batch, nil
}
