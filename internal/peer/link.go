package peer

import (
	"slices"
	"sync"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// maxSessionsPerPeer bounds the sessions to one peer: the one in use, its
// replacement, and draining ones that still carry forwarded requests.
const maxSessionsPerPeer = 4

// link holds the sessions to one peer: usually one, and two for a short time if
// both sides dialled at once.
type link struct {
	t    *Transport
	peer uint64

	// sessions is ordered by age, oldest first. Guarded by Transport.mu.
	sessions []*session

	// handlerMu serialises the Handler calls for this peer. It is locked before
	// Transport.mu.
	handlerMu  sync.Mutex
	reportedUp bool
}

// preferred reports whether a is to be kept rather than b. Both sides of a pair
// decide alike. Of sessions dialled by different sides, the one dialled by the
// smaller incarnation is kept. Of sessions dialled by the same side, the later
// one is kept, because a side that dials again has given up its earlier
// session.
func preferred(a, b *session) bool {
	if a.dialler() != b.dialler() {
		return a.dialler() < b.dialler()
	}
	return a.number > b.number
}

// current returns the session for new frames and requests, or nil. Transport.mu
// must be held.
func (l *link) current() *session {
	var best *session
	for _, s := range l.sessions {
		if !s.draining && (best == nil || preferred(s, best)) {
			best = s
		}
	}
	return best
}

// addSession registers a session; the next notifyHandler reports it to the
// Handler. On the accepting side it runs before the local Hello is sent: when
// the dialler receives that Hello and drains a less preferred session, this
// side already has the replacement, so that its Handler receives no PeerDown.
func (t *Transport) addSession(s *session) error {
	t.mu.Lock()
	if t.ctx == nil {
		t.mu.Unlock()
		return newRefusal(RefusedStopping, nil)
	}
	l := t.links[s.peer]
	if l == nil {
		if len(t.links) >= t.cfg.MaxPeers {
			t.mu.Unlock()
			return newRefusal(RefusedTooManyPeers, nil)
		}
		l = &link{t: t, peer: s.peer}
		t.links[s.peer] = l
	}
	if len(l.sessions) >= maxSessionsPerPeer {
		t.mu.Unlock()
		return newRefusal(RefusedTooManySessions, nil)
	}
	t.lastSessionNumber++
	s.number = t.lastSessionNumber
	s.link = l
	l.sessions = append(l.sessions, s)
	t.mu.Unlock()
	return nil
}

// removeSession removes a closed session.
func (t *Transport) removeSession(s *session) {
	t.mu.Lock()
	l := s.link
	l.sessions = slices.DeleteFunc(l.sessions, func(o *session) bool { return o == s })
	t.mu.Unlock()
	l.notifyHandler()
}

// resolveDuplicates reduces the sessions to a peer to one. The side that
// dialled the preferred session keeps it if the peer answers a ping on it, and
// drains the others; otherwise it closes the preferred one. The other side only
// closes sessions on which a ping is not answered. A preferred session that is
// dead at the remote end is thus replaced by a later one that works.
func (l *link) resolveDuplicates() {
	l.t.mu.Lock()
	best := l.current()
	var others []*session
	for _, s := range l.sessions {
		if s != best && !s.draining {
			others = append(others, s)
		}
	}
	l.t.mu.Unlock()
	if len(others) == 0 {
		return
	}
	if !best.dialled {
		for _, s := range others {
			if !s.probe() {
				s.close(closedByProbe)
			}
		}
		return
	}
	if !best.probe() {
		best.close(closedByProbe)
		return
	}
	for _, s := range others {
		s.drain()
	}
}

// notifyHandler calls PeerUp or PeerDown if the state of the link has changed
// since the last call. It compares states rather than passing on each change,
// so that two changes in quick succession can neither be reported in the wrong
// order nor leave the last one unreported.
func (l *link) notifyHandler() {
	l.handlerMu.Lock()
	defer l.handlerMu.Unlock()
	l.notifyHandlerLocked()
}

func (l *link) notifyHandlerLocked() {
	l.t.mu.Lock()
	s := l.current()
	if s == nil && len(l.sessions) == 0 && !l.reportedUp && l.t.links[l.peer] == l {
		delete(l.t.links, l.peer)
	}
	l.t.mu.Unlock()
	switch {
	case s != nil && !l.reportedUp:
		l.reportedUp = true
		l.t.cfg.Handler.PeerUp(l.peer, s.hello)
	case s == nil && l.reportedUp:
		l.t.cfg.Handler.PeerDown(l.peer)
		l.reportedUp = false
		l.notifyHandlerLocked()
	}
}

// deliverMessage passes a frame to the Handler unless the peer is reported as
// down.
func (l *link) deliverMessage(f *peerpb.Frame) {
	l.handlerMu.Lock()
	defer l.handlerMu.Unlock()
	if l.reportedUp {
		l.t.cfg.Handler.Message(l.peer, f)
	}
}
