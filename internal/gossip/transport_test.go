package gossip

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

func testReport() scheduler.Report {
	return scheduler.Report{
		Incarnation: 7, Sequence: 3, Address: "127.0.0.1:9", Age: 1500 * time.Millisecond, Leaving: true, Version: 12, Demand: 1.5, InstanceCount: 6, Zone: "z", Partial: true, WithoutLoads: true,
		Members: []string{"127.0.0.1:8"},
		Usage:   []scheduler.Usage{{Organisation: "org", Used: 12, Level: -3}},
		Loads:   []scheduler.EndpointLoad{{Endpoint: "e", Running: 4, Prefill: 900}},
		Crashes: []scheduler.Crash{
			{Cause: crash.RequestCause(99), Ends: []scheduler.CrashEnd{{Endpoint: 5, Age: 20 * time.Millisecond}, {Endpoint: 6, Age: 0}}},
			{Cause: crash.PartCause("s", 98), Acquitted: true, AcquittedAge: 0},
			{Cause: crash.RequestCause(97), Acquitted: true, AcquittedAge: 3 * time.Second, Ends: []scheduler.CrashEnd{{Endpoint: 7, Age: time.Second}}},
		},
		Limits: []scheduler.LimitStatement{
			{Endpoint: 8, Limit: scheduler.RateLimit{Named: true, PerSecond: 1.4}, SentAge: 30 * time.Millisecond, ReceivedAge: 20 * time.Millisecond},
			{Endpoint: 9, Limit: scheduler.RateLimit{Named: true}},
			{Endpoint: 10, SentAge: time.Second},
		},
		Asks: []scheduler.PermitAsk{{Endpoint: 8, Number: 4, Wanted: 3, Returned: 1, Urgency: 70000}},
		Origins: []scheduler.StreamOrigin{
			{Attempt: 11, Software: 12, Dispatch: 2, Remaining: 1500 * time.Millisecond}, {Attempt: 13},
		},
		OriginQueries: []scheduler.OriginQuery{{Attempt: 14, Run: 18, Services: []string{"s", "t"}, Memory: 30 * time.Second}},
		OriginAnswers: []scheduler.OriginAnswer{{Attempt: 15, Recorded: true, Software: 16}, {Attempt: 17, Alone: true, Covered: true}},
		Brittle: []scheduler.BrittleStatement{
			{Service: "s", Brittleness: scheduler.Brittleness{Named: true, Rejections: 3}, SentAge: 30 * time.Millisecond, ReceivedAge: 20 * time.Millisecond, Room: 2, RoomAge: time.Second},
			{Service: "t", Brittleness: scheduler.Brittleness{Named: true}}, {Service: "u", SentAge: time.Second},
		},
		LeavingEndpoints: []crash.Incarnation{21},
		Departures:       []scheduler.Departure{{Process: 22, Era: 3, Revision: 240, Removed: true}, {Process: 23, Revision: 241}},
		FurtherSoftware:  []scheduler.ServiceSoftware{{Service: "s", Software: 24}, {Service: "t", Software: 25}},
		Levels:           []scheduler.QuotaLevel{{Organisation: "o", Level: 12}, {Organisation: "p", Level: -7}},
		EndQueries:       []crash.Incarnation{18},
		Ended:            []crash.Incarnation{19, 20},
		Paths:            []scheduler.ServicePaths{{Service: "s", Reached: 3}},
		Grants:           []scheduler.PermitGrant{{Endpoint: 8, Ask: 4, Number: 17, Permits: 2, Queued: 40 * time.Millisecond}},
	}
}

func TestReportRoundTrip(t *testing.T) {
	datagram, err := encode(testReport())
	must.NoError(t, err)
	got, err := decode(datagram)
	must.NoError(t, err)
	must.Eq(t, testReport(), got)
}

func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	for _, bad := range []string{"", "\xff\xff\xff", "not a report"} {
		_, err := decode([]byte(bad))
		must.Error(t, err)
	}
}

// Guards against a datagram that takes the process down or stops traffic to an
// endpoint with a limit or a number of permits that no instance sends.
func TestDecodeBoundsLimitsAndPermits(t *testing.T) {
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		r := testReport()
		r.Limits[0].Limit.PerSecond = rate
		datagram, err := encode(r)
		must.NoError(t, err)
		_, err = decode(datagram)
		must.Error(t, err)
	}
	r := testReport()
	r.Asks[0].Wanted, r.Asks[0].Returned, r.Grants[0].Permits = 1<<30, 1<<30, 1<<30
	datagram, err := encode(r)
	must.NoError(t, err)
	got, err := decode(datagram)
	must.NoError(t, err)
	must.Eq(t, maxPermits, got.Asks[0].Wanted)
	must.Eq(t, maxPermits, got.Asks[0].Returned)
	must.Eq(t, maxPermits, got.Grants[0].Permits)
}

func TestReportIsReceivedAfterInvalidDatagram(t *testing.T) {
	got := make(chan scheduler.Report, 1)
	receiver := New(Config{Address: "127.0.0.1:0", Received: func(r scheduler.Report) { got <- r }, Log: logline.Discard()})
	must.NoError(t, receiver.Listen())
	address := receiver.conn.Load().LocalAddr().String()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- receiver.Serve(ctx) }()

	stray, err := net.Dial("udp4", address)
	must.NoError(t, err)
	defer stray.Close()
	_, err = stray.Write([]byte("stray"))
	must.NoError(t, err)

	sender := New(Config{Address: "127.0.0.1:0", Log: logline.Discard()})
	must.NoError(t, sender.Listen())
	sender.Send([]string{"not an address", address}, testReport())
	must.Eq(t, testReport(), <-got)
	must.Eq(t, 1, receiver.badDatagrams.Load())
	must.Eq(t, 1, sender.sendFailures.Load())
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
}

func TestListenRejectsHostNames(t *testing.T) {
	must.Error(t, New(Config{Address: "localhost:1", Log: logline.Discard()}).Listen())
}
