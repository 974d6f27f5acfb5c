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

// peerProtocol is the version of the protocol between instances.
const peerProtocol = 1

// daemon holds the components of one process.
type daemon struct {
	settings     settings.Settings
	log          *logline.Logger
	incarnation  uint64
	declaredFile atomic.Pointer[declared.File]
	loop         *control.Loop
	exchange     *traffic.Exchange
	endpoints    *endpoint.Client
	peers        *peer.Transport
	operator     *operator.Server
	counters     *operator.Counters
	handler      http.Handler
	reconciler   *endpoint.Reconciler
	poller       *endpoint.Poller
	supervisor   *suture.Supervisor
}

func newDaemon(cfg settings.Settings, log *logline.Logger) (*daemon, error) {
	d := &daemon{settings: cfg, log: log, incarnation: ticket.NewIncarnation()}
	d.loop = control.New(reducer.New(reducer.Config{
		Incarnation:      reducer.Incarnation(d.incarnation),
		Instance:         cfg.Instance,
		AvailabilityZone: cfg.AvailabilityZone,
		KeptAnswerTTL:    cfg.Limits.KeptAnswer(),
		Guards:           guards(),
	}, reducer.Instant(boottime.Now())))
	d.counters = operator.NewCounters(counterDefinitions()...)
	d.endpoints = endpoint.New(endpoint.Config{})
	d.exchange = traffic.New(traffic.Config{
		Incarnation: reducer.Incarnation(d.incarnation),
		Client:      d.endpoints,
		Post:        d.loop.Post,
		AnswerLimit: answerBufferBytes,
		KeptLimit:   cfg.Limits.KeptAnswerBytes,
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
		&control.PeerEffectHandler{Peers: d.peers, Dropped: func() { d.counters.Add("peer_frames_dropped_total", "", 1) }},
		&control.Observer{Counters: d.counters, Log: log},
		d)
	return d, nil
}

// answerBufferBytes is the maximum size of one answer that is kept for re-sends.
const answerBufferBytes = 256 << 10

func (d *daemon) buildPeers() error {
	var tlsConfig *tls.Config
	if tlsSettings := d.settings.TLS; tlsSettings.PeerCertificateFile != "" {
		var err error
		if tlsConfig, err = peer.TLSConfig(tlsSettings.PeerCertificateFile, tlsSettings.PeerKeyFile, tlsSettings.PeerCAFile); err != nil {
			return err
		}
	}
	d.peers = peer.New(peer.Config{
		Incarnation: d.incarnation,
		Hello: &peerpb.Hello{
			Instance: d.settings.Instance, AvailabilityZone: d.settings.AvailabilityZone,
			PeerAddress: d.settings.PeerAddress, Protocol: peerProtocol,
		},
		ListenAddress: d.settings.PeerAddress,
		TLS:           tlsConfig,
		Handler:       &control.PeerEvents{Post: d.loop.Post, Log: d.log.Named("peer")},
		Log:           d.log.Named("peer"),
	})
	return nil
}

func (d *daemon) buildHandler() {
	d.handler = caller.NewHandler(caller.Config{
		Instance:         d.settings.Instance,
		AvailabilityZone: d.settings.AvailabilityZone,
		Incarnation:      d.incarnation,
		Exchange:         d.exchange,
		File:             d.declaredFile.Load,
		Minter:           ticket.NewMinter(d.incarnation),
		Peer:             d.peers.RoundTripper,
		Limits:           d.settings.Limits,
		Log:              d.log.Named("caller"),
		CountRefusal: func(r refusal.Reason) {
			d.counters.Add(string(reducer.CounterRefusals), string(r), 1)
		},
	})
}

// run serves until ctx is cancelled, and returns after the requests in progress
// have ended.
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
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callerServer := d.serveHTTP(listener)
	forwardServer := d.serveHTTP(d.peers.ForwardListener())
	supervisorDone := d.supervisor.ServeBackground(serveCtx)
	d.log.Info("started", "instance", d.settings.Instance, "availability_zone", d.settings.AvailabilityZone,
		"incarnation", d.incarnation, "caller_address", listener.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-supervisorDone:
		return errors.Wrap(err, "supervisor ended")
	}
	d.shutdown(callerServer, forwardServer)
	cancel()
	<-supervisorDone
	return nil
}

// shutdown stops the servers gracefully. It waits until the reducer holds no
// requests any more, and then until the last answers are written. For at least
// drainDelay the listeners stay open and new requests are refused, because
// closing a listener drops connections that are being established.
func (d *daemon) shutdown(servers ...*http.Server) {
	d.loop.Post(reducer.StopRequested{})
	drainDelayPassed := time.After(drainDelay)
	<-d.loop.Stopped()
	if guards().NoGracefulStop {
		return
	}
	<-drainDelayPassed
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn("shutdown", "error", err.Error())
		}
	}
}

// drainDelay is the time that the platform's load balancer may need to notice
// that the instance is no longer ready.
const drainDelay = 2 * time.Second

// shutdownTimeout is how long slow callers may take to read complete answers.
// The idle timeout disconnects a caller that reads nothing.
const shutdownTimeout = 5 * time.Minute

func (d *daemon) addPlatform() error {
	client, err := platform.New(platform.Options{
		Address: d.settings.PlatformAddress,
		OnFailure: func(reason platform.Reason, err error) {
			d.counters.Add("platform_failures_total", string(reason), 1)
		},
	})
	if err != nil {
		return err
	}
	d.supervisor.Add(client.FileWatcher(func(r platform.DeclaredFile) {
		control.OfferFile(d.loop.Post, d.log, "platform", r.Manifest, r.Parts)
	}))
	d.supervisor.Add(client.InstancesWatcher(func(list []reducer.Instance) {
		d.loop.Post(reducer.InstancesListed{Instances: list})
	}))
	return nil
}

// listenCallers opens the listener for callers, with TLS where it is configured.
func (d *daemon) listenCallers() (net.Listener, error) {
	l, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	// Connections beyond the limit wait in the accept queue. Refusing them here
	// would ignore the order of the tiers.
	l = netutil.LimitListener(l, d.settings.Limits.ConcurrentRequests)
	tlsSettings := d.settings.TLS
	if tlsSettings.CallerCertificateFile == "" {
		return l, nil
	}
	cert, err := tls.LoadX509KeyPair(tlsSettings.CallerCertificateFile, tlsSettings.CallerKeyFile)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}

func (d *daemon) serveHTTP(l net.Listener) *http.Server {
	s := &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: d.settings.Limits.IdleTimeout(),
		IdleTimeout:       d.settings.Limits.IdleTimeout(),
		MaxHeaderBytes:    d.settings.Limits.HeaderBytes,
		ErrorLog:          d.log.Standard("http"),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "error", err.Error())
		}
	}()
	return s
}

// HandleEffect implements control.EffectHandler for the effects on the daemon itself.
func (d *daemon) HandleEffect(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.FileAdopted:
		d.declaredFile.Store(e.File)
	case reducer.WatchEndpoints:
		d.poller.SetTargets(e.Addresses)
	case reducer.ReadyChanged:
		d.operator.SetReady(e.Ready)
	case reducer.Order:
		d.reconciler.SetOrder(e.Endpoint, e.Address, endpoint.Order{Fencing: e.Fencing, Models: e.Models})
	default:
		return false
	}
	return true
}
