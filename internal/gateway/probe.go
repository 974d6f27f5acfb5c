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
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := scheduler.ProbeAccepted
	if err := h.cfg.Client.Probe(ctx, p.Endpoint.Address); err != nil {
		result = scheduler.ProbeUnknown
		if errors.Is(err, endpoint.ErrRefused) {
			result = scheduler.ProbeRefused
		}
	}
	h.post(scheduler.EndpointProbed{Endpoint: p.Endpoint.ID, Started: p.Endpoint.Started, Result: result})
	h.cfg.Counters.Add("routed_probes_total", result.String(), 1)
}
