package reducer

import (
	"fmt"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// zone drives several states over a network with delays and records what ran.
// It checks every promise after each step and keeps the first violation.
type zone struct {
	now       Instant
	members   []*member
	net       []delivery
	ran       map[wireRun]int
	verdicts  map[Waiter]refusal.Reason
	answered  map[Waiter]bool
	submitted map[Waiter]*submission
	finished  map[Waiter]bool
	waiter    Waiter
	inc       Incarnation
	file      *declared.File
	cut       map[[2]Incarnation]bool
	down      map[string]bool
	// leaving holds since when an endpoint has reported that it leaves.
	leaving map[string]Instant
	// crashes are the fingerprints that crash an endpoint, and crashed counts
	// how often that happened.
	crashes   map[uint64]bool
	crashed   int
	started   map[string]uint64
	violation string
	trace     []string
	spent     int64
	events    map[string]int
	guards    Guards
	random    uint64
	service   time.Duration
}

type member struct {
	zone     *zone
	state    *State
	inc      Incarnation
	name     string
	alive    bool
	paused   bool
	ready    bool
	stopping bool
	stopped  bool
	highest  *declared.File
	inbox    []func()
	running  map[RequestID]string
	refused  map[RequestID]refusal.Reason
	// deciders are the owners that declined a request, raisers those that
	// closed tiers of a pool.
	deciders  map[RequestID]decision
	raisers   map[string]decision
	tickets   []Ticket
	ticketFor map[RequestID]Request
}

// decision is who decided on a refusal, and whom it believed dead then: a
// peer that wakes while the decision is on its way is not asked any more.
type decision struct {
	by       *member
	excluded map[Incarnation]bool
}

type wireRun struct {
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

// leavingBound is how long after an endpoint's report work may still go there:
// a report not yet read, and a grant on its way.
const leavingBound = GrantLease + ReportWait

const pollInterval = time.Second

func (m *member) decide() decision {
	d := decision{by: m, excluded: map[Incarnation]bool{}}
	for _, p := range m.state.peerOrder {
		d.excluded[p.id] = p.health == dead
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
		now: 1, ran: map[wireRun]int{}, verdicts: map[Waiter]refusal.Reason{}, answered: map[Waiter]bool{},
		submitted: map[Waiter]*submission{}, finished: map[Waiter]bool{}, cut: map[[2]Incarnation]bool{},
		down: map[string]bool{}, leaving: map[string]Instant{}, crashes: map[uint64]bool{}, started: map[string]uint64{}, events: map[string]int{}, guards: guards, file: parseZoneFile(1, engines),
		service: 400 * time.Millisecond,
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
	z.inc++
	m := &member{
		zone: z, inc: Incarnation(mix(uint64(z.inc))), name: name, alive: true,
		running: map[RequestID]string{}, refused: map[RequestID]refusal.Reason{}, deciders: map[RequestID]decision{}, raisers: map[string]decision{}, ticketFor: map[RequestID]Request{},
	}
	m.state = New(Config{Incarnation: m.inc, Instance: name, AvailabilityZone: "a", Guards: z.guards}, z.now)
	z.members = append(z.members, m)
	m.step(FileOffered{File: z.file})
	z.publishList()
	return m
}

func (z *zone) publishList() {
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

// post hands over an event, later if the member is paused.
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
		m.carry(e)
	}
	m.zone.checkFile(m)
}

func (m *member) carry(e Effect) {
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
		m.refusedWaiter(e)
	case Admitted:
	case Join:
	case Connect:
		ok := !z.down[e.Endpoint]
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
			z.fail("graceful shutdown cut %d running requests", len(m.running))
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
			m.step(DispatchDone{Request: e.Request, Result: Result{Ended: EndedWithheld}})
			return
		}
		if z.now >= e.NotAfter {
			z.fail("%s: request %d used a slot whose lease had run out", m.name, e.Request)
		}
		if z.leaving[e.Endpoint] != 0 && z.now.Sub(z.leaving[e.Endpoint]) > leavingBound {
			z.fail("%s: request %d went to %s, which is leaving", m.name, e.Request, e.Endpoint)
		}
		key := wireRun{m.inc, e.Request}
		z.ran[key]++
		if z.ran[key] > 1 {
			z.fail("%s: request %d dispatched %d times", m.name, e.Request, z.ran[key])
		}
		if r := m.refused[e.Request]; r != "" {
			z.fail("%s: request %d dispatched after it was refused %q", m.name, e.Request, r)
		}
		m.running[e.Request] = e.Endpoint
		z.checkSlots(e.Endpoint)
		m.finishLater(e)
	}
	if m.paused {
		m.inbox = append(m.inbox, write)
		return
	}
	write()
}

func (m *member) finishLater(e Dispatch) {
	z := m.zone
	took := z.service/2 + time.Duration(z.rand(int(z.service)))
	z.net = append(z.net, delivery{at: z.now.Add(took), to: m, run: func() {
		if m.running[e.Request] == "" {
			return
		}
		delete(m.running, e.Request)
		if r := m.state.requests[e.Request]; r != nil && z.crashes[r.req.Fingerprint] {
			z.crash(e.Endpoint)
			m.step(DispatchDone{Request: e.Request, Result: Result{Ended: EndedBroken, Elapsed: took}})
			return
		}
		res := Result{Ended: EndedWhole, PromptTokens: 100, OutputTokens: 50, Elapsed: took}
		if r := m.state.requests[e.Request]; r != nil {
			for _, w := range r.waiters {
				z.answered[w], z.finished[w] = true, true
			}
		}
		m.step(DispatchDone{Request: e.Request, Result: res})
	}})
}

// poll lets every member read every endpoint's report.
func (z *zone) poll() {
	for _, m := range z.live() {
		for _, e := range []string{"e0", "e1", "e2"} {
			m.post(EndpointReported{Endpoint: e, Report: EndpointReport{Started: z.started[e] + 1, Leaving: z.leavingNow(e)}})
		}
	}
}

func (z *zone) submit(m *member, q Request) Waiter {
	z.waiter++
	w := z.waiter
	z.submitted[w] = &submission{member: m, req: q, at: z.now}
	m.post(RequestArrived{Request: q, Waiter: w})
	return w
}
