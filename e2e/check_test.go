package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/standin"
)

// violationKind groups violations in the summary table.
type violationKind string

const (
	duplicateRun   violationKind = "duplicate run"
	lost           violationKind = "lost"
	falselyRefused violationKind = "falsely refused"
	wrongAnswer    violationKind = "wrong answer"
	configuration  violationKind = "configuration"
	leavingWork    violationKind = "work on a leaving endpoint"
	unexpectedEnd  violationKind = "unexpected end of a process"
	notRecovered   violationKind = "not recovered"
)

// violation is one violated guarantee.
type violation struct {
	kind violationKind
	text string
}

// violations collects the violations that the checks find.
type violations struct {
	list []violation
}

func (v *violations) add(k violationKind, format string, args ...any) {
	v.list = append(v.list, violation{k, fmt.Sprintf(format, args...)})
}

func (v *violations) String() string {
	var b strings.Builder
	for _, x := range v.list {
		fmt.Fprintf(&b, "%s: %s\n", x.kind, x.text)
	}
	return b.String()
}

// check compares the responses that callers received with the requests that
// endpoints ran.
func check(c *schedule, attempts []*attempt) *violations {
	v, s := &violations{}, c.site
	runs := postRuns(s.recorder.Runs(""))
	checkDispatches(v, runs, attempts)
	checkNotRun(v, runs, attempts)
	checkAnswers(v, attempts)
	checkLost(v, attempts)
	checkLeaving(v, runs)
	checkTierOrder(v, c, runs, attempts)
	checkProcesses(v, s)
	return v
}

func postRuns(runs []standin.Run) []standin.Run {
	var all []standin.Run
	for _, r := range runs {
		if r.Method == http.MethodPost {
			r.RequestID = publicRequestID(r.RequestID)
			all = append(all, r)
		}
	}
	return all
}

// publicRequestID returns the part of an X-Request-Id that callers receive: the
// incarnation and the number of the request.
func publicRequestID(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return strings.Join(parts[:min(2, len(parts))], "-")
}

// checkDispatches checks that each request and each marker was dispatched at
// most once, and each booking at most once per intent, over all tickets that
// its caller used.
func checkDispatches(v *violations, runs []standin.Run, attempts []*attempt) {
	byID, byMarker := map[string][]standin.Run{}, map[string][]standin.Run{}
	for _, r := range runs {
		byID[r.RequestID] = append(byID[r.RequestID], r)
		byMarker[r.User] = append(byMarker[r.User], r)
	}
	for id, all := range byID {
		if len(all) > 1 {
			v.add(duplicateRun, "request %s was dispatched %d times: %s", id, len(all), describeRuns(all))
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
			v.add(duplicateRun, "marker %s was dispatched %d times: %s%s", marker, len(all), describeRuns(all), attemptHistory(attempts, marker))
		}
	}
	for intent, markers := range intents {
		var all []standin.Run
		for m := range markers {
			all = append(all, byMarker[m]...)
		}
		if len(all) > 1 {
			v.add(duplicateRun, "booking %s ran %d times: %s%s", intent, len(all), describeRuns(all), attemptHistory(attempts, intent))
		}
	}
}

func describeRuns(runs []standin.Run) string {
	var all []string
	for _, r := range runs {
		all = append(all, fmt.Sprintf("[%s %s request=%s user=%s %s]", r.Received.Format(traceTimeFormat), r.Endpoint, r.RequestID, r.User, r.State))
	}
	return strings.Join(all, " ")
}

// attemptHistory returns the attempts with a marker or an intent.
func attemptHistory(attempts []*attempt, name string) string {
	var b strings.Builder
	for _, a := range attempts {
		if a.marker == name || a.intent == name {
			b.WriteString("\n\t" + a.String())
		}
	}
	return b.String()
}

// checkNotRun checks that a request refused as not run reached no endpoint,
// neither before the refusal nor after it.
func checkNotRun(v *violations, runs []standin.Run, attempts []*attempt) {
	byID, byMarker := map[string]standin.Run{}, map[string]standin.Run{}
	for _, r := range runs {
		byID[r.RequestID] = r
		byMarker[r.User] = r
	}
	for _, a := range attempts {
		if a.refusal == nil || !a.refusal.NotRun {
			continue
		}
		r, ran := byID[a.requestID]
		if !ran && !a.poison {
			r, ran = byMarker[a.marker]
		}
		if ran {
			v.add(falselyRefused, "refused as not run, but dispatched: %s%s", describeRuns([]standin.Run{r}), attemptHistory(attempts, a.marker))
		}
	}
}

func checkAnswers(v *violations, attempts []*attempt) {
	for _, a := range attempts {
		if a.answerError != "" {
			v.add(wrongAnswer, "%s", a)
		}
	}
}

// checkLost checks that every attempt got a final answer, unless its process
// was killed, or had ended or received SIGTERM before the attempt began. An
// incomplete answer must contain a reason.
func checkLost(v *violations, attempts []*attempt) {
	for _, a := range attempts {
		p := a.process
		p.mu.Lock()
		killSentAt, termSentAt := p.killSentAt, p.termSentAt
		p.mu.Unlock()
		excused := !killSentAt.IsZero() && !killSentAt.After(a.end) || !termSentAt.IsZero() && !termSentAt.After(a.begin)
		// A process that was started after the instance was chosen and before
		// the connection was made may also have served the attempt.
		excused = excused || a.to.restartedWithin(a.begin, a.end) || !p.wasListening(a.begin)
		switch {
		case excused || a.disconnected:
		case a.connErr != nil:
			v.add(lost, "no final answer: %s", a)
		case a.incomplete && a.abortReason == "":
			v.add(lost, "incomplete answer without a reason: %s", a)
		}
	}
}

// wasListening reports whether the process had logged by then that it started.
func (p *process) wasListening(at time.Time) bool {
	l, found := p.find(time.Time{}, "event=started")
	return found && l.at.Before(at)
}

// restartedWithin reports whether a process was started in the interval.
func (in *instance) restartedWithin(begin, end time.Time) bool {
	for _, p := range in.processes() {
		if p.started.After(begin) && p.started.Before(end) {
			return true
		}
	}
	return false
}

// leavingLimit is how long a leaving endpoint may still receive new work.
const leavingLimit = 5 * time.Second

func checkLeaving(v *violations, runs []standin.Run) {
	for _, r := range runs {
		if r.Leaving && r.LeavingMS > leavingLimit.Milliseconds() {
			v.add(leavingWork, "%s had been leaving for %d ms: %s", r.Endpoint, r.LeavingMS, describeRuns([]standin.Run{r}))
		}
	}
}

// Limits of the check of the shedding order. An outside observer can conclude
// only the following: if a request of a lower tier was sent clearly before a
// request of a higher tier, and reached an endpoint clearly after the higher
// one was refused, then it was waiting while the higher one was shed.
const (
	orderMargin = 150 * time.Millisecond
	// grantMargin covers the time from a grant to the dispatch.
	grantMargin = 500 * time.Millisecond
	// disruptionTail is how long after a partition, a pause or the end of a
	// process instances may still decide without information from each other.
	disruptionTail = 6 * time.Second
)

func isShedReason(r refusal.Reason) bool {
	return r == refusal.Shed || r == refusal.TierClosed || r == refusal.DeadlineUnmet
}

func checkTierOrder(v *violations, c *schedule, runs []standin.Run, attempts []*attempt) {
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
		if high.refusal == nil || !isShedReason(high.refusal.Reason) || high.kind == booking || c.disrupted(high.begin, high.end) {
			continue
		}
		for _, low := range waited {
			ran := received[low.requestID]
			if rankOf(low.tier) > rankOf(high.tier) && low.to.zone == high.to.zone &&
				low.begin.Add(orderMargin).Before(high.begin) && ran.After(high.end.Add(grantMargin)) {
				v.add(falselyRefused, "a higher tier was shed while a lower one waited and ran %s:\n\t%s\n\t%s", ran.Format(traceTimeFormat), high, low)
			}
		}
	}
}

// checkProcesses checks that a process ends only after a signal, and that a
// graceful stop succeeds.
func checkProcesses(v *violations, s *site) {
	for _, in := range s.instances {
		for i, p := range in.processes() {
			p.mu.Lock()
			killSentAt, termSentAt := p.killSentAt, p.termSentAt
			p.mu.Unlock()
			switch {
			case !p.hasExited() || !killSentAt.IsZero() && termSentAt.IsZero():
			case !killSentAt.IsZero():
				v.add(unexpectedEnd, "%s run %d did not stop within %s of SIGTERM:\n%s", in.name, i+1, 2*livenessTimeout, in.dump())
			case termSentAt.IsZero() || p.err != nil:
				v.add(unexpectedEnd, "%s run %d ended unexpectedly (%v):\n%s", in.name, i+1, p.err, in.dump())
			}
			if _, found := p.find(time.Time{}, "DATA RACE"); found {
				v.add(unexpectedEnd, "%s run %d has a data race:\n%s", in.name, i+1, in.dump())
			}
			checkRevisionOrder(v, in, i, p)
		}
	}
}

// checkRevisionOrder checks that the revision in force in one process never
// decreases.
func checkRevisionOrder(v *violations, in *instance, i int, p *process) {
	last := uint64(0)
	for _, r := range p.revisions() {
		if r < last {
			v.add(configuration, "%s run %d decreased from revision %d to %d", in.name, i+1, last, r)
		}
		last = max(last, r)
	}
}

// checkInForce waits until the newest file is in force on every instance and
// returns how long that took.
func checkInForce(v *violations, s *site) time.Duration {
	newest, begin := s.newestFile(), time.Now()
	for _, in := range s.instances {
		if !in.waitFile(newest) {
			v.add(configuration, "%s does not have revision %d variant %d in force %s after healing: %v", in.name, newest.revision, newest.variant, livenessTimeout, in.current().revisions())
		}
	}
	return time.Since(begin)
}

// checkServing waits until each instance completes a chat and a booking after
// healing, and returns how long that took.
func checkServing(v *violations, c *schedule) time.Duration {
	begin := time.Now()
	for _, in := range c.instances {
		for _, k := range []kind{streamedChat, booking} {
			if !c.waitServed(in, k) {
				v.add(notRecovered, "%s completes no %s request %s after healing", in.name, k, livenessTimeout)
			}
		}
	}
	return time.Since(begin)
}

// waitServed sends new requests until one completes.
func (c *schedule) waitServed(in *instance, k kind) bool {
	for end := time.Now().Add(livenessTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a := c.newRequest(k, "gold", 2)
		if k == booking {
			without := a
			without.marker += "-without"
			if a.ticket = c.load.send(in, without, nil).receivedTicket; a.ticket == "" {
				continue
			}
		}
		if c.load.send(in, a, nil).complete {
			return true
		}
	}
	return false
}

// checkIdle waits until no instance holds a request and every slot is free.
// State that an instance failed to clean up, or that a lost message left
// behind, would remain.
func checkIdle(v *violations, s *site) {
	for _, in := range s.instances {
		var left string
		for end := time.Now().Add(livenessTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if left = in.unreleased(); left == "" {
				break
			}
		}
		if left != "" {
			v.add(notRecovered, "%s after the load has ended: %s", in.name, left)
		}
	}
}

// unreleased describes the requests and slots that an instance still holds.
func (in *instance) unreleased() string {
	st, err := in.status()
	if err != nil {
		return err.Error()
	}
	if st.Held+st.Waiting > 0 {
		return fmt.Sprintf("%d requests are held, %d wait", st.Held, st.Waiting)
	}
	for _, e := range st.Endpoints {
		if e.Owned && e.Granted > 0 {
			return fmt.Sprintf("%d slots of %s are not released", e.Granted, e.Name)
		}
	}
	return ""
}
