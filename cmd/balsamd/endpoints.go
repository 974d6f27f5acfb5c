package main

import (
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// buildEndpointServices creates the poller of load reports and cache events,
// and the reconciler that sends orders to endpoints.
func (d *daemon) buildEndpointServices() {
	d.poller = endpoint.NewPoller(d.endpoints, endpoint.PollerConfig{}, d.handleLoadReport, d.handleCacheEvents)
	d.reconciler = endpoint.NewReconciler(d.endpoints, endpoint.ReconcilerConfig{}, d.currentFencing, func(r endpoint.OrderReport) {
		d.counters.Add("orders_total", string(r.Outcome), 1)
		d.log.Info("order", "endpoint", r.Endpoint, "fencing", r.Fencing, "outcome", string(r.Outcome))
	})
}

func (d *daemon) handleLoadReport(name string, l endpoint.Load, err error) {
	if err != nil {
		d.counters.Add("load_report_failures_total", "", 1)
		d.loop.Post(reducer.EndpointReported{Endpoint: name, Report: reducer.EndpointReport{Unreachable: true}})
		return
	}
	d.loop.Post(reducer.EndpointReported{Endpoint: name, Report: reducer.EndpointReport{
		Age: l.Age, Running: l.Running, Waiting: l.Waiting,
		DecodeTokensPerSecond: l.DecodeTokensPerSecond, Leaving: l.Leaving, Started: l.Started,
	}})
}

func (d *daemon) handleCacheEvents(name string, events []endpoint.CacheEvent) {
	for _, e := range events {
		d.loop.Post(reducer.CacheChanged{Endpoint: name, Prefix: e.Prefix, Held: e.Cached})
	}
}

// currentFencing returns the fencing number of the file in force. The reconciler
// calls it immediately before it writes an order, so that a process that was
// paused sends no order of an older revision.
func (d *daemon) currentFencing(string) (fencing uint64, ok bool) {
	f := d.declaredFile.Load()
	if f == nil {
		return 0, false
	}
	return f.Revision, true
}
