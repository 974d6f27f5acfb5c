package reducer

import (
	"math"
	"time"

	"github.com/balsamstair/balsamstair/internal/crash"
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// Timing constants. docs/DESIGN.md gives the reason for each.
const (
	// TickInterval is the longest time between two events at the reducer.
	TickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats to each peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the time without contact after which a peer receives no
	// new work.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the time without contact after which the endpoints that a
	// peer owns move to others.
	DeadAfter = 5 * time.Second
	// DeadAfterClosed replaces DeadAfter where the session is closed.
	DeadAfterClosed = 2 * time.Second
	// DeadPeerRetention is how long the state of a dead peer is kept.
	DeadPeerRetention = 2 * time.Minute
	// GrantLease is how long a grant may be used, counted from the beginning
	// of the round in which the holder requested the slot. It is shorter than
	// DeadAfter: when an owner grants the slots of a dead holder to others, all
	// grants of that holder have expired.
	GrantLease = 4 * time.Second
	// RenewInterval is the time between rounds of slot requests.
	RenewInterval = 1500 * time.Millisecond
	// HeldInterval is the time between full reports of held slots.
	HeldInterval = 5 * time.Second
	// TicketTTL is how long a ticket is valid.
	TicketTTL = 10 * time.Minute
	// RecordTTL is how long the outcome of a request is kept. It exceeds
	// TicketTTL, so that no ticket outlives the record of its use.
	RecordTTL = TicketTTL + time.Minute
	// DefaultKeptAnswerTTL is how long a complete answer is kept for re-sends,
	// unless the settings set another time.
	DefaultKeptAnswerTTL = time.Minute
	// CancelGrace is how long a run continues after its last caller
	// disconnected.
	CancelGrace = 2 * time.Second
	// CloseLease is how long a closed tier stays closed without renewal.
	CloseLease = 3 * time.Second
	// CloseRenewInterval is the time between renewals of a closure.
	CloseRenewInterval = time.Second
	// ReportTimeout is how long an owner grants slots based on one report of an
	// endpoint, and how long a new owner waits for the first report. A process
	// that was paused for longer needs a new report before it grants.
	ReportTimeout = 3 * time.Second
	// JoinTimeout bounds how long a new instance waits for listed peers that
	// it cannot reach.
	JoinTimeout = 3 * time.Second
	// AllowanceTimeout bounds how long a request waits for spend allowance.
	AllowanceTimeout = 2 * time.Second
)

// Bounds on the size of the state.
const (
	// MaxQueueLength bounds the queue of one pool at one owner.
	MaxQueueLength = 5000
	// MaxRecords bounds the records of ended requests.
	MaxRecords = 200_000
	// MaxSuspects bounds the fingerprints kept as crash suspects.
	MaxSuspects = 1024
	// MaxPrefixes bounds the prefixes kept for one endpoint.
	MaxPrefixes = 4096
)

// Config identifies a process and configures its reducer.
type Config struct {
	Incarnation      Incarnation
	Instance         string
	AvailabilityZone string
	// KeptAnswerTTL is how long a complete answer is kept for re-sends; zero means
	// DefaultKeptAnswerTTL.
	KeptAnswerTTL time.Duration
	// Policy chooses among endpoints; production uses the zero value.
	Policy Policy
	// Guards disables single guards in tests. The zero value has all guards
	// enabled.
	Guards Guards
}

// Policy selects how requests are placed on endpoints.
type Policy int

// The policies; all but PolicyCost are baselines for measurement.
const (
	PolicyCost Policy = iota
	PolicyRandom
	PolicyRoundRobin
	PolicyLeastOutstanding
)

// Guards lists the guards that are disabled. Tests disable a guard to show the
// failure that it prevents.
type Guards struct {
	NoLeaseCheck    bool
	NoRecord        bool
	NoBurn          bool
	NoRecovery      bool
	NoShedOrder     bool
	NoUpwardsOnly   bool
	NoCrashIsolate  bool
	NoGracefulStop  bool
	NoLeavingCheck  bool
	NoUnknownOnFail bool
	FullBuckets     bool
}

// State is all control state of one instance. It is not safe for concurrent
// use: only the control goroutine calls its methods.
type State struct {
	cfg     Config
	now     Instant
	effects []Effect
	// loopback holds the frames that this instance sends to itself. Step
	// handles them before it returns.
	loopback []*peerpb.Frame

	startedAt Instant
	ready     bool
	// everReady reports whether the instance has ever been ready.
	everReady bool
	stopping  bool
	stopped   bool

	file            *declared.File
	manifest        []byte
	parts           [][]byte
	tierRank        map[string]int
	fileRequestedAt Instant

	listedInstances []Instance
	instancesKnown  bool
	peers           map[Incarnation]*peer
	peerOrder       []*peer
	heartbeatSeq    uint64
	lastHeartbeatAt Instant
	// heartbeatsSent holds the sequence numbers of the last heartbeats sent and
	// their send times.
	heartbeatsSent [heartbeatHistory]heartbeatTime

	endpoints        map[string]*endpoint
	endpointOrder    []*endpoint
	watchedEndpoints map[string]string
	pools            map[string]*pool
	poolOrder        []*pool

	requests     map[RequestID]*request
	waiters      map[Waiter]RequestID
	byCallerKey  map[uint64]RequestID
	lastID       RequestID
	records      map[RequestID]*record
	recordsByAge []RequestID
	keptByAge    []RequestID

	round       uint32
	roundTimes  [roundHistory]Instant
	lastRenewAt Instant
	lastHeldAt  Instant

	buckets     map[string]*bucket
	suspects    *crash.Table
	meanOutputs map[outputKey]float64

	decisions *decisionLog
}

// New returns the initial state of a process.
func New(cfg Config, now Instant) *State {
	if cfg.KeptAnswerTTL == 0 {
		cfg.KeptAnswerTTL = DefaultKeptAnswerTTL
	}
	s := &State{
		cfg:             cfg,
		now:             now,
		startedAt:       now,
		peers:           map[Incarnation]*peer{},
		endpoints:       map[string]*endpoint{},
		pools:           map[string]*pool{},
		requests:        map[RequestID]*request{},
		waiters:         map[Waiter]RequestID{},
		byCallerKey:     map[uint64]RequestID{},
		records:         map[RequestID]*record{},
		buckets:         map[string]*bucket{},
		suspects:        crash.NewTable(refuseAfterCrashes, MaxSuspects, crash.Retention),
		meanOutputs:     map[outputKey]float64{},
		decisions:       newDecisionLog(),
		fileRequestedAt: math.MinInt64 / 2,
	}
	s.beginRound()
	return s
}

// Step handles one event at the given time and returns the resulting effects.
// A time before that of the previous call counts as no time passed. The returned
// slice is valid until the next call.
func (s *State) Step(now Instant, ev Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = s.effects[:0]
	s.handle(ev)
	for len(s.loopback) > 0 {
		f := s.loopback[0]
		s.loopback = s.loopback[1:]
		s.handleFrame(s.cfg.Incarnation, f)
	}
	s.loopback = nil
	return s.effects
}

func (s *State) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		s.tick()
	case FileOffered:
		s.fileOffered(ev)
	case InstancesListed:
		s.instancesListed(ev.Instances)
	case PeerUp:
		s.peerUp(ev)
	case PeerDown:
		s.peerDown(ev.Peer)
	case PeerMessage:
		s.recordContact(ev.From)
		s.handleFrame(ev.From, ev.Frame)
	case RequestArrived:
		s.requestArrived(ev)
	case TicketRequested:
		s.offerTicket(ev.Waiter)
	case CallerGone:
		s.callerGone(ev.Waiter)
	case ConnectDone:
		s.connectDone(ev)
	case FirstByte:
		s.firstByte(ev.Request)
	case DispatchDone:
		s.dispatchDone(ev)
	case EndpointReported:
		s.endpointReported(ev)
	case CacheChanged:
		s.cacheChanged(ev)
	case StopRequested:
		s.stopRequested()
	}
}

// handleFrame handles a message from a peer or from this instance itself.
func (s *State) handleFrame(from Incarnation, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Heartbeat:
		s.heartbeatReceived(from, b.Heartbeat)
	case *peerpb.Frame_Ask:
		s.askReceived(from, b.Ask)
	case *peerpb.Frame_Renew:
		s.renewReceived(from, b.Renew)
	case *peerpb.Frame_Withdraw:
		s.withdrawReceived(from, b.Withdraw)
	case *peerpb.Frame_Grant:
		s.grantReceived(from, b.Grant)
	case *peerpb.Frame_Decline:
		s.declineReceived(from, b.Decline)
	case *peerpb.Frame_Release:
		s.releaseReceived(from, b.Release)
	case *peerpb.Frame_HeldRequest:
		s.heldRequested(from, b.HeldRequest)
	case *peerpb.Frame_Held:
		s.heldReceived(from, b.Held)
	case *peerpb.Frame_TierClose:
		s.tierCloseReceived(from, b.TierClose)
	case *peerpb.Frame_TierCloseConfirm:
		s.tierCloseConfirmed(from, b.TierCloseConfirm)
	case *peerpb.Frame_Borrow:
		s.borrowReceived(from, b.Borrow)
	case *peerpb.Frame_Lend:
		s.lendReceived(b.Lend)
	case *peerpb.Frame_FileRequest:
		s.fileRequested(from, b.FileRequest)
	case *peerpb.Frame_CrashReport:
		s.crashReported(b.CrashReport)
	case *peerpb.Frame_Leaving:
		s.peerLeaving(from)
	}
}

// tick runs everything that depends on time.
func (s *State) tick() {
	s.checkPeers()
	s.sendHeartbeats()
	s.tickRounds()
	s.tickRequests()
	s.tickQueues()
	s.tickEndpoints()
	s.tickClosures()
	s.tickRecords()
	s.tickSuspects()
	s.checkReady()
	s.checkStopped()
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// send sends a frame to a peer. A frame to this instance is handled within the
// same Step.
func (s *State) send(to Incarnation, f *peerpb.Frame) {
	f.From = uint64(s.cfg.Incarnation)
	if to == s.cfg.Incarnation {
		s.loopback = append(s.loopback, f)
		return
	}
	s.emit(Send{To: to, Frame: f})
}

func (s *State) count(c Counter, label string, n int64) {
	s.emit(Counted{Counter: c, Label: label, Delta: n})
}

func (s *State) log(event string, fields ...any) {
	s.emit(Logged{Event: event, Fields: fields})
}

// refuse sends the final answer to one waiter. The retry delay is at least that
// of the reason.
func (s *State) refuse(w Waiter, id RequestID, r refusal.Reason, retryAfter time.Duration) {
	k, _ := refusal.Lookup(r)
	if retryAfter < k.RetryAfter {
		retryAfter = k.RetryAfter
	}
	if retryAfter > 0 {
		retryAfter = s.addJitter(retryAfter, uint64(w))
	}
	s.count(CounterRefusals, string(r), 1)
	s.emit(Refuse{Waiter: w, Request: id, Refused: Refused{Reason: r, RetryAfter: retryAfter}})
}

// addJitter lengthens d by up to half, differently for each caller, so that
// refused callers do not all retry at the same time.
func (s *State) addJitter(d time.Duration, seed uint64) time.Duration {
	h := mix(seed ^ uint64(s.cfg.Incarnation))
	return d + time.Duration(h%1024)*d/2048
}

// mix is the finaliser of SplitMix64, a bijection that mixes its input over all
// 64 bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rank returns the rank of a tier in the declared file in force, or zero.
func (s *State) rank(tier string) int { return s.tierRank[tier] }

// lowestRank returns the rank of the lowest tier, which is shed first. It is the
// largest number.
func (s *State) lowestRank() int { return len(s.tierRank) }
