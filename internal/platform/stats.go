package platform

import (
	"maps"
	"sync"
)

// Reason classifies why a read failed.
type Reason string

// The complete list of reasons.
const (
	// ReasonUnreachable means that the connection failed.
	ReasonUnreachable Reason = "unreachable"
	// ReasonTimeout means that a call exceeded its wait plus the slack.
	ReasonTimeout Reason = "timeout"
	// ReasonStatus means an unexpected HTTP status.
	ReasonStatus Reason = "status"
	// ReasonProtocol means a response whose head is not well-formed, or a
	// value whose end only the close of the connection marks.
	ReasonProtocol Reason = "protocol"
	// ReasonNotFound means that nothing is published under the key.
	ReasonNotFound Reason = "not_found"
	// ReasonRateLimited means that the platform rejected a read because of
	// its rate limit.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonVersion means that a response carried no valid version.
	ReasonVersion Reason = "version"
	// ReasonTooLarge means that a value or a file exceeds its size limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonStale means that the platform returned a version below the
	// current one.
	ReasonStale Reason = "stale"
	// ReasonManifest means that a manifest is invalid.
	ReasonManifest Reason = "manifest"
	// ReasonPartDigest means that a part does not match its digest in the
	// manifest, for example while a new file is being published.
	ReasonPartDigest Reason = "part_digest"
	// ReasonInstances means that an instance list is invalid.
	ReasonInstances Reason = "instances"
)

// Stats holds the counts of a Client.
type Stats struct {
	// Calls counts the calls made; a long poll is one call.
	Calls int64
	// Bytes counts the received bytes of values.
	Bytes int64
	// Changes counts the delivered values.
	Changes int64
	// PartsReused counts the parts served from the cache.
	PartsReused int64
	// Failures counts failed reads by reason.
	Failures map[Reason]int64
}

// statsRecorder updates the counts. It is safe for concurrent use.
type statsRecorder struct {
	mu    sync.Mutex
	stats Stats
}

func newStatsRecorder() statsRecorder {
	return statsRecorder{stats: Stats{Failures: make(map[Reason]int64)}}
}

func (k *statsRecorder) snapshot() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Failures = maps.Clone(s.Failures)
	return s
}

func (k *statsRecorder) update(change func(*Stats)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.stats)
}

func (k *statsRecorder) countCall()            { k.update(func(s *Stats) { s.Calls++ }) }
func (k *statsRecorder) countBytes(n int)      { k.update(func(s *Stats) { s.Bytes += int64(n) }) }
func (k *statsRecorder) countChange()          { k.update(func(s *Stats) { s.Changes++ }) }
func (k *statsRecorder) countReusedPart()      { k.update(func(s *Stats) { s.PartsReused++ }) }
func (k *statsRecorder) countFailure(r Reason) { k.update(func(s *Stats) { s.Failures[r]++ }) }
