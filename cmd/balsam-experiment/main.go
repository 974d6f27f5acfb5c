// Balsam-experiment measures the placement and admission policy of the reducer
// beside its baselines, and prints one table. docs/EXPERIMENTS.md reads it.
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

// deployment is one declared file with its number of instances.
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
	flags.StringVar(&o.deployments, "deployments", "piedmont,kalahari", "deployments, from their files under examples")
	flags.StringVar(&o.loads, "loads", "0.5,1,2", "offered work as parts of the engines' measured best")
	flags.StringVar(&o.states, "states", "calm,faults", "calm, faults or both")
	flags.StringVar(&o.policies, "policies", policyNames(), "policies to compare")
	flags.IntVar(&o.seeds, "seeds", 3, "number of seeds")
	flags.IntVar(&o.workers, "workers", 4, "runs at a time")
	flags.IntVar(&o.comebacks, "comebacks", 0, "how often a refused caller comes back after Retry-After")
	flags.DurationVar(&o.span, "span", 40*time.Second, "virtual time that is measured")
	flags.Int64Var(&o.spendFactor, "spend-factor", 10, "multiplies every organisation's declared spend; 1 keeps the files as they are")
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
	m := experiment.Matrix{Workers: o.workers}
	for i := range o.seeds {
		m.Seeds = append(m.Seeds, uint64(i+1))
	}
	for _, p := range strings.Split(o.policies, ",") {
		if !slices.Contains(experiment.Policies(), experiment.Policy(p)) {
			return errors.Newf("no policy %q; there are %s", p, policyNames())
		}
		m.Policies = append(m.Policies, experiment.Policy(p))
	}
	for _, name := range strings.Split(o.deployments, ",") {
		scenarios, err := plan(o, name)
		if err != nil {
			return err
		}
		m.Scenarios = append(m.Scenarios, scenarios...)
	}
	return experiment.Write(out, m.Run(), m.Policies)
}

// plan lists the scenarios of one deployment.
func plan(o *options, name string) ([]experiment.Scenario, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, errors.Newf("no deployment %q", name)
	}
	f, err := load(d.path, o.spendFactor)
	if err != nil {
		return nil, err
	}
	var all []experiment.Scenario
	for _, text := range strings.Split(o.loads, ",") {
		part, err := strconv.ParseFloat(text, 64)
		if err != nil || part <= 0 {
			return nil, errors.Newf("load %q is no positive number", text)
		}
		for _, state := range strings.Split(o.states, ",") {
			if state != "calm" && state != "faults" {
				return nil, errors.Newf("no state %q; there are calm and faults", state)
			}
			all = append(all, experiment.Scenario{
				Deployment: name, File: f, Instances: d.instances, Load: part,
				Faults: state == "faults", Span: o.span, Comebacks: o.comebacks,
			})
		}
	}
	return all, nil
}

func load(path string, spendFactor int64) (*declared.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "run it at the root of the repository")
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
