// Package routing holds the declared configuration of routed traffic and its
// lookups: the route of a request, the organisation of a key, and the service
// for the next request of a split. It does no I/O, and its values are
// immutable once indexed.
package routing

import "time"

// Kind determines whether a route's requests may run more than once.
type Kind int

// The kinds of routes.
const (
	// Safe requests are idempotent and may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by server-sent events. They run at most
	// once unless the route is resumable.
	Stream
)

// String returns the name of the kind as logged.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	default:
		return "stream"
	}
}

// Share is the weight of one service in a traffic split.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the end of an answer.
	Timeout time.Duration
	// Target is the latency objective: to the end of the answer, or to the
	// first event of a stream.
	Target time.Duration
	// Gap is the longest time between two events of a stream that meets its
	// objective.
	Gap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
}

// Retryable reports whether a request may be sent to another endpoint after
// one has started to run it.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is set for model engines.
	Engine bool
	// Slots is the concurrency of an endpoint whose entry sets none.
	Slots int
	// ColdStart is for how long a newly started endpoint is cold. ColdPerSecond is the
	// number of requests per second that a cold endpoint takes from all callers
	// together; zero means no such limit.
	ColdStart     time.Duration `json:",omitempty"`
	ColdPerSecond float64       `json:",omitempty"`
}

// Quota limits an organisation's usage across all instances with a token
// bucket. A zero RatePerSecond means no limit.
type Quota struct {
	RatePerSecond float64
	Burst         float64
	// InTokens charges a request by its number of tokens instead of one unit.
	InTokens bool
	// DefaultTokens is the cost of a request that gives no token count.
	DefaultTokens int
}

// Organisation is one customer.
type Organisation struct {
	Name string
	Keys []string
	// Priority is the organisation's rank; 0 is the most urgent.
	Priority int
	Quota    Quota
}

// Limits bound the size of callers' requests, the time to send the headers,
// and the time that a connection may stay idle. Zero means that the
// configuration sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one complete version of the declared configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys distinguishes an empty list of organisations from none. KeyRequirement
	// evaluates it.
	Keys   KeyRequirement `json:",omitempty"`
	Limits Limits
}
