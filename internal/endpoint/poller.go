package endpoint

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of PollerConfig.
const (
	DefaultLoadInterval    = time.Second
	DefaultCacheInterval   = 2 * time.Second
	DefaultPollTimeout     = 2 * time.Second
	DefaultPollConcurrency = 64
)

// failingPart is the part of the concurrency that endpoints may use whose
// last poll failed.
const failingPart = 4

// Reports is what a Poller asks; *Client is one.
type Reports interface {
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// PollerConfig holds the pace of a Poller. A zero field means its default.
type PollerConfig struct {
	LoadInterval  time.Duration
	CacheInterval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
	// Concurrency bounds the polls at a time of endpoints whose last poll
	// went well; those whose last failed may use a quarter as many more, so
	// that they take none of the others' places.
	Concurrency int
}

// Poller fetches the load reports and cache events of a set of endpoints. It
// is a suture service. An endpoint has at most one poll of each kind under
// way, and is never delayed by another that stalls.
type Poller struct {
	reports Reports
	config  PollerConfig
	onLoad  func(name string, load Load, err error)
	onCache func(name string, events []CacheEvent)
	healthy chan struct{}
	failing chan struct{}
	workers workers

	mu      sync.Mutex
	targets map[string]string
}

// NewPoller returns a Poller that calls onLoad after each poll of a load
// report and onCache for new cache events. Both are called from several
// goroutines at once, and may be called once more for an endpoint that
// SetTargets is just removing.
func NewPoller(
	reports Reports,
	config PollerConfig,
	onLoad func(name string, load Load, err error),
	onCache func(name string, events []CacheEvent),
) *Poller {
	setDefault(&config.LoadInterval, DefaultLoadInterval)
	setDefault(&config.CacheInterval, DefaultCacheInterval)
	setDefault(&config.Timeout, DefaultPollTimeout)
	setDefault(&config.Concurrency, DefaultPollConcurrency)
	return &Poller{
		reports: reports,
		config:  config,
		onLoad:  onLoad,
		onCache: onCache,
		healthy: make(chan struct{}, config.Concurrency),
		failing: make(chan struct{}, max(1, config.Concurrency/failingPart)),
	}
}

// String names the service in its supervisor's log.
func (p *Poller) String() string { return "endpoint poller" }

// Serve polls until the context ends.
func (p *Poller) Serve(ctx context.Context) error { return p.workers.serve(ctx) }

// SetTargets replaces the endpoints to poll: names to addresses. Those that
// stay as they were are not disturbed.
func (p *Poller) SetTargets(targets map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.targets {
		if _, ok := targets[name]; !ok {
			p.workers.remove(name)
		}
	}
	kept := make(map[string]string, len(targets))
	for name, address := range targets {
		kept[name] = address
		if p.targets[name] != address {
			t := &target{poller: p, name: name, address: address}
			p.workers.set(name, t.run)
		}
	}
	p.targets = kept
}

// target is one polled endpoint.
type target struct {
	poller  *Poller
	name    string
	address string
	failed  atomic.Bool
	// started is the run that the last load report named.
	started atomic.Uint64
}

func (t *target) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { t.every(ctx, t.poller.config.LoadInterval, t.pollLoad) })
	var cache cacheCursor
	loops.Go(func() {
		t.every(ctx, t.poller.config.CacheInterval, func(ctx context.Context) { t.pollCache(ctx, &cache) })
	})
}

// every calls poll at the interval, with jitter. The first call comes after a
// random part of half the interval, so that endpoints are spread.
func (t *target) every(ctx context.Context, interval time.Duration, poll func(context.Context)) {
	wait := rand.N(interval/2 + 1)
	for sleep(ctx, wait) == nil {
		t.limited(ctx, poll)
		wait = jittered(interval)
	}
}

// limited calls poll with a timeout within the bounds of concurrency.
func (t *target) limited(ctx context.Context, poll func(context.Context)) {
	places := t.poller.healthy
	if t.failed.Load() {
		places = t.poller.failing
	}
	select {
	case places <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-places }()
	// A place may have come free at the moment of the end.
	if ctx.Err() == nil {
		poll(ctx)
	}
}

func (t *target) pollLoad(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, t.poller.config.Timeout)
	defer cancel()
	load, err := t.poller.reports.Load(bounded, t.address)
	if ctx.Err() != nil {
		return
	}
	t.failed.Store(err != nil)
	if err == nil {
		t.started.Store(load.Started)
	}
	t.poller.onLoad(t.name, load, err)
}

// cacheCursor is how far the cache events of one run of an engine were read.
type cacheCursor struct {
	started uint64
	after   uint64
	// absent is set where the endpoint has no cache events.
	absent bool
}

// pollCache fetches the events since the last poll. Its errors are not
// reported: events have gaps anyway, and the load report tells of failures.
func (t *target) pollCache(ctx context.Context, cursor *cacheCursor) {
	// A new run of the engine counts its events from the beginning.
	if started := t.started.Load(); started != cursor.started {
		*cursor = cacheCursor{started: started}
	}
	if cursor.absent || t.failed.Load() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, t.poller.config.Timeout)
	defer cancel()
	events, err := t.poller.reports.CacheEvents(bounded, t.address, cursor.after)
	if ctx.Err() != nil {
		return
	}
	if status := new(StatusError); errors.As(err, &status) {
		cursor.absent = status.Status == http.StatusNotFound || status.Status == http.StatusMethodNotAllowed
	}
	if events = cursor.advance(events); len(events) > 0 {
		t.poller.onCache(t.name, events)
	}
}

// advance drops the events that were read before.
func (c *cacheCursor) advance(events []CacheEvent) []CacheEvent {
	fresh := events[:0]
	last := c.after
	for _, e := range events {
		if e.Sequence > c.after {
			fresh = append(fresh, e)
			last = max(last, e.Sequence)
		}
	}
	c.after = last
	return fresh
}
