package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

const (
	// maxRecorded bounds the times in histograms.
	maxRecorded = 30 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Report is the result of a load.
type Report struct {
	mu sync.Mutex
	// Elapsed is the time from the first arrival to the last ending.
	Elapsed time.Duration
	// Skipped counts the requests that were not sent, since too many waited.
	Skipped int
	// Tiers has the tiers in the order of their ranks.
	Tiers []*Tier
	// Outcomes has every request in the order of the endings.
	Outcomes []Outcome
}

// Tier is the result of one tier.
type Tier struct {
	Name string
	Sent int
	// Ended counts the requests by how they ended.
	Ended map[Ended]int
	// InTime counts the whole answers that came by the deadline.
	InTime int
	// Refused counts refusals by reason, and Cut the answers that ended early
	// by the reason given, which may be empty.
	Refused map[refusal.Reason]int
	Cut     map[refusal.Reason]int
	Tokens  int

	// firstToken and between are in microseconds.
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
}

func newReport(tiers []string) *Report {
	r := &Report{}
	for _, name := range tiers {
		r.Tiers = append(r.Tiers, &Tier{
			Name: name, Ended: make(map[Ended]int),
			Refused: make(map[refusal.Reason]int), Cut: make(map[refusal.Reason]int),
			firstToken: newHistogram(), between: newHistogram(),
		})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// Tier returns the result of a tier, or nil.
func (r *Report) Tier(name string) *Tier {
	for _, t := range r.Tiers {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (r *Report) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.Tier(o.Tier); t != nil {
		t.add(&o)
	}
	// The histogram has them.
	o.Between = nil
	r.Outcomes = append(r.Outcomes, o)
}

func (r *Report) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Skipped++
}

func (r *Report) close(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Elapsed = elapsed
}

func (t *Tier) add(o *Outcome) {
	t.Sent++
	t.Ended[o.Ended]++
	t.Tokens += o.Tokens
	switch o.Ended {
	case EndedRefused:
		t.Refused[o.Reason]++
	case EndedCut:
		t.Cut[o.Reason]++
	}
	if o.InTime {
		t.InTime++
	}
	if o.Tokens > 0 {
		record(t.firstToken, o.FirstToken)
	}
	for _, d := range o.Between {
		record(t.between, d)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value beyond the histogram counts as its largest.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds()))
}

// FirstToken returns a percentile of the time to the first token.
func (t *Tier) FirstToken(percentile float64) time.Duration {
	return percentileOf(t.firstToken, percentile)
}

// Between returns a percentile of the time between tokens.
func (t *Tier) Between(percentile float64) time.Duration { return percentileOf(t.between, percentile) }

func percentileOf(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// Goodput returns the part of the sent requests whose whole answer came in
// time, 0 to 1; a tier that sent nothing has 1.
func (t *Tier) Goodput() float64 {
	if t.Sent == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Sent)
}

// Refusals returns the refusals of all tiers by reason.
func (r *Report) Refusals() map[refusal.Reason]int {
	all := make(map[refusal.Reason]int)
	for _, t := range r.Tiers {
		for reason, n := range maps.All(t.Refused) {
			all[reason] += n
		}
	}
	return all
}
