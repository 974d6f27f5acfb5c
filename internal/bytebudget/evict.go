package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// Classes of holders, in the order of eviction.
const (
	// classStalled holders have a request in progress without progress.
	classStalled = iota
	// classIdle holders have had no request in progress for a while.
	classIdle
	// classOverShare holders make progress, but their addresses hold more than a
	// fair share, or they hold much while a small holder needs little.
	classOverShare
	// classYoung holders are evicted only if there are too many holders.
	classYoung
	classKept
)

type candidate struct {
	*Holder
	class int
	idle  time.Duration
}

// selectVictims marks and returns holders that hold at least missing bytes. It
// returns nil, and evicts nobody, if they hold less.
func (b *Budget) selectVictims(taker *Holder, n, missing int64, small bool, now time.Time) []*Holder {
	fair := b.cfg.Bytes / int64(max(len(b.shares), 1))
	belowShare := b.shares[taker.address]+n <= fair
	var candidates []candidate
	for _, h := range b.holders {
		if h == taker || h.evicted.Load() || h.bytes == 0 {
			continue
		}
		c := candidate{Holder: h, idle: h.idleTime(now)}
		overShare := belowShare && b.shares[h.address] > fair || small && h.bytes > b.cfg.SmallBytes
		if c.class = b.classify(h, c.idle, overShare); c.class != classKept {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.idle, a.idle), cmp.Compare(b.bytes, a.bytes))
	})
	var victims []*Holder
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		missing -= c.bytes
		victims = append(victims, c.Holder)
	}
	if missing > 0 {
		return nil
	}
	for _, v := range victims {
		b.mark(v)
	}
	return victims
}

func (b *Budget) classify(h *Holder, idle time.Duration, overShare bool) int {
	stalled := idle >= b.cfg.StallAfter
	switch state := h.State(); {
	case state == Serving:
		return classKept
	case state == Idle && stalled:
		return classIdle
	case state != Idle && stalled:
		return classStalled
	case overShare:
		return classOverShare
	default:
		return classKept
	}
}

// mark names h for eviction. Its bytes count as used until it returns them.
func (b *Budget) mark(h *Holder) {
	h.evicted.Store(true)
	b.leaving += h.bytes
}

// EvictOldest marks and returns the holder that was idle or without progress for
// longest, or nil if all others are being served or are being sent an answer. It
// is for limits on the number of holders. Without a holder that has been idle or
// stalled for long, those of addresses above a fair share come first.
func (b *Budget) EvictOldest(taker *Holder, now time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	fair := b.used / int64(max(len(b.shares), 1))
	belowShare := b.shares[taker.address] < fair
	best := candidate{class: classKept}
	for _, h := range b.holders {
		if h == taker || h.evicted.Load() {
			continue
		}
		c := candidate{Holder: h, idle: h.idleTime(now)}
		c.class = b.classify(h, c.idle, belowShare && b.shares[h.address] > fair)
		if state := h.State(); c.class == classKept && (state == Idle || state == Receiving) {
			c.class = classYoung
		}
		if c.class < best.class || c.class == best.class && c.class != classKept && c.idle > best.idle {
			best = c
		}
	}
	if best.Holder != nil {
		b.mark(best.Holder)
	}
	return best.Holder
}
