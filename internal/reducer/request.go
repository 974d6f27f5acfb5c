package reducer

import (
	"slices"
	"sort"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// roundMemory is how many rounds of asking are remembered; it covers more than
// a GrantLease.
const roundMemory = 16

// phase is how far a request has come at its holder.
type phase int

const (
	// funding: the organisation's allowance is not there yet.
	funding phase = iota
	// asking: a slot is asked for, or will be once an owner is known.
	asking
	// connecting: a slot is granted, nothing is written.
	connecting
	// dispatched: the one dispatch was given.
	dispatched
)

// request is a caller's request that this instance holds.
type request struct {
	id       RequestID
	req      Request
	rank     int
	waiters  []Waiter
	phase    phase
	arrived  Instant
	deadline Instant
	reserved int64

	owner Incarnation
	// declinedBy is an owner that just said to ask elsewhere.
	declinedBy Incarnation
	endpoint   string
	// leaseEnds bounds the use of the grant.
	leaseEnds Instant
	// cancelAt is set while a run goes on for nobody.
	cancelAt   Instant
	cancelling bool
	answering  bool
	retries    int
	ticketed   bool
}

// waiting reports whether the request may still be refused as not run and is
// not about to be dispatched on a granted slot.
func (r *request) waiting() bool { return r.phase == funding || r.phase == asking }

func (r *request) holdsSlot() bool { return r.phase == connecting || r.phase == dispatched }

// requestArrived takes a caller's request up to its first step.
func (s *State) requestArrived(ev RequestArrived) {
	if ev.Request.Ticket.Request != 0 && s.resend(ev) {
		return
	}
	if r := s.sameKey(&ev.Request); r != nil {
		s.join(r, ev.Waiter)
		return
	}
	if reason, ok := s.refuseAtDoor(&ev.Request); !ok {
		s.burn(ev.Request)
		s.refuse(ev.Waiter, ev.Request.Ticket.Request, reason, 0)
		return
	}
	if !ev.Request.Idempotent && ev.Request.Ticket.Request == 0 {
		s.offerTicket(ev.Waiter)
		return
	}
	r := s.newRequest(ev)
	s.emit(Admitted{Waiter: ev.Waiter, Request: r.id, Ticket: s.ticketOf(r)})
	s.fund(r)
}

// refuseAtDoor checks what needs no queue. Nothing was dispatched.
func (s *State) refuseAtDoor(q *Request) (refusal.Reason, bool) {
	switch {
	case s.stopping:
		return refusal.Leaving, false
	case !s.ready:
		// Closures of peers are not known yet.
		return refusal.NotReady, false
	case len(s.records) >= MaxRecords:
		return refusal.TicketTableFull, false
	case s.rank(q.Tier) == 0:
		return refusal.TierNotAllowed, false
	case s.crashRefused(q.Fingerprint):
		return refusal.CrashSuspect, false
	}
	p := s.pools[q.Pool]
	if p == nil || p.declared == 0 {
		return refusal.NoEndpoint, false
	}
	if s.closed(p, s.rank(q.Tier)) {
		return refusal.TierClosed, false
	}
	return "", true
}

// burn keeps "not run" true for a ticket that was refused at the door.
func (s *State) burn(q Request) {
	if q.Ticket.Request != 0 {
		s.remember(&request{id: q.Ticket.Request, req: q}, notRun, false)
	}
}

func (s *State) newRequest(ev RequestArrived) *request {
	id := ev.Request.Ticket.Request
	ticketed := id != 0
	if !ticketed {
		s.nextID++
		id = s.nextID
	}
	r := &request{
		id: id, req: ev.Request, rank: s.rank(ev.Request.Tier),
		waiters: []Waiter{ev.Waiter}, arrived: s.now,
		deadline: s.now.Add(ev.Request.Deadline), ticketed: ticketed,
	}
	s.requests[id] = r
	s.waiters[ev.Waiter] = id
	if k := ev.Request.CallerKey; k != 0 {
		s.byKey[k] = id
	}
	return r
}

func (s *State) ticketOf(r *request) Ticket {
	if r.ticketed {
		return r.req.Ticket
	}
	return s.ticketFor(r.id)
}

// sameKey finds a running request that the same caller sent with the same key
// and content. This saves work; it promises nothing.
func (s *State) sameKey(q *Request) *request {
	if q.CallerKey == 0 || !q.Idempotent {
		return nil
	}
	r := s.requests[s.byKey[q.CallerKey]]
	if r == nil || r.req.Fingerprint != q.Fingerprint {
		return nil
	}
	return r
}

// join lets another waiter have the answer of a live request.
func (s *State) join(r *request, w Waiter) {
	r.waiters = append(r.waiters, w)
	r.cancelAt = 0
	s.waiters[w] = r.id
	s.count(CounterJoins, "running", 1)
	s.emit(Join{Waiter: w, Request: r.id})
}

// fund reserves the highest price and goes on to ask for a slot.
func (s *State) fund(r *request) {
	ok, wait := s.reserve(r)
	if ok {
		r.phase = asking
		s.ask(r)
		return
	}
	r.phase = funding
	if wait > FundingWait || s.now.Sub(r.arrived) > FundingWait {
		if s.now.Sub(r.arrived) >= borrowInterval || !s.hasUsablePeer() {
			s.refuseRequest(r, refusal.SpendLimit, min(wait, time.Hour))
			return
		}
	}
	s.borrow(r)
}

func (s *State) hasUsablePeer() bool {
	for _, p := range s.peerOrder {
		if p.usable() {
			return true
		}
	}
	return false
}

// fundWaiting goes on with an organisation's requests after a loan.
func (s *State) fundWaiting(organisation string) {
	for _, id := range s.sortedRequests() {
		if r := s.requests[id]; r != nil && r.phase == funding && r.req.Organisation == organisation {
			s.fund(r)
		}
	}
}

func (s *State) sortedRequests() []RequestID {
	ids := make([]RequestID, 0, len(s.requests))
	for id := range s.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ask sends an Ask to the best owner, if one can be reached.
func (s *State) ask(r *request) {
	owner := s.chooseOwner(r)
	r.owner = owner
	if owner == 0 {
		return
	}
	if p := s.peers[owner]; p != nil {
		p.sent[r.req.Pool]++
	}
	// After a pause the round is as old as the pause: a grant of it would be
	// useless when it comes, and asking again would never end.
	if s.now.Sub(s.roundTimes[s.round%roundMemory]) >= RenewInterval {
		s.beginRound()
	}
	left := max(0, r.deadline.Sub(s.now))
	s.send(owner, &peerpb.Frame{Body: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
		Request: uint64(r.id), Round: s.round, Pool: r.req.Pool,
		Organisation: r.req.Organisation, Rank: uint32(r.rank),
		PromptTokens: uint32(r.req.PromptTokens), OutputTokens: uint32(s.likelyOutput(&r.req)),
		Prefix: r.req.Prefix, Fingerprint: r.req.Fingerprint,
		DeadlineMs: uint32(left / time.Millisecond),
	}}})
}

// chooseOwner weighs what owners last said of themselves, corrected by what
// was asked of them since, and prefers the owner of the endpoint where the
// prefix is kept unless the wait there is longer by more than prefixPatience.
func (s *State) chooseOwner(r *request) Incarnation {
	p := s.pools[r.req.Pool]
	if p == nil {
		return 0
	}
	var best Incarnation
	bestWait := 0.0
	home := s.prefixHome(p, r.req.Prefix)
	for _, o := range p.owners {
		wait, ok := s.expectedWait(p, o, r)
		if !ok || o.id == r.declinedBy {
			continue
		}
		if o.id == home {
			wait -= prefixPatience.Seconds()
		}
		if best == 0 || wait < bestWait {
			best, bestWait = o.id, wait
		}
	}
	return best
}

// prefixPatience is the extra wait that keeping work with its prefix is worth.
const prefixPatience = 300 * time.Millisecond

// prefixHome is the owner of the endpoint that a prefix hashes to.
func (s *State) prefixHome(p *pool, prefix uint64) Incarnation {
	if prefix == 0 {
		return 0
	}
	var home *endpoint
	var weight uint64
	for _, e := range s.endpointOrder {
		if e.leaving() {
			continue
		}
		for _, m := range e.models {
			if m != p.name {
				continue
			}
			if w := mix(prefix ^ e.hash); home == nil || w > weight {
				home, weight = e, w
			}
		}
	}
	if home == nil {
		return 0
	}
	return home.owner
}

// expectedWait is in seconds; it reports false for an owner that gets no new
// work.
func (s *State) expectedWait(p *pool, o poolOwner, r *request) (float64, bool) {
	jitter := float64(mix(uint64(o.id)^uint64(r.id))%1000) * 1e-6
	l, sent := (*peerpb.PoolLoad)(nil), 0
	if o.id == s.cfg.Incarnation {
		l = s.poolLoad(p)
	} else {
		q := s.peers[o.id]
		if q == nil || !q.usable() {
			return 0, false
		}
		l, sent = q.loads[p.name], q.sent[p.name]
		jitter += 0.002
	}
	if l == nil {
		return 1 + jitter, true
	}
	if int(l.GetFreeSlots()) > sent {
		return jitter, true
	}
	// The wait is that of the highest tier; lower ones wait for all in between.
	ahead := sent - int(l.GetFreeSlots()) + 1
	for rank := 2; rank <= r.rank && rank <= len(l.GetWaiting()); rank++ {
		ahead += int(l.GetWaiting()[rank-1])
	}
	return float64(l.GetWaitMs())/1000 + float64(ahead)*p.usualSeconds/float64(max(1, o.slots)) + jitter, true
}

// beginRound starts a round of asking; leases of its grants run from now.
func (s *State) beginRound() {
	s.round++
	s.roundTimes[s.round%roundMemory] = s.now
}

func (s *State) roundTime(round uint32) (Instant, bool) {
	if round > s.round || s.round-round >= roundMemory {
		return 0, false
	}
	return s.roundTimes[round%roundMemory], true
}

// tickRounds renews every place in a queue, one message an owner.
func (s *State) tickRounds() {
	s.tickHeld()
	if s.now.Sub(s.renewedAt) < RenewInterval {
		return
	}
	s.renewedAt = s.now
	s.beginRound()
	byOwner := map[Incarnation][]uint64{}
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != asking {
			continue
		}
		if r.owner == 0 {
			s.ask(r)
			continue
		}
		byOwner[r.owner] = append(byOwner[r.owner], uint64(id))
	}
	for _, o := range sortedIncarnations(byOwner) {
		s.send(o, &peerpb.Frame{Body: &peerpb.Frame_Renew{Renew: &peerpb.Renew{Round: s.round, Requests: byOwner[o]}}})
	}
}

func sortedIncarnations(m map[Incarnation][]uint64) []Incarnation {
	ids := make([]Incarnation, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// grantReceived uses a slot only while its lease runs and the request still
// waits for it from this owner; any other slot goes back at once.
func (s *State) grantReceived(from Incarnation, g *peerpb.Grant) {
	r := s.requests[RequestID(g.GetRequest())]
	asked, known := s.roundTime(g.GetRound())
	lease := asked.Add(GrantLease)
	usable := r != nil && r.phase == asking && r.owner == from
	if usable && (!known || s.now >= lease) && !s.cfg.Guards.NoLeaseCheck {
		s.count(CounterRetries, string(RetryLeaseExpired), 1)
		s.release(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		s.ask(r)
		return
	}
	e := s.endpoints[g.GetEndpoint()]
	if !usable || e == nil {
		s.release(from, RequestID(g.GetRequest()), g.GetEndpoint(), &peerpb.Release{})
		return
	}
	r.phase = connecting
	r.endpoint = e.name
	r.leaseEnds = lease
	s.emit(Connect{Request: r.id, Endpoint: e.name, Address: e.address})
}

func (s *State) release(to Incarnation, id RequestID, endpoint string, m *peerpb.Release) {
	m.Request, m.Endpoint = uint64(id), endpoint
	if e := s.endpoints[endpoint]; e != nil && e.owner != 0 {
		// The owner may have changed since the grant; the present one counts.
		to = e.owner
	}
	s.send(to, &peerpb.Frame{Body: &peerpb.Frame_Release{Release: m}})
}

// connectDone gives the one dispatch of a request. The phase changes in the
// same step: whatever happens from here on, no second dispatch follows.
func (s *State) connectDone(ev ConnectDone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != connecting || r.endpoint != ev.Endpoint {
		if ev.OK {
			s.emit(Disconnect{Request: ev.Request})
		}
		return
	}
	if !ev.OK {
		s.retry(r, RetryConnectFailed, &peerpb.Release{Failed: true})
		return
	}
	if s.now >= r.leaseEnds && !s.cfg.Guards.NoLeaseCheck {
		s.emit(Disconnect{Request: r.id})
		s.retry(r, RetryLeaseExpired, &peerpb.Release{})
		return
	}
	r.phase = dispatched
	s.count(CounterDispatches, s.tierName(r.rank), 1)
	s.recent.add(s.now, r.id, "dispatched", r.endpoint)
	s.emit(Dispatch{Request: r.id, Endpoint: r.endpoint, NotAfter: r.leaseEnds})
}

// retry takes a step before dispatch again. Nothing has reached an endpoint.
func (s *State) retry(r *request, why RetryReason, m *peerpb.Release) {
	s.count(CounterRetries, string(why), 1)
	endpoint := r.endpoint
	r.phase, r.endpoint = asking, ""
	r.retries++
	s.release(r.owner, r.id, endpoint, m)
	if s.now >= r.deadline {
		s.refuseRequest(r, refusal.DeadlinePassed, 0)
		return
	}
	if len(r.waiters) == 0 {
		s.refuseRequest(r, refusal.CallerGone, 0)
		return
	}
	if s.closed(s.pools[r.req.Pool], r.rank) {
		s.refuseRequest(r, refusal.TierClosed, 0)
		return
	}
	s.ask(r)
}

// declineReceived ends a request, or moves it where the owner only says that
// it does not own the pool.
func (s *State) declineReceived(from Incarnation, d *peerpb.Decline) {
	r := s.requests[RequestID(d.GetRequest())]
	if r == nil || r.phase != asking || r.owner != from {
		return
	}
	reason := refusal.Reason(d.GetReason())
	if reason == declineMoved || s.lateDecline(from, r, reason, d) {
		s.count(CounterRetries, string(RetryOwnerDeclined), 1)
		// Until the next tick another owner is asked, if there is one: two
		// views that differ must not send an ask back and forth.
		r.owner, r.declinedBy = 0, from
		s.ask(r)
		return
	}
	if _, ok := refusal.Lookup(reason); !ok {
		reason = refusal.Shed
	}
	s.refuseRequest(r, reason, time.Duration(d.GetRetryAfterMs())*time.Millisecond)
}

// lateDecline reports whether a refusal for lack of capacity comes when lower
// tiers may be open again elsewhere. Nothing was told to the caller yet, so
// asking again is right.
func (s *State) lateDecline(from Incarnation, r *request, reason refusal.Reason, d *peerpb.Decline) bool {
	if s.cfg.Guards.NoShedOrder {
		return false
	}
	capacity := reason == refusal.Shed || reason == refusal.DeadlineUnmet
	return capacity && from != s.cfg.Incarnation && r.rank < s.lowestRank() && s.echoLease(d.GetEcho()) == 0
}

// refuseRequest is the final word on a request that did not run.
func (s *State) refuseRequest(r *request, reason refusal.Reason, retryAfter time.Duration) {
	if r.phase == asking && r.owner != 0 {
		s.send(r.owner, &peerpb.Frame{Body: &peerpb.Frame_Withdraw{Withdraw: &peerpb.Withdraw{Request: uint64(r.id)}}})
	}
	s.recent.add(s.now, r.id, "refused", string(reason))
	for _, w := range r.waiters {
		s.refuse(w, r.id, reason, retryAfter)
	}
	s.settle(r, 0)
	s.remember(r, notRun, false)
	s.emit(Forget{Request: r.id})
	s.drop(r)
}

// drop forgets a request that has ended.
func (s *State) drop(r *request) {
	for _, w := range r.waiters {
		delete(s.waiters, w)
	}
	if k := r.req.CallerKey; k != 0 && s.byKey[k] == r.id {
		delete(s.byKey, k)
	}
	delete(s.requests, r.id)
}

// callerGone takes a waiter away; the last one ends what waits at once, and a
// run that may be cancelled after CancelGrace.
func (s *State) callerGone(w Waiter) {
	r := s.requests[s.waiters[w]]
	delete(s.waiters, w)
	if r == nil {
		return
	}
	for i, x := range r.waiters {
		if x == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	if len(r.waiters) > 0 {
		return
	}
	switch {
	case r.waiting():
		s.count(CounterRefusals, string(refusal.CallerGone), 1)
		s.refuseRequest(r, refusal.CallerGone, 0)
	case r.phase == dispatched && r.req.Idempotent:
		r.cancelAt = s.now.Add(CancelGrace)
	}
}

func (s *State) firstByte(id RequestID) {
	if r := s.requests[id]; r != nil {
		r.answering = true
	}
}

// tickRequests ends what has run out of time.
func (s *State) tickRequests() {
	var due []RequestID
	for id, r := range s.requests {
		if s.due(r) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		if r := s.requests[id]; r != nil {
			s.tickRequest(r)
		}
	}
}

// due reports whether a request has something to do by time alone.
func (s *State) due(r *request) bool {
	switch {
	case r.waiting() && s.now >= r.deadline, r.phase == funding:
		return true
	case r.phase == asking:
		return r.owner == 0
	}
	return r.phase == dispatched && r.cancelAt != 0 && s.now >= r.cancelAt && !r.cancelling
}

func (s *State) tickRequest(r *request) {
	switch {
	case r.waiting() && s.now >= r.deadline:
		s.refuseRequest(r, refusal.DeadlinePassed, 0)
	case r.phase == funding:
		s.fund(r)
	case r.phase == asking:
		r.declinedBy = 0
		s.ask(r)
	default:
		r.cancelling = true
		s.emit(Cancel{Request: r.id})
	}
}

// moveAsksFrom asks elsewhere for what waits at an owner that gets no new
// work. A grant of the former owner that still comes is returned.
func (s *State) moveAsksFrom(owner Incarnation) {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if r.phase != asking || r.owner != owner {
			continue
		}
		s.count(CounterRetries, string(RetryOwnerGone), 1)
		s.move(r)
	}
}

// move withdraws the ask from its owner before another is asked.
func (s *State) move(r *request) {
	if r.owner != 0 {
		s.send(r.owner, &peerpb.Frame{Body: &peerpb.Frame_Withdraw{Withdraw: &peerpb.Withdraw{Request: uint64(r.id)}}})
	}
	s.ask(r)
}

// rebalanceAsks moves waiting requests, one a pool and call, to owners that
// have free slots.
func (s *State) rebalanceAsks() {
	for _, p := range s.poolOrder {
		if !s.slotsElsewhere(p) {
			continue
		}
		if r := s.longestWaiting(p); r != nil {
			if best := s.chooseOwner(r); best != 0 && best != r.owner {
				s.move(r)
			}
		}
	}
}

func (s *State) slotsElsewhere(p *pool) bool {
	for _, q := range s.peerOrder {
		if l := q.loads[p.name]; l != nil && q.usable() && int(l.GetFreeSlots()) > q.sent[p.name] {
			return true
		}
	}
	return len(p.owned) > 0 && p.waiting == 0 && s.freeSlots(p) > 0
}

// longestWaiting is the highest tier's oldest request that waits at an owner
// without free slots.
func (s *State) longestWaiting(p *pool) *request {
	var best *request
	for _, r := range s.requests {
		if r.phase != asking || r.req.Pool != p.name || s.now.Sub(r.arrived) < HeartbeatInterval {
			continue
		}
		if best == nil || r.rank < best.rank || r.rank == best.rank && (r.arrived < best.arrived || r.arrived == best.arrived && r.id < best.id) {
			best = r
		}
	}
	return best
}

// refuseOrphans ends requests of pools that the file no longer has here.
func (s *State) refuseOrphans() {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if !r.waiting() {
			continue
		}
		if p := s.pools[r.req.Pool]; p == nil || p.declared == 0 {
			s.refuseRequest(r, refusal.NoEndpoint, 0)
		}
	}
}

func (s *State) tierName(rank int) string {
	for i := range s.file.Tiers {
		if s.file.Tiers[i].Rank == rank {
			return s.file.Tiers[i].Name
		}
	}
	return ""
}
