package platform

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// DeclaredFile is one published declared file.
type DeclaredFile struct {
	// Manifest is the published value: the manifest if IsManifest is set,
	// otherwise the whole file.
	Manifest []byte
	// Parts holds the parts of the file in the manifest's order; concatenated
	// they are the file. They must not be modified.
	Parts      [][]byte
	IsManifest bool
	// Version is the platform's version of the value.
	Version uint64
}

// Watcher watches one published value. It is a suture service.
type Watcher struct {
	name   string
	client *Client
	path   string
	// deliver validates a newer value and passes it to the callback. It returns
	// a reason and an error if the value is invalid or must be read again.
	deliver func(ctx context.Context, r readResult) (Reason, error)
	random  *rand.Rand

	// version is the newest version that was delivered or permanently rejected.
	version uint64
	// lowerVersionSince is when the platform first returned a lower version.
	lowerVersionSince time.Time
	failures          int
}

// Streams of the seeded random generator, one per watch.
const (
	fileStream = iota + 1
	instancesStream
)

// FileWatcher returns a service that calls onFile with each change of the
// declared file, on the service's goroutine.
func (c *Client) FileWatcher(onFile func(DeclaredFile)) *Watcher {
	w := c.newWatcher("platform file", valuesPath+declared.Key, fileStream)
	reader := &fileAssembler{client: c, partCache: make(map[declared.Digest][]byte), onFile: onFile}
	w.deliver = reader.deliver
	return w
}

// InstancesWatcher returns a service that calls onInstances with each change of
// the instance list, on the service's goroutine.
func (c *Client) InstancesWatcher(onInstances func([]reducer.Instance)) *Watcher {
	w := c.newWatcher("platform instances", instancesPath, instancesStream)
	w.deliver = func(_ context.Context, r readResult) (Reason, error) {
		instances, err := parseInstances(r.bytes)
		if err != nil {
			return ReasonInstances, err
		}
		onInstances(instances)
		return "", nil
	}
	return w
}

// WatchFile calls onFile with each change of the declared file until ctx ends.
func (c *Client) WatchFile(ctx context.Context, onFile func(DeclaredFile)) error {
	return c.FileWatcher(onFile).Serve(ctx)
}

// WatchInstances calls onInstances with each change of the instance list until
// ctx ends.
func (c *Client) WatchInstances(ctx context.Context, onInstances func([]reducer.Instance)) error {
	return c.InstancesWatcher(onInstances).Serve(ctx)
}

func (c *Client) newWatcher(name, path string, stream uint64) *Watcher {
	return &Watcher{
		name: name, client: c, path: path,
		random: rand.New(rand.NewPCG(c.options.Seed, stream)),
	}
}

// String returns the name of the service.
func (w *Watcher) String() string { return w.name }

// Serve watches until ctx ends. It has at most one call in flight.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		delay := w.poll(ctx)
		// MinInterval also limits the rate against a platform that responds
		// immediately.
		delay = max(delay, w.client.options.MinInterval-time.Since(started))
		if !sleep(ctx, delay) {
			break
		}
	}
	return ctx.Err()
}

// poll makes one read and returns the delay before the next one.
func (w *Watcher) poll(ctx context.Context) time.Duration {
	r := w.client.read(ctx, w.path, w.version, w.jittered(w.client.options.Wait))
	switch {
	case ctx.Err() != nil:
		return 0
	case r.reason != "":
		w.skipPermanentFailure(r.reason, r.version)
		return w.recordFailure(r.reason, r.err)
	case r.version < w.version:
		return w.handleLowerVersion(r.version)
	case r.bytes == nil:
		w.resetFailures()
		return 0
	}
	return w.deliverChange(ctx, r)
}

// deliverChange delivers a newer value and returns the delay before the next
// read.
func (w *Watcher) deliverChange(ctx context.Context, r readResult) time.Duration {
	reason, err := w.deliver(ctx, r)
	if ctx.Err() != nil {
		return 0
	}
	w.skipPermanentFailure(reason, r.version)
	if reason != "" {
		return w.recordFailure(reason, err)
	}
	w.client.stats.countChange()
	w.resetFailures()
	w.version = r.version
	return w.client.options.MinInterval
}

// skipPermanentFailure marks a permanently invalid version as read, because
// reading it again would return the same value.
func (w *Watcher) skipPermanentFailure(reason Reason, version uint64) {
	if reason.permanent() {
		w.version = version
	}
}

// handleLowerVersion handles a version below the current one. Such a value is
// not delivered until the platform has returned lower versions for StaleReset.
func (w *Watcher) handleLowerVersion(version uint64) time.Duration {
	now := time.Now()
	if w.lowerVersionSince.IsZero() {
		w.lowerVersionSince = now
	}
	err := errors.Newf("version %d is below the current version %d", version, w.version)
	if now.Sub(w.lowerVersionSince) >= w.client.options.StaleReset {
		w.version = 0
		w.lowerVersionSince = time.Time{}
	}
	return w.recordFailure(ReasonStale, err)
}

func (w *Watcher) resetFailures() {
	w.failures = 0
	w.lowerVersionSince = time.Time{}
}

// recordFailure counts a failure and returns the delay before the next read.
func (w *Watcher) recordFailure(reason Reason, err error) time.Duration {
	w.client.stats.countFailure(reason)
	if w.client.options.OnFailure != nil {
		w.client.options.OnFailure(reason, err)
	}
	o := w.client.options
	delay := o.BackoffMin << min(w.failures, maxBackoffDoublings)
	w.failures++
	return w.jittered(min(delay, o.BackoffMax))
}

// maxBackoffDoublings prevents the doubled delay from overflowing.
const maxBackoffDoublings = 20

// jittered returns a random duration between d/2 and d.
func (w *Watcher) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}

// permanent reports whether the reason holds for every read of the same version.
func (r Reason) permanent() bool {
	return r == ReasonInstances || r == ReasonManifest || r == ReasonTooLarge
}

// fileAssembler fetches the parts of a manifest and delivers the file.
type fileAssembler struct {
	client *Client
	// partCache holds the fetched parts of the most recent manifest.
	partCache map[declared.Digest][]byte
	onFile    func(DeclaredFile)
}

func (f *fileAssembler) deliver(ctx context.Context, r readResult) (Reason, error) {
	if !declared.IsManifest(r.bytes) {
		clear(f.partCache)
		f.onFile(DeclaredFile{Manifest: r.bytes, Version: r.version})
		return "", nil
	}
	m, err := declared.ParseManifest(r.bytes)
	if err != nil {
		return ReasonManifest, err
	}
	f.dropUnreferencedParts(m)
	parts, reason, err := f.fetchParts(ctx, m)
	if reason != "" {
		return reason, err
	}
	f.onFile(DeclaredFile{Manifest: r.bytes, Parts: parts, IsManifest: true, Version: r.version})
	return "", nil
}

// fetchParts returns the parts of a manifest and fetches those that are not
// cached.
func (f *fileAssembler) fetchParts(ctx context.Context, m *declared.Manifest) ([][]byte, Reason, error) {
	parts := make([][]byte, 0, len(m.Parts))
	total := 0
	for _, p := range m.Parts {
		part, reason, err := f.fetchPart(ctx, p)
		if reason != "" {
			return nil, reason, errors.Wrapf(err, "part %q", p.Key)
		}
		total += len(part)
		if total > declared.MaxFileBytes {
			return nil, ReasonTooLarge, errors.Newf("file exceeds %d bytes", declared.MaxFileBytes)
		}
		parts = append(parts, part)
	}
	return parts, "", nil
}

func (f *fileAssembler) fetchPart(ctx context.Context, p declared.Part) ([]byte, Reason, error) {
	digest := p.Digest()
	if part, ok := f.partCache[digest]; ok {
		f.client.stats.countReusedPart()
		return part, "", nil
	}
	r := f.client.read(ctx, valuesPath+p.Key, 0, 0)
	if r.reason != "" {
		return nil, r.reason, r.err
	}
	if sha256.Sum256(r.bytes) != digest {
		return nil, ReasonPartDigest, errors.New("digest does not match the manifest")
	}
	f.partCache[digest] = r.bytes
	return r.bytes, "", nil
}

// dropUnreferencedParts removes the cached parts that the manifest does not
// reference.
func (f *fileAssembler) dropUnreferencedParts(m *declared.Manifest) {
	named := make(map[declared.Digest]bool, len(m.Parts))
	for _, p := range m.Parts {
		named[p.Digest()] = true
	}
	for d := range f.partCache {
		if !named[d] {
			delete(f.partCache, d)
		}
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
