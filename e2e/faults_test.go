package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstair/balsamstair/internal/standin"
)

// fault is one kind of fault that a schedule may draw.
type fault struct {
	name string
	run  func(c *schedule, r *rand.Rand)
}

// faults are all kinds. Each ends what it began, but for what heal ends.
var faults = []fault{
	{"kill", (*schedule).faultKill},
	{"kill of all", (*schedule).faultKillAll},
	{"pause", (*schedule).faultPause},
	{"cut of two", (*schedule).faultCutTwo},
	{"cut of one from all", (*schedule).faultIsolate},
	{"cut from platform", (*schedule).faultCutPlatform},
	{"platform down", platformFault(standin.PlatformFaults{Down: true})},
	{"platform silent", platformFault(standin.PlatformFaults{Silent: true})},
	{"platform stale", platformFault(standin.PlatformFaults{Stale: true})},
	{"racing operators", (*schedule).faultRace},
	{"lower revision", (*schedule).faultLower},
	{"bad file", (*schedule).faultBadFile},
	{"engine crash", (*schedule).faultEngineCrash},
	{"straggler", engineFault(func(f *standin.EngineFaults) { f.SlowFactor = 12 })},
	{"endpoint leaving", (*schedule).faultLeaving},
	{"streams cut", engineFault(func(f *standin.EngineFaults) { f.CutAfterEvents = 2 })},
	{"crossed answers", engineFault(func(f *standin.EngineFaults) { f.CrossedPercent = 30 })},
	{"late answers", engineFault(func(f *standin.EngineFaults) { f.AnswerDelayMS = 1500 })},
	{"crashing request", (*schedule).faultPoison},
	{"planned stop", (*schedule).faultStop},
	{"planned stop of all", (*schedule).faultStopAll},
	{"burst", (*schedule).faultBurst},
}

// schedule is one seeded run of a site under load and faults.
type schedule struct {
	*site
	seed uint64
	load *load

	mu         sync.Mutex
	trace      []string
	drawn      map[string]int
	disturbing []interval
	marks      []mark
	// busy guards the process of each instance: one fault at a time.
	busy []sync.Mutex
}

// mark is a moment from which times are measured.
type mark struct {
	what string
	at   time.Time
	on   *instance
	// process is the one that was running at the moment.
	process *process
}

func (c *schedule) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace = append(c.trace, time.Now().Format(clock)+" "+fmt.Sprintf(format, args...))
}

func (c *schedule) mark(what string, on *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = append(c.marks, mark{what, time.Now(), on, on.current()})
}

// disturb keeps a time in which instances may not know of each other.
func (c *schedule) disturb(f func()) {
	begin := time.Now()
	c.mu.Lock()
	n := len(c.disturbing)
	c.disturbing = append(c.disturbing, interval{begin: begin})
	c.mu.Unlock()
	f()
	c.mu.Lock()
	c.disturbing[n].end = time.Now().Add(disturbance)
	c.mu.Unlock()
}

func (c *schedule) disturbed(begin, end time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.disturbing {
		if d.overlaps(begin, end) {
			return true
		}
	}
	return false
}

// between returns a time drawn from a range in milliseconds.
func between(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond
}

// take draws an instance whose process no other fault is at, and returns how
// to give it back; nil where there is none.
func (c *schedule) take(r *rand.Rand) (*instance, func()) {
	for range 2 * len(c.instances) {
		i := r.IntN(len(c.instances))
		if c.busy[i].TryLock() {
			return c.instances[i], c.busy[i].Unlock
		}
	}
	return nil, nil
}

func (c *schedule) faultKill(r *rand.Rand) {
	in, done := c.take(r)
	if in == nil {
		return
	}
	defer done()
	wait := between(r, 0, 4000)
	c.disturb(func() {
		c.note("kill %s, start again after %s", in.name, wait)
		c.mark("kill", in)
		in.kill()
		time.Sleep(wait)
		c.mark("start", in)
		in.start()
		in.waitReady()
	})
}

// faultKillAll ends all processes at once and starts others.
func (c *schedule) faultKillAll(*rand.Rand) {
	var taken []*instance
	for i, in := range c.instances {
		if c.busy[i].TryLock() {
			defer c.busy[i].Unlock()
			taken = append(taken, in)
		}
	}
	c.disturb(func() {
		c.note("kill %d instances at once", len(taken))
		for _, in := range taken {
			in.kill()
		}
		for _, in := range taken {
			c.mark("start", in)
			in.start()
		}
		for _, in := range taken {
			in.waitReady()
		}
	})
}

func (c *schedule) faultPause(r *rand.Rand) {
	in, done := c.take(r)
	if in == nil {
		return
	}
	defer done()
	length := between(r, 500, 8000)
	c.disturb(func() {
		c.note("pause %s for %s", in.name, length)
		c.mark("pause", in)
		in.pause()
		time.Sleep(length)
		in.resume()
		c.mark("resume", in)
	})
}

func (c *schedule) cutState(r *rand.Rand) linkState {
	if r.IntN(2) == 0 {
		return linkRefused
	}
	return linkSilent
}

func (c *schedule) faultCutTwo(r *rand.Rand) {
	a, b := c.instances[r.IntN(len(c.instances))], c.instances[r.IntN(len(c.instances))]
	state, length := c.cutState(r), between(r, 500, 7000)
	c.disturb(func() {
		c.note("cut %s from %s (%d) for %s", a.name, b.name, state, length)
		c.cut(a, b, state)
		time.Sleep(length)
		c.cut(a, b, linkOpen)
		c.mark("cut healed", a)
	})
}

func (c *schedule) faultIsolate(r *rand.Rand) {
	a := c.instances[r.IntN(len(c.instances))]
	state, length := c.cutState(r), between(r, 500, 7000)
	c.disturb(func() {
		c.note("cut %s from all (%d) for %s", a.name, state, length)
		c.mark("cut", a)
		c.isolate(a, state)
		time.Sleep(length)
		c.isolate(a, linkOpen)
		c.mark("cut healed", a)
	})
}

func (c *schedule) faultCutPlatform(r *rand.Rand) {
	a, state, length := c.instances[r.IntN(len(c.instances))], c.cutState(r), between(r, 1000, 8000)
	c.note("cut %s from the platform (%d) for %s", a.name, state, length)
	a.view.link.set(state)
	c.publish(c.next())
	time.Sleep(length)
	a.view.link.set(linkOpen)
}

// platformFault puts a fault on the platform of all instances and publishes
// under it.
func platformFault(f standin.PlatformFaults) func(*schedule, *rand.Rand) {
	return func(c *schedule, r *rand.Rand) {
		length := between(r, 1000, 8000)
		c.note("platform %+v for %s", f, length)
		for _, in := range c.instances {
			in.view.platform.SetFaults(f)
		}
		c.publish(c.next())
		time.Sleep(length)
		for _, in := range c.instances {
			in.view.platform.SetFaults(standin.PlatformFaults{})
		}
	}
}

// faultRace gives two files of one revision to different instances.
func (c *schedule) faultRace(*rand.Rand) {
	d := c.next()
	c.note("two files of revision %d", d.revision)
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
	// What both operators do next is to look, and one applies a newer file.
	time.Sleep(time.Second)
	c.publish(c.next())
}

// faultLower publishes an older revision to one instance; the platform of the
// others goes on to hold the newest.
func (c *schedule) faultLower(r *rand.Rand) {
	newest := c.next()
	c.publish(newest)
	in := c.instances[r.IntN(len(c.instances))]
	time.Sleep(between(r, 0, 1500))
	c.note("a lower revision than %d for %s", newest.revision, in.name)
	c.publish(c.declaration(newest.revision-1, 0), in)
}

// faultBadFile publishes what is no file to one instance.
func (c *schedule) faultBadFile(r *rand.Rand) {
	in := c.instances[r.IntN(len(c.instances))]
	c.note("a bad file for %s", in.name)
	text := c.next().text()
	in.view.platform.PublishValue("declared", text[:len(text)*2/3])
	time.Sleep(time.Second)
	c.publish(c.next())
}

func (c *schedule) anyEngine(r *rand.Rand) *backEnd {
	all := c.engines()
	return all[r.IntN(len(all))]
}

func (c *schedule) faultEngineCrash(r *rand.Rand) {
	b := c.anyEngine(r)
	c.note("crash %s", b.name)
	b.engine.Crash()
}

// engineFault puts a fault on one engine for a while.
func engineFault(set func(*standin.EngineFaults)) func(*schedule, *rand.Rand) {
	return func(c *schedule, r *rand.Rand) {
		b, length := c.anyEngine(r), between(r, 1000, 6000)
		f := b.engine.Faults()
		set(&f)
		c.note("%s %+v for %s", b.name, f, length)
		b.engine.SetFaults(f)
		time.Sleep(length)
		c.healEngine(b)
	}
}

func (c *schedule) healEngine(b *backEnd) {
	f := b.engine.Faults()
	b.engine.SetFaults(standin.EngineFaults{LoadLagMS: f.LoadLagMS, CacheEventLagMS: f.CacheEventLagMS, RestartMS: f.RestartMS})
}

func (c *schedule) faultLeaving(r *rand.Rand) {
	engineFault(func(f *standin.EngineFaults) { f.Leaving = true })(c, r)
}

// faultPoison lets callers send what crashes any engine.
func (c *schedule) faultPoison(r *rand.Rand) {
	length := between(r, 2000, 5000)
	c.note("requests crash engines for %s", length)
	for _, b := range c.engines() {
		f := b.engine.Faults()
		f.CrashMarker = poisonText
		b.engine.SetFaults(f)
	}
	c.load.poison.Store(true)
	time.Sleep(length)
	c.load.poison.Store(false)
}

func (c *schedule) faultStop(r *rand.Rand) {
	in, done := c.take(r)
	if in == nil {
		return
	}
	defer done()
	c.replace(in)
}

// replace stops an instance and starts a new process in its place.
func (c *schedule) replace(in *instance) {
	c.disturb(func() {
		c.note("stop %s", in.name)
		c.mark("stop", in)
		in.stop()
		c.note("start %s", in.name)
		c.mark("start", in)
		in.start()
		in.waitReady()
	})
}

// faultStopAll replaces all instances one after another.
func (c *schedule) faultStopAll(*rand.Rand) {
	for i, in := range c.instances {
		if c.busy[i].TryLock() {
			c.replace(in)
			c.busy[i].Unlock()
		}
	}
}

// faultBurst sends more than the endpoints can do, lowest tier first.
func (c *schedule) faultBurst(r *rand.Rand) {
	n := 20 + r.IntN(60)
	c.note("burst of %d of each tier", n)
	for i := len(tiers) - 1; i >= 0; i-- {
		c.load.burst(r, n, tiers[i], 1000+r.IntN(3000))
		time.Sleep(between(r, 0, 300))
	}
}
