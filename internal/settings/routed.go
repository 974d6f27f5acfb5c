package settings

import (
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
)

// Routed are the settings of an instance that serves routed traffic in front
// of plain and streaming endpoints. LoadRouted and ParseRouted return them
// checked; the zero value is not valid.
type Routed struct {
	Instance         string `toml:"instance"`
	AvailabilityZone string `toml:"availability_zone"`
	// The addresses are IP numbers with ports. The process listens at the
	// first three, GossipAddress over UDP; PlatformAddress is where the
	// platform's store listens.
	CallerAddress   string `toml:"caller_address"`
	OperatorAddress string `toml:"operator_address"`
	GossipAddress   string `toml:"gossip_address"`
	PlatformAddress string `toml:"platform_address"`
	// MetricsAddress is another address of the operator interface; it may be
	// empty.
	MetricsAddress string `toml:"metrics_address"`
	// Seeds are gossip addresses of instances that may name others.
	Seeds  []string     `toml:"seeds"`
	Bounds RoutedBounds `toml:"bounds"`
	Limits RoutedLimits `toml:"limits"`
}

// RoutedBounds are what the operator requires of all instances together.
type RoutedBounds struct {
	// RevocationMS is the time in milliseconds after which a withdrawn key is
	// served nowhere. Zero means no such bound.
	RevocationMS int64 `toml:"revocation_ms"`
	// RetryRatio and RetryExtra bound the repeats for a service in each span
	// of RetryWindowS seconds: ratio x requests + extra.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryExtra   float64 `toml:"retry_extra"`
	RetryWindowS float64 `toml:"retry_window_s"`
	// GraceS is the time in seconds between the request to stop and the kill.
	GraceS float64 `toml:"grace_s"`
}

// Revocation returns RevocationMS as a duration.
func (b *RoutedBounds) Revocation() time.Duration {
	return time.Duration(b.RevocationMS) * time.Millisecond
}

// RetryWindow returns RetryWindowS as a duration.
func (b *RoutedBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// Grace returns GraceS as a duration.
func (b *RoutedBounds) Grace() time.Duration { return seconds(b.GraceS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RoutedLimits bound what the process may use.
type RoutedLimits struct {
	// MemoryMB is the memory, in megabytes, at which the process is killed.
	MemoryMB int64 `toml:"memory_mb"`
	// IdleTimeoutMS is how long a caller's connection may be idle.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
}

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l *RoutedLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMS) * time.Millisecond
}

// RoutedDefaults returns the settings that hold where a file is silent.
func RoutedDefaults() Routed {
	return Routed{
		Bounds: RoutedBounds{RetryRatio: 0.1, RetryExtra: 10, RetryWindowS: 10, GraceS: 30},
		Limits: RoutedLimits{MemoryMB: 512, IdleTimeoutMS: 60_000},
	}
}

// LoadRouted reads and checks the settings in the file at path.
func LoadRouted(path string) (Routed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Routed{}, errors.Wrap(err, "settings")
	}
	s, err := ParseRouted(data)
	return s, errors.Wrap(err, path)
}

// ParseRouted returns the settings that data holds, or a *strict.Error with
// every problem that it has.
func ParseRouted(data []byte) (Routed, error) {
	s := RoutedDefaults()
	report := strict.Decode(data, &s)
	if !report.Broken {
		s.validate(report)
	}
	if err := report.Err(); err != nil {
		return Routed{}, err
	}
	return s, nil
}

func (s *Routed) validate(report *strict.Report) {
	for _, name := range []struct{ key, value string }{
		{"instance", s.Instance}, {"availability_zone", s.AvailabilityZone},
	} {
		if name.value == "" {
			report.Add(key(name.key), "is missing")
		}
	}
	addresses := []address{
		{key: "caller_address", value: s.CallerAddress},
		{key: "operator_address", value: s.OperatorAddress},
		{key: "gossip_address", value: s.GossipAddress},
		{key: "platform_address", value: s.PlatformAddress},
	}
	if s.MetricsAddress != "" {
		addresses = append(addresses, address{key: "metrics_address", value: s.MetricsAddress})
	}
	for _, seed := range s.Seeds {
		addresses = append(addresses, address{key: "seeds", value: seed})
	}
	for _, a := range addresses {
		parseAddress(report, a)
	}
	for _, n := range []struct {
		key   string
		value float64
	}{
		{"bounds.revocation_ms", float64(s.Bounds.RevocationMS)}, {"bounds.retry_ratio", s.Bounds.RetryRatio},
		{"bounds.retry_extra", s.Bounds.RetryExtra}, {"bounds.retry_window_s", s.Bounds.RetryWindowS},
		{"bounds.grace_s", s.Bounds.GraceS},
	} {
		if n.value < 0 {
			report.Add(key(n.key), "%v is negative", n.value)
		}
	}
	if s.Limits.MemoryMB < minMemoryMB {
		report.Add(key("limits.memory_mb"), "%d is less than %d", s.Limits.MemoryMB, minMemoryMB)
	}
	if s.Limits.IdleTimeoutMS < 1 || s.Limits.IdleTimeoutMS > maxTimeMS {
		report.Add(key("limits.idle_timeout_ms"), "%d is not between 1 and %d", s.Limits.IdleTimeoutMS, maxTimeMS)
	}
}

// minMemoryMB is the least memory, in megabytes, in which the process works.
const minMemoryMB = 32
