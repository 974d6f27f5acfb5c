package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// Effect is what Step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// Dispatch: send the request to the endpoint, now. AttemptEnded must
	// follow.
	Dispatch struct {
		ID       RequestID
		Endpoint directory.Endpoint
		// Attempt counts the request's dispatches from 1.
		Attempt int
		// Waited is how long the request waited here for this dispatch.
		Waited time.Duration
		// Basis is what decided, as key, value, key, value for the log.
		Basis []any
	}
	// Refuse: the request ends here. NotRun says whether it is certain that
	// no endpoint ran it or ever will.
	Refuse struct {
		ID     RequestID
		Reason Reason
		NotRun bool
		// RetryAfter is when the caller should come back; zero if it should
		// not.
		RetryAfter time.Duration
		// Basis is what decided, as key, value, key, value for the log.
		Basis []any
	}
	// ConfigAdopted: a newer configuration is in force.
	ConfigAdopted struct{ Table *routing.Table }
	// ConfigConfirmed: the configuration in force was the newest one at a time.
	ConfigConfirmed struct{ At Instant }
	// ReadyChanged: the instance does or does not want new connections.
	ReadyChanged struct {
		Ready  bool
		Reason string
	}
	// SendReport: tell other instances.
	SendReport struct {
		To     []string
		Report Report
	}
	// ReadFrom: the platform's word is to be read as planned.
	ReadFrom struct{ Plan directory.Plan }
	// Logged: a decision or a changed belief is to be logged as key, value,
	// key, value.
	Logged struct {
		Event  string
		Fields []any
	}
	// Counted: a counter moves.
	Counted struct {
		Counter Counter
		Label   string
		Delta   int64
	}
)

func (Dispatch) effect()        {}
func (Refuse) effect()          {}
func (ConfigAdopted) effect()   {}
func (ConfigConfirmed) effect() {}
func (ReadyChanged) effect()    {}
func (SendReport) effect()      {}
func (ReadFrom) effect()        {}
func (Logged) effect()          {}
func (Counted) effect()         {}

// Reason says why a request was refused or not sent again.
type Reason string

// The closed list of reasons.
const (
	// ConfigUnknown: no configuration has been read yet.
	ConfigUnknown Reason = "config_unknown"
	// ConfigStale: the keys' validity could not be confirmed lately.
	ConfigStale Reason = "config_stale"
	// QuotaExceeded: the organisation's quota is used up for now.
	QuotaExceeded Reason = "quota_exceeded"
	// NoEndpoint: the service has no endpoint that could take the request.
	NoEndpoint Reason = "no_endpoint"
	// QueueDelay: the request could not begin in time.
	QueueDelay Reason = "queue_delay"
	// EndpointsFull: endpoints turned the request away.
	EndpointsFull Reason = "endpoints_full"
	// CrashSuspect: the request broke the endpoints that ran it.
	CrashSuspect Reason = "crash_suspect"
	// AttemptsUsed: the route allows no further attempt.
	AttemptsUsed Reason = "attempts_used"
	// RetryBudgetUsed: the shared budget of repeats is used up.
	RetryBudgetUsed Reason = "retry_budget_used"
	// NotRepeatable: the request may have run and must not run twice.
	NotRepeatable Reason = "not_repeatable"
	// DeadlinePassed: no time is left.
	DeadlinePassed Reason = "deadline_passed"
)

// Reasons returns the closed list.
func Reasons() []Reason {
	return []Reason{ConfigUnknown, ConfigStale, QuotaExceeded, NoEndpoint, QueueDelay, EndpointsFull,
		CrashSuspect, AttemptsUsed, RetryBudgetUsed, NotRepeatable, DeadlinePassed}
}

// Counter names a counter.
type Counter string

// Counters.
const (
	CounterArrivals Counter = "routed_arrivals_total"
	CounterRefusals Counter = "routed_refusals_total"
	CounterRetries  Counter = "routed_retries_total"
	CounterOutcomes Counter = "routed_attempts_total"
	CounterReads    Counter = "platform_reads_total"
)
