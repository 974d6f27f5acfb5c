package platform

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/standin"
)

const (
	// fleetClients is the number of clients in a deployment of the target size,
	// and platformReadsPerSecond the platform's rate limit for all of them.
	fleetClients           = 360
	platformReadsPerSecond = 2000
	// fleetParts is the number of parts of the file. It limits both the bytes
	// that a small change transfers and the calls that a large one needs.
	fleetParts = 16
	// maxPropagationDelay is the time within which every client must have
	// received a change.
	maxPropagationDelay = 5 * time.Second
)

// TestChangePropagationToFleet measures how long a change takes to reach all
// clients of a platform with a rate limit. A small file suffices: the platform
// limits calls, and their number depends on the number of parts, not their size.
func TestChangePropagationToFleet(t *testing.T) {
	for _, tc := range []struct {
		name string
		// changed is the number of organisations that a change affects.
		changed int
	}{
		{"one organisation", 1},
		{"every part", baseOrganisations},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spends := make([]int, baseOrganisations)
				f := newFleet(t, newPublication(spends, fleetParts, 1))
				defer f.stop()
				before := f.platform.Calls()
				// The changed organisations are spread evenly over the parts.
				for i := range tc.changed {
					spends[i*len(spends)/tc.changed] = 1
				}
				elapsed := f.change(newPublication(spends, fleetParts, 2))
				after := f.platform.Calls()
				t.Logf("%d clients, %d parts: %v, %.1f calls per client, %d rejected by the rate limit",
					fleetClients, fleetParts, elapsed,
					float64(after.Total-before.Total)/fleetClients, after.Limited-before.Limited)
				must.LessEq(t, maxPropagationDelay, elapsed)
			})
		})
	}
}

// fleet is a set of clients of one platform in fake time.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	files    chan DeclaredFile
	stop     func()
}

// newFleet returns clients that have all received the published file.
func newFleet(t *testing.T, p publication) *fleet {
	pipes := standin.NewPipes()
	transport := pipes.Transport()
	transport.MaxIdleConnsPerHost = fleetClients
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, platform: standin.NewPlatform(), files: make(chan DeclaredFile, fleetClients)}
	f.stop = func() {
		cancel()
		synctest.Wait()
		transport.CloseIdleConnections()
		pipes.Close()
	}
	pipes.Serve(address, f.platform)
	p.publish(f.platform)
	for i := range fleetClients {
		c, err := New(Options{Address: address, Transport: transport, Seed: uint64(i + 1)})
		must.NoError(t, err)
		go func() { _ = c.WatchFile(ctx, func(r DeclaredFile) { f.files <- r }) }()
	}
	f.await(p)
	f.platform.SetFaults(standin.PlatformFaults{ReadsPerSecond: platformReadsPerSecond})
	// The clients poll under the rate limit for several poll periods.
	time.Sleep(time.Minute)
	return f
}

// change publishes p and returns the time until the last client received it.
func (f *fleet) change(p publication) time.Duration {
	started := time.Now()
	p.publish(f.platform)
	f.await(p)
	return time.Since(started)
}

// await waits until each client has received p.
func (f *fleet) await(p publication) {
	for range fleetClients {
		r := <-f.files
		must.True(f.t, bytes.Equal(p.manifest, r.Manifest))
	}
}
