package directory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// propagationBound is the time within which a change reaches an instance that lacks
// two of its ways to the platform: the smallest bound on the use of a draining endpoint
// (2 s), less the time to connect to one (0.4 s) and a margin.
const propagationBound = 1500 * time.Millisecond

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
		i.replica.historySince, i.replica.provisional = 0, true
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

// Guards against an instance that learns of a change late, since it begins to read from
// its next source only when a read from the one before has timed out: the relays or the
// platform are lost just before the change, at various points of the polls.
func TestChangeArrivesWhileSourcesHang(t *testing.T) {
	const size = 20
	without := func(n int) func(f *fleet) {
		return func(f *fleet) {
			for _, i := range f.instances[:n] {
				i.withoutPlatform = true
			}
		}
	}
	for name, c := range map[string]struct {
		lose func(f *fleet)
		// reached is the number of instances that must learn of the change.
		reached int
	}{
		"nothing":                       {func(*fleet) {}, size},
		"one relay is frozen":           {func(f *fleet) { f.instances[0].frozen = true }, size - 1},
		"both relays are frozen":        {func(f *fleet) { f.instances[0].frozen, f.instances[1].frozen = true, true }, size - 2},
		"one relay loses the platform":  {without(1), size},
		"the relays lose the platform":  {without(2), size},
		"a follower loses the platform": {func(f *fleet) { f.instances[7].withoutPlatform = true }, size},
		"a frozen relay, its followers lose the platform": {func(f *fleet) {
			f.instances[0].frozen = true
			for n := 2; n < size; n += 2 {
				f.instances[n].withoutPlatform = true
			}
		}, size - 1},
		"the platform is slow": {func(f *fleet) {
			for _, i := range f.instances {
				i.platformDelay = 300 * time.Millisecond
			}
		}, size},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newFleet(ctx, size)
					time.Sleep(10*time.Second + time.Duration(phase)*130*time.Millisecond)
					f.mu.Lock()
					c.lose(f)
					f.mu.Unlock()
					time.Sleep(time.Millisecond)
					leaving := putChange("e", 0)
					leaving.Endpoint.Leaving = true
					f.publish(leaving)
					listed := time.Now()
					time.Sleep(5 * time.Second)
					reached := 0
					f.mu.Lock()
					for _, i := range f.instances {
						if !i.learned.IsZero() {
							reached++
							worst = max(worst, i.learned.Sub(listed))
						}
					}
					f.mu.Unlock()
					cancel()
					// Lets what is in progress end.
					time.Sleep(time.Second)
					must.Eq(t, c.reached, reached)
				})
			}
			t.Logf("worst %v", worst)
			must.LessEq(t, propagationBound, worst)
		})
	}
}

// largeConfigBytes is the size of largeConfig on the platform's wire.
const largeConfigBytes = 1100 << 10

// largeConfig returns a configuration with thousands of routes.
func largeConfig() *routing.Config {
	c := &routing.Config{Version: 2, Keys: routing.KeysNotRequired}
	for n := range 4250 {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("r-%x", xxhash.Sum64String(fmt.Sprint(n))), Host: fmt.Sprintf("host%d.example", n%97), Prefix: fmt.Sprintf("/path%d/", n),
			Kind: routing.Stream, Split: []routing.Share{{Service: "engines", Weight: 1}},
		})
	}
	return c
}

// linkBytesPerSecond is a link of 10 Mbit/s, applyBound the bound on the time until a
// configuration is in force.
const (
	linkBytesPerSecond = 1250 << 10
	applyBound         = 3 * time.Second
)

// Guards against a large configuration that arrives late at instances with slow links, since
// those that they receive it from are lost in the middle of it.
func TestLargeConfigurationArrivesWhileRelaysAreLost(t *testing.T) {
	const size = 23
	config := largeConfig()
	for name, lost := range map[string]int{"no relay": 0, "one relay": 1, "both relays": 2} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for _, after := range []time.Duration{0, 300, 700, 1100, 1500, 1900} {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newFleet(ctx, size)
					f.mu.Lock()
					for _, i := range f.instances {
						i.bytesPerSecond = linkBytesPerSecond
					}
					f.mu.Unlock()
					time.Sleep(10 * time.Second)
					f.publish(Change{Config: config})
					published := time.Now()
					time.Sleep(after * time.Millisecond)
					f.mu.Lock()
					for _, i := range f.instances[:lost] {
						i.frozen = true
					}
					f.mu.Unlock()
					time.Sleep(8 * time.Second)
					missed := 0
					f.mu.Lock()
					for _, i := range f.instances[lost:] {
						if i.configured.IsZero() {
							missed++
						}
						worst = max(worst, i.configured.Sub(published))
					}
					f.mu.Unlock()
					cancel()
					time.Sleep(3 * time.Second)
					must.Eq(t, 0, missed)
				})
				t.Logf("lost after %v ms: worst so far %v", int(after), worst)
			}
			must.LessEq(t, applyBound, worst)
		})
	}
}

// Guards against a removal that arrives late since it waits behind a large
// configuration, which relays with slow links send to their readers, and against a
// transfer that is slow but sound, given up and begun again elsewhere.
func TestChangeIsNotDelayedByLargeConfiguration(t *testing.T) {
	const size = 20
	config := largeConfig()
	for name, slow := range map[string]func(n int) bool{
		"all links slow": func(int) bool { return true },
		"slow relays":    func(n int) bool { return n < 2 },
		"one slow relay": func(n int) bool { return n == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			worst, worstConfig := time.Duration(0), time.Duration(0)
			for phase := range 2 {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newFleet(ctx, size)
					f.mu.Lock()
					for n, i := range f.instances {
						if slow(n) {
							i.bytesPerSecond = linkBytesPerSecond
						}
					}
					f.mu.Unlock()
					time.Sleep(10*time.Second + time.Duration(phase)*350*time.Millisecond)
					f.publish(Change{Config: config})
					published := time.Now()
					time.Sleep(500 * time.Millisecond)
					leaving := putChange("e", 0)
					leaving.Endpoint.Leaving = true
					f.publish(leaving)
					listed := time.Now()
					time.Sleep(6 * time.Second)
					missed := 0
					f.mu.Lock()
					for _, i := range f.instances {
						if i.learned.IsZero() || i.configured.IsZero() {
							missed++
							continue
						}
						worst = max(worst, i.learned.Sub(listed))
						worstConfig = max(worstConfig, i.configured.Sub(published))
					}
					f.mu.Unlock()
					cancel()
					time.Sleep(2 * time.Second)
					must.Eq(t, 0, missed)
				})
			}
			t.Logf("worst %v, configuration %v", worst, worstConfig)
			must.LessEq(t, propagationBound, worst)
			must.LessEq(t, applyBound, worstConfig)
		})
	}
}
