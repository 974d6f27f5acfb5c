package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/soak"
	"github.com/shoenig/test/must"
)

// soakSeeds are played in CI: one of graceful stops only (a multiple of four),
// one of all faults, and each seed that ever found a fault, with its cause.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{4, ""},
	{3, ""},
	{100, "another socket took a port of an instance that was down: instances now have addresses of their own"},
	{105, "the same"},
}

// Load pattern: callers with kept connections while routed instances are
// killed, frozen, stopped and reloaded, endpoints and the store fail, and keys
// are withdrawn. No promise may break in what callers and endpoints see.
func TestSoakOfRoutedInstances(t *testing.T) {
	for _, c := range soakSeeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			siteSlots <- struct{}{}
			defer func() { <-siteSlots }()
			report, err := soak.Run(soak.Options{
				Seed: c.seed, Binary: daemonPath, Dir: t.TempDir(), Instances: 3, Endpoints: 8, Callers: 12,
				Faults: 6 * time.Second, Planned: c.seed%4 == 0, Log: t.Output(),
			})
			must.NoError(t, err)
			t.Logf("requests %d, served %d, faults %v", report.Requests, report.Served, report.Faults)
			must.SliceEmpty(t, report.Broken)
			must.Greater(t, 0, report.Served)
		})
	}
}
