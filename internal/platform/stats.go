package platform

import (
	"maps"
	"sync"
)

// Reason names why a read is tried again.
type Reason string

// The closed list of reasons.
const (
	// ReasonUnreachable means that the connection failed.
	ReasonUnreachable Reason = "unreachable"
	// ReasonTimeout means that a call outlasted its wait and the slack.
	ReasonTimeout Reason = "timeout"
	// ReasonStatus means an unexpected HTTP status.
	ReasonStatus Reason = "status"
	// ReasonNotFound means that nothing is published under the key.
	ReasonNotFound Reason = "not_found"
	// ReasonRateLimited means that the platform answers no more reads.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonVersion means that an answer carried no version.
	ReasonVersion Reason = "version"
	// ReasonTooLarge means that a value or a file is above its bound.
	ReasonTooLarge Reason = "too_large"
	// ReasonStale means that the platform answers with a version below the
	// one held.
	ReasonStale Reason = "stale"
	// ReasonManifest means that a manifest is wrong.
	ReasonManifest Reason = "manifest"
	// ReasonPartDigest means that a part is not the one that the manifest
	// names, as while one of them is being published.
	ReasonPartDigest Reason = "part_digest"
	// ReasonInstances means that an instance list is wrong.
	ReasonInstances Reason = "instances"
)

// Stats counts what a client did.
type Stats struct {
	// Calls counts the calls made, a watch that waits as one.
	Calls int64
	// Bytes counts the bytes of values received.
	Bytes int64
	// Changes counts the values handed on.
	Changes int64
	// PartsReused counts the parts that were held already.
	PartsReused int64
	// Failures counts failed calls by reason.
	Failures map[Reason]int64
}

// statsKeeper guards the counts.
type statsKeeper struct {
	mu    sync.Mutex
	stats Stats
}

func newStatsKeeper() statsKeeper {
	return statsKeeper{stats: Stats{Failures: make(map[Reason]int64)}}
}

func (k *statsKeeper) snapshot() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Failures = maps.Clone(s.Failures)
	return s
}

func (k *statsKeeper) update(change func(*Stats)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.stats)
}

func (k *statsKeeper) call()           { k.update(func(s *Stats) { s.Calls++ }) }
func (k *statsKeeper) bytes(n int)     { k.update(func(s *Stats) { s.Bytes += int64(n) }) }
func (k *statsKeeper) change()         { k.update(func(s *Stats) { s.Changes++ }) }
func (k *statsKeeper) reused()         { k.update(func(s *Stats) { s.PartsReused++ }) }
func (k *statsKeeper) failed(r Reason) { k.update(func(s *Stats) { s.Failures[r]++ }) }
