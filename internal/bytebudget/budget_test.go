package bytebudget

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

type noOwner struct{}

func (noOwner) Evict() {}

var (
	start = time.Unix(1000, 0)
	near  = netip.MustParseAddr("10.0.0.1")
	far   = netip.MustParseAddr("10.0.0.2")
)

func newBudget() *Budget {
	return New(Config{Bytes: 1000, ReservedBytes: 200, SmallBytes: 50, StallAfter: time.Second})
}

// add adds a holder that received n bytes at start.
func add(t *testing.T, b *Budget, address netip.Addr, n int64) *Holder {
	t.Helper()
	h := b.Add(address, noOwner{}, start)
	h.SetState(Receiving, start)
	result, _ := h.Take(n, start)
	must.Eq(t, Taken, result)
	return h
}

// Guards against bytes that are returned twice, or not, on the paths on which a
// holder ends.
func TestReleaseIsIdempotent(t *testing.T) {
	b := newBudget()
	h := add(t, b, near, 300)
	h.Release(100)
	must.Eq(t, 200, b.Used())
	h.Release(1000)
	must.Eq(t, 0, b.Used())
	h.Close()
	h.Close()
	must.Eq(t, 0, b.Used())
	must.Eq(t, 0, b.Holders())
	result, _ := h.Take(1, start)
	must.Eq(t, Refused, result)
	must.MapEmpty(t, b.shares)
}

// Guards against large bodies that leave no room for small requests.
func TestReserveIsForSmallHolders(t *testing.T) {
	b := newBudget()
	add(t, b, near, 800)
	large := b.Add(near, noOwner{}, start)
	result, _ := large.Take(51, start)
	must.Eq(t, Refused, result)
	for range 4 {
		small := b.Add(near, noOwner{}, start)
		result, _ = small.Take(50, start)
		must.Eq(t, Taken, result)
	}
}

// Guards against the eviction of a holder that makes progress in place of one
// that does not, and against an eviction that frees too little.
func TestLongestStalledIsEvictedFirst(t *testing.T) {
	b := newBudget()
	first, second, third := add(t, b, near, 200), add(t, b, near, 300), add(t, b, near, 300)
	now := start.Add(10 * time.Second)
	second.Progress(now.Add(-5 * time.Second))
	third.Progress(now)
	taker := b.Add(near, noOwner{}, now)
	result, victims := taker.Take(250, now)
	must.Eq(t, Wait, result)
	must.Eq(t, []*Holder{first, second}, victims)
	// The evicted have not closed yet; nobody else is evicted for them.
	result, victims = taker.Take(250, now)
	must.Eq(t, Wait, result)
	must.SliceEmpty(t, victims)
	first.Close()
	second.Close()
	result, _ = taker.Take(250, now)
	must.Eq(t, Taken, result)
	must.False(t, third.Evicted())
}

// Guards against evictions that do not make enough room for anybody.
func TestNobodyIsEvictedInVain(t *testing.T) {
	b := newBudget()
	stalled, busy := add(t, b, near, 100), add(t, b, near, 700)
	now := start.Add(10 * time.Second)
	busy.SetState(Serving, now)
	result, victims := b.Add(near, noOwner{}, now).Take(300, now)
	must.Eq(t, Refused, result)
	must.SliceEmpty(t, victims)
	must.False(t, stalled.Evicted())
}

// Guards against the loss of a request that may be running.
func TestServedHoldersAreKept(t *testing.T) {
	b := newBudget()
	h := add(t, b, near, 800)
	h.SetState(Serving, start)
	now := start.Add(time.Hour)
	taker := b.Add(far, noOwner{}, now)
	result, _ := taker.Take(100, now)
	must.Eq(t, Refused, result)
	must.Nil(t, b.EvictOldest(taker, now))
}

// Guards against a group of clients at one address that takes what others need.
func TestAddressOverItsShareIsEvicted(t *testing.T) {
	b := newBudget()
	large := add(t, b, near, 800)
	// Within one address, a holder that makes progress is kept.
	result, _ := b.Add(near, noOwner{}, start).Take(100, start)
	must.Eq(t, Refused, result)
	result, victims := b.Add(far, noOwner{}, start).Take(100, start)
	must.Eq(t, Wait, result)
	must.Eq(t, []*Holder{large}, victims)
}

// Guards against small requests that wait behind large ones once the reserve is
// used up as well.
func TestSmallHolderReplacesLargeOne(t *testing.T) {
	b := newBudget()
	large := add(t, b, near, 800)
	for range 4 {
		add(t, b, near, 50)
	}
	result, victims := b.Add(near, noOwner{}, start).Take(10, start)
	must.Eq(t, Wait, result)
	must.Eq(t, []*Holder{large}, victims)
}

// Guards against idle connections that are closed while a request without
// progress is kept.
func TestStalledBeforeIdle(t *testing.T) {
	b := newBudget()
	idle := add(t, b, near, 10)
	idle.SetState(Idle, start)
	stalled := add(t, b, near, 10)
	stalled.Progress(start.Add(5 * time.Second))
	now := start.Add(10 * time.Second)
	taker := b.Add(near, noOwner{}, now)
	must.Eq(t, stalled, b.EvictOldest(taker, now))
	must.Eq(t, idle, b.EvictOldest(taker, now))
	must.Nil(t, b.EvictOldest(taker, now))
}

// Guards against a flood of new connections that keeps all others out for as long
// as none of them counts as idle.
func TestOldestOfYoungHoldersIsEvicted(t *testing.T) {
	b := newBudget()
	oldest := b.Add(near, noOwner{}, start)
	b.Add(near, noOwner{}, start.Add(time.Millisecond))
	now := start.Add(2 * time.Millisecond)
	must.Eq(t, oldest, b.EvictOldest(b.Add(far, noOwner{}, now), now))
}

// Guards against sums that drift: whatever happens, the bytes used are those of
// all holders, never more than the budget, and nothing is left at the end.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		now := start
		var holders []*Holder
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(holders) == 0 || rapid.Bool().Draw(t, "add") {
				address := rapid.SampledFrom([]netip.Addr{near, far}).Draw(t, "address")
				holders = append(holders, b.Add(address, noOwner{}, now))
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				_, victims := h.Take(int64(rapid.IntRange(0, 500).Draw(t, "n")), now)
				for _, v := range victims {
					v.Close()
				}
			case 2:
				h.Release(int64(rapid.IntRange(0, 500).Draw(t, "n")))
			case 3:
				h.SetState(State(rapid.IntRange(0, 3).Draw(t, "state")), now)
			case 4:
				h.Close()
			}
			sum := int64(0)
			for _, h := range holders {
				sum += h.bytes
			}
			if b.used != sum || b.used > b.cfg.Bytes || b.leaving != 0 {
				t.Fatalf("used %d, sum %d, leaving %d", b.used, sum, b.leaving)
			}
		}
		for _, h := range holders {
			h.Close()
		}
		if b.used != 0 || len(b.shares) != 0 || len(b.holders) != 0 {
			t.Fatalf("left: %d bytes, %d addresses, %d holders", b.used, len(b.shares), len(b.holders))
		}
	})
}
