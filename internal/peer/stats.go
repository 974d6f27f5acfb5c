package peer

import (
	"sync"
	"sync/atomic"
)

// RefuseReason says why a connection or a stream was not taken.
type RefuseReason string

// The closed list of refuse reasons.
const (
	// RefusedDial: the address could not be connected to.
	RefusedDial RefuseReason = "dial_failed"
	// RefusedTLS: the far end has no certificate of the same authority.
	RefusedTLS RefuseReason = "tls"
	// RefusedTimeout: the handshake took too long.
	RefusedTimeout RefuseReason = "handshake_timeout"
	// RefusedHandshake: the connection failed during the handshake, or what
	// came was not the protocol.
	RefusedHandshake RefuseReason = "handshake_failed"
	// RefusedHello: the first frame was no valid Hello.
	RefusedHello             RefuseReason = "bad_hello"
	RefusedProtocol          RefuseReason = "other_protocol"
	RefusedZone              RefuseReason = "other_availability_zone"
	RefusedSelf              RefuseReason = "self"
	RefusedTooManyPeers      RefuseReason = "too_many_peers"
	RefusedTooManySessions   RefuseReason = "too_many_sessions"
	RefusedTooManyStreams    RefuseReason = "too_many_streams"
	RefusedTooManyHandshakes RefuseReason = "too_many_handshakes"
	// RefusedStreamKind: the first byte of a stream is not known.
	RefusedStreamKind RefuseReason = "unknown_stream_kind"
	RefusedStopping   RefuseReason = "stopping"
)

// RefuseReasons returns the closed list.
func RefuseReasons() []RefuseReason {
	return []RefuseReason{
		RefusedDial, RefusedTLS, RefusedTimeout, RefusedHandshake, RefusedHello, RefusedProtocol,
		RefusedZone, RefusedSelf, RefusedTooManyPeers, RefusedTooManySessions,
		RefusedTooManyStreams, RefusedTooManyHandshakes, RefusedStreamKind, RefusedStopping,
	}
}

// DropReason says why a frame did not reach its destination or the Handler.
type DropReason string

// The closed list of drop reasons.
const (
	DroppedNoSession   DropReason = "no_session"
	DroppedQueueFrames DropReason = "queue_frames"
	DroppedQueueBytes  DropReason = "queue_bytes"
	// DroppedOversize: a frame to be sent is larger than its kind may be.
	DroppedOversize DropReason = "oversize"
	// DroppedSessionLost: the session ended before the frame was written.
	DroppedSessionLost DropReason = "session_lost"
	// DroppedMalformed: received bytes were no frame or over the limit.
	DroppedMalformed DropReason = "malformed"
	// DroppedWrongSender: a received frame names another sender.
	DroppedWrongSender DropReason = "wrong_sender"
	// DroppedUnexpected: a received frame's kind is not known here, or it is
	// a second Hello.
	DroppedUnexpected DropReason = "unexpected"
)

// DropReasons returns the closed list.
func DropReasons() []DropReason {
	return []DropReason{
		DroppedNoSession, DroppedQueueFrames, DroppedQueueBytes, DroppedOversize,
		DroppedSessionLost, DroppedMalformed, DroppedWrongSender, DroppedUnexpected,
	}
}

// Traffic counts the frames of one kind and their bytes with their lengths.
type Traffic struct {
	Frames int64 `json:"frames_total"`
	Bytes  int64 `json:"bytes_total"`
}

// Stats is a snapshot of a Transport's counters since it was made.
type Stats struct {
	// Peers and Sessions are counts of now.
	Peers    int `json:"peers"`
	Sessions int `json:"sessions"`
	// QueuedFrames and QueuedBytes wait in all queues now.
	QueuedFrames int `json:"queued_frames"`
	QueuedBytes  int `json:"queued_bytes"`

	Sent     map[string]Traffic     `json:"sent"`
	Received map[string]Traffic     `json:"received"`
	Refused  map[RefuseReason]int64 `json:"refused_total"`
	Dropped  map[DropReason]int64   `json:"dropped_total"`

	// WireSent and WireReceived count the bytes below yamux and above TCP or
	// TLS, forwarded requests included.
	WireSent         int64 `json:"wire_sent_bytes_total"`
	WireReceived     int64 `json:"wire_received_bytes_total"`
	ForwardsOpened   int64 `json:"forwards_opened_total"`
	ForwardsAccepted int64 `json:"forwards_accepted_total"`
}

type counters struct {
	sentFrames, sentBytes         [kinds]atomic.Int64
	receivedFrames, receivedBytes [kinds]atomic.Int64

	wireSent, wireReceived           atomic.Int64
	forwardsOpened, forwardsAccepted atomic.Int64

	mu      sync.Mutex
	refused map[RefuseReason]int64
	dropped map[DropReason]int64
}

func (c *counters) sent(k kind, bytes int) {
	c.sentFrames[k].Add(1)
	c.sentBytes[k].Add(int64(bytes))
}

func (c *counters) received(k kind, bytes int) {
	c.receivedFrames[k].Add(1)
	c.receivedBytes[k].Add(int64(bytes))
}

func (c *counters) refuse(reason RefuseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[RefuseReason]int64{}
	}
	c.refused[reason]++
}

func (c *counters) drop(reason DropReason) { c.dropN(reason, 1) }

func (c *counters) dropN(reason DropReason, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped == nil {
		c.dropped = map[DropReason]int64{}
	}
	c.dropped[reason] += int64(n)
}

// Stats returns a snapshot. Every reason of both lists is in it; of the kinds,
// those that occurred.
func (t *Transport) Stats() Stats {
	c := &t.stats
	s := Stats{
		Sent:             traffic(&c.sentFrames, &c.sentBytes),
		Received:         traffic(&c.receivedFrames, &c.receivedBytes),
		Refused:          map[RefuseReason]int64{},
		Dropped:          map[DropReason]int64{},
		WireSent:         c.wireSent.Load(),
		WireReceived:     c.wireReceived.Load(),
		ForwardsOpened:   c.forwardsOpened.Load(),
		ForwardsAccepted: c.forwardsAccepted.Load(),
	}
	c.mu.Lock()
	for _, reason := range RefuseReasons() {
		s.Refused[reason] = c.refused[reason]
	}
	for _, reason := range DropReasons() {
		s.Dropped[reason] = c.dropped[reason]
	}
	c.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.current() != nil {
			s.Peers++
		}
		s.Sessions += len(l.sessions)
		for _, session := range l.sessions {
			frames, bytes := session.queue.size()
			s.QueuedFrames += frames
			s.QueuedBytes += bytes
		}
	}
	return s
}

func traffic(frames, bytes *[kinds]atomic.Int64) map[string]Traffic {
	m := map[string]Traffic{}
	for k, name := range kindNames {
		if n := frames[k].Load(); n > 0 {
			m[name] = Traffic{Frames: n, Bytes: bytes[k].Load()}
		}
	}
	return m
}
