package gateway

import (
	"context"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

// probeTimeout limits the time to connect to an endpoint whose connection
// broke. An endpoint that ended refuses the connection in one round trip.
const probeTimeout = time.Second

// probe connects to an endpoint and reports whether anything listens there.
func (h *Handler) probe(p scheduler.ProbeEndpoint) {
	result := h.connect(p.Endpoint.Address, "routed_probes_total")
	h.post(scheduler.EndpointProbed{Endpoint: p.Endpoint.ID, Started: p.Endpoint.Started, Result: result})
}

// connect opens a connection to an address, which is kept for a later request, and
// counts the result.
func (h *Handler) connect(address, counter string) scheduler.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := scheduler.ProbeAccepted
	if err := h.cfg.Client.Probe(ctx, address); err != nil {
		result = scheduler.ProbeUnknown
		if errors.Is(err, endpoint.ErrRefused) {
			result = scheduler.ProbeRefused
		}
	}
	h.cfg.Counters.Add(counter, result.String(), 1)
	return result
}
