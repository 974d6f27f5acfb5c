package scheduler

import (
	"fmt"
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
	// refusedHealthy counts the other requests that were refused as crashing.
	refusedHealthy int
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
	f.step(i, Arrived{Request: Request{
		ID: f.nextID, Name: fmt.Sprint(f.nextID), Version: 1, Route: r, Service: service, Fingerprint: fingerprint,
		PromptTokens: 2000, Tokens: 2100,
		CallerDeadline: f.now.Add(simCallerTimeout), Deadline: f.now.Add(simCallerTimeout),
	}})
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
	f.crashes.restarts++
	id := fmt.Sprintf("%s-%d", e.address, f.crashes.restarts)
	f.after(simEngineRestart, func() {
		f.engines[id] = &simEngine{id: id, zone: e.zone, address: e.address, slots: e.slots}
		f.publish(f.entry(f.engines[id]))
	})
	f.after(simEntryTimeout, func() { f.publish(directory.Change{EndpointID: e.id, Revision: 2}) })
}

// unreachable ends an attempt at an engine that is down or in an isolated zone.
// Across the isolation nothing arrives, and the attempt ends at its deadline.
func (c *simCrashes) unreachable(f *simulation, e *simEngine, job simJob) {
	if f.connected(e.zone, job.at.zone) {
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Broken}})
		return
	}
	f.after(job.sent.Add(simCallerTimeout).Sub(f.now), func() {
		f.stepJob(job, AttemptEnded{ID: job.id, Attempt: Attempt{Outcome: Abandoned}})
		c.finished(job.at, job.id)
	})
}

// publish delivers changes of the directory to all instances.
func (f *simulation) publish(changes ...directory.Change) {
	for _, i := range f.instances {
		f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now), Batch: directory.Batch{Changes: changes, Revision: 3}}})
	}
}

func (f *simulation) entry(e *simEngine) directory.Change {
	return directory.Change{EndpointID: e.id, Endpoint: &directory.Endpoint{
		ID: e.id, Service: service, Address: e.address, Zone: e.zone, Slots: e.slots, Started: 1 + int64(f.now),
	}}
}

func (f *simulation) entries() []directory.Change {
	var out []directory.Change
	for _, e := range f.engines {
		if !e.down {
			out = append(out, f.entry(e))
		}
	}
	return out
}

// apply carries out the effects that concern crashes.
func (c *simCrashes) apply(_ *simulation, _ *simInstance, _ Effect) {}

func (c *simCrashes) disturb(f *simulation, i *simInstance) { c.disturbed[i] = f.now }

// kill ends an instance, which is restarted after d.
func (f *simulation) kill(i *simInstance, d time.Duration) {
	if i.down || i.paused {
		return
	}
	i.down = true
	f.crashes.disturb(f, i)
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

// liveInstance returns a random instance that serves callers.
func (f *simulation) liveInstance() *simInstance {
	for {
		if i := f.instances[f.rand.IntN(len(f.instances))]; !i.down && !i.paused {
			return i
		}
	}
}

// repeatCrashingRequest sends the crashing request again and again, each time
// to a random instance, as soon as its previous attempt has ended and interval
// has passed.
func (f *simulation) repeatCrashingRequest(attempts int, interval time.Duration) {
	f.sendRequest(f.liveInstance(), f.crashes.crashing, attempts, func() {
		f.after(interval, func() { f.repeatCrashingRequest(attempts, interval) })
	})
}
