package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Instant is a reading of the boot-time clock: nanoseconds since the machine
// started, counted also while it is suspended.
type Instant int64

// Add returns t moved by d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Incarnation identifies one run of one process: a random number drawn at its
// start, never reused.
type Incarnation uint64

// RequestID identifies a request within the incarnation that holds it. It is
// also the sequence number of the request's ticket.
type RequestID uint64

// Event is something that happened outside the reducer.
type Event interface{ event() }

type (
	// Tick lets time pass; the control loop sends one at least every
	// TickInterval.
	Tick struct{}

	// FileOffered is a valid declared file that was read from the platform or
	// a peer.
	FileOffered struct {
		File *declared.File
		// Manifest and Parts are the published bytes, kept for peers.
		Manifest []byte
		Parts    [][]byte
		Source   string
	}

	// InstancesListed is the platform's list, which lags behind reality.
	InstancesListed struct{ Instances []Instance }

	// PeerUp says that a control stream to a peer is established.
	PeerUp struct {
		Peer  Incarnation
		Hello *peerpb.Hello
	}

	// PeerDown says that the last control stream to a peer is closed.
	PeerDown struct{ Peer Incarnation }

	// PeerMessage is a frame received from a peer.
	PeerMessage struct {
		From  Incarnation
		Frame *peerpb.Frame
	}

	// RequestArrived is a caller's request whose head and body were read and
	// whose organisation was authenticated.
	RequestArrived struct {
		Request Request
		// Waiter is how traffic knows the caller that waits.
		Waiter Waiter
	}

	// TicketRequested asks for a fresh ticket without a request.
	TicketRequested struct{ Waiter Waiter }

	// CallerGone says that a waiter's connection closed.
	CallerGone struct{ Waiter Waiter }

	// ConnectDone ends a Connect effect.
	ConnectDone struct {
		Request  RequestID
		Endpoint string
		OK       bool
	}

	// FirstByte says that an answer of a dispatched request began.
	FirstByte struct{ Request RequestID }

	// DispatchDone ends a Dispatch effect.
	DispatchDone struct {
		Request RequestID
		Result  Result
	}

	// EndpointReported is a load report, which lags.
	EndpointReported struct {
		Endpoint string
		Report   EndpointReport
	}

	// CacheChanged is a cache event from an engine; some are missing.
	CacheChanged struct {
		Endpoint string
		// Prefix is the digest of a prompt prefix.
		Prefix uint64
		Held   bool
	}

	// StopRequested begins a graceful shutdown.
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

// Waiter identifies one caller's connection that waits for an answer.
type Waiter uint64

// Instance is one entry of the platform's list.
type Instance struct {
	Name             string
	AvailabilityZone string
	// PeerAddress is an IP number with a port.
	PeerAddress string
	Leaving     bool
}

// Request describes a caller's request; its body stays with traffic.
type Request struct {
	Organisation string
	Tier         string
	// Pool is the model or the service that the request names.
	Pool string
	// Idempotent says whether the call may be repeated.
	Idempotent bool
	// Ticket is zero where the caller sent none. Traffic has verified that
	// this incarnation minted it; re-sends of tickets of another incarnation
	// are forwarded before they become events.
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
	// Deadline is the time left for the whole answer.
	Deadline time.Duration
}

// Ticket is the part of a verified ticket that the reducer decides on.
type Ticket struct {
	Request RequestID
	// Expires is on the boot-time clock of the minting process.
	Expires Instant
}

// Ended tells how a dispatched request ended.
type Ended int

// The ways in which a dispatch ends.
const (
	// EndedWhole is a whole answer, of whatever HTTP status below 500.
	EndedWhole Ended = iota
	// EndedNotSent means that no byte reached the endpoint.
	EndedNotSent
	// EndedWithheld means that no byte was sent because the slot's lease had
	// run out.
	EndedWithheld
	// EndedRejected is a complete error answer of the endpoint.
	EndedRejected
	// EndedBroken means that the connection failed after the first byte was
	// sent and the answer could not be resumed.
	EndedBroken
	// EndedCancelled means that this instance cancelled the run.
	EndedCancelled
)

// Result is what a dispatch used.
type Result struct {
	Ended        Ended
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Elapsed      time.Duration
	// Kept says that traffic keeps the whole answer for re-sends.
	Kept bool
}

// EndpointReport is what an endpoint says of itself.
type EndpointReport struct {
	// Age is how old the report was when it arrived.
	Age     time.Duration
	Running int
	Waiting int
	// DecodeTokensPerSecond is the rate of the last interval; zero if idle.
	DecodeTokensPerSecond float64
	Leaving               bool
	// Started identifies the endpoint's own run; a change means a restart.
	Started uint64
	// Unreachable says that the report could not be fetched.
	Unreachable bool
}

// Refused is the final word on a request.
type Refused struct {
	Reason     refusal.Reason
	RetryAfter time.Duration
	// Ticket is a fresh ticket for the caller, where the reason offers one.
	Ticket Ticket
}
