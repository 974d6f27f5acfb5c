package scheduler

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

const (
	peerAddr        = "10.0.0.9:1"
	peerIncarnation = 9
)

func namedLimit(perSecond float64) RateLimit { return RateLimit{Named: true, PerSecond: perSecond} }

// peer reports as another instance of the zone.
type peer struct {
	i        *instance
	sequence uint64
}

func (p *peer) report(change func(*Report)) {
	p.sequence++
	r := Report{Incarnation: peerIncarnation, Sequence: p.sequence, Address: peerAddr, Zone: "a", Age: time.Minute, InstanceCount: 2}
	if change != nil {
		change(&r)
	}
	p.i.step(PeerReported{Report: r})
}

func (p *peer) partial(change func(*Report)) {
	p.report(func(r *Report) {
		r.Partial = true
		change(r)
	})
}

// advance advances the clock while the peer keeps reporting.
func (p *peer) advance(d time.Duration) {
	for end := p.i.now.Add(d); p.i.now < end; {
		p.i.advance(min(reportInterval, end.Sub(p.i.now)))
		p.report(nil)
	}
}

func (p *peer) state(e *endpoint, limit RateLimit, age time.Duration) {
	p.partial(func(r *Report) {
		r.Limits = []LimitStatement{{Endpoint: e.incarnation(), Limit: limit, SentAge: age, ReceivedAge: age}}
	})
}

// newLimitedPair returns an instance with a peer and two endpoints, the limits
// of which are owned by the peer and by the instance.
func newLimitedPair(t *testing.T) (i *instance, p *peer, peers, own *endpoint) {
	i = newInstance(t, testConfig())
	i.configure(testConfiguration())
	i.applyChanges(engines(8, 4)...)
	p = &peer{i: i}
	p.report(nil)
	p.advance(startupPeriod + time.Second)
	var keep []directory.Change
	for n := range 8 {
		c := engine(n, 4)
		e := i.s.endpoints[c.EndpointID]
		switch owner := i.s.permitOwner(e); {
		case owner == peerAddr && peers == nil:
			peers, keep = e, append(keep, c)
		case owner == selfAddr && own == nil:
			own, keep = e, append(keep, c)
		}
	}
	must.NotNil(t, peers)
	must.NotNil(t, own)
	i.applySnapshot(append(keep, directory.Change{Config: new(testConfiguration())})...)
	must.MapLen(t, 2, i.s.endpoints)
	i.reports = nil
	return i, p, peers, own
}

// asks returns the asks sent to the peer since the last call.
func (i *instance) asks() []PermitAsk {
	var out []PermitAsk
	for _, r := range i.reports {
		out = append(out, r.Report.Asks...)
	}
	i.reports = nil
	return out
}

// grants returns the grants sent to the peer since the last call.
func (i *instance) grants() int {
	n := 0
	for _, r := range i.reports {
		for _, g := range r.Report.Grants {
			n += g.Permits
		}
	}
	i.reports = nil
	return n
}

func (p *peer) grant(e *endpoint, ask PermitAsk, number uint64, permits int) {
	p.partial(func(r *Report) {
		r.Grants = []PermitGrant{{Endpoint: e.incarnation(), Ask: ask.Number, Number: number, Permits: permits}}
	})
}

func (p *peer) ask(e *endpoint, number uint64, wanted int, urgency uint32) {
	p.partial(func(r *Report) {
		r.Asks = []PermitAsk{{Endpoint: e.incarnation(), Number: number, Wanted: wanted, Urgency: urgency}}
	})
}

func (i *instance) sentTo(e *endpoint) int {
	n := 0
	for _, d := range i.dispatched {
		if d.Endpoint.ID == e.ID {
			n++
		}
	}
	return n
}

// queueRequests submits requests until some wait for the peer's endpoint, and
// returns the last ask.
func (i *instance) queueRequests(n int) PermitAsk {
	i.t.Helper()
	for range n {
		i.arrive(route("r", 0), nil)
	}
	asks := i.asks()
	must.SliceNotEmpty(i.t, asks)
	return asks[len(asks)-1]
}

// Guards against a limit that is lifted or raised by an answer that is older, or
// may be older, than the one that named it.
func TestNewestStatementCountsAndLowerOneInDoubt(t *testing.T) {
	believed := statement{RateLimit: namedLimit(2), sent: 100, received: 200}
	for name, c := range map[string]struct {
		n    statement
		want bool
	}{
		"sent after":                 {statement{sent: 200, received: 300}, true},
		"received before":            {statement{sent: 10, received: 100}, false},
		"lifted, order unknown":      {statement{sent: 150, received: 300}, false},
		"raised, order unknown":      {statement{RateLimit: namedLimit(3), sent: 150, received: 300}, false},
		"lowered, order unknown":     {statement{RateLimit: namedLimit(1), sent: 50, received: 300}, true},
		"lowered, received before":   {statement{RateLimit: namedLimit(1), sent: 10, received: 90}, false},
		"raised, sent after":         {statement{RateLimit: namedLimit(3), sent: 250, received: 300}, true},
		"equal, order unknown":       {statement{RateLimit: namedLimit(2), sent: 150, received: 300}, false},
		"lowered to none, in doubt":  {statement{RateLimit: namedLimit(0), sent: 150, received: 160}, true},
		"lifted during the same one": {statement{sent: 120, received: 180}, false},
	} {
		must.Eq(t, c.want, believed.supersededBy(c.n), must.Sprint(name))
	}
}

// Guards against an instance that keeps to a limit only once it has itself
// received an answer that names it.
func TestReportedLimitIsKept(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	ask := i.queueRequests(8)
	must.Zero(t, i.sentTo(limited))
	p.grant(limited, ask, 1, 1)
	must.Eq(t, 1, i.sentTo(limited))
}

// Guards against a limit that outlives its end because instances confirm it to
// each other.
func TestReportDoesNotRenewLimit(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	must.True(t, limited.limited())
	p.advance(time.Second)
	received := limited.limit.received
	p.state(limited, namedLimit(1), 0)
	must.Eq(t, received, limited.limit.received)
	p.state(limited, RateLimit{}, 500*time.Millisecond)
	must.False(t, limited.limited())
	p.state(limited, namedLimit(1), 900*time.Millisecond)
	must.False(t, limited.limited())
	must.Zero(t, len(i.asks()))
}

// Guards against a permit that is used after a pause or a delay of its datagram,
// when the owner has already issued the next ones.
func TestLatePermitIsNotUsed(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	ask := i.queueRequests(8)
	i.now = i.now.Add(permitLifetime)
	p.grant(limited, ask, 1, 1)
	must.Zero(t, i.sentTo(limited))
}

// Guards against a holder that forgets how long its ask was queued at the owner:
// a permit for an old ask is as fresh as any.
func TestPermitForQueuedAskIsUsed(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	ask := i.queueRequests(8)
	i.now = i.now.Add(200 * time.Millisecond)
	p.partial(func(r *Report) {
		r.Grants = []PermitGrant{{Endpoint: limited.incarnation(), Ask: ask.Number, Number: 1, Permits: 1, Queued: 200 * time.Millisecond}}
	})
	must.Eq(t, 1, i.sentTo(limited))
}

// Guards against a permit that is used twice because its datagram arrives twice.
func TestRepeatedGrantCountsOnce(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	ask := i.queueRequests(12)
	for range 3 {
		p.grant(limited, ask, 7, 1)
	}
	must.Eq(t, 1, i.sentTo(limited))
}

// Guards against a permit that is lost to all because its holder has no request
// for it.
func TestUnusedPermitIsReturned(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	first := i.arrive(route("r", 0), nil)
	i.end(first, Attempt{Outcome: Completed})
	i.advance(TickInterval)
	asks := i.asks()
	must.SliceNotEmpty(t, asks)
	p.grant(limited, asks[len(asks)-1], 1, 1)
	must.Zero(t, i.sentTo(limited))
	p.advance(permitLifetime + 2*TickInterval)
	returned := 0
	for _, a := range i.asks() {
		returned += a.Returned
	}
	must.Eq(t, 1, returned)
}

// Guards against an ask that takes permits from others although its requests
// have been sent elsewhere.
func TestAskIsWithdrawnWhenNothingWaits(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	var ids []RequestID
	for range 8 {
		ids = append(ids, i.arrive(route("r", 0), nil))
	}
	asks := i.asks()
	must.SliceNotEmpty(t, asks)
	must.Less(t, notUrgent-16, asks[len(asks)-1].Urgency)
	for _, id := range ids {
		if i.running(id) {
			i.end(id, Attempt{Outcome: Completed})
		}
	}
	p.advance(2 * TickInterval)
	asks = i.asks()
	must.SliceNotEmpty(t, asks)
	must.GreaterEq(t, notUrgent-16, asks[len(asks)-1].Urgency)
	p.advance(idleTime + 2*reportInterval)
	asks = i.asks()
	must.SliceNotEmpty(t, asks)
	must.Zero(t, asks[len(asks)-1].Wanted)
}

// Guards against an owner that issues more than the limit, or much less.
func TestOwnerIssuesPermitsWithinTheLimit(t *testing.T) {
	i, p, _, own := newLimitedPair(t)
	p.state(own, namedLimit(2), 0)
	granted := 0
	for n := range 40 {
		p.ask(own, uint64(n+1), 100, 5)
		p.advance(100 * time.Millisecond)
		granted += i.grants()
	}
	must.Between(t, 7, granted, 8)
}

// Guards against two owners that issue permits at the same time: an instance
// that takes over does not know what the previous owner has issued.
func TestNewOwnerIssuesNothingAtFirst(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	p.report(func(r *Report) { r.Leaving = true })
	i.advance(TickInterval)
	must.Eq(t, selfAddr, limited.limit.owner)
	for range 8 {
		i.arrive(route("r", 0), nil)
	}
	i.advance(takeoverDelay)
	for range 8 {
		i.arrive(route("r", 0), nil)
	}
	must.Zero(t, i.sentTo(limited))
	i.advance(takeoverDelay)
	i.arrive(route("r", 0), nil)
	i.advance(200 * time.Millisecond)
	must.Eq(t, 1, i.sentTo(limited))
}

// Guards against an instance that leaves, still serves its open connections, and
// becomes the owner of every limit because nobody reports to it any more.
func TestLeavingInstanceIsNoOwner(t *testing.T) {
	i, p, limited, own := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	p.state(own, namedLimit(1), 0)
	must.Eq(t, selfAddr, own.limit.owner)
	i.step(StopRequested{})
	i.advance(3 * time.Second)
	must.Eq(t, peerAddr, own.limit.owner)
	must.Eq(t, peerAddr, limited.limit.owner)
}

// Guards against an instance that joins and sends as if there were no limits.
func TestJoiningInstanceLearnsOfLimits(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	i.reports = nil
	i.step(PeerReported{Report: Report{Incarnation: 77, Sequence: 1, Address: "10.0.0.7:1", Zone: "a"}})
	// The notice, and a complete report, since it knows nobody.
	must.Len(t, 2, i.reports)
	must.Eq(t, []string{"10.0.0.7:1"}, i.reports[0].To)
	must.Eq(t, limited.incarnation(), i.reports[0].Report.Limits[0].Endpoint)
	must.Eq(t, []string{"10.0.0.7:1"}, i.reports[1].To)
	must.False(t, i.reports[1].Report.Partial)
	i.reports = nil
	i.step(PeerReported{Report: Report{Incarnation: 78, Sequence: 1, Address: "10.0.0.8:1", Zone: "a", Members: []string{selfAddr}}})
	must.Len(t, 1, i.reports)
	must.Eq(t, limited.incarnation(), i.reports[0].Report.Limits[0].Endpoint)
}

// Guards against partitions that each use the whole limit.
func TestPartitionsShareLimit(t *testing.T) {
	i, _, _, _ := newLimitedPair(t)
	must.Eq(t, 1, i.s.permitShare())
	i.advance(2 * time.Second)
	must.Eq(t, permitPartitionBonus/2, i.s.permitShare())
}

// Guards against an owner that issues the whole limit while it reaches only some of
// the instances.
func TestOwnerIssuesItsPartWhileOthersAreUnreachable(t *testing.T) {
	i, p, _, own := newLimitedPair(t)
	p.state(own, namedLimit(10), 0)
	i.advance(2 * time.Second)
	sent := 0
	for range 40 {
		for range 3 {
			i.arrive(route("r", 0), nil)
		}
		i.advance(100 * time.Millisecond)
		for id, d := range i.dispatched {
			if d.Endpoint.ID == own.ID {
				sent++
			}
			i.end(id, Attempt{Outcome: Completed})
		}
	}
	must.Between(t, 15, sent, 26)
}

// Guards against a stopped instance that serves its open connections for seconds
// and knows of no limit: nobody reports to a member that has left.
func TestLeavingInstanceLearnsOfLimits(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	i.reports = nil
	i.step(PeerReported{Report: Report{Incarnation: 77, Sequence: 1, Address: "10.0.0.7:1", Zone: "a", Leaving: true}})
	must.Len(t, 1, i.reports)
	must.Eq(t, []string{"10.0.0.7:1"}, i.reports[0].To)
	must.Len(t, 1, i.reports[0].Report.Limits)
}

// Guards against a limit that is forgotten because the endpoint's entry was
// missing for a moment, and against one that outlives the process.
func TestLimitBelongsToProcess(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	entry := directory.Change{EndpointID: limited.ID, Endpoint: new(limited.Endpoint)}
	i.applyChanges(directory.Change{EndpointID: limited.ID})
	must.MapLen(t, 1, i.s.endpoints)
	i.applyChanges(entry)
	must.True(t, i.s.endpoints[limited.ID].limited())
	entry.Endpoint.Started++
	i.applyChanges(entry)
	must.False(t, i.s.endpoints[limited.ID].limited())
	must.False(t, crash.IncarnationOf(limited.ID, entry.Endpoint.Started) == limited.incarnation())
}

// Guards against instances that send on to an endpoint for as long as reports
// take: an observed limit is sent to all within a tick, and repeated in reports.
func TestObservedLimitIsSentToAllAndRepeated(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	var id RequestID
	for id = i.arrive(route("r", 0), nil); i.dispatched[id].Endpoint.ID != limited.ID; {
		id = i.arrive(route("r", 0), nil)
	}
	i.reports = nil
	i.step(AnswerReceived{ID: id, Limit: namedLimit(1.4)})
	i.advance(TickInterval)
	notified := false
	for _, r := range i.reports {
		notified = notified || r.Report.Partial && len(r.Report.Limits) == 1 && r.Report.Limits[0].Limit == namedLimit(1.4)
	}
	must.True(t, notified)
	i.reports = nil
	p.advance(2 * reportInterval)
	repeated := false
	for _, r := range i.reports {
		repeated = repeated || !r.Report.Partial && len(r.Report.Limits) == 1
	}
	must.True(t, repeated)
}

// Guards against an instance whose requests are all less urgent and that never
// gets a permit.
func TestLessUrgentAskIsServedNowAndThen(t *testing.T) {
	issuer := permitIssuer{asks: []*openAsk{
		{from: "a", PermitAsk: PermitAsk{Wanted: 1000, Urgency: 1}},
		{from: "b", PermitAsk: PermitAsk{Wanted: 1000, Urgency: 2}},
	}}
	got := map[string]int{}
	for n := range 3 * (oldestAskInterval + 2) {
		a := issuer.nextAsk()
		a.waitingSince = Instant(n + 1)
		got[a.from]++
	}
	must.Eq(t, 3, got["b"])
}

// Guards against all instances that send their queued requests to an endpoint at
// the moment at which its limit is lifted.
func TestEndpointStartsSlowlyOnceLimitIsLifted(t *testing.T) {
	i, p, limited, _ := newLimitedPair(t)
	p.state(limited, namedLimit(1), 0)
	for range 12 {
		i.arrive(route("r", 0), nil)
	}
	limited.window = limited.slots + endpointQueueDepth
	p.state(limited, RateLimit{}, -time.Millisecond)
	must.False(t, limited.limited())
	i.advance(TickInterval)
	must.Eq(t, ceilDiv(limited.slots+endpointQueueDepth, 2), i.sentTo(limited))
}

// Guards against a limit that is lifted by an answer that was delayed while later
// ones named the limit.
func TestLaterAnswersConfirmLimit(t *testing.T) {
	i, _, limited, _ := newLimitedPair(t)
	var sent []RequestID
	for len(sent) < 3 {
		id := i.arrive(route("r", 0), nil)
		if i.dispatched[id].Endpoint.ID == limited.ID {
			sent = append(sent, id)
		}
		i.now = i.now.Add(time.Millisecond)
	}
	i.step(AnswerReceived{ID: sent[0], Limit: namedLimit(1)})
	i.s.requests[sent[1]].dispatched = i.now
	i.now = i.now.Add(time.Millisecond)
	i.s.requests[sent[2]].dispatched = i.now
	i.now = i.now.Add(time.Millisecond)
	i.step(AnswerReceived{ID: sent[2], Limit: namedLimit(1)})
	i.step(AnswerReceived{ID: sent[1]})
	must.True(t, limited.limited())
}

// Guards against two instances that issue permits for one limit: only the owner
// answers asks.
func TestAsksToOthersThanTheOwnerAreIgnored(t *testing.T) {
	i, p, limited, own := newLimitedPair(t)
	p.state(limited, namedLimit(10), 0)
	p.state(own, namedLimit(10), 0)
	p.advance(time.Second)
	i.reports = nil
	p.ask(limited, 1, 5, 5)
	p.advance(200 * time.Millisecond)
	must.Zero(t, i.grants())
	p.ask(own, 1, 5, 5)
	must.Positive(t, i.grants())
}

// Guards against a request that is refused although the next permit of its service
// is due before its caller has lost patience.
func TestRequestWaitsForTheNextPermit(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.advance(TickInterval)
	first := i.arrive(route("r", 0), nil)
	must.True(t, i.running(first))
	i.step(AnswerReceived{ID: first, Limit: namedLimit(1)})
	second := i.arrive(route("r", 0), nil)
	must.False(t, i.running(second))
	i.advance(maxQueueTime(route("r", 0).Target) + 600*time.Millisecond)
	must.MapNotContainsKey(t, i.refused, second)
	i.advance(time.Second)
	must.True(t, i.running(second))
}

// Guards against refused callers that return before the endpoints can take their
// requests: the pause follows from the limits.
func TestRetryAfterFollowsFromLimits(t *testing.T) {
	i := newServingInstance(t, 1, 4)
	i.advance(TickInterval)
	first := i.arrive(route("r", 0), nil)
	i.step(AnswerReceived{ID: first, Limit: namedLimit(0.5)})
	patient := func(q *Request) { q.CallerDeadline = i.now.Add(time.Minute) }
	waiting := i.arrive(route("r", 0), patient)
	refused := i.refusal(i.arrive(route("r", 1), patient))
	must.Eq(t, LimitReached, refused.Reason)
	must.True(t, refused.NotRun)
	must.Between(t, 4*time.Second, refused.RetryAfter, 4*time.Second+retryAfterJitter)
	i.advance(4 * time.Second)
	must.Eq(t, LimitReached, i.refusal(waiting).Reason)
	must.Between(t, 2*time.Second, i.refusal(waiting).RetryAfter, 2*time.Second+retryAfterJitter)
}
