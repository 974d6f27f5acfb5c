package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
)

const (
	// crashThreshold is the number of endpoints that must have ended under a
	// request before it is refused.
	crashThreshold = 3
	// maxCrashRecords limits the number of requests for which crashes are kept.
	maxCrashRecords = 4096
	// maxReportedCrashes limits the requests in a complete report: all instances
	// repeat what they know in turn. maxNoticedCrashes limits those in the notice
	// that an instance sends as soon as it observes a crash.
	maxReportedCrashes = 4
	maxNoticedCrashes  = 32
	// crashExpiryInterval is the time between removals of old evidence.
	crashExpiryInterval = time.Second
	// loggedEnds is the number of ends of a request from which reports of other
	// instances are logged. The instance that observes an end always logs it.
	loggedEnds = crashThreshold - 1
)

// recordCrash records that e ended while it ran a request.
func (s *State) recordCrash(e *endpoint, u unanswered) {
	before := len(s.crashes.Ends(crash.RequestCause(u.fingerprint)))
	if !s.crashes.AddEnd(crash.RequestCause(u.fingerprint), e.incarnation(), crash.Time(u.at)) {
		return
	}
	s.count(CounterCrashes, "observed")
	s.log("crash_recorded", "request", u.request, "fingerprint", FormatFingerprint(u.fingerprint),
		"prompt_parts", FormatPromptParts(u.parts), "endpoint", e.ID,
		"incarnation", fmt.Sprintf("%x", uint64(e.incarnation())), "ends", before+1)
	s.endsAdded(u.fingerprint, before)
}

// requestCompleted records that a request did not crash its endpoint.
func (s *State) requestCompleted(r *request) {
	if dropped := s.crashes.AddAcquittal(crash.RequestCause(r.Fingerprint), crash.Time(s.now)); len(dropped) >= loggedEnds {
		s.log("crash_evidence_dropped", "request", r.Name, "fingerprint", FormatFingerprint(r.Fingerprint), "ends", len(dropped))
	}
}

// endsAdded refuses the queued requests with a fingerprint if the ends added to
// the given number have made it a suspect.
func (s *State) endsAdded(fingerprint uint64, before int) {
	if before >= crashThreshold || !s.crashes.Suspect(crash.RequestCause(fingerprint)) {
		return
	}
	s.log("crash_suspect", append([]any{"fingerprint", FormatFingerprint(fingerprint)}, s.crashBasis(fingerprint)...)...)
	for _, p := range s.poolOrder {
		for _, r := range slices.Clone(p.waiting) {
			if r.Fingerprint == fingerprint {
				p.dequeue(r)
				s.refuseHeld(r, CrashSuspect)
			}
		}
	}
}

// crashSuspect reports whether a request is refused because it crashes its
// endpoints. Attempts here that may have crashed an endpoint, but are not
// resolved yet, count if another one is known to have done so.
func (s *State) crashSuspect(fingerprint uint64) bool {
	ends := len(s.crashes.Ends(crash.RequestCause(fingerprint)))
	return ends >= crashThreshold || ends > 0 && ends+s.unresolvedAt(fingerprint) >= crashThreshold
}

// unresolvedAt returns the number of endpoints at which a request's connection
// broke and that have not shown since whether they ended.
func (s *State) unresolvedAt(fingerprint uint64) int {
	n := 0
	for _, e := range s.withUnanswered {
		if slices.ContainsFunc(e.unanswered, func(u unanswered) bool {
			return u.fingerprint == fingerprint && u.broken && !u.accepted
		}) {
			n++
		}
	}
	return n
}

// expireCrashes removes old evidence.
func (s *State) expireCrashes() {
	if s.now.Sub(s.crashesExpiredAt) < crashExpiryInterval {
		return
	}
	s.crashesExpiredAt = s.now
	s.crashes.Expire(crash.Time(s.now), s.endRefuted)
	s.expireUnanswered()
}

// sendCrashNotice sends the crashes that this instance has observed since the
// last notice to all others at once. Complete reports repeat them.
func (s *State) sendCrashNotice() {
	s.sendCrashes(s.members.addresses(), s.crashes.TakeChanged(maxNoticedCrashes))
}

// sendCrashes sends records to other instances. An instance that leaves, but
// still serves open connections, receives them in reply to its reports.
func (s *State) sendCrashes(to []string, records []crash.Record) {
	if len(to) == 0 || len(records) == 0 {
		return
	}
	report := s.partialReport()
	report.Crashes = s.crashReport(records)
	s.emit(SendReport{To: to, Report: report})
}

// crashReport returns records with the ages of what they contain.
func (s *State) crashReport(records []crash.Record) []Crash {
	var out []Crash
	for _, r := range records {
		c := Crash{Cause: r.Cause, Acquitted: r.Acquitted, AcquittedAge: s.now.Sub(Instant(r.AcquittedAt))}
		if !r.Acquitted {
			c.AcquittedAge = 0
		}
		for _, e := range r.Ends {
			c.Ends = append(c.Ends, CrashEnd{Endpoint: e.Endpoint, Age: s.now.Sub(Instant(e.At))})
		}
		out = append(out, c)
	}
	return out
}

// mergeCrashes merges the evidence of another instance. Since merging is
// idempotent, it does not matter whether the report is the newest.
func (s *State) mergeCrashes(crashes []Crash, from string) {
	for _, c := range crashes {
		r := crash.Record{Cause: c.Cause, Acquitted: c.Acquitted, AcquittedAt: crash.Time(s.now.Add(-c.AcquittedAge))}
		for _, e := range c.Ends {
			end := crash.End{Endpoint: e.Endpoint, At: crash.Time(s.now.Add(-e.Age)), Source: from}
			if !s.endRefuted(end) {
				r.Ends = append(r.Ends, end)
			}
		}
		before := len(s.crashes.Ends(c.Cause))
		for _, e := range s.crashes.Merge(r, crash.Time(s.now)) {
			s.endReported(c.Cause.ID, e)
		}
		s.endsAdded(c.Cause.ID, before)
	}
}

// endReported counts and logs an end that another instance observed.
func (s *State) endReported(fingerprint uint64, end crash.End) {
	s.count(CounterCrashes, "reported")
	if ends := len(s.crashes.Ends(crash.RequestCause(fingerprint))); ends >= loggedEnds {
		s.log("crash_reported", "fingerprint", FormatFingerprint(fingerprint), "from", end.Source,
			"age_ms", s.now.Sub(Instant(end.At)).Milliseconds(), "ends", ends)
	}
}

// crashBasis returns the ends that count for a request, as log fields: the
// endpoint's incarnation, the age, and the instance that reported it.
func (s *State) crashBasis(fingerprint uint64) []any {
	var text []string
	for _, e := range s.crashes.Ends(crash.RequestCause(fingerprint)) {
		source := e.Source
		if source == "" {
			source = "observed"
		}
		text = append(text, fmt.Sprintf("%x/%dms/%s", uint64(e.Endpoint), s.now.Sub(Instant(e.At)).Milliseconds(), source))
	}
	return []any{"crash_ends", strings.Join(text, ","), "crash_unresolved", s.unresolvedAt(fingerprint)}
}

// FormatFingerprint returns the form of a request's fingerprint in the log.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
