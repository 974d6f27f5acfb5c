package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
)

// simCrashes is the part of a simulation in which requests crash the engines
// that run them, engines restart, instances are killed, paused and restarted,
// and a zone is isolated. A nil simCrashes is a simulation without any of these.
type simCrashes struct {
	// crashing is the fingerprint of the requests that crash their engine.
	crashing uint64
	// isolated is the zone without a path to the others, if any.
	isolated string
	// fingerprints and done belong to the requests sent by sendRequest.
	fingerprints map[simRequest]uint64
	done         map[simRequest]func()
	// disturbed is when an instance was last killed, paused, restarted or
	// isolated.
	disturbed map[*simInstance]Instant
	// crashedAt are the times at which engines ended under the crashing request.
	crashedAt []Instant
	// sends are the dispatches of the crashing request.
	sends []simSend
	// popular is the fingerprint of a tenth of the requests of runLoad, if it is
	// not zero. refusedPopular counts those refused as crashing.
	popular        uint64
	refusedPopular int
	restarts       uint64
}

type simRequest struct {
	at *simInstance
	id RequestID
}

type simSend struct {
	at        Instant
	disturbed Instant
}

// noCrash is a fingerprint that no request has.
const noCrash = 1

const (
	// simContact is the time after which an instance without faults is in contact
	// with all others.
	simContact = 4 * time.Second
	// simEngineRestart is the time after which a crashed engine is back, under
	// another ID at the same address.
	simEngineRestart = 2500 * time.Millisecond
	// simEntryTimeout is the time after which the entry of an engine that ended
	// is removed.
	simEntryTimeout = 3600 * time.Millisecond
	// simCallerTimeout is a caller's deadline.
	simCallerTimeout = 5 * time.Second
)

func newSimCrashes(crashing uint64) *simCrashes {
	return &simCrashes{
		crashing: crashing, fingerprints: map[simRequest]uint64{}, done: map[simRequest]func(){},
		disturbed: map[*simInstance]Instant{},
	}
}

// sendRequest submits a request to an instance and calls done when it has
// ended, at the latest at its deadline.
func (f *simulation) sendRequest(i *simInstance, fingerprint uint64, attempts int, done func()) {
	f.nextID++
	key := simRequest{i, f.nextID}
	f.crashes.fingerprints[key] = fingerprint
	f.crashes.done[key] = done
	r := route("r", 0)
	r.MaxAttempts = attempts
	request := Request{
		ID: f.nextID, Name: fmt.Sprint(f.nextID), Version: 1, Route: r, Service: service, Fingerprint: fingerprint,
		PromptTokens: 2000, Tokens: 2100,
		CallerDeadline: f.now.Add(simCallerTimeout), Deadline: f.now.Add(simCallerTimeout),
	}
	f.requests[key] = request
	f.step(i, Arrived{Request: request})
	f.after(simCallerTimeout, func() { f.crashes.finished(key.at, key.id) })
}

// finished tells the caller that its request has ended.
func (c *simCrashes) finished(i *simInstance, id RequestID) {
	if c == nil {
		return
	}
	key := simRequest{i, id}
	if done := c.done[key]; done != nil {
		delete(c.done, key)
		done()
	}
}

func (c *simCrashes) dispatched(f *simulation, job simJob) {
	if c != nil && c.fingerprints[simRequest{job.at, job.id}] == c.crashing {
		c.sends = append(c.sends, simSend{f.now, c.disturbed[job.at]})
	}
}

// sendsAfter returns the number of dispatches of the crashing request later
// than contact after the nth crash, at instances that were not disturbed for
// as long.
func (c *simCrashes) sendsAfter(nth int, contact time.Duration) int {
	if len(c.crashedAt) < nth {
		return 0
	}
	from, n := c.crashedAt[nth-1].Add(contact), 0
	for _, s := range c.sends {
		if s.at > from && (s.disturbed == 0 || s.at.Sub(s.disturbed) > contact) {
			n++
		}
	}
	return n
}

// crashed ends the engine if the job crashes it.
func (c *simCrashes) crashed(f *simulation, e *simEngine, job simJob) bool {
	if c == nil || c.fingerprints[simRequest{job.at, job.id}] != c.crashing {
		return false
	}
	c.crashedAt = append(c.crashedAt, f.now)
	f.crash(e)
	return true
}

// crash ends an engine. Its connections are reset, and it is back after some
// time as another incarnation.
func (f *simulation) crash(e *simEngine) {
	e.down = true
	jobs := append(e.running, e.waiting...)
	for _, job := range jobs {
		f.after(simDelay, func() { f.crashes.unreachable(f, e, job) })
	}
	if f.streams.replacesCrashed() {
		return
	}
	f.crashes.restarts++
	id := fmt.Sprintf("%s-%d", e.address, f.crashes.restarts)
	f.after(simEngineRestart, func() {
		f.engines[id] = &simEngine{id: id, zone: e.zone, address: e.address, started: int64(f.now), slots: e.slots}
		f.publish(f.entry(f.engines[id]))
	})
	f.after(simEntryTimeout, func() { f.publish(directory.Change{EndpointID: e.id, Revision: 2}) })
}

// unreachable ends an attempt at an engine that is down or in an isolated zone.
// Across the isolation nothing arrives, and the attempt ends at its deadline.
func (c *simCrashes) unreachable(f *simulation, e *simEngine, job simJob) {
	if f.connected(e.zone, job.at.zone) {
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Broken, AnswerStarted: f.streams.begun(job)}})
		return
	}
	f.after(job.sent.Add(simCallerTimeout).Sub(f.now), func() {
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Abandoned}})
		c.finished(job.at, job.id)
	})
}

// refused counts a refusal of the popular request.
func (c *simCrashes) refused(reason Reason) {
	if c != nil && reason == CrashSuspect && c.popular != 0 {
		c.refusedPopular++
	}
}

// fingerprint returns the fingerprint of a request of runLoad.
func (c *simCrashes) fingerprint(id RequestID) uint64 {
	if c != nil && c.popular != 0 && id%10 == 0 {
		return c.popular
	}
	return uint64(id) << 16
}

// publish delivers changes of the directory to all instances.
func (f *simulation) publish(changes ...directory.Change) {
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: changes, Revision: 3}}})
	}
}

func (f *simulation) entry(e *simEngine) directory.Change {
	return directory.Change{EndpointID: e.id, Endpoint: &directory.Endpoint{
		ID: e.id, Service: service, Address: e.address, Zone: e.zone, Slots: e.slots, Started: e.started, Version: e.version,
	}}
}

func (f *simulation) entries() []directory.Change {
	var out []directory.Change
	for _, e := range f.engines {
		if !e.down && !e.unlisted {
			c := f.entry(e)
			c.Endpoint.Leaving = e.leaving
			out = append(out, c)
		}
	}
	return out
}

// apply carries out the effects that concern crashes.
func (c *simCrashes) apply(f *simulation, i *simInstance, effect Effect) {
	probe, ok := effect.(ProbeEndpoint)
	if c == nil || !ok {
		return
	}
	delay, result, incarnation := 2*simDelay, ProbeRefused, i.incarnation
	switch {
	case f.links.mode(i, probe.Endpoint.Zone) == linkResets, f.links.mode(i, probe.Endpoint.Zone) == linkRefuses:
	case !f.connected(i.zone, probe.Endpoint.Zone), f.links.mode(i, probe.Endpoint.Zone) == linkHangs:
		delay, result = time.Second, ProbeUnknown
	case f.listening(probe.Endpoint.Address):
		result = ProbeAccepted
	}
	f.after(delay, func() {
		if i.incarnation == incarnation {
			f.step(i, EndpointProbed{Endpoint: probe.Endpoint.ID, Started: probe.Endpoint.Started, Result: result})
		}
	})
}

func (f *simulation) listening(address string) bool {
	for _, e := range f.engines {
		if e.address == address && !e.down {
			return true
		}
	}
	return false
}

func (c *simCrashes) disturb(f *simulation, i *simInstance) { c.disturbed[i] = f.now }

// kill ends an instance, which is restarted after d.
func (f *simulation) kill(i *simInstance, d time.Duration) {
	if i.down || i.paused {
		return
	}
	i.down = true
	f.crashes.disturb(f, i)
	f.streams.instanceDied(f, i)
	f.after(d, func() {
		f.crashes.restarts++
		f.crashes.disturb(f, i)
		f.start(i, 1_000_000+f.crashes.restarts, f.entries())
	})
}

// pause holds an instance for d.
func (f *simulation) pause(i *simInstance, d time.Duration) {
	if i.down || i.paused {
		return
	}
	i.paused = true
	f.crashes.disturb(f, i)
	f.after(d, func() {
		i.paused = false
		f.crashes.disturb(f, i)
		held := i.held
		i.held = nil
		for _, ev := range held {
			f.step(i, ev)
		}
	})
}

// isolate partitions a zone from the others for d.
func (f *simulation) isolate(zone string, d time.Duration) {
	if f.crashes.isolated != "" {
		return
	}
	f.crashes.isolated = zone
	mark := func() {
		for _, i := range f.instances {
			if i.zone == zone {
				f.crashes.disturb(f, i)
			}
		}
	}
	mark()
	f.after(d, func() {
		mark()
		f.crashes.isolated = ""
	})
}

// injectFaults starts a fault about once an interval for d. Faults overlap.
func (f *simulation) injectFaults(interval, d time.Duration) {
	if d <= 0 {
		return
	}
	length := 200*time.Millisecond + time.Duration(f.rand.Int64N(int64(3*time.Second)))
	switch i := f.instances[f.rand.IntN(len(f.instances))]; f.rand.IntN(4) {
	case 0, 1:
		f.kill(i, length)
	case 2:
		f.pause(i, length)
	case 3:
		f.isolate(i.zone, length)
	}
	next := interval/2 + time.Duration(f.rand.Int64N(int64(interval)))
	f.after(next, func() { f.injectFaults(interval, d-next) })
}

// liveInstance returns a random instance that serves callers, or one that does not
// if none does.
func (f *simulation) liveInstance() *simInstance {
	live := slices.DeleteFunc(slices.Clone(f.instances), func(i *simInstance) bool { return i.down || i.paused })
	if len(live) == 0 {
		live = f.instances
	}
	return live[f.rand.IntN(len(live))]
}

// repeatCrashingRequest sends the crashing request again and again, each time
// to a random instance, as soon as its previous attempt has ended and interval
// has passed.
func (f *simulation) repeatCrashingRequest(attempts int, interval time.Duration) {
	f.sendRequest(f.liveInstance(), f.crashes.crashing, attempts, func() {
		f.after(interval, func() { f.repeatCrashingRequest(attempts, interval) })
	})
}
