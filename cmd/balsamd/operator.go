package main

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/cockroachdb/errors"
)

// buildOperator creates the server of the operator interface.
func (d *daemon) buildOperator() error {
	var tlsConfig *tls.Config
	if tlsSettings := d.settings.TLS; tlsSettings.OperatorCertificateFile != "" {
		cert, err := tls.LoadX509KeyPair(tlsSettings.OperatorCertificateFile, tlsSettings.OperatorKeyFile)
		if err != nil {
			return err
		}
		tlsConfig = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	d.operator = operator.New(operator.Config{
		Address:  d.settings.OperatorAddress,
		TLS:      tlsConfig,
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

// explain returns the recent decisions on a request, which is identified by the
// value of its Balsam-Request header. The list is empty for a request of another
// incarnation.
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

// live is the liveness check. It succeeds while the control goroutine responds
// to queries, and after that goroutine has stopped, while the last answers are
// being written.
func (d *daemon) live(ctx context.Context) error {
	select {
	case <-d.loop.Stopped():
		return nil
	default:
		return d.loop.Query(ctx, func(*reducer.State) {})
	}
}
