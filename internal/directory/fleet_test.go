package directory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a set of instances of one zone that read the platform, two of them for the
// others. It runs in a synctest bubble.
type fleet struct {
	start     time.Time
	instances []*fleetInstance
	// mu guards what changes during a test.
	mu sync.Mutex
	// published is the changes in order of their revisions, which begin with 1; changed
	// is closed and replaced when one is added.
	published []Change
	changed   chan struct{}
}

// fleetInstance is one instance and its links.
type fleetInstance struct {
	fleet   *fleet
	address string
	plan    ReadPlan
	replica *Replica
	// frozen instances answer nobody; instances without the platform get no answers
	// from it. platformDelay is how long its answers take.
	frozen, withoutPlatform bool
	platformDelay           time.Duration
	// link is held while a part of an answer is being sent to or from the instance,
	// bytesPerSecond is its bandwidth; zero means unlimited.
	link           chan struct{}
	bytesPerSecond int
	// learned is when the change of the test was received, configured when its
	// configuration was.
	learned, configured time.Time

	// kill ends the process, after which down is set. connection is that of its answers.
	kill       context.CancelFunc
	down       bool
	connection net.Conn
	// earlier lets the instance answer as one of an earlier release: it neither states nor
	// observes since when it has seen all deletions.
	earlier bool
	// known holds the IDs of the endpoints that it uses, listings counts its listings of
	// the platform.
	known    map[string]bool
	listings int
}

// transfer occupies the link for the time of an answer, whose parts ctx is told of.
// Answers share the link.
func (i *fleetInstance) transfer(ctx context.Context, bytes int) {
	const part = 16 << 10
	i.fleet.mu.Lock()
	bandwidth := i.bytesPerSecond
	i.fleet.mu.Unlock()
	for ; bandwidth > 0 && bytes > 0 && ctx.Err() == nil; bytes -= part {
		i.link <- struct{}{}
		time.Sleep(time.Duration(min(bytes, part)) * time.Second / time.Duration(bandwidth))
		<-i.link
		_, _ = ReportProgress(ctx, strings.NewReader("part")).Read(make([]byte, 4))
	}
}

func fleetAddress(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

// newFleet starts instances that read through the first two of them. The backups of
// each are other instances.
func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{start: time.Now(), changed: make(chan struct{})}
	for n := range size {
		i := &fleetInstance{fleet: f, address: fleetAddress(n), replica: NewReplica(), link: make(chan struct{}, 1), known: map[string]bool{}}
		i.plan.IsRelay = n < 2
		if !i.plan.IsRelay {
			i.plan.Relay = fleetAddress(n % 2)
		}
		i.plan.Backups = [2]string{fleetAddress((n + size/2) % size), fleetAddress((n + 1) % size)}
		f.instances = append(f.instances, i)
	}
	f.publish(putChange("e", 0))
	for n, i := range f.instances {
		// The polls of the instances are spread over the time of one.
		i.run(ctx, time.Duration(n)*97*time.Millisecond%time.Second)
	}
	return f
}

// run starts a process of the instance after a delay.
func (i *fleetInstance) run(ctx context.Context, delay time.Duration) {
	ctx, i.kill = context.WithCancel(ctx)
	w := NewWatcher(WatcherConfig{
		Source: i, Plan: func() ReadPlan { return i.plan }, RelayClient: &http.Client{Transport: i}, Now: i.fleet.now,
		Updated: func(u Update) {
			if ctx.Err() == nil {
				i.updated(u)
			}
		},
	})
	go func() {
		time.Sleep(delay)
		_ = w.Serve(ctx)
	}()
}

func (f *fleet) now() int64 { return int64(time.Since(f.start)) }

func (f *fleet) publish(c Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Revision = int64(len(f.published) + 1)
	f.published = append(f.published, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (i *fleetInstance) updated(u Update) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.replica.Apply(u)
	if i.earlier {
		i.replica.mu.Lock()
		i.replica.historySince, i.replica.provisional = 0, true
		i.replica.mu.Unlock()
	}
	if u.Err == nil && u.Full {
		clear(i.known)
		if u.From == platformAddress {
			i.listings++
		}
	}
	for _, c := range u.Batch.Changes {
		if c.Endpoint != nil {
			i.known[c.EndpointID] = true
		} else {
			delete(i.known, c.EndpointID)
		}
	}
	for _, c := range u.Batch.Changes {
		if c.Config != nil {
			i.configured = time.Now()
		}
		if c.Endpoint != nil && c.Endpoint.Leaving && i.learned.IsZero() {
			i.learned = time.Now()
		}
	}
}

// List implements Source for the platform as this instance reaches it.
func (i *fleetInstance) List(ctx context.Context) (Batch, error) { return i.Watch(ctx, Position{}, 0) }

// Config implements Source.
func (i *fleetInstance) Config(ctx context.Context) (Batch, error) {
	i.fleet.mu.Lock()
	published, lost := i.fleet.published, i.withoutPlatform || i.frozen
	i.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	var newest Change
	for _, c := range published {
		if c.Config != nil {
			newest = c
		}
	}
	i.transfer(ctx, largeConfigBytes)
	return Batch{Changes: []Change{newest}}, ctx.Err()
}

// Watch implements Source.
func (i *fleetInstance) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		f := i.fleet
		f.mu.Lock()
		lost, delay := i.withoutPlatform || i.frozen || i.down, i.platformDelay
		revision, published, changed := int64(len(f.published)), f.published, f.changed
		f.mu.Unlock()
		if lost {
			<-ctx.Done()
			return Batch{}, ctx.Err()
		}
		if revision > after.Revision || expired || wait == 0 {
			time.Sleep(delay)
			changes := published[after.Revision:]
			for _, c := range changes {
				if c.Config != nil {
					i.transfer(ctx, largeConfigBytes)
				}
			}
			return Batch{Revision: revision, Changes: changes}, ctx.Err()
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (i *fleetInstance) isFrozen() bool {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	return i.frozen
}

// process returns the replica of the running process and the connection to it.
func (i *fleetInstance) process() (replica *Replica, connection net.Conn, down bool) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if i.connection == nil {
		i.connection, _ = net.Pipe()
	}
	return i.replica, i.connection, i.down
}

// stop kills the process, start starts another one.
func (i *fleetInstance) stop() {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.kill()
	i.down = true
}

func (i *fleetInstance) start(ctx context.Context) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.down, i.connection, i.replica = false, nil, NewReplica()
	clear(i.known)
	i.run(ctx, 0)
}

// RoundTrip implements http.RoundTripper for calls to other instances.
func (i *fleetInstance) RoundTrip(r *http.Request) (*http.Response, error) {
	var to *fleetInstance
	for _, other := range i.fleet.instances {
		if other.address == r.URL.Host {
			to = other
		}
	}
	// The calls take time, as on a network.
	time.Sleep(time.Millisecond)
	recorder := httptest.NewRecorder()
	lost := i.isFrozen() || to.isFrozen()
	replica, connection, down := to.process()
	if down {
		return nil, syscall.ECONNREFUSED
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: connection})
	}
	if !lost {
		RelayHandler(replica, i.fleet.now).ServeHTTP(recorder, r)
	}
	if now, _, down := to.process(); down || now != replica {
		return nil, syscall.ECONNRESET
	}
	if lost || i.isFrozen() || to.isFrozen() {
		<-r.Context().Done()
	}
	to.transfer(r.Context(), recorder.Body.Len())
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	response := recorder.Result()
	response.Body = io.NopCloser(bytes.NewReader(recorder.Body.Bytes()))
	return response, nil
}

// known returns the IDs of the endpoints that each instance uses.
func (f *fleet) known() [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out [][]string
	for _, i := range f.instances {
		out = append(out, slices.Sorted(maps.Keys(i.known)))
	}
	return out
}

// listings returns the number of listings of the platform.
func (f *fleet) listings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, i := range f.instances {
		sum += i.listings
	}
	return sum
}
