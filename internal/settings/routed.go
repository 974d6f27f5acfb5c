package settings

import (
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
)

// Routed holds the settings of an instance that serves routed traffic in front
// of plain and streaming endpoints. LoadRouted and ParseRouted return validated
// settings; the zero value is not valid.
type Routed struct {
	Instance         string `toml:"instance"`
	AvailabilityZone string `toml:"availability_zone"`
	// The addresses are IP addresses with ports. The process listens on the first
	// three, on GossipAddress over UDP. PlatformAddress is the address of the
	// platform's store.
	CallerAddress   string `toml:"caller_address"`
	OperatorAddress string `toml:"operator_address"`
	GossipAddress   string `toml:"gossip_address"`
	PlatformAddress string `toml:"platform_address"`
	// MetricsAddress is an additional address of the operator interface; it may
	// be empty.
	MetricsAddress string `toml:"metrics_address"`
	// EndpointHeartbeatMS is the interval, in milliseconds, at which endpoints
	// renew their entries in the platform's store.
	EndpointHeartbeatMS int64 `toml:"endpoint_heartbeat_ms"`
	// Seeds are the gossip addresses of instances through which others are
	// discovered.
	Seeds      []string         `toml:"seeds"`
	Bounds     RoutedBounds     `toml:"bounds"`
	Limits     RoutedLimits     `toml:"limits"`
	Scheduling RoutedScheduling `toml:"scheduling"`
}

// EndpointHeartbeat returns EndpointHeartbeatMS as a duration.
func (s *Routed) EndpointHeartbeat() time.Duration {
	return time.Duration(s.EndpointHeartbeatMS) * time.Millisecond
}

// RoutedBounds holds the operator's requirements on all instances together.
type RoutedBounds struct {
	// RevocationMS is the time in milliseconds after which no instance accepts a
	// withdrawn key. Zero means no such limit.
	RevocationMS int64 `toml:"revocation_ms"`
	// RetryRatio and RetryExtra limit the retries for a service in each window of
	// RetryWindowS seconds to RetryRatio x requests + RetryExtra.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryExtra   float64 `toml:"retry_extra"`
	RetryWindowS float64 `toml:"retry_window_s"`
	// GraceS is the time in seconds between the stop signal and the kill.
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

// RoutedLimits holds the resource limits of the process.
type RoutedLimits struct {
	// MemoryMB is the memory, in megabytes, at which the process is killed.
	MemoryMB int64 `toml:"memory_mb"`
	// IdleTimeoutMS is how long a caller's connection may be idle, in
	// milliseconds.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
}

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l *RoutedLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMS) * time.Millisecond
}

// The values of RoutedScheduling.Queue.
const (
	// QueueTarget refuses a request that has waited for half of its latency target.
	QueueTarget = "target"
	// QueueDeadline lets a request wait while it can be served before its deadline.
	QueueDeadline = "deadline"
)

// RoutedScheduling holds the rules for requests that wait for an endpoint.
type RoutedScheduling struct {
	// Queue is QueueTarget or QueueDeadline.
	Queue string `toml:"queue"`
}

// RoutedDefaults returns the values of settings that a file does not set.
func RoutedDefaults() Routed {
	return Routed{
		EndpointHeartbeatMS: 1000,

		Bounds: RoutedBounds{RetryRatio: 0.1, RetryExtra: 10, RetryWindowS: 10, GraceS: 30},
		Limits: RoutedLimits{MemoryMB: 512, IdleTimeoutMS: 60_000},

		Scheduling: RoutedScheduling{Queue: QueueTarget},
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

// ParseRouted returns the settings in data, or a *strict.Error with all of
// their problems.
func ParseRouted(data []byte) (Routed, error) {
	s := RoutedDefaults()
	report := strict.Decode(data, &s)
	if !report.Unusable {
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
	if s.EndpointHeartbeatMS < 1 || s.EndpointHeartbeatMS > maxTimeMS {
		report.Add(key("endpoint_heartbeat_ms"), "%d is not between 1 and %d", s.EndpointHeartbeatMS, maxTimeMS)
	}
	if s.Limits.MemoryMB < minMemoryMB {
		report.Add(key("limits.memory_mb"), "%d is less than %d", s.Limits.MemoryMB, minMemoryMB)
	}
	if s.Limits.IdleTimeoutMS < 1 || s.Limits.IdleTimeoutMS > maxTimeMS {
		report.Add(key("limits.idle_timeout_ms"), "%d is not between 1 and %d", s.Limits.IdleTimeoutMS, maxTimeMS)
	}
	if q := s.Scheduling.Queue; q != QueueTarget && q != QueueDeadline {
		report.Add(key("scheduling.queue"), "%q is neither %q nor %q", q, QueueTarget, QueueDeadline)
	}
}

// minMemoryMB is the smallest memory limit, in megabytes, with which the
// process can run.
const minMemoryMB = 32
