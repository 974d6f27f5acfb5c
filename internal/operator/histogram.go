package operator

import (
	"fmt"
	"sync/atomic"
	"time"
)

// histogramBounds are the inclusive upper bounds, in milliseconds, of a
// Histogram's buckets: two per power of two, from 1 ms to about 33 s.
var histogramBounds = []int64{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768,
	1024, 1536, 2048, 3072, 4096, 6144, 8192, 12288, 16384, 32768}

// Histogram counts durations in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	buckets []atomic.Int64
	count   atomic.Int64
	sum     atomic.Int64
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{buckets: make([]atomic.Int64, len(histogramBounds)+1)}
}

// Observe records one duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	i := 0
	for i < len(histogramBounds) && ms > histogramBounds[i] {
		i++
	}
	h.buckets[i].Add(1)
	h.count.Add(1)
	h.sum.Add(ms)
}

// Snapshot returns the counts for publication. "le_N" counts the durations of
// at most N milliseconds that are above the previous bound, so buckets are not
// cumulative; "over" counts those above the last bound. Empty buckets are
// omitted, and "sum" is in milliseconds.
func (h *Histogram) Snapshot() any {
	out := map[string]int64{"count": h.count.Load(), "sum": h.sum.Load()}
	for i := range h.buckets {
		n := h.buckets[i].Load()
		if n == 0 {
			continue
		}
		name := "over"
		if i < len(histogramBounds) {
			name = fmt.Sprintf("le_%d", histogramBounds[i])
		}
		out[name] = n
	}
	return out
}
