package reducer

import (
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// outcome is how a request ended, as far as this incarnation knows.
type outcome int

const (
	// completed: dispatched once, with a complete answer.
	completed outcome = iota
	// outcomeUnknown: dispatched once, without a complete answer.
	outcomeUnknown
	// notRun: refused before dispatch; it will never run.
	notRun
)

// record is the outcome of an ended request. It is kept for longer than the
// ticket is valid, so that no re-send can run the request again.
type record struct {
	outcome     outcome
	fingerprint uint64
	expiresAt   Instant
	// kept reports whether package traffic still has the complete answer.
	kept      bool
	keptUntil Instant
}

// addRecord records the outcome of a request.
func (s *State) addRecord(r *request, o outcome, kept bool) {
	if s.cfg.Guards.NoRecord || o == notRun && s.cfg.Guards.NoBurn {
		return
	}
	s.records[r.id] = &record{
		outcome:     o,
		fingerprint: r.req.Fingerprint,
		expiresAt:   s.now.Add(RecordTTL),
		kept:        kept,
		keptUntil:   s.now.Add(s.cfg.KeptAnswerTTL),
	}
	s.recordsByAge = append(s.recordsByAge, r.id)
	if kept {
		s.keptByAge = append(s.keptByAge, r.id)
	}
}

// tickRecords removes expired kept answers, and the records that are older than
// any valid ticket. Records are added in order of time and have the same TTL, so
// the oldest are first.
func (s *State) tickRecords() {
	for len(s.keptByAge) > 0 {
		rec := s.records[s.keptByAge[0]]
		if rec != nil && s.now < rec.keptUntil {
			break
		}
		if rec != nil && rec.kept {
			rec.kept = false
			s.emit(DiscardAnswer{Request: s.keptByAge[0]})
		}
		s.keptByAge = s.keptByAge[1:]
	}
	for len(s.recordsByAge) > 0 {
		rec := s.records[s.recordsByAge[0]]
		if rec != nil && s.now < rec.expiresAt {
			break
		}
		delete(s.records, s.recordsByAge[0])
		s.recordsByAge = s.recordsByAge[1:]
	}
}

// newTicket returns the ticket of a request, valid for TicketTTL from now.
func (s *State) newTicket(id RequestID) Ticket {
	return Ticket{Request: id, Expires: s.now.Add(TicketTTL)}
}

// offerTicket answers a waiter with a new ticket, which belongs to no request
// until it is sent with one.
func (s *State) offerTicket(w Waiter) {
	s.lastID++
	s.count(CounterRefusals, string(refusal.TicketNeeded), 1)
	s.emit(Refuse{Waiter: w, Refused: Refused{Reason: refusal.TicketNeeded, Ticket: s.newTicket(s.lastID)}})
}

// answerResend answers a request whose ticket was used before or has expired. It
// reports false for a valid ticket that has not been used.
func (s *State) answerResend(ev RequestArrived) bool {
	id := ev.Request.Ticket.Request
	if r := s.requests[id]; r != nil {
		if r.req.Fingerprint != ev.Request.Fingerprint {
			s.refuse(ev.Waiter, 0, refusal.TicketInvalid, 0)
			return true
		}
		s.addWaiter(r, ev.Waiter)
		return true
	}
	if rec := s.records[id]; rec != nil {
		s.answerEndedResend(id, rec, ev)
		return true
	}
	if s.now >= ev.Request.Ticket.Expires {
		s.refuse(ev.Waiter, 0, refusal.TicketExpired, 0)
		return true
	}
	return false
}

func (s *State) answerEndedResend(id RequestID, rec *record, ev RequestArrived) {
	switch {
	case rec.fingerprint != ev.Request.Fingerprint:
		s.refuse(ev.Waiter, 0, refusal.TicketInvalid, 0)
	case rec.outcome == notRun:
		s.refuse(ev.Waiter, 0, refusal.TicketBurned, 0)
	case rec.outcome == completed && rec.kept:
		s.count(CounterJoins, "ended", 1)
		s.emit(JoinAnswer{Waiter: ev.Waiter, Request: id})
	case rec.outcome == completed:
		s.refuse(ev.Waiter, 0, refusal.AlreadyRan, 0)
	default:
		s.refuse(ev.Waiter, 0, refusal.OutcomeUnknown, 0)
	}
}
