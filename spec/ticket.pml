/*
 * Tickets: a request is dispatched at most once, "not run" is true for ever,
 * and a non-idempotent request runs only by a ticket that its caller recorded.
 *
 * Two addresses, A and B. A's process (incarnation 0) may die and be replaced
 * by incarnation 2, which knows nothing; B's process is incarnation 1. A
 * process that is not scheduled is paused; its reading of the clock then lags
 * behind, and it wakes up believing it. The network keeps every message that
 * was ever sent and may deliver it at any time, any number of times, or never.
 * A ticket is (incarnation, sequence); sequences start again with each
 * incarnation, as they do in the code.
 *
 * Caller 0 makes a call that may not be repeated; caller 1's may be.
 *
 * check: safety -DCALLERS=1 -DSEQUENCES=2 -DCLOCK_MAX=2
 * check: safety -DCALLERS=2 -DSEQUENCES=1 -DCLOCK_MAX=1
 * mutation: assertion -DDISPATCH_BEFORE_SPEND -DCALLERS=1 | refused "not run" between the first byte and the record of it
 * mutation: assertion -DNO_BURN -DCALLERS=1 | a late copy runs after the caller was told "not run"
 * mutation: assertion -DFOREIGN_DISPATCH -DCALLERS=1 | another instance runs the ticket of a paused or dead minter, which ran it too
 * mutation: assertion -DFOREIGN_NOT_RUN -DCALLERS=1 | an instance that refuses everything says "not run" of a ticket that ran at its minter
 * mutation: assertion -DREFUSE_BEFORE_LOOKUP -DCALLERS=1 | the minter refuses a re-send for its load before it looks the ticket up
 * mutation: assertion -DFORGET_EARLY -DCALLERS=1 | the record goes before the ticket expires; a late copy runs again
 * mutation: assertion -DSTALE_STAMP -DCALLERS=1 | the record goes by a newer clock than the one that judges the ticket
 * mutation: assertion -DNO_TICKET_NEEDED -DCALLERS=1 | a non-idempotent call without a ticket, sent twice, runs twice
 * mutation: assertion -DMATCH_SEQUENCE_ONLY -DCALLERS=2 -DSEQUENCES=1 | a ticket of another incarnation is taken for one of its own
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
#define TTL          0		/* a ticket is valid while now <= minted + TTL */
#ifndef CLOCK_MAX
#define CLOCK_MAX    1
#endif

#define TICKET(inc, seq)  ((inc) * SEQUENCES + (seq))
#define MINTER(t)         ((t) / SEQUENCES)
#define SEQUENCE(t)       ((t) % SEQUENCES)
#define NON_IDEMPOTENT(c) ((c) == 0)

/* States of a record in the minter's table. */
#define ABSENT  0	/* never seen, or forgotten */
#define WAITING 1	/* admitted, not dispatched */
#define SPENT   2	/* the decision to dispatch has fallen */
#define DONE    3	/* the answer is whole */
#define BURNED  4	/* refused: not run */

byte clock;			/* true time */
byte now[INCARNATIONS];		/* each process's own reading, never above clock */
byte lives[ADDRESSES];		/* incarnation that serves the address */
byte minted[INCARNATIONS];	/* sequences used */
byte record[TICKETS];		/* table of MINTER(t), lost with it */
byte expires[TICKETS];
byte owner[TICKETS];		/* caller that the ticket was given to */
bit  sending[TICKETS];		/* the Dispatch effect is with traffic */

byte held[CALLERS];		/* ticket that the caller has recorded */
byte offered[CALLERS];		/* ticket in an answer on its way to the caller */
bit  bare[CALLERS * ADDRESSES];		/* sent without a ticket */
bit  ticketed[CALLERS * ADDRESSES];	/* sent or forwarded with held[c] */

/* What really happened: not known to any process. */
byte runs[TICKETS];		/* dispatches of the ticket */
byte calls;			/* dispatches of caller 0's one call */
bit  told_not_run[TICKETS];
#ifdef FOREIGN_DISPATCH
bit  taken[TICKETS];		/* the other instance's own record */
#endif

/* "Not run" is true: it has not run, and the flag forbids it for ever. */
inline tell_not_run(t) {
	assert(runs[t] == 0);
	told_not_run[t] = 1
}

inline mint(inc, c) {
	t = TICKET(inc, minted[inc]);
	minted[inc]++;
	expires[t] = now[inc] + TTL;
	owner[t] = c
}

/* A send without a ticket. */
inline receive_bare(inc, c) {
	if
	:: minted[inc] < SEQUENCES ->
		mint(inc, c);
		if
#ifndef NO_TICKET_NEEDED
		:: NON_IDEMPOTENT(c) ->
			/* Refused with a fresh ticket: nothing runs until the
			 * caller has recorded which ticket stands for the call. */
			offered[c] = t
#endif
		:: else ->
			record[t] = WAITING;
			offered[c] = t
		fi
	:: else
	fi
}

/* A send with the ticket s. */
inline receive_ticketed(inc, c, s) {
	t = s;
#ifdef MATCH_SEQUENCE_ONLY
	t = TICKET(inc, SEQUENCE(s));
#endif
	if
	:: MINTER(t) != inc ->
		if
		:: lives[MINTER(t) % 2] == MINTER(t) -> ticketed[c * 2 + MINTER(t) % 2] = 1
		:: true		/* suspected, or of an unknown incarnation: "outcome unknown" */
#ifdef FOREIGN_DISPATCH
		:: !taken[t] -> taken[t] = 1; runs[t]++; assert(runs[t] <= 1)
#endif
#ifdef FOREIGN_NOT_RUN
		:: tell_not_run(t)	/* a closed tier, a full table, a leaving process */
#endif
		fi
#ifdef REFUSE_BEFORE_LOOKUP
	:: MINTER(t) == inc -> tell_not_run(t)
#endif
	:: MINTER(t) == inc && record[t] == BURNED -> tell_not_run(t)
	:: MINTER(t) == inc && record[t] == WAITING	/* joins */
	:: MINTER(t) == inc && record[t] == SPENT	/* joins */
	:: MINTER(t) == inc && record[t] == DONE ->
		/* The kept answer goes only to the request that it answers. */
		assert(owner[t] == c)
	:: MINTER(t) == inc && record[t] == ABSENT && now[inc] > expires[t]
		/* Expired: its record may have been forgotten, so nothing is claimed. */
	:: MINTER(t) == inc && record[t] == ABSENT && now[inc] <= expires[t] ->
		if
		:: record[t] = WAITING
		:: refuse(t)
		fi
	fi
}

/* A refusal "not run" burns the ticket in the same step, so that a copy still
 * in the network cannot run it later. */
inline refuse(t) {
#ifdef NO_BURN
	record[t] = ABSENT;
#else
	record[t] = BURNED;
#endif
	tell_not_run(t)
}

/* One run of the process at an address, until it is replaced. */
proctype Instance(byte inc; byte address) {
	byte t, c;
	do
	:: atomic { lives[address] != inc -> break }
	:: atomic { lives[address] == inc && now[inc] < clock -> now[inc] = clock }
	:: atomic {
		lives[address] == inc -> 
		select(c : 0 .. CALLERS - 1);
		if
		:: bare[c * 2 + address] -> receive_bare(inc, c)
		:: ticketed[c * 2 + address] -> receive_ticketed(inc, c, held[c])
		:: else
		fi; t = 0; c = 0 }
	:: atomic {
		lives[address] == inc ->
		select(t : TICKET(inc, 0) .. TICKET(inc, SEQUENCES - 1));
		if
		:: record[t] == WAITING ->
			/* Spent in one step with the decision: what waits can
			 * no longer be refused or decided again. */
#ifndef DISPATCH_BEFORE_SPEND
			record[t] = SPENT;
#endif
			sending[t] = 1
		:: record[t] == WAITING -> refuse(t)
		:: sending[t] ->
			sending[t] = 0;
#ifdef DISPATCH_BEFORE_SPEND
			record[t] = SPENT;
#endif
			runs[t]++;
			assert(runs[t] <= 1);
			assert(!told_not_run[t]);
			calls = calls + NON_IDEMPOTENT(owner[t]);
			assert(calls <= 1)
		:: record[t] == SPENT && !sending[t] -> record[t] = DONE
		:: (record[t] == DONE || record[t] == BURNED) &&
#if defined(FORGET_EARLY)
		   true
#elif defined(STALE_STAMP)
		   clock > expires[t]	/* another clock than the expiry check's */
#else
		   now[inc] > expires[t]
#endif
		   ->	/* The record outlives the ticket, on one clock. */
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
		:: held[c] == NO_TICKET && !bare[c * 2 + a] -> bare[c * 2 + a] = 1
		:: held[c] != NO_TICKET && !ticketed[c * 2 + a] -> ticketed[c * 2 + a] = 1
		:: else
		fi; a = 0 }
	:: atomic {
		held[c] == NO_TICKET && offered[c] != NO_TICKET ->
		held[c] = offered[c]; offered[c] = NO_TICKET }
	:: atomic { offered[c] != NO_TICKET -> offered[c] = NO_TICKET }
	od
}

proctype World() {
	byte t;
end:	do
	:: clock < CLOCK_MAX -> clock++
	:: atomic {
		lives[0] == 0 -> 	/* A dies with its table and is replaced. */
		for (t : 0 .. SEQUENCES - 1) { record[t] = ABSENT; sending[t] = 0 }
		t = 0;
		lives[0] = 2;
		run Instance(2, 0) }
	od
}

init {
	byte i;
	atomic {
		lives[0] = 0; lives[1] = 1;
		for (i : 0 .. CALLERS - 1) { held[i] = NO_TICKET; offered[i] = NO_TICKET }
		i = 0;
		run Instance(0, 0); run Instance(1, 1);
		run World();
		for (i : 0 .. CALLERS - 1) { run Caller(i) }
		i = 0
	}
}
