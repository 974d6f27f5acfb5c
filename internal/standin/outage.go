package standin

import (
	"math"
	"sync"
	"time"
)

// forever is the duration of a permanent outage, 292 years.
const forever = time.Duration(math.MaxInt64)

// outage is a period in which a stand-in accepts no connections.
type outage struct {
	mu    sync.Mutex
	until time.Time
	// onStart is called at the start of each outage. A Server closes its
	// listener.
	onStart func(time.Duration)
}

func newOutage() *outage { return &outage{} }

// start begins an outage of duration d.
func (o *outage) start(d time.Duration) {
	o.mu.Lock()
	o.until = time.Now().Add(d)
	onStart := o.onStart
	o.mu.Unlock()
	if onStart != nil {
		onStart(d)
	}
}

func (o *outage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.until)
}

func (o *outage) setOnStart(onStart func(time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onStart = onStart
}
