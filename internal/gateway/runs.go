package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
)

const (
	// runsTimeout limits the read of an endpoint's runs, whose result is of use only to
	// callers that take their streams up soon.
	runsTimeout = 500 * time.Millisecond
	// maxRunsBytes limits the size of such an answer.
	maxRunsBytes = 1 << 20
)

// readRuns asks an endpoint which attempts it is running. Without an answer nothing is
// known of them.
func (h *Handler) readRuns(e scheduler.ReadRuns) {
	runs, started, err := h.fetchRuns(e.Endpoint.Address)
	outcome := "read"
	if err != nil {
		outcome = "failed"
		h.cfg.Log.Info("runs_unread", "endpoint", e.Endpoint.ID, "error", err.Error())
	}
	h.cfg.Counters.Add("routed_runs_reads_total", outcome, 1)
	h.post(scheduler.RunsRead{Endpoint: e.Endpoint.ID, Started: started, Runs: runs})
}

func (h *Handler) fetchRuns(address string) (runs []string, started int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runsTimeout)
	defer cancel()
	conn, err := h.cfg.Client.Connect(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	answer, err := conn.Send(ctx, endpoint.Call{Method: http.MethodGet, Path: h.cfg.Dialect.RunsPath()})
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return nil, 0, errors.Newf("endpoint answered %d", answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxRunsBytes))
	if err != nil {
		return nil, 0, err
	}
	return h.cfg.Dialect.ParseRuns(body)
}
