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
)

const (
	valuesPath    = "/v1/values/"
	instancesPath = "/v1/instances"
	versionHeader = "X-Version"
)

// Options set up a Client. The zero value of a field takes its default.
type Options struct {
	// Address is the IP number and port of the platform.
	Address string
	// Wait is the longest time for which a watch asks the platform to hold a
	// call; jitter shortens it by up to a half.
	Wait time.Duration
	// Slack is how long after the end of its wait a call may last.
	Slack time.Duration
	// MinInterval is the least time between two reads of changes; changes
	// within it are read as one.
	MinInterval time.Duration
	// BackoffMin and BackoffMax bound the pause after a failure.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StaleReset is how long the platform must answer with versions below
	// the one held until its versions are taken as numbered anew.
	StaleReset time.Duration
	// Transport carries the calls; nil makes one that uses no proxy.
	Transport http.RoundTripper
	// Seed makes the jitter repeatable; zero draws it.
	Seed uint64
	// OnFailure, if set, is told of each failed call; err says more.
	OnFailure func(reason Reason, err error)
}

// The defaults of Options.
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

// Client reads one platform. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	stats   statsKeeper
}

// New returns a client. It returns an error where the address is not an IP
// number with a port.
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
		stats: newStatsKeeper(),
	}, nil
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats { return c.stats.snapshot() }

// reading is the outcome of one call. Where failed is empty it is good.
type reading struct {
	version uint64
	// bytes is nil where nothing newer was there.
	bytes  []byte
	failed Reason
	err    error
}

func failure(reason Reason, err error) reading { return reading{failed: reason, err: err} }

// read makes one call, which lasts at most wait and the slack. A version of
// zero reads what there is.
func (c *Client) read(ctx context.Context, path string, after uint64, wait time.Duration) reading {
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Slack)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.options.Address, Path: path}
	if after > 0 {
		target.RawQuery = fmt.Sprintf("after=%d&wait_ms=%d", after, wait.Milliseconds())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return failure(ReasonUnreachable, err)
	}
	c.stats.call()
	response, err := c.http.Do(request)
	if err != nil {
		return failure(transportReason(ctx), err)
	}
	defer func() { _ = response.Body.Close() }()
	return c.readResponse(ctx, response, after)
}

func (c *Client) readResponse(ctx context.Context, response *http.Response, after uint64) reading {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusTooManyRequests:
		return failure(ReasonRateLimited, errors.New("too many reads"))
	case http.StatusNotFound:
		return failure(ReasonNotFound, errors.New("no such key"))
	default:
		return failure(ReasonStatus, errors.Newf("status %d", response.StatusCode))
	}
	version, err := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	if err != nil || version == 0 {
		return failure(ReasonVersion, errors.Newf("%s %q", versionHeader, response.Header.Get(versionHeader)))
	}
	if response.StatusCode == http.StatusNotModified || version == after {
		return reading{version: version}
	}
	bytes, err := io.ReadAll(io.LimitReader(response.Body, declared.MaxValueBytes+1))
	c.stats.bytes(len(bytes))
	switch {
	case err != nil:
		return failure(transportReason(ctx), err)
	case len(bytes) > declared.MaxValueBytes:
		r := failure(ReasonTooLarge, errors.Newf("a value above %d bytes", declared.MaxValueBytes))
		r.version = version
		return r
	}
	return reading{version: version, bytes: bytes}
}

func transportReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonUnreachable
}
