package directory

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// configStall is how long the transfer of a configuration may make no progress
	// before the next source is read too, and configTimeout before it is given up.
	configStall   = 500 * time.Millisecond
	configTimeout = 1500 * time.Millisecond
	// maxConfigTransfer bounds the time of a transfer.
	maxConfigTransfer = 15 * time.Second
	// configRetry is the time after which all sources are read again.
	configRetry = 250 * time.Millisecond
)

// configFetch is the transfer of a configuration that other instances have announced.
// It is separate from the polls, since changes of endpoints must not wait for it.
type configFetch struct {
	// version is the version that is wanted, announcedBy the address of the instance
	// that has announced it, in an answer that was current as of announcedAt.
	version     int64
	announcedBy string
	announcedAt int64
	// polls are the transfers in progress by source, tried all sources that were read.
	polls  map[string]*poll
	tried  []string
	nextAt int64
	// unstated is set once a source had it without stating whether keys are required.
	unstated bool
}

// configBehind reports whether a newer configuration was announced than was received.
func (w *Watcher) configBehind() bool { return w.fetch != nil }

// recordConfig compares what an answer contains and announces with what is known.
func (w *Watcher) recordConfig(u *Update) {
	for _, c := range u.Batch.Changes {
		if c.Config != nil {
			w.configVersion = max(w.configVersion, c.Config.Version)
		}
	}
	announced := u.Batch.ConfigVersion
	switch f := w.fetch; {
	case u.Full && u.From == platformAddress, f != nil && w.configVersion >= f.version:
		// A copy of the platform's data may lack what was announced before.
		w.endFetch()
	case f != nil && announced >= f.version:
		f.version, f.announcedBy, f.announcedAt = announced, u.From, u.ReadAt
	case f == nil && announced > w.configVersion:
		w.fetch = &configFetch{version: announced, announcedBy: u.From, announcedAt: u.ReadAt, polls: map[string]*poll{}, nextAt: w.cfg.Now()}
	}
	u.ConfigBehind = w.configBehind()
}

func (w *Watcher) endFetch() {
	if w.fetch == nil {
		return
	}
	for _, p := range w.fetch.polls {
		p.cancel()
	}
	w.fetch = nil
}

// startConfigPolls reads the configuration from the next source if that is due: first
// from the instance that has announced it.
func (w *Watcher) startConfigPolls(ctx context.Context) {
	f := w.fetch
	if f == nil || w.cfg.Now() < f.nextAt {
		return
	}
	f.nextAt = w.cfg.Now() + int64(configStall)
	for _, p := range f.polls {
		if p.progress.within(configStall) {
			return
		}
	}
	plan := ReadPlan{}
	if w.cfg.Plan != nil {
		plan = w.cfg.Plan()
	}
	for _, from := range append([]string{f.announcedBy}, plan.sources()...) {
		if f.polls[from] == nil && !slices.Contains(f.tried, from) {
			f.tried = append(f.tried, from)
			f.polls[from] = w.startConfigPoll(ctx, from)
			return
		}
	}
	if len(f.polls) == 0 {
		f.tried, f.nextAt = nil, w.cfg.Now()+int64(configRetry)
	}
}

func (w *Watcher) startConfigPoll(ctx context.Context, from string) *poll {
	source := w.source(from)
	pollCtx, progress, cancel := stallTimeout(ctx, configTimeout, configTimeout, maxConfigTransfer)
	p := &poll{from: from, config: true, startedAt: w.cfg.Now(), progress: progress, cancel: cancel}
	w.deliver(ctx, pollCtx, p, func() (Batch, error) { return source.Config(pollCtx) })
	return p
}

// receiveConfig applies the result of a transfer. It reports whether it has brought a
// newer configuration.
func (w *Watcher) receiveConfig(a answer) (Update, bool) {
	f := w.fetch
	a.poll.cancel()
	if f == nil || f.polls[a.poll.from] != a.poll {
		return Update{}, false
	}
	delete(f.polls, a.poll.from)
	u := Update{ReadAt: f.announcedAt, From: a.poll.from, Batch: Batch{Changes: a.batch.Changes}}
	before := w.configVersion
	w.recordConfig(&u)
	if a.err != nil || w.configVersion == before {
		f.nextAt = min(f.nextAt, w.cfg.Now())
		if errors.Is(a.err, ErrKeysUnstated) && !f.unstated {
			f.unstated = true
			u.Err, u.Batch = a.err, Batch{ConfigVersion: f.version}
			return u, true
		}
		return Update{}, false
	}
	return u, true
}
