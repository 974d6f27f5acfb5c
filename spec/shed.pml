/*
 * Shedding in tier order across the instances of one side of a network
 * partition. Rank 1 is the highest tier, rank 3 the lowest.
 *
 * An instance may shed rank t, because of its own load or because a peer has
 * requested a closure, only while it has permission: it has itself closed every
 * rank below t, and each peer in its view has confirmed the same. A closure of
 * rank r refuses all waiting and new requests of rank r and below. The closure
 * starts when the confirming peer receives the request, the permission of the
 * requester when it sends the request, so the permission ends first. A peer
 * closes rank r for no longer than its own permission to shed r lasts, and
 * states the duration in the confirmation, so higher ranks reopen before lower
 * ones. Only the lowest rank needs no permission.
 *
 * Invariant: when an instance sheds rank t, no request of a lower tier waits at
 * any instance that takes callers, except at peers that the shedding instance
 * has excluded: without contact for the long timeout and since. During a
 * partition each side keeps the order by itself. After the partition a peer is
 * included again from its first message on, and every permission requires its
 * confirmation.
 *
 * Only instance 0 sheds rank 1. Times are remaining ticks, also in messages: a
 * requester determines when it sent the request from the round that the
 * confirmation echoes.
 *
 * check: safety -DLEASE=1
 * check: safety -DLEASE=2
 * mutation: assertion -DCONFIRM_BEFORE_REFUSE | a peer confirms while a request of the closed rank still waits there
 * mutation: assertion -DREADY_WITHOUT_CONTACT | a joining instance takes callers before its peers include it
 * mutation: assertion -DJOIN_WITHOUT_CLOSURES | a joining instance admits the lowest rank while a peer keeps the rank above closed
 * mutation: assertion -DPERMISSION_FROM_RECEIPT | a permission that starts at the receipt of the confirmation outlives the closure
 * mutation: assertion -DSKIP_TIER | rank 1 is shed with rank 3 closed and rank 2 open
 * mutation: assertion -DCLOSE_WITHOUT_PERMISSION | a peer sheds rank 2 on request without a permission of its own; the requester's may have ended
 * mutation: assertion -DFULL_LEASE | a closure of rank 2 outlasts the closing instance's permission to shed rank 2
 * mutation: assertion -DKEEP_PERMISSION_ON_JOIN | a permission continues without the confirmation of a peer that has reconnected
 * mutation: assertion -DACCEPT_OLD_INCARNATION | a confirmation by a peer's former incarnation is accepted for the new one
 */
#define N 2
#ifndef LEASE
#define LEASE 2			/* ticks */
#endif
#define LOWEST 3

/* Phases of an instance. */
#define OFF     0
#define JOINING 1
#define READY   2		/* takes callers */
byte phase[N];

#define PEER(i) (1 - (i))
#define AT(i, j)         ((i) * N + (j))
#define RANK(i, r)       ((i) * 2 + (r) - 2)		/* ranks 2 and 3 */
#define AT_RANK(i, j, r) (((i) * N + (j)) * 2 + (r) - 2)
bit  waiting[N * 2];		/* a request of the rank waits */
byte closed[N * 2];		/* remaining time of the closure of the rank and below */
bit  view[N * N];		/* j is a live peer in i's view */
bit  excluded[N * N];		/* i has excluded j, without contact since */
byte hello[N * N];		/* i's first message to j in flight: 1 + its closure of rank 2 */
bit  hello_seen[N * N];		/* i has received j's first message */
byte confirmed[N * N * 2];	/* remaining time of j's confirmation to i */
byte request[N * N * 2];	/* request in flight: 1 + ticks since sent; 0 none */
byte confirmation[N * N * 2];	/* confirmation in flight to i: its remaining time; 0 none */

/* Sets permission to the remaining ticks for which i may shed rank t. */
inline get_permission(i, t) {
	permission = LEASE;
	if
	:: t < LOWEST ->
#ifdef SKIP_TIER
		required = LOWEST;
#else
		required = t + 1;
#endif
		permission = closed[RANK(i, required)];
		if
		:: view[AT(i, PEER(i))] && confirmed[AT_RANK(i, PEER(i), required)] < permission ->
			permission = confirmed[AT_RANK(i, PEER(i), required)]
		:: else
		fi;
		required = 0
	:: else
	fi
}

#define HAS_WAITING(i, r) (phase[i] == READY && waiting[RANK(i, r)])
#define INCLUDES_PEER(i)  (!excluded[AT(i, PEER(i))])
/* Invariant: no request is shed while a request of a lower tier waits. */
inline shed(i, t) {
	assert(t >= LOWEST || !(HAS_WAITING(i, 3) || (INCLUDES_PEER(i) && HAS_WAITING(PEER(i), 3))));
	assert(t >= 2 || !(HAS_WAITING(i, 2) || (INCLUDES_PEER(i) && HAS_WAITING(PEER(i), 2))))
}
/* Refuses the waiting requests of rank r and below, the lowest rank first. */
inline refuse_waiting(i, r) {
	if
	:: waiting[RANK(i, 3)] -> waiting[RANK(i, 3)] = 0; shed(i, 3)
	:: else
	fi;
	if
	:: r == 2 && waiting[RANK(i, 2)] -> waiting[RANK(i, 2)] = 0; shed(i, 2)
	:: else
	fi
}

inline close(i, r, ticks) {
#ifndef CONFIRM_BEFORE_REFUSE
	refuse_waiting(i, r);
#endif
	closed[RANK(i, r)] = (ticks > closed[RANK(i, r)] -> ticks : closed[RANK(i, r)]);
	closed[RANK(i, 3)] = (ticks > closed[RANK(i, 3)] -> ticks : closed[RANK(i, 3)])
}

/* Closes rank r at i and requests it of the peer, only with permission to shed
 * rank r. */
inline request_closure(i, r) {
	get_permission(i, r);
	if
	:: permission > 0 ->
		close(i, r, permission);
		request[AT_RANK(i, PEER(i), r)] =
			(view[AT(i, PEER(i))] -> 1 : request[AT_RANK(i, PEER(i), r)])
	:: else
	fi;
	permission = 0
}

inline receive_confirmation(i, j, r) {
	confirmed[AT_RANK(i, j, r)] = confirmation[AT_RANK(i, j, r)];
	confirmation[AT_RANK(i, j, r)] = 0
}

inline receive_request(i, requester, r) {
	get_permission(i, r);
#if defined(CLOSE_WITHOUT_PERMISSION) || defined(FULL_LEASE)
#ifdef FULL_LEASE
	if
	:: permission > 0 -> permission = LEASE
	:: else
	fi;
#else
	permission = LEASE;
#endif
#endif
	if
	:: permission > 0 ->
		close(i, r, permission);
		/* The permission starts when the request is sent: the elapsed
		 * ticks are deducted. */
		confirmation[AT_RANK(requester, i, r)] =
			(permission + 1 > request[AT_RANK(requester, i, r)] ->
				permission + 1 - request[AT_RANK(requester, i, r)] : 0)
	:: else		/* not confirmed: needs its own peers' confirmations first */
	fi;
	request[AT_RANK(requester, i, r)] = 0;
	permission = 0
}

/* i receives a message of j for the first time, or again after a loss of contact:
 * confirmations of j's former session or incarnation become invalid. */
inline peer_up(i, j) {
	view[AT(i, j)] = 1;
	hello[AT(i, j)] = 1 + closed[RANK(i, 2)];
	for (k : 2 .. 3) {
#ifndef ACCEPT_OLD_INCARNATION
		confirmation[AT_RANK(i, j, k)] = 0;
#endif
#ifdef KEEP_PERMISSION_ON_JOIN
		confirmed[AT_RANK(i, j, k)] = LEASE;
#else
		confirmed[AT_RANK(i, j, k)] = 0;
#endif
		request[AT_RANK(i, j, k)] = 0
	}
	k = 0
}

/* A closure of rank 2 at a peer, which that peer must keep until it ends, also
 * binds a joining instance: it closes the rank below for as long, before it takes
 * callers. */
inline receive_hello(i, j) {
#ifndef JOIN_WITHOUT_CLOSURES
	if
	:: hello[AT(j, i)] > 1 -> close(i, LOWEST, hello[AT(j, i)] - 1)
	:: else
	fi;
#endif
	hello_seen[AT(i, j)] = 1;
	excluded[AT(j, i)] = excluded[AT(j, i)] && !view[AT(j, i)];
	hello[AT(j, i)] = 0
}

inline arrive(i, r) {
	if
	:: closed[RANK(i, r)] > 0 || (r == 3 && closed[RANK(i, 2)] > 0) -> shed(i, r)
	:: else -> waiting[RANK(i, r)] = 1
	fi
}

/* A new incarnation starts without state, and its peer drops all state about the
 * old one. */
inline reset_instance(i, j) {
	view[AT(i, j)] = 0; hello_seen[AT(i, j)] = 0; excluded[AT(i, j)] = 0; hello[AT(i, j)] = 0;
	view[AT(j, i)] = 0; hello_seen[AT(j, i)] = 0; excluded[AT(j, i)] = 0; hello[AT(j, i)] = 0;
	for (k : 2 .. 3) {
		confirmed[AT_RANK(i, j, k)] = 0;
		confirmation[AT_RANK(i, j, k)] = 0;
		request[AT_RANK(j, i, k)] = 0;
		closed[RANK(i, k)] = 0;
		waiting[RANK(i, k)] = 0
	}
	k = 0
}

proctype Instance(byte i) {
	byte j = PEER(i);
	byte k, r, permission, required;
end:	do
	:: d_step { phase[i] == READY -> r = 2; arrive(i, r); r = 0 }
	:: d_step { phase[i] == READY -> r = 3; arrive(i, r); r = 0 }
	:: waiting[RANK(i, 2)] -> waiting[RANK(i, 2)] = 0	/* served */
	:: waiting[RANK(i, 3)] -> waiting[RANK(i, 3)] = 0
	:: d_step { phase[i] == READY -> request_closure(i, 3) }
	:: d_step { phase[i] == READY && i == 0 -> r = 2; request_closure(i, r); r = 0 }
	:: d_step { phase[i] == READY && i == 0 ->
		get_permission(i, 1);
		if
		:: permission > 0 -> shed(i, 1)
		:: else
		fi;
		permission = 0 }
	:: d_step { phase[i] == READY ->
		get_permission(i, 2);
		if
		:: permission > 0 -> shed(i, 2)
		:: else
		fi;
		permission = 0 }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && request[AT_RANK(j, i, 3)] > 0 ->
		receive_request(i, j, 3) }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && request[AT_RANK(j, i, 2)] > 0 ->
		r = 2; receive_request(i, j, r); r = 0 }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && confirmation[AT_RANK(i, j, 3)] > 0 ->
		receive_confirmation(i, j, 3) }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && confirmation[AT_RANK(i, j, 2)] > 0 ->
		receive_confirmation(i, j, 2) }
	/* Without contact for the long timeout, partitioned or dead: excluded. */
	:: d_step { phase[i] != OFF && (view[AT(i, j)] || (phase[i] == JOINING && phase[j] != OFF)) ->
		view[AT(i, j)] = 0; hello[AT(i, j)] = 0; excluded[AT(i, j)] = 1;
		excluded[AT(j, i)] = excluded[AT(j, i)] || !view[AT(j, i)] || hello[AT(j, i)] > 0 }
	:: d_step { phase[i] != OFF && !view[AT(i, j)] && phase[j] != OFF -> peer_up(i, j) }
	:: d_step { phase[i] != OFF && hello[AT(j, i)] > 0 -> receive_hello(i, j) }
	/* Takes callers once each reachable peer includes it. */
	:: d_step { phase[i] == JOINING ->
#ifndef READY_WITHOUT_CONTACT
		r = phase[j] == OFF || excluded[AT(i, j)] || (hello_seen[AT(i, j)] && view[AT(i, j)]);
#else
		r = 1;
#endif
		phase[i] = (r -> READY : JOINING); r = 0 }
	:: d_step { phase[i] == OFF -> reset_instance(i, j); phase[i] = JOINING }
	:: d_step { i != 0 && phase[i] != OFF -> phase[i] = OFF; reset_instance(i, j) }
	od
}

#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)
proctype Clock() {
	byte k;
end:	do
	:: d_step {
		for (k : 0 .. N * 2 - 1) { DECREMENT(closed[k]) }
		for (k : 0 .. N * N * 2 - 1) {
			DECREMENT(confirmed[k]);
#ifndef PERMISSION_FROM_RECEIPT
			DECREMENT(confirmation[k]);
#endif
			request[k] = (request[k] > 0 && request[k] <= LEASE -> request[k] + 1 : request[k])
		}
		k = 0 }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. N - 1) { run Instance(i) }
		run Clock();
		i = 0
	}
}
