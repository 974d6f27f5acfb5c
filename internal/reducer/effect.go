package reducer

import (
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Effect is an action to perform outside the reducer.
type Effect interface{ effect() }

type (
	// Send sends a frame to a peer. The frame may be lost.
	Send struct {
		To    Incarnation
		Frame *peerpb.Frame
	}

	// Admitted reports the request ID and the ticket of a waiter's call to
	// package traffic, before any answer.
	Admitted struct {
		Waiter  Waiter
		Request RequestID
		Ticket  Ticket
	}

	// Refuse sends a waiter its final answer at once.
	Refuse struct {
		Waiter  Waiter
		Request RequestID
		Refused Refused
	}

	// JoinAnswer attaches a waiter to the answer of a request that runs or has run.
	JoinAnswer struct {
		Waiter  Waiter
		Request RequestID
	}

	// Connect obtains a connection without writing to the endpoint.
	Connect struct {
		Request  RequestID
		Endpoint string
		Address  string
	}

	// Dispatch writes the request to the connection that Connect obtained. It
	// is emitted again for the same request only after a DispatchDone that
	// reports that no byte was sent.
	Dispatch struct {
		Request  RequestID
		Endpoint string
		// NotAfter is the end of the slot's lease. At or after it, package
		// traffic writes nothing and reports EndedLeaseExpired.
		NotAfter Instant
	}

	// Disconnect releases a connection to which nothing was written.
	Disconnect struct{ Request RequestID }

	// Cancel stops a run that has no waiters left.
	Cancel struct{ Request RequestID }

	// DiscardAnswer discards a kept answer.
	DiscardAnswer struct{ Request RequestID }

	// FileAdopted puts a declared file in force.
	FileAdopted struct {
		File   *declared.File
		Source string
	}

	// Order instructs an engine which models to serve. Fencing is the revision
	// of the declared file.
	Order struct {
		Endpoint string
		Address  string
		Fencing  uint64
		Models   []string
	}

	// WatchEndpoints replaces the set of endpoints, by name and address, whose
	// reports are polled. They are the endpoints that this instance owns.
	WatchEndpoints struct{ Addresses map[string]string }

	// ReadyChanged reports to the platform's load balancer whether to send
	// callers to this instance.
	ReadyChanged struct{ Ready bool }

	// ConnectPeer opens a session to a listed instance.
	ConnectPeer struct{ Instance Instance }

	// ClosePeer closes the session to a dead peer.
	ClosePeer struct{ Peer Incarnation }

	// Logged writes an event to the log. Fields alternate keys and values.
	Logged struct {
		Event  string
		Fields []any
	}

	// Counted adds to a counter.
	Counted struct {
		Counter Counter
		// Label is a reason, a tier or empty. Its values form a fixed list.
		Label string
		Delta int64
	}

	// StopComplete reports that a graceful shutdown is complete.
	StopComplete struct{}
)

func (Send) effect()           {}
func (Admitted) effect()       {}
func (Refuse) effect()         {}
func (JoinAnswer) effect()     {}
func (Connect) effect()        {}
func (Dispatch) effect()       {}
func (Disconnect) effect()     {}
func (Cancel) effect()         {}
func (DiscardAnswer) effect()  {}
func (FileAdopted) effect()    {}
func (Order) effect()          {}
func (WatchEndpoints) effect() {}
func (ReadyChanged) effect()   {}
func (ConnectPeer) effect()    {}
func (ClosePeer) effect()      {}
func (Logged) effect()         {}
func (Counted) effect()        {}
func (StopComplete) effect()   {}

// Counter names a published counter.
type Counter string

// The counters of the reducer.
const (
	CounterRefusals         Counter = "refusals_total"
	CounterRetries          Counter = "retries_total"
	CounterDispatches       Counter = "dispatches_total"
	CounterAnswers          Counter = "answers_total"
	CounterWastedPrefill    Counter = "wasted_prefill_tokens_total"
	CounterPrefill          Counter = "prefill_tokens_total"
	CounterCachedPrefill    Counter = "cached_prefill_tokens_total"
	CounterGenerated        Counter = "generated_tokens_total"
	CounterSpend            Counter = "spend_micros_total"
	CounterGrants           Counter = "grants_total"
	CounterOwnershipChanges Counter = "ownership_changes_total"
	CounterFilesRejected    Counter = "files_rejected_total"
	CounterFilesAdopted     Counter = "files_adopted_total"
	CounterMessages         Counter = "peer_messages_total"
	CounterSuspicions       Counter = "suspicions_total"
	CounterCrashes          Counter = "endpoint_crashes_total"
	CounterStragglers       Counter = "stragglers_total"
	CounterJoins            Counter = "joins_total"
)

// RetryReason is the reason why a step before dispatch was retried, possibly at
// another owner or endpoint.
type RetryReason string

// The retry reasons. No retry follows a dispatch of which any byte was sent.
const (
	RetryConnectFailed RetryReason = "connect_failed"
	RetryNotSent       RetryReason = "not_sent"
	RetryLeaseExpired  RetryReason = "lease_expired"
	RetryOwnerGone     RetryReason = "owner_gone"
	RetryOwnerDeclined RetryReason = "owner_declined"
)

// RetryReasons returns all retry reasons.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectFailed, RetryNotSent, RetryLeaseExpired,
		RetryOwnerGone, RetryOwnerDeclined,
	}
}

// WasteReasons returns all reasons for wasted prefill.
func WasteReasons() []WasteReason {
	return []WasteReason{WasteCancelled, WasteBroken, WasteLate}
}

// WasteReason is the reason why no caller received the result of a prefill that
// was paid for.
type WasteReason string

// The reasons for wasted prefill.
const (
	WasteCancelled WasteReason = "cancelled"
	WasteBroken    WasteReason = "broken"
	WasteLate      WasteReason = "late"
)
