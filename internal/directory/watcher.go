package directory

import (
	"context"
	"net/http"
	"slices"
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
	// relayPollWait is how long another instance may hold a poll open: some more than
	// one of its own.
	relayPollWait = 800 * time.Millisecond
	// lateAfter is how long an answer may be late before the next source is read too.
	// It is some fifty times the platform's usual response time.
	lateAfter = 250 * time.Millisecond
	// maxRelayAge is the age of another instance's data above which it is considered
	// cut off from the platform. sourceCooldown is how long a source that failed, was
	// outdated or late is bypassed, unless its answer arrives after all.
	maxRelayAge    = 1500 * time.Millisecond
	sourceCooldown = 3 * time.Second
	// pollTimeoutSlack is added to the wait of a poll to get its timeout, and how long
	// an answer that is being received may make no progress.
	pollTimeoutSlack = 600 * time.Millisecond
	// maxReceiving is how long an answer that is being received may be late before the
	// next source is read too.
	maxReceiving = time.Second
	// listTimeout bounds a full listing up to its first page.
	listTimeout = 3 * time.Second
	// initialBackoff and maxBackoff bound the delay before the next read while every
	// source is bypassed.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// MaxSourceDelay bounds the time until an instance reads its third source while the
// answers of two others are missing.
const MaxSourceDelay = max(platformPollWait, relayPollWait) + 2*lateAfter

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
	// Full is set if Batch is a full listing rather than a set of changes since the
	// revision After.
	Full  bool
	After int64
	// Provisional is set on a listing from an instance that may have missed deletions. The
	// platform is listed once it answers.
	Provisional bool
	// NewHistory is set on the first listing after the platform has come back
	// from a copy: what was read before may be missing in it, and what was
	// removed before may be back.
	NewHistory bool
	// ConfigBehind is set while a newer configuration was announced than was received,
	// so that the configuration is not confirmed by this read.
	ConfigBehind bool
	Batch        Batch
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
	// Backups are the addresses of instances to read from while the platform is
	// unreachable. Empty ones are skipped.
	Backups [2]string
}

// platformAddress stands for the platform among the addresses of sources.
const platformAddress = ""

// sources returns the addresses of all sources, the preferred one first.
func (p ReadPlan) sources() []string {
	var out []string
	if p.Relay != "" {
		out = append(out, p.Relay)
	}
	out = append(out, platformAddress)
	for _, b := range p.Backups {
		if b != "" && b != p.Relay {
			out = append(out, b)
		}
	}
	return out
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

// Watcher keeps a listing current. It is a suture service. It reads one source at a
// time; once an answer is late, the next source is read in parallel, and whatever
// arrives first counts.
type Watcher struct {
	cfg      WatcherConfig
	listed   bool
	position Position
	// provisional is that of the latest listing. sessions holds the connections to instances
	// that do not state their history, by address.
	provisional bool
	sessions    map[string]session
	// historyReplaced is set from the discovery of a new history until it was
	// listed. relists counts the listings that became necessary since the last
	// successful poll.
	historyReplaced bool
	relists         int
	// polls are the reads in progress, by the address of their source. They deliver
	// to answers.
	polls   map[string]*poll
	answers chan answer
	// round is the search for a current answer in progress, or nil.
	round *round
	// bypassed holds until when sources are not read that failed, or were late or
	// outdated.
	bypassed map[string]int64
	backoff  time.Duration
	// configVersion is the version of the newest configuration received, fetch the
	// transfer of a newer one, or nil.
	configVersion int64
	fetch         *configFetch
}

// round is the search for an answer that is current as of its begin.
type round struct {
	// primary is the first source. An answer in time ends the round, whatever its age.
	primary string
	begunAt int64
	// nextAt is when the next source is read, lateAt when the round counts as late, which
	// late records.
	nextAt, lateAt int64
	late           bool
}

// NewWatcher returns a Watcher that starts reading when Serve is called.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{cfg: cfg, polls: map[string]*poll{}, answers: make(chan answer), bypassed: map[string]int64{}, sessions: map[string]session{}}
}

// Serve reads until ctx is done and returns its error.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		update := w.read(ctx)
		if ctx.Err() != nil {
			break
		}
		w.cfg.Updated(update)
	}
	return ctx.Err()
}

// read returns the next result of a read.
func (w *Watcher) read(ctx context.Context) Update {
	for {
		w.startPolls(ctx)
		w.startConfigPolls(ctx)
		if w.becomesLate() {
			return Update{ReadAt: w.round.begunAt, From: w.round.primary, Err: ErrLate}
		}
		timer := time.NewTimer(w.untilDue())
		select {
		case a := <-w.answers:
			timer.Stop()
			if update, counts := w.receive(a); counts {
				return update
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Update{Err: ctx.Err()}
		}
	}
}

// receive applies the answer to a poll. It reports whether the answer counts: one may
// have been overtaken by that of another source.
func (w *Watcher) receive(a answer) (update Update, counts bool) {
	p := a.poll
	if p.config {
		return w.receiveConfig(a)
	}
	p.cancel()
	if w.polls[p.from] != p {
		return Update{}, false
	}
	delete(w.polls, p.from)
	if w.overtaken(a) {
		return Update{}, false
	}
	u := Update{ReadAt: p.startedAt, Full: p.full, After: p.after.Revision, From: p.from, Batch: a.batch, Err: a.err}
	if !p.full && p.after != w.position {
		u.Batch.Changes = slices.DeleteFunc(slices.Clone(u.Batch.Changes), func(c Change) bool { return c.Revision <= w.position.Revision })
	}
	w.checkHistory(&u)
	w.checkContinuity(&u)
	u.ReadAt -= int64(u.Batch.Age)
	w.advance(&u)
	if u.Err == nil {
		w.recordConfig(&u)
	}
	w.recordOutcome(u)
	return u, true
}

// overtaken reports whether an answer is of no use any more, since those of other
// sources were applied while it was in progress.
func (w *Watcher) overtaken(a answer) bool {
	p := a.poll
	switch {
	case p.full && w.listsAgain(p.from):
		return a.err == nil && a.batch.Revision < w.position.Revision && a.batch.Era == w.position.Era
	case p.full:
		return w.listed
	case !w.listed || p.after.Era != w.position.Era:
		return true
	case a.err != nil:
		return needsListing(a.err) && p.after != w.position
	}
	return a.batch.Revision < w.position.Revision && a.batch.Era == w.position.Era && p.after != w.position
}

// advance applies a result to the position from which the next reads continue.
func (w *Watcher) advance(u *Update) {
	switch {
	case needsListing(u.Err):
		w.listed = false
		w.relists++
	case u.Err != nil:
	case u.Full:
		u.NewHistory, w.historyReplaced = w.historyReplaced, false
		w.listed, w.provisional = true, u.Provisional
		w.position.Revision = u.Batch.Revision
	default:
		w.position.Revision = max(w.position.Revision, u.Batch.Revision)
		w.relists = 0
	}
}

// recordOutcome ends the round after an answer that is current, and bypasses sources
// that are of no use.
func (w *Watcher) recordOutcome(u Update) {
	now := w.cfg.Now()
	relayed := u.From != platformAddress
	switch {
	case needsListing(u.Err):
		if refusedWithoutHistory(u) {
			w.bypass(u.From)
		}
		w.cancelPolls()
		w.round = nil
	case u.Err != nil || relayed && (u.Batch.Late || u.Batch.Age > maxRelayAge):
		w.bypass(u.From)
		w.round.nextAt = now
	default:
		delete(w.bypassed, u.From)
		if u.From != w.round.primary && u.ReadAt < w.round.begunAt {
			return
		}
		if u.From != w.round.primary {
			w.bypass(w.round.primary)
		}
		w.round = nil
		if !u.Full {
			w.backoff = 0
		}
	}
}

func (w *Watcher) bypass(source string) {
	w.bypassed[source] = w.cfg.Now() + int64(sourceCooldown)
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
