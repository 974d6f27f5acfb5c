package directory

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxTombstones bounds the deletions that a Replica remembers. Who asks for
// changes since before the oldest one must list everything.
const maxTombstones = 2048

// Replica is what an instance has read, kept so that others may read it here
// instead of from the platform. It may be used concurrently.
type Replica struct {
	mu       sync.Mutex
	latest   map[string]Change
	deleted  []Change
	complete bool
	// oldest is the revision before which deletions are not remembered.
	oldest   int64
	revision int64
	// confirmed is when the last answered read began.
	confirmed int64
	// changed is closed at the next confirmation.
	changed chan struct{}
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica {
	return &Replica{latest: map[string]Change{}, changed: make(chan struct{})}
}

// key names what a change is about.
func (c Change) key() string {
	if c.Config != nil {
		return ""
	}
	return "endpoint/" + c.EndpointID
}

// kept reports whether the change says something that others need.
func (c Change) kept() bool { return c.Config != nil || c.EndpointID != "" }

// Apply takes over an answered read.
func (r *Replica) Apply(u Update) {
	if u.Err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Whole {
		r.dropMissing(u.Batch)
	}
	for _, c := range u.Batch.Changes {
		r.apply(c)
	}
	r.complete = r.complete || u.Whole
	r.revision = max(r.revision, u.Batch.Revision)
	r.confirmed = max(r.confirmed, u.Asked)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) apply(c Change) {
	if !c.kept() || c.Revision < r.latest[c.key()].Revision {
		return
	}
	if c.Config != nil || c.Endpoint != nil {
		r.latest[c.key()] = c
		return
	}
	delete(r.latest, c.key())
	r.deleted = append(r.deleted, c)
	if len(r.deleted) > maxTombstones {
		r.oldest = r.deleted[0].Revision
		r.deleted = r.deleted[1:]
	}
}

// dropMissing forgets what a whole listing does not hold. When it was deleted
// is not known, so earlier readers must list everything.
func (r *Replica) dropMissing(b Batch) {
	listed := map[string]bool{}
	for _, c := range b.Changes {
		listed[c.key()] = true
	}
	for key := range r.latest {
		if key != "" && !listed[key] {
			delete(r.latest, key)
			r.oldest = max(r.oldest, b.Revision)
		}
	}
}

// Watch waits until a read is answered that began after asked, the time of the
// call by the clock of the updates, or until wait has passed. It returns what
// has changed after a revision, and by how much the answer is dated before
// asked.
func (r *Replica) Watch(ctx context.Context, asked, after int64, wait time.Duration) (Batch, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		r.mu.Lock()
		done, changed := r.confirmed >= asked || r.revision > after && r.complete, r.changed
		r.mu.Unlock()
		if done {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return Batch{}, 0, ctx.Err()
		}
	}
	return r.since(asked, after)
}

// since returns the changes after a revision; all of them for revision zero.
func (r *Replica) since(asked, after int64) (Batch, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete || after > 0 && after < r.oldest {
		return Batch{}, 0, ErrHistoryLost
	}
	batch := Batch{Revision: max(r.revision, after)}
	for _, c := range r.latest {
		if c.Revision > after || after == 0 {
			batch.Changes = append(batch.Changes, c)
		}
	}
	for _, c := range r.deleted {
		if after > 0 && c.Revision > after {
			batch.Changes = append(batch.Changes, c)
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return int(a.Revision - b.Revision) })
	return batch, time.Duration(max(asked-r.confirmed, 0)), nil
}
