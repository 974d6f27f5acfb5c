package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
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
	{100, "the soak's own: two stops of one instance both started it again, and the process left behind kept the ports"},
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
			dir := t.TempDir()
			report, err := soak.Run(soak.Options{
				Seed: c.seed, Binary: daemonPath, Dir: dir, Instances: 3, Endpoints: 8, Callers: 12,
				Faults: 6 * time.Second, Planned: c.seed%4 == 0, Log: t.Output(),
			})
			must.NoError(t, err)
			t.Logf("requests %d, served %d, faults %v", report.Requests, report.Served, report.Faults)
			if len(report.Broken) > 0 {
				logBeliefs(t, dir)
			}
			must.SliceEmpty(t, report.Broken, must.Sprint(report.Broken))
			must.Greater(t, 0, report.Served)
		})
	}
}

// logBeliefs shows the instances' log lines that are not about requests.
func logBeliefs(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	must.NoError(t, err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, " request=") && !strings.Contains(line, "event=endpoint_") {
				t.Log(filepath.Base(path), strings.TrimSpace(line))
			}
		}
	}
}
