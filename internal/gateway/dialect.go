// Package gateway carries callers' routed requests to endpoints and the
// answers back. The scheduler decides what happens to a request; the gateway
// does it on the request's own goroutine and reports how each attempt ended.
package gateway

import (
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
)

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	// ID is the caller's name of this attempt.
	ID  string
	Key string
	// Patience is how long the caller waits; zero if it does not say.
	Patience time.Duration
	// PromptTokens and OutputTokens are the prompt's length and the longest
	// answer; zero if unknown.
	PromptTokens int
	OutputTokens int
	// LastEvent is the id of the last event that the caller has of an earlier
	// answer; zero if it has none.
	LastEvent int64
}

// Send is what an endpoint is told beside the caller's own headers.
type Send struct {
	// Left is the time that is left for the answer.
	Left time.Duration
	// Organisation is the holder of the caller's key; empty on public routes.
	Organisation string
	Endpoint     directory.Endpoint
	// LastEvent is the id of the last event that the caller has; zero if none.
	LastEvent int64
}

// AnswerHead is what an endpoint's status and headers say.
type AnswerHead struct {
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address; it did not run
	// the request.
	Misdirected bool
}

// Dialect translates between headers on the wire and the product's types.
type Dialect interface {
	CallerHead(header http.Header) RequestInfo
	// EndpointHeader returns a copy of the caller's header as the endpoint
	// gets it.
	EndpointHeader(caller http.Header, send Send) http.Header
	AnswerHead(status int, header http.Header) AnswerHead
}
