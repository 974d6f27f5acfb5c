package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	v1 = SoftwareOf("s", "v1")
	v2 = SoftwareOf("s", "v2")
)

func TestIdentities(t *testing.T) {
	must.NotEq(t, v1, v2)
	must.NotEq(t, v1, SoftwareOf("t", "v1"))
	must.NotEq(t, Unknown, SoftwareOf("s", ""))
	must.NotEq(t, SoftwareOf("s", strings.Repeat("v", 1<<16)), SoftwareOf("s", strings.Repeat("v", 1<<16+1)))
	must.NotEq(t, AttemptOf("a", "1"), AttemptOf("b", "1"))
	must.NotEq(t, AttemptOf("a", "1"), AttemptOf("a", "2"))
}

// Guards against a stream that goes on at the software of an earlier dispatch,
// whichever record arrives first.
func TestRecordOfLatestDispatchCounts(t *testing.T) {
	first := Record{Attempt: 7, Software: v1, Dispatch: 1, Until: time.Minute}
	second := Record{Attempt: 7, Software: v2, Dispatch: 2, Until: time.Minute}
	for _, order := range [][]Record{{first, second}, {second, first}, {first, second, first}} {
		table := NewTable(10)
		for _, r := range order {
			table.Merge(r)
		}
		got, known := table.Lookup(7)
		must.True(t, known)
		must.Eq(t, second, got)
	}
}

// Guards against records that fill the memory, or that are dropped while their
// callers may still take the stream up.
func TestRecordsAreLimitedAndExpire(t *testing.T) {
	table := NewTable(3)
	for n := range 5 {
		table.Begin(Record{Attempt: Attempt(n), Software: v1, Until: time.Duration(n) * time.Second}, n%2 == 0)
	}
	must.Eq(t, 3, table.Len())
	_, known := table.Lookup(1)
	must.False(t, known)
	must.Len(t, 3, table.TakeUnsent())
	must.SliceEmpty(t, table.TakeUnsent())
	table.Expire(3 * time.Second)
	must.Eq(t, 2, table.Len())
	table.Begin(Record{Attempt: 9}, false)
	table.Begin(Record{Attempt: 10}, false)
	must.Eq(t, 3, table.Len())
	_, known = table.Lookup(3)
	must.False(t, known)
}

// Guards against an attempt without a record that goes on at software that came
// later, or at any where it can't be told.
func TestSoftwareThatMustHaveBegunAnAttempt(t *testing.T) {
	const within = 30 * time.Second
	services := []string{"s"}
	for name, c := range map[string]struct {
		listed func(h *History)
		want   Software
		alone  bool
	}{
		"nothing listed":       {func(h *History) {}, Unknown, false},
		"one":                  {func(h *History) { h.Listed("s", v1, 0); h.Listed("s", v1, 99*time.Second) }, v1, true},
		"one, new service":     {func(h *History) { h.Listed("t", 5, 0); h.Listed("s", v1, 99*time.Second) }, v1, true},
		"two from the start":   {func(h *History) { h.Listed("s", v1, 0); h.Listed("s", v2, 0); listAll(h, 99*time.Second) }, Unknown, false},
		"second came lately":   {func(h *History) { h.Listed("s", v1, 0); listAll(h, 90*time.Second) }, v1, false},
		"second came long ago": {func(h *History) { h.Listed("s", v1, 0); listAll(h, 50*time.Second); listAll(h, 99*time.Second) }, Unknown, false},
		"first gone lately":    {func(h *History) { listAll(h, 0); listAll(h, 80*time.Second); h.Listed("s", v2, 99*time.Second) }, Unknown, false},
		"first gone long ago":  {func(h *History) { listAll(h, 0); h.Listed("s", v2, 99*time.Second) }, v2, true},
		"back again": {func(h *History) {
			h.Listed("s", v1, 0)
			h.Listed("s", v2, 75*time.Second)
			h.Listed("s", v1, 99*time.Second)
		}, v1, false},
		"others of other service": {func(h *History) {
			h.Listed("s", v1, 0)
			h.Listed("s", v1, 99*time.Second)
			h.Listed("t", 5, 99*time.Second)
		}, v1, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			c.listed(h)
			got, alone := h.Sole(services, 100*time.Second, within)
			must.Eq(t, c.want, got)
			must.Eq(t, c.alone, alone)
		})
	}
	h := NewHistory()
	h.Listed("s", v1, 0)
	h.Listed("t", SoftwareOf("t", "v1"), 0)
	must.False(t, h.Several([]string{"s"}, time.Second, within))
	must.True(t, h.Several([]string{"s", "t"}, time.Second, within))
	got, _ := h.Sole([]string{"s", "t"}, time.Second, within)
	must.Eq(t, Unknown, got)
	must.False(t, h.Several([]string{"s", "t"}, time.Hour, within))
	h.Forget(time.Minute)
	must.MapEmpty(t, h.services)
}

// Guards against a listing after a start that is taken for all that ever ran.
func TestHistoryCoversWhatWasListedSinceItsBegin(t *testing.T) {
	const within = 30 * time.Second
	h := NewHistory()
	must.False(t, h.Covers(time.Hour, within))
	h.Listed("s", v1, time.Hour)
	must.False(t, h.Covers(time.Hour+within, within))
	must.True(t, h.Covers(time.Hour+within+1, within))

	h = NewHistory()
	h.SetComplete()
	must.False(t, h.Covers(time.Hour, within))
	h.Listed("s", v1, time.Hour)
	must.True(t, h.Covers(time.Hour, within))
	got, alone := h.Sole([]string{"s"}, time.Hour, within)
	must.Eq(t, v1, got)
	must.True(t, alone)
	h.AddPast("s", v2, time.Hour+time.Minute)
	got, _ = h.Sole([]string{"s"}, time.Hour+time.Minute, 2*time.Minute)
	must.Eq(t, Unknown, got)
}

func listAll(h *History, at time.Duration) {
	h.Listed("s", v1, at)
	h.Listed("s", v2, at)
}

func TestHistoryForgetsSoftware(t *testing.T) {
	h := NewHistory()
	for n := range 100 {
		h.Listed("s", SoftwareOf("s", fmt.Sprint(n)), time.Duration(n)*time.Minute)
		h.Forget(time.Duration(n-15) * time.Minute)
	}
	must.MapLen(t, 16, h.services["s"])
}
