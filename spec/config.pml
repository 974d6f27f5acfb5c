/*
 * Configuration: instances adopt only newer declared files, from the platform
 * and from each other, while operators publish concurrently, reads of the
 * platform return old files, and instances restart without state.
 *
 * Files are numbered in their total order on (revision, digest): 2 and 3 have
 * the same revision and were published concurrently by two operators. BAD does
 * not pass validation. A run ends when no step can change the state any more;
 * then all instances must have the same file.
 *
 * Go: internal/reducer/adoption.go, fileOffered and requestNewerFile;
 * hasNewestFile in membership.go; declared.File.Newer.
 *
 * check: safety -DPUBLISHES=3 -DRESTARTS=2
 * mutation: assertion -DREVISION_ONLY | instances keep different files of the same revision, published concurrently
 * mutation: assertion -DADOPT_ANY | the file of the last platform read is adopted although it is older
 * mutation: assertion -DNO_VALIDATION | an invalid file comes into force
 * mutation: assertion -DREADY_EARLY | a new instance is ready with a file older than one that a peer has announced
 * mutation: assertion -DNO_EXCHANGE -DPARTITIONED=1 | an instance that cannot reach the platform keeps an old file
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
/* Number of instances that cannot reach the platform. */
#ifndef PARTITIONED
#define PARTITIONED 1
#endif

#define REVISION(f) ((f) >= 3 -> (f) - 1 : (f))
#ifdef REVISION_ONLY
#define NEWER(a, b) (REVISION(a) > REVISION(b))
#else
#define NEWER(a, b) ((a) > (b))
#endif

#ifdef NO_VALIDATION
#define VALID(f) (true)
#else
#define VALID(f) ((f) != BAD)
#endif

byte file[N];
byte announced[N];
bool ready[N];
/* A read of the platform may return any file that was ever published. */
bool published[5];
byte publishes = PUBLISHES;
byte restarts = RESTARTS;

/* Invariants: within an incarnation, the file in force is never replaced by an
 * older one, and it is never a file that fails validation. */
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

/* A read of the platform, stale or not; fileOffered adopts only a valid file
 * that is newer than the one in force. */
#ifdef ADOPT_ANY
#define OFFERED(f) (i >= PARTITIONED && published[f] && VALID(f) && (f) != file[i])
#else
#define OFFERED(f) (i >= PARTITIONED && published[f] && VALID(f) && NEWER(f, file[i]))
#endif

proctype instance(byte i) {
end:	do
	:: atomic { OFFERED(1) -> adopt(i, 1) }
	:: atomic { OFFERED(2) -> adopt(i, 2) }
	:: atomic { OFFERED(3) -> adopt(i, 3) }
	:: atomic { OFFERED(BAD) -> adopt(i, BAD) }
#ifndef NO_EXCHANGE
	/* A heartbeat of a peer announces its file; a later reply contains it. */
	:: atomic {
		(i != 0 && NEWER(file[0], announced[i])) -> announced[i] = file[0] }
	:: atomic {
		(i != 1 && NEWER(file[1], announced[i])) -> announced[i] = file[1] }
	:: atomic {
		(i != 2 && NEWER(file[2], announced[i])) -> announced[i] = file[2] }
	:: atomic {
		NEWER(announced[i], file[i]) -> adopt(i, announced[i]) }
#endif
	/* hasNewestFile: not ready with a file older than one that a peer has
	 * announced. */
	:: atomic {
		(!ready[i] && file[i] != NONE
#ifndef READY_EARLY
		&& !NEWER(announced[i], file[i])
#endif
		) -> ready[i] = true; assert(!NEWER(announced[i], file[i])) }
	:: atomic {
		restarts > 0 -> restarts--;
		file[i] = NONE; announced[i] = NONE; ready[i] = false }
	od
}

init {
	atomic {
		run instance(0);
		run instance(1);
		run instance(2)
	}
	/* No step is possible: all instances have the same file and are ready. */
	timeout;
	assert(file[0] == file[1] && file[1] == file[2]);
	assert(ready[0] && ready[1] && ready[2])
}
