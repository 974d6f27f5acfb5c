package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// scriptedSource is a Source that returns scripted results in order, each
// after a delay, and records the reads.
type scriptedSource struct {
	results []scriptedRead
	reads   []string
	cancel  context.CancelFunc
}

type scriptedRead struct {
	batch Batch
	err   error
	delay time.Duration
}

func (s *scriptedSource) next(ctx context.Context, read string) (Batch, error) {
	s.reads = append(s.reads, read)
	if len(s.results) == 0 {
		s.cancel()
		return Batch{}, context.Canceled
	}
	a := s.results[0]
	s.results = s.results[1:]
	select {
	case <-time.After(a.delay):
		return a.batch, a.err
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

func (s *scriptedSource) List(ctx context.Context) (Batch, error) { return s.next(ctx, "list") }

func (s *scriptedSource) Config(ctx context.Context) (Batch, error) { return s.next(ctx, "config") }

func (s *scriptedSource) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	// A source that is read after another one failed answers at once.
	if wait != platformPollWait && wait != 0 {
		panic("unexpected wait")
	}
	return s.next(ctx, "watch "+time.Duration(after.Revision).String())
}

func runWatcher(t *testing.T, results ...scriptedRead) (reads []string, updates []Update) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scriptedSource{results: results, cancel: cancel}
		start := time.Now()
		w := NewWatcher(WatcherConfig{
			Source:  s,
			Now:     func() int64 { return int64(time.Since(start)) },
			Updated: func(u Update) { updates = append(updates, u) },
		})
		must.ErrorIs(t, w.Serve(ctx), context.Canceled)
		reads = s.reads
	})
	return reads, updates
}

func TestWatchContinuesFromLastRevision(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Revision: 5}},
		scriptedRead{batch: Batch{Revision: 7}, delay: time.Second},
		scriptedRead{batch: Batch{Revision: 9}})
	must.Eq(t, []string{"list", "watch 5ns", "watch 7ns", "watch 9ns"}, reads)
	must.True(t, updates[0].Full)
	must.False(t, updates[1].Full)
	// ReadAt is the start of the read, not its end.
	must.Eq(t, int64(time.Second), updates[2].ReadAt)
}

// The platform compacts its history while changes are made.
func TestCompactedHistoryIsRelistedImmediately(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Revision: 5}},
		scriptedRead{err: ErrCompacted},
		scriptedRead{batch: Batch{Revision: 30}})
	must.Eq(t, []string{"list", "watch 5ns", "list", "watch 30ns"}, reads)
	must.True(t, updates[2].Full)
	must.Eq(t, updates[1].ReadAt, updates[2].ReadAt)
}

// Responses of the platform are lost, or a connection stalls.
func TestStalledReadTimesOutWithinApplyBound(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Revision: 5}},
		scriptedRead{delay: time.Hour},
		scriptedRead{batch: Batch{Revision: 6}})
	must.Eq(t, []string{"list", "watch 5ns", "watch 5ns", "watch 6ns"}, reads)
	must.ErrorIs(t, updates[1].Err, ErrLate)
	must.ErrorIs(t, updates[2].Err, context.DeadlineExceeded)
	must.Less(t, int64(2*time.Second), updates[3].ReadAt)
}

// The platform refuses reads for several seconds. Reads are retried soon, but
// not in a tight loop.
func TestFailedReadsBackOff(t *testing.T) {
	refused := scriptedRead{err: errors.New("refused")}
	answers := []scriptedRead{{batch: Batch{Revision: 5}}}
	for range 20 {
		answers = append(answers, refused)
	}
	_, updates := runWatcher(t, answers...)
	last := updates[len(updates)-1].ReadAt
	must.Greater(t, int64(2*time.Second), last)
	must.Less(t, int64(20*maxBackoff), last)
}
