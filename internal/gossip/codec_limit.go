package gossip

import (
	"math"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/gossip/gossippb"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// maxPermits limits the permits in one ask or grant, whatever the datagram says.
const maxPermits = 1024

// maxAge is the largest age that a datagram expresses.
const maxAge = math.MaxUint32 * time.Millisecond

// encodeAge returns an age in milliseconds, rounded up.
func encodeAge(d time.Duration) uint32 {
	return uint32((min(max(d, 0), maxAge-time.Millisecond) + time.Millisecond - 1).Milliseconds())
}

func decodeAge(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeLimit(l scheduler.LimitStatement) *gossippb.Limit {
	m := &gossippb.Limit{Endpoint: uint64(l.Endpoint), SentAgeMs: encodeAge(l.SentAge), ReceivedAgeMs: encodeAge(l.ReceivedAge)}
	if l.Limit.Named {
		m.PerSecond = proto.Float64(l.Limit.PerSecond)
	}
	return m
}

// decodeLimit rejects a limit that is no rate.
func decodeLimit(m *gossippb.Limit) (scheduler.LimitStatement, error) {
	l := scheduler.LimitStatement{
		Endpoint: crash.Incarnation(m.GetEndpoint()), SentAge: decodeAge(m.GetSentAgeMs()), ReceivedAge: decodeAge(m.GetReceivedAgeMs()),
	}
	if m.PerSecond == nil {
		return l, nil
	}
	rate := m.GetPerSecond()
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return l, errors.Newf("gossip: limit of %v requests per second", rate)
	}
	l.Limit = scheduler.RateLimit{Named: true, PerSecond: rate}
	return l, nil
}

func encodePermits(r scheduler.Report, m *gossippb.Report) {
	for _, a := range r.Asks {
		m.Asks = append(m.Asks, &gossippb.PermitAsk{Endpoint: uint64(a.Endpoint), Number: a.Number,
			Wanted: uint32(a.Wanted), Returned: uint32(a.Returned), Urgency: a.Urgency})
	}
	for _, g := range r.Grants {
		// Rounded down, so that the permits are not valid for longer.
		m.Grants = append(m.Grants, &gossippb.PermitGrant{Endpoint: uint64(g.Endpoint), Ask: g.Ask, Number: g.Number,
			Permits: uint32(g.Permits), QueuedMs: uint32(g.Queued.Milliseconds())})
	}
}

func decodePermits(m *gossippb.Report, r *scheduler.Report) {
	for _, a := range m.GetAsks() {
		r.Asks = append(r.Asks, scheduler.PermitAsk{Endpoint: crash.Incarnation(a.GetEndpoint()), Number: a.GetNumber(),
			Wanted: permitCount(a.GetWanted()), Returned: permitCount(a.GetReturned()), Urgency: a.GetUrgency()})
	}
	for _, g := range m.GetGrants() {
		r.Grants = append(r.Grants, scheduler.PermitGrant{Endpoint: crash.Incarnation(g.GetEndpoint()), Ask: g.GetAsk(), Number: g.GetNumber(),
			Permits: permitCount(g.GetPermits()), Queued: decodeAge(g.GetQueuedMs())})
	}
}

func permitCount(n uint32) int { return int(min(n, maxPermits)) }

// maxCount limits the numbers in statements about brittle endpoints, whatever the
// datagram says.
const maxCount = 1 << 20

func encodeBrittle(b scheduler.BrittleStatement) *gossippb.Brittle {
	m := &gossippb.Brittle{Service: b.Service, SentAgeMs: encodeAge(b.SentAge), ReceivedAgeMs: encodeAge(b.ReceivedAge)}
	if b.Brittleness.Named {
		m.Rejections = proto.Uint32(uint32(b.Brittleness.Rejections))
	}
	if b.Room > 0 {
		m.Room, m.RoomAgeMs = uint32(b.Room), encodeAge(b.RoomAge)
	}
	return m
}

func decodeBrittle(m *gossippb.Brittle) scheduler.BrittleStatement {
	b := scheduler.BrittleStatement{
		Service: m.GetService(), SentAge: decodeAge(m.GetSentAgeMs()), ReceivedAge: decodeAge(m.GetReceivedAgeMs()),
		Room: int(min(m.GetRoom(), maxCount)), RoomAge: decodeAge(m.GetRoomAgeMs()),
	}
	if m.Rejections != nil {
		b.Brittleness = scheduler.Brittleness{Named: true, Rejections: int(min(m.GetRejections(), maxCount))}
	}
	return b
}
