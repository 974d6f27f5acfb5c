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

// encode encodes a report as a datagram.
func encode(r scheduler.Report) ([]byte, error) {
	m := &gossippb.Report{
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Address:     r.Address,
		AgeMs:       uint64(r.Age.Milliseconds()),
		Leaving:     r.Leaving,
		Version:     r.Version,
		KeysVersion: r.KeysVersion,
		Members:     r.Members,
		Demand:      r.Demand,
		Known:       uint32(r.InstanceCount),
		Zone:        r.Zone,
		Partial:     r.Partial,

		WithoutLoads: r.WithoutLoads,
	}
	for _, u := range r.Usage {
		m.Usage = append(m.Usage, &gossippb.Usage{
			Organisation: u.Organisation, Used: uint64(u.Used), Level: int64(math.Floor(u.Level)),
		})
	}
	for _, l := range r.Levels {
		m.Levels = append(m.Levels, &gossippb.QuotaLevel{Organisation: l.Organisation, Level: int64(math.Floor(l.Level))})
	}
	for _, l := range r.Loads {
		m.Loads = append(m.Loads, &gossippb.EndpointLoad{Endpoint: l.Endpoint, Running: uint32(l.Running), Prefill: uint32(l.Prefill)})
	}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, encodeCrash(c))
	}
	for _, l := range r.Limits {
		m.Limits = append(m.Limits, encodeLimit(l))
	}
	for _, p := range r.Paths {
		m.Paths = append(m.Paths, &gossippb.ServicePaths{Service: p.Service, Reached: uint32(p.Reached)})
	}
	m.LeavingEndpoints = encodeIncarnations(r.LeavingEndpoints)
	m.EndQueries, m.Ended = encodeIncarnations(r.EndQueries), encodeIncarnations(r.Ended)
	for _, b := range r.Brittle {
		m.Brittle = append(m.Brittle, encodeBrittle(b))
	}
	for _, d := range r.Departures {
		m.Departures = append(m.Departures, &gossippb.Departure{Process: uint64(d.Process), Era: d.Era, Revision: d.Revision, Removed: d.Removed})
	}
	encodePermits(r, m)
	encodeOrigins(r, m)
	return proto.Marshal(m)
}

func encodeIncarnations(all []crash.Incarnation) []uint64 {
	var out []uint64
	for _, i := range all {
		out = append(out, uint64(i))
	}
	return out
}

func decodeIncarnations(all []uint64) []crash.Incarnation {
	var out []crash.Incarnation
	for _, i := range all {
		out = append(out, crash.Incarnation(i))
	}
	return out
}

func encodeCrash(c scheduler.Crash) *gossippb.Crash {
	m := &gossippb.Crash{Fingerprint: c.Cause.ID, Service: c.Cause.Service}
	if c.Acquitted {
		m.CompletedAgeMs = proto.Uint32(uint32(c.AcquittedAge.Milliseconds()))
	}
	for _, e := range c.Ends {
		m.Ends = append(m.Ends, &gossippb.CrashEnd{Endpoint: uint64(e.Endpoint), AgeMs: uint32(e.Age.Milliseconds())})
	}
	return m
}

func decodeCrash(m *gossippb.Crash) scheduler.Crash {
	c := scheduler.Crash{
		Cause: crash.Cause{Service: m.GetService(), ID: m.GetFingerprint()}, Acquitted: m.CompletedAgeMs != nil,
		AcquittedAge: time.Duration(m.GetCompletedAgeMs()) * time.Millisecond,
	}
	for _, e := range m.GetEnds() {
		c.Ends = append(c.Ends, scheduler.CrashEnd{Endpoint: crash.Incarnation(e.GetEndpoint()), Age: time.Duration(e.GetAgeMs()) * time.Millisecond})
	}
	return c
}

// decode decodes a datagram. It rejects a report without a sender and one whose
// demand is not a finite, non-negative number.
func decode(datagram []byte) (scheduler.Report, error) {
	m := new(gossippb.Report)
	if err := proto.Unmarshal(datagram, m); err != nil {
		return scheduler.Report{}, errors.Wrap(err, "gossip: datagram")
	}
	if m.GetIncarnation() == 0 || m.GetAddress() == "" {
		return scheduler.Report{}, errors.New("gossip: report has no sender")
	}
	if demand := m.GetDemand(); math.IsNaN(demand) || math.IsInf(demand, 0) || demand < 0 {
		return scheduler.Report{}, errors.Newf("gossip: demand of %v", demand)
	}
	r := scheduler.Report{
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		Address:       m.GetAddress(),
		Age:           time.Duration(m.GetAgeMs()) * time.Millisecond,
		Leaving:       m.GetLeaving(),
		Version:       m.GetVersion(),
		KeysVersion:   m.GetKeysVersion(),
		Members:       m.GetMembers(),
		Demand:        m.GetDemand(),
		InstanceCount: int(m.GetKnown()),
		Zone:          m.GetZone(),
		Partial:       m.GetPartial(),

		WithoutLoads: m.GetWithoutLoads(),
	}
	for _, u := range m.GetUsage() {
		r.Usage = append(r.Usage, scheduler.Usage{Organisation: u.GetOrganisation(), Used: float64(u.GetUsed()), Level: float64(u.GetLevel())})
	}
	for _, l := range m.GetLevels() {
		r.Levels = append(r.Levels, scheduler.QuotaLevel{Organisation: l.GetOrganisation(), Level: float64(l.GetLevel())})
	}
	for _, l := range m.GetLoads() {
		r.Loads = append(r.Loads, scheduler.EndpointLoad{Endpoint: l.GetEndpoint(), Running: int(l.GetRunning()), Prefill: int(l.GetPrefill())})
	}
	for _, c := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, decodeCrash(c))
	}
	for _, l := range m.GetLimits() {
		limit, err := decodeLimit(l)
		if err != nil {
			return scheduler.Report{}, err
		}
		r.Limits = append(r.Limits, limit)
	}
	for _, p := range m.GetPaths() {
		r.Paths = append(r.Paths, scheduler.ServicePaths{Service: p.GetService(), Reached: int(p.GetReached())})
	}
	r.LeavingEndpoints = decodeIncarnations(m.GetLeavingEndpoints())
	r.EndQueries, r.Ended = decodeIncarnations(m.GetEndQueries()), decodeIncarnations(m.GetEnded())
	for _, b := range m.GetBrittle() {
		r.Brittle = append(r.Brittle, decodeBrittle(b))
	}
	for _, d := range m.GetDepartures() {
		r.Departures = append(r.Departures, scheduler.Departure{
			Process: crash.Incarnation(d.GetProcess()), Era: d.GetEra(), Revision: d.GetRevision(), Removed: d.GetRemoved(),
		})
	}
	decodePermits(m, &r)
	decodeOrigins(m, &r)
	return r, nil
}
