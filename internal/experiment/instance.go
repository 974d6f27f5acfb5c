package experiment

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Times between the processes of a zone.
const (
	frameDelay   = 500 * time.Microsecond
	connectDelay = time.Millisecond
	listDelay    = time.Second
	// pollInterval is the time between two readings of a load report, and
	// cachePollInterval of the cache events.
	pollInterval      = time.Second
	cachePollInterval = 2 * time.Second
	reportLag         = 500 * time.Millisecond
	cacheEventLag     = 500 * time.Millisecond
	// The lags and the losses of late reports and gappy cache events.
	lateReportLag     = 2 * time.Second
	lateCacheEventLag = 3 * time.Second
	cacheEventLoss    = 0.3
)

// fleet is the zone's instances behind the platform's balancer.
type fleet struct {
	zone      *zone
	policy    reducer.Policy
	instances []*instance
	waiter    reducer.Waiter
	sessions  map[[2]*instance]bool
	late      bool
}

// instance is one process: the real reducer with fakes of all around it.
type instance struct {
	fleet   *fleet
	name    string
	inc     reducer.Incarnation
	state   *reducer.State
	alive   bool
	ready   bool
	waiters map[reducer.Waiter]*call
	calls   map[reducer.RequestID]*call
	runs    map[reducer.RequestID]*run
	watched map[string]string
}

// place is where an attempt of a call waits.
type place struct {
	instance *instance
	waiter   reducer.Waiter
}

func newFleet(z *zone, policy reducer.Policy, size int) *fleet {
	f := &fleet{zone: z, policy: policy, sessions: map[[2]*instance]bool{}}
	for i := range size {
		f.start(string(rune('a' + i)))
	}
	for _, e := range z.engines {
		e.changed = func(prefix uint64, held bool) { f.cacheChanged(e, prefix, held) }
	}
	return f
}

func (f *fleet) start(name string) {
	z := f.zone
	i := &instance{
		fleet: f, name: name, inc: reducer.Incarnation(z.random.Uint64() | 1), alive: true,
		waiters: map[reducer.Waiter]*call{}, calls: map[reducer.RequestID]*call{}, runs: map[reducer.RequestID]*run{},
	}
	i.state = reducer.New(reducer.Config{Incarnation: i.inc, Instance: name, AvailabilityZone: z.name, Policy: f.policy}, z.now)
	f.instances = append(f.instances, i)
	z.after(0, func() {
		i.step(reducer.FileOffered{File: z.file, Source: "platform"})
		f.publish()
	})
	z.every(reducer.TickInterval, func() { i.step(reducer.Tick{}) })
}

// publish gives every instance the platform's list.
func (f *fleet) publish() {
	var list []reducer.Instance
	for _, i := range f.instances {
		if i.alive {
			list = append(list, reducer.Instance{Name: i.name, AvailabilityZone: f.zone.name, PeerAddress: i.name})
		}
	}
	for _, i := range f.instances {
		i.step(reducer.InstancesListed{Instances: list})
	}
}

func (f *fleet) live() []*instance {
	var live []*instance
	for _, i := range f.instances {
		if i.alive {
			live = append(live, i)
		}
	}
	return live
}

// submit implements scheduler: the balancer takes any ready instance.
func (f *fleet) submit(c *call) {
	ready := slices.DeleteFunc(f.live(), func(i *instance) bool { return !i.ready })
	if len(ready) == 0 {
		f.zone.resend(c, resendDelay)
		return
	}
	f.waiter++
	i := ready[f.zone.random.IntN(len(ready))]
	i.waiters[f.waiter] = c
	c.place = place{i, f.waiter}
	i.step(reducer.RequestArrived{Waiter: f.waiter, Request: reducer.Request{
		Organisation: c.organisation, Tier: c.tier.Name, Pool: f.zone.workload.pool, Idempotent: true,
		PromptTokens: c.prompt, OutputTokens: c.maxOutput, Prefix: c.prefix, Fingerprint: c.fingerprint,
		Deadline: c.deadline.Sub(f.zone.now),
	}})
}

// leave implements scheduler.
func (f *fleet) leave(c *call) {
	p := c.place
	if p.instance == nil || p.instance.waiters[p.waiter] == nil {
		return
	}
	delete(p.instance.waiters, p.waiter)
	p.instance.step(reducer.CallerGone{Waiter: p.waiter})
}

func (i *instance) step(ev reducer.Event) {
	if !i.alive {
		return
	}
	for _, e := range slices.Clone(i.state.Step(i.fleet.zone.now, ev)) {
		i.carry(e)
	}
}

func (i *instance) carry(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Send:
		i.send(e.To, e.Frame)
	case reducer.ConnectPeer:
		i.connectPeer(e.Instance.Name)
	case reducer.ReadyChanged:
		i.ready = e.Ready
	case reducer.WatchEndpoints:
		i.watch(e.Addresses)
	case reducer.Admitted:
		i.calls[e.Request] = i.waiters[e.Waiter]
	case reducer.Refuse:
		if c := i.waiters[e.Waiter]; c != nil {
			delete(i.waiters, e.Waiter)
			i.fleet.zone.refused(c, e.Refused.Reason, e.Refused.RetryAfter)
		}
	case reducer.Forget:
		delete(i.calls, e.Request)
	case reducer.Connect:
		i.connect(e)
	case reducer.Dispatch:
		i.dispatch(e)
	case reducer.Cancel:
		if r := i.runs[e.Request]; r != nil {
			r.engine.end(r, reducer.EndedCancelled)
		}
	}
}

func (i *instance) send(to reducer.Incarnation, frame *peerpb.Frame) {
	for _, o := range i.fleet.live() {
		if o.inc == to {
			i.fleet.zone.after(frameDelay, func() { o.step(reducer.PeerMessage{From: i.inc, Frame: frame}) })
		}
	}
}

func (i *instance) connectPeer(name string) {
	for _, o := range i.fleet.live() {
		if o.name != name || o == i || i.fleet.sessions[[2]*instance{i, o}] {
			continue
		}
		i.fleet.sessions[[2]*instance{i, o}], i.fleet.sessions[[2]*instance{o, i}] = true, true
		hello := func(x *instance) reducer.PeerUp {
			return reducer.PeerUp{Peer: x.inc, Hello: &peerpb.Hello{Instance: x.name, AvailabilityZone: i.fleet.zone.name}}
		}
		i.fleet.zone.after(connectDelay, func() { i.step(hello(o)); o.step(hello(i)) })
	}
}

func (z *zone) engine(name string) *engine {
	for _, e := range z.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (i *instance) connect(e reducer.Connect) {
	i.fleet.zone.after(connectDelay, func() {
		up := !i.fleet.zone.engine(e.Endpoint).down
		i.step(reducer.ConnectDone{Request: e.Request, Endpoint: e.Endpoint, OK: up})
	})
}

func (i *instance) dispatch(e reducer.Dispatch) {
	z := i.fleet.zone
	on := z.engine(e.Endpoint)
	if z.now >= e.NotAfter || on.down {
		z.after(0, func() {
			i.step(reducer.DispatchDone{Request: e.Request, Result: reducer.Result{Ended: reducer.EndedNotSent}})
		})
		return
	}
	r := &run{call: i.calls[e.Request]}
	r.first = func() {
		if i.alive {
			z.began(r.call)
			i.step(reducer.FirstByte{Request: e.Request})
		}
	}
	r.ended = func(how reducer.Ended) { i.ended(e.Request, r, how) }
	i.runs[e.Request] = r
	on.add(r)
}

func (i *instance) ended(id reducer.RequestID, r *run, how reducer.Ended) {
	z := i.fleet.zone
	z.ended(r, how)
	delete(i.runs, id)
	delete(i.calls, id)
	if how == reducer.EndedWhole {
		delete(i.waiters, r.call.place.waiter)
	}
	res := reducer.Result{
		Ended: how, PromptTokens: r.cached + r.read, CachedTokens: r.cached, OutputTokens: r.generated,
		Elapsed: z.now.Sub(r.started),
	}
	if r.firstAt != 0 {
		res.FirstToken = r.firstAt.Sub(r.started)
	}
	z.after(0, func() { i.step(reducer.DispatchDone{Request: id, Result: res}) })
}

// watch begins to poll the endpoints that the instance has come to own.
func (i *instance) watch(addresses map[string]string) {
	z := i.fleet.zone
	before := i.watched
	i.watched = addresses
	for _, e := range z.engines {
		_, was := before[e.name]
		if _, is := addresses[e.name]; !is || was {
			continue
		}
		z.after(time.Duration(z.random.Int64N(int64(pollInterval/2))), func() { i.poll(e) })
		for _, prefix := range e.cache.shared() {
			i.tellCache(e, prefix, true)
		}
	}
}

func (i *instance) owns(e *engine) bool {
	_, ok := i.watched[e.name]
	return ok && i.alive
}

// poll reads a load report again and again: what runs is as old as the lag,
// the engine's own run is told as it is.
func (i *instance) poll(e *engine) {
	if !i.owns(e) {
		return
	}
	lag := reportLag
	if i.fleet.late {
		lag = lateReportLag
	}
	i.step(reducer.EndpointReported{Endpoint: e.name, Report: reducer.EndpointReport{
		Age: lag, Running: e.runningAt(i.fleet.zone.now.Add(-lag)), Started: e.boot, Unreachable: e.down,
	}})
	i.fleet.zone.after(pollInterval, func() { i.poll(e) })
}

// cacheChanged tells the endpoint's owners, late and with gaps.
func (f *fleet) cacheChanged(e *engine, prefix uint64, held bool) {
	for _, i := range f.live() {
		if i.owns(e) {
			i.tellCache(e, prefix, held)
		}
	}
}

func (i *instance) tellCache(e *engine, prefix uint64, held bool) {
	z := i.fleet.zone
	lag := cacheEventLag + time.Duration(z.random.Int64N(int64(cachePollInterval)))
	if i.fleet.late {
		lag += lateCacheEventLag - cacheEventLag
		if z.random.Float64() < cacheEventLoss {
			return
		}
	}
	z.after(lag, func() {
		if i.owns(e) {
			i.step(reducer.CacheChanged{Endpoint: e.name, Prefix: prefix, Held: held})
		}
	})
}

// kill ends a process with all that waits on it. Callers send again to other
// instances, which take up the runs that the engines still have.
func (i *instance) kill() {
	z := i.fleet.zone
	i.alive = false
	taken := map[*call]bool{}
	for _, r := range i.runs {
		taken[r.call] = !r.call.over
		r.first = func() { z.began(r.call) }
		r.ended = func(how reducer.Ended) {
			z.ended(r, how)
			if how == reducer.EndedBroken {
				z.refused(r.call, refusal.EndpointFailed, 0)
			}
		}
		if r.call.over {
			z.after(disconnectGrace, func() { r.engine.end(r, reducer.EndedCancelled) })
		}
	}
	for _, w := range sortedWaiters(i.waiters) {
		if c := i.waiters[w]; !c.over && !taken[c] && c.resends < mostResends {
			c.resends++
			z.resend(c, resendDelay)
		}
	}
	for _, o := range i.fleet.live() {
		o.step(reducer.PeerDown{Peer: i.inc})
	}
	z.after(listDelay, i.fleet.publish)
}

func sortedWaiters(m map[reducer.Waiter]*call) []reducer.Waiter {
	all := make([]reducer.Waiter, 0, len(m))
	for w := range m {
		all = append(all, w)
	}
	slices.Sort(all)
	return all
}
