package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/httphead"
)

const (
	valuesPath    = "/v1/values/"
	instancesPath = "/v1/instances"
	versionHeader = "X-Version"
)

// Options configures a Client. A zero field means its default.
type Options struct {
	// Address is the IP address and port of the platform.
	Address string
	// Wait is the maximum duration of a long poll, as requested by a watch;
	// jitter shortens it by up to half.
	Wait time.Duration
	// Slack is added to a call's wait to give its timeout.
	Slack time.Duration
	// MinInterval is the minimum time between two reads of a watch; changes
	// within it are read as one.
	MinInterval time.Duration
	// BackoffMin and BackoffMax bound the delay after a failure, before
	// jitter shortens it by up to half.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StaleReset is how long the platform must return versions below the
	// current one before a watch assumes that version numbers restarted.
	StaleReset time.Duration
	// Transport is used for the calls; nil means one that uses no proxy.
	Transport http.RoundTripper
	// Seed makes the jitter reproducible; zero means a random seed.
	Seed uint64
	// OnFailure, if set, is called after each failed read; err has the
	// details.
	OnFailure func(reason Reason, err error)
}

// Default values of Options.
const (
	DefaultWait        = 10 * time.Second
	DefaultSlack       = 3 * time.Second
	DefaultMinInterval = 200 * time.Millisecond
	DefaultBackoffMin  = 100 * time.Millisecond
	DefaultBackoffMax  = 5 * time.Second
	DefaultStaleReset  = time.Minute
)

func (o Options) withDefaults() Options {
	setDefault(&o.Wait, DefaultWait)
	setDefault(&o.Slack, DefaultSlack)
	setDefault(&o.MinInterval, DefaultMinInterval)
	setDefault(&o.BackoffMin, DefaultBackoffMin)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.StaleReset, DefaultStaleReset)
	setDefault(&o.Seed, rand.Uint64())
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client reads from one platform. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	stats   statsRecorder
}

// New returns a Client. It returns an error if the address is not an IP address
// with a port.
func New(options Options) (*Client, error) {
	if _, err := netip.ParseAddrPort(options.Address); err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	options = options.withDefaults()
	return &Client{
		options: options,
		http: &http.Client{
			Transport:     options.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		stats: newStatsRecorder(),
	}, nil
}

// Stats returns a snapshot of the client's counts.
func (c *Client) Stats() Stats { return c.stats.snapshot() }

// readResult is the result of one call. The call succeeded if reason is empty.
type readResult struct {
	version uint64
	// bytes is nil if there is no newer value.
	bytes  []byte
	reason Reason
	err    error
}

func failedRead(reason Reason, err error) readResult { return readResult{reason: reason, err: err} }

// read makes one call, with a timeout of wait plus the slack. If after is zero,
// it reads the current value; otherwise it polls for a version newer than after
// for up to wait.
func (c *Client) read(ctx context.Context, path string, after uint64, wait time.Duration) readResult {
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Slack)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.options.Address, Path: path}
	if after > 0 {
		target.RawQuery = fmt.Sprintf("after=%d&wait_ms=%d", after, wait.Milliseconds())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return failedRead(ReasonUnreachable, err)
	}
	c.stats.countCall()
	response, err := httphead.Do(c.http, request)
	if err != nil {
		return failedRead(callReason(ctx, err), err)
	}
	defer func() { _ = response.Body.Close() }()
	return c.readResponse(ctx, response, after)
}

func (c *Client) readResponse(ctx context.Context, response *http.Response, after uint64) readResult {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusTooManyRequests:
		return failedRead(ReasonRateLimited, errors.New("rate limit exceeded"))
	case http.StatusNotFound:
		return failedRead(ReasonNotFound, errors.New("no such key"))
	default:
		return failedRead(ReasonStatus, errors.Newf("status %d", response.StatusCode))
	}
	version, err := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	if err != nil || version == 0 {
		return failedRead(ReasonVersion, errors.Newf("invalid %s header %q", versionHeader, response.Header.Get(versionHeader)))
	}
	if response.StatusCode == http.StatusNotModified || version == after {
		return readResult{version: version}
	}
	if httphead.CloseDelimited(response) {
		return failedRead(ReasonProtocol, errors.New("value without a length"))
	}
	bytes, err := io.ReadAll(io.LimitReader(response.Body, declared.MaxValueBytes+1))
	c.stats.countBytes(len(bytes))
	switch {
	case err != nil:
		return failedRead(transportReason(ctx), err)
	case len(bytes) > declared.MaxValueBytes:
		r := failedRead(ReasonTooLarge, errors.Newf("value exceeds %d bytes", declared.MaxValueBytes))
		r.version = version
		return r
	}
	return readResult{version: version, bytes: bytes}
}

// callReason classifies the error of a call without a response.
func callReason(ctx context.Context, err error) Reason {
	if head := new(httphead.Error); errors.As(err, &head) {
		return ReasonProtocol
	}
	return transportReason(ctx)
}

func transportReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonUnreachable
}
