package peer

import (
	"sync"
	"sync/atomic"
)

// RefusalReason is the reason why a connection or a stream was refused.
type RefusalReason string

// The complete list of refusal reasons.
const (
	// RefusedDial: connecting to the address failed.
	RefusedDial RefusalReason = "dial_failed"
	// RefusedTLS: the TLS handshake failed, usually because the peer has no
	// certificate of the same CA.
	RefusedTLS RefusalReason = "tls"
	// RefusedTimeout: the handshake timed out.
	RefusedTimeout RefusalReason = "handshake_timeout"
	// RefusedHandshake: the connection failed during the handshake, or the
	// input did not follow the protocol.
	RefusedHandshake RefusalReason = "handshake_failed"
	// RefusedHello: the first frame was not a valid Hello.
	RefusedHello             RefusalReason = "bad_hello"
	RefusedProtocol          RefusalReason = "other_protocol"
	RefusedZone              RefusalReason = "other_availability_zone"
	RefusedSelf              RefusalReason = "self"
	RefusedTooManyPeers      RefusalReason = "too_many_peers"
	RefusedTooManySessions   RefusalReason = "too_many_sessions"
	RefusedTooManyStreams    RefusalReason = "too_many_streams"
	RefusedTooManyHandshakes RefusalReason = "too_many_handshakes"
	// RefusedStreamKind: the first byte of a stream is not a known kind.
	RefusedStreamKind RefusalReason = "unknown_stream_kind"
	RefusedStopping   RefusalReason = "stopping"
)

// RefusalReasons returns all refusal reasons.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{
		RefusedDial, RefusedTLS, RefusedTimeout, RefusedHandshake, RefusedHello, RefusedProtocol,
		RefusedZone, RefusedSelf, RefusedTooManyPeers, RefusedTooManySessions,
		RefusedTooManyStreams, RefusedTooManyHandshakes, RefusedStreamKind, RefusedStopping,
	}
}

// DropReason is the reason why a frame did not reach its destination or the
// Handler.
type DropReason string

// The complete list of drop reasons.
const (
	DroppedNoSession   DropReason = "no_session"
	DroppedQueueFrames DropReason = "queue_frames"
	DroppedQueueBytes  DropReason = "queue_bytes"
	// DroppedOversize: a frame to be sent exceeds the size limit of its kind.
	DroppedOversize DropReason = "oversize"
	// DroppedSessionLost: the session ended before the frame was written.
	DroppedSessionLost DropReason = "session_lost"
	// DroppedMalformed: received bytes were not a frame or exceeded the size
	// limit.
	DroppedMalformed DropReason = "malformed"
	// DroppedWrongSender: a received frame names a sender other than the peer.
	DroppedWrongSender DropReason = "wrong_sender"
	// DroppedUnexpected: a received frame is of an unknown kind or is a second
	// Hello.
	DroppedUnexpected DropReason = "unexpected"
)

// DropReasons returns all drop reasons.
func DropReasons() []DropReason {
	return []DropReason{
		DroppedNoSession, DroppedQueueFrames, DroppedQueueBytes, DroppedOversize,
		DroppedSessionLost, DroppedMalformed, DroppedWrongSender, DroppedUnexpected,
	}
}

// Traffic counts the frames of one kind and their bytes, length prefixes
// included.
type Traffic struct {
	Frames int64 `json:"frames_total"`
	Bytes  int64 `json:"bytes_total"`
}

// Stats is a snapshot of the counters of a Transport since its creation.
type Stats struct {
	// Peers and Sessions are the current numbers.
	Peers    int `json:"peers"`
	Sessions int `json:"sessions"`
	// QueuedFrames and QueuedBytes are the current totals of all queues.
	QueuedFrames int `json:"queued_frames"`
	QueuedBytes  int `json:"queued_bytes"`

	Sent     map[string]Traffic      `json:"sent"`
	Received map[string]Traffic      `json:"received"`
	Refused  map[RefusalReason]int64 `json:"refused_total"`
	Dropped  map[DropReason]int64    `json:"dropped_total"`

	// WireSent and WireReceived count the bytes below yamux and above TCP or
	// TLS, forwarded requests included.
	WireSent         int64 `json:"wire_sent_bytes_total"`
	WireReceived     int64 `json:"wire_received_bytes_total"`
	ForwardsOpened   int64 `json:"forwards_opened_total"`
	ForwardsAccepted int64 `json:"forwards_accepted_total"`
}

type counters struct {
	sentFrames, sentBytes         [kindLimit]atomic.Int64
	receivedFrames, receivedBytes [kindLimit]atomic.Int64

	wireSent, wireReceived           atomic.Int64
	forwardsOpened, forwardsAccepted atomic.Int64

	mu      sync.Mutex
	refused map[RefusalReason]int64
	dropped map[DropReason]int64
}

func (c *counters) countSent(k kind, bytes int) {
	c.sentFrames[k].Add(1)
	c.sentBytes[k].Add(int64(bytes))
}

func (c *counters) countReceived(k kind, bytes int) {
	c.receivedFrames[k].Add(1)
	c.receivedBytes[k].Add(int64(bytes))
}

func (c *counters) countRefusal(reason RefusalReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[RefusalReason]int64{}
	}
	c.refused[reason]++
}

func (c *counters) countDrop(reason DropReason) { c.countDrops(reason, 1) }

func (c *counters) countDrops(reason DropReason, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped == nil {
		c.dropped = map[DropReason]int64{}
	}
	c.dropped[reason] += int64(n)
}

// Stats returns a snapshot. It contains every refusal and drop reason, but only
// the frame kinds that occurred.
func (t *Transport) Stats() Stats {
	c := &t.stats
	s := Stats{
		Sent:             traffic(&c.sentFrames, &c.sentBytes),
		Received:         traffic(&c.receivedFrames, &c.receivedBytes),
		Refused:          map[RefusalReason]int64{},
		Dropped:          map[DropReason]int64{},
		WireSent:         c.wireSent.Load(),
		WireReceived:     c.wireReceived.Load(),
		ForwardsOpened:   c.forwardsOpened.Load(),
		ForwardsAccepted: c.forwardsAccepted.Load(),
	}
	c.mu.Lock()
	for _, reason := range RefusalReasons() {
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

func traffic(frames, bytes *[kindLimit]atomic.Int64) map[string]Traffic {
	m := map[string]Traffic{}
	for k, name := range kindNames {
		if n := frames[k].Load(); n > 0 {
			m[name] = Traffic{Frames: n, Bytes: bytes[k].Load()}
		}
	}
	return m
}
