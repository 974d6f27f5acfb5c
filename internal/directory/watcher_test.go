package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// script answers reads in order, each after a delay, and notes them.
type script struct {
	answers []answer
	reads   []string
	cancel  context.CancelFunc
}

type answer struct {
	batch Batch
	err   error
	delay time.Duration
}

func (s *script) next(ctx context.Context, read string) (Batch, error) {
	s.reads = append(s.reads, read)
	if len(s.answers) == 0 {
		s.cancel()
		return Batch{}, context.Canceled
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	select {
	case <-time.After(a.delay):
		return a.batch, a.err
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

func (s *script) List(ctx context.Context) (Batch, error) { return s.next(ctx, "list") }

func (s *script) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	if wait != watchWait {
		panic("unexpected wait")
	}
	return s.next(ctx, "watch "+time.Duration(after).String())
}

func run(t *testing.T, answers ...answer) (reads []string, updates []Update) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &script{answers: answers, cancel: cancel}
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

func TestWatchContinuesWhereTheLastAnswerEnded(t *testing.T) {
	reads, updates := run(t,
		answer{batch: Batch{Revision: 5}},
		answer{batch: Batch{Revision: 7}, delay: time.Second},
		answer{batch: Batch{Revision: 9}})
	must.Eq(t, []string{"list", "watch 5ns", "watch 7ns", "watch 9ns"}, reads)
	must.True(t, updates[0].Whole)
	must.False(t, updates[1].Whole)
	// An answer is dated by the beginning of its read, not by its end.
	must.Eq(t, int64(time.Second), updates[2].Asked)
}

// Load pattern: the platform drops its history while changes are made.
func TestLostHistoryIsListedAgainAtOnce(t *testing.T) {
	reads, updates := run(t,
		answer{batch: Batch{Revision: 5}},
		answer{err: ErrHistoryLost},
		answer{batch: Batch{Revision: 30}})
	must.Eq(t, []string{"list", "watch 5ns", "list", "watch 30ns"}, reads)
	must.True(t, updates[2].Whole)
	must.Eq(t, updates[1].Asked, updates[2].Asked)
}

// Load pattern: answers of the platform are lost, or a connection goes silent.
func TestSilentReadIsGivenUpInsideTheBoundOfAChange(t *testing.T) {
	reads, updates := run(t,
		answer{batch: Batch{Revision: 5}},
		answer{delay: time.Hour},
		answer{batch: Batch{Revision: 6}})
	must.Eq(t, []string{"list", "watch 5ns", "watch 5ns", "watch 6ns"}, reads)
	must.ErrorIs(t, updates[1].Err, context.DeadlineExceeded)
	must.Less(t, int64(2*time.Second), updates[2].Asked)
}

// Load pattern: the platform refuses for seconds. It is asked again soon, but
// not in a tight loop.
func TestFailedReadsBackOff(t *testing.T) {
	refused := answer{err: errors.New("refused")}
	answers := []answer{{batch: Batch{Revision: 5}}}
	for range 20 {
		answers = append(answers, refused)
	}
	_, updates := run(t, answers...)
	last := updates[len(updates)-1].Asked
	must.Greater(t, int64(2*time.Second), last)
	must.Less(t, int64(20*maxBackoff), last)
}
