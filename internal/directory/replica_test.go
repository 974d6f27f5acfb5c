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

func putChange(id string, revision int64) Change {
	return Change{Revision: revision, EndpointID: id, Endpoint: &Endpoint{ID: id}}
}

func deleteChange(id string, revision int64) Change {
	return Change{Revision: revision, EndpointID: id}
}

func newListedReplica() *Replica {
	r := NewReplica()
	r.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Revision: 10, Changes: []Change{
		putChange("a", 3), putChange("b", 4), {Revision: 5, Config: &routing.Config{Version: 1, Keys: routing.KeysNotRequired}},
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

func TestReplicaReturnsChangesSinceRevision(t *testing.T) {
	r := newListedReplica()
	r.Apply(Update{ReadAt: 200, Batch: Batch{Revision: 12, Changes: []Change{deleteChange("a", 11), putChange("b", 12)}}})
	all, age, err := r.changesSince(200, Position{Revision: 0})
	must.NoError(t, err)
	must.Eq(t, 0, age)
	must.Eq(t, []int64{5, 12}, revisions(all))
	since, _, err := r.changesSince(200, Position{Revision: 10})
	must.NoError(t, err)
	must.Eq(t, []int64{11, 12}, revisions(since))
	must.Eq(t, 12, since.Revision)
	// A reader that is ahead of the replica keeps its revision.
	ahead, _, err := r.changesSince(200, Position{Revision: 20})
	must.NoError(t, err)
	must.Eq(t, 20, ahead.Revision)
	must.SliceEmpty(t, ahead.Changes)
}

// The age is measured from the platform read that the data comes from.
func TestReplicaReportsAgeOfItsState(t *testing.T) {
	_, age, err := newListedReplica().changesSince(100+int64(3*time.Second), Position{Revision: 10})
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, age)
}

func TestReplicaWithoutHistoryReturnsErrCompacted(t *testing.T) {
	_, _, err := NewReplica().changesSince(0, Position{Revision: 0})
	must.ErrorIs(t, err, ErrCompacted)
	// Entries missing from the second listing were deleted at an unknown
	// revision.
	r := newListedReplica()
	r.Apply(Update{ReadAt: 200, Full: true, Batch: Batch{Revision: 30, Changes: []Change{putChange("b", 4)}}})
	_, _, err = r.changesSince(200, Position{Revision: 10})
	must.ErrorIs(t, err, ErrCompacted)
	all, _, err := r.changesSince(200, Position{Revision: 0})
	must.NoError(t, err)
	must.Eq(t, []int64{4, 5}, revisions(all))
}

func TestReplicaIgnoresFailedReads(t *testing.T) {
	r := newListedReplica()
	r.Apply(Update{ReadAt: 900, Err: ErrCompacted})
	must.Eq(t, 100, r.confirmedAt)
}

func TestReplicaWatchReturnsOnConfirmationOrChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newListedReplica()
		start := time.Now()
		time.AfterFunc(time.Second, func() { r.Apply(Update{ReadAt: 150, Batch: Batch{Revision: 10}}) })
		time.AfterFunc(2*time.Second, func() { r.Apply(Update{ReadAt: 300, Batch: Batch{Revision: 10}}) })
		_, age, err := r.Watch(t.Context(), 200, Position{Revision: 10}, time.Minute)
		must.NoError(t, err)
		must.Eq(t, 0, age)
		must.Eq(t, 2*time.Second, time.Since(start))

		time.AfterFunc(time.Second, func() {
			r.Apply(Update{ReadAt: 310, Batch: Batch{Revision: 11, Changes: []Change{deleteChange("a", 11)}}})
		})
		batch, age, err := r.Watch(t.Context(), 400, Position{Revision: 10}, time.Minute)
		must.NoError(t, err)
		must.Eq(t, []int64{11}, revisions(batch))
		must.Eq(t, 90, age)
	})
}

func TestRelayReturnsBatchAndAge(t *testing.T) {
	replica := newListedReplica()
	clock := int64(150)
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return clock * int64(time.Microsecond) }))
	defer server.Close()
	relay := &Relay{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	batch, err := relay.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []int64{3, 4}, revisions(batch))
	must.Eq(t, 1, batch.ConfigVersion)
	config, err := relay.Config(t.Context())
	must.NoError(t, err)
	must.Eq(t, []int64{5}, revisions(config))
	must.Eq(t, 1, config.Changes[0].Config.Version)
	must.Greater(t, 100*time.Microsecond, batch.Age)
	_, err = relay.Watch(t.Context(), Position{}, -time.Second)
	must.Error(t, err)
}

// The relay of a zone loses the platform or crashes. Its readers read from the
// platform directly for a while.
func TestWatcherFallsBackToPlatformWhenRelayFails(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := int64(time.Hour)
	s := &scriptedSource{cancel: cancel, results: []scriptedRead{{batch: Batch{Revision: 5}}, {batch: Batch{Revision: 6}}}}
	var updates []Update
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		Plan:    func() ReadPlan { return ReadPlan{Relay: "127.0.0.1:1"} },
		Now:     func() int64 { return clock },
		Updated: func(u Update) { updates = append(updates, u) },
	})
	must.ErrorIs(t, w.Serve(ctx), context.Canceled)
	must.Eq(t, "127.0.0.1:1", updates[0].From)
	must.Error(t, updates[0].Err)
	must.Eq(t, []string{"list", "watch 5ns", "watch 6ns"}, s.reads)
	must.Eq(t, "", updates[1].From)
}

// Data from an outdated relay does not count as current, and the relay is
// bypassed.
func TestWatcherSubtractsAgeOfRelayedAnswers(t *testing.T) {
	replica := newListedReplica()
	relayNow := int64(100 + 10*time.Second)
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return relayNow }))
	defer server.Close()
	clock := int64(time.Hour)
	w := NewWatcher(WatcherConfig{
		Source: &scriptedSource{}, RelayClient: http.DefaultClient,
		Plan: func() ReadPlan { return ReadPlan{Relay: server.Listener.Addr().String()} },
		Now:  func() int64 { return clock },
	})
	u := w.read(t.Context())
	must.NoError(t, u.Err)
	must.Eq(t, clock-int64(10*time.Second), u.ReadAt)
	must.Greater(t, clock, w.bypassed[server.Listener.Addr().String()])
}

// A single instance loses the platform but still reaches other instances. It
// continues with their data, whose age counts as usual.
func TestWatcherReadsBackupsWhilePlatformIsUnreachable(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Update{ReadAt: 90, Full: true, Batch: Batch{Revision: 5, Changes: []Change{putChange("a", 3)}}})
	replica.Apply(Update{ReadAt: 100, Batch: Batch{Revision: 10, Changes: []Change{putChange("b", 10)}}})
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	defer server.Close()
	clock := int64(time.Hour)
	unreachable := scriptedRead{err: context.DeadlineExceeded}
	s := &scriptedSource{results: []scriptedRead{{batch: Batch{Revision: 5}}, unreachable, {batch: Batch{Revision: 11}}}}
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		// The first backup is unreachable.
		Plan: func() ReadPlan { return ReadPlan{Backups: [2]string{"127.0.0.1:1", server.Listener.Addr().String()}} },
		Now:  func() int64 { return clock },
	})
	must.NoError(t, w.read(t.Context()).Err)
	must.Error(t, w.read(t.Context()).Err)
	failed := w.read(t.Context())
	must.Eq(t, "127.0.0.1:1", failed.From)
	must.Error(t, failed.Err)
	// The next backup is read at once.
	relayed := w.read(t.Context())
	must.NoError(t, relayed.Err)
	must.Eq(t, server.Listener.Addr().String(), relayed.From)
	must.Eq(t, clock, relayed.ReadAt)
	must.Eq(t, []string{"list", "watch 5ns"}, s.reads)
	must.Eq(t, server.Listener.Addr().String(), w.read(t.Context()).From)

	clock += int64(sourceCooldown)
	must.Eq(t, "", w.read(t.Context()).From)
	must.Eq(t, []string{"list", "watch 5ns", "watch 10ns"}, s.reads)
}

// Guards against an entry that can't be used and hides the others from instances that read
// through this one, or stops them.
func TestUnusableEntryPassesThroughRelay(t *testing.T) {
	r := newListedReplica()
	server := httptest.NewServer(RelayHandler(r, func() int64 { return 100 }))
	defer server.Close()
	relay := &Relay{Address: server.Listener.Addr().String(), Client: server.Client()}
	r.Apply(Update{ReadAt: 100, Batch: Batch{Revision: 13, Changes: []Change{
		{Revision: 11, EndpointID: "odd\xff", Problem: "entry: exceeded max depth\xff"}, {Revision: 12, Problem: "value"}, putChange("c", 13),
	}}})
	all, err := relay.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, 13, all.Revision)
	ids := map[string]bool{}
	for _, c := range all.Changes {
		if c.Endpoint != nil {
			ids[c.EndpointID] = true
		}
	}
	must.Eq(t, map[string]bool{"a": true, "b": true, "c": true}, ids)
	since, err := relay.Watch(t.Context(), Position{Revision: 10}, 0)
	must.NoError(t, err)
	must.Eq(t, 13, since.Revision)
	must.Eq(t, "c", since.Changes[len(since.Changes)-1].EndpointID)
	// The next change is read too.
	r.Apply(Update{ReadAt: 100, Batch: Batch{Revision: 14, Changes: []Change{deleteChange("c", 14)}}})
	since, err = relay.Watch(t.Context(), Position{Revision: 13}, 0)
	must.NoError(t, err)
	must.Eq(t, []int64{14}, revisions(since))
}
