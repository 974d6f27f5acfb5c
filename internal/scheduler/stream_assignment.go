package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// maxListingLag is how much older than this instance's list that of another one may be by
// which it begins streams.
const maxListingLag = 5 * time.Second

// shareHistory is the capacity of a service's endpoints by software, now and before.
type shareHistory struct {
	current []origin.Share
	// generation counts the changes of current.
	generation uint64
	// stale is set if the endpoints have changed since current was determined.
	stale bool
	past  []pastShares
}

// pastShares are shares that were in force until a time.
type pastShares struct {
	shares []origin.Share
	until  Instant
}

// softwareShares returns the slots of the endpoints of a pool that do not leave, by
// software.
func (s *State) softwareShares(p *pool) []origin.Share {
	h := &p.shares
	if h.stale {
		h.stale = false
		if shares := sharesOf(p.endpoints); !slices.Equal(shares, h.current) {
			h.retire(s.now)
			h.current = shares
			h.generation++
		}
	}
	return h.current
}

// recordShares notes a change of the list, in which attempts of other instances may begin
// although this one sends nothing.
func (s *State) recordShares(p *pool) {
	if !s.listingAll {
		s.softwareShares(p)
	}
}

// retire keeps the current shares as those that were in force until a time.
func (h *shareHistory) retire(until Instant) {
	h.past = slices.DeleteFunc(h.past, func(x pastShares) bool { return until.Sub(x.until) > maxSoftwareMemory })
	if len(h.current) > 0 {
		h.past = append(h.past, pastShares{h.current, until})
	}
}

func sharesOf(endpoints []*endpoint) []origin.Share {
	var out []origin.Share
	for _, e := range endpoints {
		if !e.Leaving && !e.evacuated {
			out = addShare(out, e.software, e.slots)
		}
	}
	return out
}

// addShare adds slots to the share of some software.
func addShare(shares []origin.Share, software origin.Software, slots int) []origin.Share {
	n := slices.IndexFunc(shares, func(x origin.Share) bool { return x.Software == software })
	if n < 0 {
		return append(shares, origin.Share{Software: software, Slots: slots})
	}
	shares[n].Slots += slots
	return shares
}

// assigned reports whether the stream of a request has to begin at the software that
// origin.Assign returns: while its service runs several, instances that have lost all
// records can tell only thus which one began it.
func (s *State) assigned(r *request, p *pool) bool {
	return r.Route.Kind == routing.Stream && r.Route.Resumable && !r.bound && len(s.softwareShares(p)) > 1
}

// mayBegin reports whether the stream of a request may begin at an endpoint.
func (s *State) mayBegin(r *request, e *endpoint) bool {
	p := s.pool(e.Service)
	if !s.assigned(r, p) {
		return true
	}
	if r.assignment.pool != p || r.assignment.generation != p.shares.generation {
		r.assignment = assignment{p, p.shares.generation, origin.Assign(r.originAttempt(), s.softwareShares(p))}
	}
	return r.assignment.software == e.software
}

// assignment is the software at which a request has to begin in a generation of the shares
// of a pool.
type assignment struct {
	pool       *pool
	generation uint64
	software   origin.Software
}

// deriveOrigin returns the software to which an attempt was assigned, or Unknown if that
// depends on when it began, or if its route sends, or sent, to other services too. An
// instance that knows of one version only, and is told of others, does not know them.
func (s *State) deriveOrigin(l *lookup) origin.Software {
	if _, alone := s.history.Sole(l.services, origin.Time(s.now), l.memory); alone {
		return origin.Unknown
	}
	if l.unnamed || len(l.services) != 1 || !s.history.Covers(origin.Time(s.now), l.memory) {
		return origin.Unknown
	}
	if at, moved := s.routesMoved[l.route]; moved && s.now.Sub(at) <= l.memory+maxListingLag {
		return origin.Unknown
	}
	p := s.pool(l.services[0])
	software := origin.Assign(l.attempt, s.softwareShares(p))
	for _, past := range p.shares.past {
		if s.now.Sub(past.until) <= l.memory+maxListingLag && origin.Assign(l.attempt, past.shares) != software {
			return origin.Unknown
		}
	}
	return software
}

// addPastShares adds the shares that were in force before this instance started. Until the
// first configuration no instance had a route, so nothing began.
func (s *State) addPastShares(changes []directory.Change) {
	endpoints := map[string]directory.Endpoint{}
	evacuated := map[string]bool{}
	configured := false
	for _, c := range changes {
		switch {
		case c.Config != nil:
			configured = true
			s.recordRoutes(c.Config)
		case c.Endpoint != nil && !c.Endpoint.Leaving:
			endpoints[c.EndpointID] = *c.Endpoint
		case c.EvacuatedZone != "":
			evacuated[c.EvacuatedZone] = !c.Deleted
		case c.EndpointID != "":
			delete(endpoints, c.EndpointID)
		}
		if configured {
			s.retireSharesOf(endpoints, evacuated)
		}
	}
}

// retireSharesOf adds the shares of endpoints that were listed before this instance
// started, outside the zones that were evacuated then, to the past ones of their services.
func (s *State) retireSharesOf(endpoints map[string]directory.Endpoint, evacuated map[string]bool) {
	byService := map[string][]origin.Share{}
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		if evacuated[endpoints[id].Zone] {
			continue
		}
		e := endpoint{Endpoint: endpoints[id]}
		e.updateSlots(s.table)
		byService[e.Service] = addShare(byService[e.Service], origin.SoftwareOf(e.Service, e.Version), e.slots)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		h := &s.pool(service).shares
		shares := byService[service]
		if n := len(h.past); n == 0 || !slices.Equal(h.past[n-1].shares, shares) {
			h.past = append(h.past, pastShares{shares, s.now})
		}
	}
}

// recordRoutes records which routes a configuration sends to other services than before.
func (s *State) recordRoutes(c *routing.Config) {
	for _, r := range c.Routes {
		if before, known := s.routeServices[r.Name]; known && !slices.Equal(before, r.Split) {
			s.routesMoved[r.Name] = s.now
		}
		s.routeServices[r.Name] = r.Split
	}
}
