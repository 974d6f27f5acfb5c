package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

func withOrganisations(version int64) routing.Config {
	return routing.Config{Version: version, Keys: routing.KeysRequired, Organisations: []routing.Organisation{{Name: "org", Keys: []string{"k"}}}}
}

func withoutOrganisations(version int64) routing.Config {
	return routing.Config{Version: version, Keys: routing.KeysNotRequired}
}

// Guards against routes that open since a newer configuration has lost the list of
// organisations, on instances that had it and on those that start afterwards.
func TestLostListOfOrganisationsOpensNoRoute(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.configure(withOrganisations(7))
	i.configure(withoutOrganisations(12))
	must.True(t, i.s.table.OrganisationsMissing())
	i.configure(withoutOrganisations(19))
	must.True(t, i.s.table.OrganisationsMissing())
	must.Eq(t, 7, i.s.report().KeysVersion)

	started := newServingInstance(t, 1, 4)
	started.configure(withoutOrganisations(19))
	must.False(t, started.s.table.RequiresKeys())
	(&peer{i: started}).report(func(r *Report) { r.Version, r.KeysVersion = 19, i.s.report().KeysVersion })
	must.True(t, started.s.table.OrganisationsMissing())
	must.Eq(t, 7, started.s.report().KeysVersion)
	for _, x := range []*instance{i, started} {
		x.configure(withOrganisations(23))
		must.False(t, x.s.table.OrganisationsMissing())
		must.NotNil(t, x.s.table.Organisation("k"))
	}
}

// Guards against a deployment without keys whose requests are refused, also while a first
// list of organisations spreads.
func TestDeploymentWithoutOrganisationsNeedsNoKeys(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	for version := range int64(5) {
		i.configure(withoutOrganisations(7 + version))
		must.True(t, i.running(i.arrive(route("r", 0), nil)))
	}
	i.advanceOffline(10 * time.Second)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
	i.confirmConfig()
	(&peer{i: i}).report(func(r *Report) { r.Version, r.KeysVersion = 20, 20 })
	must.False(t, i.s.table.RequiresKeys())
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// Guards against requests without a key that run on an instance which has an older
// configuration, without organisations, than others: it starts while the platform serves a
// copy, or has lost the platform.
func TestInstanceBehindAFirstListOfOrganisationsRefuses(t *testing.T) {
	i := newInstance(t, testConfig())
	older := withoutOrganisations(8)
	(&peer{i: i}).report(func(r *Report) { r.Version, r.KeysVersion = 10, 10 })
	i.applySnapshot(append(engines(1, 4), directory.Change{Config: &older})...)
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), nil)).Reason)
	public := route("public", 0)
	public.Public = true
	must.True(t, i.running(i.arrive(public, nil)))

	// A request that was resolved by the configuration before.
	i.configure(withOrganisations(10))
	before := func(q *Request) { q.Version = 8 }
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), before)).Reason)
}
