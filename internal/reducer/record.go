package reducer

import (
	"github.com/balsamstair/balsamstair/internal/refusal"
)

// outcome is how a request ended, as far as this incarnation knows.
type outcome int

const (
	// ranWhole: dispatched once, answered whole.
	ranWhole outcome = iota
	// ranUnknown: dispatched once, no whole answer seen.
	ranUnknown
	// notRun: refused before dispatch, for ever.
	notRun
)

// record remembers the end of a request for longer than its ticket lives, so
// that no re-send can run it again.
type record struct {
	outcome     outcome
	fingerprint uint64
	until       Instant
	// kept says that traffic still has the whole answer.
	kept      bool
	keptUntil Instant
}

// remember enters the end of a request.
func (s *State) remember(r *request, o outcome, kept bool) {
	if s.cfg.Guards.NoRecord || o == notRun && s.cfg.Guards.NoBurn {
		return
	}
	s.records[r.id] = &record{
		outcome:     o,
		fingerprint: r.req.Fingerprint,
		until:       s.now.Add(RecordLife),
		kept:        kept,
		keptUntil:   s.now.Add(s.cfg.KeptLife),
	}
	s.recordAge = append(s.recordAge, r.id)
	if kept {
		s.keptAge = append(s.keptAge, r.id)
	}
}

// tickRecords forgets what is older than any ticket could be. Records enter in
// order of time and live equally long, so the oldest are in front.
func (s *State) tickRecords() {
	for len(s.keptAge) > 0 {
		rec := s.records[s.keptAge[0]]
		if rec != nil && s.now < rec.keptUntil {
			break
		}
		if rec != nil && rec.kept {
			rec.kept = false
			s.emit(Forget{Request: s.keptAge[0]})
		}
		s.keptAge = s.keptAge[1:]
	}
	for len(s.recordAge) > 0 {
		rec := s.records[s.recordAge[0]]
		if rec != nil && s.now < rec.until {
			break
		}
		delete(s.records, s.recordAge[0])
		s.recordAge = s.recordAge[1:]
	}
}

// ticketFor names a request for its caller.
func (s *State) ticketFor(id RequestID) Ticket {
	return Ticket{Request: id, Expires: s.now.Add(TicketLife)}
}

// offerTicket gives a fresh ticket, which stands for no request until it is
// sent with one.
func (s *State) offerTicket(w Waiter) {
	s.nextID++
	s.count(CounterRefusals, string(refusal.TicketNeeded), 1)
	s.emit(Refuse{Waiter: w, Refused: Refused{Reason: refusal.TicketNeeded, Ticket: s.ticketFor(s.nextID)}})
}

// resend answers a request whose ticket was used before. It reports false for
// a ticket that is fresh.
func (s *State) resend(ev RequestArrived) bool {
	id := ev.Request.Ticket.Request
	if r := s.requests[id]; r != nil {
		if r.req.Fingerprint != ev.Request.Fingerprint {
			s.refuse(ev.Waiter, 0, refusal.TicketInvalid, 0)
			return true
		}
		s.join(r, ev.Waiter)
		return true
	}
	if rec := s.records[id]; rec != nil {
		s.resendEnded(id, rec, ev)
		return true
	}
	if s.now >= ev.Request.Ticket.Expires {
		s.refuse(ev.Waiter, 0, refusal.TicketExpired, 0)
		return true
	}
	return false
}

func (s *State) resendEnded(id RequestID, rec *record, ev RequestArrived) {
	switch {
	case rec.fingerprint != ev.Request.Fingerprint:
		s.refuse(ev.Waiter, 0, refusal.TicketInvalid, 0)
	case rec.outcome == notRun:
		s.refuse(ev.Waiter, 0, refusal.TicketBurned, 0)
	case rec.outcome == ranWhole && rec.kept:
		s.count(CounterJoins, "ended", 1)
		s.emit(Join{Waiter: ev.Waiter, Request: id})
	case rec.outcome == ranWhole:
		s.refuse(ev.Waiter, 0, refusal.AlreadyRan, 0)
	default:
		s.refuse(ev.Waiter, 0, refusal.OutcomeUnknown, 0)
	}
}
