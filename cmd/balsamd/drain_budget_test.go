package main

import (
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// Guards against timeouts in series that together exceed the time after which a draining
// endpoint must get no request: two sources of the listing that are lost, one tick, and a
// connection that takes as long as it may. The queue adds nothing, since a request is
// assigned to an endpoint as it leaves it.
func TestDelaysOfADrainingEndpointAddUpToLessThanTheBound(t *testing.T) {
	const smallestBound = 2 * time.Second
	must.Less(t, smallestBound, directory.MaxSourceDelay+scheduler.TickInterval+endpointConnectTimeout)
}
