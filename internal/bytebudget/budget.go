// Package bytebudget decides who may hold the memory that clients can occupy.
//
// A Budget is a number of bytes for one process. Each client connection is a
// Holder, which takes bytes before memory is allocated for it and returns them
// afterwards. If the budget is used up, Take names the holders to evict: those
// without progress for longest, then those of addresses that hold more than a
// fair share. A part of the budget is reserved for holders of few bytes.
//
// The package has no I/O and no clock. Its inputs are the current time and the
// state of each holder, which the owners update as they read and write, so that
// both are as old as the last read or write. The packages that read from and
// write to clients call it and carry out evictions.
package bytebudget

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Bytes is the size of the budget.
	Bytes int64
	// ReservedBytes is the part of Bytes that only small holders may take.
	ReservedBytes int64
	// SmallBytes is the size up to which a holder is small.
	SmallBytes int64
	// StallAfter is the time without progress from which a holder may be evicted
	// in favour of any other.
	StallAfter time.Duration
}

// State is what a holder does.
type State int32

// States of a holder.
const (
	// Idle holders have no request in progress.
	Idle State = iota
	// Receiving holders have sent a part of a request, which cannot have run yet.
	Receiving
	// Serving holders wait for their answer and are not evicted.
	Serving
	// Sending holders are being sent an answer.
	Sending
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"idle", "receiving", "serving", "sending"}[s]
}

// Result is the result of Take.
type Result int

// Results of Take.
const (
	// Refused: nothing was taken and nobody can be evicted instead.
	Refused Result = iota
	// Taken: the bytes were taken.
	Taken
	// Wait: nothing was taken. Enough holders are being evicted; the caller
	// tries again when they have closed.
	Wait
)

// Owner is what holds the memory of a Holder.
type Owner interface {
	// Evict makes the owner return its bytes soon. It does not block.
	Evict()
}

// Budget is a number of bytes that holders share. It is safe for concurrent
// use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	leaving int64
	holders []*Holder
	// shares holds the bytes of each client address.
	shares map[netip.Addr]int64
}

// New returns a Budget of which nothing is used.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, shares: map[netip.Addr]int64{}}
}

// Holder is one client connection that holds bytes of a Budget. It is safe for
// concurrent use.
type Holder struct {
	budget  *Budget
	address netip.Addr
	owner   Owner
	state   atomic.Int32
	evicted atomic.Bool
	// progressed is the time of the last progress, in nanoseconds since 1970.
	progressed atomic.Int64

	// The budget's mutex guards the rest.
	bytes  int64
	index  int
	closed bool
}

// Add adds a holder without bytes. Close removes it.
func (b *Budget) Add(address netip.Addr, owner Owner, now time.Time) *Holder {
	h := &Holder{budget: b, address: address, owner: owner}
	h.progressed.Store(now.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	h.index = len(b.holders)
	b.holders = append(b.holders, h)
	// The entry makes an address without bytes count in the fair share.
	b.shares[address] += 0
	return h
}

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 { return b.cfg.Bytes }

// Holders returns the number of holders.
func (b *Budget) Holders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.holders)
}

// Address returns the client's address.
func (h *Holder) Address() netip.Addr { return h.address }

// Owner returns the owner given to Add.
func (h *Holder) Owner() Owner { return h.owner }

// Bytes returns the number of bytes that h holds.
func (h *Holder) Bytes() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// State returns the last state set.
func (h *Holder) State() State { return State(h.state.Load()) }

// SetState sets the state, and now as the time of the last progress.
func (h *Holder) SetState(s State, now time.Time) {
	h.state.Store(int32(s))
	h.Progress(now)
}

// StartServing sets the state to Serving. It returns false if h was named for
// eviction before; otherwise it is not evicted while it stays in this state.
func (h *Holder) StartServing(now time.Time) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted.Load() {
		return false
	}
	h.SetState(Serving, now)
	return true
}

// Progress sets the time of the last progress.
func (h *Holder) Progress(now time.Time) { h.progressed.Store(now.UnixNano()) }

// Evicted reports whether h was named for eviction.
func (h *Holder) Evicted() bool { return h.evicted.Load() }

func (h *Holder) idleTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.progressed.Load())
}

// Take takes n bytes. If the result is Wait, the caller evicts the holders
// returned, if any.
func (h *Holder) Take(n int64, now time.Time) (Result, []*Holder) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || h.evicted.Load() {
		return Refused, nil
	}
	limit := b.cfg.Bytes
	small := h.bytes+n <= b.cfg.SmallBytes
	if !small {
		limit -= b.cfg.ReservedBytes
	}
	if b.used+n <= limit {
		b.used += n
		h.bytes += n
		b.shares[h.address] += n
		return Taken, nil
	}
	missing := b.used - b.leaving + n - limit
	if missing <= 0 {
		return Wait, nil
	}
	victims := b.selectVictims(h, n, missing, small, now)
	if victims == nil {
		return Refused, nil
	}
	return Wait, victims
}

// Release returns n bytes, at most those that h holds.
func (h *Holder) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.release(n)
	}
}

func (h *Holder) release(n int64) {
	b := h.budget
	n = min(n, h.bytes)
	h.bytes -= n
	b.used -= n
	b.shares[h.address] -= n
	if h.evicted.Load() {
		b.leaving -= n
	}
}

// Close returns all bytes and removes the holder. Further calls have no effect.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.release(h.bytes)
	h.closed = true
	last := b.holders[len(b.holders)-1]
	b.holders[h.index], last.index = last, h.index
	b.holders[len(b.holders)-1] = nil
	b.holders = b.holders[:len(b.holders)-1]
	if b.shares[h.address] == 0 && !b.hasHolder(h.address) {
		delete(b.shares, h.address)
	}
}

// hasHolder is called only when an address holds nothing.
func (b *Budget) hasHolder(address netip.Addr) bool {
	for _, h := range b.holders {
		if h.address == address {
			return true
		}
	}
	return false
}
