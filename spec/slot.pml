/*
 * Slots of one endpoint: a holder requests a slot from the endpoint's owner, the
 * owner grants it with a lease that starts when the request is sent, and the
 * holder connects, dispatches once and releases the slot. Each holder numbers its
 * slot requests (ASK messages); the number is called the round, and a grant
 * repeats it.
 *
 * Owner 0 owns the endpoint until it dies. Owner 1 acts as owner while it
 * suspects owner 0, rightly or not, and stops when it receives a message from
 * owner 0 again. Whenever it starts to act as owner, it sends each holder a
 * numbered CLAIM message, which asks for a report of the slots that the holder
 * holds. Each holder has one request and its own view of which instance
 * is the owner; views differ for a while. A session between a holder and an owner
 * may break at any time, and messages in flight are lost; messages that the
 * holder has already received are processed before the break. A holder may die,
 * and an owner declares a paused one dead after a lease without contact.
 *
 * One tick is the length of a lease. The number of each kind of event is bounded,
 * so the search shows two liveness properties without assuming fairness: every
 * run ends (no cycle), and none ends with a request waiting at a live holder.
 *
 * Bound on slots in use: at most SLOTS for each instance that acts as owner;
 * above SLOTS only after two owners overlapped or a live holder was declared
 * dead, and only until a single owner has received from each live holder a report
 * of the slots that it holds.
 *
 * check.sh runs the lines below. It runs those marked "deep" only with -deep,
 * since they need more memory.
 *
 * check: safety -DTICKS=2 -DFALSE_DEATHS=1 -DDEATHS=1 -DOWNER_DEATHS=0
 * check: safety -DTICKS=1 -DFALSE_DEATHS=1
 * check: safety -DTICKS=1 -DDEATHS=1
 * check: safety -DBREAKS=1 -DREPORTS=1
 * check: safety -DBREAKS=1 -DDEATHS=1
 * check: safety -DSUSPICIONS=1 -DOWNER_DEATHS=0
 * check: acyclic -DTICKS=1 -DFALSE_DEATHS=1 -DBREAKS=1 -DOWNER_DEATHS=0
 * check: acyclic -DBREAKS=1
 * deep: safety -DSUSPICIONS=1
 * deep: safety -DTICKS=1 -DBREAKS=1
 * mutation: assertion -DLEASE_FROM_RECEIPT -DTICKS=2 -DFALSE_DEATHS=1 -DOWNER_DEATHS=0 | a delayed grant is used although its lease has expired
 * mutation: assertion -DNO_LEASE_CHECK -DTICKS=2 -DFALSE_DEATHS=1 -DOWNER_DEATHS=0 | a holder that was paused while connecting resumes and uses an expired grant
 * mutation: assertion -DNO_RECOVERY | a new owner grants the slot that its dead predecessor has granted
 * mutation: assertion -DREPORT_OF_OTHER_VIEW -DBREAKS=1 | the owner accepts a report of a peer that still accepts the former owner's grants
 * mutation: assertion -DREPORT_OF_OLD_CLAIM -DSUSPICIONS=1 | the owner accepts a report that was sent before its current claim of ownership
 * mutation: assertion -DNO_WAIT_AFTER_CLAIM -DTICKS=1 -DFALSE_DEATHS=1 | a new owner does not wait a lease for a peer that it has no contact with
 * mutation: assertion -DACCEPT_OLD_ROUND -DTICKS=1 -DFALSE_DEATHS=1 -DOWNER_DEATHS=0 | the grant of an older round is accepted as that of the newest
 * mutation: assertion -DACCEPT_OTHER_OWNER | a holder accepts the grant of an owner from which it no longer requests slots
 * mutation: assertion -DDISPATCH_BOTH -DSUSPICIONS=1 -DOWNER_DEATHS=0 | a request sent to both owners without a withdrawal is dispatched on both grants
 * mutation: assertion -DRELEASE_STALE_ROUND -DTICKS=1 -DOWNER_DEATHS=0 | the release of an older round's grant frees the slot of the newer one
 * mutation: assertion -DREPORT_REMOVES -DREPORTS=1 -DOWNER_DEATHS=0 | a report that was sent before the grant arrived frees the slot in use
 * mutation: assertion -DNO_RENEW -DTICKS=1 -DOWNER_DEATHS=0 | the slot is not requested again after a late grant: the request is lost
 */
#define HOLDERS 2
#define OWNERS  2
#define SLOTS   1
/* How often each kind of event may happen in one run. */
#ifndef OWNER_DEATHS
#define OWNER_DEATHS 1
#endif
#ifndef TICKS
#define TICKS 0
#endif
#ifndef BREAKS
#define BREAKS 0
#endif
#ifndef FALSE_DEATHS
#define FALSE_DEATHS 0
#endif
#ifndef DEATHS
#define DEATHS 0
#endif
#ifndef REPORTS
#define REPORTS 0	/* unsolicited reports of each holder */
#endif
#ifndef SUSPICIONS
#define SUSPICIONS 0
#endif

/* Messages and the meaning of their byte:
 *   ASK       requests a slot; the round
 *   WITHDRAW  cancels the ASK; 0
 *   RELEASE   returns the slot; 0
 *   HELD      reports whether the holder holds a slot; the report (see EPOCH)
 *   HELLO     is the report that opens a new session; the report
 *   GRANT     grants a slot; the round of the ASK
 *   CLAIM     announces a new owner; the number of the claim
 *   BREAK     tells the holder that the session is closed; the number of the
 *             owner's last claim */
mtype = { ASK, WITHDRAW, RELEASE, HELD, HELLO, GRANT, CLAIM, BREAK };
chan up[HOLDERS * OWNERS]   = [6] of { mtype, byte };	/* holder to owner */
chan down[HOLDERS * OWNERS] = [6] of { mtype, byte };	/* owner to holder */
#define PAIR(h, o)  ((h) * OWNERS + (o))
/* A send must not block within an atomic step. One step adds to a channel at most
 * two messages of a holder (WITHDRAW and HELD) or one of an owner. A holder
 * therefore acts only if its up channels have less than 4 messages, and an owner
 * sends only if the down channel has less than 5. Both limits leave one of the 6
 * places free. */
#define HAS_ROOM(h) (len(up[PAIR(h, 0)]) < 4 && len(up[PAIR(h, 1)]) < 4)

/* Holders. */
#define WAITING        0	/* no slot requested */
#define AWAITING_GRANT 1
#define GRANTED        2	/* connecting; nothing is written to the endpoint */
#define RUNNING        3	/* dispatched */
#define ENDED          4
#define DEAD           5
byte phase[HOLDERS];
byte view[HOLDERS];	/* the owner from which the holder requests a slot */
byte round[HOLDERS];	/* of its last ASK */
byte newest_claim[HOLDERS * OWNERS];	/* number of the last CLAIM received from the owner */
bit  lease_expired[HOLDERS];	/* a lease has passed since that ASK */
byte reports[HOLDERS];
bit  switched[HOLDERS];	/* has switched to owner 1 once while owner 0 was alive */
#ifdef LEASE_FROM_RECEIPT
bit  grant_expired[HOLDERS];	/* a lease has passed since the receipt of the grant */
#define LEASE_VALID(h) true
#define START_LEASE(h) grant_expired[h] = 0
#define EXPIRED(h)     grant_expired[h]
#else
#define LEASE_VALID(h) !lease_expired[h]
#define START_LEASE(h) skip
#define EXPIRED(h)     lease_expired[h]
#endif
#if defined(ACCEPT_OLD_ROUND)
#define MATCHES_ASK(h, o, r) (o == view[h])
#elif defined(ACCEPT_OTHER_OWNER)
#define MATCHES_ASK(h, o, r) true
#else
#define MATCHES_ASK(h, o, r) (o == view[h] && r == round[h])
#endif

/* Owners. */
#define UNREPORTED 0	/* has not yet reported its slots */
#define REPORTED   1
#define GONE       2	/* declared dead: without contact for too long, or really dead */
bit  is_owner[OWNERS];	/* acts as owner; for owner 0 also: is alive */
byte epoch[OWNERS];	/* number of its claim, as in heartbeats */
byte queued[HOLDERS * OWNERS];	/* round of the queued ASK; 0 is none */
bit  counted[HOLDERS * OWNERS];	/* the owner counts a slot as in use by the holder */
byte report_state[HOLDERS * OWNERS];	/* UNREPORTED, REPORTED or GONE */
bit  broken[HOLDERS * OWNERS];	/* the session is closed; a new one begins with HELLO */
bit  no_contact[HOLDERS * OWNERS];	/* a lease has passed since the last contact with the holder */

/* The time without contact starts no earlier than the claim: until a lease has
 * passed, an unreachable peer may still use a grant of the former owner. */
#ifdef NO_WAIT_AFTER_CLAIM
#define RESET_CONTACT skip
#else
#define RESET_CONTACT no_contact[PAIR(0, 1)] = 0; no_contact[PAIR(1, 1)] = 0
#endif

/* The actual state and the event counters; holders and owners do not know them. */
byte dispatches[HOLDERS];
byte in_use;		/* requests running at the endpoint */
bit  overuse_permitted;		/* use above SLOTS is permitted */
byte ticks, breaks, false_deaths, deaths, suspicions;

#define SOLE_OWNER(o)    (is_owner[o] && !is_owner[1 - (o)] && \
	counted[PAIR(0, o)] + counted[PAIR(1, o)] <= SLOTS)
#define RECONCILED(h, o) (phase[h] == DEAD || (view[h] == o && \
	report_state[PAIR(h, o)] == REPORTED && !broken[PAIR(h, o)] && len(up[PAIR(h, o)]) == 0))

/* Use above SLOTS is no longer permitted once a single owner has correct counts. */
inline update_overuse() {
	if
	:: overuse_permitted && in_use <= SLOTS && ((SOLE_OWNER(0) && RECONCILED(0, 0) && RECONCILED(1, 0)) ||
	   (SOLE_OWNER(1) && RECONCILED(0, 1) && RECONCILED(1, 1))) -> overuse_permitted = 0
	:: else
	fi
}

#define ALIVE(o) (o == 1 || is_owner[0])	/* the process of the owner is alive */

inline release(h) {
	if
	:: ALIVE(0) -> up[PAIR(h, 0)]!RELEASE(0)
	:: else
	fi;
	up[PAIR(h, 1)]!RELEASE(0)
}

/* An abandoned ASK is withdrawn before any other message is sent, so that its
 * grant, which will be ignored, does not occupy the slot. */
inline withdraw(h) {
	if
#ifndef DISPATCH_BOTH
	:: phase[h] == AWAITING_GRANT && ALIVE(view[h]) ->
		up[PAIR(h, view[h])]!WITHDRAW(0); phase[h] = WAITING
#endif
	:: else -> phase[h] = (phase[h] == AWAITING_GRANT -> WAITING : phase[h])
	fi
}

inline request_slot(h) {
	round[h]++;
	lease_expired[h] = 0;
	up[PAIR(h, view[h])]!ASK(round[h]);
	phase[h] = AWAITING_GRANT
}

inline dispatch(h) {
	/* An expired lease is never used. */
	assert(!lease_expired[h]);
	phase[h] = RUNNING;
	dispatches[h]++;
	assert(dispatches[h] <= 1);
	in_use++;
	assert(in_use <= SLOTS || (overuse_permitted && in_use <= SLOTS * OWNERS))
}

inline receive_grant(h, o) {
	if
#ifdef DISPATCH_BOTH
	:: phase[h] == AWAITING_GRANT || phase[h] == RUNNING -> dispatch(h)
	:: else
#else
	/* Only the grant for the outstanding ASK is accepted: from that owner,
	 * for that round, within its lease. Any other grant is ignored, since a
	 * newer round or a withdrawal already resolves it at the owner. */
	:: phase[h] == AWAITING_GRANT && MATCHES_ASK(h, o, r) && LEASE_VALID(h) ->
		phase[h] = GRANTED;
		START_LEASE(h)
#ifdef RELEASE_STALE_ROUND
	:: phase[h] == AWAITING_GRANT && r != round[h] && o == view[h] -> up[PAIR(h, o)]!RELEASE(0)
#endif
	:: else
#endif
	fi
}

/* A report contains whether the sender holds a slot, whether its view has another
 * owner, and the number of the newest claim that it has received. */
#define OTHER_VIEW 2
#define EPOCH      4
#ifdef REPORT_OF_OTHER_VIEW
#define SAME_VIEW(v) true
#else
#define SAME_VIEW(v) ((v / OTHER_VIEW) % 2 == 0)
#endif
#ifdef REPORT_OF_OLD_CLAIM
#define REPORT_VALID(v) SAME_VIEW(v)
#else
#define REPORT_VALID(v) (SAME_VIEW(v) && v / EPOCH == epoch[o])
#endif
#define HOLDS_SLOT(h) (phase[h] == GRANTED || phase[h] == RUNNING)

proctype Holder(byte h) {
	byte o, r;	/* owner that sent the message being processed, and its byte */
end:	do
	:: atomic { phase[h] == DEAD -> break }
	:: atomic { phase[h] == WAITING && HAS_ROOM(h) && is_owner[view[h]] -> request_slot(h) }
#ifndef NO_RENEW
	:: atomic { phase[h] == AWAITING_GRANT && lease_expired[h] && HAS_ROOM(h) -> request_slot(h) }
#endif
	:: atomic { phase[h] != DEAD && HAS_ROOM(h) && nempty(down[PAIR(h, 0)]) -> o = 0; goto receive }
	:: atomic { phase[h] != DEAD && HAS_ROOM(h) && nempty(down[PAIR(h, 1)]) -> o = 1;
receive:	if
		:: down[PAIR(h, o)]?GRANT(r) -> receive_grant(h, o)
		:: down[PAIR(h, o)]?CLAIM(r) ->
			newest_claim[PAIR(h, o)] = r;
			if
			:: view[h] == o ->
				/* The owner may or may not still have an ASK from before
				 * the claim. */
				withdraw(h);
				up[PAIR(h, o)]!HELD(HOLDS_SLOT(h) + EPOCH * r)
			:: else		/* reports when its view changes */
			fi
		:: down[PAIR(h, o)]?BREAK(r) ->
			/* A new session begins with a report. */
			newest_claim[PAIR(h, o)] = r;
			up[PAIR(h, o)]!HELLO(HOLDS_SLOT(h) + OTHER_VIEW * (view[h] != o) +
				EPOCH * newest_claim[PAIR(h, o)]);
			if
			:: phase[h] == AWAITING_GRANT && view[h] == o -> phase[h] = WAITING
			:: else
			fi
		fi;
		o = 0; r = 0 }
	/* Connected: the lease is checked again immediately before dispatch. */
#ifdef NO_LEASE_CHECK
	:: atomic { phase[h] == GRANTED -> dispatch(h) }
#else
	:: atomic { phase[h] == GRANTED && !EXPIRED(h) -> dispatch(h) }
	:: atomic { phase[h] == GRANTED && EXPIRED(h) && HAS_ROOM(h) -> release(h); phase[h] = WAITING }
#endif
	:: atomic { phase[h] == RUNNING && HAS_ROOM(h) ->
		in_use--; phase[h] = ENDED; release(h) }
	/* The view changes: the holder withdraws the old ASK, then reports to the
	 * new owner before it sends it any ASK. */
	:: atomic { phase[h] != DEAD && HAS_ROOM(h) && is_owner[1 - view[h]] &&
		(!is_owner[view[h]] || (view[h] == 0 && !switched[h])) ->
		switched[h] = switched[h] || is_owner[view[h]];
		withdraw(h);
		view[h] = 1 - view[h];
		up[PAIR(h, view[h])]!HELD(HOLDS_SLOT(h) + EPOCH * newest_claim[PAIR(h, view[h])]) }
	:: atomic { phase[h] != DEAD && reports[h] < REPORTS && HAS_ROOM(h) && ALIVE(view[h]) ->
		reports[h]++;
		up[PAIR(h, view[h])]!HELD(HOLDS_SLOT(h) + EPOCH * newest_claim[PAIR(h, view[h])]) }
	:: atomic { phase[h] < ENDED && deaths < DEATHS ->
		deaths++; in_use = in_use - (phase[h] == RUNNING); phase[h] = DEAD }
	od
}

#ifdef REPORT_REMOVES
#define KEEP_COUNT(p) false
#else
#define KEEP_COUNT(p) counted[p]
#endif

inline receive_up(p) {
	if
	:: broken[p] && m == HELLO ->
		/* A peer whose view has another owner may still accept that
		 * owner's grant: its report does not end the recovery. */
		broken[p] = 0;
		counted[p] = is_owner[o] && (v % 2);
		report_state[p] = (REPORT_VALID(v) -> REPORTED : UNREPORTED)
	:: broken[p] && m != HELLO	/* of the closed session: ignored */
	:: !broken[p] && !is_owner[o]
	:: !broken[p] && is_owner[o] && m == ASK ->
		/* Idempotent: a repeated ASK renews its queue entry, or its
		 * existing grant is sent again with the newer round. */
		if
		:: counted[p] -> down[p]!GRANT(v)
		:: else -> queued[p] = v
		fi
	:: !broken[p] && is_owner[o] && m == WITHDRAW -> queued[p] = 0; counted[p] = 0
	:: !broken[p] && is_owner[o] && m == RELEASE -> counted[p] = 0
	:: !broken[p] && is_owner[o] && m == HELD ->
		/* Within a session a report only adds slots: it may have been
		 * sent before a grant arrived. RELEASE returns slots. */
		counted[p] = (v % 2) || KEEP_COUNT(p);
		report_state[p] = (REPORT_VALID(v) -> REPORTED : report_state[p])
	fi
}

inline flush(c) {
	do
	:: nempty(c) -> c?_,_
	:: empty(c) -> break
	od
}

/* The owner keeps its counts when a session breaks; a grant in flight may be
 * lost. */
inline break_session(p) {
	flush(up[p]);
	if
	:: down[p]?_,_
	:: true
	fi;
	broken[p] = 1;
	queued[p] = 0;
	down[p]!BREAK(epoch[o])
}

/* Each live peer has reported its slots. */
#ifdef NO_RECOVERY
#define RECOVERED(o) true
#else
#define RECOVERED(o) (report_state[PAIR(0, o)] != UNREPORTED && report_state[PAIR(1, o)] != UNREPORTED)
#endif

inline owner_steps(h) {
	if
	:: nempty(up[PAIR(h, o)]) && len(down[PAIR(h, o)]) < 5 ->
		up[PAIR(h, o)]?m,v; no_contact[PAIR(h, o)] = 0; receive_up(PAIR(h, o)); v = 0; m = 0
	:: is_owner[o] && queued[PAIR(h, o)] > 0 && len(down[PAIR(h, o)]) < 5 &&
	   counted[PAIR(0, o)] + counted[PAIR(1, o)] < SLOTS && RECOVERED(o) ->
		counted[PAIR(h, o)] = 1;
		down[PAIR(h, o)]!GRANT(queued[PAIR(h, o)]);
		queued[PAIR(h, o)] = 0
	:: breaks < BREAKS && is_owner[o] && !broken[PAIR(h, o)] && phase[h] != DEAD &&
	   len(down[PAIR(h, o)]) < 5 ->
		breaks++; break_session(PAIR(h, o))
	/* Dead: messages of the closed session are no longer accepted. */
	:: is_owner[o] && report_state[PAIR(h, o)] != GONE && phase[h] == DEAD &&
	   len(down[PAIR(h, o)]) < 5 ->
		break_session(PAIR(h, o));
		report_state[PAIR(h, o)] = GONE; counted[PAIR(h, o)] = 0
	/* Paused: the time without contact is as long as a lease, so no earlier
	 * grant can still be used. A request already running continues, and the
	 * use above SLOTS is permitted. */
	:: is_owner[o] && report_state[PAIR(h, o)] != GONE && phase[h] != DEAD &&
	   false_deaths < FALSE_DEATHS && no_contact[PAIR(h, o)] && !broken[PAIR(h, o)] && len(down[PAIR(h, o)]) < 5 ->
		false_deaths++; break_session(PAIR(h, o));
		report_state[PAIR(h, o)] = GONE; counted[PAIR(h, o)] = 0;
		overuse_permitted = overuse_permitted || phase[h] == RUNNING
	fi
}

proctype Owner(byte o) {
	mtype m;	/* type of the message being processed */
	byte v;		/* its byte */
end:	do
	:: atomic { owner_steps(0); update_overuse() }
	:: atomic { owner_steps(1); update_overuse() }
	:: atomic { o == 1 && !is_owner[1] && (!is_owner[0] || suspicions < SUSPICIONS) &&
		len(down[PAIR(0, 1)]) < 5 && len(down[PAIR(1, 1)]) < 5 ->
		epoch[1]++;
		down[PAIR(0, 1)]!CLAIM(epoch[1]);
		down[PAIR(1, 1)]!CLAIM(epoch[1]);
		suspicions = suspicions + is_owner[0];
		is_owner[1] = 1;
		overuse_permitted = overuse_permitted || is_owner[0];
		RESET_CONTACT;
		report_state[PAIR(0, 1)] = UNREPORTED; report_state[PAIR(1, 1)] = UNREPORTED }
	:: atomic { o == 1 && is_owner[1] && is_owner[0] ->
		is_owner[1] = 0;
		counted[PAIR(0, 1)] = 0; counted[PAIR(1, 1)] = 0;
		queued[PAIR(0, 1)] = 0; queued[PAIR(1, 1)] = 0 }
	/* Death: the state is lost, the grants in flight are not. */
	:: atomic { OWNER_DEATHS && o == 0 && is_owner[0] -> is_owner[0] = 0;
		counted[PAIR(0, 0)] = 0; counted[PAIR(1, 0)] = 0;
		queued[PAIR(0, 0)] = 0; queued[PAIR(1, 0)] = 0;
		flush(up[PAIR(0, 0)]); flush(up[PAIR(1, 0)]) }
	od
}

proctype Clock() {
	byte i;
end:	do
	:: atomic { ticks < TICKS ->
		ticks++;
		for (i : 0 .. HOLDERS - 1) {
			lease_expired[i] = 1;
#ifdef LEASE_FROM_RECEIPT
			grant_expired[i] = 1;
#endif
		}
		for (i : 0 .. HOLDERS * OWNERS - 1) { no_contact[i] = 1 }
		i = 0 }
	/* No request of a live holder is lost. */
	:: atomic { timeout -> assert(phase[0] >= ENDED && phase[1] >= ENDED); break }
	od
}

init {
	atomic {
		is_owner[0] = 1;
		report_state[PAIR(0, 0)] = REPORTED; report_state[PAIR(1, 0)] = REPORTED;
		run Holder(0); run Holder(1); run Owner(0); run Owner(1); run Clock()
	}
}
