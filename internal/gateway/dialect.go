// Package gateway forwards callers' routed requests to endpoints and the
// answers back. The scheduler decides what happens to a request; the gateway
// executes the decisions on the request's own goroutine and reports the
// outcome of each attempt.
package gateway

import (
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/scheduler"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// ID is the caller's identifier of this attempt.
	ID  string
	Key string
	// Timeout is how long the caller waits; zero if not given.
	Timeout time.Duration
	// PromptTokens and OutputTokens are the length of the prompt and the
	// maximum length of the answer, in tokens; zero if unknown.
	PromptTokens int
	OutputTokens int
	// PromptParts are the parts of the prompt that other requests may have too, in
	// order and without duplicates.
	PromptParts []scheduler.PromptPart
	// LastEventID is the id of the last event that the caller received of an
	// earlier answer; zero if none.
	LastEventID int64
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that the caller takes up; empty if none.
	Resumes string
}

// ForwardInfo is the information that is sent to an endpoint in addition to
// the caller's own headers.
type ForwardInfo struct {
	// Remaining is the time remaining for the answer.
	Remaining time.Duration
	// Organisation is the organisation that the caller's key belongs to; empty
	// on public routes.
	Organisation string
	Endpoint     directory.Endpoint
	// LastEventID is the id of the last event that the caller received; zero
	// if none.
	LastEventID int64
}

// AnswerInfo is the information in the status and headers of an endpoint's
// answer.
type AnswerInfo struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if the endpoint did not run the request, since it is for
	// another one. Instance is the endpoint that says so; empty if not stated.
	Misdirected bool
	Instance    string
	// Limit is the endpoint's rate limit. LimitMalformed is set if the answer has
	// one that can't be read; it then neither names nor lifts a limit.
	Limit          scheduler.RateLimit
	LimitMalformed bool
	// Brittle and BrittleMalformed are the same for the rejections that the endpoint
	// bears.
	Brittle          scheduler.Brittleness
	BrittleMalformed bool
	// Leaving is set if the endpoint is about to leave. RetryAfter is the time for which
	// one that did not run the request wants none from this instance. A malformed value
	// says neither.
	Leaving             bool
	LeavingMalformed    bool
	RetryAfter          time.Duration
	RetryAfterMalformed bool
	// Load is what the endpoint says about its load; zero if it says nothing or
	// LoadMalformed is set.
	Load          scheduler.StatedLoad
	LoadMalformed bool
}

// Dialect translates between HTTP headers and the types of this package.
type Dialect interface {
	ParseRequest(header http.Header) RequestInfo
	// EndpointHeader returns a copy of the caller's header, modified for the
	// endpoint.
	EndpointHeader(caller http.Header, info ForwardInfo) http.Header
	// InstanceHeader returns a copy of the caller's header for another instance, with
	// the time remaining for the answer and the id of the last event that the caller
	// received; zero if none.
	InstanceHeader(caller http.Header, remaining time.Duration, lastEventID int64) http.Header
	ParseAnswer(status int, header http.Header) AnswerInfo
	// EndToEnd reports whether a header with a canonical name is part of the request or
	// answer even if the Connection header lists it.
	EndToEnd(name string) bool
	// RunsPath is the path at which an endpoint says which attempts it is running.
	// ParseRuns returns the IDs of those whose answers have begun from the body of its
	// answer, and when its process has started in Unix milliseconds; zero if not stated.
	RunsPath() string
	ParseRuns(body []byte) (ids []string, started int64, err error)
}
