package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

const (
	// maxRecordedTime limits the times in histograms.
	maxRecordedTime = 30 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Report is the result of a load.
type Report struct {
	mu sync.Mutex
	// Elapsed is the time from the start of the load to the end of the last
	// request.
	Elapsed time.Duration
	// Skipped counts the requests that were not sent because too many were in
	// flight.
	Skipped int
	// Tiers has the tiers in order of rank.
	Tiers []*Tier
	// Outcomes has every request in the order in which they ended.
	Outcomes []Outcome
}

// Tier is the result of one tier.
type Tier struct {
	Name string
	Sent int
	// Ended counts the requests by how they ended.
	Ended map[Ended]int
	// InTime counts the complete answers that arrived by the deadline.
	InTime int
	// Refused counts the refusals by reason. Incomplete counts the incomplete
	// answers by reason, which may be empty.
	Refused    map[refusal.Reason]int
	Incomplete map[refusal.Reason]int
	Tokens     int

	// firstToken and tokenGaps are in microseconds.
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
}

func newReport(tiers []string) *Report {
	r := &Report{}
	for _, name := range tiers {
		r.Tiers = append(r.Tiers, &Tier{
			Name: name, Ended: make(map[Ended]int),
			Refused: make(map[refusal.Reason]int), Incomplete: make(map[refusal.Reason]int),
			firstToken: newHistogram(), tokenGaps: newHistogram(),
		})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
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
	// The histogram contains them.
	o.TokenGaps = nil
	r.Outcomes = append(r.Outcomes, o)
}

func (r *Report) countSkipped() {
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
	case EndedIncomplete:
		t.Incomplete[o.Reason]++
	}
	if o.InTime {
		t.InTime++
	}
	if o.Tokens > 0 {
		recordTime(t.firstToken, o.FirstToken)
	}
	for _, d := range o.TokenGaps {
		recordTime(t.tokenGaps, d)
	}
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// A value above the range of the histogram counts as its maximum.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecordedTime.Microseconds()))
}

// FirstToken returns a percentile of the time to the first token.
func (t *Tier) FirstToken(percentile float64) time.Duration {
	return percentileOf(t.firstToken, percentile)
}

// TokenGap returns a percentile of the time between tokens.
func (t *Tier) TokenGap(percentile float64) time.Duration {
	return percentileOf(t.tokenGaps, percentile)
}

func percentileOf(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// Goodput returns the fraction of the sent requests whose complete answer
// arrived by the deadline, 0 to 1. It is 1 if nothing was sent.
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
