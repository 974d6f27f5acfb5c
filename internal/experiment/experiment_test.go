package experiment

import (
	"bytes"
	"math"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// kalahari returns the declared file of the example with ten times its spend,
// so that deadlines and not spend limits determine the outcome.
func kalahari(t *testing.T) *declared.File {
	t.Helper()
	data, err := os.ReadFile("../../examples/kalahari/declared.toml")
	must.NoError(t, err)
	f, err := declared.Parse(data)
	must.NoError(t, err)
	for i := range f.Organisations {
		f.Organisations[i].SpendMicrosPerMonth *= 10
	}
	return declared.Indexed(*f)
}

func scenario(f *declared.File, load float64, faults bool) Scenario {
	return Scenario{Deployment: "kalahari", File: f, Instances: 6, LoadFraction: load, Faults: faults, Duration: 20 * time.Second}
}

func TestTopTierMeetsDeadlinesWithoutFaults(t *testing.T) {
	f := kalahari(t)
	capacities := MeasureCapacities(f, 1)
	out := Run(scenario(f, 2, false), Cost, capacities, 1)
	offered, good := tierTotal(out.offered, 1), tierTotal(out.good, 1)
	must.Greater(t, 1000, offered.calls)
	must.GreaterEq(t, 0.99, ratio(float64(good.calls), float64(offered.calls)))
	must.Less(t, 0.05, wastedPercent(out)/percent)
	must.LessEq(t, 1, ratio(out.spend, out.forecast))
	must.Greater(t, 0.9, ratio(tierTotal(out.completed, 0).work, out.capacity))
}

func TestSpendStaysWithinForecastOfUnchangedFile(t *testing.T) {
	data, err := os.ReadFile("../../examples/kalahari/declared.toml")
	must.NoError(t, err)
	f, err := declared.Parse(data)
	must.NoError(t, err)
	out := Run(scenario(f, 2, true), Cost, MeasureCapacities(f, 1), 1)
	must.Greater(t, 0, out.spend)
	must.LessEq(t, 1, ratio(out.spend, out.forecast))
}

func TestSameSeedGivesSameTable(t *testing.T) {
	f := kalahari(t)
	print := func(workers int) string {
		s := scenario(f, 1, true)
		s.Duration = 5 * time.Second
		m := Matrix{Scenarios: []Scenario{s}, Policies: []Policy{Cost, Plain, Reference}, Seeds: []uint64{7}, Workers: workers}
		var out bytes.Buffer
		must.NoError(t, Write(&out, m.Run(), m.Policies))
		return out.String()
	}
	first := print(1)
	must.Eq(t, first, print(3))
	must.StrContains(t, first, "checkout good % of offered")
}

func TestDivideFairly(t *testing.T) {
	fairWork := divideFairly([]demand{{"large", 100, 60}, {"small", 5, 20}, {"middle", 100, 20}}, 45)
	must.InDelta(t, 30, fairWork["large"], 1e-9)
	must.InDelta(t, 5, fairWork["small"], 1e-9)
	must.InDelta(t, 10, fairWork["middle"], 1e-9)
}

func TestSummaryIgnoresNaN(t *testing.T) {
	s := summarise([]float64{1, math.NaN(), 3})
	must.Eq(t, summary{mean: 2, smallest: 1, largest: 3}, s)
	must.Eq(t, "-", summarise([]float64{math.NaN()}).String())
	must.Eq(t, "2.00 (1.00..3.00)", s.String())
}

func TestOutcomesMerge(t *testing.T) {
	sum := newOutcome()
	for range 2 {
		o := newOutcome()
		o.measuring = true
		o.prefill = 100
		o.addWaste(reducer.WasteLate, &run{prefilled: 25})
		o.capacity, o.spend, o.forecast = 4, 1, 2
		o.completed[streamKey{1, "a"}] = tally{calls: 3, work: 2}
		o.recordTokenGap(time.Millisecond)
		sum.merge(o)
	}
	must.Eq(t, 25, wastedPercent(sum))
	must.Eq(t, tally{6, 4}, tierTotal(sum.completed, 0))
	must.Eq(t, 0.5, ratio(tierTotal(sum.completed, 1).work, sum.capacity))
	must.Eq(t, 0.5, ratio(sum.spend, sum.forecast))
	must.Eq(t, int64(2), sum.tokenGaps.TotalCount())
}

func TestEngineReachesItsDeclaredRate(t *testing.T) {
	f := kalahari(t)
	o := newOutcome()
	c := &clock{now: 1}
	d := f.EndpointsIn(f.Zones()[0])[0]
	e := newEngine(c, d, f.Class(d.Class), o)
	ended := 0
	for i := range d.Slots {
		r := &run{call: &call{prompt: 1, output: 1001, prefix: uint64(i + 1)}}
		r.onFirstToken = func() {}
		r.onEnd = func(reducer.Ended) { ended++ }
		e.add(r)
	}
	seconds := 1000 * float64(d.Slots) / float64(e.class.DecodeTokensPerSecond)
	c.runUntil(c.now.Add(time.Duration(seconds * 0.99 * float64(time.Second))))
	must.Eq(t, 0, ended)
	c.runUntil(c.now.Add(time.Duration(seconds * 0.03 * float64(time.Second))))
	must.Eq(t, d.Slots, ended)
}
