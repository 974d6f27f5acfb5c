// Package refusal defines the closed list of reasons for which a caller's
// request is refused or ends without a complete answer.
package refusal

import (
	"net/http"
	"time"
)

// Reason is the reason for which a request ended without a complete answer.
type Reason string

// The closed list of reasons.
const (
	BadRequest       Reason = "bad_request"
	TooLarge         Reason = "too_large"
	Unauthorised     Reason = "unauthorised"
	NotFound         Reason = "not_found"
	TierNotAllowed   Reason = "tier_not_allowed"
	TicketNeeded     Reason = "ticket_needed"
	TicketInvalid    Reason = "ticket_invalid"
	TicketExpired    Reason = "ticket_expired"
	TicketBurned     Reason = "ticket_burned"
	TicketTableFull  Reason = "ticket_table_full"
	OutcomeUnknown   Reason = "outcome_unknown"
	AlreadyRan       Reason = "already_ran"
	AlreadyRunning   Reason = "already_running"
	Shed             Reason = "shed"
	TierClosed       Reason = "tier_closed"
	DeadlineUnmet    Reason = "deadline_unmet"
	DeadlinePassed   Reason = "deadline_passed"
	SpendLimit       Reason = "spend_limit"
	NoEndpoint       Reason = "no_endpoint"
	CrashSuspect     Reason = "crash_suspect"
	NotReady         Reason = "not_ready"
	Leaving          Reason = "leaving"
	CallerGone       Reason = "caller_gone"
	EndpointFailed   Reason = "endpoint_failed"
	EndpointRejected Reason = "endpoint_rejected"
	AnswerCut        Reason = "answer_cut"
)

// Kind describes what a Reason means to a caller.
type Kind struct {
	// Status is the HTTP status that is sent if the answer has not begun.
	Status int
	// NotRun is true if the reason states that the request never reached
	// an endpoint.
	NotRun bool
	// RetryAfter is the minimum time before a caller should retry; zero if a
	// retry cannot succeed.
	RetryAfter time.Duration
	// Text is a human-readable explanation.
	Text string
}

var kinds = map[Reason]Kind{
	BadRequest:       {http.StatusBadRequest, true, 0, "the request could not be understood"},
	TooLarge:         {http.StatusRequestEntityTooLarge, true, 0, "the request is larger than the limit"},
	Unauthorised:     {http.StatusUnauthorized, true, 0, "the bearer key belongs to no organisation"},
	NotFound:         {http.StatusNotFound, true, 0, "no route or model of that name"},
	TierNotAllowed:   {http.StatusForbidden, true, 0, "the organisation may not use that tier"},
	TicketNeeded:     {http.StatusPreconditionRequired, true, 0, "the route is not idempotent: record the ticket given here, then send the request with it"},
	TicketInvalid:    {http.StatusBadRequest, true, 0, "the ticket was not given by this system to this request"},
	TicketExpired:    {http.StatusConflict, false, 0, "the ticket has expired; whether an earlier send of it ran is not known here"},
	TicketBurned:     {http.StatusConflict, true, 0, "the ticket's request was refused and did not run; ask for a new ticket"},
	TicketTableFull:  {http.StatusServiceUnavailable, true, 2 * time.Second, "too many recent tickets are remembered"},
	OutcomeUnknown:   {http.StatusConflict, false, 0, "the request may or may not have run"},
	AlreadyRan:       {http.StatusConflict, false, 0, "the request has run; its answer is no longer kept"},
	AlreadyRunning:   {http.StatusConflict, false, time.Second, "the request is running; its answer cannot be joined yet"},
	Shed:             {http.StatusServiceUnavailable, true, time.Second, "more work waits than can be done; this tier gives way"},
	TierClosed:       {http.StatusServiceUnavailable, true, time.Second, "this tier is closed while a higher one is short of capacity"},
	DeadlineUnmet:    {http.StatusServiceUnavailable, true, time.Second, "the request could not be finished by its deadline"},
	DeadlinePassed:   {http.StatusGatewayTimeout, true, time.Second, "the deadline passed while the request waited"},
	SpendLimit:       {http.StatusTooManyRequests, true, time.Second, "the organisation's declared spend is used up for now"},
	NoEndpoint:       {http.StatusServiceUnavailable, true, time.Second, "no endpoint of this availability zone can take the request"},
	CrashSuspect:     {http.StatusUnprocessableEntity, true, time.Minute, "this request was running at each of several endpoint crashes"},
	NotReady:         {http.StatusServiceUnavailable, true, time.Second, "this instance has no accepted configuration yet"},
	Leaving:          {http.StatusServiceUnavailable, true, time.Second, "this instance is leaving"},
	CallerGone:       {499, true, 0, "the caller went away before the request was dispatched"},
	EndpointFailed:   {http.StatusBadGateway, false, time.Second, "the endpoint failed after the request was dispatched; whether it ran is not known"},
	EndpointRejected: {http.StatusBadGateway, false, 0, "the endpoint answered with an error"},
	AnswerCut:        {http.StatusBadGateway, false, time.Second, "the answer ended early"},
}

// All returns every reason of the closed list in unspecified order.
func All() []Reason {
	all := make([]Reason, 0, len(kinds))
	for r := range kinds {
		all = append(all, r)
	}
	return all
}

// Lookup returns the Kind of r. It returns false for a reason that is not on
// the list, which only a peer of another version can send.
func Lookup(r Reason) (Kind, bool) {
	k, ok := kinds[r]
	return k, ok
}

// Body is the JSON body of every refusal that is sent to a caller.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of a Body.
type Detail struct {
	Reason Reason `json:"reason"`
	// NotRun is true only if no byte of the request was sent to any endpoint.
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
	// RetryAfterMS is zero if a retry cannot succeed.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Ticket       string `json:"ticket,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}
