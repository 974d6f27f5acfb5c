/*
 * Tickets: a request is dispatched at most once, a "not run" response stays true
 * for ever, and a non-idempotent request runs only with a ticket that its caller
 * has recorded.
 *
 * There are two addresses, A and B. A's process (incarnation 0) may die and be
 * replaced by incarnation 2, which starts without state; B's process is
 * incarnation 1. A process may be paused, modelled as not being scheduled; its
 * clock reading then lags, and it resumes with the old reading. The network keeps
 * every message that was ever sent and may deliver it at any time, any number of
 * times, or never. A ticket is (incarnation, sequence); sequences start again
 * with each incarnation, as in the code.
 *
 * Caller 0 sends a non-idempotent call, caller 1 an idempotent one.
 *
 * check: safety -DCALLERS=1 -DSEQUENCES=2 -DCLOCK_MAX=2
 * check: safety -DCALLERS=2 -DSEQUENCES=1 -DCLOCK_MAX=1
 * mutation: assertion -DDISPATCH_BEFORE_RECORD -DCALLERS=1 | refused as "not run" between the first byte written and its record
 * mutation: assertion -DNO_REFUSAL_RECORD -DCALLERS=1 | a late copy runs after the caller received "not run"
 * mutation: assertion -DFOREIGN_DISPATCH -DCALLERS=1 | another instance runs the ticket of a paused or dead issuer, which has run it too
 * mutation: assertion -DFOREIGN_NOT_RUN -DCALLERS=1 | an instance that refuses all requests responds "not run" to a ticket that ran at its issuer
 * mutation: assertion -DREFUSE_BEFORE_LOOKUP -DCALLERS=1 | the issuer refuses a re-send because of its load before it looks the ticket up
 * mutation: assertion -DDELETE_EARLY -DCALLERS=1 | the record is deleted before the ticket expires; a late copy runs again
 * mutation: assertion -DEXPIRE_BY_NEWER_CLOCK -DCALLERS=1 | the record expires by a newer clock reading than the one that the ticket is checked against
 * mutation: assertion -DNO_TICKET_NEEDED -DCALLERS=1 | a non-idempotent call without a ticket, sent twice, runs twice
 * mutation: assertion -DMATCH_SEQUENCE_ONLY -DCALLERS=2 -DSEQUENCES=1 | an instance accepts a ticket of another incarnation as its own
 */
#ifndef CALLERS
#define CALLERS      2
#endif
#define ADDRESSES    2
#define INCARNATIONS 3
#ifndef SEQUENCES
#define SEQUENCES    2
#endif
#define TICKETS      (INCARNATIONS * SEQUENCES)
#define NO_TICKET    TICKETS
#define TTL          0		/* ticks; a ticket is valid while now <= issue time + TTL */
#ifndef CLOCK_MAX
#define CLOCK_MAX    1
#endif

#define TICKET(inc, seq)  ((inc) * SEQUENCES + (seq))
#define ISSUER(t)         ((t) / SEQUENCES)
#define SEQUENCE(t)       ((t) % SEQUENCES)
#define NON_IDEMPOTENT(c) ((c) == 0)

/* States of a record in the issuer's table. */
#define ABSENT      0	/* never received, or deleted */
#define WAITING     1	/* admitted, not dispatched */
#define DISPATCHING 2	/* the dispatch is decided */
#define DONE        3	/* the answer is complete */
#define REFUSED     4	/* refused: not run */

byte clock;			/* true time */
byte now[INCARNATIONS];		/* each process's clock reading, never above clock */
byte serving_incarnation[ADDRESSES];	/* incarnation that serves the address */
byte issued[INCARNATIONS];	/* number of sequences used */
byte record[TICKETS];		/* table of ISSUER(t), lost when it dies */
byte expires[TICKETS];
byte ticket_caller[TICKETS];	/* caller that the ticket was issued to */
bit  sending[TICKETS];		/* the Dispatch effect has been emitted, not yet applied */

byte caller_ticket[CALLERS];		/* ticket that the caller has recorded */
byte offered[CALLERS];		/* ticket in a response in flight to the caller */
bit  sent_without_ticket[CALLERS * ADDRESSES];
bit  sent_with_ticket[CALLERS * ADDRESSES];	/* sent or forwarded with caller_ticket[c] */

/* The actual events, for assertions; the modelled processes do not know them. */
byte runs[TICKETS];		/* dispatches of the ticket */
byte call_runs;			/* dispatches of caller 0's single call */
bit  reported_not_run[TICKETS];
#ifdef FOREIGN_DISPATCH
bit  foreign_run[TICKETS];		/* the other instance has run it */
#endif

/* Asserts that the ticket has not run, and sets the flag that forbids any later
 * run. */
inline report_not_run(t) {
	assert(runs[t] == 0);
	reported_not_run[t] = 1
}

inline issue_ticket(inc, c) {
	t = TICKET(inc, issued[inc]);
	issued[inc]++;
	expires[t] = now[inc] + TTL;
	ticket_caller[t] = c
}

/* A request without a ticket. */
inline receive_without_ticket(inc, c) {
	if
	:: issued[inc] < SEQUENCES ->
		issue_ticket(inc, c);
		if
#ifndef NO_TICKET_NEEDED
		:: NON_IDEMPOTENT(c) ->
			/* Refused with a new ticket: nothing runs until the caller
			 * has recorded which ticket identifies the call. */
			offered[c] = t
#endif
		:: else ->
			record[t] = WAITING;
			offered[c] = t
		fi
	:: else
	fi
}

/* A request with the ticket s. */
inline receive_with_ticket(inc, c, s) {
	t = s;
#ifdef MATCH_SEQUENCE_ONLY
	t = TICKET(inc, SEQUENCE(s));
#endif
	if
	:: ISSUER(t) != inc ->
		if
		:: serving_incarnation[ISSUER(t) % 2] == ISSUER(t) ->
			sent_with_ticket[c * 2 + ISSUER(t) % 2] = 1
		:: true		/* issuer suspected, or incarnation unknown: "outcome unknown" */
#ifdef FOREIGN_DISPATCH
		:: !foreign_run[t] -> foreign_run[t] = 1; runs[t]++; assert(runs[t] <= 1)
#endif
#ifdef FOREIGN_NOT_RUN
		:: report_not_run(t)	/* a closed tier, a full table, a draining process */
#endif
		fi
#ifdef REFUSE_BEFORE_LOOKUP
	:: ISSUER(t) == inc -> report_not_run(t)
#endif
	:: ISSUER(t) == inc && record[t] == REFUSED -> report_not_run(t)
	:: ISSUER(t) == inc && record[t] == WAITING	/* joins the waiting request */
	:: ISSUER(t) == inc && record[t] == DISPATCHING	/* joins the dispatched request */
	:: ISSUER(t) == inc && record[t] == DONE ->
		/* The kept answer is returned only to the caller whose request it
		 * answers. */
		assert(ticket_caller[t] == c)
	:: ISSUER(t) == inc && record[t] == ABSENT && now[inc] > expires[t]
		/* Expired: its record may have been deleted, so the outcome is
		 * unknown. */
	:: ISSUER(t) == inc && record[t] == ABSENT && now[inc] <= expires[t] ->
		if
		:: record[t] = WAITING
		:: refuse(t)
		fi
	fi
}

/* A "not run" response records the ticket as refused in the same step, so that a
 * copy still in the network cannot run it later. */
inline refuse(t) {
#ifdef NO_REFUSAL_RECORD
	record[t] = ABSENT;
#else
	record[t] = REFUSED;
#endif
	report_not_run(t)
}

/* One incarnation of the process at an address, until it is replaced. */
proctype Instance(byte inc; byte address) {
	byte t, c;
	do
	:: atomic { serving_incarnation[address] != inc -> break }
	:: atomic { serving_incarnation[address] == inc && now[inc] < clock -> now[inc] = clock }
	:: atomic {
		serving_incarnation[address] == inc -> 
		select(c : 0 .. CALLERS - 1);
		if
		:: sent_without_ticket[c * 2 + address] -> receive_without_ticket(inc, c)
		:: sent_with_ticket[c * 2 + address] -> receive_with_ticket(inc, c, caller_ticket[c])
		:: else
		fi; t = 0; c = 0 }
	:: atomic {
		serving_incarnation[address] == inc ->
		select(t : TICKET(inc, 0) .. TICKET(inc, SEQUENCES - 1));
		if
		:: record[t] == WAITING ->
			/* Recorded in the same step as the decision: the request
			 * can no longer be refused or decided on again. */
#ifndef DISPATCH_BEFORE_RECORD
			record[t] = DISPATCHING;
#endif
			sending[t] = 1
		:: record[t] == WAITING -> refuse(t)
		:: sending[t] ->
			sending[t] = 0;
#ifdef DISPATCH_BEFORE_RECORD
			record[t] = DISPATCHING;
#endif
			runs[t]++;
			assert(runs[t] <= 1);
			assert(!reported_not_run[t]);
			call_runs = call_runs + NON_IDEMPOTENT(ticket_caller[t]);
			assert(call_runs <= 1)
		:: record[t] == DISPATCHING && !sending[t] -> record[t] = DONE
		:: (record[t] == DONE || record[t] == REFUSED) &&
#if defined(DELETE_EARLY)
		   true
#elif defined(EXPIRE_BY_NEWER_CLOCK)
		   clock > expires[t]	/* not the clock of the expiry check */
#else
		   now[inc] > expires[t]
#endif
		   ->	/* The record outlives the ticket, by the same clock. */
			record[t] = ABSENT
		:: else
		fi; t = 0; c = 0 }
	od
}

proctype Caller(byte c) {
	byte a;
end:	do
	:: atomic {
		select(a : 0 .. ADDRESSES - 1);
		if
		:: caller_ticket[c] == NO_TICKET && !sent_without_ticket[c * 2 + a] ->
			sent_without_ticket[c * 2 + a] = 1
		:: caller_ticket[c] != NO_TICKET && !sent_with_ticket[c * 2 + a] ->
			sent_with_ticket[c * 2 + a] = 1
		:: else
		fi; a = 0 }
	:: atomic {
		caller_ticket[c] == NO_TICKET && offered[c] != NO_TICKET ->
		caller_ticket[c] = offered[c]; offered[c] = NO_TICKET }
	:: atomic { offered[c] != NO_TICKET -> offered[c] = NO_TICKET }
	od
}

proctype Environment() {
	byte t;
end:	do
	:: clock < CLOCK_MAX -> clock++
	:: atomic {
		serving_incarnation[0] == 0 -> 	/* A dies, its table is lost, and A is replaced. */
		for (t : 0 .. SEQUENCES - 1) { record[t] = ABSENT; sending[t] = 0 }
		t = 0;
		serving_incarnation[0] = 2;
		run Instance(2, 0) }
	od
}

init {
	byte i;
	atomic {
		serving_incarnation[0] = 0; serving_incarnation[1] = 1;
		for (i : 0 .. CALLERS - 1) { caller_ticket[i] = NO_TICKET; offered[i] = NO_TICKET }
		i = 0;
		run Instance(0, 0); run Instance(1, 1);
		run Environment();
		for (i : 0 .. CALLERS - 1) { run Caller(i) }
		i = 0
	}
}
