/*
 * Quarantine of requests that crash the backend servers that run them, and of prompt segments
 * that do so whatever else a request holds. Both are suspects, each with a fingerprint. Finds
 * the one that caused a series of crashes among those that ran on the same servers, and decides
 * whether it may be sent again. A pure table: crashes, successful runs and verdicts of other
 * instances go in with their times, decisions come out. There is no coordination; two instances
 * with the same evidence come to the same verdict.
 *
 * A request is quarantined if at least three servers crashed under it, none of its runs
 * succeeded, and chance does not explain that. These crashes don't count against a request:
 * - crashes before one of its runs succeeded, or shortly after: a frequent request runs on
 * each server that crashes, but also succeeds elsewhere all the time;
 * - crashes simultaneous with others where it did not run: they have another cause;
 * - crashes under a request that is quarantined already: those that ran beside it did not
 * cause them.
 * The others are weighted by how long the request had run there: a request that crashes
 * servers does so soon after its start, while a server that crashes for another reason
 * interrupts long runs more often than short ones. A segment counts with the sum over its runs
 * there, so that of two that ran on the same servers the rarer one is blamed.
 *
 * A segment is quarantined only if servers crashed under two requests with it; while it is
 * always the same one, that request is blamed.
 */
#ifndef SH_QUAR_H
#define SH_QUAR_H
#include "fp.h"

/* Crashes kept, the latest: as many as a large fleet has in a bad minute. */
#define QUAR_CRASH_LOG 512
/* Maximum number of suspects. When it is reached those with the fewest crashes are evicted, the
 * oldest first, and quarantined ones last. If a sixth of 120 engines crashes at once there are
 * some 500 suspects. */
#define QUAR_SUSPECTS 1024
/* Crashes kept per request, the latest; five are enough for any decision */
#define QUAR_RUNS 8
#define QUAR_NAME 128    /* size that holds any name of the fleet, terminator included */
#define QUAR_THRESHOLD 3 /* crashes after which a request may be quarantined */
/* A successful run also excuses crashes up to this much later: a frequent request succeeds more
 * often than that, and reports take a moment to reach all instances. Microseconds. */
#define QUAR_SUCCESS_US 2000000
/* The same while no other instance is heard: the request may come through elsewhere, and what
 * runs elsewhere may crash the servers. */
#define QUAR_CUT_OFF_SUCCESS_US 10000000

/* A crash of one incarnation of a server. */
struct quar_crash {
	char server[QUAR_NAME], seen_by[QUAR_NAME];
	int64_t incarnation_ms; /* start of the incarnation, Unix ms; 0: not tracked */
	int64_t at_us;          /* when it was first reported */
	uint32_t attributed_to; /* hash of a quarantined suspect that ran there; 0: none */
};

struct quar_run {
	uint32_t crash;   /* serial number of the crash */
	int64_t at_us;    /* time of that crash */
	int64_t ran_us;   /* time since it was sent there; of a segment: sum of its runs */
	uint32_t request; /* of a segment: hash of a request with it that ran there; else 0 */
};

struct quar_suspect {
	struct fp fp;
	struct quar_run run[QUAR_RUNS]; /* oldest first */
	int nruns;
	int64_t success_us;      /* when a run of it last succeeded, or was seen to have run for
				    long; 0: never */
	uint32_t round, cleared; /* quarantined while round > cleared; both only increase */
	int64_t quarantined_us;  /* start of the last quarantine */
	int cut_off;             /* that was decided while no other instance was heard */
};

struct quar;
struct quar *quar_new(void);
void quar_free(struct quar *q);
/* Whether there are no suspects, which is the usual case. */
int quar_empty(const struct quar *q);

/* ---- evidence; times are microseconds of this instance's clock ---- */
/* Records a crash and returns its serial number; the same one if it was reported before. */
uint32_t quar_add_crash(struct quar *q, const char *server, int64_t incarnation_ms,
			const char *seen_by, int64_t at_us);
/* When that incarnation of the server crashed; 0: not that is known. */
int64_t quar_crash_time(const struct quar *q, const char *server, int64_t incarnation_ms);
/* Records that the request had run there for ran_us when the server crashed. Returns 1 if that
 * is new. */
int quar_add_run(struct quar *q, const struct fp *fp, uint32_t crash, int64_t ran_us);
/* The same for a segment: ran_us is the sum over its runs there, request one of those with it.
 */
int quar_add_segment_run(struct quar *q, const struct fp *fp, uint32_t crash, int64_t ran_us,
			 const struct fp *request);
/* Records a successful run of the request. Returns 1 if that changes what counts against it, 2
 * if it ends its quarantine, otherwise 0. */
int quar_add_success(struct quar *q, const struct fp *fp, int64_t at_us);

/* ---- verdicts ---- */
/* Quarantines the requests that caused crashes, given the number of servers. Crashes after
 * settled_us are not used yet, as more reports about them may arrive. Calls report for each new
 * quarantine, and for each that a better explanation ends. */
void quar_judge(struct quar *q, uint32_t servers, int64_t settled_us, int64_t now_us,
		void (*report)(const struct quar_suspect *s, void *arg), void *arg);
/* Crashes before since_us are not judged: this instance may not know all reports about them. */
void quar_judge_since(struct quar *q, int64_t since_us);
/* Whether other instances are running, as far as is known, and none is heard. */
void quar_set_cut_off(struct quar *q, int cut_off);
/* Merges a verdict of another instance. Returns 1 if it changed the local one. */
int quar_merge(struct quar *q, const struct fp *fp, uint32_t round, uint32_t cleared,
	       int64_t quarantined_us);
/* Ends a quarantine that a success known here refutes: the instance that began it may not have
 * known it. Returns 1 if it did. */
int quar_refute(struct quar *q, const struct fp *fp);
/* Ends a quarantine by order of an operator. Returns 0, or -ENOENT if the request is not
 * quarantined. */
int quar_clear(struct quar *q, const struct fp *fp, int64_t now_us);

/* ---- admission ---- */
enum quar_action { /* the strictest last */
		   QUAR_ALLOW,
		   QUAR_TRIAL, /* its quarantine has run out: this one run tests the verdict */
		   QUAR_WAIT,  /* runs of it are in flight that may crash servers: not now */
		   QUAR_REFUSE /* quarantined: not again */
};
/* in_flight: other runs of it without an answer yet, over all instances. */
enum quar_action quar_check(const struct quar *q, const struct fp *fp, uint32_t in_flight,
			    int64_t now_us);

/* ---- queries ---- */
/* Returns NULL if it is no suspect. Valid until the next change. */
const struct quar_suspect *quar_find(const struct quar *q, const struct fp *fp);
/* Number of crashes that count against it now. */
int quar_count(const struct quar *q, const struct quar_suspect *s);
int quar_is_quarantined(const struct quar_suspect *s);
/* When a quarantined request may be tried again. */
int64_t quar_until_us(const struct quar_suspect *s);
const struct quar_crash *quar_crash_of(const struct quar *q, uint32_t crash);
void quar_each(const struct quar *q, void (*f)(const struct quar_suspect *s, void *arg),
	       void *arg);
/* Equal for tables with the same verdicts, 0 without any. */
uint64_t quar_digest(const struct quar *q);

/* ---- internal ---- */
/* What counts against a suspect, in one pass of quar_judge. */
struct quar_evidence {
	uint8_t counts[QUAR_RUNS]; /* which of its runs */
	int n;
	double log_chance; /* natural logarithm of its probability by chance */
};

struct quar {
	struct quar_crash crash[QUAR_CRASH_LOG];
	uint32_t ncrashes; /* serial number of the next crash */
	struct quar_suspect *suspect;
	uint32_t n;
	int cut_off;                        /* see quar_set_cut_off */
	int64_t since_us;                   /* crashes before are not judged */
	int64_t settled_us;                 /* set during quar_judge, as what follows */
	struct quar_evidence *evidence;     /* of each suspect */
	uint32_t in_window[QUAR_CRASH_LOG]; /* crashes about the time of each crash */
};
void quar_weigh(struct quar *q, uint32_t servers);
/* Its run on the server that crashed, or NULL. */
const struct quar_run *quar_run_on(const struct quar_suspect *s, uint32_t crash);
/* Whether s ran on each server that crashed under o, of which enough are known. */
int quar_covers(const struct quar_suspect *s, const struct quar_suspect *o);
/* Finds the request among all suspects, or adds it. */
struct quar_suspect *quar_suspect_of(struct quar *q, const struct fp *fp);
/* Attributes the crashes under it to it, so that they don't count against others; or no longer.
 */
void quar_attribute(struct quar *q, const struct quar_suspect *s, int attributed);
/* Ends its quarantine. */
void quar_release(struct quar *q, struct quar_suspect *s);
/* Of a fingerprint; never 0. */
uint32_t quar_hash(const struct fp *fp);
#endif
