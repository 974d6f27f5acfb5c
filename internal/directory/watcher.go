package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Timing of a Watcher.
const (
	// platformPollWait is how long the platform may hold a poll open. It
	// bounds the age of an instance's data, at the cost of one call a second.
	platformPollWait = time.Second
	// relayPlatformPollWait replaces platformPollWait on an instance that is a
	// relay: data read through it is older by up to the same time again.
	relayPlatformPollWait = 500 * time.Millisecond
	// relayPollWait is how long a relay may hold a poll open: two of its own
	// reads, the second of which began after the poll.
	relayPollWait = 2*relayPlatformPollWait + 200*time.Millisecond
	// maxRelayAge is the age of a relay's data above which the relay is
	// considered cut off from the platform. sourceCooldown is how long a
	// failed or outdated source is bypassed: the platform is then read
	// directly instead of the relay, or backups instead of the platform.
	maxRelayAge    = 1500 * time.Millisecond
	sourceCooldown = 3 * time.Second
	// pollTimeoutSlack is added to the wait of a poll to get its timeout. It
	// is some fifty times the platform's usual response time, and less than
	// the second that remains of the usual bound on applying a change (2 s).
	pollTimeoutSlack = 600 * time.Millisecond
	// listTimeout bounds a full listing, all pages included.
	listTimeout = 3 * time.Second
	// initialBackoff and maxBackoff bound the delay after a failed read.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Update is the result of one read.
type Update struct {
	// ReadAt is the time, by WatcherConfig.Now, as of which the data is
	// current: it contains every change that the platform acknowledged before
	// then. It is the time at which the read began, or an earlier one if a
	// relay served it.
	ReadAt int64
	// From is the address of the instance that served the read. It is empty
	// for the platform.
	From string
	// Full is set if Batch is a full listing rather than a set of changes.
	Full bool
	// NewHistory is set on the first listing after the platform has come back
	// from a copy: what was read before may be missing in it, and what was
	// removed before may be back.
	NewHistory bool
	Batch      Batch
	// Err is the error of a failed read; Batch is then empty.
	Err error
}

// ReadPlan determines the sources that an instance reads from.
type ReadPlan struct {
	// Relay is the address of the instance to read from; empty means the
	// platform.
	Relay string
	// IsRelay is set if other instances read from this one.
	IsRelay bool
	// Backups are the addresses of instances to read from, in turn, while the
	// platform is unreachable. Empty ones are skipped.
	Backups [2]string
}

// backup returns the nth backup, modulo the number of backups.
func (p ReadPlan) backup(n int) string {
	if first := p.Backups[n%len(p.Backups)]; first != "" {
		return first
	}
	return p.Backups[(n+1)%len(p.Backups)]
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Source is the platform.
	Source Source
	// Plan returns the current plan; a nil Plan means always reading from the
	// platform.
	Plan func() ReadPlan
	// RelayClient is the HTTP client for calls to other instances.
	RelayClient *http.Client
	// Now returns the time in nanoseconds from a clock that never steps.
	Now func() int64
	// Updated is called with the result of each read.
	Updated func(Update)
}

// Watcher keeps a listing current. It is a suture service.
type Watcher struct {
	cfg      WatcherConfig
	listed   bool
	position Position
	// historyReplaced is set from the discovery of a new history until it was
	// listed. relists counts the listings that became necessary since the last
	// successful poll.
	historyReplaced bool
	relists         int
	backoff         time.Duration
	// bypassRelayUntil is the time until which the platform is read directly,
	// after the relay failed or was outdated.
	bypassRelayUntil int64
	// bypassPlatformUntil is the time until which backups are read, after a
	// read from the platform failed. failedBackups counts the failed or
	// outdated relay and backup reads and selects the next backup.
	bypassPlatformUntil int64
	failedBackups       int
}

// NewWatcher returns a Watcher that starts reading when Serve is called.
func NewWatcher(cfg WatcherConfig) *Watcher { return &Watcher{cfg: cfg} }

// Serve reads until ctx is done and returns its error.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		update := w.read(ctx)
		if ctx.Err() != nil {
			break
		}
		w.cfg.Updated(update)
		if update.Err != nil && (update.From == "" && !needsListing(update.Err) || w.relists > 1) {
			w.waitBackoff(ctx)
		}
	}
	return ctx.Err()
}

// source selects the source of the next read, and how long it may hold a poll
// open.
func (w *Watcher) source() (source Source, from string, wait time.Duration) {
	plan := ReadPlan{}
	if w.cfg.Plan != nil {
		plan = w.cfg.Plan()
	}
	switch {
	case plan.Relay != "" && w.cfg.Now() >= w.bypassRelayUntil:
		return &Relay{Address: plan.Relay, Client: w.cfg.RelayClient}, plan.Relay, relayPollWait
	case plan.backup(w.failedBackups) != "" && w.cfg.Now() < w.bypassPlatformUntil:
		address := plan.backup(w.failedBackups)
		return &Relay{Address: address, Client: w.cfg.RelayClient}, address, relayPollWait
	case plan.IsRelay:
		return w.cfg.Source, "", relayPlatformPollWait
	default:
		return w.cfg.Source, "", platformPollWait
	}
}

func (w *Watcher) read(ctx context.Context) Update {
	source, from, wait := w.source()
	update := Update{ReadAt: w.cfg.Now(), Full: !w.listed, From: from}
	if update.Full {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		update.Batch, update.Err = source.List(ctx)
	} else {
		ctx, cancel := context.WithTimeout(ctx, wait+pollTimeoutSlack)
		defer cancel()
		update.Batch, update.Err = source.Watch(ctx, w.position, wait)
	}
	w.checkHistory(&update)
	update.ReadAt -= int64(update.Batch.Age)
	w.recordSourceOutcome(update)
	switch {
	case needsListing(update.Err):
		w.listed = false
		w.relists++
	case update.Err != nil:
	case update.Full:
		update.NewHistory, w.historyReplaced = w.historyReplaced, false
		w.listed = true
		w.position.Revision = update.Batch.Revision
	default:
		w.position.Revision = max(w.position.Revision, update.Batch.Revision)
		w.relists, w.backoff = 0, 0
	}
	return update
}

// needsListing reports whether a read failed because the changes since the last
// position are not available.
func needsListing(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrNewHistory)
}

// checkHistory compares the era of an answer, also of a failed one, with that of
// the reads before. Only a listing can continue a replaced history: a poll from a
// revision that the new one has reached again would omit changes.
func (w *Watcher) checkHistory(u *Update) {
	era := u.Batch.Era
	switch {
	case era == 0:
	case w.position.Era == 0 && !w.listed:
		w.position.Era = era
	case era > w.position.Era:
		w.position = Position{Era: era}
		w.historyReplaced = true
		if !u.Full {
			u.Batch, u.Err = Batch{}, ErrNewHistory
		}
	case era < w.position.Era:
		u.Batch, u.Err = Batch{}, ErrOldHistory
	}
	if u.Err != nil || !u.Full || u.Batch.Revision >= w.position.Revision {
		return
	}
	if u.From != "" {
		u.Batch, u.Err = Batch{}, ErrOldHistory
	} else {
		w.historyReplaced = true
	}
}

// recordSourceOutcome updates the choice of the next source after a failed or
// outdated read: the platform is read after a relay has failed, a backup after
// the platform has failed.
func (w *Watcher) recordSourceOutcome(u Update) {
	failed := u.Err != nil && !needsListing(u.Err)
	switch {
	case u.From == "" && failed:
		w.bypassPlatformUntil = w.cfg.Now() + int64(sourceCooldown)
	case u.From != "" && (u.Err != nil && !errors.Is(u.Err, ErrNewHistory) || u.Batch.Age > maxRelayAge):
		w.bypassRelayUntil = w.cfg.Now() + int64(sourceCooldown)
		w.bypassPlatformUntil = 0
		w.failedBackups++
	}
}

// waitBackoff waits before the next read, longer after each consecutive
// failure. Jitter keeps instances that lost the platform at the same time from
// returning at the same time.
func (w *Watcher) waitBackoff(ctx context.Context) {
	w.backoff = min(max(2*w.backoff, initialBackoff), maxBackoff)
	timer := time.NewTimer(w.backoff/2 + rand.N(w.backoff/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
