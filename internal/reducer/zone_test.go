package reducer

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"google.golang.org/protobuf/proto"
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

func (m *member) decide() decision {
	d := decision{by: m, excluded: map[Incarnation]bool{}}
	for _, p := range m.state.peerOrder {
		d.excluded[p.id] = p.health == dead
	}
	return d
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

// note keeps the last things that matter for reading a violation.
func (z *zone) note(format string, args ...any) {
	z.trace = append(z.trace, fmt.Sprintf("%8.3fs ", time.Duration(z.now).Seconds())+fmt.Sprintf(format, args...))
	if len(z.trace) > 60 {
		z.trace = z.trace[1:]
	}
}

func (z *zone) fail(format string, args ...any) {
	if z.violation == "" {
		z.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(z.trace, "\n")
	}
}

func (m *member) refusedWaiter(e Refuse) {
	z := m.zone
	reason := e.Refused.Reason
	z.verdicts[e.Waiter] = reason
	z.finished[e.Waiter] = true
	if reason == refusal.TicketNeeded {
		m.tickets = append(m.tickets, e.Refused.Ticket)
	}
	kind, _ := refusal.Lookup(reason)
	if e.Request != 0 && kind.NotRun {
		m.refused[e.Request] = reason
		if z.ran[wireRun{m.inc, e.Request}] > 0 {
			z.fail("%s: request %d ran and was refused %q as not run", m.name, e.Request, reason)
		}
	}
	if sub := z.submitted[e.Waiter]; sub != nil {
		z.checkShed(m, sub, reason, e.Request)
	}
}

// checkShed holds a refusal for lack of capacity against what waits lower
// down at every member that this one can reach.
//
// What is promised is the order among instances that the deciding one does not
// believe dead: the owner that declined, or the instance that closed the tier.
func (z *zone) checkShed(m *member, sub *submission, reason refusal.Reason, id RequestID) {
	if reason != refusal.Shed && reason != refusal.TierClosed && reason != refusal.DeadlineUnmet {
		return
	}
	rank := m.state.rank(sub.req.Tier)
	decided := m.decide()
	if d := m.deciders[id]; d.by != nil {
		decided = d
	} else if d := m.raisers[sub.req.Pool]; d.by != nil && reason == refusal.TierClosed {
		decided = d
	}
	decider := decided.by
	for _, o := range z.members {
		if !o.alive || o.paused || z.isCut(decider, o) || decided.excluded[o.inc] {
			continue
		}
		for _, r := range o.state.requests {
			if r.req.Pool == sub.req.Pool && r.rank > rank && r.waiting() && r.phase == asking {
				z.fail("%s: tier of rank %d refused %q while rank %d waits at %s (%s)", m.name, rank, reason, r.rank, o.name, decider.believes(o))
			}
		}
	}
}

// believes says what m takes o for.
func (m *member) believes(o *member) string {
	p := m.state.peers[o.inc]
	switch {
	case m == o:
		return "itself"
	case p == nil:
		return "unknown"
	}
	return healthNames[p.health]
}

func (z *zone) isCut(a, b *member) bool {
	return z.cut[[2]Incarnation{a.inc, b.inc}] || z.cut[[2]Incarnation{b.inc, a.inc}]
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

// leavingBound is how long after an endpoint's report work may still go there:
// a report not yet read, and a grant on its way.
const leavingBound = GrantLease + ReportWait

const pollInterval = time.Second

// crash breaks every run of the endpoint and lets it report another start.
func (z *zone) crash(endpoint string) {
	z.crashed++
	for _, m := range z.members {
		for id, on := range m.running {
			if on != endpoint || !m.alive {
				continue
			}
			delete(m.running, id)
			z.after(m, time.Millisecond, DispatchDone{Request: id, Result: Result{Ended: EndedBroken, Elapsed: time.Millisecond}})
		}
	}
	z.started[endpoint]++
}

func (z *zone) leavingNow(endpoint string) bool { return z.leaving[endpoint] != 0 }

// leaveEndpoint lets an endpoint say to everybody that it leaves or stays.
func (z *zone) leaveEndpoint(endpoint string, leaving bool) {
	delete(z.leaving, endpoint)
	if leaving {
		z.leaving[endpoint] = z.now
	}
}

// poll lets every member read every endpoint's report.
func (z *zone) poll() {
	for _, m := range z.live() {
		for _, e := range []string{"e0", "e1", "e2"} {
			m.post(EndpointReported{Endpoint: e, Report: EndpointReport{Started: z.started[e] + 1, Leaving: z.leavingNow(e)}})
		}
	}
}

// checkSlots holds what runs on an endpoint against its slots: two owners for
// a moment may each grant all of them, never more.
func (z *zone) checkSlots(endpoint string) {
	running := 0
	for _, m := range z.members {
		for _, on := range m.running {
			if on == endpoint && m.alive {
				running++
			}
		}
	}
	limit := 2 * z.owners(endpoint)
	if running > limit {
		z.fail("%s runs %d requests, over the bound of %d", endpoint, running, limit)
	}
}

// owners counts the members that own the endpoint in their own view, and one
// for each view that has ended within a lease.
func (z *zone) owners(endpoint string) int {
	ids := map[Incarnation]bool{}
	for _, m := range z.members {
		if e := m.state.endpoints[endpoint]; e != nil && m.alive {
			ids[e.owner] = true
		}
	}
	return len(ids) + 1
}

func (z *zone) checkFile(m *member) {
	f := m.state.file
	if m.highest != nil && !f.Newer(m.highest) && f.Digest() != m.highest.Digest() {
		z.fail("%s: the file in force went back from revision %d to %d", m.name, m.highest.Revision, f.Revision)
	}
	m.highest = f
}

func (z *zone) member(inc Incarnation) *member {
	for _, m := range z.members {
		if m.inc == inc {
			return m
		}
	}
	return nil
}

func (z *zone) send(from *member, to Incarnation, f *peerpb.Frame) {
	dst := z.member(to)
	if dst == nil || !dst.alive || z.isCut(from, dst) {
		return
	}
	z.events["frame "+fmt.Sprintf("%T", f.GetBody())[len("*peerpb.Frame_"):]]++
	if reply := f.GetFileReply(); reply != nil {
		file := from.state.file
		z.deliver(dst, func() { dst.step(FileOffered{File: file, Source: "peer"}) })
		return
	}
	if d := f.GetDecline(); d != nil && refusal.Reason(d.GetReason()) != declineMoved {
		dst.deciders[RequestID(d.GetRequest())] = from.decide()
	}
	if c := f.GetTierClose(); c != nil {
		dst.raisers[c.GetPool()] = from.decide()
		z.note("%s closes rank %d of %s at %s, round %d", from.name, c.GetRank(), c.GetPool(), dst.name, c.GetRound())
	}
	for _, c := range f.GetHeartbeat().GetClosures() {
		// A joining member takes over what another has closed, with the
		// decision behind it.
		if d, ok := from.raisers[c.GetPool()]; ok && !dst.ready {
			dst.raisers[c.GetPool()] = d
		}
	}
	if c := f.GetTierCloseConfirm(); c != nil {
		z.note("%s confirms rank %d of %s to %s, round %d", from.name, c.GetRank(), c.GetPool(), dst.name, c.GetRound())
	}
	c := proto.Clone(f).(*peerpb.Frame)
	z.deliver(dst, func() { dst.step(PeerMessage{From: from.inc, Frame: c}) })
}

// deliver keeps the order of frames to one member, as a session does.
func (z *zone) deliver(to *member, run func()) {
	at := z.now.Add(time.Duration(1+z.rand(3)) * time.Millisecond)
	for _, d := range z.net {
		if d.to == to && d.at > at {
			at = d.at
		}
	}
	at = min(at, z.now.Add(10*time.Millisecond))
	z.net = append(z.net, delivery{at: at, to: to, run: run})
}

func (z *zone) after(m *member, d time.Duration, ev Event) {
	z.net = append(z.net, delivery{at: z.now.Add(d), to: m, run: func() { m.step(ev) }})
}

func (z *zone) connect(m *member, name string) {
	for _, o := range z.members {
		if o.name != name || !o.alive || o == m || o.paused || z.isCut(m, o) {
			continue
		}
		a, b := m, o
		z.deliver(a, func() { a.step(PeerUp{Peer: b.inc, Hello: &peerpb.Hello{Instance: b.name, AvailabilityZone: "a"}}) })
		z.deliver(b, func() { b.step(PeerUp{Peer: a.inc, Hello: &peerpb.Hello{Instance: a.name, AvailabilityZone: "a"}}) })
	}
}

// advance lets time pass in small steps, with everything due in between.
func (z *zone) advance(d time.Duration) {
	end := z.now.Add(d)
	for z.now < end && z.violation == "" {
		z.now = z.now.Add(5 * time.Millisecond)
		z.runDue()
		if int64(z.now)/int64(5*time.Millisecond)%int64(pollInterval/(5*time.Millisecond)) == 0 {
			z.poll()
		}
		if int64(z.now)/int64(5*time.Millisecond)%20 == 0 {
			for _, m := range z.members {
				if m.alive && !m.paused {
					m.step(Tick{})
				}
			}
		}
	}
}

func (z *zone) runDue() {
	for {
		due := z.net[:0:0]
		var rest []delivery
		for _, d := range z.net {
			if d.at <= z.now {
				due = append(due, d)
			} else {
				rest = append(rest, d)
			}
		}
		if len(due) == 0 {
			return
		}
		z.net = rest
		sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
		for _, d := range due {
			if d.to.paused {
				d.to.inbox = append(d.to.inbox, d.run)
			} else if d.to.alive {
				d.run()
			}
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

func (z *zone) kill(m *member) {
	z.note("%s killed", m.name)
	m.alive = false
	m.running = map[RequestID]string{}
	z.dropSessions(m)
}

func (z *zone) dropSessions(m *member) {
	for _, o := range z.members {
		if o != m && o.alive {
			o.post(PeerDown{Peer: m.inc})
		}
	}
}

func (z *zone) pause(m *member) {
	z.note("%s paused", m.name)
	m.paused = true
}

func (z *zone) resume(m *member) {
	z.note("%s resumed", m.name)
	m.paused = false
	inbox := m.inbox
	m.inbox = nil
	for _, run := range inbox {
		if m.alive {
			run()
		}
	}
}

func (z *zone) setCut(a, b *member, cut bool) {
	z.note("cut between %s and %s: %v", a.name, b.name, cut)
	z.cut[[2]Incarnation{a.inc, b.inc}] = cut
	if cut {
		a.post(PeerDown{Peer: b.inc})
		b.post(PeerDown{Peer: a.inc})
	}
}

func (z *zone) live() []*member {
	var all []*member
	for _, m := range z.members {
		if m.alive {
			all = append(all, m)
		}
	}
	return all
}

// settle heals everything and waits until nothing is left to do.
func (z *zone) settle() {
	for _, m := range z.members {
		if m.paused {
			z.resume(m)
		}
	}
	clear(z.cut)
	clear(z.down)
	clear(z.crashes)
	z.publishList()
	// The platform has the newest file, and one instance can read it.
	z.live()[0].post(FileOffered{File: z.file, Source: "platform"})
	z.advance(40 * time.Second)
}

// checkSettled holds the end state against what must be true once all faults
// are over.
func (z *zone) checkSettled() {
	for w, sub := range z.submitted {
		if sub.member.alive && !z.finished[w] {
			z.fail("waiter %d of %s never got an answer or a refusal", w, sub.member.name)
		}
	}
	for _, m := range z.live() {
		if !m.stopping && m.state.file.Digest() != z.file.Digest() {
			z.fail("%s ends with revision %d instead of %d", m.name, m.state.file.Revision, z.file.Revision)
		}
		for _, e := range m.state.endpointOrder {
			if e.owner == m.inc && len(e.grants) > 0 {
				z.fail("%s still holds %d grants of %s with nothing running", m.name, len(e.grants), e.name)
			}
		}
	}
}
