package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
)

// benchFile returns a declared file with the given number of engines, with two
// slots each, and one service.
func benchFile(engines int) *declared.File {
	var b strings.Builder
	for i := range engines {
		fmt.Fprintf(&b, "[[endpoint]]\nname = \"e%d\"\nclass = \"fast\"\navailability_zone = \"a\"\naddress = \"10.0.%d.%d:80\"\nmodels = [\"chat\"]\nslots = 2\n", i, i/200, i%200+1)
	}
	b.WriteString("[[endpoint]]\nname = \"b0\"\nclass = \"booking\"\navailability_zone = \"a\"\naddress = \"10.9.1.1:80\"\nmodels = [\"bookings\"]\nslots = 2\n")
	f, err := declared.Parse([]byte(fmt.Sprintf(zoneFile, 1, b.String(), 1, 2)))
	if err != nil {
		panic(err)
	}
	return f
}

// loadedState returns a state with every engine slot in use and the given number
// of waiting requests, and the running requests.
func loadedState(engines, waiting int) (*State, []RequestID) {
	s := New(Config{Incarnation: 1, Instance: "i0", AvailabilityZone: "a"}, 1)
	s.Step(1, FileOffered{File: benchFile(engines)})
	s.Step(1, InstancesListed{Instances: []Instance{{Name: "i0", AvailabilityZone: "a"}}})
	s.Step(2, Tick{})
	for i := range engines {
		s.Step(2, EndpointReported{Endpoint: fmt.Sprintf("e%d", i), Report: EndpointReport{Started: 1}})
	}
	var running []RequestID
	for i := range 2*engines + waiting {
		for _, e := range s.Step(3, RequestArrived{Request: benchRequest(i), Waiter: Waiter(i + 1)}) {
			if c, ok := e.(Connect); ok {
				running = append(running, c.Request)
			}
		}
	}
	for _, id := range running {
		s.Step(3, ConnectDone{Request: id, Endpoint: s.requests[id].endpoint, OK: true})
	}
	return s, running
}

func benchRequest(i int) Request {
	return Request{
		Organisation: "big", Tier: []string{"gold", "silver", "bronze"}[i%3], Pool: "chat", Idempotent: true,
		PromptTokens: 100 + i%1000, OutputTokens: 50, Prefix: uint64(i%200 + 1), Fingerprint: uint64(i + 1), Deadline: 24 * time.Hour,
	}
}

// BenchmarkDecision measures the events of one request with every slot in use: a
// run ends, its slot is granted to the next request, a new request arrives. An
// iteration has four events; it reports ns/event.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 100} {
		for _, waiting := range []int{50, 500, 5000} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				s, running := loadedState(engines, waiting)
				events := 0
				next := 1_000_000
				b.ResetTimer()
				for b.Loop() {
					id := running[0]
					running = running[1:]
					granted := RequestID(0)
					for _, e := range s.Step(4, DispatchDone{Request: id, Result: Result{PromptTokens: 100, OutputTokens: 50, Elapsed: time.Second}}) {
						if c, ok := e.(Connect); ok {
							granted = c.Request
						}
					}
					s.Step(4, ConnectDone{Request: granted, Endpoint: s.requests[granted].endpoint, OK: true})
					s.Step(4, FirstByte{Request: granted})
					running = append(running, granted)
					next++
					s.Step(4, RequestArrived{Request: benchRequest(next), Waiter: Waiter(next)})
					events += 4
					if len(s.records) > MaxRecords/2 {
						clear(s.records)
						s.recordsByAge = nil
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
			})
		}
	}
}

// BenchmarkTick measures a Tick with the given number of waiting requests.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s, _ := loadedState(100, waiting)
			b.ResetTimer()
			for b.Loop() {
				s.Step(4, Tick{})
			}
		})
	}
}
