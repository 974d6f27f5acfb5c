package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Instant is a reading of the boot-time clock: nanoseconds since the machine
// started, including the time during which it was suspended.
type Instant int64

// Add returns t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Incarnation identifies one run of a process: a random number generated at its
// start and never reused.
type Incarnation uint64

// RequestID identifies a request within the incarnation that holds it. It is
// also the sequence number of the request's ticket.
type RequestID uint64

// Event is something that happened outside the reducer.
type Event interface{ event() }

type (
	// Tick reports that time has passed; the control loop sends one at least
	// every TickInterval.
	Tick struct{}

	// FileOffered carries a valid declared file read from the platform or a
	// peer.
	FileOffered struct {
		File *declared.File
		// Manifest and Parts are the published bytes, which are sent to peers on
		// request.
		Manifest []byte
		Parts    [][]byte
		Source   string
	}

	// InstancesListed carries the platform's list of instances, which may be
	// outdated.
	InstancesListed struct{ Instances []Instance }

	// PeerUp reports that a control stream to a peer is established.
	PeerUp struct {
		Peer  Incarnation
		Hello *peerpb.Hello
	}

	// PeerDown reports that the last control stream to a peer is closed.
	PeerDown struct{ Peer Incarnation }

	// PeerMessage carries a frame received from a peer.
	PeerMessage struct {
		From  Incarnation
		Frame *peerpb.Frame
	}

	// RequestArrived carries a caller's request whose header and body are read
	// and whose organisation is authenticated.
	RequestArrived struct {
		Request Request
		// Waiter identifies the waiting caller's connection to package traffic.
		Waiter Waiter
	}

	// TicketRequested requests a new ticket without a request.
	TicketRequested struct{ Waiter Waiter }

	// CallerGone reports that a waiter's connection closed.
	CallerGone struct{ Waiter Waiter }

	// ConnectDone reports the result of a Connect effect.
	ConnectDone struct {
		Request  RequestID
		Endpoint string
		OK       bool
	}

	// FirstByte reports that the answer to a dispatched request has started.
	FirstByte struct{ Request RequestID }

	// DispatchDone reports the result of a Dispatch effect.
	DispatchDone struct {
		Request RequestID
		Result  Result
	}

	// EndpointReported carries a load report of an endpoint, which may be
	// outdated.
	EndpointReported struct {
		Endpoint string
		Report   EndpointReport
	}

	// CacheChanged reports that an engine cached or evicted a prefix. Events
	// may be lost.
	CacheChanged struct {
		Endpoint string
		// Prefix is the digest of a prompt prefix.
		Prefix uint64
		Held   bool
	}

	// StopRequested starts a graceful shutdown.
	StopRequested struct{}
)

func (Tick) event()             {}
func (FileOffered) event()      {}
func (InstancesListed) event()  {}
func (PeerUp) event()           {}
func (PeerDown) event()         {}
func (PeerMessage) event()      {}
func (RequestArrived) event()   {}
func (TicketRequested) event()  {}
func (CallerGone) event()       {}
func (ConnectDone) event()      {}
func (FirstByte) event()        {}
func (DispatchDone) event()     {}
func (EndpointReported) event() {}
func (CacheChanged) event()     {}
func (StopRequested) event()    {}

// Waiter identifies a caller's connection that waits for an answer.
type Waiter uint64

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name             string
	AvailabilityZone string
	// PeerAddress is an IP address with a port.
	PeerAddress string
	Leaving     bool
}

// Request describes a caller's request. Package traffic keeps its body.
type Request struct {
	Organisation string
	Tier         string
	// Pool is the model or the service that the request names.
	Pool string
	// Idempotent reports whether the call may be repeated.
	Idempotent bool
	// Ticket is zero if the caller sent none. Package traffic has verified that
	// this incarnation issued it; a request with a ticket of another incarnation
	// is forwarded there and does not become an event here.
	Ticket Ticket
	// CallerKey is the digest of the caller's Idempotency-Key, or zero.
	CallerKey uint64
	// PromptTokens and OutputTokens are estimates of the work; zero for
	// services.
	PromptTokens int
	OutputTokens int
	// Prefix is the digest of the beginning of the prompt, or zero.
	Prefix uint64
	// Fingerprint is the digest of organisation and content.
	Fingerprint uint64
	// Deadline is the time left for the complete answer.
	Deadline time.Duration
}

// Ticket is the part of a verified ticket that the reducer uses.
type Ticket struct {
	Request RequestID
	// Expires is on the boot-time clock of the issuing process.
	Expires Instant
}

// Ended is how a dispatch ended.
type Ended int

// The ways in which a dispatch ends.
const (
	// EndedComplete means a complete answer with any HTTP status below 500.
	EndedComplete Ended = iota
	// EndedNotSent means that no byte reached the endpoint.
	EndedNotSent
	// EndedLeaseExpired means that no byte was sent because the slot's lease had
	// expired.
	EndedLeaseExpired
	// EndedRejected means a complete error answer from the endpoint.
	EndedRejected
	// EndedBroken means that the connection failed after the first byte was
	// sent and the answer could not be resumed.
	EndedBroken
	// EndedCancelled means that this instance cancelled the run.
	EndedCancelled
)

// Result is the end of a dispatch and the resources that it used.
type Result struct {
	Ended        Ended
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Elapsed      time.Duration
	// Kept reports whether package traffic keeps the complete answer for
	// re-sends.
	Kept bool
}

// EndpointReport is the state that an endpoint reports.
type EndpointReport struct {
	// Age is the age of the report on arrival.
	Age     time.Duration
	Running int
	Waiting int
	// DecodeTokensPerSecond is the rate of the last interval, or zero if idle.
	DecodeTokensPerSecond float64
	Leaving               bool
	// Started identifies the run of the endpoint's process; a change means a
	// restart.
	Started uint64
	// Unreachable reports that fetching the report failed.
	Unreachable bool
}

// Refused is the final answer to a request that is refused.
type Refused struct {
	Reason     refusal.Reason
	RetryAfter time.Duration
	// Ticket is a new ticket for the caller, for reasons that provide one.
	Ticket Ticket
}
