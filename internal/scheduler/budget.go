package scheduler

import "time"

const (
	// budgetSlotWidth is the resolution of the retry budget's window.
	budgetSlotWidth = 500 * time.Millisecond
	// budgetMargin is the fraction of the allowed retries that is used, to allow
	// for the resolution of the window and for retries in progress.
	budgetMargin = 0.8
	budgetSlots  = 64
)

// budget counts a service's requests and retries by time slot.
type budget struct {
	slots [budgetSlots]budgetCounts
}

type budgetCounts struct {
	slot              int64
	requests, retries int
}

func (b *budget) slotAt(now Instant) *budgetCounts {
	slot := int64(now) / int64(budgetSlotWidth)
	c := &b.slots[slot%budgetSlots]
	if c.slot != slot {
		*c = budgetCounts{slot: slot}
	}
	return c
}

func (b *budget) recordRequest(now Instant) { b.slotAt(now).requests++ }
func (b *budget) recordRetry(now Instant)   { b.slotAt(now).retries++ }

// sums returns the counts of the window that ends now.
func (b *budget) sums(now Instant, window time.Duration) (requests, retries int) {
	last := int64(now) / int64(budgetSlotWidth)
	first := last - int64(window/budgetSlotWidth)
	for i := range b.slots {
		if c := &b.slots[i]; c.slot >= first && c.slot <= last {
			requests += c.requests
			retries += c.retries
		}
	}
	return requests, retries
}

// allowsRetry reports whether one more retry stays within this instance's share
// of the budget. The ratio applies to the instance's own requests; the extra is
// divided by the number of instances.
func (b *budget) allowsRetry(now Instant, bounds Bounds, instances int) bool {
	if bounds.RetryWindow == 0 {
		return true
	}
	requests, retries := b.sums(now, bounds.RetryWindow)
	allowed := budgetMargin * (bounds.RetryRatio*float64(requests) + bounds.RetryExtra/float64(instances))
	return float64(retries+1) <= allowed
}
