package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
)

const (
	// softwareNoticeRetention is how long complete reports repeat that a service runs
	// further software. Afterwards all have read it.
	softwareNoticeRetention = 2 * time.Second
	// maxReportedSoftware limits the software in a report.
	maxReportedSoftware = 4
)

// ServiceSoftware is software that a service runs beside another one.
type ServiceSoftware struct {
	Service  string
	Software origin.Software
}

type recentSoftware struct {
	ServiceSoftware
	at Instant
}

// softwareListed records that a service is listed with some software. From the moment
// at which an instance knows of a further one, others keep the origins of its streams.
func (s *State) softwareListed(service string, software origin.Software) {
	if s.history.Listed(service, software, origin.Time(s.now)) {
		s.furtherSoftware = append(s.furtherSoftware, recentSoftware{ServiceSoftware{service, software}, s.now})
		s.recordersChanged = true
	}
}

// applyFurtherSoftware applies what another instance has read of the software of
// services: its origins must be recorded elsewhere before this instance's own read,
// which it may not live to see.
func (s *State) applyFurtherSoftware(all []ServiceSoftware, from string) {
	for _, x := range all {
		known := len(s.furtherSoftware)
		s.softwareListed(x.Service, x.Software)
		if len(s.furtherSoftware) > known {
			s.log("software_announced", "service", x.Service, "from", from)
		}
	}
}

// newestSoftware returns the newest of the software that services run beside another.
func newestSoftware(all []recentSoftware) []ServiceSoftware {
	var out []ServiceSoftware
	for _, x := range slices.Backward(all) {
		if len(out) < maxReportedSoftware {
			out = append(out, x.ServiceSoftware)
		}
	}
	return out
}

func (s *State) expireFurtherSoftware() {
	s.furtherSoftware = slices.DeleteFunc(s.furtherSoftware, func(x recentSoftware) bool {
		return s.now.Sub(x.at) > softwareNoticeRetention
	})
}
