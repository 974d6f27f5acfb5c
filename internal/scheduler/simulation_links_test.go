package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/shoenig/test/must"
)

var flagLarge = flag.Bool("large", false, "simulate more cases of 84 instances, and 300 instances")

// linkMode is what becomes of an instance's connections to endpoints.
type linkMode int

const (
	linkWorks linkMode = iota
	// linkHangs drops all packets, linkResets refuses and resets all connections.
	linkHangs
	linkResets
	// linkRefuses refuses new connections, while open ones work: half of the dispatches
	// find one.
	linkRefuses
)

// simLinks is the part of a simulation in which instances lose their links to
// engines. A nil simLinks is a simulation in which they don't.
type simLinks struct {
	modes map[*simInstance]linkMode
	// lostZone limits the loss to the engines of a zone, if it is set.
	lostZone string
	// hungAt holds the engines at which a kept connection of an instance was already
	// found silent.
	hungAt map[string]bool
	tries  []*simTry
	byID   map[simRequest]*simTry
	// crashRecords counts the ends of endpoints that instances recorded.
	crashRecords int64
}

// simTry is a first try of a caller.
type simTry struct {
	at     Instant
	from   *simInstance
	mode   linkMode
	served bool
	reason Reason
}

const (
	simConnectTimeout = 400 * time.Millisecond
	simSilenceTimeout = 3 * time.Second
)

func newSimLinks() *simLinks {
	return &simLinks{modes: map[*simInstance]linkMode{}, hungAt: map[string]bool{}, byID: map[simRequest]*simTry{}}
}

// mode returns the mode of the link between an instance and an engine.
func (l *simLinks) mode(i *simInstance, zone string) linkMode {
	if l == nil || l.lostZone != "" && l.lostZone != zone {
		return linkWorks
	}
	return l.modes[i]
}

// open reports whether open connections between an instance and an engine work.
func (l *simLinks) open(i *simInstance, zone string) bool {
	m := l.mode(i, zone)
	return m == linkWorks || m == linkRefuses
}

// cut puts the links of an instance in a mode for a time. Requests in progress get
// no answer any more.
func (f *simulation) cut(i *simInstance, mode linkMode, d time.Duration) {
	if f.links.modes[i] != linkWorks {
		return
	}
	f.links.modes[i] = mode
	for _, e := range f.engines {
		for _, job := range append(e.running, e.waiting...) {
			if m := f.links.mode(i, e.zone); job.at == i && (m == linkHangs || m == linkResets) {
				f.links.lose(f, e, job)
			}
		}
	}
	f.after(d, func() { f.links.modes[i] = linkWorks })
}

// lose ends an attempt whose connection is cut while it runs.
func (l *simLinks) lose(f *simulation, e *simEngine, job simJob) {
	delay := simSilenceTimeout
	if l.mode(job.at, e.zone) == linkResets {
		delay = simDelay
	}
	f.after(delay, func() { f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Broken}}) })
}

// stopped reports whether a dispatch does not reach the engine, and ends it. The
// first one on a link that hangs uses a kept connection.
func (l *simLinks) stopped(f *simulation, e *simEngine, job simJob) bool {
	switch l.mode(job.at, e.zone) {
	case linkWorks:
		return false
	case linkRefuses:
		if f.rand.IntN(2) == 0 {
			return false
		}
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: NotSent, Refused: true}})
		return true
	case linkResets:
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: NotSent, Refused: true}})
		return true
	}
	key := fmt.Sprint(job.at.address, "/", e.id)
	if !l.hungAt[key] {
		l.hungAt[key] = true
		l.lose(f, e, job)
		return true
	}
	f.after(simConnectTimeout, func() { f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: NotSent}}) })
	return true
}

func (l *simLinks) arrived(f *simulation, i *simInstance, id RequestID) {
	if l == nil {
		return
	}
	t := &simTry{at: f.now, from: i, mode: l.modes[i]}
	l.tries = append(l.tries, t)
	l.byID[simRequest{i, id}] = t
}

func (l *simLinks) completed(i *simInstance, id RequestID) {
	if l == nil {
		return
	}
	if t := l.byID[simRequest{i, id}]; t != nil {
		t.served = true
	}
}

func (l *simLinks) refused(i *simInstance, e Refuse) {
	if l == nil {
		return
	}
	if t := l.byID[simRequest{i, e.ID}]; t != nil {
		t.reason = e.Reason
	}
}

func (l *simLinks) counted(e Counted) {
	if l != nil && e.Counter == CounterCrashes {
		l.crashRecords += e.Delta
	}
}

// served returns the first tries of a time at instances with or without links, and
// how many of them were served.
func (l *simLinks) served(from, to Instant, cut bool) (served, all int, reasons map[Reason]int) {
	return l.servedOf(from, to, func(t *simTry) bool { return (t.mode != linkWorks) == cut })
}

// servedAt returns the first tries of a time at some instances, and how many of them
// were served.
func (l *simLinks) servedAt(from, to Instant, at func(*simInstance) bool) (served, all int, reasons map[Reason]int) {
	return l.servedOf(from, to, func(t *simTry) bool { return at(t.from) })
}

func (l *simLinks) servedOf(from, to Instant, counts func(*simTry) bool) (served, all int, reasons map[Reason]int) {
	reasons = map[Reason]int{}
	for _, t := range l.tries {
		if t.at < from || t.at >= to || !counts(t) {
			continue
		}
		all++
		if t.served {
			served++
		} else {
			reasons[t.reason]++
		}
	}
	return served, all, reasons
}

// linkContact is the time after a cut from which callers of the instance must be
// served as those of others.
const linkContact = 3 * time.Second

// Guards against instances that serve nobody while they are partitioned from all
// endpoints although other instances reach them: some, most, or a whole zone of the
// instances lose their links, which hang or are reset.
func TestInstancesWithoutEndpointsServeThroughOthers(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}, {300, 360, 5}} {
		for _, c := range []struct {
			name string
			cut  func(n int) bool
		}{
			{"third", func(n int) bool { return n%3 == 0 }},
			{"most", func(n int) bool { return n%6 < 4 }},
			{"zone", func(n int) bool { return n%4 == 1 }},
		} {
			for mode, modeName := range map[linkMode]string{linkHangs: "hang", linkResets: "reset"} {
				if size.instances > 6 && !*flagLarge && (c.name == "third" || (mode == linkHangs) != (c.name == "zone")) {
					continue
				}
				if size.instances == 300 && (!*flagLarge || c.name != "zone") {
					continue
				}
				t.Run(fmt.Sprintf("%d_%s_%s", size.instances, c.name, modeName), func(t *testing.T) {
					t.Parallel()
					f := newSimulation(size.instances, 4, size.engines, size.slots)
					f.links = newSimLinks()
					f.crashes = newSimCrashes(noCrash)
					f.advance(3 * time.Second)
					load := 0.4 * float64(size.engines*size.slots) / simServiceTime.Seconds()
					f.runLoad(load, time.Second)
					begin := f.now
					for n, i := range f.instances {
						if c.cut(n) {
							f.cut(i, mode, 8*time.Second)
						}
					}
					f.runLoad(load, 7*time.Second)
					f.advance(2 * time.Second)
					from, to := begin.Add(linkContact), begin.Add(7*time.Second)
					lost, lostAll, reasons := f.links.served(from, to, true)
					others, othersAll, _ := f.links.served(from, to, false)
					t.Logf("without links %d of %d served (%v), others %d of %d; %d ends of endpoints recorded",
						lost, lostAll, reasons, others, othersAll, f.links.crashRecords)
					must.Positive(t, lostAll)
					must.GreaterEq(t, 49*lostAll/50, lost)
					must.GreaterEq(t, 49*othersAll/50, others)
					must.Eq(t, 0, f.links.crashRecords)
				})
			}
		}
	}
}

// Guards against a partitioned instance that takes the loss of its own links for the
// end of endpoints: what it concludes from that must not count against requests.
// Drawn schedules of cuts, kills and pauses without any end of an endpoint.
func TestLostLinksAreNoEndsOfEndpoints(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots, seeds int }{{6, 18, 10, 20}, {12, 18, 10, 10}, {84, 90, 6, 1}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.links = newSimLinks()
				f.crashes = newSimCrashes(noCrash)
				f.advance(3 * time.Second)
				f.injectCuts(600*time.Millisecond, 8*time.Second)
				load := 0.2 * float64(size.engines*size.slots) / simServiceTime.Seconds()
				f.runLoad(load, 10*time.Second)
				f.advance(8 * time.Second)
				end := f.now
				f.runLoad(load, 2*time.Second)
				f.advance(2 * time.Second)
				served, all, reasons := f.links.served(end, f.now, false)
				if seed < 2 || f.links.crashRecords > 0 || served < all {
					t.Logf("seed %d: %d ends of endpoints recorded, after the cuts %d of %d served (%v)", seed, f.links.crashRecords, served, all, reasons)
				}
				must.Eq(t, 0, f.links.crashRecords, must.Sprint(seed))
				must.GreaterEq(t, 49*all/50, served, must.Sprint(seed))
			}
		})
	}
}

// flap cuts the links of an instance again and again for d, each time for as long as
// they work before.
func (f *simulation) flap(i *simInstance, mode linkMode, period, d time.Duration) {
	if d <= 0 {
		return
	}
	f.cut(i, mode, period)
	f.after(2*period, func() { f.flap(i, mode, period, d-2*period) })
}

// Guards against links that come and go: a connection that was refused just before they
// work again is no end of its endpoint, and callers are served as elsewhere.
func TestFlappingLinksAreNoEndsOfEndpoints(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots, seeds int }{{7, 12, 10, 10}, {40, 48, 6, 3}} {
		for mode, modeName := range map[linkMode]string{linkHangs: "hang", linkResets: "reset"} {
			t.Run(fmt.Sprintf("%d_%s", size.instances, modeName), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(size.seeds) {
					f := newSimulation(size.instances, 1, size.engines, size.slots)
					f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
					f.links, f.crashes = newSimLinks(), newSimCrashes(noCrash)
					f.advance(3 * time.Second)
					load := 0.4 * float64(size.engines*size.slots) / simServiceTime.Seconds()
					f.runLoad(load, time.Second)
					begin := f.now
					for n, i := range f.instances {
						if n%5 < 2 {
							f.flap(i, mode, time.Second, 12*time.Second)
						}
					}
					f.runLoad(load, 12*time.Second)
					f.advance(2 * time.Second)
					flapping := func(i *simInstance) bool {
						for n, other := range f.instances {
							if other == i {
								return n%5 < 2
							}
						}
						return false
					}
					lost, lostAll, reasons := f.links.servedAt(begin.Add(linkContact), begin.Add(12*time.Second), flapping)
					others, othersAll, _ := f.links.servedAt(begin.Add(linkContact), begin.Add(12*time.Second), func(i *simInstance) bool { return !flapping(i) })
					t.Logf("seed %d: with links that come and go %d of %d served (%v), others %d of %d; %d ends of endpoints recorded",
						seed, lost, lostAll, reasons, others, othersAll, f.links.crashRecords)
					must.Eq(t, 0, f.links.crashRecords, must.Sprint(seed))
					must.GreaterEq(t, 49*lostAll/50-10, lost, must.Sprint(seed))
					must.GreaterEq(t, 49*othersAll/50-10, others, must.Sprint(seed))
				}
			})
		}
	}
}

// Guards against a request that crashes endpoints and goes on doing so because the
// instances that see them end have lost their own links, so that they can't tell:
// drawn schedules of cuts and pauses.
func TestCrashingRequestIsBoundedWhileLinksAreCut(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ instances, engines, slots, seeds int }{{6, 18, 10, 20}, {12, 18, 10, 10}, {84, 90, 6, 1}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(size.seeds) {
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, uint64(size.instances)))
				f.links, f.crashes = newSimLinks(), newSimCrashes(666)
				f.advance(3 * time.Second)
				f.injectCuts(700*time.Millisecond, 12*time.Second)
				f.repeatCrashingRequest(1+f.rand.IntN(2), 50*time.Millisecond+time.Duration(f.rand.Int64N(int64(1500*time.Millisecond))))
				f.runLoad(0.1*float64(size.engines*size.slots)/simServiceTime.Seconds(), 18*time.Second)
				late := f.crashes.sendsAfter(crashesAllowed, simContact)
				if seed < 2 || late > 0 {
					t.Logf("seed %d: %d engines ended, %d late sends", seed, len(f.crashes.crashedAt), late)
				}
				must.GreaterEq(t, crashesAllowed, len(f.crashes.crashedAt), must.Sprint(seed))
				must.LessEq(t, lateSendsAllowed, late, must.Sprint(seed))
			}
		})
	}
}

// injectCuts starts a cut about once an interval for d, and now and then pauses an
// instance. Cuts overlap.
func (f *simulation) injectCuts(interval, d time.Duration) {
	if d <= 0 {
		return
	}
	length := 300*time.Millisecond + time.Duration(f.rand.Int64N(int64(4*time.Second)))
	i := f.instances[f.rand.IntN(len(f.instances))]
	switch f.rand.IntN(7) {
	case 0:
		f.pause(i, length)
	case 1, 2:
		f.cut(i, linkHangs, length)
	case 3, 4:
		f.cut(i, linkRefuses, length)
	default:
		f.cut(i, linkResets, length)
	}
	next := interval/2 + time.Duration(f.rand.Int64N(int64(interval)))
	f.after(next, func() { f.injectCuts(interval, d-next) })
}

// forward sends a request to another instance. Nothing arrives at one that is down.
func (f *simulation) forward(i *simInstance, e Forward) {
	key := simRequest{i, e.ID}
	request, known := f.requests[key]
	peer := f.byAddress[e.Address]
	if !known || peer.down || peer.paused || peer.incarnation != e.Incarnation || !f.connected(i.zone, peer.zone) {
		f.after(simConnectTimeout, func() { f.step(i, ForwardEnded{ID: e.ID, Attempt: Attempt{Outcome: NotSent}}) })
		return
	}
	f.nextID++
	request.ID = f.nextID
	oneAttempt := *request.Route
	oneAttempt.MaxAttempts = 1
	request.Route, request.Forwarding = &oneAttempt, &e.Forwarding
	to := simRequest{peer, request.ID}
	f.forwards[to] = key
	if f.crashes != nil && request.Fingerprint == f.crashes.crashing {
		f.crashes.fingerprints[to] = request.Fingerprint
	}
	f.after(simDelay, func() { f.step(peer, Arrived{Request: request}) })
}

// endForward passes the end of a forwarded request on to its sender.
func (f *simulation) endForward(peer *simInstance, id RequestID, ended ForwardEnded) {
	key, forwarded := f.forwards[simRequest{peer, id}]
	if !forwarded {
		return
	}
	delete(f.forwards, simRequest{peer, id})
	ended.ID = key.id
	if ended.Attempt.Outcome == Completed {
		f.links.completed(key.at, key.id)
	}
	f.after(simDelay, func() { f.step(key.at, ended) })
}

// refusalAt returns what the sender of a forwarded request learns of its refusal.
func refusalAt(e Refuse) ForwardEnded {
	if e.NotRun {
		return ForwardEnded{Attempt: Attempt{Outcome: NotRun}, Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	return ForwardEnded{Attempt: Attempt{Outcome: Broken}, Endpoint: "unknown", Reason: e.Reason}
}

// probePath answers a probe of the path to an endpoint.
func (f *simulation) probePath(i *simInstance, e directory.Endpoint) {
	delay, result, incarnation := 2*simDelay, ProbeAccepted, i.incarnation
	switch mode := f.links.mode(i, e.Zone); {
	case mode == linkHangs, !f.connected(i.zone, e.Zone):
		delay, result = simConnectTimeout, ProbeUnknown
	case mode == linkResets, mode == linkRefuses, !f.listening(e.Address):
		result = ProbeRefused
	}
	f.after(delay, func() {
		if i.incarnation == incarnation {
			f.step(i, PathProbed{Endpoint: e, Result: result})
		}
	})
}
