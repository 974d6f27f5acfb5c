package reducer

import (
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// Effect is something to be done outside the reducer.
type Effect interface{ effect() }

type (
	// Send delivers a frame to a peer. A frame may be lost.
	Send struct {
		To    Incarnation
		Frame *peerpb.Frame
	}

	// Admitted tells traffic which request a waiter's call became, and its
	// ticket, before any answer.
	Admitted struct {
		Waiter  Waiter
		Request RequestID
		Ticket  Ticket
	}

	// Refuse gives a waiter its final answer at once.
	Refuse struct {
		Waiter  Waiter
		Request RequestID
		Refused Refused
	}

	// Join lets a waiter read the answer of a request that runs or has run.
	Join struct {
		Waiter  Waiter
		Request RequestID
	}

	// Connect obtains a connection; it writes nothing to the endpoint.
	Connect struct {
		Request  RequestID
		Endpoint string
		Address  string
	}

	// Dispatch writes the request on the connection that Connect obtained. It
	// is given at most once for a request.
	Dispatch struct {
		Request  RequestID
		Endpoint string
		// NotAfter is the end of the slot's lease: traffic writes nothing at
		// or after it and answers EndedNotSent.
		NotAfter Instant
	}

	// Disconnect gives back a connection on which nothing was written.
	Disconnect struct{ Request RequestID }

	// Cancel stops a run whose answer nobody wants.
	Cancel struct{ Request RequestID }

	// Forget drops a kept answer.
	Forget struct{ Request RequestID }

	// FileAdopted puts a declared file in force.
	FileAdopted struct {
		File   *declared.File
		Source string
	}

	// Order is an instruction to an engine, numbered by the file's revision.
	Order struct {
		Endpoint string
		Address  string
		Fencing  uint64
		Models   []string
	}

	// WatchEndpoints replaces the set of endpoints, by name and address, whose
	// reports are polled: those that this instance owns.
	WatchEndpoints struct{ Addresses map[string]string }

	// ReadyChanged tells the platform's balancer whether to send callers.
	ReadyChanged struct{ Ready bool }

	// Connected peers: ConnectPeer opens a session to a listed instance.
	ConnectPeer struct{ Instance Instance }

	// ClosePeer ends the session to a peer that is gone.
	ClosePeer struct{ Peer Incarnation }

	// Logged is one event for the log; fields are key, value, key, value.
	Logged struct {
		Event  string
		Fields []any
	}

	// Counted adds to a counter.
	Counted struct {
		Counter Counter
		// Label is a reason, a tier or empty: always from a closed list.
		Label string
		Delta int64
	}

	// StopComplete says that nothing is left to do.
	StopComplete struct{}
)

func (Send) effect()           {}
func (Admitted) effect()       {}
func (Refuse) effect()         {}
func (Join) effect()           {}
func (Connect) effect()        {}
func (Dispatch) effect()       {}
func (Disconnect) effect()     {}
func (Cancel) effect()         {}
func (Forget) effect()         {}
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

// The counters that the reducer keeps.
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

// RetryReason names why a step before dispatch was taken again elsewhere.
type RetryReason string

// The closed list of retry reasons. None of them repeats a dispatch.
const (
	RetryConnectFailed RetryReason = "connect_failed"
	RetryNotSent       RetryReason = "not_sent"
	RetryLeaseExpired  RetryReason = "lease_expired"
	RetryOwnerGone     RetryReason = "owner_gone"
	RetryOwnerDeclined RetryReason = "owner_declined"
)

// RetryReasons returns the closed list of retry reasons.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectFailed, RetryNotSent, RetryLeaseExpired,
		RetryOwnerGone, RetryOwnerDeclined,
	}
}

// WasteReasons returns the closed list of reasons for wasted prefill.
func WasteReasons() []WasteReason {
	return []WasteReason{WasteCancelled, WasteBroken, WasteLate}
}

// WasteReason names why paid prefill reached nobody.
type WasteReason string

// The closed list of reasons for wasted prefill.
const (
	WasteCancelled WasteReason = "cancelled"
	WasteBroken    WasteReason = "broken"
	WasteLate      WasteReason = "late"
)
