package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/balsamstair/balsamstair/internal/boottime"
	"github.com/balsamstair/balsamstair/internal/clientconn"
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
	// endpointConnectTimeout limits connecting to an endpoint; it is some hundred
	// round trips within a region.
	endpointConnectTimeout = 400 * time.Millisecond
	// endpointSilenceTimeout is how long an endpoint may acknowledge nothing
	// before its connections are closed.
	endpointSilenceTimeout = 3 * time.Second
	// endpointIdleTimeout is how long an idle connection is kept open.
	endpointIdleTimeout = 20 * time.Second
	// storeConnectTimeout limits connecting to the platform's store or a relay.
	storeConnectTimeout = 500 * time.Millisecond
	// listingCheckTimeout limits a check of the list, for which a request waits.
	listingCheckTimeout = 300 * time.Millisecond
	// historyTimeout limits the read of the store's history after the start.
	historyTimeout = 2 * time.Second
	// storeHeaderBytes limits the head of an answer of the store or a relay.
	storeHeaderBytes = 64 << 10
	// memoryLimitFraction is the fraction of the memory limit set as the Go
	// runtime's soft limit.
	memoryLimitFraction = 0.7
	// gcPercent lets the heap grow to three times what is in use, which is a few MB:
	// fewer collections. The soft limit still applies.
	gcPercent = 200
	// callerHeaderTimeout and callerHeaderBytes limit a request's header where
	// the configuration has no limit, or a higher one.
	callerHeaderTimeout = 10 * time.Second
	callerHeaderBytes   = 256 << 10
	// settingsPollInterval is the interval of checks of the settings file for a
	// change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

// routedDaemon holds the components of a process that serves routed traffic.
type routedDaemon struct {
	settingsPath string
	settings     settings.Routed
	log          *logline.Logger
	loop         *gateway.Loop
	handler      *gateway.Handler
	gossip       *gossip.Transport
	operator     *operator.Server
	clients      *clientconn.Limiter
	counters     *operator.Counters
	store        *platform.Store
	watcher      *directory.Watcher
	replica      *directory.Replica
	readPlan     atomic.Pointer[directory.ReadPlan]
	// sighups receives SIGHUP: the settings file may have changed.
	sighups <-chan os.Signal
}

func schedulerNow() scheduler.Instant { return scheduler.Instant(boottime.Now()) }

func newRoutedDaemon(settingsPath string, cfg settings.Routed, log *logline.Logger, sighups <-chan os.Signal) *routedDaemon {
	if cfg.Limits.Processors > 0 {
		runtime.GOMAXPROCS(int(cfg.Limits.Processors))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryMB<<20)))
	d := &routedDaemon{settingsPath: settingsPath, settings: cfg, log: log, sighups: sighups, replica: directory.NewReplica()}
	d.readPlan.Store(new(directory.ReadPlan))
	incarnation := ticket.NewIncarnation()
	d.loop = gateway.NewLoop(scheduler.New(scheduler.Config{
		Instance:    cfg.Instance,
		Zone:        cfg.AvailabilityZone,
		Address:     cfg.GossipAddress,
		Incarnation: incarnation,
		Seeds:       cfg.Seeds,
		RandomSeed:  incarnation,

		EndpointHeartbeat: cfg.EndpointHeartbeat(),
		AdaptiveCrossing:  cfg.Zones.Crossing == settings.CrossingAdaptive,
		CrossingCost:      cfg.Zones.CrossingCost(),
		WaitForDeadline:   cfg.Scheduling.Queue == settings.QueueDeadline,
		Bounds: scheduler.Bounds{
			Revocation:  cfg.Bounds.Revocation(),
			RetryRatio:  cfg.Bounds.RetryRatio,
			RetryExtra:  cfg.Bounds.RetryExtra,
			RetryWindow: cfg.Bounds.RetryWindow(),
		},
	}, schedulerNow()), schedulerNow)
	d.counters = operator.NewCounters(routedCounterDefinitions()...)
	d.counters.PublishProcess()
	budget := newClientBudget(cfg.Limits)
	d.clients = clientconn.New(clientconn.Config{
		Budget:         budget,
		MaxConnections: maxClientConnections(cfg.Limits),
		WriteStall:     cfg.Limits.WriteStall(),
		Counters:       d.counters,
		Log:            log.Named("clients"),
	})
	d.handler = gateway.NewHandler(gateway.Config{
		Client: endpoint.New(endpoint.Config{
			ConnectTimeout:       endpointConnectTimeout,
			IdleTimeout:          endpointIdleTimeout,
			RequestIDHeader:      platform.RequestIDHeader,
			EndToEnd:             platform.Dialect{}.EndToEnd,
			AcceptCloseDelimited: true,
			AckTimeout:           endpointSilenceTimeout,
		}),
		Instances: endpoint.New(endpoint.Config{
			ConnectTimeout:  endpointConnectTimeout,
			IdleTimeout:     endpointIdleTimeout,
			RequestIDHeader: platform.RequestIDHeader,
			EndToEnd:        platform.Dialect{}.EndToEnd,
			AckTimeout:      endpointSilenceTimeout,
			Peers:           true,
		}),
		Incarnation: incarnation,
		Dialect:     platform.Dialect{},
		Now:         schedulerNow,
		Post:        d.loop.Post,
		Log:         log.Named("gateway"),
		Counters:    d.counters,
		Budget:      budget,
		BodyStall:   cfg.Limits.BodyStall(),
	})
	d.gossip = gossip.New(gossip.Config{
		Address:  cfg.GossipAddress,
		Received: func(r scheduler.Report) { d.loop.Post(scheduler.PeerReported{Report: r}) },
		Log:      log.Named("gossip"),
	})
	d.operator = operator.New(operator.Config{
		Address: cfg.OperatorAddress, Counters: d.counters, Log: log.Named("operator"), Connections: d.clients,
		Profiles: cfg.Diagnostics.Profiles,
	})
	d.store = platform.NewStore(cfg.PlatformAddress, storeTransport())
	d.watcher = directory.NewWatcher(directory.WatcherConfig{
		Source:      d.store,
		Plan:        func() directory.ReadPlan { return *d.readPlan.Load() },
		RelayClient: &http.Client{Transport: storeTransport()},
		Now:         boottime.Now,
		Updated: func(u directory.Update) {
			d.replica.Apply(u)
			d.loop.Post(scheduler.DirectoryRead{Update: u})
		},
	})
	d.loop.AddEffectHandlers(d.handler.HandleEffect, d.handleEffect)
	return d
}

// storeTransport returns a transport for reads of the store and of relays. It
// stops waiting for a host that does not accept connections.
func storeTransport() *http.Transport {
	dialer := net.Dialer{Timeout: storeConnectTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        endpointIdleTimeout,
		MaxResponseHeaderBytes: storeHeaderBytes,
	}
}

// routedCounterDefinitions declares the counters with a fixed label set.
func routedCounterDefinitions() []operator.CounterDefinition {
	var refusalReasons []string
	for _, r := range scheduler.Reasons() {
		refusalReasons = append(refusalReasons, string(r))
	}
	return []operator.CounterDefinition{{Name: string(scheduler.CounterRefusals), Labels: refusalReasons}}
}

// handleEffect applies the scheduler's effects on the process itself. It reports
// whether it handles the type of e.
func (d *routedDaemon) handleEffect(e scheduler.Effect) bool {
	switch e := e.(type) {
	case scheduler.SendReport:
		d.gossip.Send(e.To, e.Report)
	case scheduler.ReadyChanged:
		d.operator.SetReady(e.Ready)
	case scheduler.CheckListing:
		go d.checkListing(e)
	case scheduler.ReadHistory:
		go d.readHistory()
	case scheduler.ReadPlanChanged:
		d.readPlan.Store(&e.Plan)
	case scheduler.Logged:
		d.log.Info(e.Event, e.Fields...)
	case scheduler.Counted:
		d.counters.Add(string(e.Counter), e.Label, e.Delta)
	default:
		return false
	}
	return true
}

// checkListing asks the platform whether anything has changed.
func (d *routedDaemon) checkListing(e scheduler.CheckListing) {
	ctx, cancel := context.WithTimeout(context.Background(), listingCheckTimeout)
	defer cancel()
	result := scheduler.ListingChecked{After: e.After, ReadAt: schedulerNow()}
	var err error
	if result.Unchanged, err = d.store.Unchanged(ctx, e.After); err != nil {
		d.log.Info("listing_unchecked", "error", err.Error())
	}
	d.loop.Post(result)
}

// readHistory reads the platform's history. Without an answer nothing is known of it.
func (d *routedDaemon) readHistory() {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	batch, err := d.store.History(ctx)
	if err != nil && !errors.Is(err, directory.ErrCompacted) {
		d.log.Info("platform_history_unread", "error", err.Error())
	}
	d.loop.Post(scheduler.HistoryRead{Changes: batch.Changes, Complete: err == nil})
}

// run serves until ctx is cancelled. It then returns when the requests in
// progress have ended, at the latest shutdownMargin before the grace time ends.
func (d *routedDaemon) run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", d.settings.CallerAddress)
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
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisorDone := supervisor.ServeBackground(serveCtx)
	connections := gateway.NewConnections(d.handler)
	supervisor.Add(connections)
	server := d.serveCallers(callerListener, connections)
	if d.settings.MetricsAddress != "" {
		if err := d.serveInternal(serveCtx, "metrics", d.settings.MetricsAddress, d.operator); err != nil {
			return err
		}
	}
	relay := directory.RelayHandler(d.replica, boottime.Now)
	internal := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gateway.IsForwarded(r) {
			d.handler.ServeForwarded(w, r)
			return
		}
		relay.ServeHTTP(w, r)
	})
	if err := d.serveInternal(serveCtx, "instances", d.settings.GossipAddress, internal); err != nil {
		return err
	}
	go d.watchSettings(serveCtx)
	d.log.Info("started", "instance", d.settings.Instance, "availability_zone", d.settings.AvailabilityZone,
		"caller_address", d.settings.CallerAddress, "seeds", len(d.settings.Seeds), "memory_mb", d.settings.Limits.MemoryMB)
	select {
	case <-ctx.Done():
	case err := <-supervisorDone:
		return errors.Wrap(err, "supervisor ended")
	}
	killedAt := time.Now().Add(d.settings.Bounds.Grace())
	d.shutdown(server, connections, killedAt)
	cancel()
	select {
	case <-supervisorDone:
	case <-time.After(min(serviceStopTime, time.Until(killedAt)-exitMargin)):
		d.log.Warn("services_still_running")
	}
	return nil
}

func (d *routedDaemon) serveCallers(l net.Listener, connections *gateway.Connections) *http.Server {
	server := &http.Server{
		Handler:     d.handler,
		ConnContext: d.clients.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			connections.Track(conn, state)
			d.clients.ConnState(conn, state)
		},
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       d.settings.Limits.IdleTimeout(),
		MaxHeaderBytes:    callerHeaderBytes,
		ErrorLog:          d.log.StandardDebug("http"),
		// A success without an endpoint would be taken for the answer to a request.
		DisableGeneralOptionsHandler: true,
	}
	go func() {
		if err := server.Serve(d.clients.Listener(l, d.headBytes)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "error", err.Error())
		}
	}()
	return server
}

// serveInternal serves handler, which is not for callers, at address until ctx
// is cancelled.
func (d *routedDaemon) serveInternal(ctx context.Context, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "%s listener", name)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerHeaderBytes,
		ConnContext: d.clients.ConnContext, ConnState: d.clients.ConnState, ErrorLog: d.log.Standard(name),
	}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		headBytes := func() int { return d.headBytes() + instanceHeaderBytes }
		if err := server.Serve(d.clients.Listener(l, headBytes)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener", "name", name, "error", err.Error())
		}
	}()
	return nil
}

// watchSettings reloads the settings on SIGHUP or when the file's modification
// time changes. Only the seeds are applied; other settings need a restart.
func (d *routedDaemon) watchSettings(ctx context.Context) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastModified := modificationTime(d.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.sighups:
		case <-poll.C:
			if modified := modificationTime(d.settingsPath); modified.Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(d.settingsPath)
		d.reload()
	}
}

// modificationTime returns when the file was last written, or the zero time if
// it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file. If it is not valid, the old settings stay.
func (d *routedDaemon) reload() {
	cfg, err := settings.LoadRouted(d.settingsPath)
	if err != nil {
		d.log.Warn("settings_refused", "error", err.Error())
		return
	}
	d.log.Info("settings_reloaded", "seeds", len(cfg.Seeds))
	d.loop.Post(scheduler.SeedsChanged{Seeds: cfg.Seeds})
}
