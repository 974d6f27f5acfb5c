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

// bench is a platform and a client that watches it in fake time.
type bench struct {
	platform *standin.Platform
	// served is the platform that the client meets.
	served atomic.Pointer[standin.Platform]
	client *Client
	// files and lists are what the watches handed on.
	files chan FileRead
	lists chan []reducer.Instance
	// inFlight counts the calls of all watches, and most is its maximum.
	inFlight, most atomic.Int64
	next           http.RoundTripper
}

// RoundTrip counts the calls in flight.
func (b *bench) RoundTrip(r *http.Request) (*http.Response, error) {
	b.most.Store(max(b.most.Load(), b.inFlight.Add(1)))
	defer b.inFlight.Add(-1)
	return b.next.RoundTrip(r)
}

// withBench runs both watches while the test runs.
func withBench(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pipes := standin.NewPipes()
		defer pipes.Close()
		transport := pipes.Transport()
		defer transport.CloseIdleConnections()
		b := &bench{
			platform: standin.NewPlatform(), next: transport,
			files: make(chan FileRead, 100), lists: make(chan []reducer.Instance, 100),
		}
		b.served.Store(b.platform)
		pipes.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.served.Load().ServeHTTP(w, r)
		}))
		var err error
		b.client, err = New(Options{Address: address, Transport: b, Seed: 1})
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.client.WatchInstances(ctx, func(l []reducer.Instance) { b.lists <- l }) }()
		go func() { _ = b.client.WatchFile(ctx, func(f FileRead) { b.files <- f }) }()
		test(t, b)
		cancel()
		synctest.Wait()
		must.Eq(t, 0, b.inFlight.Load())
		must.LessEq(t, 2, b.most.Load(), must.Sprint("more than one call in flight for a watch"))
	})
}

// settle lets the watches come to rest with the latest values.
func settle() { time.Sleep(30 * time.Second) }

func (b *bench) publish(files ...string) {
	for _, f := range files {
		b.platform.PublishValue(declared.Key, []byte(f))
	}
}

// received empties files and returns their text.
func (b *bench) received() []string {
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

// manifestOf publishes parts and returns their manifest.
func (b *bench) manifestOf(revision int, parts ...string) string {
	m := fmt.Sprintf("manifest = true\nrevision = %d\n", revision)
	for i, p := range parts {
		key := fmt.Sprintf("part-%d", i)
		b.platform.PublishValue(key, []byte(p))
		m += fmt.Sprintf("[[part]]\nkey = %q\nsha256 = \"%x\"\n", key, sha256.Sum256([]byte(p)))
	}
	return m
}

func TestChangeIsHandedOnAtOnce(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		settle()
		must.SliceEmpty(t, b.received())
		b.publish("one")
		settle()
		must.Eq(t, []string{"one"}, b.received())
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
	withBench(t, func(t *testing.T, b *bench) {
		b.publish("zero")
		settle()
		before := b.platform.Calls().ByKey[declared.Key]
		for i := range 1000 {
			b.publish(fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		got := b.received()
		must.Eq(t, "999", got[len(got)-1])
		must.LessEq(t, 8, len(got)) // a second at 200 ms each, both ends and the first
		must.LessEq(t, 10, b.platform.Calls().ByKey[declared.Key]-before)
	})
}

func TestOnlyNewPartsAreFetched(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.publish(b.manifestOf(1, "a", "b", "c"))
		settle()
		b.publish(b.manifestOf(2, "a", "B", "c"))
		settle()
		must.Eq(t, []string{"abc", "aBc"}, b.received())
		calls := b.platform.Calls().ByKey
		must.Eq(t, []int64{1, 2, 1}, []int64{calls["part-0"], calls["part-1"], calls["part-2"]})
		must.Eq(t, 2, b.client.Stats().PartsReused)

		// A part that the manifest in force does not name is not kept.
		b.publish(b.manifestOf(3, "a"))
		settle()
		b.publish(b.manifestOf(4, "a", "B"))
		settle()
		must.Eq(t, []string{"a", "aB"}, b.received())
		must.Eq(t, 3, b.platform.Calls().ByKey["part-1"])
	})
}

func TestPartThatIsNotTheManifestsIsReadAgain(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		m := b.manifestOf(1, "a", "b")
		b.platform.PublishValue("part-1", []byte("b of another revision"))
		b.publish(m)
		settle()
		must.SliceEmpty(t, b.received())
		must.Positive(t, b.client.Stats().Failures[ReasonPartDigest])
		b.platform.PublishValue("part-1", []byte("b"))
		time.Sleep(DefaultBackoffMax)
		must.Eq(t, []string{"ab"}, b.received())
		must.Eq(t, 1, b.platform.Calls().ByKey["part-0"])
	})
}

func TestWrongManifestsAreReadOnce(t *testing.T) {
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
			withBench(t, func(t *testing.T, b *bench) {
				if m == "" {
					m = b.manifestOf(1, strings.Repeat("x", declared.MaxValueBytes+1))
				}
				b.publish(m)
				settle()
				failures := b.client.Stats().Failures
				must.Eq(t, 1, failures[ReasonManifest]+failures[ReasonTooLarge])
				must.SliceEmpty(t, b.received())
				b.publish("good")
				settle()
				must.Eq(t, []string{"good"}, b.received())
			})
		})
	}
}

func TestPlatformFailures(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.PlatformFaults
		reason Reason
		// calls bounds the calls of one watch in an hour of the fault.
		calls int64
	}{
		// After some doublings a pause lasts 2.5 to 5 s.
		{"down", standin.PlatformFaults{Down: true}, ReasonUnreachable, 3600/3 + 20},
		{"silent", standin.PlatformFaults{Silent: true}, ReasonTimeout, 3600/10 + 20},
		{"rate-limited", standin.PlatformFaults{ReadsPerSecond: 0.0001}, ReasonRateLimited, 3600/3 + 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withBench(t, func(t *testing.T, b *bench) {
				b.publish("before")
				settle()
				calls := b.platform.Calls().ByKey[declared.Key]
				b.platform.SetFaults(tc.faults)
				b.publish("during")
				time.Sleep(time.Hour)
				must.Positive(t, b.client.Stats().Failures[tc.reason])
				must.LessEq(t, tc.calls, b.platform.Calls().ByKey[declared.Key]-calls)

				b.platform.SetFaults(standin.PlatformFaults{})
				b.publish("after")
				time.Sleep(DefaultWait + DefaultSlack + DefaultBackoffMax)
				got := b.received()
				must.Eq(t, "before", got[0])
				must.Eq(t, "after", got[len(got)-1])
				must.Eq(t, 1, len(b.lists))
			})
		})
	}
}

func TestStalePlatformDoesNotTakeBackAVersion(t *testing.T) {
	withBench(t, func(t *testing.T, b *bench) {
		b.publish("one", "two")
		settle()
		must.Eq(t, []string{"two"}, b.received())
		stale := standin.NewPlatform()
		stale.PublishValue(declared.Key, []byte("one"))
		b.platform.SetFaults(standin.PlatformFaults{Down: true})
		b.served.Store(stale)
		time.Sleep(DefaultStaleReset / 2)
		must.SliceEmpty(t, b.received())
		must.Positive(t, b.client.Stats().Failures[ReasonStale])

		// A platform that goes on so has begun to count anew.
		time.Sleep(DefaultStaleReset)
		must.Eq(t, []string{"one"}, b.received())
		stale.PublishValue(declared.Key, []byte("three"))
		settle()
		must.Eq(t, []string{"three"}, b.received())
	})
}

func TestBadInstanceListLeavesTheLastGoodOne(t *testing.T) {
	const good = `[{"name":"a","availability_zone":"z","peer_address":"10.0.0.2:7000","leaving":true},
		{"name":"b","availability_zone":"z","peer_address":"[fd00::1]:7000"}]`
	want := []reducer.Instance{
		{Name: "a", AvailabilityZone: "z", PeerAddress: "10.0.0.2:7000", Leaving: true},
		{Name: "b", AvailabilityZone: "z", PeerAddress: "[fd00::1]:7000"},
	}
	entry := func(address string) string {
		return `[{"name":"a","availability_zone":"z","peer_address":"` + address + `"}]`
	}
	withBench(t, func(t *testing.T, b *bench) {
		settle()
		b.platform.PublishInstances([]byte(good))
		settle()
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
			settle()
			must.Eq(t, 0, len(b.lists), must.Sprint(bad))
			failures := b.client.Stats().Failures
			must.Eq(t, int64(i+1), failures[ReasonInstances]+failures[ReasonTooLarge], must.Sprint(bad))
		}
		b.platform.PublishInstances([]byte(good))
		settle()
		must.Eq(t, want, <-b.lists)
	})
}

func TestPlatformAddressMustBeNumeric(t *testing.T) {
	for _, a := range []string{"", "platform:80", "10.0.0.1", "http://10.0.0.1:80"} {
		_, err := New(Options{Address: a})
		must.Error(t, err)
	}
}
