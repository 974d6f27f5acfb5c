// Package gossip exchanges reports between instances in UDP datagrams.
// Datagrams may be lost, duplicated or delayed. Each carries the sender's
// complete state and a sequence number, so a receiver needs only the newest.
// Partial reports in between carry only changed loads.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// maxDatagram is the largest payload of a UDP datagram over IPv4.
	maxDatagram = 65507
	// warningInterval is the minimum time between log lines about failed
	// datagrams.
	warningInterval = time.Second
)

// Config configures a Transport.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Received is called with each report of another instance.
	Received func(scheduler.Report)
	Log      *logline.Logger
}

// Transport sends and receives reports. It is a suture service.
type Transport struct {
	cfg      Config
	conn     atomic.Pointer[net.UDPConn]
	warnings *rate.Limiter
	// sendFailures and badDatagrams count the datagrams that could not be sent
	// and those that could not be decoded, since the start.
	sendFailures, badDatagrams atomic.Int64
}

// New returns a Transport that is idle until Listen or Serve is called.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, warnings: rate.NewLimiter(rate.Every(warningInterval), 1)}
}

// Listen opens the socket before Serve, so that an address already in use is
// detected at start.
func (t *Transport) Listen() error {
	if t.conn.Load() != nil {
		return nil
	}
	address, err := netip.ParseAddrPort(t.cfg.Address)
	if err != nil {
		return errors.Wrapf(err, "gossip: address %q is not an IP number with a port", t.cfg.Address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "gossip: listen")
	}
	t.conn.Store(conn)
	return nil
}

// Serve receives reports until ctx is done and returns its error.
func (t *Transport) Serve(ctx context.Context) error {
	if err := t.Listen(); err != nil {
		return err
	}
	conn := t.conn.Load()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			// A datagram sent earlier reached a closed port. The socket
			// remains usable.
			t.warn("gossip_receive_failed", from.String(), err)
			continue
		}
		report, err := decode(buffer[:n])
		if err != nil {
			t.badDatagrams.Add(1)
			t.warn("gossip_datagram_refused", from.String(), err)
			continue
		}
		t.cfg.Received(report)
	}
}

// Send sends a report to each address. It does not block and does not retry.
func (t *Transport) Send(to []string, report scheduler.Report) {
	conn := t.conn.Load()
	if conn == nil {
		return
	}
	datagram, err := encode(report)
	if err != nil {
		t.sendFailures.Add(1)
		t.warn("gossip_encode_failed", "", err)
		return
	}
	for _, address := range to {
		target, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(datagram, target)
		}
		if err != nil {
			t.sendFailures.Add(1)
			t.warn("gossip_send_failed", address, err)
		}
	}
}

func (t *Transport) warn(event, address string, err error) {
	if t.warnings.Allow() {
		t.cfg.Log.Warn(event, "address", address, "error", err.Error(),
			"send_failures", t.sendFailures.Load(), "bad_datagrams", t.badDatagrams.Load())
	}
}
