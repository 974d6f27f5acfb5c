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
	// fleetReaders is the number of readers of the aimed size, and
	// platformReadsPerSecond what the platform answers to all of them.
	fleetReaders           = 360
	platformReadsPerSecond = 2000
	// fleetParts is a division of the file that bounds both the bytes of a
	// small change and the calls of a large one.
	fleetParts = 16
	// inForce is how soon a change must have reached every reader.
	inForce = 5 * time.Second
)

// TestChangeReachesTheFleet lets every reader of the aimed size follow a
// platform with a limited rate. The file is short: calls are what the platform
// limits, and they depend on the number of parts.
func TestChangeReachesTheFleet(t *testing.T) {
	for _, tc := range []struct {
		name string
		// changed is how many organisations a change touches.
		changed int
	}{
		{"one organisation", 1},
		{"every part", baseOrganisations},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spends := make([]int, baseOrganisations)
				f := newFleet(t, publicationOf(spends, fleetParts, 1))
				defer f.stop()
				before := f.platform.Calls()
				for i := range tc.changed {
					spends[i*len(spends)/tc.changed] = 1
				}
				elapsed := f.change(publicationOf(spends, fleetParts, 2))
				after := f.platform.Calls()
				t.Logf("%d readers, %d parts: %v, %.1f calls a reader, %d limited",
					fleetReaders, fleetParts, elapsed,
					float64(after.Total-before.Total)/fleetReaders, after.Limited-before.Limited)
				must.LessEq(t, inForce, elapsed)
			})
		})
	}
}

// fleet is many readers of one platform in fake time.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	files    chan FileRead
	stop     func()
}

// newFleet returns readers that all have a file.
func newFleet(t *testing.T, p publication) *fleet {
	pipes := standin.NewPipes()
	transport := pipes.Transport()
	transport.MaxIdleConnsPerHost = fleetReaders
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, platform: standin.NewPlatform(), files: make(chan FileRead, fleetReaders)}
	f.stop = func() {
		cancel()
		synctest.Wait()
		transport.CloseIdleConnections()
		pipes.Close()
	}
	pipes.Serve(address, f.platform)
	p.publish(f.platform)
	for i := range fleetReaders {
		c, err := New(Options{Address: address, Transport: transport, Seed: uint64(i + 1)})
		must.NoError(t, err)
		go func() { _ = c.WatchFile(ctx, func(r FileRead) { f.files <- r }) }()
	}
	f.await(p)
	f.platform.SetFaults(standin.PlatformFaults{ReadsPerSecond: platformReadsPerSecond})
	time.Sleep(time.Minute)
	return f
}

// change publishes and returns when the last reader has it.
func (f *fleet) change(p publication) time.Duration {
	begun := time.Now()
	p.publish(f.platform)
	f.await(p)
	return time.Since(begun)
}

func (f *fleet) await(p publication) {
	for range fleetReaders {
		r := <-f.files
		must.True(f.t, bytes.Equal(p.manifest, r.Manifest))
	}
}
