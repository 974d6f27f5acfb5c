package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of a Watcher.
const (
	// watchWait is how long the platform may keep a poll waiting. It bounds the
	// age of what an instance believes, at the price of a call a second.
	watchWait = time.Second
	// answerSlack is added to a poll's own wait before it counts as lost: some
	// fifty times the platform's usual time to answer, and short of the
	// second that is left of the usual bound on applying a change (2 s).
	answerSlack = 600 * time.Millisecond
	// listTimeout bounds the reading of all pages.
	listTimeout = 3 * time.Second
	// firstBackoff and maxBackoff bound the pause after a failed read.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// Update is the outcome of one read.
type Update struct {
	// Asked is the moment at which the read began, by Config.Now: what the
	// platform acknowledged before it is contained in the answer.
	Asked int64
	// Whole says that Batch lists everything, rather than changes.
	Whole bool
	Batch Batch
	// Err is the failure of the read; Batch is then empty.
	Err error
}

// WatcherConfig describes a Watcher.
type WatcherConfig struct {
	Source Source
	// Now returns the time in nanoseconds by a clock that never steps.
	Now func() int64
	// Updated takes the outcome of each read.
	Updated func(Update)
}

// Watcher keeps a listing up to date. It is a suture service.
type Watcher struct {
	cfg      WatcherConfig
	listed   bool
	revision int64
	backoff  time.Duration
}

// NewWatcher returns a Watcher that reads nothing until Serve runs.
func NewWatcher(cfg WatcherConfig) *Watcher { return &Watcher{cfg: cfg} }

// Serve reads until ctx ends and returns its error.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		update := w.read(ctx)
		if ctx.Err() != nil {
			break
		}
		w.cfg.Updated(update)
		if update.Err != nil && !errors.Is(update.Err, ErrHistoryLost) {
			w.pause(ctx)
		}
	}
	return ctx.Err()
}

func (w *Watcher) read(ctx context.Context) Update {
	update := Update{Asked: w.cfg.Now(), Whole: !w.listed}
	if update.Whole {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		update.Batch, update.Err = w.cfg.Source.List(ctx)
	} else {
		ctx, cancel := context.WithTimeout(ctx, watchWait+answerSlack)
		defer cancel()
		update.Batch, update.Err = w.cfg.Source.Watch(ctx, w.revision, watchWait)
	}
	switch {
	case update.Err == nil:
		w.listed = true
		w.revision = update.Batch.Revision
		w.backoff = 0
	case errors.Is(update.Err, ErrHistoryLost):
		w.listed = false
	}
	return update
}

// pause waits longer after each failure in a row, with jitter, so that
// instances that lost the platform together do not return together.
func (w *Watcher) pause(ctx context.Context) {
	w.backoff = min(max(2*w.backoff, firstBackoff), maxBackoff)
	timer := time.NewTimer(w.backoff/2 + rand.N(w.backoff/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
