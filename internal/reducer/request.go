package reducer

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// phase is the progress of a request at its holder.
type phase int

const (
	// awaitingAllowance: the organisation has too little spend allowance.
	awaitingAllowance phase = iota
	// awaitingGrant: a slot is requested, or will be once an owner is known.
	awaitingGrant
	// connecting: a slot is granted; nothing has been written.
	connecting
	// dispatched: the request has been dispatched.
	dispatched
)

// request is a caller's request held by this instance.
type request struct {
	id             RequestID
	req            Request
	rank           int
	waiters        []Waiter
	phase          phase
	arrived        Instant
	deadline       Instant
	reservedMicros int64

	owner Incarnation
	// declinedBy is the owner that declined the request last and is skipped
	// until the next tick.
	declinedBy Incarnation
	endpoint   string
	// leaseEnds is when the grant expires.
	leaseEnds Instant
	// cancelAt is set while a run continues without waiters.
	cancelAt      Instant
	cancelling    bool
	answerStarted bool
	retries       int
	callerTicket  bool
}

// waiting reports whether the request holds no slot and may still be refused as
// not run.
func (r *request) waiting() bool { return r.phase == awaitingAllowance || r.phase == awaitingGrant }

func (r *request) holdsSlot() bool { return r.phase == connecting || r.phase == dispatched }

// requestArrived answers, refuses or admits a new request.
func (s *State) requestArrived(ev RequestArrived) {
	if ev.Request.Ticket.Request != 0 && s.answerResend(ev) {
		return
	}
	if r := s.findByCallerKey(&ev.Request); r != nil {
		s.addWaiter(r, ev.Waiter)
		return
	}
	if reason, ok := s.checkNewRequest(&ev.Request); !ok {
		s.recordRefusedTicket(ev.Request)
		s.refuse(ev.Waiter, ev.Request.Ticket.Request, reason, 0)
		return
	}
	if !ev.Request.Idempotent && ev.Request.Ticket.Request == 0 {
		s.offerTicket(ev.Waiter)
		return
	}
	r := s.newRequest(ev)
	s.emit(Admitted{Waiter: ev.Waiter, Request: r.id, Ticket: s.ticketOf(r)})
	s.reserveOrBorrow(r)
}

// checkNewRequest checks the conditions that do not depend on the queue. It
// reports false, and the refusal reason, for a request to refuse. Nothing has
// been dispatched at that point.
func (s *State) checkNewRequest(q *Request) (refusal.Reason, bool) {
	switch {
	case s.stopping:
		return refusal.Leaving, false
	case !s.ready:
		// The tiers that peers have closed are not known yet.
		return refusal.NotReady, false
	case len(s.records) >= MaxRecords:
		return refusal.TicketTableFull, false
	case s.rank(q.Tier) == 0:
		return refusal.TierNotAllowed, false
	case s.refusedAsSuspect(q.Fingerprint):
		return refusal.CrashSuspect, false
	}
	p := s.pools[q.Pool]
	if p == nil || p.zoneSlots == 0 {
		return refusal.NoEndpoint, false
	}
	if s.tierClosed(p, s.rank(q.Tier)) {
		return refusal.TierClosed, false
	}
	return "", true
}

// recordRefusedTicket records a refused ticket, so that a re-send of it cannot
// run after it was reported as not run.
func (s *State) recordRefusedTicket(q Request) {
	if q.Ticket.Request != 0 {
		s.addRecord(&request{id: q.Ticket.Request, req: q}, notRun, false)
	}
}

func (s *State) newRequest(ev RequestArrived) *request {
	id := ev.Request.Ticket.Request
	ticketed := id != 0
	if !ticketed {
		s.lastID++
		id = s.lastID
	}
	r := &request{
		id: id, req: ev.Request, rank: s.rank(ev.Request.Tier),
		waiters: []Waiter{ev.Waiter}, arrived: s.now,
		deadline: s.now.Add(ev.Request.Deadline), callerTicket: ticketed,
	}
	s.requests[id] = r
	s.waiters[ev.Waiter] = id
	if k := ev.Request.CallerKey; k != 0 {
		s.byCallerKey[k] = id
	}
	return r
}

func (s *State) ticketOf(r *request) Ticket {
	if r.callerTicket {
		return r.req.Ticket
	}
	return s.newTicket(r.id)
}

// findByCallerKey returns a running request that the same caller sent with the
// same key and content, or nil. It saves work and guarantees nothing.
func (s *State) findByCallerKey(q *Request) *request {
	if q.CallerKey == 0 || !q.Idempotent {
		return nil
	}
	r := s.requests[s.byCallerKey[q.CallerKey]]
	if r == nil || r.req.Fingerprint != q.Fingerprint {
		return nil
	}
	return r
}

// addWaiter attaches another waiter to a request that has not ended.
func (s *State) addWaiter(r *request, w Waiter) {
	r.waiters = append(r.waiters, w)
	r.cancelAt = 0
	s.waiters[w] = r.id
	s.count(CounterJoins, "running", 1)
	s.emit(JoinAnswer{Waiter: w, Request: r.id})
}

// reserveOrBorrow reserves the highest price of a request and requests a slot.
// If the allowance is too small, it borrows from a peer, or refuses the request
// if the wait is too long.
func (s *State) reserveOrBorrow(r *request) {
	ok, wait := s.reserve(r)
	if ok {
		r.phase = awaitingGrant
		s.requestSlot(r)
		return
	}
	r.phase = awaitingAllowance
	if wait > AllowanceTimeout || s.now.Sub(r.arrived) > AllowanceTimeout {
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

// retryReservations retries the reservations of an organisation's requests after
// a peer has lent allowance.
func (s *State) retryReservations(organisation string) {
	for _, id := range s.sortedRequests() {
		if r := s.requests[id]; r != nil && r.phase == awaitingAllowance && r.req.Organisation == organisation {
			s.reserveOrBorrow(r)
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

// refuseRequest ends a request that did not run and refuses all its waiters.
func (s *State) refuseRequest(r *request, reason refusal.Reason, retryAfter time.Duration) {
	if r.phase == awaitingGrant && r.owner != 0 {
		s.send(r.owner, &peerpb.Frame{Body: &peerpb.Frame_Withdraw{Withdraw: &peerpb.Withdraw{Request: uint64(r.id)}}})
	}
	s.decisions.add(s.now, r.id, "refused", string(reason))
	for _, w := range r.waiters {
		s.refuse(w, r.id, reason, retryAfter)
	}
	s.settle(r, 0)
	s.addRecord(r, notRun, false)
	s.emit(DiscardAnswer{Request: r.id})
	s.removeRequest(r)
}

// removeRequest removes a request that has ended.
func (s *State) removeRequest(r *request) {
	for _, w := range r.waiters {
		delete(s.waiters, w)
	}
	if k := r.req.CallerKey; k != 0 && s.byCallerKey[k] == r.id {
		delete(s.byCallerKey, k)
	}
	delete(s.requests, r.id)
}

// callerGone removes a waiter. Without waiters, a waiting request ends at once,
// and the run of an idempotent request is cancelled after CancelGrace.
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
		r.answerStarted = true
	}
}

// tickRequests handles the requests that have something to do by time alone.
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

// due reports whether a request has something to do by time alone: its deadline
// or grace has passed, or a step is to be retried.
func (s *State) due(r *request) bool {
	switch {
	case r.waiting() && s.now >= r.deadline, r.phase == awaitingAllowance:
		return true
	case r.phase == awaitingGrant:
		return r.owner == 0
	}
	return r.phase == dispatched && r.cancelAt != 0 && s.now >= r.cancelAt && !r.cancelling
}

func (s *State) tickRequest(r *request) {
	switch {
	case r.waiting() && s.now >= r.deadline:
		s.refuseRequest(r, refusal.DeadlinePassed, 0)
	case r.phase == awaitingAllowance:
		s.reserveOrBorrow(r)
	case r.phase == awaitingGrant:
		r.declinedBy = 0
		s.requestSlot(r)
	default:
		r.cancelling = true
		s.emit(Cancel{Request: r.id})
	}
}

// refuseWithoutPool refuses waiting requests whose pool has no endpoints in this
// zone according to the declared file in force.
func (s *State) refuseWithoutPool() {
	for _, id := range s.sortedRequests() {
		r := s.requests[id]
		if !r.waiting() {
			continue
		}
		if p := s.pools[r.req.Pool]; p == nil || p.zoneSlots == 0 {
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
