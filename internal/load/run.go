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
)

// DefaultMaxInFlight bounds the requests that wait at a time. One that arrives
// beyond it is not sent and counted: the load is then no longer open.
const DefaultMaxInFlight = 20000

// Runner sends a schedule.
type Runner struct {
	// Callers are the caller addresses of instances; they take turns.
	Callers []string
	// Transport carries the requests.
	Transport http.RoundTripper
	// Timeout bounds a request whose tier has no deadline; others get twice
	// their deadline, so that late answers are seen as late.
	Timeout time.Duration
	// MaxInFlight bounds the requests at a time; zero takes the default.
	MaxInFlight int
}

// NewTransport returns a transport for many callers.
func NewTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: DefaultMaxInFlight, DisableCompression: true}
}

// Run sends all requests of a schedule, waits for their ends and returns the
// report. It stops sending when ctx ends. It returns an error where there is
// nobody to send to.
func (r *Runner) Run(ctx context.Context, schedule *Schedule) (*Report, error) {
	if len(r.Callers) == 0 {
		return nil, errors.New("no caller address")
	}
	limit := r.MaxInFlight
	if limit == 0 {
		limit = DefaultMaxInFlight
	}
	slots := make(chan struct{}, limit)
	report := newReport(schedule.mix.tiers)
	var sending sync.WaitGroup
	defer sending.Wait()
	start := time.Now()
	for number := 0; ; number++ {
		request, ok := schedule.Next()
		if !ok || !sleepUntil(ctx, start.Add(request.At)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			report.skip()
			continue
		}
		address := r.Callers[number%len(r.Callers)]
		sending.Go(func() {
			defer func() { <-slots }()
			report.add(r.send(ctx, address, &request))
		})
	}
	sending.Wait()
	report.close(time.Since(start))
	return report, nil
}

// send makes one request and returns what came of it.
func (r *Runner) send(ctx context.Context, address string, request *Request) Outcome {
	o := Outcome{User: request.Chat.User, Tier: request.Tier, Ended: EndedFailed}
	timeout := r.Timeout
	if request.Deadline > 0 {
		timeout = 2 * request.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call, err := newCall(ctx, address, request)
	if err != nil {
		return o
	}
	sent := time.Now()
	response, err := r.Transport.RoundTrip(call)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		readAnswer(response, request, sent, &o)
	}
	if o.Ended != EndedWhole && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		o.Ended = EndedTimedOut
	}
	o.Elapsed = time.Since(sent)
	o.InTime = o.Ended == EndedWhole && (request.Deadline == 0 || o.Elapsed <= request.Deadline)
	return o
}

func newCall(ctx context.Context, address string, request *Request) (*http.Request, error) {
	body, err := json.Marshal(request.Chat)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without this, net/http may send the body again on its own.
	call.GetBody = nil
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+request.Key)
	call.Header.Set(caller.HeaderTier, request.Tier)
	return call, nil
}

// sleepUntil waits for a time and reports false where ctx ended first.
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
