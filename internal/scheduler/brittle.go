package scheduler

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time in which an endpoint bears a number of rejections,
	// with a margin for the way to it.
	rejectionWindow = 1100 * time.Millisecond
	// acceptTime is the time after which a request without an answer was admitted.
	acceptTime = 60 * time.Millisecond
	// minRoomGrowth is the least time between two attempts to send an endpoint more
	// than is known to have room; roomGrowthTime divided by the rejections that it bears
	// if that is longer.
	minRoomGrowth  = 1500 * time.Millisecond
	roomGrowthTime = 6 * time.Second
)

// brittleService is what is known of the brittleness of a service's endpoints, which
// begin and end to be brittle together.
type brittleService struct {
	Brittleness
	// sent is when the request was sent whose answer said so, received when its head
	// was.
	sent, received Instant
	// room is the number of requests that an endpoint had admitted when it rejected one,
	// at roomAt; zero if none has.
	room   int
	roomAt Instant
}

// brittleEndpoint is what an instance knows of the room of a brittle endpoint. One
// instance sends requests there, the owner.
type brittleEndpoint struct {
	owner string
	// ownedAt is when this instance took the place of another owner.
	ownedAt Instant
	// room is the number of requests that the endpoint admits as far as is known,
	// grownAt when it was last raised.
	room    int
	grownAt Instant
	// rejected are the times of the rejections within rejectionWindow, unconfirmed
	// those of the requests that may still be rejected.
	rejected, unconfirmed []Instant
}

// observed is the source of a statement that this instance got from the endpoint.
const observed = "observed"

// brittlenessStated records what the head of an answer says. Of two statements whose
// order is unknown, the stricter one is believed.
func (s *State) brittlenessStated(r *request, stated Brittleness) {
	s.applyBrittleness(s.pool(r.Service), brittleService{Brittleness: stated, sent: r.dispatched, received: s.now}, observed)
}

// applyBrittleness replaces what is known of a service by a newer statement.
func (s *State) applyBrittleness(p *pool, n brittleService, from string) {
	b := &p.brittle
	switch {
	case n.Brittleness == b.Brittleness:
		// A report does not make it newer: instances would confirm each other what has
		// ended.
		if from == observed {
			b.sent, b.received = max(b.sent, n.sent), max(b.received, n.received)
		}
		return
	case n.received <= b.sent:
		return
	case n.sent < b.received && !n.stricter(b.Brittleness):
		return
	}
	s.count(CounterBrittle, from)
	s.log("service_brittle", "service", p.service, "named", n.Named, "rejections", n.Rejections,
		"before", b.Named, "from", from, "age_ms", s.now.Sub(n.received).Milliseconds())
	begins, ends := n.Named && !b.Named, !n.Named
	b.Brittleness, b.sent, b.received = n.Brittleness, n.sent, n.received
	if !begins && !ends {
		return
	}
	b.room, b.roomAt = 0, 0
	for _, e := range p.endpoints {
		e.brittle = brittleEndpoint{}
		if ends {
			s.slowStart(e)
		}
	}
	s.assignBrittleOwners(p)
	if from == observed {
		s.sendBrittleNotice()
	}
	s.dispatchWaiting(p)
}

// sendBrittleNotice tells all others at once what has changed. Complete reports repeat
// it.
func (s *State) sendBrittleNotice() {
	if to := s.members.addresses(); len(to) > 0 {
		report := s.partialReport()
		report.Brittle = s.brittleReport()
		s.emit(SendReport{To: to, Report: report})
	}
}

// stricter reports whether b allows fewer rejections than other.
func (b Brittleness) stricter(other Brittleness) bool {
	return b.Named && (!other.Named || b.Rejections < other.Rejections)
}

// assignBrittleOwners chooses the instance that sends requests to each brittle
// endpoint: one of its zone that reaches the service, by rendezvous hashing. One that
// takes the place of another waits for the rejections that that one may have caused.
func (s *State) assignBrittleOwners(p *pool) {
	if !p.brittle.Named {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(s.reachableInstances), func(c candidate) bool {
		if c.address == s.cfg.Address {
			return p.paths.lost || s.leaving
		}
		x := s.members.byAddress[c.address]
		if x == nil {
			return true
		}
		_, lost := x.lostPaths[p.service]
		return lost
	})
	if len(candidates) == 0 {
		candidates = []candidate{newCandidate(s.cfg.Address, s.cfg.Zone)}
	}
	for _, e := range p.endpoints {
		owners, outside := splitByZone(candidates, e.Zone)
		if len(owners) == 0 {
			owners = outside
		}
		owner := topByHash(e.ID, owners, 1)[0]
		if owner == e.brittle.owner {
			continue
		}
		// An instance that has just started may take the place of one, too.
		starting := s.members.startingUp(s.now) && e.answeredSent == 0
		if owner == s.cfg.Address && (e.brittle.owner != "" || starting) {
			e.brittle.ownedAt = s.now
		}
		e.brittle.owner = owner
	}
}

// ownsBrittle reports whether this instance sends requests to a brittle endpoint.
func (s *State) ownsBrittle(e *endpoint) bool { return e.brittle.owner == s.cfg.Address }

// brittleRoom reports whether a brittle endpoint takes another request: within the room
// that is known, and so that it bears it if that and all others that it has not
// answered yet are rejected.
func (s *State) brittleRoom(p *pool, e *endpoint) bool {
	b := &e.brittle
	if !s.ownsBrittle(e) || b.ownedAt != 0 && s.now.Sub(b.ownedAt) < rejectionWindow {
		return false
	}
	b.rejected = slices.DeleteFunc(b.rejected, func(at Instant) bool { return s.now.Sub(at) >= rejectionWindow })
	b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(at Instant) bool { return s.now.Sub(at) >= acceptTime })
	if len(b.rejected)+len(b.unconfirmed) >= max(p.brittle.Rejections, 1) {
		return false
	}
	if b.room == 0 {
		b.room = e.slots
		if p.brittle.room > 0 {
			b.room = min(b.room, p.brittle.room)
		}
		b.grownAt = s.now
	}
	if e.load() < b.room {
		return true
	}
	if b.room < e.slots && p.brittle.Rejections > 0 && len(b.rejected) == 0 && s.now.Sub(b.grownAt) >= roomGrowth(p.brittle.Rejections) {
		b.room, b.grownAt = b.room+1, s.now
		return true
	}
	return false
}

func roomGrowth(rejections int) time.Duration {
	return max(minRoomGrowth, roomGrowthTime/time.Duration(rejections))
}

// brittleRejected records that a brittle endpoint had no room. If the service's
// endpoints bear no rejection at all, the others are then expected to have no more room
// either, at all instances.
func (s *State) brittleRejected(p *pool, e *endpoint) {
	s.count(CounterBrittle, "rejection")
	e.brittle.rejected = append(e.brittle.rejected, s.now)
	if n := len(e.brittle.unconfirmed); n > 0 {
		e.brittle.unconfirmed = e.brittle.unconfirmed[:n-1]
	}
	room := max(e.load(), 1)
	if p.brittle.Rejections == 0 {
		// What runs there may have been admitted when there was more room.
		room = max(room/2, 1)
		s.lowerRoom(p, room, s.now)
		s.sendBrittleNotice()
	}
	e.brittle.room, e.brittle.grownAt = room, s.now
}

// lowerRoom limits the room of all endpoints of a service to that of one which has
// rejected a request.
func (s *State) lowerRoom(p *pool, room int, at Instant) {
	b := &p.brittle
	if b.room != 0 && room >= b.room && s.now.Sub(b.roomAt) < roomGrowthTime {
		return
	}
	b.room, b.roomAt = room, at
	for _, e := range p.endpoints {
		if e.brittle.room > room {
			e.brittle.room, e.brittle.grownAt = room, s.now
		}
	}
	s.log("service_room", "service", p.service, "room", room, "age_ms", s.now.Sub(at).Milliseconds())
}

// chooseBrittleOwner returns the instance that sends requests to the brittle endpoint
// with the lowest load, or nil if none has room as far as is known here.
func (s *State) chooseBrittleOwner(p *pool, r *request) *member {
	var best *member
	bestCost := 0.0
	for _, e := range p.endpoints {
		x := s.members.byAddress[e.brittle.owner]
		if x == nil || e.Leaving || e.evacuated || s.now < e.withdrawnUntil || s.now < e.suspendedUntil || r.hasTried(e) || !s.mayRun(r, e) ||
			s.now < x.avoidUntil || slices.Contains(r.peersTried, x.address) || !s.members.reachable(x, s.now) {
			continue
		}
		room := e.slots
		if p.brittle.room > 0 {
			room = min(room, p.brittle.room)
		}
		cost := float64(e.load()+x.forwards+1)/float64(room) + 0.02*s.rand.Float64()
		if cost > maxOwnerLoad {
			continue
		}
		if e.Zone != s.cfg.Zone {
			cost += crossZoneCost / float64(e.slots)
		}
		if best == nil || cost < bestCost {
			best, bestCost = x, cost
		}
	}
	return best
}

// maxOwnerLoad is the part of a brittle endpoint's room up to which requests of other
// instances are sent to its owner: reports of its load are some tenths of a second old.
const maxOwnerLoad = 2.0

// brittleReport returns the services whose endpoints are brittle, and those that have
// lately ceased to be.
func (s *State) brittleReport() []BrittleStatement {
	var out []BrittleStatement
	for _, p := range s.poolOrder {
		b := &p.brittle
		if b.received == 0 || !b.Named && s.now.Sub(b.received) > liftedRetention {
			continue
		}
		out = append(out, BrittleStatement{Service: p.service, Brittleness: b.Brittleness, SentAge: s.now.Sub(b.sent),
			ReceivedAge: s.now.Sub(b.received), Room: b.room, RoomAge: s.now.Sub(b.roomAt)})
	}
	return out
}

// mergeBrittle applies what another instance knows.
func (s *State) mergeBrittle(statements []BrittleStatement, from string) {
	for _, m := range statements {
		p := s.pools[m.Service]
		if p == nil {
			continue
		}
		s.applyBrittleness(p, brittleService{Brittleness: m.Brittleness, sent: s.now.Add(-m.SentAge), received: s.now.Add(-m.ReceivedAge)}, from)
		if at := s.now.Add(-m.RoomAge); p.brittle.Named && m.Room > 0 && (p.brittle.room == 0 || m.Room < p.brittle.room && at > p.brittle.roomAt) {
			s.lowerRoom(p, m.Room, at)
		}
	}
}
