package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/caller"
	"github.com/balsamstair/balsamstair/internal/httphead"
)

// DefaultMaxInFlight limits the concurrent requests. A request that arrives
// above the limit is not sent but counted as skipped: the load is then no longer
// open-loop.
const DefaultMaxInFlight = 20000

// Runner sends a schedule.
type Runner struct {
	// Addresses are the caller addresses of instances. Requests go to them in
	// turn.
	Addresses []string
	// Transport sends the requests.
	Transport http.RoundTripper
	// Timeout limits a request whose tier has no deadline. Other requests have
	// a timeout of twice their deadline, so that late answers are counted as
	// late.
	Timeout time.Duration
	// MaxInFlight limits the concurrent requests. Zero means
	// DefaultMaxInFlight.
	MaxInFlight int
}

// NewTransport returns a transport for many concurrent requests.
func NewTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: DefaultMaxInFlight, DisableCompression: true}
}

// Run sends all requests of a schedule, waits until they end and returns the
// report. It stops sending when ctx ends. It returns an error if Addresses is
// empty.
func (r *Runner) Run(ctx context.Context, schedule *Schedule) (*Report, error) {
	if len(r.Addresses) == 0 {
		return nil, errors.New("no caller address")
	}
	limit := r.MaxInFlight
	if limit == 0 {
		limit = DefaultMaxInFlight
	}
	slots := make(chan struct{}, limit)
	report := newReport(schedule.mix.tiers)
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	for number := 0; ; number++ {
		request, ok := schedule.Next()
		if !ok || !sleepUntil(ctx, start.Add(request.At)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			report.countSkipped()
			continue
		}
		address := r.Addresses[number%len(r.Addresses)]
		requests.Go(func() {
			defer func() { <-slots }()
			report.add(r.send(ctx, address, &request))
		})
	}
	requests.Wait()
	report.close(time.Since(start))
	return report, nil
}

// send sends one request and returns its outcome.
func (r *Runner) send(ctx context.Context, address string, request *Request) Outcome {
	o := Outcome{User: request.Chat.User, Tier: request.Tier, Ended: EndedFailed}
	timeout := r.Timeout
	if request.Deadline > 0 {
		timeout = 2 * request.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := newHTTPRequest(ctx, address, request)
	if err != nil {
		return o
	}
	sent := time.Now()
	response, err := httphead.RoundTrip(r.Transport, httpRequest)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		readAnswer(response, request, sent, &o)
	}
	if o.Ended != EndedComplete && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		o.Ended = EndedTimedOut
	}
	o.Elapsed = time.Since(sent)
	o.InTime = o.Ended == EndedComplete && (request.Deadline == 0 || o.Elapsed <= request.Deadline)
	return o
}

func newHTTPRequest(ctx context.Context, address string, request *Request) (*http.Request, error) {
	body, err := json.Marshal(request.Chat)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, net/http may retry the request and send the body again.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Authorization", "Bearer "+request.Key)
	httpRequest.Header.Set(caller.HeaderTier, request.Tier)
	return httpRequest, nil
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
