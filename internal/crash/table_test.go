package crash

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	threshold = 3
	limit     = 4096
)

func newTable() *Table { return NewTable(threshold, limit, TrialRetention) }

func ends(t *Table, c Cause) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	for _, e := range t.Ends(c) {
		out[e.Endpoint] = true
	}
	return out
}

// Guards against counts that depend on which reports were lost, repeated or
// reordered: three instances that saw one end each must all reach the threshold.
func TestMergeIsUnion(t *testing.T) {
	var tables []*Table
	for n := range 3 {
		table := newTable()
		must.True(t, table.AddEnd(RequestCause(7), Incarnation(n), time.Second))
		must.False(t, table.AddEnd(RequestCause(7), Incarnation(n), 2*time.Second))
		tables = append(tables, table)
	}
	for range 2 {
		for _, to := range tables {
			for _, from := range tables {
				for _, r := range from.Next(10) {
					to.Merge(r, 3*time.Second)
				}
			}
		}
	}
	for _, table := range tables {
		must.True(t, table.Suspect(RequestCause(7)))
		must.Len(t, 3, table.Ends(RequestCause(7)))
		must.Len(t, 1, table.All())
	}
}

// Guards against a healthy request that stays refused although it completed
// after the endpoints had ended.
func TestCompletionOutweighsEarlierEnds(t *testing.T) {
	table, other := newTable(), newTable()
	for n := range threshold {
		table.AddEnd(RequestCause(7), Incarnation(n), time.Second)
		other.AddEnd(RequestCause(7), Incarnation(n), time.Second)
	}
	must.Len(t, threshold, table.AddAcquittal(RequestCause(7), 2*time.Second))
	must.False(t, table.Suspect(RequestCause(7)))
	for _, r := range other.Next(1) {
		added, outdated := table.Merge(r, 3*time.Second)
		must.SliceEmpty(t, added)
		must.True(t, outdated)
	}
	must.True(t, other.Suspect(RequestCause(7)))
	for _, r := range table.Next(1) {
		other.Merge(r, 3*time.Second)
	}
	must.False(t, other.Suspect(RequestCause(7)))
	must.True(t, table.AddEnd(RequestCause(7), 9, 4*time.Second))
	must.Len(t, 1, table.Ends(RequestCause(7)))
}

// Guards against ends that are heard of only after the request completed here.
func TestRecentCompletionOutweighsEndsReportedLater(t *testing.T) {
	table := newTable()
	table.AddAcquittal(RequestCause(7), 2*time.Second)
	for n := range threshold {
		table.Merge(Record{Cause: RequestCause(7), Ends: []End{{Endpoint: Incarnation(n), At: time.Second}}}, 3*time.Second)
	}
	must.SliceEmpty(t, table.Ends(RequestCause(7)))
	table.Merge(Record{Cause: RequestCause(7), Ends: []End{{Endpoint: 1, At: 2500 * time.Millisecond}}}, 3*time.Second)
	must.Len(t, 1, table.Ends(RequestCause(7)))
}

// Guards against evidence that is never reported because others fill the report.
func TestEveryRecordIsReportedInTurn(t *testing.T) {
	table := newTable()
	for f := range uint64(40) {
		table.AddEnd(RequestCause(f), 1, 0)
	}
	seen := map[Cause]int{}
	for range 10 {
		for _, r := range table.Next(4) {
			seen[r.Cause]++
		}
	}
	must.MapLen(t, 40, seen)
	must.Len(t, 10, table.TakeChanged(10))
	must.Len(t, 30, table.TakeChanged(100))
	must.SliceEmpty(t, table.TakeChanged(100))
}

// Guards against a table that is full of requests with a single end and takes
// no further evidence, and against one that grows without limit.
func TestFullTableDropsOldestWithLeastEvidence(t *testing.T) {
	table := newTable()
	for n := range threshold {
		table.AddEnd(RequestCause(0), Incarnation(n), 0)
	}
	for f := uint64(1); f < limit+10; f++ {
		must.True(t, table.AddEnd(RequestCause(f), 1, 0))
	}
	must.MapLen(t, limit, table.records)
	must.Len(t, limit, table.order)
	must.True(t, table.Suspect(RequestCause(0)))
	must.Len(t, 1, table.Ends(RequestCause(limit+9)))
}

func neverRefuted(End) bool { return false }

// Guards against an endpoint that lives on and still counts as ended.
func TestRefutedEndsAreRemoved(t *testing.T) {
	table := newTable()
	table.AddEnd(RequestCause(7), 1, 0)
	table.AddEnd(RequestCause(7), 2, 0)
	table.Expire(time.Second, func(e End) bool { return e.Endpoint == 1 })
	must.Eq(t, map[Incarnation]bool{2: true}, ends(table, RequestCause(7)))
}

func TestEndsExpire(t *testing.T) {
	table := newTable()
	table.AddEnd(RequestCause(7), 1, 0)
	table.AddEnd(RequestCause(7), 2, time.Minute)
	table.Expire(Retention, neverRefuted)
	must.Len(t, 1, table.Ends(RequestCause(7)))
	table.Expire(Retention+time.Minute, neverRefuted)
	must.MapEmpty(t, table.records)
	must.SliceEmpty(t, table.order)
	must.SliceEmpty(t, table.Next(4))
	added, _ := table.Merge(Record{Cause: RequestCause(7), Ends: []End{{Endpoint: 1, At: 0}}}, Retention)
	must.SliceEmpty(t, added)
}

// Tables that received the same evidence in any order, any number of times, and
// with different delays agree on the ends that count.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTable(), newTable(), newTable()}
		index := rapid.IntRange(0, len(tables)-1)
		now := Time(time.Hour)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Second
			to := tables[index.Draw(t, "to")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				to.AddEnd(RequestCause(7), Incarnation(rapid.IntRange(0, 5).Draw(t, "endpoint")), now)
			case 1:
				to.AddAcquittal(RequestCause(7), now)
			case 2:
				for _, r := range tables[index.Draw(t, "from")].Next(1) {
					to.Merge(r, now)
				}
			}
		}
		for range len(tables) {
			for _, to := range tables {
				for _, from := range tables {
					for _, r := range from.Next(1) {
						to.Merge(r, now)
					}
				}
			}
		}
		for _, other := range tables[1:] {
			if got, want := ends(other, RequestCause(7)), ends(tables[0], RequestCause(7)); len(got) != len(want) {
				t.Fatalf("%v and %v", got, want)
			}
		}
	})
}

// Guards against trials that come too often, or never: each one that ends an
// endpoint multiplies the time until the next.
func TestTrialsBecomeRarer(t *testing.T) {
	table := newTable()
	cause := PartCause("s", 7)
	at := Time(time.Hour)
	for n := range threshold {
		table.AddEnd(cause, Incarnation(n), at)
	}
	r, _ := table.Get(cause)
	must.False(t, table.Confirmed(r))
	must.Eq(t, at+ProofTime, table.TrialDue(r))
	// An end of the same burst confirms nothing.
	table.AddEnd(cause, 10, at+ProofTime)
	r, _ = table.Get(cause)
	must.False(t, table.Confirmed(r))
	intervals := []time.Duration{MinTrialInterval, 4 * MinTrialInterval, 16 * MinTrialInterval, 64 * MinTrialInterval, MaxTrialInterval, MaxTrialInterval, MaxTrialInterval}
	at += time.Second
	for n, want := range intervals {
		table.AddEnd(cause, Incarnation(20+n), at)
		r, _ = table.Get(cause)
		must.True(t, table.Confirmed(r))
		must.Eq(t, at+want, table.TrialDue(r), must.Sprint(n))
		must.LessEq(t, maxEnds, len(r.Ends))
		at = table.TrialDue(r)
		table.Expire(at, neverRefuted)
		must.True(t, table.Suspect(cause), must.Sprint(n))
	}
	table.Expire(at+TrialRetention, neverRefuted)
	must.MapEmpty(t, table.records)
}

// Guards against a sound run that is forgotten because its cause had no evidence
// when it was reported.
func TestReportedAcquittalOutweighsLaterReports(t *testing.T) {
	table := newTable()
	cause := PartCause("s", 7)
	_, outdated := table.Merge(Record{Cause: cause, Acquitted: true, AcquittedAt: 2 * time.Second}, 3*time.Second)
	must.False(t, outdated)
	added, outdated := table.Merge(Record{Cause: cause, Ends: []End{{Endpoint: 1, At: time.Second}, {Endpoint: 2, At: 3 * time.Second}}}, 3*time.Second)
	must.True(t, outdated)
	must.Len(t, 1, added)
}
