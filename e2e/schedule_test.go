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

// Shape of a schedule.
const (
	callersOfSchedule = 12
	roundsOfFaults    = 4
	roundInterval     = 2500 * time.Millisecond
	// twoPercent is how often two faults are drawn at a time.
	twoPercent = 60
)

// outcome is what one schedule gave.
type outcome struct {
	seed     uint64
	drawn    map[string]int
	attempts []*attempt
	runs     int
	verdict  *verdict
	times    map[string][]time.Duration
}

// TestSchedules runs seeded schedules; -schedules asks for more of them.
func TestSchedules(t *testing.T) {
	var mu sync.Mutex
	var all []*outcome
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
	t.Log("\n" + table(all))
}

func runSchedule(t *testing.T, seed uint64) *outcome {
	r := rand.New(rand.NewPCG(seed, 1<<40))
	cfg := siteConfig{zones: []int{3}, engines: 3, services: 2, slots: 4}
	if r.IntN(4) == 0 {
		cfg.zones = []int{3, 2}
	}
	s := newSite(t, cfg)
	c := &schedule{site: s, seed: seed, drawn: map[string]int{}, busy: make([]sync.Mutex, len(s.instances))}
	c.load = newLoad(s, seed)
	c.load.run(callersOfSchedule)
	c.runFaults(r)
	s.heal()
	c.note("healed")
	time.Sleep(1500 * time.Millisecond)
	c.load.end()
	o := &outcome{seed: seed, drawn: c.drawn, times: map[string][]time.Duration{}, verdict: &verdict{}}
	v := o.verdict
	o.times["configuration in force everywhere, after healing"] = []time.Duration{checkInForce(v, s)}
	o.times["each instance serves each pool, after healing"] = []time.Duration{checkServes(v, c)}
	checkIdle(v, s)
	o.attempts = c.load.all()
	v.violations = append(v.violations, check(c, o.attempts).violations...)
	o.runs = len(posts(s.recorder.Runs("")))
	c.measure(o.times)
	c.report(t, o)
	return o
}

// runFaults draws the faults of each round, often two, and waits for their
// ends.
func (c *schedule) runFaults(r *rand.Rand) {
	var wg sync.WaitGroup
	for range roundsOfFaults {
		n := 1
		if percent(r, twoPercent) {
			n = 2
		}
		for range n {
			f, own := faults[r.IntN(len(faults))], rand.New(rand.NewPCG(r.Uint64(), c.seed))
			c.drawn[f.name]++
			wg.Go(func() { f.run(c, own) })
		}
		time.Sleep(roundInterval)
	}
	wg.Wait()
}

// report fails the test with all that is needed to find a cause.
func (c *schedule) report(t *testing.T, o *outcome) {
	if len(o.verdict.violations) == 0 {
		return
	}
	c.mu.Lock()
	trace := strings.Join(c.trace, "\n")
	c.mu.Unlock()
	t.Errorf("seed %d:\n%s\nfaults:\n%s", o.seed, o.verdict, trace)
	if *flagKeepLogs == "" {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n%s\nfaults:\n%s\n\nattempts:\n", o.seed, o.verdict, trace)
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

// measure works out the times of detection, of handing over and of healing
// from what the other instances logged.
func (c *schedule) measure(times map[string][]time.Duration) {
	add := func(what string, from time.Time, l logLine, found bool) {
		if found {
			times[what] = append(times[what], l.at.Sub(from))
		}
	}
	for _, m := range c.marks {
		switch m.what {
		case "start":
			l, found := m.on.startedAt(m.at).find(m.at, "event=ready ready=true")
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
				add("planned stop until handed over", m.at, l, found)
			case "resume":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_health", name, "health=alive")
				add("resume until taken back", m.at, l, found)
			case "cut healed":
				l, found := p.findWithin(m.at, 10*time.Second, "peer_up", name)
				add("cut healed until session", m.at, l, found)
			}
		}
	}
}

// findWithin is find with a limit.
func (p *process) findWithin(after time.Time, limit time.Duration, texts ...string) (logLine, bool) {
	l, found := p.find(after, texts...)
	return l, found && l.at.Sub(after) <= limit
}

// startedAt returns the first process started after a time.
func (in *instance) startedAt(at time.Time) *process {
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

// table sums outcomes up.
func table(all []*outcome) string {
	var b strings.Builder
	drawn, refusals, times := map[string]int{}, map[string]int{}, map[string][]time.Duration{}
	var attempts, whole, runs, unknown, bad int
	kinds := map[violationKind]int{}
	for _, o := range all {
		for f, n := range o.drawn {
			drawn[f] += n
		}
		for _, a := range o.attempts {
			attempts++
			switch {
			case a.whole:
				whole++
			case a.refused != nil && !a.refused.NotRun, a.cut:
				unknown++
			}
			if !a.whole {
				refusals[a.outcome()]++
			}
		}
		for _, x := range o.verdict.violations {
			kinds[x.kind]++
		}
		if len(o.verdict.violations) > 0 {
			bad++
		}
		for what, d := range o.times {
			times[what] = append(times[what], d...)
		}
		runs += o.runs
	}
	fmt.Fprintf(&b, "schedules %d, with violations %d\n", len(all), bad)
	fmt.Fprintf(&b, "requests sent %d, dispatched %d, whole answers %d, outcome not known %d\n", attempts, runs, whole, unknown)
	for _, k := range []violationKind{doubled, lost, falselyRefused, wrongAnswer, configuration, leavingWork, unexpectedEnd, notHealed} {
		fmt.Fprintf(&b, "%s %d\n", k, kinds[k])
	}
	fmt.Fprintf(&b, "faults: %s\nwithout a whole answer: %s\n", counted(drawn), counted(refusals))
	for _, what := range sortedKeys(times) {
		d := times[what]
		slices.Sort(d)
		fmt.Fprintf(&b, "%-50s n=%d p50=%s p90=%s p99=%s max=%s\n", what, len(d), at(d, 50), at(d, 90), at(d, 99), d[len(d)-1].Round(time.Millisecond))
	}
	return b.String()
}

// at returns a percentile of sorted durations.
func at(d []time.Duration, p int) time.Duration {
	return d[min(len(d)-1, len(d)*p/100)].Round(time.Millisecond)
}

func counted(m map[string]int) string {
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
