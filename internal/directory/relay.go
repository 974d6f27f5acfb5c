package directory

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// relayPath is where an instance answers others.
const relayPath = "/directory"

const (
	// maxRelayWait bounds how long a reader is kept waiting.
	maxRelayWait = 2 * time.Second
	// maxRelayBytes bounds an answer.
	maxRelayBytes = 16 << 20
)

// relayAnswer is the body of an answer.
type relayAnswer struct {
	Batch Batch
	// AgeMicros is by how much the answer is dated before its question.
	AgeMicros int64
}

// RelayHandler serves a Replica to other instances. Now is the clock by which
// its updates are dated.
func RelayHandler(r *Replica, now func() int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked := now()
		if q.URL.Path != relayPath {
			http.NotFound(w, q)
			return
		}
		after, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		ms, err := strconv.ParseInt(q.URL.Query().Get("wait_ms"), 10, 64)
		if err != nil || ms < 0 {
			http.Error(w, "wait_ms is not a time", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(ms)*time.Millisecond, maxRelayWait)
		batch, age, err := r.Watch(q.Context(), asked, after, wait)
		switch {
		case errors.Is(err, ErrHistoryLost):
			http.Error(w, err.Error(), http.StatusGone)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A reader that has left gets no answer.
		_ = json.NewEncoder(w).Encode(relayAnswer{Batch: batch, AgeMicros: age.Microseconds()})
	})
}

// Relay reads from another instance.
type Relay struct {
	Address string
	Client  *http.Client
}

// List implements Source.
func (r *Relay) List(ctx context.Context) (Batch, error) { return r.get(ctx, 0, 0) }

// Watch implements Source. Its answers are dated earlier than they were asked
// for, by Batch.Age.
func (r *Relay) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	return r.get(ctx, after, wait)
}

func (r *Relay) get(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
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
		return Batch{}, ErrHistoryLost
	default:
		return Batch{}, errors.Newf("relay answered %d", response.StatusCode)
	}
	var answer relayAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Batch{}, errors.Wrap(err, "relay: answer")
	}
	answer.Batch.Age = time.Duration(answer.AgeMicros) * time.Microsecond
	return answer.Batch, nil
}
