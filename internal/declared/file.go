// Package declared implements the operators' declared file: its types, strict
// parsing, validation, digest, differences and forecast. Every result is a pure
// function of the published bytes, so that all instances accept or reject the
// same files.
package declared

import "time"

// File is one declared file, which is accepted or rejected as a whole. It is
// immutable after Parse.
type File struct {
	// Revision orders files; a file with a larger revision replaces one with a
	// smaller revision.
	Revision uint64 `toml:"revision"`
	// Currency is the name of the currency of prices and spend.
	Currency      string         `toml:"currency"`
	Tiers         []Tier         `toml:"tier"`
	Classes       []Class        `toml:"class"`
	Endpoints     []Endpoint     `toml:"endpoint"`
	Routes        []Route        `toml:"route"`
	Organisations []Organisation `toml:"organisation"`

	digest Digest
	index  *index
}

// Tier is one priority level.
type Tier struct {
	Name string `toml:"name"`
	// Rank is the priority, of which 1 is the highest; ranks have no gaps.
	Rank int `toml:"rank"`
	// SharePercent is the percentage of every pool's capacity that is guaranteed
	// to the tier.
	SharePercent int `toml:"share_percent"`
	// DeadlineMS is the default deadline in milliseconds.
	DeadlineMS int64 `toml:"deadline_ms"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Class describes endpoints of one hardware generation and price.
type Class struct {
	Name string `toml:"name"`
	Kind Kind   `toml:"kind"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are rates of one whole
	// endpoint; zero for services.
	PrefillTokensPerSecond int64 `toml:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  int64 `toml:"decode_tokens_per_second"`
	// CachedTokensPerSecond is the most prompt tokens per second that one
	// endpoint can read from its prefix cache. Zero means that only the spend of
	// organisations limits them.
	CachedTokensPerSecond int64 `toml:"cached_tokens_per_second"`
	// CallsPerSecond is the rate of one service endpoint; zero for engines.
	CallsPerSecond int64 `toml:"calls_per_second"`
	// Prices are in millionths of the currency: per million tokens for
	// engines, per call for services.
	PrefillMicrosPerMTok   int64 `toml:"prefill_micros_per_mtok"`
	CachedMicrosPerMTok    int64 `toml:"cached_micros_per_mtok"`
	GeneratedMicrosPerMTok int64 `toml:"generated_micros_per_mtok"`
	CallMicros             int64 `toml:"call_micros"`
	// ChecksFencing reports whether endpoints of the class reject an order with
	// an old fencing number.
	ChecksFencing bool `toml:"checks_fencing"`
}

// Endpoint is one back end.
type Endpoint struct {
	Name             string `toml:"name"`
	Class            string `toml:"class"`
	AvailabilityZone string `toml:"availability_zone"`
	// Address is an IP address with a port.
	Address string `toml:"address"`
	// Models are the pools that the endpoint belongs to: names of models, or
	// of the service.
	Models []string `toml:"models"`
	// Slots is the number of requests that may be dispatched to the endpoint at a
	// time.
	Slots int `toml:"slots"`
	// Leaving excludes the endpoint from new requests.
	Leaving bool `toml:"leaving"`
}

// Route is the route of a method and path to a plain service.
type Route struct {
	Name   string `toml:"name"`
	Method string `toml:"method"`
	// Path is matched exactly, or as a prefix where it ends in a slash.
	Path string `toml:"path"`
	// Pool is the service name that endpoints list among their models.
	Pool string `toml:"pool"`
	// Idempotent reports whether requests of the route may be retried.
	Idempotent bool `toml:"idempotent"`
	// Tier is the tier of requests that name none.
	Tier string `toml:"tier"`
}

// Organisation is one customer.
type Organisation struct {
	Name string `toml:"name"`
	// KeySHA256 holds hex digests of the bearer keys in force.
	KeySHA256 []string `toml:"key_sha256"`
	// Tiers maps each allowed tier to the organisation's percentage of it.
	Tiers map[string]int `toml:"tiers"`
	// DefaultTier is the tier of requests that name none.
	DefaultTier string `toml:"default_tier"`
	// SpendMicrosPerMonth limits the bill of a 30-day month, in millionths of the
	// currency. Zero means that the file sets no limit.
	SpendMicrosPerMonth int64 `toml:"spend_micros_per_month"`
}

// Month is the period of monthly amounts.
const Month = 30 * 24 * time.Hour

// Digest identifies the published bytes of a file.
type Digest [32]byte

// Digest returns the digest of the bytes that f was parsed from.
func (f *File) Digest() Digest { return f.digest }

// Newer reports whether (revision, digest) of f is greater than that of g. A
// nil g is less than every file. Instances adopt files only in increasing order
// of this total order, so that all of them converge on one file when operators
// publish different files with the same revision concurrently.
func (f *File) Newer(g *File) bool {
	if g == nil {
		return true
	}
	if f.Revision != g.Revision {
		return f.Revision > g.Revision
	}
	return string(f.digest[:]) > string(g.digest[:])
}
