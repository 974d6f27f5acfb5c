package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// workers runs one goroutine for each name while it serves.
type workers struct {
	mu sync.Mutex
	// ctx is nil while the workers don't serve.
	ctx  context.Context
	jobs map[string]*job
	done sync.WaitGroup
}

type job struct {
	run    func(context.Context)
	cancel context.CancelFunc
}

// set replaces the job of that name.
func (w *workers) set(name string, run func(context.Context)) {
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

func (w *workers) remove(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(name)
}

func (w *workers) removeLocked(name string) {
	if j := w.jobs[name]; j != nil && j.cancel != nil {
		j.cancel()
	}
	delete(w.jobs, name)
}

func (w *workers) startLocked(j *job) {
	if w.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	j.cancel = cancel
	w.done.Go(func() {
		defer cancel()
		j.run(ctx)
	})
}

// serve runs the jobs until the context ends, and returns when all have
// ended.
func (w *workers) serve(ctx context.Context) error {
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
	w.done.Wait()
	return ctx.Err()
}

// jitterPart is the part of an interval by which it is varied.
const jitterPart = 10

// jittered returns d varied by a tenth of it either way.
func jittered(d time.Duration) time.Duration {
	spread := d / jitterPart
	return d - spread + rand.N(2*spread+1)
}
