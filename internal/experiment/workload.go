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
	// templatesPerStream is the number of shared prefixes of an organisation in
	// a tier.
	templatesPerStream = 12
	// largestDemandFactor multiplies the demand of the organisation with the
	// largest share of a tier.
	largestDemandFactor = 3
)

// tokenRanges are the ranges of the prompt and output lengths in one tier, in
// tokens. Lengths are log-uniform within a range.
type tokenRanges struct{ prompt, output [2]float64 }

// tierTokenRanges are the ranges of each tier, from one-line questions to long
// notes of a hundred times the length. Index 0 is rank 1.
var tierTokenRanges = []tokenRanges{
	{prompt: [2]float64{60, 600}, output: [2]float64{8, 100}},
	{prompt: [2]float64{100, 2000}, output: [2]float64{40, 300}},
	{prompt: [2]float64{40, 400}, output: [2]float64{20, 200}},
	{prompt: [2]float64{1000, 6000}, output: [2]float64{100, 800}},
}

// call is one request of a caller, with all its attempts.
type call struct {
	arrived      reducer.Instant
	deadline     reducer.Instant
	tier         *declared.Tier
	organisation string
	prompt       int
	prefixTokens int
	prefix       uint64
	output       int
	// maxOutput is the output limit that the caller requests.
	maxOutput      int
	fingerprint    uint64
	failureRetries int
	refusalRetries int
	attempt        attempt
	// done is true once the caller has an answer, a final refusal or a timeout.
	done         bool
	firstTokenAt reducer.Instant
	measured     bool
}

// work returns the size of the call in engine seconds of a class, independent of
// slots.
func (c *call) work(class *declared.Class) float64 {
	return float64(c.prompt)/float64(class.PrefillTokensPerSecond) + float64(c.output)/float64(class.DecodeTokensPerSecond)
}

// stream is the demand of one organisation in one tier.
type stream struct {
	tier         *declared.Tier
	organisation *declared.Organisation
	index        int
	// weight is proportional to the stream's fraction of all calls.
	weight float64
}

// workload generates random calls.
type workload struct {
	random  *rand.Rand
	streams []stream
	pool    string
	// prefixLengths has the length of each template's prefix, drawn once.
	prefixLengths map[uint64]int
}

func newWorkload(f *declared.File, pool string, seed uint64) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 1)), pool: pool, prefixLengths: map[uint64]int{}}
	for i := range f.Tiers {
		w.addTier(f, &f.Tiers[i])
	}
	return w
}

// addTier adds the streams of a tier, so that the tier has its share of all work
// and each organisation its part of that.
func (w *workload) addTier(f *declared.File, t *declared.Tier) {
	demands, sum := tierDemands(f, t)
	l := tierTokenRanges[min(t.Rank, len(tierTokenRanges))-1]
	meanCost := logUniformMean(l.prompt)/6.5 + logUniformMean(l.output)
	for i := range f.Organisations {
		o := &f.Organisations[i]
		if demands[o.Name] == 0 {
			continue
		}
		weight := float64(t.SharePercent) * demands[o.Name] / sum / meanCost
		w.streams = append(w.streams, stream{t, o, i, weight})
	}
}

// tierDemands returns the shares of a tier, with the largest one multiplied by
// largestDemandFactor, and their sum.
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
	demands[largest] *= largestDemandFactor
	for i := range f.Organisations {
		sum += demands[f.Organisations[i].Name]
	}
	return demands, sum
}

// logUniformMean returns the mean of a log-uniform distribution.
func logUniformMean(bounds [2]float64) float64 {
	return (bounds[1] - bounds[0]) / math.Log(bounds[1]/bounds[0])
}

func (w *workload) drawLogUniform(bounds [2]float64) float64 {
	return bounds[0] * math.Exp(w.random.Float64()*math.Log(bounds[1]/bounds[0]))
}

// drawInterarrival draws the time to the next arrival of a Poisson process.
func (w *workload) drawInterarrival(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) drawCall(now reducer.Instant) *call {
	s := w.pickStream()
	l := tierTokenRanges[min(s.tier.Rank, len(tierTokenRanges))-1]
	prefix := uint64(s.tier.Rank)<<32 | uint64(s.index)<<16 | uint64(1+w.random.IntN(templatesPerStream))
	if w.prefixLengths[prefix] == 0 {
		w.prefixLengths[prefix] = int(w.drawLogUniform([2]float64{256, 2048}))
	}
	// Organisations differ in the length of their answers.
	output := w.drawLogUniform(l.output) * (0.6 + 0.2*float64(s.index%5))
	return &call{
		arrived: now, deadline: now.Add(time.Duration(s.tier.DeadlineMS) * time.Millisecond),
		tier: s.tier, organisation: s.organisation.Name,
		prompt:       w.prefixLengths[prefix] + int(w.drawLogUniform(l.prompt)),
		prefixTokens: w.prefixLengths[prefix], prefix: prefix,
		output: max(1, int(output)), maxOutput: int(l.output[1] * 1.5),
		fingerprint: w.random.Uint64() | 1<<63,
	}
}

func (w *workload) pickStream() stream {
	total := 0.0
	for _, s := range w.streams {
		total += s.weight
	}
	point := w.random.Float64() * total
	for _, s := range w.streams {
		if point -= s.weight; point <= 0 {
			return s
		}
	}
	return w.streams[len(w.streams)-1]
}
