package reducer

import (
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// health is the state of a peer as this instance sees it.
type health int

const (
	// alive peers receive new work.
	alive health = iota
	// suspected peers receive no new work but keep the endpoints that they own.
	suspected
	// dead peers own no endpoints, and the slots that they held are free.
	dead
)

// healthNames holds the label of each health value, indexed by that value.
var healthNames = [...]string{"alive", "suspected", "dead"}

// peer is another incarnation in this availability zone.
type peer struct {
	id            Incarnation
	name          string
	address       string
	health        health
	session       bool
	leaving       bool
	lastContact   Instant
	heartbeatSeen bool
	// heartbeats holds the sequence numbers of the last heartbeats received and
	// their receive times.
	heartbeats [heartbeatHistory]heartbeatTime
	revision   uint64
	digest     string
	view       uint64
	loads      map[string]*peerpb.PoolLoad
	// slotsRequested counts, by pool, the slots requested from this owner since
	// its last heartbeat, so that a burst of requests is not placed by the same
	// outdated load figure.
	slotsRequested map[string]int
}

// heartbeatHistory is the number of heartbeats kept with their times. They
// span more than a CloseLease.
const heartbeatHistory = 16

// heartbeatTime is the time at which a heartbeat was sent or received.
type heartbeatTime struct {
	sequence uint64
	at       Instant
}

// newestHeartbeatAt returns the highest sequence number of the heartbeats that
// had been received from the peer by the given time, or zero.
func (p *peer) newestHeartbeatAt(at Instant) uint64 {
	newest := uint64(0)
	for _, h := range p.heartbeats {
		if h.sequence > newest && h.at <= at {
			newest = h.sequence
		}
	}
	return newest
}

// echoedLeaseLeft returns the remainder of a CloseLease that began when this
// instance sent the heartbeat with the given sequence number. A peer that
// echoes the heartbeat received it after it was sent, so a state that the peer
// knew to last for a CloseLease from receipt lasts at least that long.
func (s *State) echoedLeaseLeft(sequence uint64) time.Duration {
	h := s.heartbeatsSent[sequence%heartbeatHistory]
	if sequence == 0 || h.sequence != sequence {
		return 0
	}
	return max(0, CloseLease-s.now.Sub(h.at))
}

func (p *peer) usable() bool { return p.health == alive && p.session && !p.leaving }

// peerUp handles a new control stream. Another incarnation with the same
// instance name is marked dead at once, since an instance runs one process.
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
		p = &peer{id: ev.Peer, loads: map[string]*peerpb.PoolLoad{}, slotsRequested: map[string]int{}}
		s.peers[ev.Peer] = p
		s.peerOrder = append(s.peerOrder, p)
		sort.Slice(s.peerOrder, func(i, j int) bool { return s.peerOrder[i].id < s.peerOrder[j].id })
	}
	p.name, p.address = h.GetInstance(), h.GetPeerAddress()
	p.session = true
	p.lastContact = s.now
	p.health = alive
	s.log("peer_up", "peer", p.name, "incarnation", uint64(p.id))
	s.recomputeOwners()
	s.sendHeartbeat(p)
	s.sendHeldTo(p.id)
	s.sendSuspectsTo(p.id)
}

// peerDown marks a peer suspected at once, because a closed session carries no
// new work.
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

// recordContact updates the time of the last contact with a peer. A process
// that was paused and marked dead becomes alive again with the slots it still
// holds, which it reports in Held.
func (s *State) recordContact(id Incarnation) {
	p := s.peers[id]
	if p == nil {
		return
	}
	p.lastContact = s.now
	if p.health != alive && p.session {
		previous := p.health
		s.setHealth(p, alive, "heard")
		if previous == dead {
			s.sendHeldTo(p.id)
		}
	}
}

// checkPeers applies the timeouts for suspected, dead and forgotten peers.
func (s *State) checkPeers() {
	for _, p := range append([]*peer(nil), s.peerOrder...) {
		sinceContact := s.now.Sub(p.lastContact)
		limit := DeadAfter
		if !p.session {
			limit = DeadAfterClosed
		}
		switch {
		case p.health == dead && sinceContact > DeadPeerRetention && !p.session:
			s.forgetPeer(p)
		case p.health != dead && sinceContact > limit:
			s.setHealth(p, dead, "silent")
		case p.health == alive && sinceContact > SuspectAfter:
			s.setHealth(p, suspected, "silent")
		}
	}
}

func (s *State) setHealth(p *peer, h health, reason string) {
	if p.health == h {
		return
	}
	p.health = h
	name := healthNames[h]
	s.count(CounterSuspicions, name, 1)
	s.log("peer_health", "peer", p.name, "incarnation", uint64(p.id), "health", name, "why", reason)
	switch h {
	case suspected:
		s.moveRequestsFrom(p.id)
	case dead:
		s.dropHolder(p.id)
		s.recomputeOwners()
		s.moveRequestsFrom(p.id)
	case alive:
		s.recomputeOwners()
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
	s.recomputeOwners()
	s.moveRequestsFrom(id)
}

// instancesListed handles the platform's list of instances. The list serves
// only to discover peers: an instance that is missing from it or marked leaving
// may still hold requests, and one that is on it may be dead.
func (s *State) instancesListed(list []Instance) {
	s.accrueAll()
	s.listedInstances = s.listedInstances[:0]
	for _, i := range list {
		if i.AvailabilityZone == s.cfg.AvailabilityZone {
			s.listedInstances = append(s.listedInstances, i)
		}
	}
	sort.Slice(s.listedInstances, func(i, j int) bool { return s.listedInstances[i].Name < s.listedInstances[j].Name })
	s.instancesKnown = true
	s.connectListedPeers()
}

// connectListedPeers opens a session to each listed instance that has none.
func (s *State) connectListedPeers() {
	for _, i := range s.listedInstances {
		if i.Name == s.cfg.Instance || s.hasSessionTo(i.Name) {
			continue
		}
		s.emit(ConnectPeer{Instance: i})
	}
}

func (s *State) hasSessionTo(name string) bool {
	for _, p := range s.peerOrder {
		if p.name == name && p.session {
			return true
		}
	}
	return false
}

// listedInstanceCount returns the number of instances among which the zone's
// rates are divided. It includes this instance even if the list does not have
// it yet, so it is at least one.
func (s *State) listedInstanceCount() int {
	n := 0
	self := false
	for _, i := range s.listedInstances {
		n++
		self = self || i.Name == s.cfg.Instance
	}
	if !self {
		n++
	}
	return n
}

func (s *State) sendHeartbeats() {
	if s.now.Sub(s.lastHeartbeatAt) < HeartbeatInterval {
		return
	}
	s.lastHeartbeatAt = s.now
	s.heartbeatSeq++
	s.heartbeatsSent[s.heartbeatSeq%heartbeatHistory] = heartbeatTime{s.heartbeatSeq, s.now}
	for _, p := range s.peerOrder {
		if p.session {
			s.sendHeartbeat(p)
		}
	}
	s.connectListedPeers()
}

func (s *State) sendHeartbeat(p *peer) {
	hb := &peerpb.Heartbeat{
		Sequence: s.heartbeatSeq,
		View:     s.viewDigest(),
		Leaving:  s.stopping,
		Pools:    s.poolLoads(),
		Closures: s.activeClosures(),
	}
	if s.file != nil {
		d := s.file.Digest()
		hb.Revision = s.file.Revision
		hb.Digest = d[:8]
	}
	s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: hb}})
}

func (s *State) heartbeatReceived(from Incarnation, hb *peerpb.Heartbeat) {
	p := s.peers[from]
	if p == nil {
		return
	}
	p.heartbeatSeen = true
	p.revision = hb.GetRevision()
	p.digest = string(hb.GetDigest())
	p.view = hb.GetView()
	if h := &p.heartbeats[hb.GetSequence()%heartbeatHistory]; h.sequence != hb.GetSequence() {
		*h = heartbeatTime{hb.GetSequence(), s.now}
	}
	clear(p.slotsRequested)
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
		// Before this instance is ready it has no waiting requests that could
		// be refused out of order.
		s.closeTier(c.GetPool(), int(c.GetRank()), time.Duration(c.GetLeaseMs())*time.Millisecond)
	}
	s.requestNewerFile(p)
	s.rebalanceRequests()
}

// viewDigest identifies the set of incarnations that may own endpoints.
func (s *State) viewDigest() uint64 {
	d := uint64(0)
	for _, id := range s.eligibleOwners() {
		d = mix(d ^ uint64(id))
	}
	return d
}

// eligibleOwners returns, in order, the incarnations that may own endpoints:
// those that are not dead and not leaving. A leaving instance that is alone
// remains an owner, because no other instance could serve its requests.
func (s *State) eligibleOwners() []Incarnation {
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

// livePeers returns the peers that are not dead, in order.
func (s *State) livePeers() []*peer {
	var live []*peer
	for _, p := range s.peerOrder {
		if p.health != dead {
			live = append(live, p)
		}
	}
	return live
}

// checkReady makes the instance ready once a file is in force and each listed
// peer has sent a heartbeat, or JoinTimeout has passed. Until then the tiers that
// its peers have closed are not known.
func (s *State) checkReady() {
	ready := s.file != nil && !s.stopping && (s.ready || s.listedPeersContacted() && s.hasNewestFile())
	if ready != s.ready {
		s.ready = ready
		s.everReady = s.everReady || ready
		s.log("ready", "ready", ready)
		s.emit(ReadyChanged{Ready: ready})
	}
}

// hasNewestFile reports whether no peer that has sent a heartbeat has announced
// a file newer than the one in force. A new instance that reads outdated data
// from the platform thus adopts its peers' file before it becomes ready.
// JoinTimeout bounds the wait for the reply.
func (s *State) hasNewestFile() bool {
	if s.now.Sub(s.startedAt) >= JoinTimeout {
		return true
	}
	for _, p := range s.peerOrder {
		if p.session && p.heartbeatSeen && s.hasNewerFile(p) {
			return false
		}
	}
	return true
}

func (s *State) listedPeersContacted() bool {
	if s.now.Sub(s.startedAt) >= JoinTimeout {
		return true
	}
	if !s.instancesKnown {
		return false
	}
	for _, i := range s.listedInstances {
		if i.Name == s.cfg.Instance || i.Leaving {
			continue
		}
		contacted := false
		for _, p := range s.peerOrder {
			contacted = contacted || p.name == i.Name && p.heartbeatSeen
		}
		if !contacted {
			return false
		}
	}
	return true
}
