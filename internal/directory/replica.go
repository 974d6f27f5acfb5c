package directory

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cockroachdb/errors"
)

// maxTombstones bounds the deletions that a Replica retains. A reader at a
// revision before the oldest one must request a full listing.
const maxTombstones = 2048

// Replica holds the data that an instance has read, so that other instances
// can read it here instead of from the platform. It is safe for concurrent
// use.
type Replica struct {
	mu         sync.Mutex
	entries    map[string]Change
	tombstones []Change
	hasListing bool
	// evacuations is set if the listing contained the evacuations.
	evacuations bool
	// historySince is the revision from which on all deletions are retained. Those before
	// the first listing, or between a listing and the read before it, were never seen.
	historySince int64
	// provisional is that of the latest listing.
	provisional bool
	// era and revision are the position of the data.
	era, revision int64
	// confirmedAt is the time as of which the data is known to be current:
	// when the most recent successful read began.
	confirmedAt int64
	// lateSince is when the read began whose answer is late, or zero.
	lateSince int64
	// announcedConfig is the version of the newest configuration that is known of,
	// encodedConfig caches the answer that contains the newest one received.
	announcedConfig int64
	encodedConfig   encodedConfig
	// changed is closed and replaced whenever a successful read is applied.
	changed chan struct{}
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica {
	return &Replica{entries: map[string]Change{}, changed: make(chan struct{})}
}

// key identifies the object that a change belongs to.
func (c Change) key() string {
	if c.Config != nil {
		return ""
	}
	if c.EvacuatedZone != "" {
		return "evacuation/" + c.EvacuatedZone
	}
	return "endpoint/" + c.EndpointID
}

// relevant reports whether the change belongs to the configuration, to an endpoint or to
// an evacuation.
func (c Change) relevant() bool {
	return c.Config != nil || c.EndpointID != "" || c.EvacuatedZone != ""
}

// Apply applies the result of a read. Of failed reads only one whose answer is late
// counts: readers must not wait for it.
func (r *Replica) Apply(u Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(u.Err, ErrLate) {
		r.lateSince = u.ReadAt
		r.wake()
	}
	if u.Err != nil {
		return
	}
	if u.NewHistory || u.Batch.Era > r.era {
		r.replaceHistory(u.Batch.Era)
	}
	if u.Full {
		r.removeUnlisted(u.Batch)
	}
	for _, c := range u.Batch.Changes {
		r.apply(c)
	}
	r.hasListing = r.hasListing || u.Full
	if u.Full {
		r.evacuations, r.provisional = u.Batch.Evacuations, u.Provisional
		r.historySince = max(r.historySince, u.Batch.Revision)
	}
	r.revision = max(r.revision, u.Batch.Revision)
	r.announcedConfig = max(r.announcedConfig, u.Batch.ConfigVersion)
	if !u.ConfigBehind {
		r.confirmedAt = max(r.confirmedAt, u.ReadAt)
	}
	if r.confirmedAt >= r.lateSince {
		r.lateSince = 0
	}
	r.wake()
}

// wake lets the readers look at the data again.
func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// replaceHistory drops what was read in an earlier history, whose revisions mean
// nothing in the new one. The configuration stays until a newer version arrives.
func (r *Replica) replaceHistory(era int64) {
	config, known := r.entries[""]
	r.entries = map[string]Change{}
	if known {
		config.Revision = 0
		r.entries[""] = config
	}
	r.tombstones = nil
	r.era, r.revision, r.historySince = era, 0, 0
}

func (r *Replica) apply(c Change) {
	known := r.entries[c.key()]
	if !c.relevant() || c.Revision < known.Revision {
		return
	}
	if c.Config != nil && known.Config != nil && c.Config.Version < known.Config.Version {
		return
	}
	if c.Config != nil || c.Endpoint != nil || c.EvacuatedZone != "" && !c.Deleted {
		r.entries[c.key()] = c
		if c.Config != nil {
			r.announcedConfig = max(r.announcedConfig, c.Config.Version)
		}
		return
	}
	delete(r.entries, c.key())
	r.tombstones = append(r.tombstones, c)
	if len(r.tombstones) > maxTombstones {
		r.historySince = max(r.historySince, r.tombstones[0].Revision)
		r.tombstones = r.tombstones[1:]
	}
}

// removeUnlisted deletes the entries that a full listing does not contain.
func (r *Replica) removeUnlisted(b Batch) {
	listed := map[string]bool{}
	for _, c := range b.Changes {
		listed[c.key()] = true
	}
	for key, known := range r.entries {
		if known.EvacuatedZone != "" && (!b.Evacuations || known.Revision > b.Revision) {
			// The listing says nothing about it.
			continue
		}
		if key != "" && !listed[key] {
			delete(r.entries, key)
		}
	}
}

// Watch returns the changes after a position, and how far they were out of
// date at requestedAt, the time of the call by the clock of the updates. It
// waits for at most wait until a read that began at or after requestedAt has
// succeeded, a newer revision is available, or the answer to a read of this instance is
// late.
func (r *Replica) Watch(ctx context.Context, requestedAt int64, after Position, wait time.Duration) (Batch, time.Duration, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		r.mu.Lock()
		done, changed := r.lateSince != 0 || r.confirmedAt >= requestedAt || (r.revision > after.Revision || r.otherHistory(after)) && r.hasListing, r.changed
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
	return r.changesSince(requestedAt, after)
}

// otherHistory reports whether a reader's position belongs to another era.
func (r *Replica) otherHistory(p Position) bool { return p.Era != 0 && r.era != 0 && p.Era != r.era }

// changesSince returns the changes after a position, or a full listing for
// revision zero, and how far the data was out of date at requestedAt.
func (r *Replica) changesSince(requestedAt int64, position Position) (Batch, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	after := position.Revision
	if !r.hasListing || after > 0 && (after < r.historySince || r.otherHistory(position)) {
		return Batch{Era: r.era, HistorySince: r.statedHistory()}, 0, ErrCompacted
	}
	batch := Batch{
		Era: r.era, Revision: max(r.revision, after), Late: r.lateSince != 0, ConfigVersion: r.announcedConfig,
		Evacuations: r.evacuations, HistorySince: r.statedHistory(),
	}
	for _, c := range r.entries {
		if c.Revision > after || after == 0 {
			batch.Changes = append(batch.Changes, c)
		}
	}
	for _, c := range r.tombstones {
		if after > 0 && c.Revision > after {
			batch.Changes = append(batch.Changes, c)
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return int(a.Revision - b.Revision) })
	return batch, time.Duration(max(requestedAt-r.confirmedAt, 0)), nil
}

// statedHistory returns historySince, or zero if the data may lack a deletion.
func (r *Replica) statedHistory() int64 {
	if !r.hasListing || r.provisional {
		return 0
	}
	return r.historySince
}

// encodedConfig is a configuration as it is sent to other instances.
type encodedConfig struct {
	config *routing.Config
	body   []byte
}

// errNoConfig means that no configuration has been received yet.
var errNoConfig = errors.New("directory: no configuration")

// encodeConfig returns the newest configuration received as compressed JSON.
func (r *Replica) encodeConfig() ([]byte, error) {
	r.mu.Lock()
	change, known := r.entries[""]
	encoded := r.encodedConfig
	r.mu.Unlock()
	switch {
	case !known:
		return nil, errNoConfig
	case encoded.config == change.Config:
		return encoded.body, nil
	}
	var out bytes.Buffer
	packer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "directory: configuration")
	}
	if err := errors.CombineErrors(json.NewEncoder(packer).Encode(change), packer.Close()); err != nil {
		return nil, errors.Wrap(err, "directory: configuration")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.encodedConfig = encodedConfig{change.Config, out.Bytes()}
	return out.Bytes(), nil
}
