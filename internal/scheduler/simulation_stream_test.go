package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
)

// simStreams is the part of a simulation in which endpoints run different versions
// of their software, and broken streams go on: within an answer, or taken up by
// their callers at another instance. A nil simStreams is a simulation without it.
type simStreams struct {
	byRequest map[simRequest]*simStream
	all       []*simStream
	// length is the mean time for which a stream holds a slot.
	length time.Duration
	// attempts is the number of attempts of each route.
	attempts int
	// lag is the longest time after which an instance hears of a change of an entry.
	lag time.Duration
}

// simStream is one stream, over all attempts of its caller.
type simStream struct {
	at Instant
	// root is the name of the attempt that brought the first event.
	root string
	// versions are those of the endpoints whose events the caller got, without
	// repetition.
	versions []string
	deadline Instant
	// current is the attempt in progress.
	current simRequest
	done    bool
	// takenUp are the times at which the caller took the stream up, and whether
	// events followed.
	takenUp []simTakenUp
	// retries is the number of attempts that the caller has left.
	retries int
}

type simTakenUp struct {
	at, disturbed Instant
	// alive is the number of endpoints of the version that served then.
	alive  int
	wentOn bool
}

const (
	simStreamTimeout = 15 * time.Second
	// simDrainTime is how long an engine serves on after it has said that it leaves.
	simDrainTime = 4 * time.Second
	// simCallerRetryDelay is the mean time after which a caller takes a stream up.
	simCallerRetryDelay = 100 * time.Millisecond
)

// newStreamSimulation returns a simulation in which engines run a version each, in
// turn.
func newStreamSimulation(instances, engines, slots int, versions ...string) *simulation {
	f := newVersionedSimulation(instances, 4, engines, slots, versions...)
	f.crashes = newSimCrashes(noCrash)
	f.streams = &simStreams{byRequest: map[simRequest]*simStream{}, length: 3 * time.Second, attempts: 2}
	return f
}

// replacesCrashed reports whether engines that have ended are replaced by the test.
func (p *simStreams) replacesCrashed() bool { return p != nil }

func (p *simStreams) serviceTime(f *simulation, job simJob) time.Duration {
	mean := f.serviceTime
	if p != nil && p.byRequest[simRequest{job.at, job.id}] != nil {
		mean = p.length
	}
	return time.Duration(f.rand.ExpFloat64() * float64(mean))
}

// startStreams starts streams at random instances at a rate until end.
func (f *simulation) startStreams(rate float64, end Instant) {
	if f.now >= end {
		return
	}
	s := &simStream{at: f.now, deadline: f.now.Add(simStreamTimeout), retries: 2}
	f.streams.all = append(f.streams.all, s)
	f.sendStream(s, f.liveInstance())
	f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() { f.startStreams(rate, end) })
}

// sendStream sends an attempt for a stream to an instance.
func (f *simulation) sendStream(s *simStream, i *simInstance) {
	f.nextID++
	key := simRequest{i, f.nextID}
	f.streams.byRequest[key] = s
	s.current = key
	r := route("stream", 0)
	r.MaxAttempts = f.streams.attempts
	r.Timeout = simStreamTimeout
	q := Request{
		ID: f.nextID, Name: fmt.Sprintf("%d@%d", f.nextID, i.incarnation), Version: 1, Route: r, Service: service,
		Fingerprint: uint64(f.nextID) << 16, PromptTokens: 500, Tokens: 600, CallerDeadline: s.deadline, Deadline: s.deadline,
	}
	if len(s.versions) > 0 {
		q.Resumes, q.LastEventID = s.root, 5
	}
	f.step(i, Arrived{Request: q})
}

// answered records the first event of an attempt.
func (p *simStreams) answered(f *simulation, e *simEngine, job simJob) {
	if p == nil {
		return
	}
	key := simRequest{job.at, job.id}
	s := p.byRequest[key]
	if s == nil || s.current != key || job.at.down || job.at.incarnation != job.incarnation {
		return
	}
	if len(s.versions) == 0 {
		s.root = fmt.Sprintf("%d@%d", job.id, job.incarnation)
	}
	if !slices.Contains(s.versions, e.version) {
		s.versions = append(s.versions, e.version)
	}
	if n := len(s.takenUp); n > 0 {
		s.takenUp[n-1].wentOn = true
	}
}

func (p *simStreams) begun(job simJob) bool {
	if p == nil {
		return false
	}
	s := p.byRequest[simRequest{job.at, job.id}]
	return s != nil && len(s.versions) > 0
}

func (p *simStreams) completed(job simJob) {
	if p == nil {
		return
	}
	key := simRequest{job.at, job.id}
	if s := p.byRequest[key]; s != nil && s.current == key {
		s.done = true
	}
}

// refused lets the caller of a stream come back, if it has attempts left.
func (p *simStreams) refused(f *simulation, i *simInstance, e Refuse) {
	if p == nil {
		return
	}
	key := simRequest{i, e.ID}
	if s := p.byRequest[key]; s != nil && s.current == key {
		f.takeUp(s, e.RetryAfter)
	}
}

// instanceDied breaks the streams of an instance, whose callers take them up.
func (p *simStreams) instanceDied(f *simulation, i *simInstance) {
	if p == nil {
		return
	}
	for _, s := range p.all {
		if s.current.at == i && !s.done {
			f.takeUp(s, 0)
		}
	}
}

// takeUp lets the caller send the next attempt for a stream.
func (f *simulation) takeUp(s *simStream, pause time.Duration) {
	if s.done || s.retries == 0 {
		s.done = true
		return
	}
	s.retries--
	s.current = simRequest{}
	pause += time.Duration(f.rand.ExpFloat64() * float64(simCallerRetryDelay))
	f.after(pause, func() {
		if f.now >= s.deadline {
			s.done = true
			return
		}
		i := f.liveInstance()
		if len(s.versions) > 0 {
			s.takenUp = append(s.takenUp, simTakenUp{at: f.now, disturbed: f.crashes.disturbed[i], alive: f.enginesOf(s.versions[0])})
		}
		f.sendStream(s, i)
	})
}

// enginesOf returns the number of engines that serve with a version.
func (f *simulation) enginesOf(version string) int {
	n := 0
	for _, e := range f.engines {
		if !e.down && !e.leaving && e.version == version {
			n++
		}
	}
	return n
}

// joined returns the number of streams with events of two versions.
func (p *simStreams) joined() int {
	n := 0
	for _, s := range p.all {
		if len(s.versions) > 1 {
			n++
		}
	}
	return n
}

// goOnShare returns the share of the streams taken up at instances that had not been
// disturbed for contact, while two engines of their version served, that went on,
// and their number.
func (p *simStreams) goOnShare(contact time.Duration) (share float64, total int) {
	wentOn := 0
	for _, s := range p.all {
		for _, t := range s.takenUp {
			if t.alive < 2 || t.disturbed != 0 && t.at.Sub(t.disturbed) <= contact {
				continue
			}
			total++
			if t.wentOn {
				wentOn++
			}
		}
	}
	return float64(wentOn) / float64(max(total, 1)), total
}

// beginShare returns the share of the streams that began.
func (p *simStreams) beginShare() float64 {
	begun := 0
	for _, s := range p.all {
		if len(s.versions) > 0 {
			begun++
		}
	}
	return float64(begun) / float64(max(len(p.all), 1))
}

// replaceEngine ends an engine and starts another one with a version some time
// later, listed under a new ID at the same address.
func (f *simulation) replaceEngine(e *simEngine, version string, after time.Duration) {
	f.crash(e)
	f.crashes.restarts++
	id := fmt.Sprintf("%s-%d", e.address, f.crashes.restarts)
	f.after(after, func() {
		f.engines[id] = &simEngine{id: id, zone: e.zone, address: e.address, started: int64(f.now), slots: e.slots, version: version}
		f.publishLate(f.entry(f.engines[id]))
	})
	f.after(simEntryTimeout, func() { f.publishLate(directory.Change{EndpointID: e.id, Revision: 2}) })
}

// replaceAllEngines starts engines with a version and removes the entries of all others,
// which serve on without saying that they leave.
func (f *simulation) replaceAllEngines(version string) {
	for _, oldID := range slices.Sorted(maps.Keys(f.engines)) {
		e := f.engines[oldID]
		e.leaving, e.unlisted = true, true
		id := e.id + "-" + version
		f.engines[id] = &simEngine{id: id, zone: e.zone, address: id, started: int64(f.now), slots: e.slots, version: version}
		f.publish(f.entry(f.engines[id]), directory.Change{EndpointID: e.id, Revision: 4})
	}
}

// listingLag returns how old what an instance reads may be.
func (p *simStreams) listingLag() time.Duration {
	if p == nil {
		return 0
	}
	return p.lag
}

// publishLate delivers a change of the directory to each instance after a time of its
// own.
func (f *simulation) publishLate(change directory.Change) {
	for _, i := range f.instances {
		lag := time.Duration(0)
		if f.streams.lag > 0 {
			lag = time.Duration(f.rand.Int64N(int64(f.streams.lag)))
		}
		incarnation := i.incarnation
		f.after(lag, func() {
			if i.incarnation == incarnation {
				f.step(i, DirectoryRead{Update: directory.Update{ReadAt: int64(f.now.Add(-f.streams.lag)), Batch: directory.Batch{Changes: []directory.Change{change}, Revision: 3}}})
			}
		})
	}
}

// rollOut replaces n engines by ones with a version, one after the other: the new one
// starts, and the old one leaves and ends later.
func (f *simulation) rollOut(version string, n int, interval time.Duration) {
	if n == 0 {
		return
	}
	var old []*simEngine
	for _, e := range f.engines {
		if !e.down && !e.leaving && e.version != version {
			old = append(old, e)
		}
	}
	if len(old) > 0 {
		slices.SortFunc(old, func(a, b *simEngine) int { return strings.Compare(a.id, b.id) })
		e := old[f.rand.IntN(len(old))]
		e.leaving = true
		f.crashes.restarts++
		id := fmt.Sprintf("%s-%d", e.address, f.crashes.restarts)
		f.engines[id] = &simEngine{id: id, zone: e.zone, address: id, started: int64(f.now), slots: e.slots, version: version}
		f.publishLate(f.entry(f.engines[id]))
		f.after(interval, func() {
			leaving := f.entry(e)
			leaving.Endpoint.Leaving = true
			f.publishLate(leaving)
		})
		f.after(interval+simDrainTime, func() {
			if !e.down {
				f.crash(e)
			}
			f.publishLate(directory.Change{EndpointID: e.id, Revision: 2})
		})
	}
	f.after(interval, func() { f.rollOut(version, n-1, interval) })
}

// randomEngine returns an engine that serves.
func (f *simulation) randomEngine() *simEngine {
	var up []string
	for id, e := range f.engines {
		if !e.down {
			up = append(up, id)
		}
	}
	slices.Sort(up)
	return f.engines[up[f.rand.IntN(len(up))]]
}
