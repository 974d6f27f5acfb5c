package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/directory"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/shoenig/test/must"
)

// instance is a State with the effects it has returned.
type instance struct {
	t   *testing.T
	s   *State
	now Instant
	// lastID is the ID of the last request.
	lastID     RequestID
	dispatched map[RequestID]Dispatch
	order      []RequestID
	refused    map[RequestID]Refuse
	reports    []SendReport
	// probes are the probes that were not answered yet.
	probes []ProbeEndpoint
	// pathsCut is set while the instance's connections to endpoints fail. Probes of
	// paths are answered at once.
	pathsCut bool
	// onlyPathsTo limits the connections that work to a service, if it is set.
	onlyPathsTo string
	forwards    []Forward
	ready       bool
	// history is what happened before the instance started, historyGone is set if the
	// platform does not have it any more.
	history     []directory.Change
	historyGone bool
	// runReads are the reads of runs at endpoints.
	runReads []ReadRuns
	// platformDown is set while the platform does not confirm its list.
	platformDown bool
	// reportsSent is the number of reports of reportFrom.
	reportsSent uint64
	revision    int64
}

const (
	service  = "engines"
	selfAddr = "10.0.0.1:1"
)

func testConfig() Config {
	return Config{
		Instance: "i", Zone: "a", Address: selfAddr, Incarnation: 1, RandomSeed: 1, EndpointHeartbeat: 1200 * time.Millisecond,
		Bounds: Bounds{Revocation: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second},
	}
}

func newInstance(t *testing.T, cfg Config) *instance {
	i := &instance{t: t, now: Instant(time.Hour), dispatched: map[RequestID]Dispatch{}, refused: map[RequestID]Refuse{}}
	i.s = New(cfg, i.now)
	return i
}

func (i *instance) step(ev Event) {
	for _, e := range i.s.Step(i.now, ev) {
		switch e := e.(type) {
		case Dispatch:
			i.dispatched[e.ID] = e
			i.order = append(i.order, e.ID)
		case Refuse:
			i.refused[e.ID] = e
		case ProbeEndpoint:
			if x := i.s.incarnations[incarnationOf(e.Endpoint)]; x != nil && x.refusedBefore == i.now && !i.pathsCut {
				// The second of two connections: the endpoint is as it was.
				i.step(EndpointProbed{Endpoint: e.Endpoint.ID, Started: e.Endpoint.Started, Result: ProbeRefused})
				continue
			}
			i.probes = append(i.probes, e)
		case ProbePath:
			result := ProbeAccepted
			if i.pathsCut || i.onlyPathsTo != "" && i.onlyPathsTo != e.Endpoint.Service {
				result = ProbeUnknown
			}
			i.step(PathProbed{Endpoint: e.Endpoint, Result: result})
		case ReadRuns:
			i.runReads = append(i.runReads, e)
		case CheckListing:
			i.step(ListingChecked{After: e.After, ReadAt: i.now, Unchanged: !i.platformDown})
		case ReadHistory:
			if !i.historyGone {
				i.step(HistoryRead{Changes: i.history, Complete: true})
			}
		case Forward:
			i.forwards = append(i.forwards, e)
		case SendReport:
			i.reports = append(i.reports, e)
		case ReadyChanged:
			i.ready = e.Ready
		}
	}
}

// advance advances the clock in ticks while the platform keeps confirming the
// configuration.
func (i *instance) advance(d time.Duration) {
	for end := i.now.Add(d); i.now < end; {
		i.now = i.now.Add(TickInterval)
		i.confirmConfig()
		i.step(Tick{})
	}
}

// advanceOffline advances the clock in ticks without contact to the platform.
func (i *instance) advanceOffline(d time.Duration) {
	for end := i.now.Add(d); i.now < end; {
		i.now = i.now.Add(TickInterval)
		i.step(Tick{})
	}
}

func (i *instance) confirmConfig() { i.readDirectory(directory.Update{}) }

// readDirectory delivers the answer to a read of the platform that began now.
func (i *instance) readDirectory(u directory.Update) {
	u.ReadAt = int64(i.now)
	i.step(DirectoryRead{Update: u})
}

func (i *instance) applyChanges(changes ...directory.Change) {
	i.revision++
	i.readDirectory(directory.Update{Batch: directory.Batch{Changes: changes, Revision: i.revision}})
}

func (i *instance) applySnapshot(changes ...directory.Change) {
	i.revision++
	i.readDirectory(directory.Update{Full: true, Batch: directory.Batch{Changes: changes, Revision: i.revision}})
}

func (i *instance) configure(c routing.Config) { i.applyChanges(directory.Change{Config: &c}) }

func engine(n, slots int) directory.Change {
	id := fmt.Sprintf("e%d", n)
	return directory.Change{EndpointID: id, Endpoint: &directory.Endpoint{
		ID: id, Service: service, Address: fmt.Sprintf("10.1.0.%d:1", n), Zone: "a", Slots: slots, Started: 1,
	}}
}

func engines(n, slots int) []directory.Change {
	var out []directory.Change
	for k := range n {
		out = append(out, engine(k, slots))
	}
	return out
}

func route(name string, priority int) *routing.Route {
	return &routing.Route{
		Name: name, Kind: routing.Stream, Priority: priority, MaxAttempts: 2, Resumable: true,
		Target: 600 * time.Millisecond, Timeout: 5 * time.Second,
		Split: []routing.Share{{Service: service, Weight: 1}},
	}
}

// newServingInstance returns an instance with a configuration and endpoints.
func newServingInstance(t *testing.T, endpoints, slots int) *instance {
	i := newInstance(t, testConfig())
	i.configure(routing.Config{Version: 1})
	i.applyChanges(engines(endpoints, slots)...)
	return i
}

// arrive submits a request and returns its ID.
func (i *instance) arrive(r *routing.Route, change func(*Request)) RequestID {
	i.lastID++
	q := Request{
		ID: i.lastID, Name: fmt.Sprint(i.lastID), Route: r, Service: service, Fingerprint: uint64(i.lastID),
		CallerDeadline: i.now.Add(5 * time.Second), Deadline: i.now.Add(5 * time.Second),
	}
	if i.s.table != nil {
		q.Version = i.s.table.Version()
	}
	if change != nil {
		change(&q)
	}
	i.step(Arrived{Request: q})
	return i.lastID
}

func (i *instance) end(id RequestID, a Attempt) {
	delete(i.dispatched, id)
	i.step(AttemptEnded{ID: id, Attempt: a})
}

// answerProbes delivers the same result to all probes in progress.
func (i *instance) answerProbes(result ProbeResult) {
	probes := i.probes
	i.probes = nil
	for _, p := range probes {
		i.step(EndpointProbed{Endpoint: p.Endpoint.ID, Started: p.Endpoint.Started, Result: result})
	}
}

func (i *instance) running(id RequestID) bool { _, ok := i.dispatched[id]; return ok }

// refusal returns the refusal of a request; it fails the test if the request
// was not refused.
func (i *instance) refusal(id RequestID) Refuse {
	i.t.Helper()
	r, ok := i.refused[id]
	must.True(i.t, ok, must.Sprintf("request %d was not refused", id))
	return r
}

func testConfiguration() routing.Config { return routing.Config{Version: 1} }
