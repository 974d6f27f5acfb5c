package directory

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an instance that answers readers as if it had seen deletions which it has
// not: those before its first listing, those between a read and a later listing, and those
// that it has forgotten.
func TestReplicaRefusesReadersFromBeforeItsHistory(t *testing.T) {
	since := func(r *Replica, revision int64) error {
		_, _, err := r.changesSince(1000, Position{Era: r.era, Revision: revision})
		return err
	}
	listing := func(era, revision int64) Update {
		return Update{ReadAt: 100, Full: true, Batch: Batch{Era: era, Revision: revision, Changes: []Change{putChange("a", 3)}}}
	}
	first := NewReplica()
	first.Apply(listing(1, 10))
	must.ErrorIs(t, since(first, 9), ErrCompacted)
	must.NoError(t, since(first, 10))

	// An entry that was written and deleted after 12 is in neither read.
	again := NewReplica()
	again.Apply(listing(1, 10))
	again.Apply(Update{ReadAt: 200, Batch: Batch{Era: 1, Revision: 12, Changes: []Change{deleteChange("b", 11)}}})
	must.NoError(t, since(again, 10))
	again.Apply(listing(1, 20))
	must.ErrorIs(t, since(again, 13), ErrCompacted)
	must.NoError(t, since(again, 20))

	replaced := NewReplica()
	replaced.Apply(listing(1, 40))
	u := listing(2, 30)
	u.NewHistory = true
	replaced.Apply(u)
	must.ErrorIs(t, since(replaced, 29), ErrCompacted)
	must.NoError(t, since(replaced, 30))

	// Forgotten deletions do not reach further back than a listing.
	overflown := NewReplica()
	overflown.Apply(listing(1, 1))
	for n := range int64(maxTombstones) {
		overflown.Apply(Update{ReadAt: 200, Batch: Batch{Era: 1, Revision: n + 2, Changes: []Change{deleteChange(fmt.Sprint(n), n+2)}}})
	}
	overflown.Apply(listing(1, 5000))
	overflown.Apply(Update{ReadAt: 300, Batch: Batch{Era: 1, Revision: 5001, Changes: []Change{deleteChange("last", 5001)}}})
	must.ErrorIs(t, since(overflown, 4000), ErrCompacted)
	must.NoError(t, since(overflown, 5000))
}

// Guards against an instance that keeps an endpoint whose entry was removed while it was
// cut off from the platform and those that it reads from were restarted.
func TestRemovalIsSeenAfterRelaysRestart(t *testing.T) {
	const size = 20
	first := func(n int) []int {
		var out []int
		for k := range n {
			out = append(out, k)
		}
		return out
	}
	for name, c := range map[string]struct {
		// cut lose the platform for a while, killed are restarted meanwhile, earlier are
		// of an earlier release.
		cut, killed, earlier []int
	}{
		"relays, a reader cut off":                 {[]int{5}, first(2), nil},
		"all others, a reader cut off":             {[]int{5}, append(first(5), first(20)[6:]...), nil},
		"a relay, a relay cut off":                 {[]int{0}, []int{1, 10, 11}, nil},
		"relays and backups, half cut off":         {first(20)[10:], first(12), nil},
		"earlier relays, a reader cut off":         {[]int{5}, first(2), first(2)},
		"earlier ones, a reader cut off":           {[]int{5}, append(first(5), first(20)[6:]...), append(first(5), first(20)[6:]...)},
		"earlier relays and backups, some cut off": {first(20)[10:14], first(10), first(10)},
		"nobody restarts":                          {first(20)[2:], nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newFleet(ctx, size)
					f.mu.Lock()
					for _, n := range c.earlier {
						f.instances[n].earlier = true
					}
					f.mu.Unlock()
					f.publish(putChange("other", 0))
					time.Sleep(10*time.Second + time.Duration(phase)*130*time.Millisecond)
					cutOff := func(cut bool) {
						f.mu.Lock()
						defer f.mu.Unlock()
						for _, n := range c.cut {
							f.instances[n].withoutPlatform = cut
						}
					}
					cutOff(true)
					time.Sleep(time.Second)
					for _, n := range c.killed {
						f.instances[n].stop()
					}
					time.Sleep(500 * time.Millisecond)
					f.publish(deleteChange("e", 0))
					time.Sleep(500 * time.Millisecond)
					for _, n := range c.killed {
						f.instances[n].start(ctx)
					}
					time.Sleep(3500 * time.Millisecond)
					f.publish(putChange("new", 0))
					cutOff(false)
					// ContactMs of the platform's pages, after which rules hold.
					time.Sleep(3 * time.Second)
					known := f.known()
					cancel()
					// Lets what is in progress end.
					time.Sleep(time.Second)
					for n, ids := range known {
						must.Eq(t, []string{"new", "other"}, ids, must.Sprintf("instance %d, phase %d", n, phase))
					}
				})
			}
		})
	}
}

// Guards against restarts that make the readers of the restarted instance list the platform
// as well: several hundred would do so at the same time.
func TestRestartsInTurnCostNoFurtherListings(t *testing.T) {
	const size = 195
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, size)
		time.Sleep(5 * time.Second)
		before := f.listings()
		for n, i := range f.instances {
			i.stop()
			f.publish(putChange(fmt.Sprint("e", n), 0))
			time.Sleep(200 * time.Millisecond)
			f.publish(deleteChange(fmt.Sprint("e", n), 0))
			i.start(ctx)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d listings of the platform at the start, %d for %d restarts", before, f.listings()-before, size)
		listings, known := f.listings()-before, f.known()
		cancel()
		time.Sleep(time.Second)
		must.LessEq(t, size, listings)
		for n, ids := range known {
			must.Eq(t, []string{"e"}, ids, must.Sprintf("instance %d", n))
		}
	})
}

// Guards against a chain of readers that does not know where its history begins: what an
// instance states is what holds for the data that it has, and a listing from one that
// states nothing is passed on as such until the platform was listed.
func TestHistoryIsStatedAlongChains(t *testing.T) {
	replica := NewReplica()
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	defer server.Close()
	relay := &Relay{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	unlisted, err := relay.List(t.Context())
	must.ErrorIs(t, err, ErrCompacted)
	must.Eq(t, 0, unlisted.HistorySince)

	replica.Apply(Update{ReadAt: 100, Full: true, Provisional: true, Batch: Batch{Revision: 10, Changes: []Change{putChange("a", 3)}}})
	batch, err := relay.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, 0, batch.HistorySince)
	must.NotNil(t, batch.Session)

	replica.Apply(Update{ReadAt: 200, Full: true, Batch: Batch{Revision: 12, Changes: []Change{putChange("a", 3)}}})
	batch, err = relay.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, 12, batch.HistorySince)
	refused, err := relay.Watch(t.Context(), Position{Revision: 11}, 0)
	must.ErrorIs(t, err, ErrCompacted)
	must.Eq(t, 12, refused.HistorySince)
}
