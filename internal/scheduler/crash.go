package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
)

const (
	// crashThreshold is the number of endpoints that must have ended under a cause
	// before requests with it are refused.
	crashThreshold = 3
	// maxCrashRecords limits the number of causes for which crashes are kept.
	maxCrashRecords = 4096
	// maxReportedCrashes limits the causes in a complete report: all instances
	// repeat what they know in turn. maxNoticedCrashes limits those in the notice
	// that an instance sends as soon as it observes a crash.
	maxReportedCrashes = 4
	maxNoticedCrashes  = 32
	// crashExpiryInterval is the time between removals of old evidence.
	crashExpiryInterval = time.Second
	// loggedEnds is the number of ends of a cause from which reports of other
	// instances are logged. The instance that observes an end always logs it.
	loggedEnds = crashThreshold - 1
)

// causesOf returns what may make an endpoint end that runs a request: the request
// itself, and each part of its prompt that others share. Its path, organisation
// and model are not among them, since too many other requests have them.
func causesOf(q Request) []crash.Cause {
	out := make([]crash.Cause, 0, 1+len(q.PromptParts))
	out = append(out, crash.RequestCause(q.Fingerprint))
	for _, part := range q.PromptParts {
		out = append(out, crash.PartCause(q.Service, uint64(part)))
	}
	return out
}

// recordCrash records that e ended while it ran a request whose answer had not
// begun.
func (s *State) recordCrash(e *endpoint, u unanswered) {
	most, mostEnds, added := crash.Cause{}, 0, false
	for _, c := range u.causes {
		before := len(s.crashes.Ends(c))
		if s.crashes.AddEnd(c, e.incarnation(), crash.Time(u.at)) {
			added = true
			s.endsAdded(c, before)
		}
		if ends := len(s.crashes.Ends(c)); ends > mostEnds {
			most, mostEnds = c, ends
		}
	}
	if !added {
		return
	}
	s.count(CounterCrashes, "observed")
	s.log("crash_recorded", "request", u.request, "fingerprint", FormatFingerprint(u.fingerprint),
		"prompt_parts", FormatPromptParts(u.parts), "endpoint", e.ID,
		"incarnation", fmt.Sprintf("%x", uint64(e.incarnation())), "most_ends", mostEnds, "cause", most.String())
}

// requestSound records that a request did not crash its endpoint, which acquits
// each of its causes of the ends before.
func (s *State) requestSound(r *request) {
	for _, c := range r.causes {
		dropped := s.crashes.AddAcquittal(c, crash.Time(s.now))
		if len(dropped) >= loggedEnds {
			s.log("crash_evidence_dropped", "request", r.Name, "cause", c.String(), "ends", len(dropped))
		}
		if len(dropped) > 0 {
			s.suspicionChanged(c)
		}
	}
}

// endsAdded applies the ends that were added to those of a cause, of which there
// were a given number before.
func (s *State) endsAdded(c crash.Cause, before int) {
	s.evidenceChanged = true
	if before < crashThreshold && s.crashes.Suspect(c) {
		s.suspicionBegins(c)
	}
}

// expireCrashes removes old evidence.
func (s *State) expireCrashes() {
	if s.now.Sub(s.crashesExpiredAt) < crashExpiryInterval {
		return
	}
	s.crashesExpiredAt = s.now
	s.crashes.Expire(crash.Time(s.now), s.endRefuted)
	s.expireUnanswered()
	for c := range s.suspectedAt {
		s.suspicionChanged(c)
	}
}

// sendCrashNotice sends the evidence that this instance has found since the last
// notice to all others at once. Complete reports repeat it.
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

// firstN returns the first n elements, or all if there are fewer.
func firstN[T any](all []T, n int) []T { return all[:min(n, len(all))] }

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
// idempotent, it does not matter whether the report is the newest. An instance
// that suspects a cause which a sound run has acquitted here is told so.
func (s *State) mergeCrashes(crashes []Crash, from string) {
	var corrections []crash.Record
	for _, c := range crashes {
		r := crash.Record{Cause: c.Cause, Acquitted: c.Acquitted, AcquittedAt: crash.Time(s.now.Add(-c.AcquittedAge))}
		for _, e := range c.Ends {
			end := crash.End{Endpoint: e.Endpoint, At: crash.Time(s.now.Add(-e.Age)), Source: from}
			if !s.endRefuted(end) {
				r.Ends = append(r.Ends, end)
			}
		}
		before := len(s.crashes.Ends(c.Cause))
		added, outdated := s.crashes.Merge(r, crash.Time(s.now))
		for _, e := range added {
			s.endReported(c.Cause, e)
		}
		if len(added) > 0 {
			s.endsAdded(c.Cause, before)
		}
		s.suspicionChanged(c.Cause)
		if own, known := s.crashes.Get(c.Cause); known && outdated && len(c.Ends) >= crashThreshold {
			corrections = append(corrections, own)
		}
	}
	s.sendCrashes([]string{from}, corrections)
}

// endReported counts and logs an end that another instance observed.
func (s *State) endReported(c crash.Cause, end crash.End) {
	s.count(CounterCrashes, "reported")
	if ends := len(s.crashes.Ends(c)); ends >= loggedEnds {
		s.log("crash_reported", "cause", c.String(), "from", end.Source,
			"age_ms", s.now.Sub(Instant(end.At)).Milliseconds(), "ends", ends)
	}
}

// crashBasis returns the evidence against a cause, as log fields: of each end the
// endpoint's incarnation, the age, and the instance that reported it.
func (s *State) crashBasis(c crash.Cause) []any {
	var text []string
	for _, e := range s.crashes.Ends(c) {
		source := e.Source
		if source == "" {
			source = "observed"
		}
		text = append(text, fmt.Sprintf("%x/%dms/%s", uint64(e.Endpoint), s.now.Sub(Instant(e.At)).Milliseconds(), source))
	}
	return []any{"crash_cause", c.String(), "crash_ends", strings.Join(text, ","), "crash_unresolved", s.unresolvedAt(c)}
}

// FormatFingerprint returns the form of a request's fingerprint in the log.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
