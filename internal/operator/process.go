package operator

import (
	"runtime/metrics"
	"time"
)

// Process holds the Go runtime's statistics of the process.
type Process struct {
	UptimeSeconds int64  `json:"uptime_seconds"`
	Goroutines    uint64 `json:"goroutines"`
	HeapBytes     uint64 `json:"heap_bytes"`
	// MappedBytes is all memory that the runtime has mapped.
	MappedBytes uint64 `json:"mapped_bytes"`
	GCCycles    uint64 `json:"gc_cycles_total"`
}

// PublishProcess publishes a Process under the name process. Unlike package
// expvar, it does not publish the command line.
func (c *Counters) PublishProcess() {
	started := time.Now()
	c.Publish("process", func() any {
		samples := []metrics.Sample{
			{Name: "/sched/goroutines:goroutines"},
			{Name: "/memory/classes/heap/objects:bytes"},
			{Name: "/memory/classes/total:bytes"},
			{Name: "/gc/cycles/total:gc-cycles"},
		}
		metrics.Read(samples)
		return Process{
			UptimeSeconds: int64(time.Since(started).Seconds()),
			Goroutines:    samples[0].Value.Uint64(),
			HeapBytes:     samples[1].Value.Uint64(),
			MappedBytes:   samples[2].Value.Uint64(),
			GCCycles:      samples[3].Value.Uint64(),
		}
	})
}
