package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// versionHeader has the version of a value.
	versionHeader = "X-Version"
	// maxValueBytes limits the size of a published value.
	maxValueBytes = 1 << 20
	// instancesKey is the key of the instance list.
	instancesKey = "\x00instances"
)

// PlatformFaults are the faults of the platform, set by POST /standin/faults.
// A field that is absent from the body keeps its value.
type PlatformFaults struct {
	// Down closes each connection without a response.
	Down bool `json:"down"`
	// Silent accepts calls and never responds.
	Silent bool `json:"silent"`
	// Stale serves the values and versions that were published when the fault
	// was set.
	Stale bool `json:"stale"`
	// ReadsPerSecond is the rate above which reads get status 429. Zero means
	// no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// DelayMS delays each response.
	DelayMS int64 `json:"delay_ms"`
	// RefuseMS refuses connections once for that time.
	RefuseMS int64 `json:"refuse_ms"`
}

// Calls counts the calls to the platform.
type Calls struct {
	// Total counts all calls. A waiting watch is one call.
	Total int64 `json:"total"`
	// Waiting is the number of watches that currently wait.
	Waiting int64 `json:"waiting"`
	// Limited counts the calls with status 429.
	Limited int64 `json:"limited"`
	// Bytes counts the bytes of the values sent.
	Bytes int64 `json:"bytes"`
	// ByKey counts the calls for each key.
	ByKey map[string]int64 `json:"by_key"`
}

// value is one published value.
type value struct {
	version uint64
	bytes   []byte
}

// Platform is a stand-in for the platform's configuration service and its list
// of instances. Tests publish the values through its methods or control paths.
type Platform struct {
	mux    *http.ServeMux
	outage *outage

	mu     sync.Mutex
	values map[string]value
	// staleValues are served while the fault Stale is set.
	staleValues map[string]value
	faults      PlatformFaults
	limiter     *rate.Limiter
	calls       Calls
	// changed is closed and replaced when a value is published or the faults
	// change.
	changed chan struct{}
}

// NewPlatform returns a platform with an empty instance list and no values.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		outage:  newOutage(),
		values:  make(map[string]value),
		limiter: rate.NewLimiter(rate.Inf, 0),
		calls:   Calls{ByKey: make(map[string]int64)},
		changed: make(chan struct{}),
	}
	p.publish(instancesKey, []byte("[]"))
	p.mux.HandleFunc("GET /v1/values/{key}", func(w http.ResponseWriter, r *http.Request) {
		p.serveRead(w, r, r.PathValue("key"))
	})
	p.mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		p.serveRead(w, r, instancesKey)
	})
	p.mux.HandleFunc("POST /standin/values/{key}", func(w http.ResponseWriter, r *http.Request) {
		p.servePublish(w, r, r.PathValue("key"))
	})
	p.mux.HandleFunc("POST /standin/instances", func(w http.ResponseWriter, r *http.Request) {
		p.servePublish(w, r, instancesKey)
	})
	p.mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Calls())
	})
	return p
}

// ServeHTTP serves the platform's protocol and the control paths.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serveFaults(p, w, r) {
		return
	}
	p.mux.ServeHTTP(w, r)
}

// PublishValue publishes a value under a key.
func (p *Platform) PublishValue(key string, bytes []byte) { p.publish(key, bytes) }

// PublishInstances publishes the JSON of an instance list, which may be
// invalid.
func (p *Platform) PublishInstances(list []byte) { p.publish(instancesKey, list) }

func (p *Platform) publish(key string, bytes []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = value{version: p.values[key].version + 1, bytes: bytes}
	p.notifyWatches()
}

// notifyWatches wakes the waiting watches. The caller must hold p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	calls.ByKey = make(map[string]int64, len(p.calls.ByKey))
	for key, n := range p.calls.ByKey {
		calls.ByKey[key] = n
	}
	return calls
}

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	if f.Stale && !p.faults.Stale {
		p.staleValues = make(map[string]value, len(p.values))
		for key, v := range p.values {
			p.staleValues[key] = v
		}
	}
	p.limiter = newReadLimiter(f.ReadsPerSecond)
	refuse := time.Duration(f.RefuseMS) * time.Millisecond
	f.RefuseMS = 0
	p.faults = f
	p.notifyWatches()
	p.mu.Unlock()
	if refuse > 0 {
		p.outage.start(refuse)
	}
}

func newReadLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) setFaultsJSON(body []byte) error {
	f := p.Faults()
	if err := unmarshalStrict(body, &f); err != nil {
		return err
	}
	p.SetFaults(f)
	return nil
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	limited := p.countCall(key)
	faults := p.Faults()
	if faults.Down || p.outage.isDown() {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		holdConnection(r)
	}
	if limited {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	after, wait, err := parseWatchQuery(r)
	if err != nil {
		http.Error(w, "the query is wrong", http.StatusBadRequest)
		return
	}
	if !sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
		return
	}
	v, ok := p.awaitVersion(r.Context(), key, after, wait)
	p.writeValue(w, v, ok, after)
}

func (p *Platform) writeValue(w http.ResponseWriter, v value, ok bool, after uint64) {
	if !ok && after == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatUint(v.version, 10))
	if v.version <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	p.mu.Lock()
	p.calls.Bytes += int64(len(v.bytes))
	p.mu.Unlock()
	_, _ = w.Write(v.bytes)
}

// countCall counts a call and reports whether it exceeds the rate limit.
func (p *Platform) countCall(key string) (limited bool) {
	if key == instancesKey {
		key = "instances"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Total++
	p.calls.ByKey[key]++
	if !p.limiter.Allow() {
		p.calls.Limited++
		return true
	}
	return false
}

// awaitVersion returns the value as soon as its version is greater than after,
// or the current value when wait or ctx ends.
func (p *Platform) awaitVersion(ctx context.Context, key string, after uint64, wait time.Duration) (value, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for {
		v, ok, changed := p.lookUp(key)
		if v.version > after || wait == 0 {
			return v, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return v, ok
		case <-ctx.Done():
			return v, ok
		}
	}
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting += n
}

func (p *Platform) lookUp(key string) (v value, ok bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.faults.Stale {
		values = p.staleValues
	}
	v, ok = values[key]
	return v, ok, p.changed
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request, key string) {
	bytes, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.publish(key, bytes)
	w.WriteHeader(http.StatusNoContent)
}

// parseWatchQuery returns the version after which a value is requested and the
// time to wait for it. Both are zero for a read without a watch.
func parseWatchQuery(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, err
		}
	}
	if text := query.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, 0, err
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return after, wait, nil
}
