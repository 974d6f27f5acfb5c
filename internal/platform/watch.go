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

// FileRead is one published declared file.
type FileRead struct {
	// Manifest is the published value: the manifest where IsManifest is set,
	// the whole file otherwise.
	Manifest []byte
	// Parts are the parts of a manifest in its order; together they are the
	// file. They must not be changed.
	Parts      [][]byte
	IsManifest bool
	// Version is the platform's number of the value.
	Version uint64
}

// Watcher follows one published value; it suits suture.
type Watcher struct {
	name   string
	client *Client
	path   string
	// take hands a newer value on. It returns a reason and an error where the
	// value must be read again or is wrong.
	take   func(ctx context.Context, r reading) (Reason, error)
	random *rand.Rand

	// version is the newest one handed on or rejected for good.
	version uint64
	// lowerSince is when the platform began to answer with lower versions.
	lowerSince time.Time
	failures   int
}

// The streams of the seeded generator, one for each watch.
const (
	fileStream = iota + 1
	instancesStream
)

// FileWatcher returns a service that hands each change of the declared file
// to onFile, on its own goroutine.
func (c *Client) FileWatcher(onFile func(FileRead)) *Watcher {
	w := c.newWatcher("platform file", valuesPath+declared.Key, fileStream)
	reader := &fileReader{client: c, held: make(map[declared.Digest][]byte), onFile: onFile}
	w.take = reader.take
	return w
}

// InstancesWatcher returns a service that hands each change of the instance
// list to onInstances, on its own goroutine.
func (c *Client) InstancesWatcher(onInstances func([]reducer.Instance)) *Watcher {
	w := c.newWatcher("platform instances", instancesPath, instancesStream)
	w.take = func(_ context.Context, r reading) (Reason, error) {
		instances, err := parseInstances(r.bytes)
		if err != nil {
			return ReasonInstances, err
		}
		onInstances(instances)
		return "", nil
	}
	return w
}

// WatchFile hands each change of the declared file to onFile until ctx ends.
func (c *Client) WatchFile(ctx context.Context, onFile func(FileRead)) error {
	return c.FileWatcher(onFile).Serve(ctx)
}

// WatchInstances hands each change of the instance list to onInstances until
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

// String names the service.
func (w *Watcher) String() string { return w.name }

// Serve watches until ctx ends. It has at most one call in flight.
func (w *Watcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := time.Now()
		pause := w.turn(ctx)
		// Also a platform that answers at once must not be asked in a rush.
		pause = max(pause, w.client.options.MinInterval-time.Since(begun))
		if !sleep(ctx, pause) {
			break
		}
	}
	return ctx.Err()
}

// turn makes one read and returns the pause before the next one.
func (w *Watcher) turn(ctx context.Context) time.Duration {
	r := w.client.read(ctx, w.path, w.version, w.jittered(w.client.options.Wait))
	switch {
	case ctx.Err() != nil:
		return 0
	case r.failed != "":
		w.skip(r.failed, r.version)
		return w.fail(r.failed, r.err)
	case r.version < w.version:
		return w.lower(r.version)
	case r.bytes == nil:
		w.recovered()
		return 0
	}
	return w.changed(ctx, r)
}

// changed hands a newer value on.
func (w *Watcher) changed(ctx context.Context, r reading) time.Duration {
	reason, err := w.take(ctx, r)
	if ctx.Err() != nil {
		return 0
	}
	w.skip(reason, r.version)
	if reason != "" {
		return w.fail(reason, err)
	}
	w.client.stats.change()
	w.recovered()
	w.version = r.version
	return w.client.options.MinInterval
}

// skip passes over a version that is wrong for good: reading it again could
// bring nothing else.
func (w *Watcher) skip(reason Reason, version uint64) {
	if reason.final() {
		w.version = version
	}
}

// lower treats a version below the one held. It is not handed on, unless the
// platform goes on with such versions for long.
func (w *Watcher) lower(version uint64) time.Duration {
	now := time.Now()
	if w.lowerSince.IsZero() {
		w.lowerSince = now
	}
	err := errors.Newf("version %d is below %d", version, w.version)
	if now.Sub(w.lowerSince) >= w.client.options.StaleReset {
		w.version = 0
		w.lowerSince = time.Time{}
	}
	return w.fail(ReasonStale, err)
}

func (w *Watcher) recovered() {
	w.failures = 0
	w.lowerSince = time.Time{}
}

// fail counts a failure and returns the pause after it.
func (w *Watcher) fail(reason Reason, err error) time.Duration {
	w.client.stats.failed(reason)
	if w.client.options.OnFailure != nil {
		w.client.options.OnFailure(reason, err)
	}
	o := w.client.options
	pause := o.BackoffMin << min(w.failures, maxBackoffDoublings)
	w.failures++
	return w.jittered(min(pause, o.BackoffMax))
}

// maxBackoffDoublings keeps the doubled pause from overflowing.
const maxBackoffDoublings = 20

// jittered returns between a half and all of d.
func (w *Watcher) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}

// final says that a value of that version stays wrong.
func (r Reason) final() bool {
	return r == ReasonInstances || r == ReasonManifest || r == ReasonTooLarge
}

// fileReader puts the parts of a manifest together.
type fileReader struct {
	client *Client
	// held has the parts of the manifest read last, as far as they were
	// fetched.
	held   map[declared.Digest][]byte
	onFile func(FileRead)
}

func (f *fileReader) take(ctx context.Context, r reading) (Reason, error) {
	if !declared.IsManifest(r.bytes) {
		clear(f.held)
		f.onFile(FileRead{Manifest: r.bytes, Version: r.version})
		return "", nil
	}
	m, err := declared.ParseManifest(r.bytes)
	if err != nil {
		return ReasonManifest, err
	}
	f.keepOnly(m)
	parts, reason, err := f.parts(ctx, m)
	if reason != "" {
		return reason, err
	}
	f.onFile(FileRead{Manifest: r.bytes, Parts: parts, IsManifest: true, Version: r.version})
	return "", nil
}

// parts returns the parts of a manifest and fetches those that are not held.
func (f *fileReader) parts(ctx context.Context, m *declared.Manifest) ([][]byte, Reason, error) {
	parts := make([][]byte, 0, len(m.Parts))
	total := 0
	for _, p := range m.Parts {
		part, reason, err := f.part(ctx, p)
		if reason != "" {
			return nil, reason, errors.Wrapf(err, "part %q", p.Key)
		}
		total += len(part)
		if total > declared.MaxFileBytes {
			return nil, ReasonTooLarge, errors.Newf("a file above %d bytes", declared.MaxFileBytes)
		}
		parts = append(parts, part)
	}
	return parts, "", nil
}

func (f *fileReader) part(ctx context.Context, p declared.Part) ([]byte, Reason, error) {
	digest := p.Digest()
	if part, ok := f.held[digest]; ok {
		f.client.stats.reused()
		return part, "", nil
	}
	r := f.client.read(ctx, valuesPath+p.Key, 0, 0)
	if r.failed != "" {
		return nil, r.failed, r.err
	}
	if sha256.Sum256(r.bytes) != digest {
		return nil, ReasonPartDigest, errors.New("not the part that the manifest names")
	}
	f.held[digest] = r.bytes
	return r.bytes, "", nil
}

// keepOnly drops the parts that a manifest does not name.
func (f *fileReader) keepOnly(m *declared.Manifest) {
	named := make(map[declared.Digest]bool, len(m.Parts))
	for _, p := range m.Parts {
		named[p.Digest()] = true
	}
	for d := range f.held {
		if !named[d] {
			delete(f.held, d)
		}
	}
}

// sleep waits and reports false where ctx ended first.
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
