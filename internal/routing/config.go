// Package routing holds the declared configuration of routed traffic and
// answers questions of it: which route a request takes, which organisation
// holds a key, which service gets the next request of a split. It does no I/O
// and its values are immutable once indexed.
package routing

import "time"

// Kind says what may be repeated of a route's requests.
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

// String returns the name of the kind as it is logged.
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

// Share is one service's weight in a split.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting for the end of an
	// answer.
	Timeout time.Duration
	// Target is the latency objective, up to the whole answer or to the first
	// event of a stream.
	Target time.Duration
	// Gap is the longest pause between events of a stream that is in time.
	Gap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request that an endpoint has begun to run may
// be sent to another one.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine marks model engines.
	Engine bool
	// Slots is the concurrency of one endpoint where an entry names none.
	Slots int
}

// Quota bounds an organisation's use over all instances: a token bucket.
// A zero RatePerSecond means no limit.
type Quota struct {
	RatePerSecond float64
	Burst         float64
	// InTokens says that requests count by their tokens, otherwise by one.
	InTokens bool
	// DefaultTokens is the cost of a request that names no tokens.
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

// Limits bound what a caller may send, and how long it may take or leave a
// connection idle. Zero means no limit of the configuration's.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one whole version of the declared configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
