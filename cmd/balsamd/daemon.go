package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/caller"
	"github.com/balsamstair/balsamstair/internal/control"
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/peer"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/platform"
	"github.com/balsamstair/balsamstair/internal/reducer"
	"github.com/balsamstair/balsamstair/internal/refusal"
	"github.com/balsamstair/balsamstair/internal/settings"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/internal/traffic"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/net/netutil"
)

// peerProtocol is the number of the protocol between instances.
const peerProtocol = 1

// daemon holds the parts of one process.
type daemon struct {
	set         settings.Settings
	log         *logline.Logger
	incarnation uint64
	file        atomic.Pointer[declared.File]
	loop        *control.Loop
	exchange    *traffic.Exchange
	endpoints   *endpoint.Client
	peers       *peer.Transport
	operator    *operator.Server
	counters    *operator.Counters
	handler     http.Handler
	reconciler  *endpoint.Reconciler
	poller      *endpoint.Poller
	supervisor  *suture.Supervisor
}

func newDaemon(set settings.Settings, log *logline.Logger) (*daemon, error) {
	d := &daemon{set: set, log: log, incarnation: ticket.NewIncarnation()}
	d.loop = control.New(reducer.New(reducer.Config{
		Incarnation:      reducer.Incarnation(d.incarnation),
		Instance:         set.Instance,
		AvailabilityZone: set.AvailabilityZone,
		KeptLife:         set.Limits.KeptAnswer(),
		Guards:           guards(),
	}, reducer.Instant(boottime.Now())))
	d.counters = operator.NewCounters(counterDefinitions()...)
	d.endpoints = endpoint.New(endpoint.Config{})
	d.exchange = traffic.New(traffic.Config{
		Incarnation: reducer.Incarnation(d.incarnation),
		Client:      d.endpoints,
		Post:        d.loop.Post,
		AnswerLimit: answerLimit,
		KeptLimit:   set.Limits.KeptAnswerBytes,
	})
	if err := d.buildPeers(); err != nil {
		return nil, err
	}
	d.buildHandler()
	d.buildEndpointServices()
	if err := d.buildOperator(); err != nil {
		return nil, err
	}
	d.loop.Use(d.exchange,
		&control.PeerCarrier{Peers: d.peers, Dropped: func() { d.counters.Add("peer_frames_dropped_total", "", 1) }},
		&control.Observer{Counters: d.counters, Log: log},
		d)
	return d, nil
}

// answerLimit bounds, in bytes, what is kept of one answer for re-sends.
const answerLimit = 256 << 10

func (d *daemon) buildPeers() error {
	var conf *tls.Config
	if t := d.set.TLS; t.PeerCertificateFile != "" {
		var err error
		if conf, err = peer.TLSConfig(t.PeerCertificateFile, t.PeerKeyFile, t.PeerCAFile); err != nil {
			return err
		}
	}
	d.peers = peer.New(peer.Config{
		Incarnation: d.incarnation,
		Hello: &peerpb.Hello{
			Instance: d.set.Instance, AvailabilityZone: d.set.AvailabilityZone,
			PeerAddress: d.set.PeerAddress, Protocol: peerProtocol,
		},
		ListenAddress: d.set.PeerAddress,
		TLS:           conf,
		Handler:       &control.PeerEvents{Post: d.loop.Post, Log: d.log.Named("peer")},
		Log:           d.log.Named("peer"),
	})
	return nil
}

func (d *daemon) buildHandler() {
	d.handler = caller.NewHandler(caller.Config{
		Instance:         d.set.Instance,
		AvailabilityZone: d.set.AvailabilityZone,
		Incarnation:      d.incarnation,
		Exchange:         d.exchange,
		File:             d.file.Load,
		Minter:           ticket.NewMinter(d.incarnation),
		Peer:             d.peers.RoundTripper,
		Limits:           d.set.Limits,
		Log:              d.log.Named("caller"),
		Refused: func(r refusal.Reason) {
			d.counters.Add(string(reducer.CounterRefusals), string(r), 1)
		},
	})
}

// run serves until ctx ends and everything held is carried to its end.
func (d *daemon) run(ctx context.Context) error {
	d.supervisor = suture.New("balsamd", suture.Spec{
		PassThroughPanics: true,
		EventHook:         func(e suture.Event) { d.log.Warn("supervisor", "event", e.String()) },
	})
	d.supervisor.Add(d.loop)
	d.supervisor.Add(d.peers)
	d.supervisor.Add(d.operator)
	d.supervisor.Add(d.poller)
	d.supervisor.Add(d.reconciler)
	if err := d.addPlatform(); err != nil {
		return err
	}
	listener, err := d.listenCallers()
	if err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := d.serveHTTP(listener)
	forwarded := d.serveHTTP(d.peers.Forwarded())
	ended := d.supervisor.ServeBackground(serving)
	d.log.Event("started", "instance", d.set.Instance, "availability_zone", d.set.AvailabilityZone,
		"incarnation", d.incarnation, "caller_address", listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	d.stop(callers, forwarded)
	cancel()
	<-ended
	return nil
}

// stop is the graceful shutdown: the reducer says when nothing is held any
// more; then the last answers are written out. For leaveTime at least, who
// still comes gets a refusal: a closed listener would drop connections that
// are just being made.
func (d *daemon) stop(servers ...*http.Server) {
	d.loop.Post(reducer.StopRequested{})
	noticed := time.After(leaveTime)
	<-d.loop.Stopped()
	if guards().NoGracefulStop {
		return
	}
	<-noticed
	ctx, cancel := context.WithTimeout(context.Background(), lastWrites)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn("shutdown", "error", err.Error())
		}
	}
}

// leaveTime is how long the platform's balancer may take to see that the
// instance is not ready any more.
const leaveTime = 2 * time.Second

// lastWrites bounds how long slow callers may take to read answers that are
// complete; a caller that reads nothing is left after the idle timeout.
const lastWrites = 5 * time.Minute

func (d *daemon) addPlatform() error {
	client, err := platform.New(platform.Options{
		Address: d.set.PlatformAddress,
		OnFailure: func(reason platform.Reason, err error) {
			d.counters.Add("platform_failures_total", string(reason), 1)
		},
	})
	if err != nil {
		return err
	}
	d.supervisor.Add(client.FileWatcher(func(r platform.FileRead) {
		control.OfferFile(d.loop.Post, d.log, "platform", r.Manifest, r.Parts)
	}))
	d.supervisor.Add(client.InstancesWatcher(func(list []reducer.Instance) {
		d.loop.Post(reducer.InstancesListed{Instances: list})
	}))
	return nil
}

// listenCallers opens the callers' listener.
func (d *daemon) listenCallers() (net.Listener, error) {
	l, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		return nil, err
	}
	// Callers beyond the limit wait to be accepted: nobody is refused out of
	// the order of the tiers.
	l = netutil.LimitListener(l, d.set.Limits.ConcurrentRequests)
	t := d.set.TLS
	if t.CallerCertificateFile == "" {
		return l, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CallerCertificateFile, t.CallerKeyFile)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}

func (d *daemon) serveHTTP(l net.Listener) *http.Server {
	s := &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: d.set.Limits.IdleTimeout(),
		IdleTimeout:       d.set.Limits.IdleTimeout(),
		MaxHeaderBytes:    d.set.Limits.HeaderBytes,
		ErrorLog:          d.log.Standard("http"),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "error", err.Error())
		}
	}()
	return s
}

// Carry implements control.Carrier for what concerns the daemon itself.
func (d *daemon) Carry(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.FileAdopted:
		d.file.Store(e.File)
	case reducer.WatchEndpoints:
		d.poller.SetTargets(e.Addresses)
	case reducer.ReadyChanged:
		d.operator.SetReady(e.Ready)
	case reducer.Order:
		d.reconciler.Want(e.Endpoint, e.Address, endpoint.Order{Fencing: e.Fencing, Models: e.Models})
	default:
		return false
	}
	return true
}
