package directory

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// relayOf returns the address of a server that serves a replica, whose configuration an
// instance of an earlier release may have passed on.
func relayOf(t *testing.T, replica *Replica) string {
	server := httptest.NewServer(RelayHandler(replica, func() int64 { return 100 }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func listedConfig(c routing.Config) *Replica {
	r := NewReplica()
	r.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Revision: 12, Changes: []Change{putChange("a", 3), {Revision: 11, Config: &c}}}})
	return r
}

// Guards against an empty list of organisations that becomes none on its way through
// another instance.
func TestKeyRequirementPassesThroughRelays(t *testing.T) {
	for _, c := range []routing.Config{
		{Version: 7, Keys: routing.KeysRequired},
		{Version: 7, Keys: routing.KeysNotRequired},
		{Version: 7, Organisations: []routing.Organisation{{Name: "o"}}},
	} {
		first := listedConfig(c)
		batch, err := (&Relay{Address: relayOf(t, first), Client: http.DefaultClient}).Config(t.Context())
		must.NoError(t, err)
		second := NewReplica()
		second.Apply(Update{ReadAt: 100, Full: true, Batch: Batch{Revision: 12, Changes: batch.Changes}})
		batch, err = (&Relay{Address: relayOf(t, second), Client: http.DefaultClient}).Config(t.Context())
		must.NoError(t, err)
		must.Eq(t, c.KeyRequirement(), batch.Changes[0].Config.KeyRequirement())
	}
}

// Guards against a cached encoding that is sent although the configuration was replaced by
// another one of the same version, as when the operator writes again after a copy.
func TestEncodedConfigurationIsThatInForce(t *testing.T) {
	r := listedConfig(routing.Config{Version: 7, Keys: routing.KeysNotRequired})
	relay := &Relay{Address: relayOf(t, r), Client: http.DefaultClient}
	_, err := relay.Config(t.Context())
	must.NoError(t, err)
	r.Apply(Update{ReadAt: 200, Batch: Batch{Revision: 13, Changes: []Change{{Revision: 13, Config: &routing.Config{Version: 7, Keys: routing.KeysRequired}}}}})
	batch, err := relay.Config(t.Context())
	must.NoError(t, err)
	must.Eq(t, routing.KeysRequired, batch.Changes[0].Config.KeyRequirement())
}

// Guards against an empty list of organisations that an instance of an earlier release
// passes on as none. The configuration is read from the platform; while that is
// unreachable, the one before counts as overtaken and is not confirmed.
func TestUnstatedKeyRequirementIsReadFromThePlatform(t *testing.T) {
	address := relayOf(t, listedConfig(routing.Config{Version: 7}))
	required := Change{Revision: 11, Config: &routing.Config{Version: 7, Keys: routing.KeysRequired}}
	for name, reachable := range map[string]bool{"reachable": true, "unreachable": false} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSource{cancel: func() {}}
			if reachable {
				s.results = []scriptedRead{{batch: Batch{Changes: []Change{required}}}}
			}
			w := NewWatcher(WatcherConfig{
				Source: s, RelayClient: http.DefaultClient, Now: func() int64 { return int64(time.Hour) },
				Plan: func() ReadPlan { return ReadPlan{Relay: address} },
			})
			withheld := false
			for range 50 {
				u := w.read(t.Context())
				withheld = withheld || u.Err == ErrKeysUnstated
				if u.Err == nil && len(u.Batch.Changes) > 0 && u.Batch.Changes[0].Config != nil {
					must.True(t, reachable)
					must.True(t, withheld)
					must.Eq(t, routing.KeysRequired, u.Batch.Changes[0].Config.KeyRequirement())
					must.False(t, u.ConfigBehind)
					return
				}
				must.True(t, u.Err != nil || u.ConfigBehind)
			}
			must.False(t, reachable)
			must.True(t, withheld)
		})
	}
}

// Guards against configurations in the changes of instances that do not announce them.
func TestUnstatedKeyRequirementInChangesIsAnnounced(t *testing.T) {
	b := Batch{Changes: []Change{putChange("a", 3), configChange(7, 11), {Revision: 12, Config: &routing.Config{Version: 6}}}}
	b.Changes[1].Config.Keys = routing.KeysUnstated
	b.announceUnstated()
	must.Eq(t, []int64{3}, revisions(b))
	must.Eq(t, 7, b.ConfigVersion)
}
