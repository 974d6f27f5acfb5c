package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// restoreCopy delivers the first listing after the platform came back from a copy.
func (i *instance) restoreCopy(changes ...directory.Change) {
	i.readDirectory(directory.Update{Full: true, NewHistory: true, Batch: directory.Batch{Era: 2, Revision: 1, Changes: changes}})
}

func leavingEntry(c directory.Change, leaving bool) directory.Change {
	entry := *c.Endpoint
	entry.Leaving = leaving
	c.Endpoint = &entry
	return c
}

// Guards against an endpoint that was leaving, or had left, and is in use again
// because the platform came back from a copy in which it was ready.
func TestEndpointThatHadLeftStaysOutOfUseAfterCopy(t *testing.T) {
	i := newServingInstance(t, 3, 4)
	i.applyChanges(leavingEntry(engine(0, 4), true))
	i.applyChanges(directory.Change{EndpointID: "e1"})
	i.advance(time.Second)
	i.restoreCopy(engines(3, 4)...)
	for range 12 {
		i.arrive(route("r", 0), nil)
		i.advance(100 * time.Millisecond)
	}
	must.Positive(t, len(i.dispatched))
	for _, d := range i.dispatched {
		must.Eq(t, "e2", d.Endpoint.ID)
	}
	// The platform removes the entry of a process that has ended.
	i.applyChanges(directory.Change{EndpointID: "e1"})
	i.advance(missedHeartbeats*testConfig().EndpointHeartbeat + 2*entryDelay)
	must.MapNotContainsKey(t, i.s.endpoints, "e1")
	must.True(t, i.s.endpoints["e0"].Leaving)
}

// An endpoint that is alive although its entry was removed before the copy was
// restored is used once it writes again, or once its entry has outlived a process
// that has ended.
func TestLiveEndpointInCopyIsUsedAgain(t *testing.T) {
	for name, writes := range map[string]bool{"writes again": true, "stays listed": false} {
		t.Run(name, func(t *testing.T) {
			i := newServingInstance(t, 2, 4)
			i.applyChanges(directory.Change{EndpointID: "e1"})
			i.restoreCopy(engines(2, 4)...)
			must.MapNotContainsKey(t, i.s.endpoints, "e1")
			if writes {
				i.applyChanges(engine(1, 4))
			} else {
				i.advance(missedHeartbeats*testConfig().EndpointHeartbeat + entryDelay + TickInterval)
			}
			must.MapContainsKey(t, i.s.endpoints, "e1")
			must.False(t, i.s.endpoints["e1"].Leaving)
		})
	}
}

// Guards against an endpoint that is dropped at once because the copy is from
// before its start. It writes its entry again, or counts as gone.
func TestEndpointMissingInCopyIsKeptForAMoment(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.advance(time.Second)
	i.restoreCopy(engine(0, 4))
	must.MapContainsKey(t, i.s.endpoints, "e1")
	i.advance(lapseGrace - 100*time.Millisecond)
	must.MapContainsKey(t, i.s.endpoints, "e1")
	i.advance(200 * time.Millisecond)
	must.MapNotContainsKey(t, i.s.endpoints, "e1")
}

// Guards against a configuration, and with it a withdrawn key, that returns with
// the copy.
func TestConfigurationDoesNotGoBackWithCopy(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.configure(routing.Config{Version: 10})
	i.restoreCopy(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8}})...)
	must.Eq(t, 10, i.s.table.Version())
}

// Guards against an instance that starts while the platform serves a copy, and
// accepts keys that the others know to be withdrawn.
func TestInstanceThatStartsWithCopyRefusesKeys(t *testing.T) {
	i := newInstance(t, testConfig())
	org := routing.Organisation{Name: "org", Keys: []string{"k"}}
	i.applySnapshot(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8, Organisations: []routing.Organisation{org}}})...)
	p := &peer{i: i}
	p.report(func(r *Report) { r.Version = 10 })
	keyed := func(q *Request) { q.Organisation, q.Key = &i.s.table.Organisations()[0], "k" }
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
	must.False(t, i.ready)
	must.True(t, i.running(i.arrive(route("public", 0), nil)))
	i.configure(routing.Config{Version: 10, Organisations: []routing.Organisation{org}})
	must.True(t, i.running(i.arrive(route("r", 0), keyed)))
	must.True(t, i.ready)
}

// Guards against an instance that starts with an older configuration and accepts withdrawn
// keys since it heard of the newer one before its first read.
func TestNewerVersionHeardBeforeTheFirstReadRefusesKeys(t *testing.T) {
	i := newInstance(t, testConfig())
	p := &peer{i: i}
	p.report(func(r *Report) { r.Version = 10 })
	org := routing.Organisation{Name: "org", Keys: []string{"k"}}
	i.applySnapshot(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8, Organisations: []routing.Organisation{org}}})...)
	keyed := func(q *Request) { q.Organisation, q.Key = &i.s.table.Organisations()[0], "k" }
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
	must.False(t, i.ready)
	p.report(func(r *Report) { r.Version = 10 })
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
	i.configure(routing.Config{Version: 10, Organisations: []routing.Organisation{org}})
	must.True(t, i.running(i.arrive(route("r", 0), keyed)))
}

// Guards against an instance that accepts withdrawn keys in the first moments after its
// start, before it has heard from another instance which configuration is in force: the
// platform may have come back from a copy. One that hears from nobody serves after a while.
func TestKeysAreRefusedUntilAnotherInstanceIsHeard(t *testing.T) {
	for name, c := range map[string]struct {
		reports func(p *peer)
		serves  bool
	}{
		"nobody reports":                {func(*peer) {}, false},
		"one without a configuration":   {func(p *peer) { p.report(nil) }, false},
		"one with a newer version":      {func(p *peer) { p.report(func(r *Report) { r.Version = 10 }) }, false},
		"one with the same version":     {func(p *peer) { p.report(func(r *Report) { r.Version = 8 }) }, true},
		"one with an older version yet": {func(p *peer) { p.report(func(r *Report) { r.Version = 6 }) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Seeds = []string{selfAddr, "10.0.0.2:1"}
			i := newInstance(t, cfg)
			p := &peer{i: i}
			org := routing.Organisation{Name: "org", Keys: []string{"k"}}
			i.applySnapshot(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8, Organisations: []routing.Organisation{org}}})...)
			keyed := func(q *Request) { q.Organisation, q.Key = &i.s.table.Organisations()[0], "k" }
			must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
			must.True(t, i.running(i.arrive(route("public", 0), nil)))
			c.reports(p)
			must.Eq(t, c.serves, i.running(i.arrive(route("r", 0), keyed)))
			must.Eq(t, c.serves, i.ready)
			if name == "nobody reports" {
				i.advance(startDetection + TickInterval)
				must.True(t, i.running(i.arrive(route("r", 0), keyed)))
				must.True(t, i.ready)
			}
		})
	}
}

// An instance that is up to date and hears of a newer version is not stopped by
// that: the change reaches it a moment later.
func TestNewerVersionElsewhereIsAwaited(t *testing.T) {
	i := newInstance(t, testConfig())
	org := routing.Organisation{Name: "org", Keys: []string{"k"}}
	i.applySnapshot(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8, Organisations: []routing.Organisation{org}}})...)
	i.advance(2 * startDetection)
	p := &peer{i: i}
	p.report(func(r *Report) { r.Version = 10 })
	keyed := func(q *Request) { q.Organisation, q.Key = &i.s.table.Organisations()[0], "k" }
	must.True(t, i.running(i.arrive(route("r", 0), keyed)))
	for range 40 {
		i.advance(reportInterval)
		p.report(func(r *Report) { r.Version = 10 })
	}
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
}

// Guards against a single wrong report that stops an instance for good.
func TestVersionThatNobodyReportsIsForgotten(t *testing.T) {
	i := newInstance(t, testConfig())
	org := routing.Organisation{Name: "org", Keys: []string{"k"}}
	i.applySnapshot(append(engines(1, 4), directory.Change{Config: &routing.Config{Version: 8, Organisations: []routing.Organisation{org}}})...)
	p := &peer{i: i}
	p.report(func(r *Report) { r.Version = 1 << 60 })
	must.False(t, i.ready)
	i.advance(maxMissedReports*reportInterval + 2*TickInterval)
	must.True(t, i.ready)
}

// Guards against an entry without a start time, of another writer, that makes a draining
// process a new one.
func TestEntryWithoutStartDoesNotReplaceProcess(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	started := engine(0, 4)
	entry := *started.Endpoint
	entry.Started, entry.Leaving = 7, true
	started.Endpoint = &entry
	i.applyChanges(started)
	foreign := entry
	foreign.Started, foreign.Leaving = 0, false
	i.applyChanges(directory.Change{EndpointID: entry.ID, Endpoint: &foreign})
	must.Eq(t, int64(7), i.s.endpoints[entry.ID].Started)
	must.True(t, i.s.endpoints[entry.ID].Leaving)
	for range 8 {
		i.arrive(route("r", 0), nil)
		i.advance(100 * time.Millisecond)
	}
	for _, d := range i.dispatched {
		must.NotEq(t, entry.ID, d.Endpoint.ID)
	}
}
