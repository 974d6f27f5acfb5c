package main

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/gateway"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

const (
	// routedDrainDelay is the time that the load balancer may need to notice that
	// the instance accepts no new connections: two checks one second apart,
	// and one in flight.
	routedDrainDelay = 2500 * time.Millisecond
	// idleCheckInterval is the interval of checks for forwarded requests in progress
	// during a shutdown.
	idleCheckInterval = 20 * time.Millisecond
	// shutdownMargin is how long before the end of the grace time, when the
	// process is killed, requests still in progress are broken off. answerTime is how
	// long their callers may take to receive an answer, exitMargin how long before the
	// end of the grace time the process ends whatever happens.
	shutdownMargin = 500 * time.Millisecond
	answerTime     = 250 * time.Millisecond
	exitMargin     = 100 * time.Millisecond
	// serviceStopTime is how long services may take to end once all requests have.
	serviceStopTime = 500 * time.Millisecond
	// unusedAge is how long after it was opened a connection without a byte of a request
	// is closed during a shutdown.
	unusedAge = time.Second
	// unusedCheckInterval is the interval of checks for such connections.
	unusedCheckInterval = 100 * time.Millisecond
)

// shutdown stops the server gracefully before the process is killed: the instance reports
// that it accepts no new connections, refuses what can't end in time, closes each
// connection after its response, completes the requests in progress, and answers those
// that it has to break off.
func (d *routedDaemon) shutdown(server *http.Server, connections *gateway.Connections, killedAt time.Time) {
	started := time.Now()
	endsAt := killedAt.Add(-shutdownMargin)
	d.log.Info("stopping", "open_requests", d.handler.InFlight(), "grace_s", d.settings.Bounds.GraceS)
	d.handler.Drain()
	d.loop.Post(scheduler.StopRequested{EndsAt: schedulerNow().Add(time.Until(endsAt))})
	time.Sleep(min(routedDrainDelay, d.settings.Bounds.Grace()/2))
	stopClosing := closeUnused(connections)
	defer stopClosing()
	err := d.finishRequests(server, endsAt)
	brokenOff := d.handler.InFlight()
	if err != nil {
		d.handler.EndRequests()
		// The error is that of requests that have not ended, which are logged below.
		_ = d.finishRequests(server, time.Now().Add(answerTime))
	}
	d.log.Info("stopped", "open_requests", d.handler.InFlight(), "broken_off", brokenOff,
		"took_ms", time.Since(started).Milliseconds(), "cut", err != nil)
}

// finishRequests waits until all requests have ended, at most until a time.
func (d *routedDaemon) finishRequests(server *http.Server, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return errors.CombineErrors(server.Shutdown(ctx), d.waitIdle(ctx))
}

// closeUnused closes callers' connections on which nothing arrives, until stop is called:
// the server waits for them otherwise.
func closeUnused(connections *gateway.Connections) (stop func()) {
	tick, done := time.NewTicker(unusedCheckInterval), make(chan struct{})
	go func() {
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				connections.CloseUnused(unusedAge)
			}
		}
	}()
	return func() { close(done) }
}

// waitIdle waits until the requests that other instances forwarded have ended too.
func (d *routedDaemon) waitIdle(ctx context.Context) error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for d.handler.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
