package gossip

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/gossip/gossippb"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// encodeOrigins adds what a report says about the origin of streams.
func encodeOrigins(r scheduler.Report, m *gossippb.Report) {
	for _, o := range r.Origins {
		m.Origins = append(m.Origins, &gossippb.StreamOrigin{
			Attempt: uint64(o.Attempt), Software: uint64(o.Software), Dispatch: uint32(o.Dispatch),
			RemainingMs: uint32(max(o.Remaining.Milliseconds(), 0)),
		})
	}
	for _, q := range r.OriginQueries {
		m.OriginQueries = append(m.OriginQueries, &gossippb.OriginQuery{
			Attempt: uint64(q.Attempt), Run: uint64(q.Run), Services: q.Services, MemoryMs: uint32(q.Memory.Milliseconds()),
		})
	}
	for _, a := range r.OriginAnswers {
		m.OriginAnswers = append(m.OriginAnswers, &gossippb.OriginAnswer{
			Attempt: uint64(a.Attempt), Recorded: a.Recorded, Software: uint64(a.Software), Alone: a.Alone, Covered: a.Covered,
		})
	}
	for _, x := range r.FurtherSoftware {
		m.FurtherSoftware = append(m.FurtherSoftware, &gossippb.ServiceSoftware{Service: x.Service, Software: uint64(x.Software)})
	}
}

// decodeOrigins adds what a datagram says about the origin of streams.
func decodeOrigins(m *gossippb.Report, r *scheduler.Report) {
	for _, o := range m.GetOrigins() {
		r.Origins = append(r.Origins, scheduler.StreamOrigin{
			Attempt: origin.Attempt(o.GetAttempt()), Software: origin.Software(o.GetSoftware()), Dispatch: int(o.GetDispatch()),
			Remaining: time.Duration(o.GetRemainingMs()) * time.Millisecond,
		})
	}
	for _, q := range m.GetOriginQueries() {
		r.OriginQueries = append(r.OriginQueries, scheduler.OriginQuery{
			Attempt: origin.Attempt(q.GetAttempt()), Run: origin.Attempt(q.GetRun()), Services: q.GetServices(), Memory: time.Duration(q.GetMemoryMs()) * time.Millisecond,
		})
	}
	for _, a := range m.GetOriginAnswers() {
		r.OriginAnswers = append(r.OriginAnswers, scheduler.OriginAnswer{
			Attempt: origin.Attempt(a.GetAttempt()), Recorded: a.GetRecorded(), Software: origin.Software(a.GetSoftware()),
			Alone: a.GetAlone(), Covered: a.GetCovered(),
		})
	}
	for _, x := range m.GetFurtherSoftware() {
		r.FurtherSoftware = append(r.FurtherSoftware, scheduler.ServiceSoftware{Service: x.GetService(), Software: origin.Software(x.GetSoftware())})
	}
}
