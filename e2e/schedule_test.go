package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// Parameters of a schedule.
const (
	scheduleCallers = 12
	faultRounds     = 4
	roundInterval   = 2500 * time.Millisecond
	// twoFaultsPercent is how often two faults are injected at a time.
	twoFaultsPercent = 60
)

// scheduleResult is the result of one schedule.
type scheduleResult struct {
	seed        uint64
	faultCounts map[string]int
	attempts    []*attempt
	runs        int
	violations  *violations
	times       map[string][]time.Duration
}

// TestSchedules runs seeded schedules; -schedules runs more of them.
func TestSchedules(t *testing.T) {
	var mu sync.Mutex
	var all []*scheduleResult
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range seeds(1, 2, 3, 4) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				o := runSchedule(t, seed)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
		}
	})
	t.Log("\n" + summaryTable(all))
}

func runSchedule(t *testing.T, seed uint64) *scheduleResult {
	r := rand.New(rand.NewPCG(seed, 1<<40))
	cfg := siteConfig{zones: []int{3}, engines: 3, services: 2, slots: 4}
	if r.IntN(4) == 0 {
		cfg.zones = []int{3, 2}
	}
	s := newSite(t, cfg)
	c := &schedule{site: s, seed: seed, faultCounts: map[string]int{}, instanceLocks: make([]sync.Mutex, len(s.instances))}
	c.load = newLoad(s, seed)
	c.load.run(scheduleCallers)
	c.runFaults(r)
	s.heal()
	c.tracef("healed")
	time.Sleep(1500 * time.Millisecond)
	c.load.finish()
	o := &scheduleResult{seed: seed, faultCounts: c.faultCounts, times: map[string][]time.Duration{}, violations: &violations{}}
	v := o.violations
	o.times["configuration in force everywhere, after healing"] = []time.Duration{checkInForce(v, s)}
	o.times["each instance serves each pool, after healing"] = []time.Duration{checkServing(v, c)}
	checkIdle(v, s)
	o.attempts = c.load.all()
	v.list = append(v.list, check(c, o.attempts).list...)
	o.runs = len(postRuns(s.recorder.Runs("")))
	c.measure(o.times)
	c.reportViolations(t, o)
	return o
}

// runFaults picks and starts the faults of each round, often two, and waits
// until all have ended.
func (c *schedule) runFaults(r *rand.Rand) {
	var wg sync.WaitGroup
	for range faultRounds {
		n := 1
		if percent(r, twoFaultsPercent) {
			n = 2
		}
		for range n {
			f, own := faults[r.IntN(len(faults))], rand.New(rand.NewPCG(r.Uint64(), c.seed))
			c.faultCounts[f.name]++
			wg.Go(func() { f.run(c, own) })
		}
		time.Sleep(roundInterval)
	}
	wg.Wait()
}

// reportViolations fails the test with the information needed to find the
// cause.
func (c *schedule) reportViolations(t *testing.T, o *scheduleResult) {
	if len(o.violations.list) == 0 {
		return
	}
	c.mu.Lock()
	trace := strings.Join(c.trace, "\n")
	c.mu.Unlock()
	t.Errorf("seed %d:\n%s\nfaults:\n%s", o.seed, o.violations, trace)
	if *flagKeepLogs == "" {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n%s\nfaults:\n%s\n\nattempts:\n", o.seed, o.violations, trace)
	for _, a := range o.attempts {
		fmt.Fprintln(&b, a)
	}
	for _, in := range c.instances {
		b.WriteString(in.dump())
	}
	path := filepath.Join(*flagKeepLogs, fmt.Sprintf("seed-%d.log", o.seed))
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Error(err)
	}
}

// measure computes the times of failure detection, ownership handover and
// healing from the logs of the other instances.
func (c *schedule) measure(times map[string][]time.Duration) {
	add := func(what string, from time.Time, l logLine, found bool) {
		if found {
			times[what] = append(times[what], l.at.Sub(from))
		}
	}
	for _, m := range c.marks {
		switch m.what {
		case "start":
			l, found := m.on.firstStartedAfter(m.at).find(m.at, "event=ready ready=true")
			add("start until ready", m.at, l, found)
			continue
		}
		for _, in := range c.instances {
			if in == m.on || in.zone != m.on.zone {
				continue
			}
			p := in.runningAt(m.at)
			if p == nil {
				continue
			}
			name := "peer=" + m.on.name
			switch m.what {
			case "kill", "pause":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_health", name, "health=suspected")
				add(m.what+" until suspected", m.at, l, found)
				l, found = p.findWithin(m.at, 10*time.Second, "peer_health", name, "health=dead")
				add(m.what+" until handed over", m.at, l, found)
			case "stop":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_leaving", name)
				add("graceful stop until handed over", m.at, l, found)
			case "resume":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_health", name, "health=alive")
				add("resume until alive", m.at, l, found)
			case "partition healed":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_up", name)
				add("partition healed until session", m.at, l, found)
			}
		}
	}
}

// findWithin is like find, but only within a time limit.
func (p *process) findWithin(after time.Time, limit time.Duration, texts ...string) (logLine, bool) {
	l, found := p.find(after, texts...)
	return l, found && l.at.Sub(after) <= limit
}

// firstStartedAfter returns the first process started after a time.
func (in *instance) firstStartedAfter(at time.Time) *process {
	for _, p := range in.processes() {
		if p.started.After(at) {
			return p
		}
	}
	return in.current()
}

// runningAt returns the process that ran at a time, or nil.
func (in *instance) runningAt(at time.Time) *process {
	var found *process
	for _, p := range in.processes() {
		if p.started.Before(at) {
			found = p
		}
	}
	return found
}

// summaryTable formats the totals of all schedules.
func summaryTable(all []*scheduleResult) string {
	var b strings.Builder
	faultCounts, refusals, times := map[string]int{}, map[string]int{}, map[string][]time.Duration{}
	var attempts, complete, runs, unknown, bad int
	kinds := map[violationKind]int{}
	for _, o := range all {
		for f, n := range o.faultCounts {
			faultCounts[f] += n
		}
		for _, a := range o.attempts {
			attempts++
			switch {
			case a.complete:
				complete++
			case a.refusal != nil && !a.refusal.NotRun, a.incomplete:
				unknown++
			}
			if !a.complete {
				refusals[a.outcome()]++
			}
		}
		for _, x := range o.violations.list {
			kinds[x.kind]++
		}
		if len(o.violations.list) > 0 {
			bad++
		}
		for what, d := range o.times {
			times[what] = append(times[what], d...)
		}
		runs += o.runs
	}
	fmt.Fprintf(&b, "schedules %d, with violations %d\n", len(all), bad)
	fmt.Fprintf(&b, "requests sent %d, dispatched %d, complete answers %d, outcome unknown %d\n", attempts, runs, complete, unknown)
	for _, k := range []violationKind{duplicateRun, lost, falselyRefused, wrongAnswer, configuration, leavingWork, unexpectedEnd, notRecovered} {
		fmt.Fprintf(&b, "%s %d\n", k, kinds[k])
	}
	fmt.Fprintf(&b, "faults: %s\nwithout a complete answer: %s\n", formatCounts(faultCounts), formatCounts(refusals))
	for _, what := range sortedKeys(times) {
		d := times[what]
		slices.Sort(d)
		fmt.Fprintf(&b, "%-50s n=%d p50=%s p90=%s p99=%s max=%s\n", what, len(d), percentile(d, 50), percentile(d, 90), percentile(d, 99), d[len(d)-1].Round(time.Millisecond))
	}
	return b.String()
}

// percentile returns a percentile of sorted durations.
func percentile(d []time.Duration, p int) time.Duration {
	return d[min(len(d)-1, len(d)*p/100)].Round(time.Millisecond)
}

func formatCounts(m map[string]int) string {
	var all []string
	for _, k := range sortedKeys(m) {
		all = append(all, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(all, ", ")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
