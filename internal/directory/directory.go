// Package directory reads the configuration and the live endpoints that the
// platform publishes. It keeps one listing current by long polling and passes
// on every change, together with the time as of which the data is known to be
// current.
package directory

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
)

// ErrCompacted means that the changes since a revision are no longer
// available, so that a full listing is needed.
var ErrCompacted = errors.New("directory: history since the revision is gone")

// Errors of reads whose answer belongs to another history than the one read
// before.
var (
	// ErrNewHistory means that the platform has come back from a copy, so that a
	// full listing is needed.
	ErrNewHistory = errors.New("directory: the platform's history was replaced")
	// ErrOldHistory means that the answer is older than what was read before.
	ErrOldHistory = errors.New("directory: answer is from before the last read")
)

// ErrLate means that no answer has arrived in time that is current. The read goes on.
var ErrLate = errors.New("directory: answer is late")

// ErrKeysUnstated means that a configuration does not tell whether requests need keys:
// an instance of an earlier release, which takes an empty list of organisations for none,
// has passed it on.
var ErrKeysUnstated = errors.New("directory: configuration does not state whether keys are required")

// ErrUnprovenHistory means that the changes which another instance returned may lack
// deletions: it does not state since when it has seen them all.
var ErrUnprovenHistory = errors.New("directory: answer may lack deletions")

// Position is a point in the platform's history.
type Position struct {
	// Era is the number of the history. It increases when the platform comes back
	// from a copy, which gives revisions out again. Zero means not stated.
	Era      int64
	Revision int64
}

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID      string
	Service string
	// Address is an IP address with a port.
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// Slots is the number of requests that the endpoint runs at a time.
	Slots int
	// Leaving is set for an endpoint that finishes its running requests and
	// accepts no new ones.
	Leaving bool
	// Started is the endpoint's start time in Unix milliseconds, or zero if
	// unknown.
	Started int64
	// Version is the version of the endpoint's software, or empty if unknown.
	Version string
	// ColdRemaining is how much longer the endpoint is cold, as of when the entry was
	// written, if ColdStated is set.
	ColdRemaining time.Duration `json:",omitempty"`
	ColdStated    bool          `json:",omitempty"`
}

// Change is the write or deletion of one key. At most one of Endpoint, Config and
// EvacuatedZone is set.
type Change struct {
	Revision int64
	// EndpointID identifies the endpoint that the key belongs to. It is empty
	// for the configuration and for unrelated keys.
	EndpointID string
	// Endpoint is nil if the entry was deleted or is not usable.
	Endpoint *Endpoint
	Config   *routing.Config
	// EvacuatedZone is the zone whose evacuation the key states. Deleted is set if the
	// key was deleted, which ends the evacuation. Instances of earlier releases ignore
	// such changes.
	EvacuatedZone string `json:",omitempty"`
	Deleted       bool   `json:",omitempty"`
	// Problem describes why a value, or the part of one, could not be used.
	Problem string
}

// Batch is the result of one read.
type Batch struct {
	Changes []Change
	// Era is the era of the answer, also of one that failed; zero if not stated.
	Era int64
	// Revision is the revision from which the next read continues.
	Revision int64
	// Age is how far the data was out of date when the read began. It is zero
	// for reads from the platform.
	Age time.Duration `json:"-"`
	// Late is set if the instance that served the read is itself waiting for an answer
	// that is late.
	Late bool `json:"-"`
	// Evacuations is set if a listing contains the evacuations. It is not set by instances
	// of earlier releases, whose listings do not end evacuations by lacking them.
	Evacuations bool `json:",omitempty"`
	// HistorySince is the revision from which on the instance that served the read has
	// seen all deletions. Zero means not stated: it is of an earlier release, or relies on
	// one that is. Reads from the platform do not set it.
	HistorySince int64 `json:"-"`
	// Session identifies the connection on which an instance answered, and thereby its
	// process. It is nil if unknown.
	Session any `json:"-"`
	// ConfigVersion is the version of the newest configuration that the instance which
	// served the read knows of, or zero. Such a read does not contain configurations.
	ConfigVersion int64 `json:"-"`
}

// Source is a client of the platform. Each call issues its own requests,
// honours its context and does not retry.
type Source interface {
	// List returns everything that is published.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a position, waiting at most wait for
	// one. It returns ErrCompacted if those changes are no longer available.
	Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
	// Config returns the newest configuration alone.
	Config(ctx context.Context) (Batch, error)
}
