// Package directory reads what the platform publishes: the declared
// configuration and the live endpoints. It keeps one listing up to date by a
// long poll and hands every change on, together with the moment from which
// the answer may be believed.
package directory

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
)

// ErrHistoryLost means that the changes since a revision are not available
// any more, so that everything must be listed again.
var ErrHistoryLost = errors.New("directory: history since the revision is gone")

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID      string
	Service string
	// Address is an IP number with a port.
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// Slots is the number of requests that the endpoint runs at a time.
	Slots int
	// Leaving endpoints finish what they have and take nothing new.
	Leaving bool
	// Started is the endpoint's start in Unix milliseconds, or zero.
	Started int64
}

// Change is one key that was written or deleted. At most one of Endpoint and
// Config is set.
type Change struct {
	Revision int64
	// EndpointID names the endpoint that the key is about; it is empty for
	// the configuration and for keys of no interest.
	EndpointID string
	// Endpoint is nil where the entry was deleted or names none to use.
	Endpoint *Endpoint
	Config   *routing.Config
	// Problem says why a value could not be used.
	Problem string
}

// Batch is the answer to one read.
type Batch struct {
	Changes []Change
	// Revision is where the next read continues.
	Revision int64
	// Age is by how much the answer is dated before the read began: zero from
	// the platform itself.
	Age time.Duration `json:"-"`
}

// Source is a client of the platform. Each call makes requests of its own and
// keeps to its context; none is repeated.
type Source interface {
	// List returns everything that is published.
	List(ctx context.Context) (Batch, error)
	// Watch returns what has changed after a revision, at the latest after
	// wait. It returns ErrHistoryLost where that is not known any more.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}
