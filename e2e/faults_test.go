package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/standin"
)

// fault is one kind of fault that a schedule may inject.
type fault struct {
	name string
	run  func(c *schedule, r *rand.Rand)
}

// faults lists all kinds. Each fault ends its own effects, except those that
// heal ends.
var faults = []fault{
	{"kill", (*schedule).faultKill},
	{"kill all", (*schedule).faultKillAll},
	{"pause", (*schedule).faultPause},
	{"partition of two", (*schedule).faultPartitionTwo},
	{"isolation of one", (*schedule).faultIsolate},
	{"partition from platform", (*schedule).faultPartitionPlatform},
	{"platform down", platformFault(standin.PlatformFaults{Down: true})},
	{"platform unresponsive", platformFault(standin.PlatformFaults{Silent: true})},
	{"platform stale", platformFault(standin.PlatformFaults{Stale: true})},
	{"racing operators", (*schedule).faultRacingOperators},
	{"lower revision", (*schedule).faultLowerRevision},
	{"bad file", (*schedule).faultBadFile},
	{"engine crash", (*schedule).faultEngineCrash},
	{"straggler", engineFault(func(f *standin.EngineFaults) { f.SlowFactor = 12 })},
	{"endpoint leaving", (*schedule).faultLeaving},
	{"interrupted streams", engineFault(func(f *standin.EngineFaults) { f.CutAfterEvents = 2 })},
	{"mismatched answers", engineFault(func(f *standin.EngineFaults) { f.RequestIDMismatchPercent = 30 })},
	{"late answers", engineFault(func(f *standin.EngineFaults) { f.AnswerDelayMS = 1500 })},
	{"crashing request", (*schedule).faultPoison},
	{"graceful stop", (*schedule).faultStop},
	{"graceful stop of all", (*schedule).faultStopAll},
	{"burst", (*schedule).faultBurst},
}

// schedule is one seeded run of a site under load and faults.
type schedule struct {
	*site
	seed uint64
	load *load

	mu          sync.Mutex
	trace       []string
	faultCounts map[string]int
	disruptions []interval
	marks       []mark
	// instanceLocks allows one fault at a time on the process of each instance.
	instanceLocks []sync.Mutex
}

// mark is a point in time from which durations are measured.
type mark struct {
	what string
	at   time.Time
	on   *instance
	// process is the process that ran at that time.
	process *process
}

func (c *schedule) tracef(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace = append(c.trace, time.Now().Format(traceTimeFormat)+" "+fmt.Sprintf(format, args...))
}

func (c *schedule) addMark(what string, on *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = append(c.marks, mark{what, time.Now(), on, on.current()})
}

// withDisruption runs f and records the interval in which instances may have no
// information about each other.
func (c *schedule) withDisruption(f func()) {
	begin := time.Now()
	c.mu.Lock()
	n := len(c.disruptions)
	c.disruptions = append(c.disruptions, interval{begin: begin})
	c.mu.Unlock()
	f()
	c.mu.Lock()
	c.disruptions[n].end = time.Now().Add(disruptionTail)
	c.mu.Unlock()
}

func (c *schedule) disrupted(begin, end time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.disruptions {
		if d.overlaps(begin, end) {
			return true
		}
	}
	return false
}

// randomDuration returns a random duration from a range in milliseconds.
func randomDuration(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond
}

// lockRandomInstance picks an instance that no other fault is using, and
// returns a function that releases it. It returns nil if there is none.
func (c *schedule) lockRandomInstance(r *rand.Rand) (*instance, func()) {
	for range 2 * len(c.instances) {
		i := r.IntN(len(c.instances))
		if c.instanceLocks[i].TryLock() {
			return c.instances[i], c.instanceLocks[i].Unlock
		}
	}
	return nil, nil
}

func (c *schedule) faultKill(r *rand.Rand) {
	in, release := c.lockRandomInstance(r)
	if in == nil {
		return
	}
	defer release()
	wait := randomDuration(r, 0, 4000)
	c.withDisruption(func() {
		c.tracef("kill %s, start again after %s", in.name, wait)
		c.addMark("kill", in)
		in.kill()
		time.Sleep(wait)
		c.addMark("start", in)
		in.start()
		in.waitReady()
	})
}

// faultKillAll kills all processes at once and starts new ones.
func (c *schedule) faultKillAll(*rand.Rand) {
	var locked []*instance
	for i, in := range c.instances {
		if c.instanceLocks[i].TryLock() {
			defer c.instanceLocks[i].Unlock()
			locked = append(locked, in)
		}
	}
	c.withDisruption(func() {
		c.tracef("kill %d instances at once", len(locked))
		for _, in := range locked {
			in.kill()
		}
		for _, in := range locked {
			c.addMark("start", in)
			in.start()
		}
		for _, in := range locked {
			in.waitReady()
		}
	})
}

func (c *schedule) faultPause(r *rand.Rand) {
	in, release := c.lockRandomInstance(r)
	if in == nil {
		return
	}
	defer release()
	length := randomDuration(r, 500, 8000)
	c.withDisruption(func() {
		c.tracef("pause %s for %s", in.name, length)
		c.addMark("pause", in)
		in.pause()
		time.Sleep(length)
		in.resume()
		c.addMark("resume", in)
	})
}

func (c *schedule) randomLinkState(r *rand.Rand) linkState {
	if r.IntN(2) == 0 {
		return linkRefused
	}
	return linkStalled
}

func (c *schedule) faultPartitionTwo(r *rand.Rand) {
	a, b := c.instances[r.IntN(len(c.instances))], c.instances[r.IntN(len(c.instances))]
	state, length := c.randomLinkState(r), randomDuration(r, 500, 7000)
	c.withDisruption(func() {
		c.tracef("partition %s from %s (%d) for %s", a.name, b.name, state, length)
		c.setLinks(a, b, state)
		time.Sleep(length)
		c.setLinks(a, b, linkOpen)
		c.addMark("partition healed", a)
	})
}

func (c *schedule) faultIsolate(r *rand.Rand) {
	a := c.instances[r.IntN(len(c.instances))]
	state, length := c.randomLinkState(r), randomDuration(r, 500, 7000)
	c.withDisruption(func() {
		c.tracef("isolate %s from all (%d) for %s", a.name, state, length)
		c.addMark("partition", a)
		c.setAllLinks(a, state)
		time.Sleep(length)
		c.setAllLinks(a, linkOpen)
		c.addMark("partition healed", a)
	})
}

func (c *schedule) faultPartitionPlatform(r *rand.Rand) {
	a, state, length := c.instances[r.IntN(len(c.instances))], c.randomLinkState(r), randomDuration(r, 1000, 8000)
	c.tracef("partition %s from the platform (%d) for %s", a.name, state, length)
	a.view.link.set(state)
	c.publish(c.nextDeclaration())
	time.Sleep(length)
	a.view.link.set(linkOpen)
}

// platformFault injects a fault into the platform of all instances and
// publishes a file while it lasts.
func platformFault(f standin.PlatformFaults) func(*schedule, *rand.Rand) {
	return func(c *schedule, r *rand.Rand) {
		length := randomDuration(r, 1000, 8000)
		c.tracef("platform %+v for %s", f, length)
		for _, in := range c.instances {
			in.view.platform.SetFaults(f)
		}
		c.publish(c.nextDeclaration())
		time.Sleep(length)
		for _, in := range c.instances {
			in.view.platform.SetFaults(standin.PlatformFaults{})
		}
	}
}

// faultRacingOperators publishes two files of the same revision to different
// instances.
func (c *schedule) faultRacingOperators(*rand.Rand) {
	d := c.nextDeclaration()
	c.tracef("two files of revision %d", d.revision)
	var halves [2][]*instance
	for i, in := range c.instances {
		halves[i%2] = append(halves[i%2], in)
	}
	for variant, half := range halves {
		if len(half) > 0 {
			d.variant = variant
			c.publish(d, half...)
		}
	}
	// Both operators then read the current state, and one of them applies a
	// newer file.
	time.Sleep(time.Second)
	c.publish(c.nextDeclaration())
}

// faultLowerRevision publishes an older revision to one instance. The platform
// of the others still has the newest.
func (c *schedule) faultLowerRevision(r *rand.Rand) {
	newest := c.nextDeclaration()
	c.publish(newest)
	in := c.instances[r.IntN(len(c.instances))]
	time.Sleep(randomDuration(r, 0, 1500))
	c.tracef("a lower revision than %d for %s", newest.revision, in.name)
	c.publish(c.declaration(newest.revision-1, 0), in)
}

// faultBadFile publishes an invalid file to one instance.
func (c *schedule) faultBadFile(r *rand.Rand) {
	in := c.instances[r.IntN(len(c.instances))]
	c.tracef("an invalid file for %s", in.name)
	text := c.nextDeclaration().toml()
	in.view.platform.PublishValue("declared", text[:len(text)*2/3])
	time.Sleep(time.Second)
	c.publish(c.nextDeclaration())
}

func (c *schedule) randomEngine(r *rand.Rand) *testEndpoint {
	all := c.engines()
	return all[r.IntN(len(all))]
}

func (c *schedule) faultEngineCrash(r *rand.Rand) {
	b := c.randomEngine(r)
	c.tracef("crash %s", b.name)
	b.engine.Crash()
}

// engineFault injects a fault into one engine for a limited time.
func engineFault(set func(*standin.EngineFaults)) func(*schedule, *rand.Rand) {
	return func(c *schedule, r *rand.Rand) {
		b, length := c.randomEngine(r), randomDuration(r, 1000, 6000)
		f := b.engine.Faults()
		set(&f)
		c.tracef("%s %+v for %s", b.name, f, length)
		b.engine.SetFaults(f)
		time.Sleep(length)
		c.healEngine(b)
	}
}

func (c *schedule) healEngine(b *testEndpoint) {
	f := b.engine.Faults()
	b.engine.SetFaults(standin.EngineFaults{LoadLagMS: f.LoadLagMS, CacheEventLagMS: f.CacheEventLagMS, RestartMS: f.RestartMS})
}

func (c *schedule) faultLeaving(r *rand.Rand) {
	engineFault(func(f *standin.EngineFaults) { f.Leaving = true })(c, r)
}

// faultPoison makes callers send requests that crash any engine.
func (c *schedule) faultPoison(r *rand.Rand) {
	length := randomDuration(r, 2000, 5000)
	c.tracef("requests crash engines for %s", length)
	for _, b := range c.engines() {
		f := b.engine.Faults()
		f.CrashMarker = poisonPrompt
		b.engine.SetFaults(f)
	}
	c.load.poison.Store(true)
	time.Sleep(length)
	c.load.poison.Store(false)
}

func (c *schedule) faultStop(r *rand.Rand) {
	in, release := c.lockRandomInstance(r)
	if in == nil {
		return
	}
	defer release()
	c.restart(in)
}

// restart stops an instance gracefully and starts a new process in its place.
func (c *schedule) restart(in *instance) {
	c.withDisruption(func() {
		c.tracef("stop %s", in.name)
		c.addMark("stop", in)
		in.stop()
		c.tracef("start %s", in.name)
		c.addMark("start", in)
		in.start()
		in.waitReady()
	})
}

// faultStopAll restarts all instances one after another.
func (c *schedule) faultStopAll(*rand.Rand) {
	for i, in := range c.instances {
		if c.instanceLocks[i].TryLock() {
			c.restart(in)
			c.instanceLocks[i].Unlock()
		}
	}
}

// faultBurst sends more requests than the endpoints can run, lowest tier first.
func (c *schedule) faultBurst(r *rand.Rand) {
	n := 20 + r.IntN(60)
	c.tracef("burst of %d of each tier", n)
	for i := len(tiers) - 1; i >= 0; i-- {
		c.load.burst(r, n, tiers[i], 1000+r.IntN(3000))
		time.Sleep(randomDuration(r, 0, 300))
	}
}
