/*
 * Spend: each of two listed instances accrues an equal part of the zone's rate
 * from an empty bucket, spends, lends by deducting first and sending then, and
 * may restart. Messages may be lost.
 *
 * Invariant: what was spent never exceeds rate times time, whatever restarts.
 * It rests on both instances dividing by the same number of listed instances.
 *
 * Go: internal/reducer/spend.go, bucket, reserve and borrowReceived.
 *
 * check: safety -DTICKS=4 -DRESTARTS=2 -DLOANS=2
 * mutation: assertion -DFULL_AT_START | a restart pays the saved allowance again
 * mutation: assertion -DSEND_FIRST | the lender spends what it has lent before it deducts
 * mutation: assertion -DCOPY_ON_LOSS | a loan that seems lost is taken back, and was received
 * mutation: assertion -DUNLIKE_LISTS | one instance divides by a list of one, the other by a list of two
 */
#ifndef TICKS
#define TICKS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LOANS
#define LOANS 1
#endif
/* The zone's rate in units a tick, and the part of one of two instances. */
#define RATE 2
#define PART 1

byte bucket[2];
byte spent;
byte ticks;
byte restarts = RESTARTS;
byte loans = LOANS;
/* Units on their way to each instance. */
byte flying[2];
/* Units sent and not yet deducted, and units of which the lender is unsure. */
byte owed[2];
byte unsure[2];

inline spend(i) {
	atomic {
		bucket[i] > 0 -> bucket[i]--; spent++;
		assert(spent <= RATE * ticks)
	}
}

active proctype clock() {
	do
	:: atomic {
		ticks < TICKS -> ticks++;
#ifdef UNLIKE_LISTS
		bucket[0] = bucket[0] + RATE;
#else
		bucket[0] = bucket[0] + PART;
#endif
		bucket[1] = bucket[1] + PART }
	:: ticks == TICKS -> break
	od
}

proctype instance(byte i) {
end:	do
	:: spend(i)
#ifdef SEND_FIRST
	:: atomic { loans > 0 && bucket[i] > 0 && owed[i] == 0 -> loans--; flying[1 - i]++; owed[i] = 1 }
	:: atomic { owed[i] > 0 && bucket[i] > 0 -> bucket[i]--; owed[i] = 0 }
#else
	/* borrowReceived: deducted before the message leaves. */
	:: atomic { loans > 0 && bucket[i] > 0 -> loans--; bucket[i]--; flying[1 - i]++; unsure[i]++ }
#endif
	:: atomic { flying[i] > 0 -> flying[i]--; bucket[i]++ }
	/* Lost on the way. */
	:: atomic { flying[i] > 0 -> flying[i]-- }
#ifdef COPY_ON_LOSS
	:: atomic { unsure[i] > 0 -> unsure[i]--; bucket[i]++ }
#endif
	:: atomic {
		restarts > 0 -> restarts--;
#ifdef FULL_AT_START
		bucket[i] = RATE
#else
		bucket[i] = 0
#endif
		}
	od
}

init { atomic { run instance(0); run instance(1) } }
