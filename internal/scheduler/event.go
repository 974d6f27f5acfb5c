package scheduler

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// RequestID identifies a request within one process.
type RequestID uint64

// Request is a caller's request whose body has been read completely, whose
// route was found and whose key is valid.
type Request struct {
	ID RequestID
	// Name is the caller's identifier for the request.
	Name  string
	Route *routing.Route
	// Organisation is nil for requests to public routes. Key is the API key by
	// which it was found.
	Organisation *routing.Organisation
	Key          string
	// Service was selected by the route's traffic split.
	Service string
	// Version is the version of the configuration in which the route was found.
	Version int64
	// Tokens is the prompt length plus the maximum answer length, or zero if the
	// request does not state one. PromptTokens is the prompt length alone.
	Tokens       int
	PromptTokens int
	// Fingerprint is equal for requests with the same caller, path and body.
	Fingerprint uint64
	// PromptParts are the parts of the prompt that other requests may have too.
	PromptParts []PromptPart
	// Resumes is the Name of the caller's attempt that brought the first event of the
	// stream that the caller takes up, or empty. LastEventID is the id of the last
	// event that the caller has, or zero.
	Resumes     string
	LastEventID int64
	// Forwarding is set for a request of another instance's caller.
	Forwarding *Forwarding
	// CallerDeadline is the time until which the caller waits. Deadline is the
	// earlier of CallerDeadline and the route's timeout.
	CallerDeadline Instant
	Deadline       Instant
}

// Event is an input of Step.
type Event interface{ event() }

// Outcome is the result of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// NotSent means that no byte of the request reached the endpoint.
	NotSent Outcome = iota
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun
	// Broken means that the request was sent but no complete answer was received.
	Broken
	// Failed means that the endpoint ran the request and answered with a server
	// error.
	Failed
	// Completed means that a complete answer was received.
	Completed
	// Abandoned means that the caller disconnected or the deadline passed before
	// the answer was complete.
	Abandoned
	// Misdirected means that the address now belongs to another endpoint, which
	// did not run the request.
	Misdirected
)

var outcomeNames = [...]string{"not_sent", "not_run", "broken", "failed", "completed", "abandoned", "misdirected"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Attempt is the result of one attempt, as reported by AttemptEnded.
type Attempt struct {
	Outcome Outcome
	// FirstByte is the time from sending the request to the first event or the
	// complete body of the answer, or zero if neither was received.
	FirstByte time.Duration
	// EventInterval is the mean interval between the events of a stream, or zero if
	// unknown.
	EventInterval time.Duration
	// AnswerStarted reports whether part of the answer was delivered to the caller.
	AnswerStarted bool
	// Inconclusive is set for a complete answer whose end can't be told from that of
	// its endpoint. ErrorAnswer is set for one that reports an error.
	Inconclusive, ErrorAnswer bool
	// Refused reports whether the endpoint's address refused the connection.
	Refused bool
	// RetryAfter is the time for which an endpoint that did not run the request wants
	// none from this instance, or zero.
	RetryAfter time.Duration
}

// RateLimit is what an answer says about the number of requests per second that
// its endpoint takes from all instances together.
type RateLimit struct {
	// Named is set if the answer names a limit.
	Named     bool
	PerSecond float64
}

// Brittleness is what an answer says about the rejections that its endpoint bears.
type Brittleness struct {
	// Named is set if the endpoint falls over once it has rejected more than
	// Rejections requests in a second.
	Named      bool
	Rejections int
}

// StatedLoad is what an answer says about the load of its endpoint.
type StatedLoad struct {
	Running, Waiting, Slots int
	// SlownessStated is set if the answer says how long work takes at the endpoint at this
	// moment, Slowness is that time relative to the usual one.
	SlownessStated bool
	Slowness       float64
}

// ProbeResult is the result of a ProbeEndpoint effect.
type ProbeResult int

// The results of a probe.
const (
	// ProbeUnknown means that the address did not respond.
	ProbeUnknown ProbeResult = iota
	// ProbeAccepted means that it accepted a connection.
	ProbeAccepted
	// ProbeRefused means that nothing listens there.
	ProbeRefused
)

var probeResultNames = [...]string{"unknown", "accepted", "refused"}

// String returns the result's name in metrics.
func (r ProbeResult) String() string { return probeResultNames[r] }

// Events that Step accepts.
type (
	// Arrived reports a new request to schedule.
	Arrived struct{ Request Request }
	// CallerGone reports that the caller disconnected, or that its deadline
	// passed, while the request was queued.
	CallerGone struct{ ID RequestID }
	// AnswerStarted reports that the first event of a stream was received. Software is
	// the one that began it if another instance forwards the answer.
	AnswerStarted struct {
		ID       RequestID
		Software origin.Software
	}
	// AnswerContinued reports that the second event of a stream was received, so
	// that the request has not crashed its endpoint.
	AnswerContinued struct{ ID RequestID }
	// AnswerReceived reports the head of an endpoint's answer if it names a rate
	// limit or a slowness or says that the endpoint is brittle, or if the request was
	// dispatched while a limit or brittleness was in force.
	AnswerReceived struct {
		ID      RequestID
		Limit   RateLimit
		Brittle Brittleness
		// Leaving is set if the answer says that the endpoint is about to leave.
		Leaving bool
		// Load is what the answer says about the endpoint's load.
		Load StatedLoad
		// LimitMalformed and BrittleMalformed are set if the answer has a statement that
		// can't be read, which neither makes nor ends one.
		LimitMalformed, BrittleMalformed bool
	}
	// AttemptEnded reports that an attempt started by Dispatch has ended.
	AttemptEnded struct {
		ID      RequestID
		Attempt Attempt
	}
	// ForwardEnded reports that a request sent to another instance by Forward has
	// ended there.
	ForwardEnded struct {
		ID      RequestID
		Attempt Attempt
		// Endpoint is the ID of the endpoint to which the other instance sent it, or
		// empty if it sent it to none.
		Endpoint string
		// Reason and RetryAfter are those of the other instance's refusal. An empty
		// Reason means that it did not refuse the request.
		Reason     Reason
		RetryAfter time.Duration
	}
	// RunsRead reports the result of a ReadRuns effect: the IDs of the attempts whose
	// streams have begun, none if it failed, and when the process has started that
	// answered; zero if unknown.
	RunsRead struct {
		Endpoint string
		Started  int64
		Runs     []string
	}
	// ListingChecked reports the result of a CheckListing effect. Unchanged is set if
	// nothing had changed after a position when the platform was read at ReadAt.
	ListingChecked struct {
		After     directory.Position
		ReadAt    Instant
		Unchanged bool
	}
	// HistoryRead reports the result of a ReadHistory effect. Changes are all writes and
	// deletions of the platform's history, the oldest first, if Complete is set: if the
	// platform still has them all.
	HistoryRead struct {
		Changes  []directory.Change
		Complete bool
	}
	// PathProbed reports the result of a ProbePath effect.
	PathProbed struct {
		Endpoint directory.Endpoint
		Result   ProbeResult
	}
	// EndpointProbed reports the result of a ProbeEndpoint effect. Endpoint and
	// Started identify the incarnation that was probed.
	EndpointProbed struct {
		Endpoint string
		Started  int64
		Result   ProbeResult
	}
	// DirectoryRead reports that a read of the platform's directory has ended.
	DirectoryRead struct{ Update directory.Update }
	// PeerReported delivers a report from another instance.
	PeerReported struct{ Report Report }
	// SeedsChanged replaces the seed addresses.
	SeedsChanged struct{ Seeds []string }
	// StopRequested reports that the process is shutting down. At EndsAt it breaks off
	// what still runs; zero means that it waits for all.
	StopRequested struct{ EndsAt Instant }
	// Tick reports that TickInterval has passed.
	Tick struct{}
)

func (Arrived) event()         {}
func (CallerGone) event()      {}
func (AnswerStarted) event()   {}
func (AnswerContinued) event() {}
func (AnswerReceived) event()  {}
func (AttemptEnded) event()    {}
func (ForwardEnded) event()    {}
func (PathProbed) event()      {}
func (RunsRead) event()        {}
func (ListingChecked) event()  {}
func (HistoryRead) event()     {}
func (DirectoryRead) event()   {}
func (EndpointProbed) event()  {}
func (PeerReported) event()    {}
func (SeedsChanged) event()    {}
func (StopRequested) event()   {}
func (Tick) event()            {}

// TickInterval is the time between Tick events. It is the resolution of the
// scheduler's timeouts.
const TickInterval = 25 * time.Millisecond

// Report is the state that an instance sends to other instances. Unless Partial
// is set it is complete, so that a lost report is made up for by the next one.
type Report struct {
	// Incarnation is a random number generated at process start.
	Incarnation uint64
	Sequence    uint64
	// Address is where the sender receives reports.
	Address string
	// Zone is the sender's availability zone.
	Zone string
	// Age is the time since the sender started.
	Age time.Duration
	// Partial marks a report that contains only changes, asks or grants.
	Partial bool
	// WithoutLoads marks a report that omits Loads although the sender may have
	// some.
	WithoutLoads bool
	// Leaving instances accept no new work.
	Leaving bool
	// Version is the version of the configuration in force at the sender.
	Version int64
	// KeysVersion is the newest version of a configuration that requires keys which the
	// sender knows of, or zero.
	KeysVersion int64
	// Demand is the cost per second of the requests received by the sender.
	Demand float64
	// InstanceCount is the sender's estimate of the number of instances.
	InstanceCount int
	// Members are the addresses of instances from which the sender recently
	// received a report.
	Members []string
	Usage   []Usage
	// Levels lists the levels of quotas that the sender keeps.
	Levels []QuotaLevel
	Loads  []EndpointLoad
	// Crashes lists some of the causes under which endpoints ended.
	Crashes []Crash
	// Limits lists some of the rate limits that endpoints named or lifted.
	Limits []LimitStatement
	// Origins lists attempts that may begin a stream. OriginQueries ask for such
	// records, OriginAnswers answer.
	Origins       []StreamOrigin
	OriginQueries []OriginQuery
	OriginAnswers []OriginAnswer
	// Paths lists the services of which the sender has lost paths to endpoints.
	Paths []ServicePaths
	// EndQueries ask whether processes have ended whose connections the sender can't
	// judge, Ended lists processes that have as far as the sender knows.
	EndQueries, Ended []crash.Incarnation
	// Brittle lists the services whose endpoints are brittle, or have ceased to be.
	Brittle []BrittleStatement
	// LeavingEndpoints lists processes that have said that they are about to leave.
	LeavingEndpoints []crash.Incarnation
	// Departures lists what the sender has lately read from the platform, or heard.
	Departures []Departure
	// FurtherSoftware lists what services have lately begun to run beside other software.
	FurtherSoftware []ServiceSoftware
	// Asks and Grants concern the permits for endpoints with rate limits.
	Asks   []PermitAsk
	Grants []PermitGrant
}

// ServicePaths tells that an instance has lost paths to the endpoints of a service.
type ServicePaths struct {
	Service string
	// Reached is the number of endpoints that it still reaches.
	Reached int
}

// BrittleStatement is what an answer said about the endpoints of a service.
type BrittleStatement struct {
	Service     string
	Brittleness Brittleness
	// SentAge and ReceivedAge are as in LimitStatement.
	SentAge, ReceivedAge time.Duration
	// Room is the number of requests that an endpoint had admitted when it rejected
	// one, RoomAge the time since; zero if none has.
	Room    int
	RoomAge time.Duration
}

// Usage is the sender's admitted cost for one organisation.
type Usage struct {
	Organisation string
	// Used is the total cost admitted since the sender started, a whole number.
	Used float64
	// Level is the level of the organisation's token bucket at the sender.
	Level float64
}

// EndpointLoad is the number of the sender's requests at an endpoint.
type EndpointLoad struct {
	Endpoint string
	Running  int
	// Prefill is the number of prompt tokens of those requests whose answer has
	// not started.
	Prefill int
}

// Crash is the evidence against one cause.
type Crash struct {
	Cause crash.Cause
	Ends  []CrashEnd
	// AcquittedAge is the time since a run with the cause was sound, if Acquitted is
	// set.
	Acquitted    bool
	AcquittedAge time.Duration
}

// CrashEnd is the end of an endpoint while it ran a request.
type CrashEnd struct {
	Endpoint crash.Incarnation
	Age      time.Duration
}

// LimitStatement is what an endpoint said about its rate limit.
type LimitStatement struct {
	Endpoint crash.Incarnation
	Limit    RateLimit
	// SentAge is the time since the request was sent whose answer contained the
	// statement, ReceivedAge the time since the head of that answer was received.
	SentAge, ReceivedAge time.Duration
}

// StreamOrigin says at which software an attempt may begin a stream.
type StreamOrigin struct {
	Attempt  origin.Attempt
	Software origin.Software
	// Dispatch is the number of the request's dispatch.
	Dispatch int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// OriginQuery asks which software began the stream of an attempt.
type OriginQuery struct {
	Attempt origin.Attempt
	// Run is the attempt as endpoints know it.
	Run origin.Attempt
	// Services are those to which the request's route sends, Memory how long ago the
	// stream may have begun.
	Services []string
	Memory   time.Duration
}

// OriginAnswer answers an OriginQuery.
type OriginAnswer struct {
	Attempt origin.Attempt
	// Recorded is set if the sender has a record of the attempt. Otherwise Software is
	// the one that must have begun it as far as the sender knows, or Unknown, and Alone
	// is set if the sender knows of no other. Covered is set if the sender has known of
	// all software for the time that was asked for.
	Recorded, Alone, Covered bool
	Software                 origin.Software
}

// PermitAsk asks the owner of an endpoint's limit for permits. It replaces the
// instance's earlier ask.
type PermitAsk struct {
	Endpoint crash.Incarnation
	// Number increases with each ask of the sender.
	Number uint64
	// Wanted is the number of permits, Returned the number of those that the
	// sender got earlier and did not use.
	Wanted, Returned int
	// Urgency is the rank of the most urgent request that waits; lower values are
	// more urgent.
	Urgency uint32
}

// PermitGrant is the answer to a PermitAsk.
type PermitGrant struct {
	Endpoint crash.Incarnation
	// Ask is the number of the ask, Number that of the grant, which increases.
	Ask, Number uint64
	Permits     int
	// Queued is the time from the receipt of the ask to the grant.
	Queued time.Duration
}
