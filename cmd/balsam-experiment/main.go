// Command balsam-experiment compares the placement and admission policy of the
// reducer with its baselines, and prints one table. docs/EXPERIMENTS.md
// discusses the results.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/experiment"
)

// deployment is a declared file and its number of instances.
type deployment struct {
	path      string
	instances int
}

var deployments = map[string]deployment{
	"piedmont": {"examples/piedmont/declared.toml", 7},
	"kalahari": {"examples/kalahari/declared.toml", 6},
}

type options struct {
	deployments, loads, states, policies string
	seeds, workers, comebacks            int
	span                                 time.Duration
	spendFactor                          int64
}

func main() {
	var o options
	flags := flag.NewFlagSet("balsam-experiment", flag.ExitOnError)
	flags.StringVar(&o.deployments, "deployments", "piedmont,kalahari", "comma-separated deployments, whose files are in examples")
	flags.StringVar(&o.loads, "loads", "0.5,1,2", "comma-separated offered loads, as fractions of the measured maximum throughput")
	flags.StringVar(&o.states, "states", "calm,faults", "comma-separated states: calm, faults")
	flags.StringVar(&o.policies, "policies", policyNames(), "comma-separated policies to compare")
	flags.IntVar(&o.seeds, "seeds", 3, "number of seeds")
	flags.IntVar(&o.workers, "workers", 4, "number of concurrent runs")
	flags.IntVar(&o.comebacks, "comebacks", 0, "maximum number of retries of a refused caller, after Retry-After")
	flags.DurationVar(&o.span, "span", 40*time.Second, "measured duration, in virtual time")
	flags.Int64Var(&o.spendFactor, "spend-factor", 10, "factor for the declared spend of every organisation; 1 leaves it unchanged")
	_ = flags.Parse(os.Args[1:])
	if err := run(&o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "balsam-experiment:", err)
		os.Exit(1)
	}
}

func policyNames() string {
	var names []string
	for _, p := range experiment.Policies() {
		names = append(names, string(p))
	}
	return strings.Join(names, ",")
}

func run(o *options, out io.Writer) error {
	matrix := experiment.Matrix{Workers: o.workers}
	for i := range o.seeds {
		matrix.Seeds = append(matrix.Seeds, uint64(i+1))
	}
	for _, p := range strings.Split(o.policies, ",") {
		if !slices.Contains(experiment.Policies(), experiment.Policy(p)) {
			return errors.Newf("unknown policy %q; valid policies: %s", p, policyNames())
		}
		matrix.Policies = append(matrix.Policies, experiment.Policy(p))
	}
	for _, name := range strings.Split(o.deployments, ",") {
		scenarios, err := buildScenarios(o, name)
		if err != nil {
			return err
		}
		matrix.Scenarios = append(matrix.Scenarios, scenarios...)
	}
	return experiment.Write(out, matrix.Run(), matrix.Policies)
}

// buildScenarios returns the scenarios of one deployment.
func buildScenarios(o *options, name string) ([]experiment.Scenario, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, errors.Newf("unknown deployment %q", name)
	}
	f, err := loadScaled(d.path, o.spendFactor)
	if err != nil {
		return nil, err
	}
	var result []experiment.Scenario
	for _, text := range strings.Split(o.loads, ",") {
		loadFraction, err := strconv.ParseFloat(text, 64)
		if err != nil || loadFraction <= 0 {
			return nil, errors.Newf("load %q is not a positive number", text)
		}
		for _, state := range strings.Split(o.states, ",") {
			if state != "calm" && state != "faults" {
				return nil, errors.Newf("unknown state %q; valid states: calm, faults", state)
			}
			result = append(result, experiment.Scenario{
				Deployment: name, File: f, Instances: d.instances, LoadFraction: loadFraction,
				Faults: state == "faults", Duration: o.span, MaxRefusalRetries: o.comebacks,
			})
		}
	}
	return result, nil
}

// loadScaled reads a declared file and multiplies its declared spend.
func loadScaled(path string, spendFactor int64) (*declared.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "balsam-experiment must run in the root directory of the repository")
	}
	f, err := declared.Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", path)
	}
	scaled := *f
	scaled.Organisations = slices.Clone(f.Organisations)
	for i := range scaled.Organisations {
		scaled.Organisations[i].SpendMicrosPerMonth *= spendFactor
	}
	return declared.Indexed(scaled), nil
}
