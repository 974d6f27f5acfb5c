/*
 * Shedding in tier order across the instances of one side of a cut. Rank 1 is
 * the highest tier, rank 3 the lowest.
 *
 * An instance may shed rank t, for its own load or because a peer asked it to
 * close, only while it holds a right: it has itself closed every rank below t
 * and each peer in its view has confirmed the same. A closure of rank r refuses
 * everything of rank r and below, waiting or new. The confirmer counts its
 * closure from the receipt of the request, the asker its right from the moment
 * of asking, so the right ends first. A confirmer closes rank r no longer than
 * its own right to shed r lasts, and says for how long: so the floor comes down
 * in the opposite order. Only the lowest rank needs no right.
 *
 * Promise: when an instance sheds rank t, nothing lower waits at any instance
 * that takes callers, except at those that the shedding one has left out: not
 * heard for the long timeout, and not heard again since. Under a cut each side
 * keeps the order by itself; after the cut a peer counts again from its first
 * message, and all rights wait for its confirmation.
 *
 * Instance 0 alone sheds rank 1. Times are remaining ticks, also in messages:
 * an asker remembers when it asked, by the round that the answer echoes.
 *
 * check: safety -DLEASE=1
 * check: safety -DLEASE=2
 * mutation: assertion -DCONFIRM_FIRST | confirmed while something of the closed rank still waits
 * mutation: assertion -DJOIN_UNMET | a joining instance takes callers before its peers count it
 * mutation: assertion -DJOIN_UNLEARNED | a joining instance admits the lowest rank while a peer is bound to refuse the one above
 * mutation: assertion -DRIGHT_FROM_RECEIPT | the right counted from the receipt of the confirmation outlives the closure
 * mutation: assertion -DSKIP_TIER | rank 1 is shed with rank 3 closed and rank 2 open
 * mutation: assertion -DCLOSE_ON_REQUEST | a peer sheds rank 2 on the asker's word, which is old
 * mutation: assertion -DFULL_LEASE | a closure of rank 2 outlasts its holder's right to shed rank 2
 * mutation: assertion -DKEEP_RIGHT_ON_JOIN | a right goes on without the confirmation of a peer that came back
 * mutation: assertion -DOLD_INCARNATION | a confirmation of a peer's former incarnation counts for the new one
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
#define AT(i, j) ((i) * N + (j))
#define RANK(i, r) ((i) * 2 + (r) - 2)		/* ranks 2 and 3 */
#define MSG(i, j, r) (((i) * N + (j)) * 2 + (r) - 2)
bit  waiting[N * 2];		/* something of the rank waits */
byte closed[N * 2];		/* remaining closure of the rank and below */
bit  view[N * N];		/* i counts j as a live peer */
bit  left_out[N * N];		/* i has left j out and not heard it since */
byte hello[N * N];		/* i's first message to j under way: 1 + its closure of rank 2 */
bit  met[N * N];		/* i has received it from j */
byte confirmed[N * N * 2];	/* remaining confirmation by j, held by i */
byte asking[N * N * 2];		/* request under way: 1 + ticks since sent; 0 none */
byte answer[N * N * 2];		/* confirmation under way to i: what remains of it; 0 none */

/* The right of i to shed rank t, in remaining ticks. */
inline right_to_shed(i, t) {
	right = LEASE;
	if
	:: t < LOWEST ->
#ifdef SKIP_TIER
		need = LOWEST;
#else
		need = t + 1;
#endif
		right = closed[RANK(i, need)];
		if
		:: view[AT(i, PEER(i))] && confirmed[MSG(i, PEER(i), need)] < right ->
			right = confirmed[MSG(i, PEER(i), need)]
		:: else
		fi;
		need = 0
	:: else
	fi
}

#define WAITS(i, r) (phase[i] == READY && waiting[RANK(i, r)])
#define COUNTS(i)   (!left_out[AT(i, PEER(i))])
/* The invariant: a higher tier is never shed before a lower one. */
inline shed(i, t) {
	assert(t >= LOWEST || !(WAITS(i, 3) || (COUNTS(i) && WAITS(PEER(i), 3))));
	assert(t >= 2 || !(WAITS(i, 2) || (COUNTS(i) && WAITS(PEER(i), 2))))
}
/* Refuses what waits of rank r and below, the lowest first. */
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
#ifndef CONFIRM_FIRST
	refuse_waiting(i, r);
#endif
	closed[RANK(i, r)] = (ticks > closed[RANK(i, r)] -> ticks : closed[RANK(i, r)]);
	closed[RANK(i, 3)] = (ticks > closed[RANK(i, 3)] -> ticks : closed[RANK(i, 3)])
}

/* Closes own rank r and asks the peers: only with a right to shed rank r. */
inline ask(i, r) {
	right_to_shed(i, r);
	if
	:: right > 0 ->
		close(i, r, right);
		asking[MSG(i, PEER(i), r)] = (view[AT(i, PEER(i))] -> 1 : asking[MSG(i, PEER(i), r)])
	:: else
	fi;
	right = 0
}

inline receive_answer(i, j, r) {
	confirmed[MSG(i, j, r)] = answer[MSG(i, j, r)];
	answer[MSG(i, j, r)] = 0
}

inline receive_ask(i, from, r) {
	right_to_shed(i, r);
#if defined(CLOSE_ON_REQUEST) || defined(FULL_LEASE)
#ifdef FULL_LEASE
	if
	:: right > 0 -> right = LEASE
	:: else
	fi;
#else
	right = LEASE;
#endif
#endif
	if
	:: right > 0 ->
		close(i, r, right);
		/* The asker counts from asking: what has passed is off. */
		answer[MSG(from, i, r)] =
			(right + 1 > asking[MSG(from, i, r)] -> right + 1 - asking[MSG(from, i, r)] : 0)
	:: else		/* not confirmed: asks its own peers first */
	fi;
	asking[MSG(from, i, r)] = 0;
	right = 0
}

/* i hears j for the first time, or again: nothing that j's former session or
 * incarnation confirmed counts any more. */
inline peer_up(i, j) {
	view[AT(i, j)] = 1;
	hello[AT(i, j)] = 1 + closed[RANK(i, 2)];
	for (k : 2 .. 3) {
#ifndef OLD_INCARNATION
		answer[MSG(i, j, k)] = 0;
#endif
#ifdef KEEP_RIGHT_ON_JOIN
		confirmed[MSG(i, j, k)] = LEASE;
#else
		confirmed[MSG(i, j, k)] = 0;
#endif
		asking[MSG(i, j, k)] = 0
	}
	k = 0
}

/* A closure of rank 2 that its holder may not break covers the newcomer too:
 * it closes the rank below for as long, before it takes callers. */
inline receive_hello(i, j) {
#ifndef JOIN_UNLEARNED
	if
	:: hello[AT(j, i)] > 1 -> close(i, LOWEST, hello[AT(j, i)] - 1)
	:: else
	fi;
#endif
	met[AT(i, j)] = 1;
	left_out[AT(j, i)] = left_out[AT(j, i)] && !view[AT(j, i)];
	hello[AT(j, i)] = 0
}

inline arrive(i, r) {
	if
	:: closed[RANK(i, r)] > 0 || (r == 3 && closed[RANK(i, 2)] > 0) -> shed(i, r)
	:: else -> waiting[RANK(i, r)] = 1
	fi
}

/* A new incarnation knows nothing, and nothing is known of it. */
inline forget(i, j) {
	view[AT(i, j)] = 0; met[AT(i, j)] = 0; left_out[AT(i, j)] = 0; hello[AT(i, j)] = 0;
	view[AT(j, i)] = 0; met[AT(j, i)] = 0; left_out[AT(j, i)] = 0; hello[AT(j, i)] = 0;
	for (k : 2 .. 3) {
		confirmed[MSG(i, j, k)] = 0;
		answer[MSG(i, j, k)] = 0;
		asking[MSG(j, i, k)] = 0;
		closed[RANK(i, k)] = 0;
		waiting[RANK(i, k)] = 0
	}
	k = 0
}

proctype Instance(byte i) {
	byte j = PEER(i);
	byte k, r, right, need;
end:	do
	:: d_step { phase[i] == READY -> r = 2; arrive(i, r); r = 0 }
	:: d_step { phase[i] == READY -> r = 3; arrive(i, r); r = 0 }
	:: waiting[RANK(i, 2)] -> waiting[RANK(i, 2)] = 0	/* served */
	:: waiting[RANK(i, 3)] -> waiting[RANK(i, 3)] = 0
	:: d_step { phase[i] == READY -> ask(i, 3) }
	:: d_step { phase[i] == READY && i == 0 -> r = 2; ask(i, r); r = 0 }
	:: d_step { phase[i] == READY && i == 0 ->
		right_to_shed(i, 1);
		if
		:: right > 0 -> shed(i, 1)
		:: else
		fi;
		right = 0 }
	:: d_step { phase[i] == READY ->
		right_to_shed(i, 2);
		if
		:: right > 0 -> shed(i, 2)
		:: else
		fi;
		right = 0 }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && asking[MSG(j, i, 3)] > 0 -> receive_ask(i, j, 3) }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && asking[MSG(j, i, 2)] > 0 -> r = 2; receive_ask(i, j, r); r = 0 }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && answer[MSG(i, j, 3)] > 0 -> receive_answer(i, j, 3) }
	:: d_step { phase[i] != OFF && view[AT(i, j)] && answer[MSG(i, j, 2)] > 0 -> receive_answer(i, j, 2) }
	/* Suspected for the long timeout, cut off or dead: left out. */
	:: d_step { phase[i] != OFF && (view[AT(i, j)] || (phase[i] == JOINING && phase[j] != OFF)) ->
		view[AT(i, j)] = 0; hello[AT(i, j)] = 0; left_out[AT(i, j)] = 1;
		left_out[AT(j, i)] = left_out[AT(j, i)] || !view[AT(j, i)] || hello[AT(j, i)] > 0 }
	:: d_step { phase[i] != OFF && !view[AT(i, j)] && phase[j] != OFF -> peer_up(i, j) }
	:: d_step { phase[i] != OFF && hello[AT(j, i)] > 0 -> receive_hello(i, j) }
	/* Takes callers once each peer that can be reached counts on it. */
	:: d_step { phase[i] == JOINING ->
#ifndef JOIN_UNMET
		r = phase[j] == OFF || left_out[AT(i, j)] || (met[AT(i, j)] && view[AT(i, j)]);
#else
		r = 1;
#endif
		phase[i] = (r -> READY : JOINING); r = 0 }
	:: d_step { phase[i] == OFF -> forget(i, j); phase[i] = JOINING }
	:: d_step { i != 0 && phase[i] != OFF -> phase[i] = OFF; forget(i, j) }
	od
}

#define LESS(x) x = (x > 0 -> x - 1 : 0)
proctype Clock() {
	byte k;
end:	do
	:: d_step {
		for (k : 0 .. N * 2 - 1) { LESS(closed[k]) }
		for (k : 0 .. N * N * 2 - 1) {
			LESS(confirmed[k]);
#ifndef RIGHT_FROM_RECEIPT
			LESS(answer[k]);
#endif
			asking[k] = (asking[k] > 0 && asking[k] <= LEASE -> asking[k] + 1 : asking[k])
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
