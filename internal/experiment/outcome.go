package experiment

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// maxRecordedTime limits the recorded times.
const maxRecordedTime = 10 * time.Minute

// tally counts calls and their work, in engine seconds.
type tally struct {
	calls int
	work  float64
}

func (t *tally) add(work float64) {
	t.calls++
	t.work += work
}

// streamKey identifies one organisation in one tier.
type streamKey struct {
	rank         int
	organisation string
}

// Outcome holds the measurements of one zone, or the sum of several.
type Outcome struct {
	// offered and good count the calls that arrived in the measured time, and
	// completed those that were answered in it.
	offered, good, completed map[streamKey]tally
	// wasted counts the wasted prompt tokens by reason.
	wasted          map[reducer.WasteReason]int
	prefill         int
	prompt, cached  int
	spend, forecast float64
	firstToken      *hdrhistogram.Histogram
	tokenGaps       *hdrhistogram.Histogram
	refusals        map[string]int
	// capacity is the maximum work of the engines in the measured time.
	capacity float64
	seconds  float64
	// measuring is true during the measured time.
	measuring bool
}

func newOutcome() *Outcome {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)
	}
	return &Outcome{
		offered: map[streamKey]tally{}, good: map[streamKey]tally{}, completed: map[streamKey]tally{},
		wasted: map[reducer.WasteReason]int{}, refusals: map[string]int{},
		firstToken: histogram(), tokenGaps: histogram(),
	}
}

func addCall(m map[streamKey]tally, c *call, work float64) {
	k := streamKey{c.tier.Rank, c.organisation}
	t := m[k]
	t.add(work)
	m[k] = t
}

// recordTokenGap records the time between two tokens of one answer.
func (o *Outcome) recordTokenGap(d time.Duration) {
	if o.measuring {
		_ = o.tokenGaps.RecordValue(min(d, maxRecordedTime).Microseconds())
	}
}

// addCharges adds the price of a run, however it ended.
func (o *Outcome) addCharges(class *declared.Class, r *run) {
	o.spend += float64(class.Price(r.cached+r.prefilled, r.cached, r.generated))
	if o.measuring {
		o.prefill += r.prefilled
		o.prompt += r.cached + r.prefilled
		o.cached += r.cached
	}
}

func (o *Outcome) addWaste(reason reducer.WasteReason, r *run) {
	if o.measuring {
		o.wasted[reason] += r.prefilled
	}
}

// merge adds the measurements of another zone.
func (o *Outcome) merge(other *Outcome) {
	sum := func(into, from map[streamKey]tally) {
		for k, t := range from {
			into[k] = tally{into[k].calls + t.calls, into[k].work + t.work}
		}
	}
	sum(o.offered, other.offered)
	sum(o.good, other.good)
	sum(o.completed, other.completed)
	for reason, n := range other.wasted {
		o.wasted[reason] += n
	}
	for reason, n := range other.refusals {
		o.refusals[reason] += n
	}
	o.prefill += other.prefill
	o.prompt += other.prompt
	o.cached += other.cached
	o.spend += other.spend
	o.forecast += other.forecast
	o.capacity += other.capacity
	o.seconds = other.seconds
	o.firstToken.Merge(other.firstToken)
	o.tokenGaps.Merge(other.tokenGaps)
}

// tierTotal returns the sum of one tier, or of all tiers for rank zero.
func tierTotal(m map[streamKey]tally, rank int) tally {
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

// ratio returns part divided by whole, or NaN if whole is zero.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}

// unfairness returns the largest relative deviation of an organisation's
// completed work in a tier from its fair part. The fair part divides the tier's
// completed work by share, limited to the work that the organisation offered.
// Tiers with nearly all or nearly none of their work completed give no
// information and are left out, as are parts of a few calls. NaN means that
// nothing remains.
func (o *Outcome) unfairness(f *declared.File) float64 {
	largest := math.NaN()
	for i := range f.Tiers {
		t := &f.Tiers[i]
		completed, offered := tierTotal(o.completed, t.Rank), tierTotal(o.offered, t.Rank)
		served := ratio(completed.work, offered.work)
		if math.IsNaN(served) || served > 0.9 || served < 0.1 {
			continue
		}
		for name, fair := range divideFairly(o.demands(f, t), completed.work) {
			if fair < minFairCalls*completed.work/float64(completed.calls) {
				continue
			}
			deviation := math.Abs(o.completed[streamKey{t.Rank, name}].work-fair) / fair
			if math.IsNaN(largest) || deviation > largest {
				largest = deviation
			}
		}
	}
	return largest
}

// minFairCalls is the minimum size of a fair part in calls of mean size, so that
// the lengths of single calls do not determine the result.
const minFairCalls = 100

// demand is the work that an organisation offers in a tier, and its share.
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

// divideFairly divides work by share. An organisation that offers less than its
// part gets what it offers, and the others divide the rest.
func divideFairly(demands []demand, work float64) map[string]float64 {
	fairWork := map[string]float64{}
	for len(demands) > 0 {
		totalShare := 0.0
		for _, d := range demands {
			totalShare += d.share
		}
		var rest []demand
		remaining := work
		for _, d := range demands {
			if d.work <= work*d.share/totalShare {
				fairWork[d.name] = d.work
				remaining -= d.work
				continue
			}
			rest = append(rest, d)
		}
		if len(rest) == len(demands) {
			for _, d := range rest {
				fairWork[d.name] = work * d.share / totalShare
			}
			break
		}
		demands, work = rest, remaining
	}
	return fairWork
}
