package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// BenchmarkReportReceived measures the cost of receiving a report by the number
// of members, with sixteen organisations and five endpoints in use.
func BenchmarkReportReceived(b *testing.B) {
	for _, members := range []int{6, 84, 360} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			now := Instant(time.Hour)
			s := New(testConfig(), now)
			config := routing.Config{Version: 1, Organisations: simOrganisations()}
			s.Step(now, DirectoryRead{Update: directory.Update{ReadAt: int64(now), Full: true, Batch: directory.Batch{
				Changes: append([]directory.Change{{Config: &config}}, engines(90, 6)...), Revision: 1}}})
			r := Report{Zone: "a"}
			for _, o := range config.Organisations {
				r.Usage = append(r.Usage, Usage{Organisation: o.Name})
			}
			for n := range 5 {
				r.Loads = append(r.Loads, EndpointLoad{Endpoint: fmt.Sprintf("e%d", n), Running: 1})
			}
			for n := 0; b.Loop(); n++ {
				k := n % members
				r.Incarnation, r.Sequence = uint64(k+2), uint64(n/members+1)
				r.Address = fmt.Sprintf("10.2.%d.%d:1", k/250, k%250)
				s.Step(now, PeerReported{Report: r})
			}
		})
	}
}

// BenchmarkIdleSecond measures what one second without requests costs one instance, by the
// numbers of instances and of endpoints: ticks, and the reports of the others.
func BenchmarkIdleSecond(b *testing.B) {
	for _, n := range []struct{ instances, endpoints int }{{6, 18}, {30, 30}, {84, 84}, {195, 84}, {300, 140}} {
		b.Run(fmt.Sprintf("instances=%d/endpoints=%d", n.instances, n.endpoints), func(b *testing.B) {
			f := newSimulation(n.instances, 3, n.endpoints, 8)
			f.advance(15 * time.Second)
			for b.Loop() {
				f.advance(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n.instances), "us/instance-s")
		})
	}
}
