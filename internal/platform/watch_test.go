package platform

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/standin"
)

const address = "10.0.0.1:80"

// fixture is a platform and a client that watches it, in fake time.
type fixture struct {
	platform *standin.Platform
	// servedPlatform is the platform that the client is connected to.
	servedPlatform atomic.Pointer[standin.Platform]
	client         *Client
	// files and lists receive the values that the watches deliver.
	files chan DeclaredFile
	lists chan []reducer.Instance
	// inFlight counts the concurrent calls of all watches, and maxInFlight is
	// its maximum.
	inFlight, maxInFlight atomic.Int64
	next                  http.RoundTripper
}

// RoundTrip counts the calls in flight.
func (b *fixture) RoundTrip(r *http.Request) (*http.Response, error) {
	b.maxInFlight.Store(max(b.maxInFlight.Load(), b.inFlight.Add(1)))
	defer b.inFlight.Add(-1)
	return b.next.RoundTrip(r)
}

// withFixture runs test while both watches run.
func withFixture(t *testing.T, test func(t *testing.T, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pipes := standin.NewPipes()
		defer pipes.Close()
		transport := pipes.Transport()
		defer transport.CloseIdleConnections()
		b := &fixture{
			platform: standin.NewPlatform(), next: transport,
			files: make(chan DeclaredFile, 100), lists: make(chan []reducer.Instance, 100),
		}
		b.servedPlatform.Store(b.platform)
		pipes.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.servedPlatform.Load().ServeHTTP(w, r)
		}))
		var err error
		b.client, err = New(Options{Address: address, Transport: b, Seed: 1})
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.client.WatchInstances(ctx, func(l []reducer.Instance) { b.lists <- l }) }()
		go func() { _ = b.client.WatchFile(ctx, func(f DeclaredFile) { b.files <- f }) }()
		test(t, b)
		cancel()
		synctest.Wait()
		must.Eq(t, 0, b.inFlight.Load())
		must.LessEq(t, 2, b.maxInFlight.Load(), must.Sprint("more than one call in flight for a watch"))
	})
}

// waitForWatches waits until the watches have delivered the latest values.
func waitForWatches() { time.Sleep(30 * time.Second) }

func (b *fixture) publish(files ...string) {
	for _, f := range files {
		b.platform.PublishValue(declared.Key, []byte(f))
	}
}

// drainFiles returns the texts of the delivered files and empties the channel.
func (b *fixture) drainFiles() []string {
	var texts []string
	for len(b.files) > 0 {
		f := <-b.files
		text := string(f.Manifest)
		if f.IsManifest {
			text = ""
			for _, p := range f.Parts {
				text += string(p)
			}
		}
		texts = append(texts, text)
	}
	return texts
}

// publishParts publishes the parts and returns their manifest.
func (b *fixture) publishParts(revision int, parts ...string) string {
	m := fmt.Sprintf("manifest = true\nrevision = %d\n", revision)
	for i, p := range parts {
		key := fmt.Sprintf("part-%d", i)
		b.platform.PublishValue(key, []byte(p))
		m += fmt.Sprintf("[[part]]\nkey = %q\nsha256 = \"%x\"\n", key, sha256.Sum256([]byte(p)))
	}
	return m
}

func TestChangeIsDeliveredPromptly(t *testing.T) {
	withFixture(t, func(t *testing.T, b *fixture) {
		waitForWatches()
		must.SliceEmpty(t, b.drainFiles())
		b.publish("one")
		waitForWatches()
		must.Eq(t, []string{"one"}, b.drainFiles())
		for i := range 20 {
			begun := time.Now()
			text := fmt.Sprint("file ", i)
			b.publish(text)
			f := <-b.files
			must.Eq(t, text, string(f.Manifest))
			must.Eq(t, uint64(i+2), f.Version)
			must.LessEq(t, DefaultMinInterval, time.Since(begun))
			time.Sleep(time.Duration(i) * time.Second)
		}
	})
}

func TestChangesAreCoalesced(t *testing.T) {
	withFixture(t, func(t *testing.T, b *fixture) {
		b.publish("zero")
		waitForWatches()
		before := b.platform.Calls().ByKey[declared.Key]
		for i := range 1000 {
			b.publish(fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		got := b.drainFiles()
		must.Eq(t, "999", got[len(got)-1])
		must.LessEq(t, 8, len(got)) // 1 s at one read per 200 ms, plus both ends and the first
		must.LessEq(t, 10, b.platform.Calls().ByKey[declared.Key]-before)
	})
}

func TestOnlyNewPartsAreFetched(t *testing.T) {
	withFixture(t, func(t *testing.T, b *fixture) {
		b.publish(b.publishParts(1, "a", "b", "c"))
		waitForWatches()
		b.publish(b.publishParts(2, "a", "B", "c"))
		waitForWatches()
		must.Eq(t, []string{"abc", "aBc"}, b.drainFiles())
		calls := b.platform.Calls().ByKey
		must.Eq(t, []int64{1, 2, 1}, []int64{calls["part-0"], calls["part-1"], calls["part-2"]})
		must.Eq(t, 2, b.client.Stats().PartsReused)

		// A part that the current manifest does not reference is not cached.
		b.publish(b.publishParts(3, "a"))
		waitForWatches()
		b.publish(b.publishParts(4, "a", "B"))
		waitForWatches()
		must.Eq(t, []string{"a", "aB"}, b.drainFiles())
		must.Eq(t, 3, b.platform.Calls().ByKey["part-1"])
	})
}

func TestPartWithWrongDigestIsRetried(t *testing.T) {
	withFixture(t, func(t *testing.T, b *fixture) {
		m := b.publishParts(1, "a", "b")
		b.platform.PublishValue("part-1", []byte("b of another revision"))
		b.publish(m)
		waitForWatches()
		must.SliceEmpty(t, b.drainFiles())
		must.Positive(t, b.client.Stats().Failures[ReasonPartDigest])
		b.platform.PublishValue("part-1", []byte("b"))
		time.Sleep(DefaultBackoffMax)
		must.Eq(t, []string{"ab"}, b.drainFiles())
		must.Eq(t, 1, b.platform.Calls().ByKey["part-0"])
	})
}

func TestInvalidManifestsAreReadOnce(t *testing.T) {
	part := "[[part]]\nkey = \"k\"\nsha256 = \"" + strings.Repeat("0", 64) + "\"\n"
	for name, m := range map[string]string{
		"no parts":     "manifest = true\nrevision = 1\n",
		"unknown key":  "manifest = true\nrevison = 1\n" + part,
		"no digest":    "manifest = true\n[[part]]\nkey = \"k\"\nsha256 = \"00\"\n",
		"own key":      "manifest = true\n" + strings.Replace(part, `"k"`, `"declared"`, 1),
		"no TOML":      "manifest = true\n[[part]\n",
		"above 1 MB":   strings.Repeat("x", declared.MaxValueBytes+1),
		"endless part": "",
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, b *fixture) {
				if m == "" {
					m = b.publishParts(1, strings.Repeat("x", declared.MaxValueBytes+1))
				}
				b.publish(m)
				waitForWatches()
				failures := b.client.Stats().Failures
				must.Eq(t, 1, failures[ReasonManifest]+failures[ReasonTooLarge])
				must.SliceEmpty(t, b.drainFiles())
				b.publish("good")
				waitForWatches()
				must.Eq(t, []string{"good"}, b.drainFiles())
			})
		})
	}
}

func TestPlatformFailures(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.PlatformFaults
		reason Reason
		// calls bounds the calls of one watch during an hour of the fault.
		calls int64
	}{
		// After some doublings, a delay is 2.5 to 5 s.
		{"down", standin.PlatformFaults{Down: true}, ReasonUnreachable, 3600/3 + 20},
		{"silent", standin.PlatformFaults{Silent: true}, ReasonTimeout, 3600/10 + 20},
		{"rate-limited", standin.PlatformFaults{ReadsPerSecond: 0.0001}, ReasonRateLimited, 3600/3 + 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, b *fixture) {
				b.publish("before")
				waitForWatches()
				calls := b.platform.Calls().ByKey[declared.Key]
				b.platform.SetFaults(tc.faults)
				b.publish("during")
				time.Sleep(time.Hour)
				must.Positive(t, b.client.Stats().Failures[tc.reason])
				must.LessEq(t, tc.calls, b.platform.Calls().ByKey[declared.Key]-calls)

				b.platform.SetFaults(standin.PlatformFaults{})
				b.publish("after")
				time.Sleep(DefaultWait + DefaultSlack + DefaultBackoffMax)
				got := b.drainFiles()
				must.Eq(t, "before", got[0])
				must.Eq(t, "after", got[len(got)-1])
				must.Eq(t, 1, len(b.lists))
			})
		})
	}
}

func TestStalePlatformDoesNotRevertVersion(t *testing.T) {
	withFixture(t, func(t *testing.T, b *fixture) {
		b.publish("one", "two")
		waitForWatches()
		must.Eq(t, []string{"two"}, b.drainFiles())
		stale := standin.NewPlatform()
		stale.PublishValue(declared.Key, []byte("one"))
		b.platform.SetFaults(standin.PlatformFaults{Down: true})
		b.servedPlatform.Store(stale)
		time.Sleep(DefaultStaleReset / 2)
		must.SliceEmpty(t, b.drainFiles())
		must.Positive(t, b.client.Stats().Failures[ReasonStale])

		// After StaleReset, the watch assumes that version numbers restarted.
		time.Sleep(DefaultStaleReset)
		must.Eq(t, []string{"one"}, b.drainFiles())
		stale.PublishValue(declared.Key, []byte("three"))
		waitForWatches()
		must.Eq(t, []string{"three"}, b.drainFiles())
	})
}

func TestInvalidInstanceListKeepsLastValidOne(t *testing.T) {
	const good = `[{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:7000","leaving":true},
		{"name":"b","availability_zone":"z","peer_address":"[fd00::1]:7000"}]`
	want := []reducer.Instance{
		{Name: "a", AvailabilityZone: "z", PeerAddress: "10.0.0.2:7000", Leaving: true},
		{Name: "b", AvailabilityZone: "z", PeerAddress: "[fd00::1]:7000"},
	}
	entry := func(address string) string {
		return `[{"name":"a","availability_zone":"z","peer_address":"` + address + `"}]`
	}
	withFixture(t, func(t *testing.T, b *fixture) {
		waitForWatches()
		b.platform.PublishInstances([]byte(good))
		waitForWatches()
		must.Eq(t, 0, len(<-b.lists))
		must.Eq(t, want, <-b.lists)
		for i, bad := range []string{
			"", "null", "{}", "[{}]", "[null]", `[] []`, good + "x", "[" + strings.Repeat(" ", declared.MaxValueBytes) + "]",
			entry("host:1"), entry("10.0.0.2"), entry("10.0.0.2:0"), entry("0.0.0.0:1"), entry(""),
			`[{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:1","zone":1}]`,
			`[{"name":"","availability_zone":"z","peer_address":"10.0.0.2:1"}]`,
			`[{"name":"a","availability_zone":"","peer_address":"10.0.0.2:1"}]`,
			`[{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:1"},{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:2"}]`,
			`[{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:1"},{"name":"b","availability_zone":"z","peer_address":"10.0.0.2:1"}]`,
		} {
			b.platform.PublishInstances([]byte(bad))
			waitForWatches()
			must.Eq(t, 0, len(b.lists), must.Sprint(bad))
			failures := b.client.Stats().Failures
			must.Eq(t, int64(i+1), failures[ReasonInstances]+failures[ReasonTooLarge], must.Sprint(bad))
		}
		b.platform.PublishInstances([]byte(good))
		waitForWatches()
		must.Eq(t, want, <-b.lists)
	})
}

func TestPlatformAddressMustBeNumeric(t *testing.T) {
	for _, a := range []string{"", "platform:80", "10.0.0.1", "http://10.0.0.1:80"} {
		_, err := New(Options{Address: a})
		must.Error(t, err)
	}
}
