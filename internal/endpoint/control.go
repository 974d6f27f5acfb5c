package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Size limits of the answers to control calls.
const (
	maxLoadBytes        = 64 << 10
	maxCacheEventsBytes = 4 << 20
	maxOrderBytes       = 256 << 10
)

// ErrStaleFencing means that the engine rejected the order because it has
// accepted one with a higher fencing number.
var ErrStaleFencing = errors.New("engine rejected a stale fencing number")

// ErrAnswerTooLarge means that an answer exceeds its size limit.
var ErrAnswerTooLarge = errors.New("answer exceeds its size limit")

// StatusError reports an unexpected status code of an answer.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint returned status %d", e.Status)
}

// Load is the load report of an endpoint.
type Load struct {
	Running int
	Waiting int
	// DecodeTokensPerSecond is the rate over the last interval; zero if the
	// endpoint was idle.
	DecodeTokensPerSecond float64
	Leaving               bool
	// Started identifies the run of the endpoint's process; it changes with
	// each restart.
	Started uint64
	// Age is the age to assume for the measurements when the report arrived:
	// the time since they were taken plus the duration of the exchange.
	Age time.Duration
}

// CacheEvent reports that an engine added a prefix to its prefix cache or
// evicted it.
type CacheEvent struct {
	Sequence uint64
	// Prefix is the digest of the beginning of a prompt.
	Prefix uint64
	Cached bool
}

// Order specifies the models that an engine is to serve.
type Order struct {
	// Fencing is the fencing number of the order. Engines that check it reject
	// an order with a lower number than the last one they accepted.
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// jsonUint is an unsigned integer that peers encode as a JSON number or as a
// string. A string that is not a decimal number is represented by its hash.
type jsonUint uint64

// UnmarshalJSON implements json.Unmarshaler.
func (n *jsonUint) UnmarshalJSON(b []byte) error {
	text := string(b)
	if len(b) > 0 && b[0] == '"' {
		if err := json.Unmarshal(b, &text); err != nil {
			return err
		}
	} else if text == "null" {
		return nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		if b[0] != '"' {
			return errors.Newf("%s is not an unsigned integer", text)
		}
		value = xxhash.Sum64String(text)
	}
	*n = jsonUint(value)
	return nil
}

type wireLoad struct {
	Running               int      `json:"running"`
	Waiting               int      `json:"waiting"`
	DecodeTokensPerSecond float64  `json:"decode_tokens_per_second"`
	Leaving               bool     `json:"leaving"`
	Started               jsonUint `json:"started"`
	MeasuredMSAgo         float64  `json:"measured_ms_ago"`
}

type wireCacheEvent struct {
	Sequence jsonUint `json:"sequence"`
	Prefix   jsonUint `json:"prefix"`
	Held     bool     `json:"held"`
}

// Resume requests the rest of the answer to the request with the given ID,
// without its first offset events. A status other than 200 is returned as a
// *StatusError.
func (c *Client) Resume(ctx context.Context, address, id string, offset int) (*Answer, error) {
	path := "/v1/requests/" + url.PathEscape(id) + "/stream?offset=" + strconv.Itoa(offset)
	answer, err := c.sendIdempotent(ctx, address, Call{Method: http.MethodGet, Path: path, ID: id})
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		_ = answer.Body.Close()
		return nil, &StatusError{Status: answer.Status}
	}
	return answer, nil
}

// Cancel cancels the run of the request with the given ID at an engine. It is
// not an error if the engine does not know the run: then the run has ended.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	path := "/v1/requests/" + url.PathEscape(id)
	answer, err := c.sendIdempotent(ctx, address, Call{Method: http.MethodDelete, Path: path, ID: id})
	if err != nil {
		return err
	}
	drainBody(answer)
	switch answer.Status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent, http.StatusNotFound, http.StatusGone:
		return nil
	}
	return &StatusError{Status: answer.Status}
}

// Load fetches the load report of an endpoint.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var wire wireLoad
	sentAt := boottime.Now()
	if err := c.getJSON(ctx, address, "/v1/load", maxLoadBytes, &wire); err != nil {
		return Load{}, err
	}
	if wire.Running < 0 || wire.Waiting < 0 || wire.DecodeTokensPerSecond < 0 {
		return Load{}, errors.Wrap(ErrProtocol, "load report has a negative value")
	}
	return Load{
		Running:               wire.Running,
		Waiting:               wire.Waiting,
		DecodeTokensPerSecond: wire.DecodeTokensPerSecond,
		Leaving:               wire.Leaving,
		Started:               uint64(wire.Started),
		Age:                   reportAge(wire.MeasuredMSAgo, time.Duration(boottime.Now()-sentAt)),
	}, nil
}

// maxReportAge caps the age that a report may state.
const maxReportAge = time.Hour

// reportAge adds the duration of the whole exchange to the age that the report
// states, because the endpoint may have produced the report at the start of the
// exchange.
func reportAge(measuredMSAgo float64, exchange time.Duration) time.Duration {
	reported := min(max(measuredMSAgo, 0), float64(maxReportAge.Milliseconds()))
	return time.Duration(reported*float64(time.Millisecond)) + exchange
}

// CacheEvents fetches the events with a sequence number above after. Some
// events may be missing; the rest are in the order in which the engine sent
// them.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var wire []wireCacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, address, path, maxCacheEventsBytes, &wire); err != nil {
		return nil, err
	}
	events := make([]CacheEvent, 0, len(wire))
	for _, e := range wire {
		events = append(events, CacheEvent{Sequence: uint64(e.Sequence), Prefix: uint64(e.Prefix), Cached: e.Held})
	}
	return events, nil
}

// SendOrder sends an order once, on a new connection: its answer carries no ID, and that of
// another call would be taken for a confirmation. ErrStaleFencing means that the engine has
// accepted a newer order. After any other error the engine may have applied the
// order.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	return c.SendOrderIf(ctx, address, order, nil)
}

// SendOrderIf is SendOrder with a Guard: if guard returns false, nothing is
// sent and the error is ErrWithheld.
func (c *Client) SendOrderIf(ctx context.Context, address string, order Order, guard func() bool) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encoding order")
	}
	conn, err := c.ConnectNew(ctx, address)
	if err != nil {
		return err
	}
	answer, err := conn.Send(ctx, Call{
		Method: http.MethodPost,
		Path:   "/v1/orders",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
		Guard:  guard,
	})
	if err != nil {
		return err
	}
	drainBody(answer)
	switch answer.Status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrStaleFencing
	}
	return &StatusError{Status: answer.Status}
}

// ReadOrder fetches the order that an engine currently applies.
func (c *Client) ReadOrder(ctx context.Context, address string) (Order, error) {
	var order Order
	err := c.getJSON(ctx, address, "/v1/orders", maxOrderBytes, &order)
	return order, err
}

// sendIdempotent sends a call that is safe to repeat. If it fails on a reused
// connection, it is sent once more on a new connection.
func (c *Client) sendIdempotent(ctx context.Context, address string, call Call) (*Answer, error) {
	conn, err := c.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := conn.Send(ctx, call)
	if err == nil || !conn.reused || ctx.Err() != nil {
		return answer, err
	}
	if conn, err = c.dial(ctx, address); err != nil {
		return nil, err
	}
	return conn.Send(ctx, call)
}

func (c *Client) getJSON(ctx context.Context, address, path string, limit int64, into any) error {
	answer, err := c.sendIdempotent(ctx, address, Call{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		return &StatusError{Status: answer.Status}
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(answer.Body, limit+1)); err != nil {
		return err
	}
	if int64(body.Len()) > limit {
		return ErrAnswerTooLarge
	}
	if err := json.Unmarshal(body.Bytes(), into); err != nil {
		return wrapCause(ErrProtocol, errors.Wrapf(err, "reading the answer to %s", path))
	}
	return nil
}

// drainBody reads a short body to its end so that its connection can be reused.
func drainBody(answer *Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainBytes)
	_ = answer.Body.Close()
}
