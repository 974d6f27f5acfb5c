/*
 * Configuration: instances adopt declared files upwards only, from the platform
 * and from each other, while operators race, the platform is stale, and
 * instances restart with nothing.
 *
 * Files are numbered in their total order on (revision, digest): 2 and 3 have
 * one revision and were published by racing operators. BAD does not pass
 * validation. A run ends when nothing can change any more; then all instances
 * must have the same file.
 *
 * Go: internal/reducer/adoption.go, fileOffered and compareFile; hasNewest in
 * membership.go; declared.File.Newer.
 *
 * check: safety -DPUBLISHES=3 -DRESTARTS=2
 * mutation: assertion -DREVISION_ONLY | racing operators' files of one revision stay different
 * mutation: assertion -DADOPT_ANY | what the platform says last comes into force, and it reverts
 * mutation: assertion -DNO_VALIDATION | a bad file comes into force
 * mutation: assertion -DREADY_EARLY | a fresh instance is ready with a file older than a peer's it has heard of
 * mutation: assertion -DNO_EXCHANGE -DCUT=1 | an instance that the platform cannot reach stays behind
 */
#define N    3
#define NONE 0
#define BAD  4
#ifndef PUBLISHES
#define PUBLISHES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
/* So many instances cannot reach the platform. */
#ifndef CUT
#define CUT 1
#endif

#define REVISION(f) ((f) >= 3 -> (f) - 1 : (f))
#ifdef REVISION_ONLY
#define ABOVE(a, b) (REVISION(a) > REVISION(b))
#else
#define ABOVE(a, b) ((a) > (b))
#endif

#ifdef NO_VALIDATION
#define VALID(f) (true)
#else
#define VALID(f) ((f) != BAD)
#endif

byte file[N];
byte heard[N];
bool ready[N];
/* The platform may still show any value that was ever published. */
bool published[5];
byte publishes = PUBLISHES;
byte restarts = RESTARTS;

/* The invariants: what is in force never goes back within an incarnation, and
 * is never a file that fails validation. */
inline adopt(i, f) {
	assert(f >= file[i]);
	assert(f != BAD);
	file[i] = f
}

active proctype operators() {
	published[1] = true;
	do
	:: publishes > 0 ->
		atomic {
			publishes--;
			if
			:: published[1] = true
			:: published[2] = true
			:: published[3] = true
			:: published[BAD] = true
			fi
		}
	:: publishes == 0 -> break
	od
}

/* A read of the platform, stale or not; fileOffered takes only what is above
 * and valid. */
#ifdef ADOPT_ANY
#define OFFERED(f) (i >= CUT && published[f] && VALID(f) && (f) != file[i])
#else
#define OFFERED(f) (i >= CUT && published[f] && VALID(f) && ABOVE(f, file[i]))
#endif

proctype instance(byte i) {
end:	do
	:: atomic { OFFERED(1) -> adopt(i, 1) }
	:: atomic { OFFERED(2) -> adopt(i, 2) }
	:: atomic { OFFERED(3) -> adopt(i, 3) }
	:: atomic { OFFERED(BAD) -> adopt(i, BAD) }
#ifndef NO_EXCHANGE
	/* A heartbeat of a peer announces its file; the reply brings it later. */
	:: atomic {
		(i != 0 && ABOVE(file[0], heard[i])) -> heard[i] = file[0] }
	:: atomic {
		(i != 1 && ABOVE(file[1], heard[i])) -> heard[i] = file[1] }
	:: atomic {
		(i != 2 && ABOVE(file[2], heard[i])) -> heard[i] = file[2] }
	:: atomic {
		ABOVE(heard[i], file[i]) -> adopt(i, heard[i]) }
#endif
	/* hasNewest: not ready below what a peer has announced. */
	:: atomic {
		(!ready[i] && file[i] != NONE
#ifndef READY_EARLY
		&& !ABOVE(heard[i], file[i])
#endif
		) -> ready[i] = true; assert(!ABOVE(heard[i], file[i])) }
	:: atomic {
		restarts > 0 -> restarts--;
		file[i] = NONE; heard[i] = NONE; ready[i] = false }
	od
}

init {
	atomic {
		run instance(0);
		run instance(1);
		run instance(2)
	}
	/* Nothing can change any more: all have the same file, and are ready. */
	timeout;
	assert(file[0] == file[1] && file[1] == file[2]);
	assert(ready[0] && ready[1] && ready[2])
}
