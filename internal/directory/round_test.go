package directory

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// pollInProgress returns a Watcher that has listed up to a revision, with a poll of the
// platform in progress from an earlier one.
func pollInProgress(listed, after int64) (*Watcher, *poll) {
	w := NewWatcher(WatcherConfig{Now: func() int64 { return int64(time.Hour) }})
	w.listed, w.position = true, Position{Revision: listed}
	w.round = &round{}
	p := &poll{after: Position{Revision: after}, cancel: func() {}, progress: &progress{}}
	w.polls[platformAddress] = p
	return w, p
}

// Guards against an answer that is applied although another source has brought newer
// changes: an entry that was removed since would be used again.
func TestOvertakenAnswerIsDropped(t *testing.T) {
	w, p := pollInProgress(20, 10)
	_, counts := w.receive(answer{poll: p, batch: Batch{Revision: 15, Changes: []Change{putChange("a", 15)}}})
	must.False(t, counts)

	w, p = pollInProgress(20, 10)
	u, counts := w.receive(answer{poll: p, batch: Batch{Revision: 22, Changes: []Change{putChange("a", 15), deleteChange("a", 21)}}})
	must.True(t, counts)
	must.Eq(t, []int64{21}, revisions(u.Batch))
	must.Eq(t, 22, w.position.Revision)

	w, p = pollInProgress(20, 10)
	p.full = true
	_, counts = w.receive(answer{poll: p, batch: Batch{Revision: 15}})
	must.False(t, counts)
}

// Guards against a round that ends with data which is older than its begin: instances
// that read from one another would take it for news for ever.
func TestOlderDataEndsNoRound(t *testing.T) {
	w, p := pollInProgress(20, 20)
	w.round = &round{primary: platformAddress, begunAt: 1000}
	backup := &poll{from: "10.0.0.2:1", after: p.after, startedAt: 1200, cancel: func() {}, progress: &progress{}}
	w.polls[backup.from] = backup
	_, counts := w.receive(answer{poll: backup, batch: Batch{Revision: 20, Age: 300}})
	must.True(t, counts)
	must.NotNil(t, w.round)
	w.polls[backup.from] = backup
	_, _ = w.receive(answer{poll: backup, batch: Batch{Revision: 20, Age: 100}})
	must.Nil(t, w.round)
	must.Greater(t, w.cfg.Now(), w.bypassed[platformAddress])
	// The slow answer of the platform still counts.
	w.round = &round{primary: backup.from, begunAt: 1300}
	_, counts = w.receive(answer{poll: p, batch: Batch{Revision: 21}})
	must.True(t, counts)
	must.Eq(t, 0, w.bypassed[platformAddress])
}

// Guards against a second transfer over a link that is busy with the first.
func TestAnswerThatIsBeingReceivedIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w, p := pollInProgress(20, 20)
		w.cfg.Now = func() int64 { return int64(time.Since(start)) }
		w.cfg.RelayClient = http.DefaultClient
		w.cfg.Plan = func() ReadPlan { return ReadPlan{Backups: [2]string{"10.0.0.2:1"}} }
		w.round = &round{primary: platformAddress, lateAt: w.cfg.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		now := time.Now()
		p.progress.at.Store(&now)
		w.startPolls(ctx)
		must.False(t, w.becomesLate())
		must.MapLen(t, 1, w.polls)
		time.Sleep(lateAfter + time.Millisecond)
		w.startPolls(ctx)
		must.True(t, w.becomesLate())
		must.MapLen(t, 2, w.polls)
	})
}
