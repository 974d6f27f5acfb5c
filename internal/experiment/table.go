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

// figure is one line of the table: a value of one outcome, in its unit.
type figure struct {
	name  string
	value func(*Outcome) float64
}

// spread is a figure's mean over the seeds, with its least and its largest.
type spread struct{ mean, least, largest float64 }

// spreadOf leaves out what is not a number.
func spreadOf(values []float64) spread {
	s := spread{mean: math.NaN(), least: math.Inf(1), largest: math.Inf(-1)}
	sum, n := 0.0, 0
	for _, v := range values {
		if math.IsNaN(v) {
			continue
		}
		sum += v
		n++
		s.least, s.largest = min(s.least, v), max(s.largest, v)
	}
	if n > 0 {
		s.mean = sum / float64(n)
	}
	return s
}

// String has four digits at most, which keeps columns narrow.
func (s spread) String() string {
	if math.IsNaN(s.mean) {
		return "-"
	}
	return fmt.Sprintf("%s (%s..%s)", short(s.mean), short(s.least), short(s.largest))
}

func short(v float64) string {
	switch {
	case math.Abs(v) >= 1000:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// Write prints the table: a block for each scenario, a line for each figure, a
// column for each policy. Every figure is the mean over the seeds with the
// least and the largest in brackets.
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
	state := "calm"
	if s.Faults {
		state = "faults"
	}
	for _, f := range figures(cells) {
		fmt.Fprintf(w, "%s\t%sx\t%s\t%s", s.Deployment, strings.TrimSuffix(fmt.Sprintf("%.1f", s.Load), ".0"), state, f.name)
		for _, c := range cells {
			values := make([]float64, len(c.Outcomes))
			for i, o := range c.Outcomes {
				values[i] = f.value(o)
			}
			fmt.Fprintf(w, "\t%s", spreadOf(values))
		}
		fmt.Fprintln(w)
	}
}

const percent = 100

func figures(cells []Cell) []figure {
	f := cells[0].Scenario.File
	var all []figure
	for i := range f.Tiers {
		rank := f.Tiers[i].Rank
		all = append(all,
			figure{f.Tiers[i].Name + " good % of offered", func(o *Outcome) float64 {
				return percent * ratio(float64(tier(o.good, rank).calls), float64(tier(o.offered, rank).calls))
			}},
			figure{f.Tiers[i].Name + " good /s", func(o *Outcome) float64 { return float64(tier(o.done, rank).calls) / o.seconds }},
		)
	}
	all = append(all,
		figure{"goodput % of measured best", func(o *Outcome) float64 { return percent * ratio(tier(o.done, 0).work, o.best) }},
		figure{"wasted prefill %", wastedPercent},
	)
	for _, why := range reducer.WasteReasons() {
		all = append(all, figure{"wasted " + string(why) + " tokens", func(o *Outcome) float64 { return float64(o.wasted[why]) }})
	}
	all = append(all,
		figure{"prefix hits % of prompt tokens", func(o *Outcome) float64 { return percent * ratio(float64(o.cached), float64(o.prompt)) }},
		figure{"spend % of forecast's highest", func(o *Outcome) float64 { return percent * ratio(o.spend, o.forecast) }},
		figure{"unfairness % of share", func(o *Outcome) float64 { return percent * o.unfairness(f) }},
	)
	for _, q := range []float64{50, 95, 99} {
		all = append(all, quantile("first token ms", q, func(o *Outcome) *hdrhistogram.Histogram { return o.firstToken }))
	}
	for _, q := range []float64{50, 95, 99} {
		all = append(all, quantile("between tokens ms", q, func(o *Outcome) *hdrhistogram.Histogram { return o.betweenTokens }))
	}
	return append(all, refusalFigures(cells)...)
}

func wastedPercent(o *Outcome) float64 {
	sum := 0
	for _, n := range o.wasted {
		sum += n
	}
	return percent * ratio(float64(sum), float64(o.prefill))
}

func quantile(name string, q float64, of func(*Outcome) *hdrhistogram.Histogram) figure {
	const microsPerMilli = 1000
	return figure{fmt.Sprintf("%s p%.0f", name, q), func(o *Outcome) float64 {
		return float64(of(o).ValueAtQuantile(q)) / microsPerMilli
	}}
}

func refusalFigures(cells []Cell) []figure {
	seen := map[string]bool{}
	for _, c := range cells {
		for _, o := range c.Outcomes {
			for why := range o.refusals {
				seen[why] = true
			}
		}
	}
	var all []figure
	for why := range seen {
		all = append(all, figure{"refused " + why + " /s", func(o *Outcome) float64 { return float64(o.refusals[why]) / o.seconds }})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
