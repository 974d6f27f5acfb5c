package reducer

import (
	"fmt"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// zone runs several states over a simulated network with delays and records the
// dispatches. It checks the invariants after each step and keeps the first
// violation.
type zone struct {
	now             Instant
	members         []*member
	inFlight        []delivery
	dispatches      map[dispatchKey]int
	refusals        map[Waiter]refusal.Reason
	answered        map[Waiter]bool
	submitted       map[Waiter]*submission
	finished        map[Waiter]bool
	lastWaiter      Waiter
	lastIncarnation Incarnation
	file            *declared.File
	partitions      map[[2]Incarnation]bool
	unreachable     map[string]bool
	// leaving holds the time since which an endpoint reports that it is leaving.
	leaving map[string]Instant
	// crashFingerprints holds the fingerprints that crash an endpoint;
	// crashCount is the number of crashes.
	crashFingerprints map[uint64]bool
	crashCount        int
	restarts          map[string]uint64
	violation         string
	trace             []string
	spent             int64
	events            map[string]int
	guards            Guards
	random            uint64
	meanRunTime       time.Duration
}

type member struct {
	zone        *zone
	state       *State
	incarnation Incarnation
	name        string
	alive       bool
	paused      bool
	ready       bool
	stopping    bool
	stopped     bool
	newestFile  *declared.File
	inbox       []func()
	running     map[RequestID]string
	refused     map[RequestID]refusal.Reason
	// decliners holds the owners that declined a request, closers the members
	// that closed tiers of a pool.
	decliners      map[RequestID]decision
	closers        map[string]decision
	tickets        []Ticket
	ticketRequests map[RequestID]Request
}

// decision records which member decided on a refusal and which peers it regarded
// as dead then. A peer that resumes while the decision is in flight is no longer
// consulted.
type decision struct {
	by        *member
	deadPeers map[Incarnation]bool
}

type dispatchKey struct {
	inc Incarnation
	id  RequestID
}

type submission struct {
	member *member
	req    Request
	at     Instant
}

type delivery struct {
	at  Instant
	to  *member
	run func()
}

const zoneFile = `revision = %d
currency = "EUR"
[[tier]]
name = "gold"
rank = 1
deadline_ms = 8000
[[tier]]
name = "silver"
rank = 2
deadline_ms = 8000
[[tier]]
name = "bronze"
rank = 3
deadline_ms = 8000
[[class]]
name = "fast"
kind = "engine"
prefill_tokens_per_second = 10000
decode_tokens_per_second = 800
prefill_micros_per_mtok = 1000000
cached_micros_per_mtok = 100000
generated_micros_per_mtok = 4000000
[[class]]
name = "booking"
kind = "service"
calls_per_second = 40
call_micros = 100
%s
[[route]]
name = "book"
method = "POST"
path = "/bookings"
pool = "bookings"
idempotent = false
tier = "gold"
[[organisation]]
name = "big"
key_sha256 = ["%064x"]
default_tier = "gold"
[organisation.tiers]
gold = 60
silver = 60
bronze = 60
[[organisation]]
name = "small"
key_sha256 = ["%064x"]
default_tier = "silver"
spend_micros_per_month = 2592000000
[organisation.tiers]
gold = 20
silver = 20
bronze = 20
`

// leavingGrace is how long work may still reach an endpoint after it reported
// that it is leaving: the report may not have been read, and a grant may be in
// flight.
const leavingGrace = GrantLease + ReportTimeout

const pollInterval = time.Second

func (m *member) currentDecision() decision {
	d := decision{by: m, deadPeers: map[Incarnation]bool{}}
	for _, p := range m.state.peerOrder {
		d.deadPeers[p.id] = p.health == dead
	}
	return d
}

func parseZoneFile(revision, engines int) *declared.File {
	var b strings.Builder
	for i := range engines {
		fmt.Fprintf(&b, "[[endpoint]]\nname = \"e%d\"\nclass = \"fast\"\navailability_zone = \"a\"\naddress = \"10.0.0.%d:80\"\nmodels = [\"chat\"]\nslots = 2\n", i, i+1)
	}
	b.WriteString("[[endpoint]]\nname = \"b0\"\nclass = \"booking\"\navailability_zone = \"a\"\naddress = \"10.0.1.1:80\"\nmodels = [\"bookings\"]\nslots = 2\n")
	f, err := declared.Parse([]byte(fmt.Sprintf(zoneFile, revision, b.String(), 1, 2)))
	if err != nil {
		panic(err)
	}
	return f
}

func newZone(members, engines int, guards Guards) *zone {
	z := &zone{
		now: 1, dispatches: map[dispatchKey]int{}, refusals: map[Waiter]refusal.Reason{}, answered: map[Waiter]bool{},
		submitted: map[Waiter]*submission{}, finished: map[Waiter]bool{}, partitions: map[[2]Incarnation]bool{},
		unreachable: map[string]bool{}, leaving: map[string]Instant{}, crashFingerprints: map[uint64]bool{}, restarts: map[string]uint64{}, events: map[string]int{}, guards: guards, file: parseZoneFile(1, engines),
		meanRunTime: 400 * time.Millisecond,
	}
	for i := range members {
		z.start(fmt.Sprintf("i%d", i))
	}
	return z
}

func (z *zone) rand(n int) int {
	z.random = mix(z.random + 1)
	return int(z.random % uint64(n))
}

func (z *zone) start(name string) *member {
	z.lastIncarnation++
	m := &member{
		zone: z, incarnation: Incarnation(mix(uint64(z.lastIncarnation))), name: name, alive: true,
		running: map[RequestID]string{}, refused: map[RequestID]refusal.Reason{}, decliners: map[RequestID]decision{}, closers: map[string]decision{}, ticketRequests: map[RequestID]Request{},
	}
	m.state = New(Config{Incarnation: m.incarnation, Instance: name, AvailabilityZone: "a", Guards: z.guards}, z.now)
	z.members = append(z.members, m)
	m.step(FileOffered{File: z.file})
	z.publishInstances()
	return m
}

func (z *zone) publishInstances() {
	var list []Instance
	for _, m := range z.members {
		if m.alive {
			list = append(list, Instance{Name: m.name, AvailabilityZone: "a", PeerAddress: m.name})
		}
	}
	for _, m := range z.members {
		if m.alive {
			m.post(InstancesListed{Instances: list})
		}
	}
}

// post applies an event, or queues it while the member is paused.
func (m *member) post(ev Event) {
	if m.paused {
		m.inbox = append(m.inbox, func() { m.step(ev) })
		return
	}
	m.step(ev)
}

func (m *member) step(ev Event) {
	if !m.alive {
		return
	}
	m.zone.events[fmt.Sprintf("%T", ev)]++
	effects := append([]Effect(nil), m.state.Step(m.zone.now, ev)...)
	for _, e := range effects {
		m.applyEffect(e)
	}
	m.zone.checkFile(m)
}

func (m *member) applyEffect(e Effect) {
	z := m.zone
	switch e := e.(type) {
	case Send:
		z.send(m, e.To, e.Frame)
	case ConnectPeer:
		z.connect(m, e.Instance.Name)
	case ReadyChanged:
		z.note("%s ready: %v", m.name, e.Ready)
		m.ready = e.Ready
	case Logged:
		if e.Event != "file_adopted" {
			z.note("%s: %s %v", m.name, e.Event, e.Fields)
		}
	case Refuse:
		m.recordRefusal(e)
	case Admitted:
	case JoinAnswer:
	case Connect:
		ok := !z.unreachable[e.Endpoint]
		z.after(m, time.Duration(1+z.rand(4))*time.Millisecond, ConnectDone{Request: e.Request, Endpoint: e.Endpoint, OK: ok})
	case Dispatch:
		m.dispatch(e)
	case Counted:
		if e.Counter == CounterSpend {
			z.spent += e.Delta
		}
	case StopComplete:
		m.stopped, m.alive = true, false
		if len(m.running) > 0 {
			z.fail("graceful shutdown interrupted %d running requests", len(m.running))
		}
	}
}

func (m *member) dispatch(e Dispatch) {
	z := m.zone
	write := func() {
		if !m.alive {
			return
		}
		if z.now >= e.NotAfter && !z.guards.NoLeaseCheck {
			m.step(DispatchDone{Request: e.Request, Result: Result{Ended: EndedLeaseExpired}})
			return
		}
		if z.now >= e.NotAfter {
			z.fail("%s: request %d used a slot whose lease had expired", m.name, e.Request)
		}
		if z.leaving[e.Endpoint] != 0 && z.now.Sub(z.leaving[e.Endpoint]) > leavingGrace {
			z.fail("%s: request %d was dispatched to %s, which is leaving", m.name, e.Request, e.Endpoint)
		}
		key := dispatchKey{m.incarnation, e.Request}
		z.dispatches[key]++
		if z.dispatches[key] > 1 {
			z.fail("%s: request %d dispatched %d times", m.name, e.Request, z.dispatches[key])
		}
		if r := m.refused[e.Request]; r != "" {
			z.fail("%s: request %d dispatched after it was refused %q", m.name, e.Request, r)
		}
		m.running[e.Request] = e.Endpoint
		z.checkSlots(e.Endpoint)
		m.scheduleFinish(e)
	}
	if m.paused {
		m.inbox = append(m.inbox, write)
		return
	}
	write()
}

func (m *member) scheduleFinish(e Dispatch) {
	z := m.zone
	elapsed := z.meanRunTime/2 + time.Duration(z.rand(int(z.meanRunTime)))
	z.inFlight = append(z.inFlight, delivery{at: z.now.Add(elapsed), to: m, run: func() {
		if m.running[e.Request] == "" {
			return
		}
		delete(m.running, e.Request)
		if r := m.state.requests[e.Request]; r != nil && z.crashFingerprints[r.req.Fingerprint] {
			z.crash(e.Endpoint)
			m.step(DispatchDone{Request: e.Request, Result: Result{Ended: EndedBroken, Elapsed: elapsed}})
			return
		}
		res := Result{Ended: EndedComplete, PromptTokens: 100, OutputTokens: 50, Elapsed: elapsed}
		if r := m.state.requests[e.Request]; r != nil {
			for _, w := range r.waiters {
				z.answered[w], z.finished[w] = true, true
			}
		}
		m.step(DispatchDone{Request: e.Request, Result: res})
	}})
}

// poll delivers every endpoint's report to every member.
func (z *zone) poll() {
	for _, m := range z.live() {
		for _, e := range []string{"e0", "e1", "e2"} {
			m.post(EndpointReported{Endpoint: e, Report: EndpointReport{Started: z.restarts[e] + 1, Leaving: z.isLeaving(e)}})
		}
	}
}

func (z *zone) submit(m *member, q Request) Waiter {
	z.lastWaiter++
	w := z.lastWaiter
	z.submitted[w] = &submission{member: m, req: q, at: z.now}
	m.post(RequestArrived{Request: q, Waiter: w})
	return w
}
