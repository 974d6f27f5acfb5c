package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/evacuation"
	"github.com/balsamstair/balsamstair/internal/origin"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// Config configures a State.
type Config struct {
	// Instance is the process's name and Zone its availability zone.
	Instance string
	Zone     string
	// Address is where the process receives reports from other instances.
	Address     string
	Incarnation uint64
	// Seeds are addresses of instances used to discover others.
	Seeds []string
	// RandomSeed initialises the state's random number generator.
	RandomSeed uint64
	Bounds     Bounds
	// EndpointHeartbeat is the interval at which endpoints renew their entries in
	// the directory.
	EndpointHeartbeat time.Duration
	// AdaptiveCrossing lets package crossing decide which requests leave the zone, with
	// CrossingCost as the least gain of one. Otherwise leaving has a constant cost.
	AdaptiveCrossing bool
	CrossingCost     time.Duration
	// WaitForDeadline lets requests wait for an endpoint while they can be served before
	// their deadline. Otherwise they wait for half of their latency target.
	WaitForDeadline bool
}

// Bounds are the operator's requirements for the deployment.
type Bounds struct {
	// Revocation is the time after which no instance may serve a withdrawn key,
	// whether or not it can reach the platform.
	Revocation time.Duration
	// RetryRatio, RetryExtra and RetryWindow limit the retries for a service
	// across all instances: in each window at most RetryRatio x requests +
	// RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// State is the control state of one instance. It is not safe for concurrent
// use.
type State struct {
	cfg Config
	// zoneCost is crossZoneCost, except in simulations of other policies.
	zoneCost float64
	now      Instant
	started  Instant
	rand     *rand.Rand
	effects  []Effect

	table *routing.Table
	// keysVersion is the newest version known of a configuration that requires keys, here
	// or at another instance; zero if there was none.
	keysVersion int64
	platform    platformStatus
	reading     directoryReading
	endpoints   map[string]*endpoint
	pools       map[string]*pool
	// poolOrder holds the pools in order of first use, so that equal events
	// produce equal effects.
	poolOrder []*pool
	requests  map[RequestID]*request
	// quotas holds the quota buckets by organisation name. tokenCosts is the mean cost of
	// requests whose cost is in tokens.
	quotas     map[string]*bucket
	tokenCosts costMean
	// changedUsage holds the organisations whose usage has to be sent to the keepers of
	// their quotas. keeperChanges counts the occasions on which keepers may change.
	changedUsage    []string
	keeperChanges   int
	lowLevelsSentAt Instant
	members         members
	// incarnations holds the listed endpoints by incarnation.
	incarnations map[crash.Incarnation]*endpoint
	// crashes holds the endpoints that ended under requests. withUnanswered holds
	// the endpoints that have unanswered attempts or are being probed.
	crashes *crash.Table
	// zonesReached is when packets last passed to a zone, by zone.
	zonesReached     map[string]Instant
	withUnanswered   map[crash.Incarnation]*endpoint
	crashesExpiredAt Instant
	// suspectedAt is when the evidence against a cause became enough. trials holds
	// the requests that are at an endpoint although they have a suspect, by suspect.
	suspectedAt map[crash.Cause]Instant
	trials      map[crash.Cause]RequestID
	// origins holds the attempts that may have begun a stream, history the software
	// that services have run.
	origins          *origin.Table
	history          *origin.History
	originsExpiredAt Instant
	// historyRead is set once the platform was asked for its history.
	historyRead bool
	// runsRead is set once it was decided whether endpoints are asked for their runs.
	runsRead bool
	// routeServices holds where each route sends, by name, and routesMoved when that last
	// changed.
	routeServices map[string][]routing.Share
	routesMoved   map[string]Instant
	// listingAll is set while a full listing is applied, whose order means nothing.
	listingAll bool
	// listingCheckedAt is when the platform was last asked to confirm the list.
	listingCheckedAt Instant
	// recordersChanged is set if the instances that keep records may have changed.
	recordersChanged bool
	// evidenceChanged is set if the verdict about a waiting request may have changed
	// during the current step.
	evidenceChanged bool
	// nextAssignment is the earliest time at which endpoints are assigned to
	// instances again.
	nextAssignment Instant
	// reachableInstances are the instances, including this one, among which
	// endpoints were last assigned. endpointsChanged is set if the set of
	// endpoints has changed since.
	reachableInstances []candidate
	endpointsChanged   bool
	// endpointsLapsed is set while the entry of an endpoint may have lapsed.
	endpointsLapsed bool
	// newEndpoints holds the endpoints first listed by the current read.
	newEndpoints []*endpoint
	// evacuations holds the evacuated zones. evacuationChangedNow is set if they have
	// changed during the current read.
	evacuations          evacuation.Zones
	evacuationChangedNow bool
	readPlan             directory.ReadPlan
	// changedLoads holds endpoints whose load may have to be sent to their
	// sharers.
	changedLoads []*endpoint
	// loadsRefreshedAt is when the loads of shared endpoints were last sent again
	// regardless of changes.
	loadsRefreshedAt Instant
	// limits holds the endpoints that have named a rate limit, in the order in
	// which this instance learned of it. limitCursor is the index of the next one
	// to be reported, changedLimits those to be sent in a notice.
	limits        []*endpoint
	limitCursor   int
	changedLimits []*endpoint
	// removedLimits holds the limits of endpoints whose entries were removed.
	removedLimits map[crash.Incarnation]removedLimit
	// gone holds the processes whose entries were removed lately, held the entries
	// that a copy of the platform's data brought back.
	gone map[crash.Incarnation]goneEndpoint
	held map[string]heldEntry
	// tableAt is when the first configuration was adopted. reportedVersion is the
	// newest version at another instance, first reported at reportedVersionAt.
	// startedBehind is set if it was newer than this instance's first one, versionHeard
	// once another instance has reported one.
	tableAt           Instant
	reportedVersion   int64
	reportedVersionAt Instant
	startedBehind     bool
	versionHeard      bool
	// asksSent and grantsSent number the asks and grants of this instance.
	asksSent, grantsSent uint64
	// knownDraining holds the processes that are draining by their answers or the reports
	// of others, with when they were last listed; drainingOrder holds them in the order in
	// which this instance learned of them, drainingCursor is the index of the next one to
	// be reported.
	knownDraining  map[crash.Incarnation]Instant
	drainingOrder  []crash.Incarnation
	drainingCursor int
	// departures are the latest changes at the platform after which endpoints get no new
	// requests, the oldest first.
	departures []recentDeparture
	// furtherSoftware is the software that services have lately begun to run beside
	// another one, the oldest first.
	furtherSoftware []recentSoftware
	// forwarded is the number of requests of other instances in progress here.
	forwarded int
	leaving   bool
	// endsAt is when a stopping instance breaks off what still runs, or zero.
	endsAt Instant
	ready  bool
}

// New returns the state of a process that starts now, without configuration or
// endpoints.
func New(cfg Config, now Instant) *State {
	s := &State{
		cfg:            cfg,
		zoneCost:       crossZoneCost,
		now:            now,
		started:        now,
		rand:           rand.New(rand.NewPCG(cfg.RandomSeed, cfg.Incarnation)),
		platform:       platformStatus{confirmedAt: never},
		endpoints:      map[string]*endpoint{},
		pools:          map[string]*pool{},
		requests:       map[RequestID]*request{},
		quotas:         map[string]*bucket{},
		incarnations:   map[crash.Incarnation]*endpoint{},
		crashes:        crash.NewTable(crashThreshold, maxCrashRecords, crash.TrialRetention),
		suspectedAt:    map[crash.Cause]Instant{},
		trials:         map[crash.Cause]RequestID{},
		origins:        origin.NewTable(maxOriginRecords),
		history:        origin.NewHistory(),
		routeServices:  map[string][]routing.Share{},
		routesMoved:    map[string]Instant{},
		zonesReached:   map[string]Instant{},
		withUnanswered: map[crash.Incarnation]*endpoint{},
		knownDraining:  map[crash.Incarnation]Instant{},
		removedLimits:  map[crash.Incarnation]removedLimit{},
		gone:           map[crash.Incarnation]goneEndpoint{},
		held:           map[string]heldEntry{},
	}
	s.members = newMembers(cfg, now)
	return s
}

// Step applies one event and returns the resulting effects in order. now must
// not decrease between calls.
func (s *State) Step(now Instant, ev Event) []Effect {
	s.now = max(s.now, now)
	s.effects = nil
	switch ev := ev.(type) {
	case Arrived:
		s.arrived(ev.Request)
	case CallerGone:
		s.callerGone(ev.ID)
	case AnswerStarted:
		s.answerStarted(ev.ID, ev.Software)
	case AnswerContinued:
		s.answerContinued(ev.ID)
	case AnswerReceived:
		s.answerReceived(ev)
	case AttemptEnded:
		s.attemptEnded(ev.ID, ev.Attempt)
	case ForwardEnded:
		s.forwardEnded(ev)
	case PathProbed:
		s.pathProbed(ev)
	case DirectoryRead:
		s.directoryRead(ev.Update)
	case PeerReported:
		s.peerReported(ev.Report)
	case SeedsChanged:
		s.members.seedsChanged(ev.Seeds)
	case EndpointProbed:
		s.endpointProbed(ev)
	case RunsRead:
		s.applyRuns(ev)
	case ListingChecked:
		s.listingChecked(ev)
	case HistoryRead:
		s.applyHistory(ev)
	case StopRequested:
		s.stopRequested(ev.EndsAt)
	case Tick:
		s.tick()
	}
	s.applyEvidence()
	s.updatePermits()
	s.sendLoadUpdates()
	s.sendUsage()
	s.updateReady()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(event string, fields ...any) { s.emit(Logged{Event: event, Fields: fields}) }

func (s *State) count(c Counter, label string) { s.emit(Counted{Counter: c, Label: label, Delta: 1}) }

func (s *State) tick() {
	s.readHistory()
	s.readRuns()
	s.expireQueued()
	s.refuseUnfinishable()
	s.expireLapsedEndpoints()
	s.releaseHeldEntries()
	s.expireReportedVersion()
	s.expireDraining()
	s.expireDepartures()
	s.expireFurtherSoftware()
	s.expireCrashes()
	for _, p := range s.poolOrder {
		s.reviewPaths(p)
		s.reviewVerdicts(p)
		s.dispatchWaiting(p)
	}
	s.tickLimits()
	s.sendCrashNotice()
	s.tickOrigins()
	s.reviewKeepers()
	s.sendLowLevels()
	s.sendDueReports()
	s.refreshLoads()
}

// updateReady reports changes of the instance's readiness for new connections.
// An instance that must refuse every keyed request is not ready, so that other
// instances receive them.
func (s *State) updateReady() {
	reason := ""
	switch {
	case s.leaving:
		reason = "leaving"
	case s.table == nil:
		reason = string(ConfigUnknown)
	case s.configStale():
		reason = string(ConfigStale)
	}
	if ready := reason == ""; ready != s.ready {
		s.ready = ready
		s.emit(ReadyChanged{Ready: ready, Reason: reason})
		s.log("ready_changed", "ready", ready, "reason", reason, "config_age_ms", s.configAge().Milliseconds())
	}
}
