package scheduler

// endpointPath is what this instance knows about its own way to an endpoint.
type endpointPath struct {
	// provedAt is when the latest request was sent that the endpoint answered,
	// failedAt when a connection or an attempt there last failed.
	provedAt, failedAt Instant
}

// lost reports whether the latest sign is a failure.
func (p *endpointPath) lost() bool { return p.failedAt > p.provedAt }

// pathProved records that an endpoint answered a request sent at a time.
func (s *State) pathProved(e *endpoint, sent Instant) { e.path.provedAt = max(e.path.provedAt, sent) }

// pathFailed records a connection or an attempt that failed.
func (s *State) pathFailed(e *endpoint) { e.path.failedAt = s.now }

// reviewPaths logs when this instance loses all endpoints of a service, and when it
// reaches one again.
func (s *State) reviewPaths(p *pool) {
	reached, available := 0, 0
	for _, e := range p.endpoints {
		if e.Leaving {
			continue
		}
		available++
		if !e.path.lost() {
			reached++
		}
	}
	if lost := available > 0 && reached == 0; lost != p.pathsLost {
		p.pathsLost = lost
		s.log("service_paths", "service", p.service, "reached", reached, "of", available,
			"instances", len(s.reachableInstances))
	}
}
