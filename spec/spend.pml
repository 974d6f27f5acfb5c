/*
 * Spend: each of two listed instances starts with an empty bucket and accrues an
 * equal share of the zone's rate. It spends, lends (deducting the loan before
 * sending it), and may restart. Messages may be lost.
 *
 * Invariant: the total spend never exceeds rate times time, however often
 * instances restart. It requires that both instances divide the rate by the same
 * number of listed instances.
 *
 * Go: internal/reducer/spend.go, bucket, reserve and borrowReceived.
 *
 * check: safety -DTICKS=4 -DRESTARTS=2 -DLOANS=2
 * mutation: assertion -DFULL_AT_START | a restart grants the same allowance again
 * mutation: assertion -DSEND_BEFORE_DEDUCT | the lender spends the lent allowance before it deducts it
 * mutation: assertion -DREFUND_ON_LOSS | the lender takes back a loan that it assumes lost although it was received
 * mutation: assertion -DDIFFERENT_LISTS | one instance divides the rate by one listed instance, the other by two
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
/* The zone's rate and the share of one of two instances, in units per tick. */
#define RATE 2
#define SHARE 1

byte bucket[2];
byte spent;
byte ticks;
byte restarts = RESTARTS;
byte loans = LOANS;
/* Lent units in flight to each instance. */
byte in_flight[2];
/* Units sent but not yet deducted, and units sent whose receipt the lender does
 * not know. */
byte undeducted[2];
byte unconfirmed[2];

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
#ifdef DIFFERENT_LISTS
		bucket[0] = bucket[0] + RATE;
#else
		bucket[0] = bucket[0] + SHARE;
#endif
		bucket[1] = bucket[1] + SHARE }
	:: ticks == TICKS -> break
	od
}

proctype instance(byte i) {
end:	do
	:: spend(i)
#ifdef SEND_BEFORE_DEDUCT
	:: atomic { loans > 0 && bucket[i] > 0 && undeducted[i] == 0 ->
		loans--; in_flight[1 - i]++; undeducted[i] = 1 }
	:: atomic { undeducted[i] > 0 && bucket[i] > 0 -> bucket[i]--; undeducted[i] = 0 }
#else
	/* borrowReceived: deducts the loan before it sends the message. */
	:: atomic { loans > 0 && bucket[i] > 0 ->
		loans--; bucket[i]--; in_flight[1 - i]++; unconfirmed[i]++ }
#endif
	:: atomic { in_flight[i] > 0 -> in_flight[i]--; bucket[i]++ }
	/* The message is lost. */
	:: atomic { in_flight[i] > 0 -> in_flight[i]-- }
#ifdef REFUND_ON_LOSS
	:: atomic { unconfirmed[i] > 0 -> unconfirmed[i]--; bucket[i]++ }
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
