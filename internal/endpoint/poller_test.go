package endpoint

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fakeReportClient returns reports depending on the address and counts the
// polls by address. The address "stalled" blocks until the context ends.
type fakeReportClient struct {
	mu         sync.Mutex
	polls      map[string]int
	running    int
	maxRunning int
	started    uint64
	afterArgs  []uint64
}

func (f *fakeReportClient) Load(ctx context.Context, address string) (Load, error) {
	f.mu.Lock()
	f.polls[address]++
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	started := f.started
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running--
		f.mu.Unlock()
	}()
	if address == "stalled" {
		<-ctx.Done()
		return Load{}, ctx.Err()
	}
	return Load{Started: started}, sleep(ctx, 10*time.Millisecond)
}

func (f *fakeReportClient) CacheEvents(_ context.Context, address string, after uint64) ([]CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "service" {
		f.polls["service cache"]++
		return nil, &StatusError{404}
	}
	f.afterArgs = append(f.afterArgs, after)
	// Event 3 is missing, and event 2 is always repeated.
	return []CacheEvent{{Sequence: 2}, {Sequence: after + 2}}, nil
}

// resetPolls returns the counts and restarts counting.
func (f *fakeReportClient) resetPolls() (polls map[string]int, maxRunning int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls = f.polls
	f.polls = make(map[string]int)
	return polls, f.maxRunning
}

func servePoller(poller *Poller) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- poller.Serve(ctx) }()
	return sync.OnceFunc(func() { cancel(); <-ended })
}

func TestStalledEndpointsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeReportClient{polls: make(map[string]int)}
		var failures sync.Map
		poller := NewPoller(fake, PollerConfig{Concurrency: 4}, func(name string, _ Load, err error) {
			if err != nil {
				failures.Store(name, true)
			}
		}, func(string, []CacheEvent) {})
		poller.SetTargets(map[string]string{"a": "good", "b": "stalled", "c": "stalled", "d": "stalled", "e": "stalled"})
		stop := servePoller(poller)
		defer stop()
		time.Sleep(100 * time.Second)

		polls, maxRunning := fake.resetPolls()
		must.Greater(t, 85, polls["good"])
		must.LessEq(t, 5, maxRunning)
		for name, fails := range map[string]bool{"a": false, "b": true, "c": true, "d": true, "e": true} {
			_, failed := failures.Load(name)
			must.Eq(t, fails, failed)
		}

		poller.SetTargets(map[string]string{"a": "good", "f": "new"})
		synctest.Wait()
		fake.resetPolls()
		time.Sleep(10 * time.Second)
		polls, _ = fake.resetPolls()
		must.MapLen(t, 2, polls)
		must.Greater(t, 7, polls["new"])
	})
}

func TestCacheEventsAreDeliveredOnceAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeReportClient{polls: make(map[string]int), started: 1}
		var got []uint64
		poller := NewPoller(fake, PollerConfig{}, func(string, Load, error) {}, func(_ string, events []CacheEvent) {
			for _, e := range events {
				got = append(got, e.Sequence)
			}
		})
		poller.SetTargets(map[string]string{"a": "engine", "b": "service"})
		stop := servePoller(poller)
		defer stop()
		time.Sleep(20 * time.Second)
		fake.mu.Lock()
		fake.started = 2
		fake.mu.Unlock()
		polls, _ := fake.resetPolls()
		must.LessEq(t, 2, polls["service cache"])
		time.Sleep(20 * time.Second)
		stop()

		restarts, seen := 0, make(map[uint64]int)
		for _, after := range fake.afterArgs {
			if after == 0 {
				restarts++
			}
		}
		for _, sequence := range got {
			seen[sequence]++
		}
		// The first poll may come before the run of the engine is known.
		must.Between(t, 2, restarts, 3)
		must.LessEq(t, 2*restarts, seen[2])
		must.Eq(t, 2, seen[4])
	})
}
