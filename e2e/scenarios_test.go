package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// scenario is a sequence of steps and faults whose result the checks verify.
type scenario struct {
	name string
	// guard, if set, names the guard in balsamd that prevents the failure which
	// the scenario provokes. The checks must pass with the guard on and find a
	// violation with it off.
	guard string
	cfg   siteConfig
	// run runs the scenario and adds violations that the general checks cannot
	// detect.
	run func(c *schedule, v *violations)
}

var guardScenarios = []scenario{
	{"a re-send after the run does not run again", "NoRecord", smallSite(1), resendAfterRun},
	{"a request refused as not run never runs", "NoBurn", smallSite(1), resendAfterRefusal},
	{"a new owner counts slots that it did not grant", "NoRecovery", siteConfig{zones: []int{3}, engines: 1, services: 1, slots: 4, decodeStep: 60 * time.Millisecond}, ownerKilled},
	{"a higher tier is not shed while a lower one waits", "NoShedOrder", siteConfig{zones: []int{2}, engines: 1, services: 1, slots: 2, decodeStep: 20 * time.Millisecond}, shedOrder},
	{"the revision in force never decreases", "NoUpwardsOnly", smallSite(1), lowerRevision},
	{"a request that crashes endpoints is refused after its second crash", "NoCrashIsolate", siteConfig{zones: []int{2}, engines: 3, services: 1, slots: 4}, crashingRequest},
	{"a graceful shutdown interrupts no run", "NoGracefulStop", siteConfig{zones: []int{2}, engines: 2, services: 1, slots: 4}, gracefulStop},
	{"a leaving endpoint gets no new work", "NoLeavingCheck", siteConfig{zones: []int{2}, engines: 2, services: 1, slots: 4}, leavingEndpoint},
	{"a failed run is not refused as not run", "NoUnknownOnFail", smallSite(1), failedRun},
	// The allowance is one call a second: 2,592,000 calls in a month of 30 days.
	{"restarts do not grant the spend allowance twice", "FullBuckets", siteConfig{zones: []int{2}, engines: 1, services: 1, slots: 4, spendMicros: 2_592_000_000, callMicros: 1000}, restartsAndSpend},
}

func smallSite(instances int) siteConfig {
	return siteConfig{zones: []int{instances}, engines: 1, services: 1, slots: 4}
}

// TestGuardScenarios runs each scenario with its guard off, which must cause a
// violation, and with it on.
func TestGuardScenarios(t *testing.T) {
	for _, sc := range guardScenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			t.Run("guard off", func(t *testing.T) {
				t.Parallel()
				v := sc.execute(t, sc.guard)
				t.Logf("without %s:\n%.600s", sc.guard, v)
				must.Positive(t, len(v.list), must.Sprint("no violation with the guard off"))
			})
			t.Run("guard on", func(t *testing.T) {
				t.Parallel()
				v := sc.execute(t, "")
				must.SliceEmpty(t, v.list, must.Sprint(v))
			})
		})
	}
}

func (sc scenario) execute(t *testing.T, guardsOff string) *violations {
	cfg := sc.cfg
	cfg.guardsOff = guardsOff
	c := newIdleSchedule(t, cfg)
	v := &violations{}
	sc.run(c, v)
	c.load.finish()
	v.list = append(v.list, check(c, c.load.all()).list...)
	return v
}

// newIdleSchedule starts a site without background load.
func newIdleSchedule(t *testing.T, cfg siteConfig) *schedule {
	s := newSite(t, cfg)
	c := &schedule{site: s, faultCounts: map[string]int{}, instanceLocks: make([]sync.Mutex, len(s.instances))}
	c.load = newLoad(s, 0)
	return c
}

// newRequest returns a request with its own marker, by which the checks find its
// runs.
func (c *schedule) newRequest(k kind, tier string, tokens int) requestSpec {
	n := c.load.requestCount.Add(1)
	name := fmt.Sprintf("p-%d", n)
	return requestSpec{
		intent: name, marker: name, kind: k, tier: tier, organisation: organisations[0],
		prompt: "How is a herringbone woven?", tokens: tokens, deadlineMS: 60_000,
	}
}

// sendAsync sends in the background. load.finish waits for it.
func (c *schedule) sendAsync(to *instance, spec requestSpec) {
	c.load.wg.Go(func() { c.load.send(to, spec, nil) })
}

// newTicketedBooking returns a booking with a new ticket, which it obtains by a
// send without a ticket. That send is refused and has a marker of its own, since
// it must never run.
func (c *schedule) newTicketedBooking(to *instance) requestSpec {
	spec := c.newRequest(booking, "gold", 0)
	withoutTicket := spec
	withoutTicket.marker += "-without"
	spec.ticket = c.load.send(to, withoutTicket, nil).receivedTicket
	must.NotEq(c.t, "", spec.ticket)
	return spec
}

// resendAfterRun sends a booking three times with the same ticket. A second run
// of it is a violation.
func resendAfterRun(c *schedule, v *violations) {
	spec := c.newTicketedBooking(c.instances[0])
	for range 3 {
		a := c.load.send(c.instances[0], spec, nil)
		must.True(c.t, a.complete, must.Sprint(a))
	}
}

// resendAfterRefusal lets the deadline of a booking pass while its service
// restarts, so that it is refused as not run, and sends it again once the service
// has returned. A run of it is a violation.
func resendAfterRefusal(c *schedule, v *violations) {
	b := c.services()[0]
	f := b.service.Faults()
	f.RestartMS = 2500
	b.service.SetFaults(f)
	spec := c.newTicketedBooking(c.instances[0])
	b.service.Crash()
	spec.deadlineMS = 600
	a := c.load.send(c.instances[0], spec, nil)
	must.NotNil(c.t, a.refusal, must.Sprint(a))
	must.True(c.t, a.refusal.NotRun, must.Sprint(a))
	time.Sleep(6 * time.Second)
	spec.deadlineMS = 60_000
	c.load.send(c.instances[0], spec, nil)
}

// status reads the status of the instance from its operator interface.
func (in *instance) status() (st struct {
	Held      int `json:"held_requests"`
	Waiting   int `json:"waiting_requests"`
	Endpoints []struct {
		Name    string `json:"name"`
		Owned   bool   `json:"owned"`
		Granted int    `json:"granted"`
	} `json:"endpoints"`
}, err error) {
	resp, err := http.Get("http://" + in.operatorAddress + "/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// ownerOf returns the instance that owns an endpoint, and the others of its
// zone.
func (c *schedule) ownerOf(endpoint string) (owner *instance, others []*instance) {
	for end := time.Now().Add(livenessTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		owner, others = nil, nil
		for _, in := range c.instances {
			st, err := in.status()
			must.NoError(c.t, err)
			owned := false
			for _, e := range st.Endpoints {
				owned = owned || e.Name == endpoint && e.Owned
			}
			switch {
			case owned && owner == nil:
				owner = in
			case owned:
				// There are two owners for a moment: poll again.
				owner = nil
				others = nil
			default:
				others = append(others, in)
			}
		}
		if owner != nil && len(others) == len(c.instances)-1 {
			return owner, others
		}
	}
	c.t.Fatal("no single owner of " + endpoint)
	return nil, nil
}

// running returns how many requests an engine reports as running.
func running(b *testEndpoint) int {
	resp, err := http.Get("http://" + b.address + "/v1/load")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var load struct {
		Running int `json:"running"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&load)
	return load.Running
}

// disableLoadLag makes an engine report its load without delay.
func disableLoadLag(b *testEndpoint) {
	f := b.engine.Faults()
	f.LoadLagMS = 0
	b.engine.SetFaults(f)
}

// ownerKilled kills the owner of a full endpoint for which more requests wait,
// while the instance that holds its slots sends no reports for some time.
func ownerKilled(c *schedule, v *violations) {
	b := c.engines()[0]
	disableLoadLag(b)
	owner, others := c.ownerOf(b.name)
	nextOwner, holder := others[0], others[1]
	if rendezvousWeight(holder, b.name) > rendezvousWeight(nextOwner, b.name) {
		nextOwner, holder = holder, nextOwner
	}
	for range b.slots {
		c.sendAsync(holder, c.newRequest(streamedChat, "gold", 100))
	}
	time.Sleep(500 * time.Millisecond)
	for range 2 * b.slots {
		c.sendAsync(nextOwner, c.newRequest(streamedChat, "gold", 100))
	}
	time.Sleep(200 * time.Millisecond)
	owner.kill()
	time.Sleep(time.Second)
	holder.pause()
	maxRunning := 0
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		maxRunning = max(maxRunning, running(b))
	}
	holder.resume()
	c.t.Logf("at most %d requests ran on %d slots", maxRunning, b.slots)
	// The slots in use must be reported by the next owner itself and by the
	// holder. The next owner may grant half of the slots before the holder has
	// reported.
	if maxRunning > b.slots+b.slots/2 {
		v.add(duplicateRun, "%d requests ran on %d slots after the owner was killed", maxRunning, b.slots)
	}
}

// rendezvousWeight returns the weight of an instance in the rendezvous hash that
// determines the next owner: SplitMix64, as in internal/reducer.
func rendezvousWeight(in *instance, endpoint string) uint64 {
	l, _ := in.current().find(time.Time{}, "event=started")
	id, _ := strconv.ParseUint(l.field("incarnation"), 10, 64)
	x := (id ^ xxhash.Sum64String(endpoint)) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// shedOrder fills the queues of both instances with a low tier and then sends
// more requests of a high tier than can be served before their deadlines.
func shedOrder(c *schedule, v *violations) {
	for i := range 60 {
		spec := c.newRequest(streamedChat, "bronze", 20)
		c.sendAsync(c.instances[i%2], spec)
	}
	time.Sleep(500 * time.Millisecond)
	for range 60 {
		spec := c.newRequest(streamedChat, "gold", 20)
		spec.deadlineMS = 1500
		c.sendAsync(c.instances[0], spec)
	}
}

// lowerRevision publishes a file with a lower revision than the one in force, and
// waits long enough for the instance to read it.
func lowerRevision(c *schedule, v *violations) {
	low, high := c.nextDeclaration(), c.nextDeclaration()
	c.publish(high)
	must.True(c.t, c.instances[0].waitFile(c.newestFile()))
	c.publish(low)
	time.Sleep(3 * time.Second)
	if in, err := c.instances[0].probe(high.revision, high.variant); err != nil || !in {
		v.add(configuration, "revision %d is not in force any more (%v)", high.revision, err)
	}
}

// crashesAllowed is the number of crashes after which a request with the same
// content is refused.
const crashesAllowed = 2

// crashingRequest sends a request that crashes its engine, five times, and then
// a request that does not.
func crashingRequest(c *schedule, v *violations) {
	for _, b := range c.engines() {
		b.engine.SetFaults(standin.EngineFaults{CrashMarker: poisonPrompt, RestartMS: 300})
	}
	time.Sleep(1500 * time.Millisecond)
	spec := c.newRequest(streamedChat, "gold", 4)
	spec.prompt, spec.poison = poisonPrompt, true
	for i := range 5 {
		c.load.send(c.instances[i%2], spec, nil)
		// Wait until the crash has been detected before the next send.
		time.Sleep(2500 * time.Millisecond)
	}
	if n := c.recorder.Dispatches(spec.marker); n > crashesAllowed {
		v.add(duplicateRun, "the request crashed %d endpoints", n)
	}
	a := c.load.send(c.instances[0], c.newRequest(streamedChat, "gold", 4), nil)
	must.True(c.t, a.complete, must.Sprint("an unrelated request failed: ", a))
}

// gracefulStop stops an instance during answers that take longer than it waits
// for slow readers.
func gracefulStop(c *schedule, v *violations) {
	var started sync.WaitGroup
	for range 4 {
		started.Add(1)
		spec := c.newRequest(streamedChat, "gold", 1000)
		c.load.wg.Go(func() {
			var once sync.Once
			c.load.send(c.instances[0], spec, func(*attempt) { once.Do(started.Done) })
		})
	}
	started.Wait()
	must.True(c.t, c.instances[0].stop())
}

// leavingEndpoint sends requests while one of two engines reports that it is
// leaving.
func leavingEndpoint(c *schedule, v *violations) {
	b := c.engines()[0]
	f := b.engine.Faults()
	f.Leaving = true
	b.engine.SetFaults(f)
	for i := range 80 {
		c.sendAsync(c.instances[i%2], c.newRequest(streamedChat, "gold", 4))
		time.Sleep(100 * time.Millisecond)
	}
}

// failedRun sends a booking to a service that resets the connection after it has
// run the request. The refusal must not say that the request did not run.
func failedRun(c *schedule, v *violations) {
	b := c.services()[0]
	f := b.service.Faults()
	f.ResetAfter = true
	b.service.SetFaults(f)
	a := c.load.send(c.instances[0], c.newTicketedBooking(c.instances[0]), nil)
	must.NotNil(c.t, a.refusal, must.Sprint(a))
}

// restartsAndSpend restarts instances under a spend allowance of one booking a
// second for each organisation.
func restartsAndSpend(c *schedule, v *violations) {
	begin := c.instances[0].current().started
	for round := range 3 {
		for i := range 30 {
			in := c.instances[i%2]
			spec := c.newTicketedBooking(in)
			spec.deadlineMS = 1000
			c.sendAsync(in, spec)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if round < 2 {
			for _, in := range c.instances {
				in.kill()
				in.start()
				in.waitReady()
			}
		}
	}
	c.load.finish()
	ran, seconds := len(postRuns(c.recorder.Runs(""))), time.Since(begin).Seconds()
	c.t.Logf("%d bookings ran in %.1f s", ran, seconds)
	if float64(ran) > seconds {
		v.add(duplicateRun, "%d bookings ran in %.1f s at one a second", ran, seconds)
	}
}

// faultScenarios have no guard to switch off: each one reproduces a past fault
// or shows that an external fault is tolerated.
var faultScenarios = []scenario{
	{"an interrupted stream is resumed without loss", "", smallSite(2), resumedStreams},
	{"mismatched answers reach no caller", "", smallSite(2), mismatchedAnswers},
	{"a graceful shutdown drops no connection that is being established", "", smallSite(2), stopDuringConnects},
	{"an instance without a file does not refuse a ticket as not run", "", smallSite(2), ticketBeforeReady},
	{"a forwarded answer whose holder is killed is visibly incomplete", "", siteConfig{zones: []int{2}, engines: 1, services: 1, slots: 4, decodeStep: 40 * time.Millisecond}, forwardedAnswerAborted},
	{"a late non-streamed answer is complete", "", smallSite(2), lateNonStreamedAnswers},
	{"a non-streamed answer whose engine crashes is refused", "", siteConfig{zones: []int{1}, engines: 1, services: 1, slots: 4, decodeStep: 40 * time.Millisecond}, nonStreamedAnswerFails},
	{"an isolated zone continues to serve", "", siteConfig{zones: []int{2, 2}, engines: 1, services: 1, slots: 4}, isolatedZone},
	{"racing operators converge to one file", "", smallSite(3), racingOperators},
	{"a restarted instance is not ready with an older file", "", smallSite(3), staleRestart},
}

// TestFaultScenarios runs the scenarios without a guard.
func TestFaultScenarios(t *testing.T) {
	for _, sc := range faultScenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			v := sc.execute(t, "")
			must.SliceEmpty(t, v.list, must.Sprint(v))
		})
	}
}

// resumedStreams interrupts every stream after three events.
func resumedStreams(c *schedule, v *violations) {
	b := c.engines()[0]
	f := b.engine.Faults()
	f.CutAfterEvents = 3
	b.engine.SetFaults(f)
	for i := range 8 {
		a := c.load.send(c.instances[i%2], c.newRequest(streamedChat, "gold", 12), nil)
		if !a.complete {
			v.add(lost, "not resumed: %s", a)
		}
	}
	for _, r := range postRuns(c.recorder.Runs("")) {
		if r.Resumes == 0 {
			v.add(lost, "the stream was not interrupted, so the scenario proves nothing: %s", describeRuns([]standin.Run{r}))
		}
	}
}

// mismatchedAnswers makes the engine return the answer of another running request
// to every request.
func mismatchedAnswers(c *schedule, v *violations) {
	b := c.engines()[0]
	f := b.engine.Faults()
	f.RequestIDMismatchPercent = 100
	b.engine.SetFaults(f)
	for i := range 24 {
		c.sendAsync(c.instances[i%2], c.newRequest(streamedChat, "gold", 12))
	}
	c.load.finish()
	mismatched := 0
	for _, a := range c.load.all() {
		if a.refusal != nil && a.refusal.Reason == refusal.EndpointFailed {
			mismatched++
		}
	}
	if mismatched == 0 {
		v.add(wrongAnswer, "no answer was mismatched, so the scenario proves nothing")
	}
}

// stopDuringConnects stops an instance immediately after requests were sent to
// it.
func stopDuringConnects(c *schedule, v *violations) {
	for range 40 {
		c.sendAsync(c.instances[0], c.newRequest(streamedChat, "gold", 4))
	}
	must.True(c.t, c.instances[0].stop())
}

// ticketBeforeReady sends the ticket of a completed booking to an instance that
// has restarted and can obtain no declared file, neither from the platform nor
// from its peer.
func ticketBeforeReady(c *schedule, v *violations) {
	a, b := c.instances[0], c.instances[1]
	spec := c.newTicketedBooking(a)
	first := c.load.send(a, spec, nil)
	must.True(c.t, first.complete, must.Sprint(first))
	b.kill()
	c.setAllLinks(b, linkRefused)
	b.view.link.set(linkRefused)
	p := b.start()
	for end := time.Now().Add(livenessTimeout); !p.wasListening(time.Now()) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	second := c.load.send(b, spec, nil)
	must.NotNil(c.t, second.refusal, must.Sprint(second))
	must.EqOp(c.t, refusal.NotReady, second.refusal.Reason)
}

// forwardedAnswerAborted joins a running answer through the other instance and
// kills the instance that holds it.
func forwardedAnswerAborted(c *schedule, v *violations) {
	a, b := c.instances[0], c.instances[1]
	spec := c.newRequest(streamedChat, "gold", 200)
	joined := make(chan struct{})
	c.load.send(a, spec, func(first *attempt) {
		again := spec
		again.ticket = first.receivedTicket
		c.load.wg.Go(func() {
			c.load.send(b, again, func(*attempt) { close(joined) })
		})
		<-joined
		time.Sleep(300 * time.Millisecond)
		a.kill()
	})
	c.load.finish()
	for _, x := range c.load.all() {
		if x.to == b && !x.incomplete && x.answerError == "" {
			v.add(wrongAnswer, "not incomplete: %s", x)
		}
	}
}

// nonStreamedAnswerFails crashes the engine during a non-streamed answer.
func nonStreamedAnswerFails(c *schedule, v *violations) {
	c.sendAsync(c.instances[0], c.newRequest(nonStreamedChat, "gold", 200))
	time.Sleep(time.Second)
	c.engines()[0].engine.Crash()
	c.load.finish()
	must.NotNil(c.t, c.load.all()[0].refusal, must.Sprint(c.load.all()[0]))
}

// lateNonStreamedAnswers delays answers until they arrive in one piece, with a
// content length.
func lateNonStreamedAnswers(c *schedule, v *violations) {
	b := c.engines()[0]
	f := b.engine.Faults()
	f.AnswerDelayMS = 800
	b.engine.SetFaults(f)
	for i, k := range []kind{nonStreamedChat, streamedChat, nonStreamedChat, streamedChat} {
		c.sendAsync(c.instances[i%2], c.newRequest(k, "gold", 4))
	}
	c.load.finish()
	for _, a := range c.load.all() {
		if !a.complete {
			v.add(lost, "not complete: %s", a)
		}
	}
}

// isolatedZone makes the platform unreachable, at first without restarting any
// instance. Instances connect to no other zone, so each zone is then on its own.
func isolatedZone(c *schedule, v *violations) {
	for _, in := range c.instances {
		in.view.link.set(linkStalled)
	}
	time.Sleep(2 * time.Second)
	for i := range 16 {
		a := c.load.send(c.instances[i%4], c.newRequest(streamedChat, "silver", 4), nil)
		if !a.complete {
			v.add(lost, "an isolated zone does not serve: %s", a)
		}
	}
	// An instance that is restarted meanwhile obtains the file from its peer.
	c.instances[0].kill()
	c.instances[0].start()
	c.instances[0].waitReady()
	if a := c.load.send(c.instances[0], c.newRequest(streamedChat, "silver", 4), nil); !a.complete {
		v.add(lost, "a restarted instance of an isolated zone does not serve: %s", a)
	}
}

// racingOperators publishes a different file of the same revision to each
// instance. Only the variant with the highest digest may stay in force.
func racingOperators(c *schedule, v *violations) {
	d := c.nextDeclaration()
	for variant, in := range c.instances {
		d.variant = variant
		c.publish(d, in)
	}
	checkInForce(v, c.site)
	for _, in := range c.instances {
		for variant := range c.instances {
			if inForce, err := in.probe(d.revision, variant); err != nil || inForce != (variant == c.newestFile().variant) {
				v.add(configuration, "%s: variant %d in force: %v (%v)", in.name, variant, inForce, err)
			}
		}
	}
}

// staleRestart restarts an instance whose view of the platform is stale. Its
// peers have a newer file in force, so the instance must have that file in
// force before it reports that it is ready.
func staleRestart(c *schedule, v *violations) {
	in := c.instances[0]
	in.view.platform.SetFaults(standin.PlatformFaults{Stale: true})
	c.publish(c.nextDeclaration())
	newest := c.newestFile()
	must.True(c.t, in.waitFile(newest))
	for range 5 {
		in.kill()
		p := in.start()
		in.waitReady()
		inForce := uint64(0)
		for _, l := range p.logLines() {
			if strings.Contains(l.text, "event=ready ready=true") {
				break
			}
			if strings.Contains(l.text, "event=file_adopted") {
				inForce, _ = strconv.ParseUint(l.field("revision"), 10, 64)
			}
		}
		if inForce < newest.revision {
			v.add(configuration, "%s was ready with revision %d in force, its peers had %d:\n%s", in.name, inForce, newest.revision, in.dump())
			return
		}
	}
}
