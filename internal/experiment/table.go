package experiment

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstair/balsamstair/internal/reducer"
)

// metric is one row of the table: its name with the unit, and its value for an
// outcome.
type metric struct {
	name    string
	valueOf func(*Outcome) float64
}

// summary is the mean of a metric over the seeds, with the smallest and the
// largest value.
type summary struct{ mean, smallest, largest float64 }

// summarise returns the summary of values and ignores NaN.
func summarise(values []float64) summary {
	s := summary{mean: math.NaN(), smallest: math.Inf(1), largest: math.Inf(-1)}
	sum, n := 0.0, 0
	for _, v := range values {
		if math.IsNaN(v) {
			continue
		}
		sum += v
		n++
		s.smallest, s.largest = min(s.smallest, v), max(s.largest, v)
	}
	if n > 0 {
		s.mean = sum / float64(n)
	}
	return s
}

// String returns the mean and the range in brackets. At most four digits keep
// the columns narrow.
func (s summary) String() string {
	if math.IsNaN(s.mean) {
		return "-"
	}
	return fmt.Sprintf("%s (%s..%s)", formatValue(s.mean), formatValue(s.smallest), formatValue(s.largest))
}

func formatValue(v float64) string {
	switch {
	case math.Abs(v) >= 1000:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// Write prints the table: a block for each scenario, a row for each metric and a
// column for each policy. A cell has the mean over the seeds with the smallest
// and the largest value in brackets.
func Write(out io.Writer, cells []Cell, policies []Policy) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "deployment\tload\tfaults\tfigure")
	for _, p := range policies {
		fmt.Fprintf(w, "\t%s", p)
	}
	fmt.Fprintln(w)
	for len(cells) >= len(policies) && len(policies) > 0 {
		writeScenario(w, cells[:len(policies)])
		cells = cells[len(policies):]
	}
	return w.Flush()
}

func writeScenario(w io.Writer, cells []Cell) {
	s := cells[0].Scenario
	faultState := "calm"
	if s.Faults {
		faultState = "faults"
	}
	for _, f := range metrics(cells) {
		fmt.Fprintf(w, "%s\t%sx\t%s\t%s", s.Deployment, strings.TrimSuffix(fmt.Sprintf("%.1f", s.LoadFraction), ".0"), faultState, f.name)
		for _, c := range cells {
			values := make([]float64, len(c.Outcomes))
			for i, o := range c.Outcomes {
				values[i] = f.valueOf(o)
			}
			fmt.Fprintf(w, "\t%s", summarise(values))
		}
		fmt.Fprintln(w)
	}
}

const percent = 100

func metrics(cells []Cell) []metric {
	f := cells[0].Scenario.File
	var all []metric
	for i := range f.Tiers {
		rank := f.Tiers[i].Rank
		all = append(all,
			metric{f.Tiers[i].Name + " good % of offered", func(o *Outcome) float64 {
				return percent * ratio(float64(tierTotal(o.good, rank).calls), float64(tierTotal(o.offered, rank).calls))
			}},
			metric{f.Tiers[i].Name + " good /s", func(o *Outcome) float64 { return float64(tierTotal(o.completed, rank).calls) / o.seconds }},
		)
	}
	all = append(all,
		metric{"goodput % of measured best", func(o *Outcome) float64 { return percent * ratio(tierTotal(o.completed, 0).work, o.capacity) }},
		metric{"wasted prefill %", wastedPercent},
	)
	for _, reason := range reducer.WasteReasons() {
		all = append(all, metric{"wasted " + string(reason) + " tokens", func(o *Outcome) float64 { return float64(o.wasted[reason]) }})
	}
	all = append(all,
		metric{"prefix hits % of prompt tokens", func(o *Outcome) float64 { return percent * ratio(float64(o.cached), float64(o.prompt)) }},
		metric{"spend % of forecast's highest", func(o *Outcome) float64 { return percent * ratio(o.spend, o.forecast) }},
		metric{"unfairness % of share", func(o *Outcome) float64 { return percent * o.unfairness(f) }},
	)
	for _, q := range []float64{50, 95, 99} {
		all = append(all, quantileMetric("first token ms", q, func(o *Outcome) *hdrhistogram.Histogram { return o.firstToken }))
	}
	for _, q := range []float64{50, 95, 99} {
		all = append(all, quantileMetric("between tokens ms", q, func(o *Outcome) *hdrhistogram.Histogram { return o.tokenGaps }))
	}
	return append(all, refusalMetrics(cells)...)
}

func wastedPercent(o *Outcome) float64 {
	sum := 0
	for _, n := range o.wasted {
		sum += n
	}
	return percent * ratio(float64(sum), float64(o.prefill))
}

func quantileMetric(name string, q float64, histogramOf func(*Outcome) *hdrhistogram.Histogram) metric {
	const microsPerMilli = 1000
	return metric{fmt.Sprintf("%s p%.0f", name, q), func(o *Outcome) float64 {
		return float64(histogramOf(o).ValueAtQuantile(q)) / microsPerMilli
	}}
}

func refusalMetrics(cells []Cell) []metric {
	reasons := map[string]bool{}
	for _, c := range cells {
		for _, o := range c.Outcomes {
			for reason := range o.refusals {
				reasons[reason] = true
			}
		}
	}
	var all []metric
	for reason := range reasons {
		all = append(all, metric{"refused " + reason + " /s", func(o *Outcome) float64 { return float64(o.refusals[reason]) / o.seconds }})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
