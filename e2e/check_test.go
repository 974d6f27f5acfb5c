package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// violationKind groups violations for the table.
type violationKind string

const (
	doubled        violationKind = "doubled"
	lost           violationKind = "lost"
	falselyRefused violationKind = "falsely refused"
	wrongAnswer    violationKind = "wrong answer"
	configuration  violationKind = "configuration"
	leavingWork    violationKind = "work on a leaving endpoint"
	unexpectedEnd  violationKind = "unexpected end of a process"
	notHealed      violationKind = "not healed"
)

// violation is one broken promise.
type violation struct {
	kind violationKind
	text string
}

// verdict is what a check found.
type verdict struct {
	violations []violation
}

func (v *verdict) add(k violationKind, format string, args ...any) {
	v.violations = append(v.violations, violation{k, fmt.Sprintf(format, args...)})
}

func (v *verdict) String() string {
	var b strings.Builder
	for _, x := range v.violations {
		fmt.Fprintf(&b, "%s: %s\n", x.kind, x.text)
	}
	return b.String()
}

// check compares what callers were told with what ran.
func check(c *schedule, attempts []*attempt) *verdict {
	v, s := &verdict{}, c.site
	runs := posts(s.recorder.Runs(""))
	checkDispatches(v, runs, attempts)
	checkNotRun(v, runs, attempts)
	checkAnswers(v, attempts)
	checkLost(v, attempts)
	checkLeaving(v, runs)
	checkTierOrder(v, c, runs, attempts)
	checkProcesses(v, s)
	return v
}

func posts(runs []standin.Run) []standin.Run {
	var all []standin.Run
	for _, r := range runs {
		if r.Method == http.MethodPost {
			r.RequestID = callersName(r.RequestID)
			all = append(all, r)
		}
	}
	return all
}

// callersName is the part of an X-Request-Id that callers are told: the
// incarnation and the number of the request.
func callersName(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return strings.Join(parts[:min(2, len(parts))], "-")
}

// checkDispatches: one POST for each request, one for each marker and, of
// bookings, one for each intent, over all tickets that its caller used.
func checkDispatches(v *verdict, runs []standin.Run, attempts []*attempt) {
	byID, byMarker := map[string][]standin.Run{}, map[string][]standin.Run{}
	for _, r := range runs {
		byID[r.RequestID] = append(byID[r.RequestID], r)
		byMarker[r.User] = append(byMarker[r.User], r)
	}
	for id, all := range byID {
		if len(all) > 1 {
			v.add(doubled, "request %s was dispatched %d times: %s", id, len(all), describe(all))
		}
	}
	intents, poison := map[string]map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		poison[a.marker] = a.poison
		if a.kind == booking {
			if intents[a.intent] == nil {
				intents[a.intent] = map[string]bool{}
			}
			intents[a.intent][a.marker] = true
		}
	}
	for marker, all := range byMarker {
		if marker != "" && len(all) > 1 && !poison[marker] {
			v.add(doubled, "marker %s was dispatched %d times: %s%s", marker, len(all), describe(all), history(attempts, marker))
		}
	}
	for intent, markers := range intents {
		var all []standin.Run
		for m := range markers {
			all = append(all, byMarker[m]...)
		}
		if len(all) > 1 {
			v.add(doubled, "booking %s ran %d times: %s%s", intent, len(all), describe(all), history(attempts, intent))
		}
	}
}

func describe(runs []standin.Run) string {
	var all []string
	for _, r := range runs {
		all = append(all, fmt.Sprintf("[%s %s request=%s user=%s %s]", r.Received.Format(clock), r.Endpoint, r.RequestID, r.User, r.State))
	}
	return strings.Join(all, " ")
}

// history returns what the caller of a marker or an intent was told.
func history(attempts []*attempt, name string) string {
	var b strings.Builder
	for _, a := range attempts {
		if a.marker == name || a.intent == name {
			b.WriteString("\n\t" + a.String())
		}
	}
	return b.String()
}

// checkNotRun: what was refused as not run reached no endpoint, before or
// after.
func checkNotRun(v *verdict, runs []standin.Run, attempts []*attempt) {
	byID, byMarker := map[string]standin.Run{}, map[string]standin.Run{}
	for _, r := range runs {
		byID[r.RequestID] = r
		byMarker[r.User] = r
	}
	for _, a := range attempts {
		if a.refused == nil || !a.refused.NotRun {
			continue
		}
		r, ran := byID[a.requestID]
		if !ran && !a.poison {
			r, ran = byMarker[a.marker]
		}
		if ran {
			v.add(falselyRefused, "not_run is false: %s%s", describe([]standin.Run{r}), history(attempts, a.marker))
		}
	}
}

func checkAnswers(v *verdict, attempts []*attempt) {
	for _, a := range attempts {
		if a.wrong != "" {
			v.add(wrongAnswer, "%s", a)
		}
	}
}

// checkLost: every attempt got a final answer unless its process was killed,
// or was gone or asked to stop before the attempt began. A cut answer must say
// why.
func checkLost(v *verdict, attempts []*attempt) {
	for _, a := range attempts {
		p := a.process
		p.mu.Lock()
		killed, termed := p.killed, p.termed
		p.mu.Unlock()
		excused := !killed.IsZero() && !killed.After(a.end) || !termed.IsZero() && !termed.After(a.begin)
		// A process that was started between the choice and the connection
		// serves the attempt as well.
		excused = excused || a.to.restartedWithin(a.begin, a.end) || !p.listeningAt(a.begin)
		switch {
		case excused || a.left:
		case a.failed != nil:
			v.add(lost, "no final answer: %s", a)
		case a.cut && a.said == "":
			v.add(lost, "cut without a reason: %s", a)
		}
	}
}

// listeningAt reports whether the process had said by then that it serves.
func (p *process) listeningAt(at time.Time) bool {
	l, found := p.find(time.Time{}, "event=started")
	return found && l.at.Before(at)
}

// restartedWithin reports whether a process was started in that time.
func (in *instance) restartedWithin(begin, end time.Time) bool {
	for _, p := range in.processes() {
		if p.started.After(begin) && p.started.Before(end) {
			return true
		}
	}
	return false
}

// leavingLimit is how long an endpoint that is leaving may still get work.
const leavingLimit = 5 * time.Second

func checkLeaving(v *verdict, runs []standin.Run) {
	for _, r := range runs {
		if r.Leaving && r.LeavingMS > leavingLimit.Milliseconds() {
			v.add(leavingWork, "%s had been leaving for %d ms: %s", r.Endpoint, r.LeavingMS, describe([]standin.Run{r}))
		}
	}
}

// What an outside observer can say of the order of shedding: a request of a
// lower tier that was on its way clearly before a higher one was sent, and
// reached an endpoint clearly after the higher one had been refused, waited
// while the higher one was shed.
const (
	orderMargin = 150 * time.Millisecond
	// grantMargin covers the time from a grant to the dispatch.
	grantMargin = 500 * time.Millisecond
	// disturbance is how long after a cut, a pause or a death instances may
	// judge without each other.
	disturbance = 6 * time.Second
)

func shedReason(r refusal.Reason) bool {
	return r == refusal.Shed || r == refusal.TierClosed || r == refusal.DeadlineUnmet
}

func checkTierOrder(v *verdict, c *schedule, runs []standin.Run, attempts []*attempt) {
	received := map[string]time.Time{}
	for _, r := range runs {
		received[r.RequestID] = r.Received
	}
	var waited []*attempt
	for _, a := range attempts {
		if _, ran := received[a.requestID]; ran && a.ticket == "" && a.kind != booking {
			waited = append(waited, a)
		}
	}
	for _, high := range attempts {
		if high.refused == nil || !shedReason(high.refused.Reason) || high.kind == booking || c.disturbed(high.begin, high.end) {
			continue
		}
		for _, low := range waited {
			ran := received[low.requestID]
			if rankOf(low.tier) > rankOf(high.tier) && low.to.zone == high.to.zone &&
				low.begin.Add(orderMargin).Before(high.begin) && ran.After(high.end.Add(grantMargin)) {
				v.add(falselyRefused, "a higher tier was shed while a lower one waited and ran %s:\n\t%s\n\t%s", ran.Format(clock), high, low)
			}
		}
	}
}

// checkProcesses: a process ends only when it was told to, and a planned stop
// succeeds.
func checkProcesses(v *verdict, s *site) {
	for _, in := range s.instances {
		for i, p := range in.processes() {
			p.mu.Lock()
			killed, termed := p.killed, p.termed
			p.mu.Unlock()
			switch {
			case !p.over() || !killed.IsZero() && termed.IsZero():
			case !killed.IsZero():
				v.add(unexpectedEnd, "%s run %d did not stop within %s of SIGTERM:\n%s", in.name, i+1, 2*liveness, in.dump())
			case termed.IsZero() || p.err != nil:
				v.add(unexpectedEnd, "%s run %d ended by itself (%v):\n%s", in.name, i+1, p.err, in.dump())
			}
			if _, found := p.find(time.Time{}, "DATA RACE"); found {
				v.add(unexpectedEnd, "%s run %d has a data race:\n%s", in.name, i+1, in.dump())
			}
			checkUpwards(v, in, i, p)
		}
	}
}

// checkUpwards: the configuration of one process never goes back.
func checkUpwards(v *verdict, in *instance, i int, p *process) {
	last := uint64(0)
	for _, r := range p.revisions() {
		if r < last {
			v.add(configuration, "%s run %d went back from revision %d to %d", in.name, i+1, last, r)
		}
		last = max(last, r)
	}
}

// checkInForce waits until the newest file is in force everywhere and returns
// how long that took.
func checkInForce(v *verdict, s *site) time.Duration {
	newest, begin := s.newest(), time.Now()
	for _, in := range s.instances {
		if !in.waitFile(newest) {
			v.add(configuration, "%s does not have revision %d variant %d in force %s after healing: %v", in.name, newest.revision, newest.variant, liveness, in.current().revisions())
		}
	}
	return time.Since(begin)
}

// checkServes waits until each instance answers, after healing, a chat and a
// booking whole, and returns how long that took.
func checkServes(v *verdict, c *schedule) time.Duration {
	begin := time.Now()
	for _, in := range c.instances {
		for _, k := range []kind{streamedChat, booking} {
			if !c.served(in, k) {
				v.add(notHealed, "%s gives no whole answer to a %s request %s after healing", in.name, k, liveness)
			}
		}
	}
	return time.Since(begin)
}

// served sends new requests until one is answered whole.
func (c *schedule) served(in *instance, k kind) bool {
	for end := time.Now().Add(liveness); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a := c.ask(k, "gold", 2)
		if k == booking {
			without := a
			without.marker += "-without"
			if a.ticket = c.load.send(in, without, nil).ticketGiven; a.ticket == "" {
				continue
			}
		}
		if c.load.send(in, a, nil).whole {
			return true
		}
	}
	return false
}

// checkIdle waits until nothing is held any more and every slot is free: what
// an instance forgot or a lost message left behind would stay.
func checkIdle(v *verdict, s *site) {
	for _, in := range s.instances {
		var left string
		for end := time.Now().Add(liveness); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if left = in.left(); left == "" {
				break
			}
		}
		if left != "" {
			v.add(notHealed, "%s after the load has ended: %s", in.name, left)
		}
	}
}

// left names what an instance still holds.
func (in *instance) left() string {
	st, err := in.status()
	if err != nil {
		return err.Error()
	}
	if st.Held+st.Waiting > 0 {
		return fmt.Sprintf("%d requests are held, %d wait", st.Held, st.Waiting)
	}
	for _, e := range st.Endpoints {
		if e.Owned && e.Granted > 0 {
			return fmt.Sprintf("%d slots of %s are not given back", e.Granted, e.Name)
		}
	}
	return ""
}
