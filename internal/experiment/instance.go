package experiment

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Delays between the processes of a zone.
const (
	peerFrameDelay    = 500 * time.Microsecond
	connectDelay      = time.Millisecond
	instanceListDelay = time.Second
	// pollInterval is the time between two polls of a load report, and
	// cachePollInterval of the cache events.
	pollInterval      = time.Second
	cachePollInterval = 2 * time.Second
	reportLag         = 500 * time.Millisecond
	cacheEventLag     = 500 * time.Millisecond
	// The lags and the loss with the fault of late reports and cache events.
	lateReportLag     = 2 * time.Second
	lateCacheEventLag = 3 * time.Second
	cacheEventLoss    = 0.3
)

// fleet holds the zone's instances behind the platform's load balancer.
type fleet struct {
	zone        *zone
	policy      reducer.Policy
	instances   []*instance
	lastWaiter  reducer.Waiter
	sessions    map[[2]*instance]bool
	lateReports bool
}

// instance is one process: the real reducer in a simulated environment.
type instance struct {
	fleet       *fleet
	name        string
	incarnation reducer.Incarnation
	state       *reducer.State
	alive       bool
	ready       bool
	waiters     map[reducer.Waiter]*call
	calls       map[reducer.RequestID]*call
	runs        map[reducer.RequestID]*run
	watched     map[string]string
}

// attempt is the instance and waiter of a call's current attempt.
type attempt struct {
	instance *instance
	waiter   reducer.Waiter
}

func newFleet(z *zone, policy reducer.Policy, size int) *fleet {
	f := &fleet{zone: z, policy: policy, sessions: map[[2]*instance]bool{}}
	for i := range size {
		f.start(string(rune('a' + i)))
	}
	for _, e := range z.engines {
		e.onCacheChange = func(prefix uint64, cached bool) { f.cacheChanged(e, prefix, cached) }
	}
	return f
}

func (f *fleet) start(name string) {
	z := f.zone
	i := &instance{
		fleet: f, name: name, incarnation: reducer.Incarnation(z.random.Uint64() | 1), alive: true,
		waiters: map[reducer.Waiter]*call{}, calls: map[reducer.RequestID]*call{}, runs: map[reducer.RequestID]*run{},
	}
	i.state = reducer.New(reducer.Config{Incarnation: i.incarnation, Instance: name, AvailabilityZone: z.name, Policy: f.policy}, z.now)
	f.instances = append(f.instances, i)
	z.after(0, func() {
		i.step(reducer.FileOffered{File: z.file, Source: "platform"})
		f.publish()
	})
	z.every(reducer.TickInterval, func() { i.step(reducer.Tick{}) })
}

// publish sends the platform's list of instances to every instance.
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

func (f *fleet) liveInstances() []*instance {
	var live []*instance
	for _, i := range f.instances {
		if i.alive {
			live = append(live, i)
		}
	}
	return live
}

// submit implements scheduler. The load balancer picks a random ready instance.
func (f *fleet) submit(c *call) {
	ready := slices.DeleteFunc(f.liveInstances(), func(i *instance) bool { return !i.ready })
	if len(ready) == 0 {
		f.zone.retry(c, retryDelay)
		return
	}
	f.lastWaiter++
	i := ready[f.zone.random.IntN(len(ready))]
	i.waiters[f.lastWaiter] = c
	c.attempt = attempt{i, f.lastWaiter}
	i.step(reducer.RequestArrived{Waiter: f.lastWaiter, Request: reducer.Request{
		Organisation: c.organisation, Tier: c.tier.Name, Pool: f.zone.workload.pool, Idempotent: true,
		PromptTokens: c.prompt, OutputTokens: c.maxOutput, Prefix: c.prefix, Fingerprint: c.fingerprint,
		Deadline: c.deadline.Sub(f.zone.now),
	}})
}

// cancel implements scheduler.
func (f *fleet) cancel(c *call) {
	a := c.attempt
	if a.instance == nil || a.instance.waiters[a.waiter] == nil {
		return
	}
	delete(a.instance.waiters, a.waiter)
	a.instance.step(reducer.CallerGone{Waiter: a.waiter})
}

func (i *instance) step(ev reducer.Event) {
	if !i.alive {
		return
	}
	for _, e := range slices.Clone(i.state.Step(i.fleet.zone.now, ev)) {
		i.applyEffect(e)
	}
}

func (i *instance) applyEffect(e reducer.Effect) {
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
			i.fleet.zone.handleRefusal(c, e.Refused.Reason, e.Refused.RetryAfter)
		}
	case reducer.DiscardAnswer:
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
	for _, other := range i.fleet.liveInstances() {
		if other.incarnation == to {
			i.fleet.zone.after(peerFrameDelay, func() { other.step(reducer.PeerMessage{From: i.incarnation, Frame: frame}) })
		}
	}
}

func (i *instance) connectPeer(name string) {
	for _, other := range i.fleet.liveInstances() {
		if other.name != name || other == i || i.fleet.sessions[[2]*instance{i, other}] {
			continue
		}
		i.fleet.sessions[[2]*instance{i, other}], i.fleet.sessions[[2]*instance{other, i}] = true, true
		hello := func(x *instance) reducer.PeerUp {
			return reducer.PeerUp{Peer: x.incarnation, Hello: &peerpb.Hello{Instance: x.name, AvailabilityZone: i.fleet.zone.name}}
		}
		i.fleet.zone.after(connectDelay, func() { i.step(hello(other)); other.step(hello(i)) })
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
	target := z.engine(e.Endpoint)
	if z.now >= e.NotAfter || target.down {
		z.after(0, func() {
			i.step(reducer.DispatchDone{Request: e.Request, Result: reducer.Result{Ended: reducer.EndedNotSent}})
		})
		return
	}
	r := &run{call: i.calls[e.Request]}
	r.onFirstToken = func() {
		if i.alive {
			z.recordFirstToken(r.call)
			i.step(reducer.FirstByte{Request: e.Request})
		}
	}
	r.onEnd = func(how reducer.Ended) { i.runEnded(e.Request, r, how) }
	i.runs[e.Request] = r
	target.add(r)
}

func (i *instance) runEnded(id reducer.RequestID, r *run, how reducer.Ended) {
	z := i.fleet.zone
	z.recordRunEnd(r, how)
	delete(i.runs, id)
	delete(i.calls, id)
	if how == reducer.EndedComplete {
		delete(i.waiters, r.call.attempt.waiter)
	}
	result := reducer.Result{
		Ended: how, PromptTokens: r.cached + r.prefilled, CachedTokens: r.cached, OutputTokens: r.generated,
		Elapsed: z.now.Sub(r.startedAt),
	}
	if r.firstTokenAt != 0 {
		result.FirstToken = r.firstTokenAt.Sub(r.startedAt)
	}
	z.after(0, func() { i.step(reducer.DispatchDone{Request: id, Result: result}) })
}

// watch starts to poll the endpoints that the instance now owns.
func (i *instance) watch(addresses map[string]string) {
	z := i.fleet.zone
	before := i.watched
	i.watched = addresses
	for _, e := range z.engines {
		_, wasWatched := before[e.name]
		if _, isWatched := addresses[e.name]; !isWatched || wasWatched {
			continue
		}
		z.after(time.Duration(z.random.Int64N(int64(pollInterval/2))), func() { i.pollLoad(e) })
		for _, prefix := range e.cache.sharedPrefixes() {
			i.reportCacheChange(e, prefix, true)
		}
	}
}

func (i *instance) owns(e *engine) bool {
	_, ok := i.watched[e.name]
	return ok && i.alive
}

// pollLoad reads a load report each pollInterval. Running is as old as the lag;
// Started and Unreachable are current.
func (i *instance) pollLoad(e *engine) {
	if !i.owns(e) {
		return
	}
	lag := reportLag
	if i.fleet.lateReports {
		lag = lateReportLag
	}
	i.step(reducer.EndpointReported{Endpoint: e.name, Report: reducer.EndpointReport{
		Age: lag, Running: e.runningAt(i.fleet.zone.now.Add(-lag)), Started: e.startID, Unreachable: e.down,
	}})
	i.fleet.zone.after(pollInterval, func() { i.pollLoad(e) })
}

// cacheChanged reports a cache change to the endpoint's owners, with lag and
// loss.
func (f *fleet) cacheChanged(e *engine, prefix uint64, cached bool) {
	for _, i := range f.liveInstances() {
		if i.owns(e) {
			i.reportCacheChange(e, prefix, cached)
		}
	}
}

func (i *instance) reportCacheChange(e *engine, prefix uint64, cached bool) {
	z := i.fleet.zone
	lag := cacheEventLag + time.Duration(z.random.Int64N(int64(cachePollInterval)))
	if i.fleet.lateReports {
		lag += lateCacheEventLag - cacheEventLag
		if z.random.Float64() < cacheEventLoss {
			return
		}
	}
	z.after(lag, func() {
		if i.owns(e) {
			i.step(reducer.CacheChanged{Endpoint: e.name, Prefix: prefix, Held: cached})
		}
	})
}

// kill ends a process and the requests that wait at it. Their callers retry at
// other instances, which resume the runs that the engines still have.
func (i *instance) kill() {
	z := i.fleet.zone
	i.alive = false
	resumed := map[*call]bool{}
	for _, r := range i.runs {
		resumed[r.call] = !r.call.done
		r.onFirstToken = func() { z.recordFirstToken(r.call) }
		r.onEnd = func(how reducer.Ended) {
			z.recordRunEnd(r, how)
			if how == reducer.EndedBroken {
				z.handleRefusal(r.call, refusal.EndpointFailed, 0)
			}
		}
		if r.call.done {
			z.after(disconnectGrace, func() { r.engine.end(r, reducer.EndedCancelled) })
		}
	}
	for _, w := range sortedWaiters(i.waiters) {
		if c := i.waiters[w]; !c.done && !resumed[c] && c.failureRetries < maxFailureRetries {
			c.failureRetries++
			z.retry(c, retryDelay)
		}
	}
	for _, other := range i.fleet.liveInstances() {
		other.step(reducer.PeerDown{Peer: i.incarnation})
	}
	z.after(instanceListDelay, i.fleet.publish)
}

func sortedWaiters(m map[reducer.Waiter]*call) []reducer.Waiter {
	all := make([]reducer.Waiter, 0, len(m))
	for w := range m {
		all = append(all, w)
	}
	slices.Sort(all)
	return all
}
