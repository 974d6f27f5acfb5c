package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// workerGroup runs one goroutine per named job while serve runs.
type workerGroup struct {
	mu sync.Mutex
	// ctx is nil while serve does not run.
	ctx  context.Context
	jobs map[string]*job
	wg   sync.WaitGroup
}

type job struct {
	run    func(context.Context)
	cancel context.CancelFunc
}

// set adds or replaces the job with the given name.
func (w *workerGroup) set(name string, run func(context.Context)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(name)
	if w.jobs == nil {
		w.jobs = make(map[string]*job)
	}
	j := &job{run: run}
	w.jobs[name] = j
	w.startLocked(j)
}

func (w *workerGroup) remove(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(name)
}

func (w *workerGroup) removeLocked(name string) {
	if j := w.jobs[name]; j != nil && j.cancel != nil {
		j.cancel()
	}
	delete(w.jobs, name)
}

func (w *workerGroup) startLocked(j *job) {
	if w.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	j.cancel = cancel
	w.wg.Go(func() {
		defer cancel()
		j.run(ctx)
	})
}

// serve runs the jobs until the context ends, and returns when all have
// stopped.
func (w *workerGroup) serve(ctx context.Context) error {
	w.mu.Lock()
	w.ctx = ctx
	for _, j := range w.jobs {
		w.startLocked(j)
	}
	w.mu.Unlock()

	<-ctx.Done()
	w.mu.Lock()
	w.ctx = nil
	w.mu.Unlock()
	w.wg.Wait()
	return ctx.Err()
}

// jitterDivisor sets the jitter as a fraction of an interval.
const jitterDivisor = 10

// withJitter returns d, changed randomly by up to a tenth in either direction.
func withJitter(d time.Duration) time.Duration {
	spread := d / jitterDivisor
	return d - spread + rand.N(2*spread+1)
}
