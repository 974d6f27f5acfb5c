package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// health is what an instance believes of a peer.
type health int

const (
	// alive peers get new work.
	alive health = iota
	// suspected peers get no new work and keep what they own.
	suspected
	// dead peers own nothing, and what they held is free.
	dead
)

// healthNames are the labels of health, in its order.
var healthNames = [...]string{"alive", "suspected", "dead"}

// peer is another incarnation in this availability zone.
type peer struct {
	id      Incarnation
	name    string
	address string
	health  health
	session bool
	leaving bool
	heardAt Instant
	met     bool
	// heartbeats are the last sequences received, with their times.
	heartbeats [heartbeatMemory]heartbeatTime
	revision   uint64
	digest     string
	view       uint64
	loads      map[string]*peerpb.PoolLoad
	// sent counts slots asked of this owner since its last heartbeat, by
	// pool, so that a burst does not follow one stale figure.
	sent map[string]int
}

// heartbeatMemory is how many heartbeats are remembered with their times; it
// covers more than a CloseLease.
const heartbeatMemory = 16

// heartbeatTime is when a heartbeat was sent or received.
type heartbeatTime struct {
	sequence uint64
	at       Instant
}

// echoBefore returns the newest of the peer's heartbeats that was here at a
// time, or zero.
func (p *peer) echoBefore(at Instant) uint64 {
	newest := uint64(0)
	for _, h := range p.heartbeats {
		if h.sequence > newest && h.at <= at {
			newest = h.sequence
		}
	}
	return newest
}

// echoLease returns what is left of a CloseLease that began when this instance
// sent that heartbeat. Whoever echoes it received it later than that, so what
// was known there to last for a CloseLease from then still lasts so long.
func (s *State) echoLease(sequence uint64) time.Duration {
	h := s.heartbeatsSent[sequence%heartbeatMemory]
	if sequence == 0 || h.sequence != sequence {
		return 0
	}
	return max(0, CloseLease-s.now.Sub(h.at))
}

func (p *peer) usable() bool { return p.health == alive && p.session && !p.leaving }

// peerUp takes a new control stream. A process that was replaced under the
// same instance name is dead at once: one instance runs one process.
func (s *State) peerUp(ev PeerUp) {
	h := ev.Hello
	if ev.Peer == s.cfg.Incarnation || h.GetAvailabilityZone() != s.cfg.AvailabilityZone {
		return
	}
	for _, p := range s.peerOrder {
		if p.name == h.GetInstance() && p.id != ev.Peer && p.health != dead {
			s.setHealth(p, dead, "replaced")
		}
	}
	p := s.peers[ev.Peer]
	if p == nil {
		p = &peer{id: ev.Peer, loads: map[string]*peerpb.PoolLoad{}, sent: map[string]int{}}
		s.peers[ev.Peer] = p
		s.peerOrder = append(s.peerOrder, p)
		sort.Slice(s.peerOrder, func(i, j int) bool { return s.peerOrder[i].id < s.peerOrder[j].id })
	}
	p.name, p.address = h.GetInstance(), h.GetPeerAddress()
	p.session = true
	p.heardAt = s.now
	p.health = alive
	s.log("peer_up", "peer", p.name, "incarnation", uint64(p.id))
	s.viewChanged()
	s.sendHeartbeat(p)
	s.sendHeldTo(p.id)
}

// peerDown suspects at once: a closed session carries no new work.
func (s *State) peerDown(id Incarnation) {
	p := s.peers[id]
	if p == nil || !p.session {
		return
	}
	p.session = false
	s.log("peer_down", "peer", p.name, "incarnation", uint64(p.id))
	if p.health == alive {
		s.setHealth(p, suspected, "closed")
	}
}

// heard notes a sign of life. A process that was paused and believed dead
// comes back with what it holds; its reports follow in Held.
func (s *State) heard(id Incarnation) {
	p := s.peers[id]
	if p == nil {
		return
	}
	p.heardAt = s.now
	if p.health != alive && p.session {
		was := p.health
		s.setHealth(p, alive, "heard")
		if was == dead {
			s.sendHeldTo(p.id)
		}
	}
}

// checkPeers applies both timeouts.
func (s *State) checkPeers() {
	for _, p := range append([]*peer(nil), s.peerOrder...) {
		silence := s.now.Sub(p.heardAt)
		limit := DeadAfter
		if !p.session {
			limit = DeadAfterClosed
		}
		switch {
		case p.health == dead && silence > ForgetPeerAfter && !p.session:
			s.forgetPeer(p)
		case p.health != dead && silence > limit:
			s.setHealth(p, dead, "silent")
		case p.health == alive && silence > SuspectAfter:
			s.setHealth(p, suspected, "silent")
		}
	}
}

func (s *State) setHealth(p *peer, h health, why string) {
	if p.health == h {
		return
	}
	p.health = h
	name := healthNames[h]
	s.count(CounterSuspicions, name, 1)
	s.log("peer_health", "peer", p.name, "incarnation", uint64(p.id), "health", name, "why", why)
	switch h {
	case suspected:
		s.moveAsksFrom(p.id)
	case dead:
		s.dropHolder(p.id)
		s.viewChanged()
		s.moveAsksFrom(p.id)
	case alive:
		s.viewChanged()
	}
}

func (s *State) forgetPeer(p *peer) {
	delete(s.peers, p.id)
	for i, q := range s.peerOrder {
		if q == p {
			s.peerOrder = append(s.peerOrder[:i], s.peerOrder[i+1:]...)
			break
		}
	}
	s.emit(ClosePeer{Peer: p.id})
}

func (s *State) peerLeaving(id Incarnation) {
	p := s.peers[id]
	if p == nil || p.leaving {
		return
	}
	p.leaving = true
	s.log("peer_leaving", "peer", p.name)
	s.viewChanged()
	s.moveAsksFrom(id)
}

// instancesListed takes the platform's list. It only finds peers: an instance
// missing from it, or marked leaving, may still hold requests, and one that is
// on it may be dead.
func (s *State) instancesListed(list []Instance) {
	s.listed = s.listed[:0]
	for _, i := range list {
		if i.AvailabilityZone == s.cfg.AvailabilityZone {
			s.listed = append(s.listed, i)
		}
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].Name < s.listed[j].Name })
	s.listKnown = true
	s.accrueAll()
	s.connectListed()
}

// connectListed opens a session to each listed instance that has none.
func (s *State) connectListed() {
	for _, i := range s.listed {
		if i.Name == s.cfg.Instance || s.sessionTo(i.Name) {
			continue
		}
		s.emit(ConnectPeer{Instance: i})
	}
}

func (s *State) sessionTo(name string) bool {
	for _, p := range s.peerOrder {
		if p.name == name && p.session {
			return true
		}
	}
	return false
}

// listedCount is the number of instances among which the zone's rates are
// divided: never less than one, and this instance counts although the list
// may not have it yet.
func (s *State) listedCount() int {
	n := 0
	self := false
	for _, i := range s.listed {
		n++
		self = self || i.Name == s.cfg.Instance
	}
	if !self {
		n++
	}
	return n
}

func (s *State) sendHeartbeats() {
	if s.now.Sub(s.heartbeatAt) < HeartbeatInterval {
		return
	}
	s.heartbeatAt = s.now
	s.heartbeatSeq++
	s.heartbeatsSent[s.heartbeatSeq%heartbeatMemory] = heartbeatTime{s.heartbeatSeq, s.now}
	for _, p := range s.peerOrder {
		if p.session {
			s.sendHeartbeat(p)
		}
	}
	s.connectListed()
}

func (s *State) sendHeartbeat(p *peer) {
	hb := &peerpb.Heartbeat{
		Sequence: s.heartbeatSeq,
		View:     s.viewDigest(),
		Leaving:  s.stopping,
		Pools:    s.poolLoads(),
		Closures: s.closuresInForce(),
	}
	if s.file != nil {
		d := s.file.Digest()
		hb.Revision = s.file.Revision
		hb.Digest = d[:8]
	}
	s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: hb}})
}

func (s *State) heartbeat(from Incarnation, hb *peerpb.Heartbeat) {
	p := s.peers[from]
	if p == nil {
		return
	}
	p.met = true
	p.revision = hb.GetRevision()
	p.digest = string(hb.GetDigest())
	p.view = hb.GetView()
	if h := &p.heartbeats[hb.GetSequence()%heartbeatMemory]; h.sequence != hb.GetSequence() {
		*h = heartbeatTime{hb.GetSequence(), s.now}
	}
	clear(p.sent)
	clear(p.loads)
	for _, l := range hb.GetPools() {
		p.loads[l.GetPool()] = l
	}
	if hb.GetLeaving() {
		s.peerLeaving(from)
	}
	for _, c := range hb.GetClosures() {
		if s.ready {
			break
		}
		// Before it takes callers, nothing waits here that could be refused
		// out of order.
		s.closeTier(c.GetPool(), int(c.GetRank()), time.Duration(c.GetLeaseMs())*time.Millisecond)
	}
	s.compareFile(p)
	s.rebalanceAsks()
}

// viewDigest identifies the set of incarnations that may own endpoints.
func (s *State) viewDigest() uint64 {
	d := uint64(0)
	for _, id := range s.ownersInView() {
		d = mix(d ^ uint64(id))
	}
	return d
}

// ownersInView lists, in order, who may own endpoints: live incarnations that
// are not leaving. A leaving instance that is alone goes on owning, since
// nobody else could serve what it still holds.
func (s *State) ownersInView() []Incarnation {
	var ids []Incarnation
	for _, p := range s.peerOrder {
		if p.health != dead && !p.leaving {
			ids = append(ids, p.id)
		}
	}
	if !s.stopping || len(ids) == 0 {
		ids = append(ids, s.cfg.Incarnation)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// livePeers lists peers that are not dead, in order.
func (s *State) livePeers() []*peer {
	var live []*peer
	for _, p := range s.peerOrder {
		if p.health != dead {
			live = append(live, p)
		}
	}
	return live
}

// checkReady lets callers in once a file is in force and each listed peer has
// been heard or could not be reached for JoinWait: only then are the tiers
// known that its peers have closed.
func (s *State) checkReady() {
	ready := s.file != nil && !s.stopping && (s.ready || s.metListed() && s.hasNewest())
	if ready != s.ready {
		s.ready = ready
		s.joined = s.joined || ready
		s.log("ready", "ready", ready)
		s.emit(ReadyChanged{Ready: ready})
	}
}

// hasNewest reports whether no peer that was met has announced a file above
// the one in force: a fresh instance that reads a stale platform takes its
// peers' file before it takes callers. JoinWait bounds the wait for the reply.
func (s *State) hasNewest() bool {
	if s.now.Sub(s.startedAt) >= JoinWait {
		return true
	}
	for _, p := range s.peerOrder {
		if p.session && p.met && s.isAbove(p) {
			return false
		}
	}
	return true
}

func (s *State) metListed() bool {
	if s.now.Sub(s.startedAt) >= JoinWait {
		return true
	}
	if !s.listKnown {
		return false
	}
	for _, i := range s.listed {
		if i.Name == s.cfg.Instance || i.Leaving {
			continue
		}
		met := false
		for _, p := range s.peerOrder {
			met = met || p.name == i.Name && p.met
		}
		if !met {
			return false
		}
	}
	return true
}
