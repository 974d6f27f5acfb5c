package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Behaviour of callers, in percent of their requests.
const (
	bookingPercent      = 25
	nonStreamedPercent  = 15
	resendDuringPercent = 12
	resendAfterPercent  = 12
	disconnectPercent   = 6
	deadlinePercent     = 20
	sameInstanceOneIn   = 2
)

// maxTries limits the tries of one intent, and maxSends the sends of one
// ticket.
const (
	maxTries = 4
	maxSends = 6
)

// poisonPrompt is a prompt that crashes engines whose crash marker it is.
const poisonPrompt = "poison-ivy"

// load is a group of callers that send requests until finish is called.
type load struct {
	*callers
	seed         uint64
	requestCount atomic.Uint64
	stopping     atomic.Bool
	wg           sync.WaitGroup
	// poison makes callers send requests that crash engines.
	poison atomic.Bool
}

func newLoad(s *site, seed uint64) *load {
	return &load{callers: newCallers(s), seed: seed}
}

// run starts n callers, each with its own random number generator.
func (l *load) run(n int) {
	for i := range n {
		l.wg.Go(func() {
			r := rand.New(rand.NewPCG(l.seed, uint64(i)))
			for !l.stopping.Load() {
				l.runIntent(r)
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			}
		})
	}
}

// finish lets each caller complete its current intent and waits for all of
// them.
func (l *load) finish() {
	l.stopping.Store(true)
	l.wg.Wait()
}

// burst sends n requests of one tier at once.
func (l *load) burst(r *rand.Rand, n int, tier string, deadlineMS int) {
	for range n {
		spec := l.randomRequest(r, streamedChat)
		spec.tier, spec.deadlineMS, spec.tokens = tier, deadlineMS, 20
		to := l.randomInstance(r)
		l.wg.Go(func() { l.send(to, spec, nil) })
	}
}

func (l *load) randomInstance(r *rand.Rand) *instance {
	return l.site.instances[r.IntN(len(l.site.instances))]
}

// sameZoneInstance returns the same instance or another one of its zone.
func (l *load) sameZoneInstance(r *rand.Rand, from *instance) *instance {
	if r.IntN(sameInstanceOneIn) == 0 {
		return from
	}
	for range 20 {
		if in := l.randomInstance(r); in != from && in.zone == from.zone {
			return in
		}
	}
	return from
}

func percent(r *rand.Rand, p int) bool { return r.IntN(100) < p }

func (l *load) randomRequest(r *rand.Rand, k kind) requestSpec {
	n := l.requestCount.Add(1)
	a := requestSpec{
		intent: fmt.Sprintf("s%d-%d", l.seed, n), kind: k,
		tier: tiers[r.IntN(len(tiers))], organisation: organisations[r.IntN(len(organisations))],
		prompt: fmt.Sprintf("How is pattern %d woven?", r.IntN(40)), tokens: 2 + r.IntN(12),
	}
	if percent(r, 10) {
		a.tokens = 60
	}
	if percent(r, deadlinePercent) {
		a.deadlineMS = 500 + r.IntN(4000)
	}
	a.marker = a.intent + "-1"
	return a
}

// runIntent runs one intent until it is complete.
func (l *load) runIntent(r *rand.Rand) {
	switch {
	case l.poison.Load() && percent(r, 3):
		l.sendPoison(r)
	case percent(r, bookingPercent):
		l.runBooking(r)
	case percent(r, nonStreamedPercent):
		l.runChat(r, nonStreamedChat)
	default:
		l.runChat(r, streamedChat)
	}
}

// sendPoison sends the same crashing request repeatedly.
func (l *load) sendPoison(r *rand.Rand) {
	spec := l.randomRequest(r, streamedChat)
	spec.poison, spec.prompt = true, poisonPrompt
	for range maxTries {
		a := l.send(l.randomInstance(r), spec, nil)
		if a.complete || a.refusal != nil && a.refusal.Reason == refusal.CrashSuspect {
			return
		}
		time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
	}
}

// runChat retries until an answer is complete. Without a ticket each try is a
// new request with its own marker.
func (l *load) runChat(r *rand.Rand, kind kind) {
	spec := l.randomRequest(r, kind)
	if kind == streamedChat && percent(r, disconnectPercent) {
		spec.disconnectAfter = 1 + r.IntN(3)
	}
	to := l.randomInstance(r)
	for try := 1; try <= maxTries; try++ {
		spec.marker, spec.ticket = fmt.Sprintf("%s-%d", spec.intent, try), ""
		a := l.sendMaybeTwice(r, to, spec)
		if !a.complete && a.receivedTicket != "" && a.refusal == nil {
			spec.ticket, spec.disconnectAfter = a.receivedTicket, 0
			a = l.resendUntilFinal(r, to, spec)
		}
		if a.complete {
			l.maybeResend(r, to, spec, a)
			return
		}
		if !l.backOff(r, a) {
			return
		}
		to = l.sameZoneInstance(r, to)
	}
}

// runBooking obtains a ticket and sends it until the answer is final. It
// obtains a new ticket only after a refusal as not run.
func (l *load) runBooking(r *rand.Rand) {
	spec := l.randomRequest(r, booking)
	to := l.randomInstance(r)
	for try := 1; try <= maxTries; try++ {
		// A request without a ticket must never run, whatever is sent later.
		spec.marker, spec.ticket = fmt.Sprintf("%s-%d-without", spec.intent, try), ""
		a := l.send(to, spec, nil)
		if a.refusal != nil && a.refusal.Reason == refusal.TicketNeeded {
			spec.marker, spec.ticket = fmt.Sprintf("%s-%d", spec.intent, try), a.receivedTicket
			a = l.resendUntilFinal(r, to, spec)
			if a.complete {
				l.maybeResend(r, to, spec, a)
				return
			}
			if a.refusal == nil || !a.refusal.NotRun {
				return
			}
		}
		if !l.backOff(r, a) {
			return
		}
		to = l.sameZoneInstance(r, to)
	}
}

// resendUntilFinal sends a ticket, to the same or another instance, until the
// answer states the outcome of the request.
func (l *load) resendUntilFinal(r *rand.Rand, to *instance, spec requestSpec) *attempt {
	var a *attempt
	for range maxSends {
		a = l.sendMaybeTwice(r, to, spec)
		if a.complete || a.refusal != nil && a.refusal.Reason != refusal.AlreadyRunning {
			return a
		}
		time.Sleep(time.Duration(50+r.IntN(600)) * time.Millisecond)
		to = l.sameZoneInstance(r, to)
	}
	return a
}

// sendMaybeTwice sends a request, and in some cases sends the same ticket a
// second time while the first send is in progress.
func (l *load) sendMaybeTwice(r *rand.Rand, to *instance, spec requestSpec) *attempt {
	if !percent(r, resendDuringPercent) {
		return l.send(to, spec, nil)
	}
	other, second := l.sameZoneInstance(r, to), spec
	second.disconnectAfter = 0
	if spec.ticket != "" {
		wait := time.Duration(r.IntN(30)) * time.Millisecond
		l.wg.Go(func() {
			time.Sleep(wait)
			l.send(other, second, nil)
		})
		return l.send(to, spec, nil)
	}
	return l.send(to, spec, func(a *attempt) {
		if second.ticket = a.receivedTicket; second.ticket != "" && a.endpoint != "" {
			l.wg.Go(func() { l.send(other, second, nil) })
		}
	})
}

// maybeResend sends a ticket again in some cases after its answer is complete.
func (l *load) maybeResend(r *rand.Rand, to *instance, spec requestSpec, a *attempt) {
	if spec.ticket == "" {
		spec.ticket = a.receivedTicket
	}
	if spec.ticket != "" && percent(r, resendAfterPercent) {
		spec.disconnectAfter = 0
		l.send(l.sameZoneInstance(r, to), spec, nil)
	}
}

// backOff waits before another try and reports whether there should be one.
func (l *load) backOff(r *rand.Rand, a *attempt) bool {
	if l.stopping.Load() {
		return false
	}
	wait := 100 + r.IntN(200)
	if a.refusal != nil {
		if a.refusal.RetryAfterMS == 0 {
			return false
		}
		wait = min(1500, int(a.refusal.RetryAfterMS))
	}
	time.Sleep(time.Duration(wait) * time.Millisecond)
	return true
}
