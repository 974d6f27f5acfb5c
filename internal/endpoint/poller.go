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

// failingDivisor sets the concurrency for endpoints whose last poll failed, as
// a fraction of PollerConfig.Concurrency.
const failingDivisor = 4

// ReportClient fetches load reports and cache events. *Client implements it.
type ReportClient interface {
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// PollerConfig holds the settings of a Poller. A zero field means its default.
type PollerConfig struct {
	LoadInterval  time.Duration
	CacheInterval time.Duration
	// Timeout limits one poll.
	Timeout time.Duration
	// Concurrency limits the concurrent polls of endpoints whose last poll
	// succeeded. Endpoints whose last poll failed share an additional quarter
	// of it, so that they take no slot of the others.
	Concurrency int
}

// Poller fetches the load reports and cache events of a set of endpoints. It is
// a suture service. Each endpoint has at most one poll of each kind in
// progress, and an endpoint that stalls does not delay the others.
type Poller struct {
	client       ReportClient
	config       PollerConfig
	onLoad       func(name string, load Load, err error)
	onCache      func(name string, events []CacheEvent)
	healthySlots chan struct{}
	failingSlots chan struct{}
	workers      workerGroup

	mu      sync.Mutex
	targets map[string]string
}

// NewPoller returns a Poller that calls onLoad after each poll of a load report
// and onCache for new cache events. Both are called from several goroutines
// concurrently, and may be called once more for an endpoint while SetTargets
// removes it.
func NewPoller(
	client ReportClient,
	config PollerConfig,
	onLoad func(name string, load Load, err error),
	onCache func(name string, events []CacheEvent),
) *Poller {
	setDefault(&config.LoadInterval, DefaultLoadInterval)
	setDefault(&config.CacheInterval, DefaultCacheInterval)
	setDefault(&config.Timeout, DefaultPollTimeout)
	setDefault(&config.Concurrency, DefaultPollConcurrency)
	return &Poller{
		client:       client,
		config:       config,
		onLoad:       onLoad,
		onCache:      onCache,
		healthySlots: make(chan struct{}, config.Concurrency),
		failingSlots: make(chan struct{}, max(1, config.Concurrency/failingDivisor)),
	}
}

// String names the service in its supervisor's log.
func (p *Poller) String() string { return "endpoint poller" }

// Serve polls until the context ends.
func (p *Poller) Serve(ctx context.Context) error { return p.workers.serve(ctx) }

// SetTargets replaces the endpoints to poll, a map of names to addresses.
// Polling of unchanged endpoints is not interrupted.
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
	poller         *Poller
	name           string
	address        string
	lastPollFailed atomic.Bool
	// started is the run of the endpoint given by the last load report.
	started atomic.Uint64
}

func (t *target) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { t.pollEvery(ctx, t.poller.config.LoadInterval, t.pollLoad) })
	var cache cacheCursor
	loops.Go(func() {
		t.pollEvery(ctx, t.poller.config.CacheInterval, func(ctx context.Context) { t.pollCache(ctx, &cache) })
	})
}

// pollEvery calls poll at the interval, with jitter. The first call comes after
// a random delay of up to half the interval, so that the polls of the endpoints
// are spread.
func (t *target) pollEvery(ctx context.Context, interval time.Duration, poll func(context.Context)) {
	wait := rand.N(interval/2 + 1)
	for sleep(ctx, wait) == nil {
		t.pollWithLimit(ctx, poll)
		wait = withJitter(interval)
	}
}

// pollWithLimit calls poll within the concurrency limits.
func (t *target) pollWithLimit(ctx context.Context, poll func(context.Context)) {
	slots := t.poller.healthySlots
	if t.lastPollFailed.Load() {
		slots = t.poller.failingSlots
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	// A slot may become free at the same time as the context ends.
	if ctx.Err() == nil {
		poll(ctx)
	}
}

func (t *target) pollLoad(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, t.poller.config.Timeout)
	defer cancel()
	load, err := t.poller.client.Load(bounded, t.address)
	if ctx.Err() != nil {
		return
	}
	t.lastPollFailed.Store(err != nil)
	if err == nil {
		t.started.Store(load.Started)
	}
	t.poller.onLoad(t.name, load, err)
}

// cacheCursor is the position up to which the cache events of one run of an
// engine were read.
type cacheCursor struct {
	started uint64
	after   uint64
	// unsupported is set if the endpoint has no cache events.
	unsupported bool
}

// pollCache fetches the cache events since the last poll. Errors are not
// reported: cache events may have gaps anyway, and the load report shows
// failures.
func (t *target) pollCache(ctx context.Context, cursor *cacheCursor) {
	// A new run of the engine numbers its events from the beginning.
	if started := t.started.Load(); started != cursor.started {
		*cursor = cacheCursor{started: started}
	}
	if cursor.unsupported || t.lastPollFailed.Load() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, t.poller.config.Timeout)
	defer cancel()
	events, err := t.poller.client.CacheEvents(bounded, t.address, cursor.after)
	if ctx.Err() != nil {
		return
	}
	if status := new(StatusError); errors.As(err, &status) {
		cursor.unsupported = status.Status == http.StatusNotFound || status.Status == http.StatusMethodNotAllowed
	}
	if events = cursor.advance(events); len(events) > 0 {
		t.poller.onCache(t.name, events)
	}
}

// advance drops the events that were read before and moves the cursor.
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
