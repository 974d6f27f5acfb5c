// Package e2e runs balsamd as separate processes under faults and compares the
// responses that callers receive with the requests that the stand-ins run.
package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
)

var (
	flagSchedules   = flag.Int("schedules", 0, "run this many seeded `schedules` and print a table")
	flagFirstSeed   = flag.Uint64("first-seed", 1, "first `seed` of the schedules")
	flagControlCost = flag.Bool("control-cost", false, "measure the resource use of idle availability zones")
	flagRaceDaemon  = flag.Bool("race-daemon", false, "build balsamd with the race detector")
	flagKeepLogs    = flag.String("keep-logs", "", "write the logs of schedules with violations to this `directory`")
)

// Paths of the daemons that TestMain builds.
var (
	daemonPath    string
	guardsOffPath string
)

// siteSlots limits the sites that run at a time, in all tests together.
var siteSlots = make(chan struct{}, 4)

// siteNumber gives each site its own loopback address.
var siteNumber atomic.Int64

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "balsam-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "balsamd")
	guardsOffPath = filepath.Join(dir, "balsamd-guardsoff")
	for _, b := range [][]string{{daemonPath}, {guardsOffPath, "-tags", "guardsoff"}} {
		if err := build(b[0], b[1:]...); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}

func build(path string, options ...string) error {
	args := append([]string{"build", "-o", path}, options...)
	if *flagRaceDaemon {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "../cmd/balsamd")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build %s: %w\n%s", path, err, out)
	}
	return nil
}

// siteAddress returns a loopback address that no other site on the machine
// uses, so that a restarted process finds its ports free.
func siteAddress() string {
	pid, n := os.Getpid(), siteNumber.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%120, pid%250, 1+n%250)
}

// seeds returns the seeds to run.
func seeds(fixed ...uint64) []uint64 {
	if *flagSchedules == 0 {
		return fixed
	}
	var all []uint64
	for i := range *flagSchedules {
		all = append(all, *flagFirstSeed+uint64(i))
	}
	return all
}
