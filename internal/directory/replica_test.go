package directory

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func written(id string, revision int64) Change {
	return Change{Revision: revision, EndpointID: id, Endpoint: &Endpoint{ID: id}}
}

func removed(id string, revision int64) Change { return Change{Revision: revision, EndpointID: id} }

func listed() *Replica {
	r := NewReplica()
	r.Apply(Update{Asked: 100, Whole: true, Batch: Batch{Revision: 10, Changes: []Change{
		written("a", 3), written("b", 4), {Revision: 5, Config: &routing.Config{Version: 1}},
	}}})
	return r
}

func revisions(b Batch) []int64 {
	var out []int64
	for _, c := range b.Changes {
		out = append(out, c.Revision)
	}
	return out
}

func TestReplicaReturnsWhatChangedSince(t *testing.T) {
	r := listed()
	r.Apply(Update{Asked: 200, Batch: Batch{Revision: 12, Changes: []Change{removed("a", 11), written("b", 12)}}})
	all, age, err := r.since(200, 0)
	must.NoError(t, err)
	must.Eq(t, 0, age)
	must.Eq(t, []int64{5, 12}, revisions(all))
	since, _, err := r.since(200, 10)
	must.NoError(t, err)
	must.Eq(t, []int64{11, 12}, revisions(since))
	must.Eq(t, 12, since.Revision)
	// A reader that is ahead is not set back.
	ahead, _, err := r.since(200, 20)
	must.NoError(t, err)
	must.Eq(t, 20, ahead.Revision)
	must.SliceEmpty(t, ahead.Changes)
}

// An answer is dated by the read of the platform that it rests on.
func TestAnswersOfAReplicaCarryTheirAge(t *testing.T) {
	_, age, err := listed().since(100+int64(3*time.Second), 10)
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, age)
}

func TestReplicaThatCannotKnowSaysSo(t *testing.T) {
	_, _, err := NewReplica().since(0, 0)
	must.ErrorIs(t, err, ErrHistoryLost)
	// Entries vanished between two listings: their deletion was not seen.
	r := listed()
	r.Apply(Update{Asked: 200, Whole: true, Batch: Batch{Revision: 30, Changes: []Change{written("b", 4)}}})
	_, _, err = r.since(200, 10)
	must.ErrorIs(t, err, ErrHistoryLost)
	all, _, err := r.since(200, 0)
	must.NoError(t, err)
	must.Eq(t, []int64{4, 5}, revisions(all))
}

func TestFailedReadsChangeNothing(t *testing.T) {
	r := listed()
	r.Apply(Update{Asked: 900, Err: ErrHistoryLost})
	must.Eq(t, 100, r.confirmed)
}

func TestReplicaAnswersAtTheNextConfirmationOrChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := listed()
		start := time.Now()
		time.AfterFunc(time.Second, func() { r.Apply(Update{Asked: 150, Batch: Batch{Revision: 10}}) })
		time.AfterFunc(2*time.Second, func() { r.Apply(Update{Asked: 300, Batch: Batch{Revision: 10}}) })
		_, age, err := r.Watch(t.Context(), 200, 10, time.Minute)
		must.NoError(t, err)
		must.Eq(t, 0, age)
		must.Eq(t, 2*time.Second, time.Since(start))

		time.AfterFunc(time.Second, func() {
			r.Apply(Update{Asked: 310, Batch: Batch{Revision: 11, Changes: []Change{removed("a", 11)}}})
		})
		batch, age, err := r.Watch(t.Context(), 400, 10, time.Minute)
		must.NoError(t, err)
		must.Eq(t, []int64{11}, revisions(batch))
		must.Eq(t, 90, age)
	})
}

func TestRelayPassesOnBatchAndAge(t *testing.T) {
	replica := listed()
	clock := int64(150)
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return clock * int64(time.Microsecond) }))
	defer server.Close()
	relay := &Relay{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	batch, err := relay.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []int64{3, 4, 5}, revisions(batch))
	must.Eq(t, 1, batch.Changes[2].Config.Version)
	must.Greater(t, 100*time.Microsecond, batch.Age)
	_, err = relay.Watch(t.Context(), 0, -time.Second)
	must.Error(t, err)
}

// Load pattern: the instance that reads for a zone loses the platform, or
// dies. Others read for themselves for a while.
func TestWatcherReadsForItselfWhileItsRelayFails(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := int64(time.Hour)
	s := &script{cancel: cancel, answers: []answer{{batch: Batch{Revision: 5}}, {batch: Batch{Revision: 6}}}}
	var updates []Update
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		Plan:    func() Plan { return Plan{Relay: "127.0.0.1:1"} },
		Now:     func() int64 { return clock },
		Updated: func(u Update) { updates = append(updates, u) },
	})
	must.ErrorIs(t, w.Serve(ctx), context.Canceled)
	must.Eq(t, "127.0.0.1:1", updates[0].From)
	must.Error(t, updates[0].Err)
	must.Eq(t, []string{"list", "watch 5ns", "watch 6ns"}, s.reads)
	must.Eq(t, "", updates[1].From)
}

// A relay that is behind the platform is not believed to be up to date.
func TestWatcherDatesRelayedAnswersByTheirAge(t *testing.T) {
	replica := listed()
	relayNow := int64(100 + 10*time.Second)
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return relayNow }))
	defer server.Close()
	clock := int64(time.Hour)
	w := NewWatcher(WatcherConfig{
		Source: &script{}, RelayClient: http.DefaultClient,
		Plan: func() Plan { return Plan{Relay: server.Listener.Addr().String()} },
		Now:  func() int64 { return clock },
	})
	u := w.read(t.Context())
	must.NoError(t, u.Err)
	must.Eq(t, clock-int64(10*time.Second), u.Asked)
	must.Greater(t, clock, w.distrustUntil)
}

// Load pattern: a single instance is cut off from the platform, but not from
// other instances. It goes on with what they read, dated as strictly.
func TestWatcherReadsOthersWhileThePlatformIsOutOfReach(t *testing.T) {
	replica := listed()
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	defer server.Close()
	clock := int64(time.Hour)
	cut := answer{err: context.DeadlineExceeded}
	s := &script{answers: []answer{{batch: Batch{Revision: 5}}, cut, {batch: Batch{Revision: 11}}}}
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		// The first backup does not answer.
		Plan: func() Plan { return Plan{Backups: [2]string{"127.0.0.1:1", server.Listener.Addr().String()}} },
		Now:  func() int64 { return clock },
	})
	must.NoError(t, w.read(t.Context()).Err)
	must.Error(t, w.read(t.Context()).Err)
	failed := w.read(t.Context())
	must.Eq(t, "127.0.0.1:1", failed.From)
	must.Error(t, failed.Err)
	// The platform is tried again before the next backup.
	must.NoError(t, w.read(t.Context()).Err)
	must.Eq(t, []string{"list", "watch 5ns", "watch 5ns"}, s.reads)

	s.answers = []answer{cut}
	must.Error(t, w.read(t.Context()).Err)
	relayed := w.read(t.Context())
	must.NoError(t, relayed.Err)
	must.Eq(t, server.Listener.Addr().String(), relayed.From)
	must.Eq(t, clock, relayed.Asked)
	clock += int64(distrustTime)
	s.answers = []answer{{batch: Batch{Revision: 12}}}
	must.Eq(t, "", w.read(t.Context()).From)
}
