package standin

import (
	"math"
	"sync"
	"time"
)

// forever is the length of an outage without an end, 292 years.
const forever = time.Duration(math.MaxInt64)

// outage is a time in which a stand-in takes no connections.
type outage struct {
	mu    sync.Mutex
	until time.Time
	// onBegin is told of each outage; a Server closes its listener.
	onBegin func(time.Duration)
}

func newOutage() *outage { return &outage{} }

// begin starts an outage.
func (o *outage) begin(d time.Duration) {
	o.mu.Lock()
	o.until = time.Now().Add(d)
	onBegin := o.onBegin
	o.mu.Unlock()
	if onBegin != nil {
		onBegin(d)
	}
}

func (o *outage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.until)
}

func (o *outage) notify(onBegin func(time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onBegin = onBegin
}
