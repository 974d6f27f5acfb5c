package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of a Watcher.
const (
	// watchWait is how long the platform may keep a poll waiting. It bounds the
	// age of what an instance believes, at the price of a call a second.
	watchWait = time.Second
	// relayedWait replaces watchWait at an instance from which others read: what
	// they believe is older by up to as much again.
	relayedWait = 500 * time.Millisecond
	// relayWait is how long another instance may keep a poll waiting: two of
	// its own reads, the second of which began after the poll.
	relayWait = 2*relayedWait + 200*time.Millisecond
	// maxRelayAge is the age of another instance's answers from which on it
	// counts as cut off from the platform, distrustTime how long the platform
	// is then read itself.
	maxRelayAge  = 1500 * time.Millisecond
	distrustTime = 3 * time.Second
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
	// Asked is the moment from which the answer is dated, by Config.Now: what
	// the platform acknowledged before it is contained in the answer. It is the
	// beginning of the read, or earlier where another instance answered.
	Asked int64
	// From names the instance that answered; it is empty for the platform.
	From string
	// Whole says that Batch lists everything, rather than changes.
	Whole bool
	Batch Batch
	// Err is the failure of the read; Batch is then empty.
	Err error
}

// Plan says from whom an instance reads.
type Plan struct {
	// Relay is the address of the instance to read from; empty means the
	// platform.
	Relay string
	// Relayed says that other instances read from this one.
	Relayed bool
	// Backups are the addresses of instances to read from, in turn, while the
	// platform can't be read; empty ones are passed over.
	Backups [2]string
}

// backup returns the nth backup, counted round.
func (p Plan) backup(n int) string {
	if first := p.Backups[n%len(p.Backups)]; first != "" {
		return first
	}
	return p.Backups[(n+1)%len(p.Backups)]
}

// WatcherConfig describes a Watcher.
type WatcherConfig struct {
	// Source is the platform.
	Source Source
	// Plan says from whom to read; nil means always from the platform.
	Plan func() Plan
	// RelayClient makes the calls to other instances.
	RelayClient *http.Client
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
	// distrustUntil is the time up to which the platform is read itself, since
	// a relay failed or was behind.
	distrustUntil int64
	// avoidUntil is the time up to which backups are read, since the platform
	// could not be. tried counts the backups that failed.
	avoidUntil int64
	tried      int
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
		if update.Err != nil && update.From == "" && !errors.Is(update.Err, ErrHistoryLost) {
			w.pause(ctx)
		}
	}
	return ctx.Err()
}

// source chooses where to read, and how long a poll may wait there.
func (w *Watcher) source() (source Source, from string, wait time.Duration) {
	plan := Plan{}
	if w.cfg.Plan != nil {
		plan = w.cfg.Plan()
	}
	switch {
	case plan.Relay != "" && w.cfg.Now() >= w.distrustUntil:
		return &Relay{Address: plan.Relay, Client: w.cfg.RelayClient}, plan.Relay, relayWait
	case plan.backup(w.tried) != "" && w.cfg.Now() < w.avoidUntil:
		address := plan.backup(w.tried)
		return &Relay{Address: address, Client: w.cfg.RelayClient}, address, relayWait
	case plan.Relayed:
		return w.cfg.Source, "", relayedWait
	default:
		return w.cfg.Source, "", watchWait
	}
}

func (w *Watcher) read(ctx context.Context) Update {
	source, from, wait := w.source()
	update := Update{Asked: w.cfg.Now(), Whole: !w.listed, From: from}
	if update.Whole {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		update.Batch, update.Err = source.List(ctx)
	} else {
		ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
		defer cancel()
		update.Batch, update.Err = source.Watch(ctx, w.revision, wait)
	}
	update.Asked -= int64(update.Batch.Age)
	w.judge(update)
	switch {
	case update.Err == nil:
		w.listed = true
		w.revision = max(w.revision, update.Batch.Revision)
		w.backoff = 0
	case errors.Is(update.Err, ErrHistoryLost):
		w.listed = false
	}
	return update
}

// judge decides where to read next after a read that failed or is outdated: at
// the platform itself where a relay failed, at a backup where the platform did.
func (w *Watcher) judge(u Update) {
	failed := u.Err != nil && !errors.Is(u.Err, ErrHistoryLost)
	switch {
	case u.From == "" && failed:
		w.avoidUntil = w.cfg.Now() + int64(distrustTime)
	case u.From != "" && (u.Err != nil || u.Batch.Age > maxRelayAge):
		w.distrustUntil = w.cfg.Now() + int64(distrustTime)
		w.avoidUntil = 0
		w.tried++
	}
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
