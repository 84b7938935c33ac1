/*
 * Rollout of a new version of a service: first a bounded share of the requests goes to it
 * (canary), and its answers are compared with those of the old version in the same period;
 * then it takes over or is rolled back. Pure functions; the caller adds up the counts of all
 * instances.
 */
#ifndef SADDLEHEAD_ROLLOUT_H
#define SADDLEHEAD_ROLLOUT_H
#include <stdint.h>

/* Only increases: of two reports on one order the higher stage holds. */
enum rollout_stage {
	ROLLOUT_UNKNOWN,     /* ordered, current stage unknown: no requests go there */
	ROLLOUT_CANARY,      /* a bounded share of the requests goes there */
	ROLLOUT_SHIFT,       /* judged good: all new requests go there */
	ROLLOUT_ROLLED_BACK, /* judged bad: no requests go there any more */
	ROLLOUT_COMPLETED,   /* the old version's servers are stopped */
	ROLLOUT_STAGES
};

enum rollout_side { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES };

/* ---- evidence: rollout_judge.c ---- */

#define ROLLOUT_TIMES 18 /* histogram classes of answer times, from 5 ms to 5 s */
#define ROLLOUT_ROUTES 8 /* counted separately; further ones are added to the last */

struct rollout_count {
	uint32_t answers, bad; /* bad: failed ones among the answers */
	uint32_t times[ROLLOUT_TIMES];
};

struct rollout_route {
	uint32_t key; /* any number that identifies the route to the caller */
	struct rollout_count of[ROLLOUT_SIDES];
};

struct rollout_tally {
	struct rollout_route route[ROLLOUT_ROUTES];
	int n;
};

/* Records the end of an exchange. took_us: time to its answer (of a stream: to its first
 * event); negative if it must not be counted because the server was cold. */
void rollout_record(struct rollout_tally *t, uint32_t route, enum rollout_side side, int bad,
		    int64_t took_us);
void rollout_add(struct rollout_tally *sum, const struct rollout_tally *t);

enum rollout_verdict { ROLLOUT_OPEN, ROLLOUT_GOOD, ROLLOUT_BAD };

/* Counts behind a verdict: of one route, or of all (route 0). */
struct rollout_reason {
	uint32_t route;
	int slow; /* judged by answer times, not by failed answers */
	uint32_t new_bad, new_all, old_bad, old_all;
};

/* Compares the answers of both versions. ROLLOUT_GOOD needs enough answers on each route in
 * use; fewer are enough if last is set (the order's time is nearly over). */
enum rollout_verdict rollout_judge(const struct rollout_tally *t, int last,
				   struct rollout_reason *why);

/* ---- stages: rollout.c ---- */

/* Deadlines of stages, as fractions of the order's time. */
#define ROLLOUT_JUDGED_PART 0.55 /* it stays a canary until then: some versions fail late */
#define ROLLOUT_LAST_PART 0.75   /* from then on less evidence is enough */
#define ROLLOUT_MOVE_PART 0.8    /* streams on the old version are moved */
/* The old version is stopped even if requests still run there. */
#define ROLLOUT_DONE_PART 0.93

struct rollout_state {
	enum rollout_stage stage;
	int64_t age_us, duration_us; /* time since the order; time allowed for it */
	int64_t shifted_us;          /* since ROLLOUT_SHIFT began */
	enum rollout_verdict verdict;
	uint32_t old_runs; /* exchanges in flight at the old version's servers, from all
			      instances */
};

/* Returns the next stage. */
enum rollout_stage rollout_next(const struct rollout_state *s);
/* Whether requests on the old version's servers have to be moved away. */
int rollout_must_move(const struct rollout_state *s);

/* Requests of one instance to the service since the order. */
struct rollout_use {
	uint64_t requests, exposed; /* exposed: those sent to the new version */
};

/* Whether it may send one more request to a canary. slack: this instance's part of the fleet's
 * slack. As each instance keeps to its bound the fleet stays within share * requests + slack.
 */
int rollout_may_expose(const struct rollout_use *u, double share, double slack);
#endif
