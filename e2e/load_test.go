package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
)

// How callers behave, in percent of their requests.
const (
	bookingPercent  = 25
	wholePercent    = 15
	duringPercent   = 12
	afterPercent    = 12
	leavingPercent  = 6
	deadlinePercent = 20
	elsewherePeriod = 2
)

// maxTries bounds the tries of one intent and maxSends the sends of a ticket.
const (
	maxTries = 4
	maxSends = 6
)

// poisonText is what crashes an engine whose crash marker it is.
const poisonText = "poison-ivy"

// load is a group of callers that go on until they are told to end.
type load struct {
	*callers
	seed   uint64
	number atomic.Uint64
	over   atomic.Bool
	wg     sync.WaitGroup
	// poison lets callers send what crashes engines.
	poison atomic.Bool
}

func newLoad(s *site, seed uint64) *load {
	return &load{callers: newCallers(s), seed: seed}
}

// run starts n callers, each with its own stream of random numbers.
func (l *load) run(n int) {
	for i := range n {
		l.wg.Go(func() {
			r := rand.New(rand.NewPCG(l.seed, uint64(i)))
			for !l.over.Load() {
				l.one(r)
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			}
		})
	}
}

// end lets each caller finish what it wants and waits for it.
func (l *load) end() {
	l.over.Store(true)
	l.wg.Wait()
}

// burst sends n requests of one tier at once.
func (l *load) burst(r *rand.Rand, n int, tier string, deadlineMS int) {
	for range n {
		k := l.newAsk(r, streamedChat)
		k.tier, k.deadlineMS, k.tokens = tier, deadlineMS, 20
		to := l.anyInstance(r)
		l.wg.Go(func() { l.send(to, k, nil) })
	}
}

func (l *load) anyInstance(r *rand.Rand) *instance {
	return l.site.instances[r.IntN(len(l.site.instances))]
}

// elsewhere returns the same instance or another of its zone.
func (l *load) elsewhere(r *rand.Rand, from *instance) *instance {
	if r.IntN(elsewherePeriod) == 0 {
		return from
	}
	for range 20 {
		if in := l.anyInstance(r); in != from && in.zone == from.zone {
			return in
		}
	}
	return from
}

func percent(r *rand.Rand, p int) bool { return r.IntN(100) < p }

func (l *load) newAsk(r *rand.Rand, k kind) ask {
	n := l.number.Add(1)
	a := ask{
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

// one carries one intent to its end.
func (l *load) one(r *rand.Rand) {
	switch {
	case l.poison.Load() && percent(r, 3):
		l.poisoned(r)
	case percent(r, bookingPercent):
		l.book(r)
	case percent(r, wholePercent):
		l.chat(r, wholeChat)
	default:
		l.chat(r, streamedChat)
	}
}

// poisoned sends the same crashing content again and again.
func (l *load) poisoned(r *rand.Rand) {
	k := l.newAsk(r, streamedChat)
	k.poison, k.prompt = true, poisonText
	for range maxTries {
		a := l.send(l.anyInstance(r), k, nil)
		if a.whole || a.refused != nil && a.refused.Reason == refusal.CrashSuspect {
			return
		}
		time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
	}
}

// chat asks until an answer is whole; without a ticket each try is a new
// request with a marker of its own.
func (l *load) chat(r *rand.Rand, kind kind) {
	k := l.newAsk(r, kind)
	if kind == streamedChat && percent(r, leavingPercent) {
		k.leaveAfter = 1 + r.IntN(3)
	}
	to := l.anyInstance(r)
	for try := 1; try <= maxTries; try++ {
		k.marker, k.ticket = fmt.Sprintf("%s-%d", k.intent, try), ""
		a := l.sendMaybeTwice(r, to, k)
		if !a.whole && a.ticketGiven != "" && a.refused == nil {
			k.ticket, k.leaveAfter = a.ticketGiven, 0
			a = l.repeat(r, to, k)
		}
		if a.whole {
			l.maybeAfter(r, to, k, a)
			return
		}
		if !l.backOff(r, a) {
			return
		}
		to = l.elsewhere(r, to)
	}
}

// book takes a ticket and sends it until something final is said. A new
// ticket is taken only after "not run".
func (l *load) book(r *rand.Rand) {
	k := l.newAsk(r, booking)
	to := l.anyInstance(r)
	for try := 1; try <= maxTries; try++ {
		// What is sent without a ticket must not run, whatever comes later.
		k.marker, k.ticket = fmt.Sprintf("%s-%d-without", k.intent, try), ""
		a := l.send(to, k, nil)
		if a.refused != nil && a.refused.Reason == refusal.TicketNeeded {
			k.marker, k.ticket = fmt.Sprintf("%s-%d", k.intent, try), a.ticketGiven
			a = l.repeat(r, to, k)
			if a.whole {
				l.maybeAfter(r, to, k, a)
				return
			}
			if a.refused == nil || !a.refused.NotRun {
				return
			}
		}
		if !l.backOff(r, a) {
			return
		}
		to = l.elsewhere(r, to)
	}
}

// repeat sends a ticket, to the same or another instance, until the answer
// says what became of it.
func (l *load) repeat(r *rand.Rand, to *instance, k ask) *attempt {
	var a *attempt
	for range maxSends {
		a = l.sendMaybeTwice(r, to, k)
		if a.whole || a.refused != nil && a.refused.Reason != refusal.AlreadyRunning {
			return a
		}
		time.Sleep(time.Duration(50+r.IntN(600)) * time.Millisecond)
		to = l.elsewhere(r, to)
	}
	return a
}

// sendMaybeTwice sends, and now and then sends the same ticket a second time
// while the first is under way.
func (l *load) sendMaybeTwice(r *rand.Rand, to *instance, k ask) *attempt {
	if !percent(r, duringPercent) {
		return l.send(to, k, nil)
	}
	other, second := l.elsewhere(r, to), k
	second.leaveAfter = 0
	if k.ticket != "" {
		wait := time.Duration(r.IntN(30)) * time.Millisecond
		l.wg.Go(func() {
			time.Sleep(wait)
			l.send(other, second, nil)
		})
		return l.send(to, k, nil)
	}
	return l.send(to, k, func(a *attempt) {
		if second.ticket = a.ticketGiven; second.ticket != "" && a.served != "" {
			l.wg.Go(func() { l.send(other, second, nil) })
		}
	})
}

// maybeAfter sends a ticket again after its whole answer.
func (l *load) maybeAfter(r *rand.Rand, to *instance, k ask, a *attempt) {
	if k.ticket == "" {
		k.ticket = a.ticketGiven
	}
	if k.ticket != "" && percent(r, afterPercent) {
		k.leaveAfter = 0
		l.send(l.elsewhere(r, to), k, nil)
	}
}

// backOff waits before another try and reports whether there should be one.
func (l *load) backOff(r *rand.Rand, a *attempt) bool {
	if l.over.Load() {
		return false
	}
	wait := 100 + r.IntN(200)
	if a.refused != nil {
		if a.refused.RetryAfterMS == 0 {
			return false
		}
		wait = min(1500, int(a.refused.RetryAfterMS))
	}
	time.Sleep(time.Duration(wait) * time.Millisecond)
	return true
}
