package experiment

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// longestRecorded bounds the recorded times.
const longestRecorded = 10 * time.Minute

// tally counts calls and their work, in engine seconds.
type tally struct {
	calls int
	work  float64
}

func (t *tally) add(work float64) {
	t.calls++
	t.work += work
}

// streamKey is one organisation in one tier.
type streamKey struct {
	rank         int
	organisation string
}

// Outcome is what was measured of one zone, or of several together.
type Outcome struct {
	// offered and good go by the time of arrival, done by that of the answer.
	offered, good, done map[streamKey]tally
	// wasted counts prompt tokens by reason.
	wasted          map[reducer.WasteReason]int
	prefill         int
	prompt, cached  int
	spend, forecast float64
	firstToken      *hdrhistogram.Histogram
	betweenTokens   *hdrhistogram.Histogram
	refusals        map[string]int
	// best is the work that the engines can do at their best in the time.
	best    float64
	seconds float64
	// measuring is off while the zone warms up.
	measuring bool
}

func newOutcome() *Outcome {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longestRecorded.Microseconds(), 3)
	}
	return &Outcome{
		offered: map[streamKey]tally{}, good: map[streamKey]tally{}, done: map[streamKey]tally{},
		wasted: map[reducer.WasteReason]int{}, refusals: map[string]int{},
		firstToken: histogram(), betweenTokens: histogram(),
	}
}

func count(m map[streamKey]tally, c *call, work float64) {
	k := streamKey{c.tier.Rank, c.organisation}
	t := m[k]
	t.add(work)
	m[k] = t
}

// gap records the time between two tokens of one answer.
func (o *Outcome) gap(d time.Duration) {
	if o.measuring {
		_ = o.betweenTokens.RecordValue(min(d, longestRecorded).Microseconds())
	}
}

// bill adds what the engine charges for a run, however it ended.
func (o *Outcome) bill(class *declared.Class, r *run) {
	o.spend += float64(class.Price(r.cached+r.read, r.cached, r.generated))
	if o.measuring {
		o.prefill += r.read
		o.prompt += r.cached + r.read
		o.cached += r.cached
	}
}

func (o *Outcome) waste(why reducer.WasteReason, r *run) {
	if o.measuring {
		o.wasted[why] += r.read
	}
}

// add takes in what was measured of another zone.
func (o *Outcome) add(other *Outcome) {
	sum := func(into, from map[streamKey]tally) {
		for k, t := range from {
			into[k] = tally{into[k].calls + t.calls, into[k].work + t.work}
		}
	}
	sum(o.offered, other.offered)
	sum(o.good, other.good)
	sum(o.done, other.done)
	for why, n := range other.wasted {
		o.wasted[why] += n
	}
	for why, n := range other.refusals {
		o.refusals[why] += n
	}
	o.prefill += other.prefill
	o.prompt += other.prompt
	o.cached += other.cached
	o.spend += other.spend
	o.forecast += other.forecast
	o.best += other.best
	o.seconds = other.seconds
	o.firstToken.Merge(other.firstToken)
	o.betweenTokens.Merge(other.betweenTokens)
}

// tier sums up one tier; rank zero sums up all.
func tier(m map[streamKey]tally, rank int) tally {
	sum := tally{}
	for _, k := range sortedStreams(m) {
		if rank == 0 || k.rank == rank {
			sum.calls += m[k].calls
			sum.work += m[k].work
		}
	}
	return sum
}

func sortedStreams(m map[streamKey]tally) []streamKey {
	keys := make([]streamKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].rank != keys[j].rank {
			return keys[i].rank < keys[j].rank
		}
		return keys[i].organisation < keys[j].organisation
	})
	return keys
}

// ratio is NaN where there is nothing to compare with.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}

// unfairness is the largest relative distance between what an organisation
// got of a tier and its fair part: the tier's done work divided by share, an
// organisation never getting more than it asked for. Tiers that got nearly all
// or nearly nothing say nothing, nor do parts of a few calls; NaN means that
// nothing is left.
func (o *Outcome) unfairness(f *declared.File) float64 {
	worst := math.NaN()
	for i := range f.Tiers {
		t := &f.Tiers[i]
		done, offered := tier(o.done, t.Rank), tier(o.offered, t.Rank)
		served := ratio(done.work, offered.work)
		if math.IsNaN(served) || served > 0.9 || served < 0.1 {
			continue
		}
		for name, fair := range fairParts(o.demands(f, t), done.work) {
			if fair < leastFairCalls*done.work/float64(done.calls) {
				continue
			}
			off := math.Abs(o.done[streamKey{t.Rank, name}].work-fair) / fair
			if math.IsNaN(worst) || off > worst {
				worst = off
			}
		}
	}
	return worst
}

// leastFairCalls is how many calls of usual size a fair part must have, so that
// the lengths of single calls do not decide.
const leastFairCalls = 100

// demand is what an organisation asks for of a tier, and its share.
type demand struct {
	name        string
	work, share float64
}

func (o *Outcome) demands(f *declared.File, t *declared.Tier) []demand {
	var all []demand
	for i := range f.Organisations {
		org := &f.Organisations[i]
		if share := org.Tiers[t.Name]; share > 0 {
			all = append(all, demand{org.Name, o.offered[streamKey{t.Rank, org.Name}].work, float64(share)})
		}
	}
	return all
}

// fairParts divides work by share: who asks for less than its part gets what
// it asks for, and the others divide the rest.
func fairParts(demands []demand, work float64) map[string]float64 {
	parts := map[string]float64{}
	for len(demands) > 0 {
		shares := 0.0
		for _, d := range demands {
			shares += d.share
		}
		var rest []demand
		left := work
		for _, d := range demands {
			if d.work <= work*d.share/shares {
				parts[d.name] = d.work
				left -= d.work
				continue
			}
			rest = append(rest, d)
		}
		if len(rest) == len(demands) {
			for _, d := range rest {
				parts[d.name] = work * d.share / shares
			}
			break
		}
		demands, work = rest, left
	}
	return parts
}
