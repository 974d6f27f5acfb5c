package main

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

// buildOperator makes the operator interface.
func (d *daemon) buildOperator() error {
	var conf *tls.Config
	if t := d.set.TLS; t.OperatorCertificateFile != "" {
		cert, err := tls.LoadX509KeyPair(t.OperatorCertificateFile, t.OperatorKeyFile)
		if err != nil {
			return err
		}
		conf = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	d.operator = operator.New(operator.Config{
		Address:  d.set.OperatorAddress,
		TLS:      conf,
		Counters: d.counters,
		Status:   d.status,
		Explain:  d.explain,
		Live:     d.live,
		Log:      d.log.Named("operator"),
	})
	d.counters.PublishProcess()
	d.counters.Publish("peers", func() any { return d.peers.Stats() })
	return nil
}

func (d *daemon) status(ctx context.Context) (any, error) {
	var st reducer.Status
	err := d.loop.Query(ctx, func(s *reducer.State) { st = s.Status() })
	return st, err
}

// explain returns the recent decisions on a request, which is named as in the
// header Balsam-Request. A request of another incarnation has none here.
func (d *daemon) explain(ctx context.Context, request string) (any, error) {
	var incarnation, id uint64
	if n, err := fmt.Sscanf(request, "%16x-%x", &incarnation, &id); n != 2 || err != nil {
		return nil, errors.Newf("%q is not the name of a request", request)
	}
	decisions := []reducer.Decision{}
	if incarnation != d.incarnation {
		return decisions, nil
	}
	err := d.loop.Query(ctx, func(s *reducer.State) {
		decisions = append(decisions, s.Explain(reducer.RequestID(id))...)
	})
	return decisions, err
}

// live holds as long as the control goroutine answers, and while the last
// answers are written out after it has stopped.
func (d *daemon) live(ctx context.Context) error {
	select {
	case <-d.loop.Stopped():
		return nil
	default:
		return d.loop.Query(ctx, func(*reducer.State) {})
	}
}
