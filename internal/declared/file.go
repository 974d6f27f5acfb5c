// Package declared holds the operators' file: its types, strict parsing,
// validation, digest, differences and forecast. Every verdict is a pure
// function of the published bytes, so that each instance reaches the same one.
package declared

import "time"

// File is one accepted declaration, taken as a whole. It is immutable after
// Parse.
type File struct {
	// Revision orders files; a larger one replaces a smaller one.
	Revision uint64 `toml:"revision"`
	// Currency is the name in which prices and spend are stated.
	Currency      string         `toml:"currency"`
	Tiers         []Tier         `toml:"tier"`
	Classes       []Class        `toml:"class"`
	Endpoints     []Endpoint     `toml:"endpoint"`
	Routes        []Route        `toml:"route"`
	Organisations []Organisation `toml:"organisation"`

	digest Digest
	index  *index
}

// Tier is one level of importance.
type Tier struct {
	Name string `toml:"name"`
	// Rank 1 is the highest; ranks run without gaps.
	Rank int `toml:"rank"`
	// SharePercent is the part of every pool's capacity that the tier is
	// promised.
	SharePercent int `toml:"share_percent"`
	// DeadlineMS is the default deadline in milliseconds.
	DeadlineMS int64 `toml:"deadline_ms"`
}

// Kind tells model engines from plain services.
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
	// CachedTokensPerSecond bounds the prompt tokens that one endpoint can
	// take from its prefix cache; zero means that nothing bounds them but the
	// spend of organisations.
	CachedTokensPerSecond int64 `toml:"cached_tokens_per_second"`
	// CallsPerSecond is the rate of one service endpoint; zero for engines.
	CallsPerSecond int64 `toml:"calls_per_second"`
	// Prices are in millionths of the currency: per million tokens for
	// engines, per call for services.
	PrefillMicrosPerMTok   int64 `toml:"prefill_micros_per_mtok"`
	CachedMicrosPerMTok    int64 `toml:"cached_micros_per_mtok"`
	GeneratedMicrosPerMTok int64 `toml:"generated_micros_per_mtok"`
	CallMicros             int64 `toml:"call_micros"`
	// ChecksFencing says that endpoints of the class refuse an order with an
	// old fencing number.
	ChecksFencing bool `toml:"checks_fencing"`
}

// Endpoint is one back end.
type Endpoint struct {
	Name             string `toml:"name"`
	Class            string `toml:"class"`
	AvailabilityZone string `toml:"availability_zone"`
	// Address is an IP number with a port.
	Address string `toml:"address"`
	// Models are the pools that the endpoint belongs to: names of models, or
	// of the service.
	Models []string `toml:"models"`
	// Slots is how many requests the endpoint is given at a time.
	Slots int `toml:"slots"`
	// Leaving excludes the endpoint from new work.
	Leaving bool `toml:"leaving"`
}

// Route is one call of a plain service.
type Route struct {
	Name   string `toml:"name"`
	Method string `toml:"method"`
	// Path is matched exactly, or as a prefix where it ends in a slash.
	Path string `toml:"path"`
	// Pool is the service name that endpoints list among their models.
	Pool string `toml:"pool"`
	// Idempotent says whether the call may be repeated.
	Idempotent bool `toml:"idempotent"`
	// Tier is the tier of callers that name none.
	Tier string `toml:"tier"`
}

// Organisation is one customer.
type Organisation struct {
	Name string `toml:"name"`
	// KeySHA256 holds hex digests of the bearer keys in force.
	KeySHA256 []string `toml:"key_sha256"`
	// Tiers maps each allowed tier to the organisation's percent of it.
	Tiers map[string]int `toml:"tiers"`
	// DefaultTier is used where a caller names none.
	DefaultTier string `toml:"default_tier"`
	// SpendMicrosPerMonth bounds the bill of a 30-day month, in millionths of
	// the currency; zero means unbounded by the file.
	SpendMicrosPerMonth int64 `toml:"spend_micros_per_month"`
}

// Month is the length that monthly amounts are spread over.
const Month = 30 * 24 * time.Hour

// Digest identifies the published bytes of a file.
type Digest [32]byte

// Digest returns the digest of the bytes that f was parsed from.
func (f *File) Digest() Digest { return f.digest }

// Newer reports whether (revision, digest) of f is above that of g. A nil g
// is below every file. It is the total order on which adoption goes upwards
// only, so that operators racing with one revision converge everywhere.
func (f *File) Newer(g *File) bool {
	if g == nil {
		return true
	}
	if f.Revision != g.Revision {
		return f.Revision > g.Revision
	}
	return string(f.digest[:]) > string(g.digest[:])
}
