package settings

import (
	"os"
	"time"

	"github.com/balsamstair/balsamstair/internal/crossing"
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
	Zones      RoutedZones      `toml:"zones"`
	Scheduling RoutedScheduling `toml:"scheduling"`

	Diagnostics RoutedDiagnostics `toml:"diagnostics"`
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
	// Processors is the number of processors that the process uses at a time. Zero means
	// all that it may use. On a machine with a share of one processor, more of them cost
	// wake-ups and gain nothing.
	Processors int64 `toml:"processors"`
	// IdleTimeoutMS is how long a caller's connection may be idle, in
	// milliseconds.
	IdleTimeoutMS int64 `toml:"idle_timeout_ms"`
	// FileDescriptors is the number of file descriptors that the process may open.
	// Zero means the limit of the process (RLIMIT_NOFILE).
	FileDescriptors int64 `toml:"file_descriptors"`
	// ClientMemoryPercent is the part of MemoryMB, in percent, that clients may
	// occupy with connections, request heads, bodies and answers.
	ClientMemoryPercent int64 `toml:"client_memory_percent"`
	// ClientConnections bounds the open connections of clients. Zero means as many
	// as the descriptors and the memory for clients allow.
	ClientConnections int64 `toml:"client_connections"`
	// BodyStallMS is how long a request body may make no progress, in milliseconds.
	BodyStallMS int64 `toml:"body_stall_ms"`
	// WriteStallMS is how long a client may acknowledge nothing of its answer, in
	// milliseconds.
	WriteStallMS int64 `toml:"write_stall_ms"`
	// HeadSlackBytes is how much of a request's head is read beyond the
	// configuration's limit on header fields: the request line and the start of the
	// body.
	HeadSlackBytes int64 `toml:"head_slack_bytes"`
}

// ClientMemoryBytes returns the memory that clients may occupy, in bytes.
func (l *RoutedLimits) ClientMemoryBytes() int64 {
	return l.MemoryMB << 20 / 100 * l.ClientMemoryPercent
}

// BodyStall returns BodyStallMS as a duration.
func (l *RoutedLimits) BodyStall() time.Duration {
	return time.Duration(l.BodyStallMS) * time.Millisecond
}

// WriteStall returns WriteStallMS as a duration.
func (l *RoutedLimits) WriteStall() time.Duration {
	return time.Duration(l.WriteStallMS) * time.Millisecond
}

// IdleTimeout returns IdleTimeoutMS as a duration.
func (l *RoutedLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMS) * time.Millisecond
}

// Values of RoutedZones.Crossing.
const (
	// CrossingFixed gives leaving the zone a constant cost.
	CrossingFixed = "fixed"
	// CrossingAdaptive lets requests leave that the own zone does not serve in time.
	CrossingAdaptive = "adaptive"
)

// maxCrossingCostMS is the largest crossing_cost_ms. A larger gain is not to be had
// within the latency objectives of requests.
const maxCrossingCostMS = 10_000

// RoutedZones determines when requests leave the availability zone of the instance. The
// values must be the same at all instances, which assign endpoints to each other by them.
type RoutedZones struct {
	// Crossing is CrossingFixed or CrossingAdaptive.
	Crossing string `toml:"crossing"`
	// CrossingCostMS is the time, in milliseconds, that a caller must gain at least by a
	// crossing of few tokens; larger requests must gain more.
	CrossingCostMS float64 `toml:"crossing_cost_ms"`
}

// CrossingCost returns CrossingCostMS as a duration.
func (z *RoutedZones) CrossingCost() time.Duration { return seconds(z.CrossingCostMS / 1000) }

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

// RoutedDiagnostics holds the settings of the operator interface for developers.
type RoutedDiagnostics struct {
	// Profiles serves runtime profiles below /debug/pprof/.
	Profiles bool `toml:"profiles"`
}

// RoutedDefaults returns the values of settings that a file does not set.
func RoutedDefaults() Routed {
	return Routed{
		EndpointHeartbeatMS: 1000,

		Bounds: RoutedBounds{RetryRatio: 0.1, RetryExtra: 10, RetryWindowS: 10, GraceS: 30},
		Limits: RoutedLimits{
			MemoryMB: 512, IdleTimeoutMS: 60_000, ClientMemoryPercent: 28,
			BodyStallMS: 10_000, WriteStallMS: 10_000, HeadSlackBytes: 16 << 10,
		},
		Zones: RoutedZones{Crossing: CrossingFixed, CrossingCostMS: float64(crossing.DefaultCost) / float64(time.Millisecond)},

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
	s.Limits.validate(report)
	s.Zones.validate(report)
	if q := s.Scheduling.Queue; q != QueueTarget && q != QueueDeadline {
		report.Add(key("scheduling.queue"), "%q is neither %q nor %q", q, QueueTarget, QueueDeadline)
	}
}

// validate checks the limits that have a range.
func (l *RoutedLimits) validate(report *strict.Report) {
	for _, q := range []struct {
		key              string
		value, low, high int64
	}{
		{"idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeMS},
		{"client_memory_percent", l.ClientMemoryPercent, 5, 50},
		{"body_stall_ms", l.BodyStallMS, 100, maxTimeMS},
		{"write_stall_ms", l.WriteStallMS, 100, maxTimeMS},
		{"head_slack_bytes", l.HeadSlackBytes, minHeaderBytes, maxHeaderBytes},
	} {
		if q.value < q.low || q.value > q.high {
			report.Add(key("limits."+q.key), "%d is not between %d and %d", q.value, q.low, q.high)
		}
	}
	// Zero means that the limit is derived.
	for _, q := range []struct {
		key        string
		value, low int64
	}{
		{"file_descriptors", l.FileDescriptors, minFileDescriptors},
		{"client_connections", l.ClientConnections, 1},
		{"processors", l.Processors, 1},
	} {
		if q.value != 0 && q.value < q.low {
			report.Add(key("limits."+q.key), "%d is not 0 and less than %d", q.value, q.low)
		}
	}
}

func (z *RoutedZones) validate(report *strict.Report) {
	if z.Crossing != CrossingFixed && z.Crossing != CrossingAdaptive {
		report.Add(key("zones.crossing"), "%q is neither %q nor %q", z.Crossing, CrossingFixed, CrossingAdaptive)
	}
	if !(z.CrossingCostMS >= 0 && z.CrossingCostMS <= maxCrossingCostMS) {
		report.Add(key("zones.crossing_cost_ms"), "%v is not between 0 and %d", z.CrossingCostMS, maxCrossingCostMS)
	}
}

// minFileDescriptors is the smallest number of file descriptors with which the
// process can run: those reserved for files, and some connections.
const minFileDescriptors = 256

// minMemoryMB is the smallest memory limit, in megabytes, with which the
// process can run.
const minMemoryMB = 32
