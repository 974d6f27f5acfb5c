package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// Effect is an action that Step requests.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// Dispatch sends the request to the endpoint immediately. AttemptEnded must
	// follow.
	Dispatch struct {
		ID       RequestID
		Endpoint directory.Endpoint
		// Attempt is the number of the request's dispatch, starting at 1.
		Attempt int
		// Waited is the time the request was queued before this dispatch.
		Waited time.Duration
		// Limited is set if the endpoint limits the rate of requests or is brittle.
		// AnswerReceived must follow once the head of the answer was received.
		Limited bool
		// Software is that of the endpoint.
		Software origin.Software
		// LogFields holds the inputs of the decision as alternating keys and values for
		// the log.
		LogFields []any
	}
	// Forward sends the request to another instance, which sends it to an endpoint.
	// ForwardEnded must follow.
	Forward struct {
		ID RequestID
		// Address is that of the instance, Incarnation that of its process.
		Address     string
		Incarnation uint64
		Forwarding  Forwarding
		// Attempt and Waited are as in Dispatch.
		Attempt   int
		Waited    time.Duration
		LogFields []any
	}
	// ReadRuns asks an endpoint which attempts it is running. RunsRead must follow.
	ReadRuns struct{ Endpoint directory.Endpoint }
	// CheckListing asks the platform whether anything has changed after a position.
	// ListingChecked must follow.
	CheckListing struct{ After directory.Position }
	// ReadHistory reads all changes that the platform has ever made, if it still has them.
	// HistoryRead must follow.
	ReadHistory struct{}
	// ProbePath opens a connection to an endpoint to find out whether this instance
	// reaches it. PathProbed must follow.
	ProbePath struct{ Endpoint directory.Endpoint }
	// ProbeEndpoint opens a connection to an endpoint to find out whether its
	// process has ended. EndpointProbed must follow.
	ProbeEndpoint struct{ Endpoint directory.Endpoint }
	// Refuse ends the request with a refusal. NotRun is set if it is certain that
	// no endpoint ran the request or will run it.
	Refuse struct {
		ID     RequestID
		Reason Reason
		NotRun bool
		// RetryAfter is the time after which the caller should retry, or zero if it
		// should not.
		RetryAfter time.Duration
		// LogFields holds the inputs of the decision as alternating keys and values for
		// the log.
		LogFields []any
	}
	// ConfigAdopted puts a newer configuration in force.
	ConfigAdopted struct{ Table *routing.Table }
	// ConfigConfirmed reports the time at which the configuration in force was
	// the newest.
	ConfigConfirmed struct{ At Instant }
	// ReadyChanged reports whether the instance is ready for new connections.
	ReadyChanged struct {
		Ready  bool
		Reason string
	}
	// SendReport sends a report to other instances.
	SendReport struct {
		To     []string
		Report Report
	}
	// ReadPlanChanged changes the source from which the platform's directory is read.
	ReadPlanChanged struct{ Plan directory.ReadPlan }
	// Logged writes a log record of a decision or a changed state, with
	// alternating keys and values.
	Logged struct {
		Event  string
		Fields []any
	}
	// Counted increments a counter.
	Counted struct {
		Counter Counter
		Label   string
		Delta   int64
	}
)

func (Dispatch) effect()        {}
func (Forward) effect()         {}
func (ProbePath) effect()       {}
func (ReadRuns) effect()        {}
func (CheckListing) effect()    {}
func (ReadHistory) effect()     {}
func (ProbeEndpoint) effect()   {}
func (Refuse) effect()          {}
func (ConfigAdopted) effect()   {}
func (ConfigConfirmed) effect() {}
func (ReadyChanged) effect()    {}
func (SendReport) effect()      {}
func (ReadPlanChanged) effect() {}
func (Logged) effect()          {}
func (Counted) effect()         {}

// Reason is the reason why a request was refused or not retried.
type Reason string

// The complete list of reasons.
const (
	// ConfigUnknown means that no configuration has been read yet.
	ConfigUnknown Reason = "config_unknown"
	// ConfigStale means that the validity of keys was not confirmed recently.
	ConfigStale Reason = "config_stale"
	// OrganisationsMissing means that the configuration has no list of organisations
	// although an earlier one had, so that it can't be told which keys are valid.
	OrganisationsMissing Reason = "organisations_missing"
	// QuotaExceeded means that the organisation's quota is currently used up.
	QuotaExceeded Reason = "quota_exceeded"
	// NoEndpoint means that the service has no endpoint that could take the
	// request.
	NoEndpoint Reason = "no_endpoint"
	// QueueDelay means that the request could not be started in time.
	QueueDelay Reason = "queue_delay"
	// ExpectedDelay means that the queue ahead of the request would take longer than it
	// may wait.
	ExpectedDelay Reason = "expected_delay"
	// QueueFull means that too many requests wait at the instance.
	QueueFull Reason = "queue_full"
	// EndpointsFull means that endpoints rejected the request.
	EndpointsFull Reason = "endpoints_full"
	// LimitReached means that all endpoints limit the rate of requests and that
	// more urgent requests use it up.
	LimitReached Reason = "limit_reached"
	// EndpointsResting means that all endpoints have asked this instance for a rest.
	EndpointsResting Reason = "endpoints_resting"
	// CrashSuspect means that endpoints have ended while they ran equal requests, or
	// requests with the same part of their prompts.
	CrashSuspect Reason = "crash_suspect"
	// StreamOriginUnknown means that nothing tells which software began the stream
	// that the caller takes up.
	StreamOriginUnknown Reason = "stream_origin_unknown"
	// StreamVersionGone means that no endpoint runs the software that began the
	// stream.
	StreamVersionGone Reason = "stream_version_gone"
	// InstanceStopping means that this instance is shutting down and that the request
	// can't be expected to end before it does.
	InstanceStopping Reason = "instance_stopping"
	// PeerBusy means that another instance can't take the request of a caller of this
	// one.
	PeerBusy Reason = "peer_busy"
	// AttemptsUsed means that the route allows no further attempt.
	AttemptsUsed Reason = "attempts_used"
	// RetryBudgetUsed means that the shared retry budget is used up.
	RetryBudgetUsed Reason = "retry_budget_used"
	// NotRepeatable means that the request may have run and must not run twice.
	NotRepeatable Reason = "not_repeatable"
	// DeadlinePassed means that the request's deadline has passed.
	DeadlinePassed Reason = "deadline_passed"
)

// Reasons returns the complete list of reasons.
func Reasons() []Reason {
	return []Reason{ConfigUnknown, ConfigStale, OrganisationsMissing, QuotaExceeded, NoEndpoint, QueueDelay, ExpectedDelay, QueueFull, EndpointsFull,
		LimitReached, EndpointsResting, CrashSuspect, StreamOriginUnknown, StreamVersionGone, InstanceStopping, PeerBusy, AttemptsUsed, RetryBudgetUsed, NotRepeatable, DeadlinePassed}
}

// Counter is the name of a counter.
type Counter string

// The counters of Counted effects.
const (
	CounterArrivals Counter = "routed_arrivals_total"
	CounterRefusals Counter = "routed_refusals_total"
	CounterRetries  Counter = "routed_retries_total"
	CounterOutcomes Counter = "routed_attempts_total"
	CounterReads    Counter = "platform_reads_total"
	// CounterKeepersReplaced counts the keepers of quotas that did not answer, by reason.
	CounterKeepersReplaced Counter = "quota_keepers_replaced_total"
	// CounterHistories counts the times at which the platform came back from a copy.
	CounterHistories Counter = "platform_histories_replaced_total"
	// CounterListings counts full listings by source, CounterUnlisted the endpoints that
	// were found to be removed by one.
	CounterListings Counter = "platform_listings_total"
	CounterUnlisted Counter = "routed_endpoints_unlisted_total"
	// CounterOrganisationsMissing counts the configurations in force that lack the list
	// of organisations which an earlier one had.
	CounterOrganisationsMissing Counter = "config_organisations_missing_total"
	// CounterEndpointEnds counts by evidence, CrashesCounter by observed or
	// reported.
	CounterEndpointEnds Counter = "routed_endpoint_ends_total"
	CounterCrashes      Counter = "routed_crashes_total"
	// CounterSuspects counts causes of crashes by what became of the suspicion:
	// suspected, acquitted, tried.
	CounterSuspects Counter = "routed_crash_suspects_total"
	// CounterTakenUp counts the streams that callers take up: bound to the software
	// that began them, unknown, or gone with it.
	CounterTakenUp Counter = "routed_streams_taken_up_total"
	// CounterPaths counts how often the paths to the endpoints of a service were lost
	// and found. CounterForwards counts requests that were sent to another instance, by
	// outcome, and those received from one.
	CounterPaths    Counter = "routed_paths_total"
	CounterForwards Counter = "routed_forwards_total"
	// CounterLimitStatements counts what endpoints said about their rate limits,
	// by observed, reported or malformed.
	CounterLimitStatements Counter = "routed_limit_statements_total"
	// CounterBrittle counts statements that the endpoints of a service are brittle, or
	// are no more, and rejections by such endpoints.
	CounterBrittle Counter = "routed_brittle_total"
	// CounterLeaving counts what endpoints said about leaving, by observed, reported or
	// malformed, CounterRests the rests that they asked for.
	CounterLeaving Counter = "routed_leaving_statements_total"
	CounterRests   Counter = "routed_rests_total"
	// CounterStatedLoads counts what endpoints said about their slowness, by used,
	// discarded or malformed.
	CounterStatedLoads Counter = "routed_stated_loads_total"
	// CounterPermits counts permits for endpoints with rate limits by what became
	// of them. CounterLimited counts requests for which such an endpoint had no
	// permit: those sent to another endpoint, and those that were queued.
	CounterPermits Counter = "routed_permits_total"
	CounterLimited Counter = "routed_limited_requests_total"
	// CounterCrossings counts the requests that left the zone by a decision of package
	// crossing, by zone and reason, CounterCrossingBytes the estimated bytes of their
	// prompts and answers.
	CounterCrossings     Counter = "routed_crossings_total"
	CounterCrossingBytes Counter = "routed_crossing_bytes_total"
	// CounterCold counts the endpoints that became cold or warm, and the requests that were
	// sent elsewhere since a cold endpoint had no permit.
	CounterCold Counter = "routed_cold_endpoints_total"
	// CounterEvacuations counts the evacuations of zones that have begun and ended,
	// CounterEvacuated the requests that were not sent to an endpoint of an evacuated
	// zone, by sent_elsewhere or refused.
	CounterEvacuations Counter = "zone_evacuations_total"
	CounterEvacuated   Counter = "routed_evacuated_requests_total"
)
