package peer

import (
	"slices"
	"sync"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// maxSessions bounds the sessions of one link: the one in use, one that is
// replacing it, and those retired that still carry forwarded requests.
const maxSessions = 4

// link is all that there is of one peer: usually one session, for a moment
// two where both sides dialled at once.
type link struct {
	t    *Transport
	peer uint64

	// sessions is guarded by Transport.mu, oldest first.
	sessions []*session

	// deliver makes the Handler's calls for this peer one after another. It is
	// taken before Transport.mu.
	deliver   sync.Mutex
	announced bool
}

// better reports whether a is to be kept rather than b. Both sides of a pair
// judge alike: between two diallers the smaller incarnation's session stays;
// a dialler that dials again has given up its earlier session.
func better(a, b *session) bool {
	if a.dialler() != b.dialler() {
		return a.dialler() < b.dialler()
	}
	return a.number > b.number
}

// current returns the session that takes new frames and requests, or nil.
// Transport.mu must be held.
func (l *link) current() *session {
	var best *session
	for _, s := range l.sessions {
		if !s.retired && (best == nil || better(s, best)) {
			best = s
		}
	}
	return best
}

// add registers a session; the Handler learns of it from the next sync. On the
// accepting side it runs before the handshake's answer is sent: when the
// dialler sees the answer and retires a lesser session, this side has one to
// fall back on, so that its Handler sees no flap.
func (t *Transport) add(s *session) error {
	t.mu.Lock()
	if t.ctx == nil {
		t.mu.Unlock()
		return refused(RefusedStopping, nil)
	}
	l := t.links[s.peer]
	if l == nil {
		if len(t.links) >= t.cfg.MaxPeers {
			t.mu.Unlock()
			return refused(RefusedTooManyPeers, nil)
		}
		l = &link{t: t, peer: s.peer}
		t.links[s.peer] = l
	}
	if len(l.sessions) >= maxSessions {
		t.mu.Unlock()
		return refused(RefusedTooManySessions, nil)
	}
	t.lastNumber++
	s.number = t.lastNumber
	s.link = l
	l.sessions = append(l.sessions, s)
	t.mu.Unlock()
	return nil
}

// remove forgets a session that is closed.
func (t *Transport) remove(s *session) {
	t.mu.Lock()
	l := s.link
	l.sessions = slices.DeleteFunc(l.sessions, func(o *session) bool { return o == s })
	t.mu.Unlock()
	l.sync()
}

// resolve leaves one session of those to a peer. The dialler of the best one
// keeps it if it answers a ping, and retires the others; the other side only
// closes what answers no more. A best session that is dead at the far end thus
// gives way to a later one that lives.
func (l *link) resolve() {
	l.t.mu.Lock()
	best := l.current()
	var others []*session
	for _, s := range l.sessions {
		if s != best && !s.retired {
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
		s.retire()
	}
}

// sync tells the Handler what has changed since it was told last. It looks at
// the state rather than at changes, so that two of them in a short time can
// neither be told in the wrong order nor leave the last one untold.
func (l *link) sync() {
	l.deliver.Lock()
	defer l.deliver.Unlock()
	l.syncLocked()
}

func (l *link) syncLocked() {
	l.t.mu.Lock()
	s := l.current()
	if s == nil && len(l.sessions) == 0 && !l.announced && l.t.links[l.peer] == l {
		delete(l.t.links, l.peer)
	}
	l.t.mu.Unlock()
	switch {
	case s != nil && !l.announced:
		l.announced = true
		l.t.cfg.Handler.PeerUp(l.peer, s.hello)
	case s == nil && l.announced:
		l.t.cfg.Handler.PeerDown(l.peer)
		l.announced = false
		l.syncLocked()
	}
}

// message delivers a frame unless the Handler has been told that the peer is
// down.
func (l *link) message(f *peerpb.Frame) {
	l.deliver.Lock()
	defer l.deliver.Unlock()
	if l.announced {
		l.t.cfg.Handler.Message(l.peer, f)
	}
}
