package directory

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Guards against an instance that lists again and again, since it continues from
// a revision that the platform no longer has after it came back from a copy.
func TestReplacedHistoryIsContinuedFromItsOwnRevision(t *testing.T) {
	for name, eras := range map[string][2]int64{"eras stated": {1, 2}, "no eras": {0, 0}} {
		reads, updates := runWatcher(t,
			scriptedRead{batch: Batch{Era: eras[0], Revision: 120}},
			scriptedRead{batch: Batch{Era: eras[1]}, err: ErrCompacted},
			scriptedRead{batch: Batch{Era: eras[1], Revision: 90}},
			scriptedRead{batch: Batch{Era: eras[1], Revision: 95}})
		must.Eq(t, []string{"list", "watch 120ns", "list", "watch 90ns", "watch 95ns"}, reads, must.Sprint(name))
		must.True(t, updates[2].Full, must.Sprint(name))
		must.True(t, updates[2].NewHistory, must.Sprint(name))
		must.False(t, updates[3].NewHistory, must.Sprint(name))
	}
}

// Guards against changes that are missed because the new history has already
// passed the old revision when the platform is polled again.
func TestPollIntoReplacedHistoryIsNotApplied(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Era: 1, Revision: 120}},
		scriptedRead{batch: Batch{Era: 2, Revision: 130, Changes: []Change{putChange("a", 130)}}},
		scriptedRead{batch: Batch{Era: 2, Revision: 131}})
	must.Eq(t, []string{"list", "watch 120ns", "list", "watch 131ns"}, reads)
	must.ErrorIs(t, updates[1].Err, ErrNewHistory)
	must.SliceEmpty(t, updates[1].Batch.Changes)
	must.True(t, updates[2].NewHistory)
}

// The era is stated in every answer, also in one that refuses the read.
func TestReplacedHistoryIsNoticedFromRefusals(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Era: 1, Revision: 120}},
		scriptedRead{batch: Batch{Era: 2}, err: errors.New("refused")},
		scriptedRead{batch: Batch{Era: 2, Revision: 90}})
	must.Eq(t, []string{"list", "watch 120ns", "list", "watch 90ns"}, reads)
	must.True(t, updates[2].NewHistory)
}

// Guards against an answer of an earlier history that arrives late and undoes
// what was read since.
func TestAnswerOfEarlierEraIsIgnored(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Era: 3, Revision: 90}},
		scriptedRead{batch: Batch{Era: 2, Revision: 140, Changes: []Change{putChange("a", 140)}}},
		scriptedRead{batch: Batch{Revision: 91}},
		scriptedRead{batch: Batch{Era: 3, Revision: 92}})
	must.Eq(t, []string{"list", "watch 90ns", "watch 90ns", "watch 91ns", "watch 92ns"}, reads)
	must.ErrorIs(t, updates[1].Err, ErrOldHistory)
	must.SliceEmpty(t, updates[1].Batch.Changes)
}

// A second copy is restored while the first one is being listed.
func TestSecondReplacementDuringListing(t *testing.T) {
	reads, updates := runWatcher(t,
		scriptedRead{batch: Batch{Era: 1, Revision: 120}},
		scriptedRead{batch: Batch{Era: 2}, err: ErrCompacted},
		scriptedRead{batch: Batch{Era: 3}, err: errors.New("replaced during the listing")},
		scriptedRead{batch: Batch{Era: 3, Revision: 80}})
	must.Eq(t, []string{"list", "watch 120ns", "list", "list", "watch 80ns"}, reads)
	must.True(t, updates[3].NewHistory)
}

// Guards against a loop of listings without a pause if every poll after a
// listing finds its history gone.
func TestRepeatedListingsBackOff(t *testing.T) {
	var results []scriptedRead
	for range 20 {
		results = append(results, scriptedRead{batch: Batch{Revision: 90}}, scriptedRead{err: ErrCompacted})
	}
	_, updates := runWatcher(t, results...)
	must.Greater(t, int64(2*time.Second), updates[len(updates)-1].ReadAt)
}

// Guards against a relay that hands out entries, deletions and revisions of a
// history that was replaced, and against a configuration that goes back.
func TestReplicaDropsReplacedHistory(t *testing.T) {
	r := NewReplica()
	r.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Era: 1, Revision: 120, Changes: []Change{
		putChange("a", 118), putChange("lost", 119), {Revision: 110, Config: &routing.Config{Version: 10}},
	}}})
	r.Apply(Update{ReadAt: 200, Full: true, NewHistory: true, Batch: Batch{Era: 2, Revision: 90, Changes: []Change{
		putChange("a", 88), {Revision: 70, Config: &routing.Config{Version: 8}},
	}}})
	_, _, err := r.changesSince(200, Position{Era: 1, Revision: 120})
	must.ErrorIs(t, err, ErrCompacted)
	all, _, err := r.changesSince(200, Position{})
	must.NoError(t, err)
	must.Eq(t, 2, all.Era)
	must.Eq(t, 90, all.Revision)
	must.Eq(t, []int64{0, 88}, revisions(all))
	must.Eq(t, 10, all.Changes[0].Config.Version)
	r.Apply(Update{ReadAt: 300, Batch: Batch{Era: 2, Revision: 91, Changes: []Change{{Revision: 91, Config: &routing.Config{Version: 11}}}}})
	since, _, err := r.changesSince(300, Position{Era: 2, Revision: 90})
	must.NoError(t, err)
	must.Eq(t, 11, since.Changes[0].Config.Version)
}

// An instance that reads through a relay follows it into the new history with one
// listing, and without a call to the platform.
func TestReaderFollowsRelayIntoReplacedHistory(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Era: 1, Revision: 120, Changes: []Change{putChange("a", 118)}}})
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	defer server.Close()
	s := &scriptedSource{}
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		Plan: func() ReadPlan { return ReadPlan{Relay: server.Listener.Addr().String()} },
		Now:  func() int64 { return int64(time.Hour) },
	})
	must.NoError(t, w.read(t.Context()).Err)
	replica.Apply(Update{ReadAt: 200, Full: true, NewHistory: true, Batch: Batch{Era: 2, Revision: 90, Changes: []Change{putChange("b", 88)}}})
	must.ErrorIs(t, w.read(t.Context()).Err, ErrNewHistory)
	u := w.read(t.Context())
	must.NoError(t, u.Err)
	must.True(t, u.NewHistory)
	must.Eq(t, "b", u.Batch.Changes[0].EndpointID)
	must.NoError(t, w.read(t.Context()).Err)
	must.SliceEmpty(t, s.reads)
}

// A relay that still reads the old history is bypassed.
func TestRelayInEarlierHistoryIsBypassed(t *testing.T) {
	replica := NewReplica()
	replica.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Era: 1, Revision: 120}})
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	defer server.Close()
	s := &scriptedSource{results: []scriptedRead{{batch: Batch{Era: 2, Revision: 90}}, {batch: Batch{Era: 2, Revision: 91}}}}
	plan := ReadPlan{}
	w := NewWatcher(WatcherConfig{
		Source: s, RelayClient: http.DefaultClient,
		Plan: func() ReadPlan { return plan }, Now: func() int64 { return int64(time.Hour) },
	})
	must.NoError(t, w.read(t.Context()).Err)
	plan.Relay = server.Listener.Addr().String()
	must.ErrorIs(t, w.read(t.Context()).Err, ErrOldHistory)
	u := w.read(t.Context())
	must.NoError(t, u.Err)
	must.Eq(t, "", u.From)
}
