package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
)

// Config describes a State.
type Config struct {
	// Instance is the process's name, Zone its availability zone.
	Instance string
	Zone     string
	// Address is where the process takes reports of other instances.
	Address     string
	Incarnation uint64
	// Seeds are addresses of instances that may be able to name others.
	Seeds []string
	// Seed starts the state's random numbers.
	Seed   uint64
	Bounds Bounds
}

// Bounds are what the operator requires of the deployment.
type Bounds struct {
	// Revocation is the time after which a withdrawn key must not be served
	// by any instance, whether it hears the platform or not.
	Revocation time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the repeats for a service
	// over all instances: in each window at most ratio x requests + extra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// State is the control state of one instance. It is not safe for concurrent
// use.
type State struct {
	cfg     Config
	now     Instant
	started Instant
	rand    *rand.Rand
	effects []Effect

	table     *routing.Table
	platform  platformStatus
	endpoints map[string]*endpoint
	pools     map[string]*pool
	// poolOrder holds the pools in the order of their first use, so that equal
	// events have equal effects.
	poolOrder      []*pool
	requests       map[RequestID]*request
	quotas         map[string]*bucket
	members        members
	crashes        map[uint64]*crashCount
	nextAssignment Instant
	// reachableInstances are the instances among which endpoints were divided last, with
	// this one; endpointsChanged says that there are other endpoints since.
	reachableInstances []candidate
	endpointsChanged   bool
	// newEndpoints holds the endpoints that were first listed by the read at hand.
	newEndpoints []*endpoint
	readPlan     directory.Plan
	// changedLoads holds endpoints of which others may have to be told.
	changedLoads     []*endpoint
	loadsRefreshedAt Instant
	leaving          bool
	ready            bool
}

// New returns the state of a process that starts now and knows nothing.
func New(cfg Config, now Instant) *State {
	s := &State{
		cfg:       cfg,
		now:       now,
		started:   now,
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		platform:  platformStatus{confirmedAt: never},
		endpoints: map[string]*endpoint{},
		pools:     map[string]*pool{},
		requests:  map[RequestID]*request{},
		quotas:    map[string]*bucket{},
		crashes:   map[uint64]*crashCount{},
	}
	s.members = newMembers(cfg, now)
	return s
}

// Step takes one event at a time that never decreases and returns what is to
// be done, in order.
func (s *State) Step(now Instant, ev Event) []Effect {
	s.now = max(s.now, now)
	s.effects = nil
	switch ev := ev.(type) {
	case Arrived:
		s.arrived(ev.Request)
	case CallerGone:
		s.callerGone(ev.ID)
	case AnswerBegun:
		s.answerBegun(ev.ID)
	case AttemptEnded:
		s.attemptEnded(ev.ID, ev.Attempt)
	case DirectoryRead:
		s.directoryRead(ev.Update)
	case PeerReported:
		s.peerReported(ev.Report)
	case SeedsChanged:
		s.members.seedsChanged(ev.Seeds)
	case StopRequested:
		s.leaving = true
		s.sendReports(s.members.addresses())
	case Tick:
		s.tick()
	}
	s.sendLoadUpdates()
	s.updateReady()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(event string, fields ...any) { s.emit(Logged{Event: event, Fields: fields}) }

func (s *State) count(c Counter, label string) { s.emit(Counted{Counter: c, Label: label, Delta: 1}) }

func (s *State) tick() {
	s.expireQueued()
	s.expireLapsed()
	s.expireCrashes()
	for _, p := range s.poolOrder {
		s.dispatchWaiting(p)
	}
	s.sendDueReports()
	s.refreshLoads()
}

// updateReady tells when new connections are or are not wanted. An instance
// that must refuse every keyed request leaves them to others.
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
