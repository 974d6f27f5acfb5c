package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parameters of the measurement.
const (
	costSettleTime = 8 * time.Second
	costDuration   = 20 * time.Second
	// costRequestsPerSecond is the request rate of the loaded zone.
	costRequestsPerSecond = 80
	// clockTicksPerSecond converts the processor times in /proc to seconds.
	clockTicksPerSecond = 100
)

// Limits of the control cost of one instance.
const (
	limitBytesPerSecond = 8 << 10
	limitCPUPercent     = 1.4
	limitRSSBytes       = 32 << 20
)

// usage is the accumulated resource use of all processes of a site.
type usage struct {
	at            time.Time
	cpu           time.Duration
	peerBytes     int64
	peerFrames    int64
	platformBytes int64
	endpointBytes int64
	rss           int64
}

// cost is the resource use of one instance per second.
type cost struct {
	instances, endpoints                    int
	peerBytes, platformBytes, endpointBytes float64
	peerFrames, cpuPercent, rssMB           float64
}

// TestControlCost measures idle availability zones. It runs only with
// -control-cost.
func TestControlCost(t *testing.T) {
	if !*flagControlCost {
		t.Skip("measured with -args -control-cost")
	}
	var byInstances, byEndpoints []cost
	for _, n := range []int{2, 4, 8, 14} {
		byInstances = append(byInstances, idleCost(t, n, 8))
	}
	for _, n := range []int{8, 32, 128} {
		byEndpoints = append(byEndpoints, idleCost(t, 4, n))
	}
	t.Logf("idle, by instances\n%s%s", formatCosts(byInstances), formatFits(byInstances, func(c cost) float64 { return float64(c.instances) }, "instance"))
	t.Logf("idle, by endpoints\n%s%s", formatCosts(byEndpoints), formatFits(byEndpoints, func(c cost) float64 { return float64(c.endpoints) }, "endpoint"))
	t.Logf("limits of one instance: %d bytes/s, %.1f %% of a core, %d MB", limitBytesPerSecond, limitCPUPercent, limitRSSBytes>>20)
	loadedCost(t, byInstances[1])
}

func costSite(t *testing.T, instances, endpoints int) *site {
	return newSite(t, siteConfig{
		zones: []int{instances}, engines: endpoints, services: 2, slots: 4, proxyEndpoints: true,
	})
}

func idleCost(t *testing.T, instances, endpoints int) (c cost) {
	t.Run(fmt.Sprintf("%d instances, %d engines", instances, endpoints), func(t *testing.T) {
		s := costSite(t, instances, endpoints)
		time.Sleep(costSettleTime)
		before := s.usage()
		time.Sleep(costDuration)
		c = perInstance(before, s.usage(), instances)
		c.endpoints = endpoints
	})
	return c
}

// loadedCost compares a loaded zone of 4 instances with an idle one.
func loadedCost(t *testing.T, idle cost) {
	t.Run("loaded", func(t *testing.T) {
		s := costSite(t, idle.instances, idle.endpoints)
		c := &schedule{site: s, load: newLoad(s, 1)}
		time.Sleep(costSettleTime)
		before := s.usage()
		tick := time.NewTicker(time.Second / costRequestsPerSecond)
		defer tick.Stop()
		for i := 0; time.Since(before.at) < costDuration; i++ {
			<-tick.C
			c.sendAsync(s.instances[i%len(s.instances)], c.newRequest(streamedChat, "gold", 4))
		}
		c.load.finish()
		after := s.usage()
		for _, a := range c.load.all() {
			must.True(t, a.complete, must.Sprint(a))
		}
		n := float64(len(c.load.all()))
		zone := float64(idle.instances) * after.at.Sub(before.at).Seconds()
		t.Logf("per request, over an idle zone of %d: %.1f ms of a core, %.0f bytes and %.2f frames between instances (%.0f requests)",
			idle.instances,
			((after.cpu-before.cpu).Seconds()-idle.cpuPercent/100*zone)*1000/n,
			(float64(after.peerBytes-before.peerBytes)-idle.peerBytes*zone)/n,
			(float64(after.peerFrames-before.peerFrames)-idle.peerFrames*zone)/n, n)
	})
}

// usage reads the resource use of all instances.
func (s *site) usage() usage {
	u := usage{at: time.Now()}
	for _, in := range s.instances {
		pid := in.current().cmd.Process.Pid
		u.cpu += processorTime(s.t, pid)
		u.rss = max(u.rss, residentBytes(s.t, pid))
		u.platformBytes += in.view.link.bytes.Load()
		in.addPeerTraffic(&u)
	}
	for _, b := range s.endpoints {
		if b.link != nil {
			u.endpointBytes += b.link.bytes.Load()
		}
	}
	return u
}

// addPeerTraffic reads the counters of the sessions to other instances.
func (in *instance) addPeerTraffic(u *usage) {
	resp, err := http.Get("http://" + in.operatorAddress + "/debug/vars")
	must.NoError(in.site.t, err)
	defer resp.Body.Close()
	type traffic map[string]struct {
		Frames int64 `json:"frames_total"`
	}
	var vars struct {
		Peers struct {
			Sent         traffic `json:"sent"`
			Received     traffic `json:"received"`
			WireSent     int64   `json:"wire_sent_bytes_total"`
			WireReceived int64   `json:"wire_received_bytes_total"`
		} `json:"peers"`
	}
	must.NoError(in.site.t, json.NewDecoder(resp.Body).Decode(&vars))
	u.peerBytes += vars.Peers.WireSent + vars.Peers.WireReceived
	for _, t := range []traffic{vars.Peers.Sent, vars.Peers.Received} {
		for _, kind := range t {
			u.peerFrames += kind.Frames
		}
	}
}

func processorTime(t testing.TB, pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must.NoError(t, err)
	// The name in parentheses may contain spaces; the fields after it do not.
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime = 11, 12
	ticks := int64(0)
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		must.NoError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

func residentBytes(t testing.TB, pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must.NoError(t, err)
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	must.NoError(t, err)
	return kilobytes << 10
}

func perInstance(before, after usage, instances int) cost {
	seconds := after.at.Sub(before.at).Seconds() * float64(instances)
	return cost{
		instances:     instances,
		peerBytes:     float64(after.peerBytes-before.peerBytes) / seconds,
		peerFrames:    float64(after.peerFrames-before.peerFrames) / seconds,
		platformBytes: float64(after.platformBytes-before.platformBytes) / seconds,
		endpointBytes: float64(after.endpointBytes-before.endpointBytes) / seconds,
		cpuPercent:    (after.cpu - before.cpu).Seconds() / seconds * 100,
		rssMB:         float64(after.rss) / (1 << 20),
	}
}

func formatCosts(all []cost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9s %9s %14s %14s %16s %16s %10s %12s\n", "instances", "endpoints",
		"peer bytes/s", "peer frames/s", "platform bytes/s", "endpoint bytes/s", "core %", "largest MB")
	for _, c := range all {
		fmt.Fprintf(&b, "%9d %9d %14.0f %14.1f %16.0f %16.0f %10.2f %12.1f\n", c.instances, c.endpoints,
			c.peerBytes, c.peerFrames, c.platformBytes, c.endpointBytes, c.cpuPercent, c.rssMB)
	}
	return b.String()
}

// formatFits fits straight lines by least squares.
func formatFits(all []cost, x func(cost) float64, unit string) string {
	var b strings.Builder
	for _, y := range []struct {
		name string
		of   func(cost) float64
	}{
		{"peer bytes/s", func(c cost) float64 { return c.peerBytes }},
		{"peer frames/s", func(c cost) float64 { return c.peerFrames }},
		{"endpoint bytes/s", func(c cost) float64 { return c.endpointBytes }},
		{"core %", func(c cost) float64 { return c.cpuPercent }},
		{"MB", func(c cost) float64 { return c.rssMB }},
	} {
		var n, sx, sy, sxx, sxy float64
		for _, c := range all {
			n, sx, sy = n+1, sx+x(c), sy+y.of(c)
			sxx, sxy = sxx+x(c)*x(c), sxy+x(c)*y.of(c)
		}
		slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
		fmt.Fprintf(&b, "%s of one instance: %.3f + %.4f for each %s\n", y.name, (sy-slope*sx)/n, slope, unit)
	}
	return b.String()
}
