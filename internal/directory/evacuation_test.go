package directory

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func evacuate(zone string, revision int64) Change {
	return Change{Revision: revision, EvacuatedZone: zone}
}

func restore(zone string, revision int64) Change {
	return Change{Revision: revision, EvacuatedZone: zone, Deleted: true}
}

// Guards against an instance that reads through another one and misses an evacuation, its
// end or a cold figure, in a listing or in the changes since one.
func TestRelayPassesEvacuationsAndColdFiguresOn(t *testing.T) {
	replica := newListedReplica()
	cold := putChange("c", 12)
	cold.Endpoint.ColdRemaining, cold.Endpoint.ColdStated = 3*time.Second, true
	replica.Apply(Update{ReadAt: 200, Batch: Batch{Revision: 12, Changes: []Change{evacuate("z", 11), cold}}})
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 200 }))
	defer server.Close()
	relay := &Relay{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	since, err := relay.Watch(t.Context(), Position{Revision: 10}, 0)
	must.NoError(t, err)
	must.Eq(t, []Change{evacuate("z", 11), cold}, since.Changes)
	all, err := relay.List(t.Context())
	must.NoError(t, err)
	must.SliceContains(t, all.Changes, evacuate("z", 11))
	must.SliceContains(t, all.Changes, cold)

	replica.Apply(Update{ReadAt: 200, Batch: Batch{Revision: 13, Changes: []Change{restore("z", 13)}}})
	since, err = relay.Watch(t.Context(), Position{Revision: 12}, 0)
	must.NoError(t, err)
	must.Eq(t, []Change{restore("z", 13)}, since.Changes)
	all, err = relay.List(t.Context())
	must.NoError(t, err)
	must.SliceNotContains(t, all.Changes, evacuate("z", 11))
}

// Guards against a listing that ends an evacuation although it does not know of it: it is
// from an instance of an earlier release, or from before the evacuation. A complete one
// that lacks it ends it.
func TestListingEndsOnlyEvacuationsThatItCoversInReplica(t *testing.T) {
	for name, c := range map[string]struct {
		batch Batch
		ends  bool
	}{
		"earlier release": {Batch{Revision: 20}, false},
		"older data":      {Batch{Revision: 10, Evacuations: true}, false},
		"complete":        {Batch{Revision: 20, Evacuations: true}, true},
	} {
		r := newListedReplica()
		r.Apply(Update{ReadAt: 200, Batch: Batch{Revision: 11, Changes: []Change{evacuate("z", 11)}}})
		r.Apply(Update{ReadAt: 300, Full: true, Batch: c.batch})
		all, _, err := r.changesSince(300, Position{})
		must.NoError(t, err)
		must.Eq(t, c.ends, len(all.Changes) == 1, must.Sprint(name))
		must.Eq(t, c.batch.Evacuations, all.Evacuations)
	}
}

// earlierChange is a change as an earlier release decodes it.
type earlierChange struct {
	Revision   int64
	EndpointID string
	Endpoint   *struct{ ID string }
	Config     *struct{}
	Problem    string
}

// Guards against changes that an instance of an earlier release can't read, or that it
// takes for something else, and against fields that appear where nothing is evacuated.
func TestEvacuationsAreReadableByEarlierReleases(t *testing.T) {
	text, err := json.Marshal(evacuate("z", 11))
	must.NoError(t, err)
	var earlier earlierChange
	must.NoError(t, json.Unmarshal(text, &earlier))
	must.Eq(t, earlierChange{Revision: 11}, earlier)

	plain, err := json.Marshal(putChange("a", 3))
	must.NoError(t, err)
	for _, field := range []string{"Evacuated", "Deleted", "Cold"} {
		must.StrNotContains(t, string(plain), field)
	}
}
