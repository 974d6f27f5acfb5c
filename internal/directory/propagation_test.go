package directory

import (
	"context"
	"fmt"
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
