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

// Limits of the answers to control calls.
const (
	maxLoadBytes        = 64 << 10
	maxCacheEventsBytes = 4 << 20
	maxOrderBytes       = 256 << 10
)

// ErrOldFencing means that the engine has obeyed an order with a higher
// fencing number and refused this one.
var ErrOldFencing = errors.New("engine refused an old fencing number")

// ErrTooLarge means that an answer is longer than its limit.
var ErrTooLarge = errors.New("answer is larger than its limit")

// StatusError is an answer with a status that the call doesn't expect.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered with status %d", e.Status)
}

// Load is an endpoint's report of itself.
type Load struct {
	Running int
	Waiting int
	// DecodeTokensPerSecond is the rate of the last interval; zero if idle.
	DecodeTokensPerSecond float64
	Leaving               bool
	// Started identifies the endpoint's own run.
	Started uint64
	// Age is the least age of the figures when the report arrived: the time
	// since they were measured, and the time that the report took.
	Age time.Duration
}

// CacheEvent says that an engine's prefix cache took up or dropped a prefix.
type CacheEvent struct {
	Sequence uint64
	// Prefix is the digest of a prompt's beginning.
	Prefix uint64
	Held   bool
}

// Order tells an engine what to serve.
type Order struct {
	// Fencing orders the orders; engines that check refuse an old one.
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// number is an unsigned integer that peers write as a JSON number or as a
// string. A string that is not decimal stands for its hash.
type number uint64

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(b []byte) error {
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
	*n = number(value)
	return nil
}

type wireLoad struct {
	Running               int     `json:"running"`
	Waiting               int     `json:"waiting"`
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second"`
	Leaving               bool    `json:"leaving"`
	Started               number  `json:"started"`
	MeasuredMSAgo         float64 `json:"measured_ms_ago"`
}

type wireCacheEvent struct {
	Sequence number `json:"sequence"`
	Prefix   number `json:"prefix"`
	Held     bool   `json:"held"`
}

// Resume asks an engine for the rest of the answer to the request id, from
// behind the first offset events. An answer other than 200 is a *StatusError.
func (c *Client) Resume(ctx context.Context, address, id string, offset int) (*Answer, error) {
	path := "/v1/requests/" + url.PathEscape(id) + "/stream?offset=" + strconv.Itoa(offset)
	answer, err := c.read(ctx, address, Call{Method: http.MethodGet, Path: path, ID: id})
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		_ = answer.Body.Close()
		return nil, &StatusError{Status: answer.Status}
	}
	return answer, nil
}

// Cancel stops the run of the request id at an engine. A run that the engine
// doesn't know is not an error: it has stopped.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	path := "/v1/requests/" + url.PathEscape(id)
	answer, err := c.read(ctx, address, Call{Method: http.MethodDelete, Path: path, ID: id})
	if err != nil {
		return err
	}
	discardBody(answer)
	switch answer.Status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent, http.StatusNotFound, http.StatusGone:
		return nil
	}
	return &StatusError{Status: answer.Status}
}

// Load fetches an endpoint's report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var wire wireLoad
	asked := boottime.Now()
	if err := c.getJSON(ctx, address, "/v1/load", maxLoadBytes, &wire); err != nil {
		return Load{}, err
	}
	if wire.Running < 0 || wire.Waiting < 0 || wire.DecodeTokensPerSecond < 0 {
		return Load{}, errors.Wrap(ErrProtocol, "load report has a negative figure")
	}
	return Load{
		Running:               wire.Running,
		Waiting:               wire.Waiting,
		DecodeTokensPerSecond: wire.DecodeTokensPerSecond,
		Leaving:               wire.Leaving,
		Started:               uint64(wire.Started),
		Age:                   reportAge(wire.MeasuredMSAgo, time.Duration(boottime.Now()-asked)),
	}, nil
}

// maxReportAge bounds the age that a report may claim.
const maxReportAge = time.Hour

// reportAge adds the whole exchange's time to the age that the report states:
// the endpoint may have written the report at the exchange's beginning.
func reportAge(measuredMSAgo float64, exchange time.Duration) time.Duration {
	stated := min(max(measuredMSAgo, 0), float64(maxReportAge.Milliseconds()))
	return time.Duration(stated*float64(time.Millisecond)) + exchange
}

// CacheEvents fetches the events with a sequence above after. Some may be
// missing; those that came are in the order in which the engine sent them.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var wire []wireCacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, address, path, maxCacheEventsBytes, &wire); err != nil {
		return nil, err
	}
	events := make([]CacheEvent, 0, len(wire))
	for _, e := range wire {
		events = append(events, CacheEvent{Sequence: uint64(e.Sequence), Prefix: uint64(e.Prefix), Held: e.Held})
	}
	return events, nil
}

// GiveOrder sends an order once. ErrOldFencing means that the engine knows a
// newer one. After any other error the order may have been obeyed.
func (c *Client) GiveOrder(ctx context.Context, address string, order Order) error {
	return c.GiveOrderIf(ctx, address, order, nil)
}

// GiveOrderIf is GiveOrder with a Guard: where it returns false, nothing is
// sent and the error is ErrWithheld.
func (c *Client) GiveOrderIf(ctx context.Context, address string, order Order, guard func() bool) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encoding order")
	}
	conn, err := c.Connect(ctx, address)
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
	discardBody(answer)
	switch answer.Status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrOldFencing
	}
	return &StatusError{Status: answer.Status}
}

// ReadOrder fetches the order that an engine obeys.
func (c *Client) ReadOrder(ctx context.Context, address string) (Order, error) {
	var order Order
	err := c.getJSON(ctx, address, "/v1/orders", maxOrderBytes, &order)
	return order, err
}

// read sends a call that may be repeated. Where a connection from the pool
// proves dead it tries once more on another.
func (c *Client) read(ctx context.Context, address string, call Call) (*Answer, error) {
	conn, err := c.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := conn.Send(ctx, call)
	if err == nil || !conn.reused || ctx.Err() != nil || errors.Is(err, ErrCrossed) {
		return answer, err
	}
	if conn, err = c.connectFresh(ctx, address); err != nil {
		return nil, err
	}
	return conn.Send(ctx, call)
}

func (c *Client) getJSON(ctx context.Context, address, path string, limit int64, into any) error {
	answer, err := c.read(ctx, address, Call{Method: http.MethodGet, Path: path})
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
		return ErrTooLarge
	}
	if err := json.Unmarshal(body.Bytes(), into); err != nil {
		return because(ErrProtocol, errors.Wrapf(err, "reading the answer to %s", path))
	}
	return nil
}

// discardBody reads a short body to its end, so that its connection is kept.
func discardBody(answer *Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainBytes)
	_ = answer.Body.Close()
}
