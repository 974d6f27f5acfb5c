package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

var org = &routing.Organisation{Name: "org"}

func keyed(q *Request) { q.Organisation = org }

// Load pattern: an instance has no contact to the platform while keys are
// withdrawn. It refuses keyed requests before the bound ends, serves public
// requests, and serves keyed requests again as soon as the configuration is
// confirmed.
func TestKeyedRequestsAreRefusedBeforeRevocationBound(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	must.True(t, i.ready)
	i.advanceOffline(3500 * time.Millisecond)
	must.True(t, i.running(i.arrive(route("r", 0), keyed)))
	// A second of the bound is reserved for reads that missed a change.
	i.advanceOffline(500 * time.Millisecond)
	got := i.refusal(i.arrive(route("r", 0), keyed))
	must.Eq(t, ConfigStale, got.Reason)
	must.True(t, got.NotRun)
	must.False(t, i.ready)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
	i.confirmConfig()
	must.True(t, i.running(i.arrive(route("r", 0), keyed)))
	must.True(t, i.ready)
}

// An answer is valid as of the start of its read.
func TestLateReadIsDatedFromItsStart(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	readAt := int64(i.now)
	i.advanceOffline(10 * time.Second)
	i.step(DirectoryRead{Update: directory.Update{ReadAt: readAt}})
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
}

func TestFailedReadsDoNotConfirmConfig(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	for range 5 {
		i.advanceOffline(time.Second)
		i.readDirectory(directory.Update{Err: errors.New("refused")})
	}
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
}

func TestConfigVersionOnlyIncreases(t *testing.T) {
	i := newInstance(t, testConfig())
	i.advanceOffline(time.Second)
	must.False(t, i.ready)
	for _, version := range []int64{3, 7, 5, 7} {
		i.configure(routing.Config{Version: version})
	}
	must.Eq(t, 7, i.s.table.Version())
	must.True(t, i.ready)
}

func TestInvalidEntriesAreIgnored(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.applyChanges(directory.Change{Problem: "bad"}, directory.Change{EndpointID: "forged", Problem: "bad"})
	must.Eq(t, 1, i.s.table.Version())
	must.MapLen(t, 2, i.s.endpoints)
}

func TestLeavingInstanceIsNotReadyAndReportsLeaving(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.step(PeerReported{Report: Report{Incarnation: 2, Sequence: 1, Address: "10.0.0.2:1"}})
	i.reports = nil
	i.step(StopRequested{})
	must.False(t, i.ready)
	must.Len(t, 1, i.reports)
	must.True(t, i.reports[0].Report.Leaving)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// Load pattern: an instance had no contact to the platform while keys were
// withdrawn, and then receives the new configuration. Requests whose keys it
// looked up shortly before have not reached the scheduler yet.
func TestKeyIsRevalidatedAgainstNewerConfig(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	i.advanceOffline(10 * time.Second)
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
	retained := routing.Organisation{Name: "org", Keys: []string{"kept"}, Priority: 7}
	i.configure(routing.Config{Version: 2, Organisations: []routing.Organisation{retained}})

	resolvedBefore := func(key string) RequestID {
		return i.arrive(route("r", 0), func(q *Request) { q.Organisation, q.Key, q.Version = org, key, 1 })
	}
	withdrawn := i.refusal(resolvedBefore("withdrawn"))
	must.Eq(t, ConfigStale, withdrawn.Reason)
	must.True(t, withdrawn.NotRun)
	must.Positive(t, withdrawn.RetryAfter)
	id := resolvedBefore("kept")
	must.True(t, i.running(id))
	must.Eq(t, 7, i.s.requests[id].rank.organisation)
}

// Load pattern: an instance starts while the platform is unreachable, and reads
// from another instance a configuration that was last confirmed long ago.
func TestRelayedStaleConfigIsStaleAfterStart(t *testing.T) {
	i := newInstance(t, testConfig())
	i.step(DirectoryRead{Update: directory.Update{
		ReadAt: int64(i.now.Add(-4 * time.Second)), From: "10.0.0.2:1", Full: true,
		Batch: directory.Batch{Changes: append(engines(1, 50), directory.Change{Config: &routing.Config{Version: 1}}), Revision: 1},
	}})
	must.False(t, i.ready)
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
	must.True(t, i.running(i.arrive(route("r", 0), nil)))
}

// Guards against an endpoint that stays in use after its entry was removed because the
// reads of this instance were late: that is no outage of the platform, in which entries
// of live endpoints lapse.
func TestLateReadsAreNoOutageOfThePlatform(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.advance(time.Second)
	// A read through another instance is given up, and the next one transfers a large
	// configuration.
	i.advanceOffline(1800 * time.Millisecond)
	i.readDirectory(directory.Update{From: "10.0.0.2:1", Err: errors.New("timeout")})
	readAt := int64(i.now)
	i.advanceOffline(1100 * time.Millisecond)
	i.step(DirectoryRead{Update: directory.Update{ReadAt: readAt, Batch: directory.Batch{
		Changes: []directory.Change{{EndpointID: "e0", Revision: 9}}, Revision: 9}}})
	must.MapNotContainsKey(t, i.s.endpoints, "e0")
}

// An outage of the platform in which entries of live endpoints lapse, as far as one
// instance can tell.
func TestRemovalDirectlyAfterAnOutageIsPutOff(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.advance(time.Second)
	i.advanceOffline(3 * time.Second)
	i.applyChanges(directory.Change{EndpointID: "e0"})
	must.MapContainsKey(t, i.s.endpoints, "e0")
	i.advance(lapseGrace)
	must.MapNotContainsKey(t, i.s.endpoints, "e0")
}

// Guards against a read that takes long, but is answered, and is then taken for an
// outage by the next one.
func TestLongReadIsNoOutageOfThePlatform(t *testing.T) {
	i := newServingInstance(t, 2, 4)
	i.advance(time.Second)
	readAt := int64(i.now)
	i.advanceOffline(3 * time.Second)
	i.step(DirectoryRead{Update: directory.Update{ReadAt: readAt}})
	i.advanceOffline(100 * time.Millisecond)
	i.applyChanges(directory.Change{EndpointID: "e0"})
	must.MapNotContainsKey(t, i.s.endpoints, "e0")
}

// Guards against keys that count as confirmed by a read that lacks a newer
// configuration.
func TestReadWithoutTheNewestConfigurationConfirmsNoKey(t *testing.T) {
	i := newServingInstance(t, 1, 50)
	for range 5 {
		i.advanceOffline(time.Second)
		i.readDirectory(directory.Update{From: "10.0.0.2:1", ConfigBehind: true})
	}
	must.Eq(t, ConfigStale, i.refusal(i.arrive(route("r", 0), keyed)).Reason)
}
