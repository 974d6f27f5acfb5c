package scheduler

import (
	"strconv"
	"time"
)

const (
	// crashThreshold is the number of broken attempts from which a request counts
	// as their cause.
	crashThreshold = 3
	// crashRetention is how long a request is remembered after it last broke an
	// endpoint.
	crashRetention = 60 * time.Second
	// maxCrashes limits the number of remembered requests.
	maxCrashes = 4096
	// maxReportedCrashes limits the number of requests in one report.
	maxReportedCrashes = 16
)

// crashCount counts the broken attempts of requests with the same fingerprint.
type crashCount struct {
	count int
	last  Instant
}

func (s *State) recordBroken(r *request) {
	c := s.crashes[r.Fingerprint]
	if c == nil {
		if len(s.crashes) >= maxCrashes {
			return
		}
		c = &crashCount{}
		s.crashes[r.Fingerprint] = c
	}
	c.count++
	c.last = s.now
	s.log("broken_attempt_counted", "request", r.Name, "fingerprint", FormatFingerprint(r.Fingerprint),
		"endpoint", r.tried[len(r.tried)-1], "count", c.count)
	if c.count == crashThreshold {
		s.log("crash_suspect", "request", r.Name, "broken_attempts", c.count)
	}
}

func (s *State) crashSuspect(fingerprint uint64) bool {
	c := s.crashes[fingerprint]
	return c != nil && c.count >= crashThreshold
}

func (s *State) expireCrashes() {
	for f, c := range s.crashes {
		if s.now.Sub(c.last) > crashRetention {
			delete(s.crashes, f)
		}
	}
}

// crashReport returns the requests with more than one broken attempt.
func (s *State) crashReport() []Crash {
	var out []Crash
	for f, c := range s.crashes {
		if c.count > 1 && len(out) < maxReportedCrashes {
			out = append(out, Crash{Fingerprint: f, Count: c.count})
		}
	}
	return out
}

// mergeCrashes merges the counts reported by another instance.
func (s *State) mergeCrashes(crashes []Crash, from string) {
	for _, reported := range crashes {
		c := s.crashes[reported.Fingerprint]
		if c == nil {
			if len(s.crashes) >= maxCrashes {
				return
			}
			c = &crashCount{last: s.now}
			s.crashes[reported.Fingerprint] = c
		}
		if reported.Count > c.count {
			c.count = reported.Count
			s.log("broken_attempts_reported", "fingerprint", FormatFingerprint(reported.Fingerprint), "from", from, "count", c.count)
		}
	}
}

// FormatFingerprint returns the form of a request's fingerprint in the log.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
