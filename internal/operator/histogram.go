package operator

import (
	"fmt"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds, in milliseconds, of a Histogram's
// buckets: half a power of two apart, from a millisecond to half a minute.
var histogramBounds = []int64{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768,
	1024, 1536, 2048, 3072, 4096, 6144, 8192, 12288, 16384, 32768}

// Histogram counts durations in fixed buckets. It may be used concurrently.
type Histogram struct {
	buckets []atomic.Int64
	count   atomic.Int64
	sum     atomic.Int64
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{buckets: make([]atomic.Int64, len(histogramBounds)+1)}
}

// Observe adds one duration.
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

// Snapshot returns the counts for publication: "le_N" holds what took at most
// N milliseconds and more than the bound before.
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
