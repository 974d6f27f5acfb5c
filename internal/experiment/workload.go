package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Workload constants.
const (
	// templates is how many shared prefixes an organisation has in a tier.
	templates = 12
	// largeDemand is how much more than its share the largest organisation of
	// a tier asks for.
	largeDemand = 3
)

// lengths bounds what is asked of one tier; lengths are log-uniform between.
type lengths struct{ prompt, output [2]float64 }

// tierLengths go from one-line questions to long notes, a hundredfold apart.
// Index 0 is rank 1.
var tierLengths = []lengths{
	{prompt: [2]float64{60, 600}, output: [2]float64{8, 100}},
	{prompt: [2]float64{100, 2000}, output: [2]float64{40, 300}},
	{prompt: [2]float64{40, 400}, output: [2]float64{20, 200}},
	{prompt: [2]float64{1000, 6000}, output: [2]float64{100, 800}},
}

// call is one caller's request, with all its attempts.
type call struct {
	arrived      reducer.Instant
	deadline     reducer.Instant
	tier         *declared.Tier
	organisation string
	prompt       int
	prefixTokens int
	prefix       uint64
	output       int
	// maxOutput is what the caller asks for at most.
	maxOutput   int
	fingerprint uint64
	resends     int
	comebacks   int
	place       place
	// over says that the caller has an answer or has given up.
	over     bool
	firstAt  reducer.Instant
	measured bool
}

// work is the call's size in slot-free engine seconds of one class.
func (c *call) work(class *declared.Class) float64 {
	return float64(c.prompt)/float64(class.PrefillTokensPerSecond) + float64(c.output)/float64(class.DecodeTokensPerSecond)
}

// stream is the demand of one organisation in one tier.
type stream struct {
	tier         *declared.Tier
	organisation *declared.Organisation
	index        int
	// weight is the part of all calls.
	weight float64
}

// workload draws calls.
type workload struct {
	random  *rand.Rand
	streams []stream
	pool    string
	// prefixLengths are drawn once, by template.
	prefixLengths map[uint64]int
}

func newWorkload(f *declared.File, pool string, seed uint64) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 1)), pool: pool, prefixLengths: map[uint64]int{}}
	for i := range f.Tiers {
		w.addTier(f, &f.Tiers[i])
	}
	return w
}

// addTier gives a tier its share of all work, and each organisation its part.
func (w *workload) addTier(f *declared.File, t *declared.Tier) {
	demands, sum := tierDemands(f, t)
	l := tierLengths[min(t.Rank, len(tierLengths))-1]
	mean := mean(l.prompt)/6.5 + mean(l.output)
	for i := range f.Organisations {
		o := &f.Organisations[i]
		if demands[o.Name] == 0 {
			continue
		}
		weight := float64(t.SharePercent) * demands[o.Name] / sum / mean
		w.streams = append(w.streams, stream{t, o, i, weight})
	}
}

// tierDemands are the shares of a tier, the largest one multiplied.
func tierDemands(f *declared.File, t *declared.Tier) (demands map[string]float64, sum float64) {
	demands = map[string]float64{}
	largest := ""
	for i := range f.Organisations {
		o := &f.Organisations[i]
		demands[o.Name] = float64(o.Tiers[t.Name])
		if largest == "" || demands[o.Name] > demands[largest] {
			largest = o.Name
		}
	}
	demands[largest] *= largeDemand
	for i := range f.Organisations {
		sum += demands[f.Organisations[i].Name]
	}
	return demands, sum
}

// mean of a log-uniform distribution.
func mean(bounds [2]float64) float64 {
	return (bounds[1] - bounds[0]) / math.Log(bounds[1]/bounds[0])
}

func (w *workload) between(bounds [2]float64) float64 {
	return bounds[0] * math.Exp(w.random.Float64()*math.Log(bounds[1]/bounds[0]))
}

// gap draws the time to the next arrival of a Poisson stream.
func (w *workload) gap(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) draw(now reducer.Instant) *call {
	s := w.pick()
	l := tierLengths[min(s.tier.Rank, len(tierLengths))-1]
	prefix := uint64(s.tier.Rank)<<32 | uint64(s.index)<<16 | uint64(1+w.random.IntN(templates))
	if w.prefixLengths[prefix] == 0 {
		w.prefixLengths[prefix] = int(w.between([2]float64{256, 2048}))
	}
	// Organisations differ in the length of their answers.
	output := w.between(l.output) * (0.6 + 0.2*float64(s.index%5))
	return &call{
		arrived: now, deadline: now.Add(time.Duration(s.tier.DeadlineMS) * time.Millisecond),
		tier: s.tier, organisation: s.organisation.Name,
		prompt:       w.prefixLengths[prefix] + int(w.between(l.prompt)),
		prefixTokens: w.prefixLengths[prefix], prefix: prefix,
		output: max(1, int(output)), maxOutput: int(l.output[1] * 1.5),
		fingerprint: w.random.Uint64() | 1<<63,
	}
}

func (w *workload) pick() stream {
	total := 0.0
	for _, s := range w.streams {
		total += s.weight
	}
	at := w.random.Float64() * total
	for _, s := range w.streams {
		if at -= s.weight; at <= 0 {
			return s
		}
	}
	return w.streams[len(w.streams)-1]
}
