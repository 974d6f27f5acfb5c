package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/endpoint"
	"github.com/balsamstair/balsamstair/internal/gateway"
	"github.com/balsamstair/balsamstair/internal/gossip"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/balsamstair/balsamstair/internal/settings"
	"github.com/balsamstair/balsamstair/internal/ticket"
	"github.com/balsamstair/balsamstair/platform"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
)

const (
	// endpointConnectTimeout bounds a connection to an endpoint: some hundred
	// round trips inside a region.
	endpointConnectTimeout = 400 * time.Millisecond
	// endpointSilence ends connections to endpoints that went dark.
	endpointSilence = 3 * time.Second
	// endpointIdle is how long an unused connection to an endpoint is kept.
	endpointIdle = 20 * time.Second
	// storeConnectTimeout bounds a connection to the platform's store.
	storeConnectTimeout = 500 * time.Millisecond
	// withdrawTime is how long the balancer may take to see that the instance
	// wants no new connections: two questions a second apart, and one in
	// flight.
	withdrawTime = 2500 * time.Millisecond
	// killMargin is the time before the kill at which the process gives up
	// what still runs.
	killMargin = 500 * time.Millisecond
	// memoryShare is the part of the memory limit that the Go runtime tries to
	// stay below, bodiesShare the part that callers' bodies may take.
	memoryShare = 0.7
	bodiesShare = 0.2
	// callerHeaderTimeout and callerHeaderBytes bound a request's head where the
	// configuration does not, or not as strictly.
	callerHeaderTimeout = 10 * time.Second
	callerHeaderBytes   = 256 << 10
	// settingsPoll is how often the settings file is looked at for a change
	// that no signal told.
	settingsPoll = 2 * time.Second
)

// routedDaemon holds the parts of a process that serves routed traffic.
type routedDaemon struct {
	path     string
	set      settings.Routed
	log      *logline.Logger
	loop     *gateway.Loop
	handler  *gateway.Handler
	gossip   *gossip.Transport
	operator *operator.Server
	counters *operator.Counters
	watcher  *directory.Watcher
	replica  *directory.Replica
	plan     atomic.Pointer[directory.Plan]
	// hangups tells that the settings file may have changed.
	hangups <-chan os.Signal
}

func schedulerNow() scheduler.Instant { return scheduler.Instant(boottime.Now()) }

func newRoutedDaemon(path string, set settings.Routed, log *logline.Logger, hangups <-chan os.Signal) *routedDaemon {
	debug.SetMemoryLimit(int64(memoryShare * float64(set.Limits.MemoryMB<<20)))
	d := &routedDaemon{path: path, set: set, log: log, hangups: hangups, replica: directory.NewReplica()}
	d.plan.Store(new(directory.Plan))
	incarnation := ticket.NewIncarnation()
	d.loop = gateway.NewLoop(scheduler.New(scheduler.Config{
		Instance:    set.Instance,
		Zone:        set.AvailabilityZone,
		Address:     set.GossipAddress,
		Incarnation: incarnation,
		Seeds:       set.Seeds,
		Seed:        incarnation,
		Bounds: scheduler.Bounds{
			Revocation:  set.Bounds.Revocation(),
			RetryRatio:  set.Bounds.RetryRatio,
			RetryExtra:  set.Bounds.RetryExtra,
			RetryWindow: set.Bounds.RetryWindow(),
		},
	}, schedulerNow()), schedulerNow)
	d.counters = operator.NewCounters(routedDefinitions()...)
	d.counters.PublishProcess()
	d.handler = gateway.NewHandler(gateway.Config{
		Client: endpoint.New(endpoint.Config{
			ConnectTimeout:  endpointConnectTimeout,
			IdleTimeout:     endpointIdle,
			RequestIDHeader: platform.RequestIDHeader,
			AcceptClose:     true,
			SilenceTimeout:  endpointSilence,
		}),
		Dialect:     platform.Dialect{},
		Now:         schedulerNow,
		Post:        d.loop.Post,
		Log:         log.Named("gateway"),
		Counters:    d.counters,
		BodiesBytes: int64(bodiesShare * float64(set.Limits.MemoryMB<<20)),
	})
	d.gossip = gossip.New(gossip.Config{
		Address:  set.GossipAddress,
		Received: func(r scheduler.Report) { d.loop.Post(scheduler.PeerReported{Report: r}) },
		Log:      log.Named("gossip"),
	})
	d.operator = operator.New(operator.Config{Address: set.OperatorAddress, Counters: d.counters, Log: log.Named("operator")})
	d.watcher = directory.NewWatcher(directory.WatcherConfig{
		Source:      platform.NewStore(set.PlatformAddress, storeTransport()),
		Plan:        func() directory.Plan { return *d.plan.Load() },
		RelayClient: &http.Client{Transport: storeTransport()},
		Now:         boottime.Now,
		Updated: func(u directory.Update) {
			d.replica.Apply(u)
			d.loop.Post(scheduler.DirectoryRead{Update: u})
		},
	})
	d.loop.Use(d.handler.Carry, d.carry)
	return d
}

// storeTransport returns a transport that gives up silent connections.
func storeTransport() *http.Transport {
	dialer := net.Dialer{Timeout: storeConnectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     endpointIdle,
	}
}

// routedDefinitions declares the counters whose labels are closed lists.
func routedDefinitions() []operator.Definition {
	var refusals []string
	for _, r := range scheduler.Reasons() {
		refusals = append(refusals, string(r))
	}
	return []operator.Definition{{Name: string(scheduler.CounterRefusals), Labels: refusals}}
}

// carry takes the scheduler's effects that concern the process.
func (d *routedDaemon) carry(e scheduler.Effect) bool {
	switch e := e.(type) {
	case scheduler.SendReport:
		d.gossip.Send(e.To, e.Report)
	case scheduler.ReadyChanged:
		d.operator.SetReady(e.Ready)
	case scheduler.ReadFrom:
		d.plan.Store(&e.Plan)
	case scheduler.Logged:
		d.log.Event(e.Event, e.Fields...)
	case scheduler.Counted:
		d.counters.Add(string(e.Counter), e.Label, e.Delta)
	default:
		return false
	}
	return true
}

// run serves until ctx ends and what is in progress has ended, or until the
// grace time is nearly over.
func (d *routedDaemon) run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "caller listener")
	}
	if err := d.gossip.Listen(); err != nil {
		return err
	}
	if _, err := d.operator.Listen(); err != nil {
		return err
	}
	supervisor := suture.New("balsamd", suture.Spec{
		PassThroughPanics: true,
		EventHook:         func(e suture.Event) { d.log.Warn("supervisor", "event", e.String()) },
	})
	supervisor.Add(d.loop)
	supervisor.Add(d.gossip)
	supervisor.Add(d.operator)
	supervisor.Add(d.watcher)
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := supervisor.ServeBackground(serving)
	connections := gateway.NewConnections(d.handler)
	supervisor.Add(connections)
	server := d.serveCallers(callers, connections)
	if d.set.MetricsAddress != "" {
		if err := d.serveInternal(serving, "metrics", d.set.MetricsAddress, d.operator); err != nil {
			return err
		}
	}
	relay := directory.RelayHandler(d.replica, boottime.Now)
	if err := d.serveInternal(serving, "relay", d.set.GossipAddress, relay); err != nil {
		return err
	}
	go d.watchSettings(serving)
	d.log.Event("started", "instance", d.set.Instance, "availability_zone", d.set.AvailabilityZone,
		"caller_address", d.set.CallerAddress, "seeds", len(d.set.Seeds), "memory_mb", d.set.Limits.MemoryMB)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	d.stop(server)
	cancel()
	<-ended
	return nil
}

func (d *routedDaemon) serveCallers(l net.Listener, connections *gateway.Connections) *http.Server {
	server := &http.Server{
		Handler:           d.handler,
		ConnState:         connections.Track,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       d.set.Limits.IdleTimeout(),
		MaxHeaderBytes:    callerHeaderBytes,
		ErrorLog:          d.log.StandardDebug("http"),
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "error", err.Error())
		}
	}()
	return server
}

// serveInternal serves what is not for callers, until ctx ends.
func (d *routedDaemon) serveInternal(ctx context.Context, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "%s listener", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, ErrorLog: d.log.Standard(name)}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "name", name, "error", err.Error())
		}
	}()
	return nil
}

// stop is the graceful shutdown: no new connections are wanted, each answer
// closes its connection, and what is in progress is carried to its end.
func (d *routedDaemon) stop(server *http.Server) {
	started := time.Now()
	d.log.Event("stopping", "open_requests", d.handler.Open(), "grace_s", d.set.Bounds.GraceS)
	d.handler.Leave()
	d.loop.Post(scheduler.StopRequested{})
	time.Sleep(min(withdrawTime, d.set.Bounds.Grace()/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(d.set.Bounds.Grace()-killMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	d.log.Event("stopped", "open_requests", d.handler.Open(), "took_ms", time.Since(started).Milliseconds(), "cut", err != nil)
}

// watchSettings takes over changed seeds, on SIGHUP or when the file is found
// changed. Other settings hold until the next start.
func (d *routedDaemon) watchSettings(ctx context.Context) {
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	changed := modified(d.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.hangups:
		case <-poll.C:
			if now := modified(d.path); now.Equal(changed) {
				continue
			}
		}
		changed = modified(d.path)
		d.reload()
	}
}

// modified returns when the file was last written; zero if that is unknown.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload keeps the old settings where the new ones are not valid.
func (d *routedDaemon) reload() {
	set, err := settings.LoadRouted(d.path)
	if err != nil {
		d.log.Warn("settings_refused", "error", err.Error())
		return
	}
	d.log.Event("settings_reloaded", "seeds", len(set.Seeds))
	d.loop.Post(scheduler.SeedsChanged{Seeds: set.Seeds})
}
