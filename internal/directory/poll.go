package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// poll is a read of a source in progress.
type poll struct {
	// from is the address of the source.
	from string
	// full is set for a listing, otherwise after is the position from which it reads.
	full      bool
	after     Position
	startedAt int64
	// config is set for the transfer of a configuration alone.
	config   bool
	progress *progress
	cancel   context.CancelFunc
}

// answer is the result of a poll.
type answer struct {
	poll  *poll
	batch Batch
	err   error
}

// startPolls begins a round if none is in progress, and reads the next source if that
// is due.
func (w *Watcher) startPolls(ctx context.Context) {
	begins := w.round == nil
	if !begins && w.cfg.Now() < w.round.nextAt {
		return
	}
	if !begins && w.receiving() && w.cfg.Now() < w.round.lateAt+int64(maxReceiving) {
		w.round.nextAt = w.cfg.Now() + int64(lateAfter)
		return
	}
	source, usable := w.nextSource()
	if !usable && len(w.polls) > 0 {
		// One of those in progress answers or times out.
		if begins {
			w.round = w.newRound(platformAddress)
		}
		w.round.nextAt = w.cfg.Now() + int64(lateAfter)
		return
	}
	if !usable || begins && w.relists > 1 {
		w.waitBackoff(ctx)
	}
	wait := w.wait(source)
	if begins {
		w.round = w.newRound(source)
	} else if source == platformAddress && source != w.round.primary {
		// Shows at once whether the platform answers.
		wait = 0
	}
	w.start(ctx, source, wait)
	w.round.nextAt = w.cfg.Now() + int64(lateAfter)
	if begins {
		w.round.nextAt = w.round.lateAt
	}
}

func (w *Watcher) newRound(primary string) *round {
	now := w.cfg.Now()
	return &round{primary: primary, begunAt: now, lateAt: now + int64(w.wait(primary)+lateAfter)}
}

// becomesLate reports whether the answer that ends the round has just become late.
func (w *Watcher) becomesLate() bool {
	now := w.cfg.Now()
	if w.round.late || now < w.round.lateAt || w.receiving() && now < w.round.lateAt+int64(maxReceiving) {
		return false
	}
	w.round.late = true
	return true
}

// untilDue returns the time until the next source is read or the round becomes late.
func (w *Watcher) untilDue() time.Duration {
	at := w.round.nextAt
	if !w.round.late {
		at = min(at, max(w.round.lateAt, w.cfg.Now()+int64(lateAfter)/4))
	}
	if w.fetch != nil {
		at = min(at, w.fetch.nextAt)
	}
	return time.Duration(at - w.cfg.Now())
}

// nextSource returns the first source that is neither being read nor bypassed. If there
// is none, usable is not set, and the source is the one that is bypassed for the
// shortest time.
func (w *Watcher) nextSource() (source string, usable bool) {
	plan := ReadPlan{}
	if w.cfg.Plan != nil {
		plan = w.cfg.Plan()
	}
	now, found := w.cfg.Now(), false
	sources := plan.sources()
	if w.provisional {
		sources = append([]string{platformAddress}, sources...)
	}
	for _, s := range sources {
		if w.polls[s] != nil {
			continue
		}
		if now >= w.bypassed[s] {
			return s, true
		}
		if !found || w.bypassed[s] < w.bypassed[source] {
			source, found = s, true
		}
	}
	return source, false
}

// wait returns how long a source may hold a poll open.
func (w *Watcher) wait(source string) time.Duration {
	switch {
	case source != platformAddress:
		return relayPollWait
	case w.cfg.Plan != nil && w.cfg.Plan().IsRelay:
		return relayPlatformPollWait
	}
	return platformPollWait
}

// start begins to read a source.
func (w *Watcher) start(ctx context.Context, from string, wait time.Duration) {
	timeout, limit := wait+pollTimeoutSlack, wait+maxConfigTransfer
	full := !w.listed || w.listsAgain(from)
	if full {
		timeout = listTimeout
	}
	source := w.source(from)
	pollCtx, progress, cancel := stallTimeout(ctx, timeout, pollTimeoutSlack, limit)
	p := &poll{from: from, full: full, after: w.position, startedAt: w.cfg.Now(), progress: progress, cancel: cancel}
	w.polls[from] = p
	w.deliver(ctx, pollCtx, p, func() (Batch, error) {
		if p.full {
			return source.List(pollCtx)
		}
		return source.Watch(pollCtx, p.after, wait)
	})
}

// source returns the source with an address.
func (w *Watcher) source(address string) Source {
	if address == platformAddress {
		return w.cfg.Source
	}
	return &Relay{Address: address, Client: w.cfg.RelayClient}
}

// deliver calls read and delivers its result as the answer to a poll, whose context is
// pollCtx.
func (w *Watcher) deliver(ctx, pollCtx context.Context, p *poll, read func() (Batch, error)) {
	go func() {
		a := answer{poll: p}
		a.batch, a.err = read()
		if a.err != nil && errors.Is(context.Cause(pollCtx), context.DeadlineExceeded) {
			a.err = errors.CombineErrors(context.DeadlineExceeded, a.err)
		}
		select {
		case w.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// receiving reports whether an answer is just being received.
func (w *Watcher) receiving() bool {
	for _, p := range w.polls {
		if p.progress.within(lateAfter) {
			return true
		}
	}
	return false
}

// cancelPolls ends the reads in progress, whose answers no longer count.
func (w *Watcher) cancelPolls() {
	for from, p := range w.polls {
		p.cancel()
		delete(w.polls, from)
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
