package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// simulation is a complete system in one process and in simulated time:
// instances that exchange reports, and engines that run a fixed number of
// requests and queue the others in order of arrival.
type simulation struct {
	now       Instant
	rand      *rand.Rand
	instances []*simInstance
	byAddress map[string]*simInstance
	seeds     []string
	engines   map[string]*simEngine
	events    simEvents
	sequence  int
	nextID    RequestID
	// engineWaits are the times that dispatched requests waited at an engine.
	engineWaits []time.Duration
	refused     int
	dispatches  int
	crossZone   int
	// serviceTime is the mean time for which a request holds a slot.
	serviceTime time.Duration
	// crashes is the part of the simulation in which requests crash engines.
	crashes *simCrashes
	// limits is the part in which engines name rate limits.
	limits *simLimits
	// parts is the part in which requests have prompts with shared parts.
	parts *simParts
	// streams is the part in which streams are resumed and taken up again.
	streams *simStreams
	// brittle is the part in which engines are brittle.
	brittle *simBrittle
	// rests is the part in which engines ask for rests or leave.
	rests *simRests
	// requests are those of runLoad, forwards holds the senders of forwarded requests.
	requests map[simRequest]Request
	forwards map[simRequest]simRequest
	// links is the part in which instances lose their links to engines.
	links *simLinks
	// quota is the part in which an organisation exceeds its quota.
	quota *simQuota
	// zones is the part in which the zones' loads differ.
	zones *simZones
	// configVersion is the version of the configuration in force if it is not the first.
	configVersion int64
	// load is the part in which requests of several kinds contend and engines are slowed.
	load *simLoad
}

type simInstance struct {
	s           *State
	address     string
	zone        string
	incarnation uint64
	// down is set while the process does not run. While it is paused, its events
	// are held.
	down, paused bool
	held         []Event
}

type simEngine struct {
	id      string
	zone    string
	address string
	started int64
	slots   int
	// version is that of the process, which its entry may lag behind.
	version string
	// leaving is set once the engine is about to leave.
	leaving bool
	// unlisted is set once its entry was removed while it serves on.
	unlisted bool
	// down is set once the engine has ended.
	down    bool
	running []simJob
	waiting []simJob
}

// simJob is a request at an engine, sent by one incarnation of an instance.
type simJob struct {
	at          *simInstance
	incarnation uint64
	id          RequestID
	sent        Instant
	// limited is set if the answer's head must be reported.
	limited bool
}

type simEvent struct {
	at       Instant
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	// simDelay is the transit time of a report or a request.
	simDelay = time.Millisecond
	// simServiceTime is the mean service time of a model engine.
	simServiceTime = 500 * time.Millisecond
	// simFirstOutput is the time until the first output of a model engine.
	simFirstOutput = 200 * time.Millisecond
)

// newSimulation returns instances that discover each other through three seeds.
func newSimulation(instances, zones, engines, slots int) *simulation {
	return newVersionedSimulation(instances, zones, engines, slots, "")
}

// newVersionedSimulation returns a simulation in which engines run the versions in
// turn.
func newVersionedSimulation(instances, zones, engines, slots int, versions ...string) *simulation {
	f := &simulation{
		now: Instant(time.Hour), rand: rand.New(rand.NewPCG(1, 2)), byAddress: map[string]*simInstance{},
		serviceTime: simServiceTime, engines: map[string]*simEngine{}, requests: map[simRequest]Request{}, forwards: map[simRequest]simRequest{},
	}
	var entries []directory.Change
	for n := range engines {
		c := engine(n, slots)
		c.Endpoint.Zone = fmt.Sprint(n % zones)
		c.Endpoint.Address = fmt.Sprintf("10.1.%d.%d:1", n/250, n%250)
		c.Endpoint.Version = versions[n%len(versions)]
		entries = append(entries, c)
		f.engines[c.EndpointID] = &simEngine{id: c.EndpointID, zone: c.Endpoint.Zone, address: c.Endpoint.Address, started: c.Endpoint.Started, slots: slots, version: c.Endpoint.Version}
	}
	var seeds []string
	for n := range instances {
		address := fmt.Sprintf("10.2.%d.%d:1", n/250, n%250)
		if n < 3 {
			seeds = append(seeds, address)
		}
		f.instances = append(f.instances, &simInstance{address: address, zone: fmt.Sprint(n % zones)})
	}
	f.seeds = seeds
	for n, i := range f.instances {
		f.byAddress[i.address] = i
		f.start(i, uint64(n+1), entries)
		f.after(time.Duration(f.rand.Int64N(int64(TickInterval))), func() { f.tick(i) })
	}
	return f
}

// start starts an incarnation of an instance, which then reads the directory.
func (f *simulation) start(i *simInstance, incarnation uint64, entries []directory.Change) {
	cfg := testConfig()
	cfg.Address, cfg.Zone, cfg.Seeds = i.address, i.zone, f.seeds
	cfg.Incarnation, cfg.RandomSeed = incarnation, incarnation
	firstStart := i.s == nil
	i.s = New(cfg, f.now)
	if firstStart {
		defer f.step(i, HistoryRead{Complete: true})
	}
	i.incarnation, i.down, i.held = incarnation, false, nil
	c := routing.Config{Version: 1, Organisations: f.quota.organisations()}
	f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Full: true, Batch: directory.Batch{
		Changes: append([]directory.Change{{Config: &c}}, entries...), Revision: 1}}})
}

func simOrganisations() []routing.Organisation {
	var out []routing.Organisation
	for n := range 16 {
		out = append(out, routing.Organisation{Name: fmt.Sprintf("org%d", n),
			Quota: routing.Quota{RatePerSecond: 1e9, Burst: 1e9, InTokens: true, DefaultTokens: 200}})
	}
	return out
}

func (f *simulation) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, simEvent{f.now.Add(d), f.sequence, run})
}

func (f *simulation) tick(i *simInstance) {
	if !i.paused {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now.Add(-f.streams.listingLag()))}})
		f.step(i, Tick{})
	}
	f.after(TickInterval, func() { f.tick(i) })
}

// advance runs the events of the next d.
func (f *simulation) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *simulation) step(i *simInstance, ev Event) {
	switch {
	case i.down:
		return
	case i.paused:
		i.held = append(i.held, ev)
		return
	}
	for _, e := range i.s.Step(f.now, ev) {
		switch e := e.(type) {
		case SendReport:
			for _, to := range e.To {
				if other := f.byAddress[to]; other != nil && f.connected(i.zone, other.zone) && !f.limits.lost(f) && !f.zones.lost(f, i, other) {
					f.after(simDelay, func() { f.step(other, PeerReported{Report: e.Report}) })
				}
			}
		case Dispatch:
			f.dispatches++
			if e.Endpoint.Zone != i.zone {
				f.crossZone++
			}
			job := simJob{i, i.incarnation, e.ID, f.now, e.Limited}
			f.crashes.dispatched(f, job)
			f.parts.dispatched(f, job)
			f.quota.dispatched(f, job)
			f.zones.dispatched(job, e.Endpoint.Zone)
			f.after(simDelay, func() { f.arriveAtEngine(f.engines[e.Endpoint.ID], job) })
		case Refuse:
			f.refused++
			f.load.refused(f, i, e)
			f.crashes.refused(e.Reason)
			f.limits.refused(f, i, e)
			f.zones.refused()
			f.endForward(i, e.ID, refusalAt(e))
			f.parts.refused(i, e)
			f.links.refused(i, e)
			f.streams.refused(f, i, e)
			f.crashes.finished(i, e.ID)
		case Forward:
			f.forward(i, e)
		case ProbePath:
			f.probePath(i, e.Endpoint)
		case Counted:
			f.limits.counted(e)
			f.links.counted(e)
		default:
			f.crashes.apply(f, i, e)
		}
	}
}

// connected reports whether packets pass between two availability zones.
func (f *simulation) connected(a, b string) bool {
	return a == b || f.crashes == nil || f.crashes.isolated != a && f.crashes.isolated != b
}

// stepJob delivers an event about a job to the incarnation that sent it.
func (f *simulation) stepJob(job simJob, ev Event) {
	if job.at.incarnation == job.incarnation {
		f.step(job.at, ev)
	}
}

func (f *simulation) arriveAtEngine(e *simEngine, job simJob) {
	if f.links.stopped(f, e, job) {
		return
	}
	f.limits.arrived(f, e, job)
	switch {
	case !f.connected(e.zone, job.at.zone):
		f.crashes.unreachable(f, e, job)
	case e.down:
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: NotSent, Refused: true}})
	case f.brittle.full(f, e, job), f.rests.arrived(f, e, job):
	case len(e.running) >= e.slots:
		e.waiting = append(e.waiting, job)
	default:
		f.startJob(e, job)
	}
}

func (f *simulation) startJob(e *simEngine, job simJob) {
	e.running = append(e.running, job)
	f.engineWaits = append(f.engineWaits, f.now.Sub(job.sent))
	if f.crashes.crashed(f, e, job) {
		return
	}
	f.parts.prefill(f, e, job, func() { f.answerJob(e, job) })
}

// answerJob begins the answer to a job and ends it after its service time.
func (f *simulation) answerJob(e *simEngine, job simJob) {
	f.limits.answer(f, e, job)
	f.zones.answered(f, job)
	f.rests.answered(f, e, job)
	slowness := f.load.started(f, e, job)
	if b := f.brittle.statement(); b.Named || f.brittle != nil && job.limited {
		f.stepJob(job, AnswerReceived{ID: job.id, Brittle: b})
	}
	if f.links.open(job.at, e.zone) {
		f.stepJob(job, AnswerStarted{ID: job.id})
	}
	f.parts.proceed(f, e, job)
	f.streams.answered(f, e, job)
	f.after(stretch(f.streams.serviceTime(f, job), slowness), func() {
		if e.down {
			return
		}
		reached := f.links.open(job.at, e.zone)
		e.running = slices.DeleteFunc(e.running, func(other simJob) bool { return other == job })
		f.crashes.finished(job.at, job.id)
		f.streams.completed(job)
		if f.brittle != nil {
			f.brittle.served++
		}
		if reached {
			f.links.completed(job.at, job.id)
			f.endForward(job.at, job.id, ForwardEnded{Endpoint: e.id, Attempt: Attempt{Outcome: Completed}})
			f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Completed, FirstByte: stretch(simFirstOutput, slowness)}})
		}
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			f.startJob(e, next)
		}
	})
}

// runLoad generates requests at a rate per second for a time. The load balancer
// is uneven: it sends some instances twice as many requests as others.
func (f *simulation) runLoad(rate float64, d time.Duration) {
	f.engineWaits, f.refused, f.dispatches, f.crossZone = nil, 0, 0, 0
	var arrive func()
	end := f.now.Add(d)
	random := f.load.random(f.rand)
	arrive = func() {
		if f.now >= end {
			return
		}
		n := int(math.Sqrt(random.Float64()) * float64(len(f.instances)))
		f.nextID++
		r := f.limits.route(f, f.instances[n])
		r = f.load.route(f, r)
		f.links.arrived(f, f.instances[n], f.nextID)
		request := Request{
			ID: f.nextID, Name: "r", Version: max(1, f.configVersion), Route: r, Service: service, Fingerprint: f.crashes.fingerprint(f.nextID), PromptTokens: 2000, Tokens: 2100,
			PromptParts:    f.parts.arriving(f, f.instances[n], f.nextID),
			Organisation:   f.quota.organisation(f, f.instances[n], f.nextID),
			CallerDeadline: f.now.Add(5 * time.Second), Deadline: f.now.Add(5 * time.Second),
		}
		f.requests[simRequest{f.instances[n], f.nextID}] = request
		f.step(f.instances[n], Arrived{Request: request})
		f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	f.advance(d)
}

// removeZone removes the directory entries of a zone's engines at all
// instances.
func (f *simulation) removeZone(zone string) {
	var removed []directory.Change
	for n := range len(f.engines) {
		id := fmt.Sprintf("e%d", n)
		if f.engines[id].zone == zone {
			removed = append(removed, directory.Change{EndpointID: id, Revision: 2})
		}
	}
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: removed, Revision: 2}}})
	}
}

// addEngine lists a new engine at all instances at the same moment.
func (f *simulation) addEngine(n, slots int, zone string) *simEngine {
	c := engine(n, slots)
	c.Endpoint.Zone = zone
	f.engines[c.EndpointID] = &simEngine{id: c.EndpointID, zone: zone, address: c.Endpoint.Address, slots: slots}
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: []directory.Change{c}, Revision: 3}}})
	}
	return f.engines[c.EndpointID]
}

// engineWait returns a quantile of the times that dispatched requests waited at
// an engine.
func (f *simulation) engineWait(quantile float64) time.Duration {
	waits := slices.Clone(f.engineWaits)
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0
	}
	return waits[int(quantile*float64(len(waits)-1))]
}

// Load pattern: normal load, a burst of 1.5 times the engines' capacity, then
// normal load again, at instances that each receive a few requests per second.
// The scheduler has no control over an engine's queue: a later, more urgent
// request can't overtake there, and a refusal can't spare its caller the wait.
// No request may spend its whole target there, and the burst must leave no slot
// unused.
func TestEngineQueueTimeStaysBelowTarget(t *testing.T) {
	t.Parallel()
	const duration = 2 * time.Second
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {84, 90, 6}} {
		f := newSimulation(size.instances, 4, size.engines, size.slots)
		f.advance(3 * time.Second)
		capacity := float64(size.engines*size.slots) / simServiceTime.Seconds()
		target := route("r", 0).Target
		for _, load := range []float64{0.5, 1.5, 0.8} {
			f.runLoad(load*capacity, duration)
			used := float64(f.dispatches) / duration.Seconds() / capacity
			t.Logf("%d instances, load %.1f: dispatched %.2f of capacity, %d to other zones, %d refused, wait at engines p50 %v p99 %v",
				size.instances, load, used, f.crossZone, f.refused, f.engineWait(0.5).Round(time.Millisecond), f.engineWait(0.99).Round(time.Millisecond))
			must.Less(t, target, f.engineWait(0.99))
			must.GreaterEq(t, 0.95*min(load, 1), used)
		}
	}
}

// Load pattern: the engines of one zone are lost while its callers remain. The
// remaining engines have capacity for all requests, so none may be refused.
func TestZoneWithoutEnginesUsesOtherZones(t *testing.T) {
	t.Parallel()
	const zones = 4
	for _, size := range []struct{ instances, engines, slots int }{{6, 18, 10}, {12, 18, 10}, {30, 36, 6}} {
		f := newSimulation(size.instances, zones, size.engines, size.slots)
		f.advance(3 * time.Second)
		f.removeZone("0")
		f.advance(time.Second)
		remainingCapacity := float64(size.engines*size.slots) * (zones - 1) / zones / simServiceTime.Seconds()
		f.runLoad(0.6*remainingCapacity, 2*time.Second)
		t.Logf("%d instances: %d dispatched, %d refused, wait at engines p99 %v", size.instances, f.dispatches, f.refused, f.engineWait(0.99))
		must.Eq(t, 0, f.refused)
		must.Less(t, route("r", 0).Target, f.engineWait(0.99))
	}
}

// Load pattern: endpoints crashed, requests are queued at every instance, and
// one endpoint returns. It must not receive all queued requests at once: plain
// services then reset connections, and requests already sent may have run.
func TestReturningEndpointIsNotOverloaded(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]struct {
		instances, engines, slots int
		serviceTime               time.Duration
	}{
		"engines of a small system":      {6, 18, 10, simServiceTime},
		"engines of a large system":      {78, 112, 5, simServiceTime},
		"plain service, large system":    {78, 7, 6, 60 * time.Millisecond},
		"plain service, 30 instances":    {30, 5, 6, 60 * time.Millisecond},
		"one endpoint left in each zone": {84, 4, 6, 15 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			seeds := 1
			if size.instances < 30 {
				seeds = 16
			}
			maxRequests := 0
			for seed := range uint64(seeds) {
				f := newSimulation(size.instances, 4, size.engines, size.slots)
				f.rand = rand.New(rand.NewPCG(seed, 77))
				f.serviceTime = size.serviceTime
				f.advance(3*time.Second + time.Duration(seed)*7*time.Millisecond)
				f.runLoad(4*float64(size.engines*size.slots)/size.serviceTime.Seconds(), 400*time.Millisecond)
				e := f.addEngine(size.engines, size.slots, "0")
				for range 100 {
					f.advance(5 * time.Millisecond)
					maxRequests = max(maxRequests, len(e.running)+len(e.waiting))
				}
			}
			t.Logf("at most %d requests at %d slots", maxRequests, size.slots)
			must.Positive(t, maxRequests)
			wait := size.serviceTime * time.Duration(maxRequests-size.slots) / time.Duration(size.slots)
			must.LessEq(t, route("r", 0).Target, wait, must.Sprint("the last request sent starts later than its target"))
		})
	}
}
