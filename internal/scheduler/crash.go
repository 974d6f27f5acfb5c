package scheduler

import "time"

const (
	// crashLimit is the number of broken attempts from which on a request
	// counts as the cause.
	crashLimit = 3
	// crashMemory is how long a request is remembered after it last broke an
	// endpoint.
	crashMemory = 60 * time.Second
	// maxCrashes bounds the remembered requests.
	maxCrashes = 4096
	// reportedCrashes bounds the suspects in one report.
	reportedCrashes = 16
)

// crashCount counts the attempts of equal requests that broke.
type crashCount struct {
	count int
	last  Instant
}

func (s *State) noteBroken(r *request) {
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
	if c.count == crashLimit {
		s.log("crash_suspect", "request", r.Name, "broken_attempts", c.count)
	}
}

func (s *State) crashSuspect(fingerprint uint64) bool {
	c := s.crashes[fingerprint]
	return c != nil && c.count >= crashLimit
}

func (s *State) expireCrashes() {
	for f, c := range s.crashes {
		if s.now.Sub(c.last) > crashMemory {
			delete(s.crashes, f)
		}
	}
}

// crashReport names the requests that broke more than one attempt.
func (s *State) crashReport() []Crash {
	var out []Crash
	for f, c := range s.crashes {
		if c.count > 1 && len(out) < reportedCrashes {
			out = append(out, Crash{Fingerprint: f, Count: c.count})
		}
	}
	return out
}

// learnCrashes takes over what another instance has counted.
func (s *State) learnCrashes(crashes []Crash) {
	for _, told := range crashes {
		c := s.crashes[told.Fingerprint]
		if c == nil {
			if len(s.crashes) >= maxCrashes {
				return
			}
			c = &crashCount{last: s.now}
			s.crashes[told.Fingerprint] = c
		}
		c.count = max(c.count, told.Count)
	}
}
