package gossip

import (
	"fmt"
	"testing"

	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// BenchmarkReport measures the size of a report and the time to encode and
// decode it, for several numbers of members, organisations and endpoints.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ members, organisations, endpoints int }{{5, 5, 12}, {12, 16, 7}, {3, 16, 0}, {12, 100, 12}, {0, 0, 1}} {
		r := scheduler.Report{Partial: size.members == 0, Incarnation: 7, Sequence: 1 << 20, Address: "10.1.0.25:8229", Zone: "ga-piedmont-a", Version: 40}
		for n := range size.members {
			r.Members = append(r.Members, fmt.Sprintf("10.1.0.%d:8229", n))
		}
		for n := range size.organisations {
			r.Usage = append(r.Usage, scheduler.Usage{Organisation: fmt.Sprintf("org-%04d", n), Used: 1e5, Level: 1e5})
		}
		for n := range size.endpoints {
			r.Loads = append(r.Loads, scheduler.EndpointLoad{Endpoint: fmt.Sprintf("i-%010d", n), Running: 3, Prefill: 4000})
		}
		b.Run(fmt.Sprintf("members=%d/organisations=%d", size.members, size.organisations), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				datagram, err := encode(r)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decode(datagram); err != nil {
					b.Fatal(err)
				}
				bytes = len(datagram)
			}
			b.ReportMetric(float64(bytes), "B/report")
		})
	}
}
