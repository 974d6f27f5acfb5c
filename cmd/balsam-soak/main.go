// Command balsam-soak plays seeded fault schedules against real balsamd
// processes and reports broken promises. It is not shipped.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/soak"
)

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("balsamd", "", "`file` of the balsamd to run")
	first := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds to play, one after the other")
	instances := flag.Int("instances", 3, "balsamd processes")
	endpoints := flag.Int("endpoints", 8, "stand-in endpoints")
	callers := flag.Int("callers", 24, "concurrent callers")
	faults := flag.Duration("faults", 15*time.Second, "how long faults are injected in each seed")
	keep := flag.String("keep", "", "`directory` for settings and logs of seeds with broken promises; empty keeps none")
	flag.Parse()
	if *binary == "" || flag.NArg() > 0 {
		flag.Usage()
		return 2
	}
	failed := 0
	for n := range *seeds {
		seed := *first + uint64(n)
		o := soak.Options{
			Seed: seed, Binary: *binary, Instances: *instances, Endpoints: *endpoints, Callers: *callers,
			Faults: *faults, Planned: seed%4 == 0, Log: os.Stdout,
		}
		broken, err := play(o, *keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, "balsam-soak:", err)
			return 2
		}
		if broken {
			failed++
		}
	}
	fmt.Printf("seeds=%d failed=%d\n", *seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// play plays one seed and prints what it found.
func play(o soak.Options, keep string) (broken bool, err error) {
	if o.Dir, err = os.MkdirTemp("", "balsam-soak"); err != nil {
		return false, err
	}
	defer os.RemoveAll(o.Dir)
	report, err := soak.Run(o)
	if err != nil {
		return false, err
	}
	kinds := make([]string, 0, len(report.Faults))
	for kind, n := range report.Faults {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, n))
	}
	slices.Sort(kinds)
	fmt.Printf("seed=%d planned=%v requests=%d served=%d broken=%d faults=%v\n",
		o.Seed, o.Planned, report.Requests, report.Served, len(report.Broken), kinds)
	for _, b := range report.Broken {
		fmt.Printf("seed=%d broken=%q\n", o.Seed, b)
	}
	if len(report.Broken) > 0 && keep != "" {
		return true, os.CopyFS(filepath.Join(keep, fmt.Sprintf("seed-%d", o.Seed)), os.DirFS(o.Dir))
	}
	return len(report.Broken) > 0, nil
}
