package endpoint

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fakeReports answers by address; "stalled" never answers. It counts the
// polls by address.
type fakeReports struct {
	mu      sync.Mutex
	polls   map[string]int
	running int
	most    int
	started uint64
	after   []uint64
}

func (f *fakeReports) Load(ctx context.Context, address string) (Load, error) {
	f.mu.Lock()
	f.polls[address]++
	f.running++
	f.most = max(f.most, f.running)
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

func (f *fakeReports) CacheEvents(_ context.Context, address string, after uint64) ([]CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "service" {
		f.polls["service cache"]++
		return nil, &StatusError{404}
	}
	f.after = append(f.after, after)
	// Event 3 is missing, and event 2 always comes again.
	return []CacheEvent{{Sequence: 2}, {Sequence: after + 2}}, nil
}

// reset returns the counts and begins new ones.
func (f *fakeReports) reset() (polls map[string]int, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls = f.polls
	f.polls = make(map[string]int)
	return polls, f.most
}

func servePoller(poller *Poller) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- poller.Serve(ctx) }()
	return sync.OnceFunc(func() { cancel(); <-ended })
}

func TestStalledEndpointsDelayNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeReports{polls: make(map[string]int)}
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

		polls, most := fake.reset()
		must.Greater(t, 85, polls["good"])
		must.LessEq(t, 5, most)
		for name, fails := range map[string]bool{"a": false, "b": true, "c": true, "d": true, "e": true} {
			_, failed := failures.Load(name)
			must.Eq(t, fails, failed)
		}

		poller.SetTargets(map[string]string{"a": "good", "f": "new"})
		synctest.Wait()
		fake.reset()
		time.Sleep(10 * time.Second)
		polls, _ = fake.reset()
		must.MapLen(t, 2, polls)
		must.Greater(t, 7, polls["new"])
	})
}

func TestCacheEventsComeOnceAndFollowTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeReports{polls: make(map[string]int), started: 1}
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
		polls, _ := fake.reset()
		must.LessEq(t, 2, polls["service cache"])
		time.Sleep(20 * time.Second)
		stop()

		restarts, seen := 0, make(map[uint64]int)
		for _, after := range fake.after {
			if after == 0 {
				restarts++
			}
		}
		for _, sequence := range got {
			seen[sequence]++
		}
		// The first poll may come before the run is known.
		must.Between(t, 2, restarts, 3)
		must.LessEq(t, 2*restarts, seen[2])
		must.Eq(t, 2, seen[4])
	})
}
