package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/strict"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const validRouted = `instance = "i"
availability_zone = "z"
caller_address = "127.0.0.1:1"
operator_address = "127.0.0.1:2"
gossip_address = "127.0.0.1:3"
platform_address = "127.0.0.1:4"
seeds = ["127.0.0.1:3", "127.0.0.2:3"]

[bounds]
revocation_ms = 5000
retry_ratio = 0.2
retry_extra = 52.0
retry_window_s = 10
grace_s = 8
`

func TestParseRouted(t *testing.T) {
	s, err := ParseRouted([]byte(validRouted))
	must.NoError(t, err)
	must.Eq(t, 5*time.Second, s.Bounds.Revocation())
	must.Eq(t, 10*time.Second, s.Bounds.RetryWindow())
	must.Eq(t, 8*time.Second, s.Bounds.Grace())
	must.Eq(t, 0.2, s.Bounds.RetryRatio)
	must.Len(t, 2, s.Seeds)
	must.Eq(t, time.Minute, s.Limits.IdleTimeout()) // default
	must.Eq(t, RoutedZones{Crossing: CrossingFixed, CrossingCostMS: 5}, s.Zones)
	s, err = ParseRouted([]byte(validRouted + "[zones]\ncrossing = \"adaptive\"\ncrossing_cost_ms = 2\n"))
	must.NoError(t, err)
	must.Eq(t, RoutedZones{Crossing: CrossingAdaptive, CrossingCostMS: 2}, s.Zones)
	must.Eq(t, 2*time.Millisecond, s.Zones.CrossingCost())
}

// Guards against a platform without a value for the descriptors (0), and against
// defaults that a client within the configuration's limits could meet.
func TestRoutedClientLimits(t *testing.T) {
	s, err := ParseRouted([]byte(strings.Replace(validRouted, "[bounds]", "[limits]\nmemory_mb = 100\nfile_descriptors = 0\n[bounds]", 1)))
	must.NoError(t, err)
	must.Eq(t, 0, s.Limits.FileDescriptors)
	must.Eq(t, 0, s.Limits.ClientConnections)
	must.Eq(t, 28<<20, s.Limits.ClientMemoryBytes())
	must.Eq(t, 10*time.Second, s.Limits.BodyStall())
	must.Eq(t, 10*time.Second, s.Limits.WriteStall())
	must.Eq(t, QueueTarget, s.Scheduling.Queue) // default
	s, err = ParseRouted([]byte(validRouted + "[scheduling]\nqueue = \"deadline\"\n"))
	must.NoError(t, err)
	must.Eq(t, QueueDeadline, s.Scheduling.Queue)
}

// Each case changes validRouted and names the key to be reported: a missing key,
// a host name and a malformed text in place of an address, a negative number, an
// unknown key, and limits out of their ranges.
// unknown key, a memory limit below the minimum, and an unknown order of the queue.
func TestParseRoutedReportsKeyOfProblem(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`instance = "i"`, ``, "instance"},
		{`"127.0.0.2:3"`, `"host:3"`, "seeds"},
		{`gossip_address = "127.0.0.1:3"`, `gossip_address = "x"`, "gossip_address"},
		{`grace_s = 8`, `grace_s = -1`, "bounds.grace_s"},
		{`retry_ratio = 0.2`, `retry_share = 0.2`, "bounds.retry_share"},
		{`[bounds]`, "[limits]\nmemory_mb = 1\n[bounds]", "limits.memory_mb"},
		{`[bounds]`, "[limits]\nidle_timeout_ms = 0\n[bounds]", "limits.idle_timeout_ms"},
		{`[bounds]`, "[limits]\nfile_descriptors = 10\n[bounds]", "limits.file_descriptors"},
		{`[bounds]`, "[limits]\nclient_memory_percent = 51\n[bounds]", "limits.client_memory_percent"},
		{`[bounds]`, "[limits]\nclient_connections = -1\n[bounds]", "limits.client_connections"},
		{`[bounds]`, "[limits]\nprocessors = -1\n[bounds]", "limits.processors"},
		{`[bounds]`, "[diagnostics]\nprofile = true\n[bounds]", "diagnostics.profile"},
		{`[bounds]`, "[limits]\nbody_stall_ms = 99\n[bounds]", "limits.body_stall_ms"},
		{`[bounds]`, "[limits]\nwrite_stall_ms = 0\n[bounds]", "limits.write_stall_ms"},
		{`[bounds]`, "[limits]\nhead_slack_bytes = 10\n[bounds]", "limits.head_slack_bytes"},
		{`[bounds]`, "[zones]\ncrossing = \"never\"\n[bounds]", "zones.crossing"},
		{`[bounds]`, "[zones]\ncrossing_cost_ms = -1.0\n[bounds]", "zones.crossing_cost_ms"},
		{`[bounds]`, "[zones]\ncrossing_cost_ms = nan\n[bounds]", "zones.crossing_cost_ms"},
		{`[bounds]`, "[scheduling]\nqueue = \"Deadline\"\n[bounds]", "scheduling.queue"},
	} {
		_, err := ParseRouted([]byte(strings.Replace(validRouted, c.old, c.new, 1)))
		parseError := new(strict.Error)
		must.True(t, errors.As(err, &parseError), must.Sprint(c.key))
		must.Eq(t, c.key, parseError.Problems[0].Key)
	}
}
