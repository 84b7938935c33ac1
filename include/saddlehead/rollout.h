/*
 * A service's new version is brought in: a bounded part of the requests goes to it first
 * (canary), its answers are compared with those of the old version in the same seconds, and it
 * takes over or is rolled back. Pure functions; counts of all instances are added up by the
 * caller.
 */
#ifndef SADDLEHEAD_ROLLOUT_H
#define SADDLEHEAD_ROLLOUT_H
#include <stdint.h>

/* Only rises: of two words on one order the higher one holds. */
enum rollout_stage {
	ROLLOUT_UNKNOWN,     /* ordered, and not yet known how far it is: nothing goes there */
	ROLLOUT_CANARY,      /* a bounded part of the requests goes there */
	ROLLOUT_SHIFT,       /* found good: all new requests go there */
	ROLLOUT_ROLLED_BACK, /* found bad: nothing goes there any more */
	ROLLOUT_COMPLETED,   /* the old version's servers are stopped */
	ROLLOUT_STAGES
};

enum rollout_side { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES };

/* ---- evidence: rollout_judge.c ---- */

#define ROLLOUT_TIMES 18 /* classes of the time of an answer, from 5 ms to 5 s */
#define ROLLOUT_ROUTES 8 /* told apart; the rest are counted together as the last one */

struct rollout_count {
	uint32_t answers, bad; /* bad ones among the answers */
	uint32_t times[ROLLOUT_TIMES];
};

struct rollout_route {
	uint32_t key; /* any number of the caller's that names the route */
	struct rollout_count of[ROLLOUT_SIDES];
};

struct rollout_tally {
	struct rollout_route route[ROLLOUT_ROUTES];
	int n;
};

/* An exchange ended. took_us: until its answer (of a stream: its first event); negative: that
 * tells nothing of the version, as its server was cold. */
void rollout_note(struct rollout_tally *t, uint32_t route, enum rollout_side side, int bad,
		  int64_t took_us);
void rollout_add(struct rollout_tally *sum, const struct rollout_tally *t);

enum rollout_verdict { ROLLOUT_OPEN, ROLLOUT_GOOD, ROLLOUT_BAD };

/* What a verdict rests on: of one route, or of all (route 0). */
struct rollout_reason {
	uint32_t route;
	int slow; /* by times, not by bad answers */
	uint32_t new_bad, new_all, old_bad, old_all;
};

/* Compares the new version's answers with the old one's. ROLLOUT_GOOD needs enough answers on
 * each route that is used; with last set (its time is nearly over), fewer. */
enum rollout_verdict rollout_judge(const struct rollout_tally *t, int last,
				   struct rollout_reason *why);

/* ---- stages: rollout.c ---- */

/* Parts of an order's time. */
#define ROLLOUT_JUDGED_PART 0.55 /* it stays a canary until then: some turn bad late */
#define ROLLOUT_LAST_PART 0.75   /* from then on less evidence will do */
#define ROLLOUT_MOVE_PART 0.8    /* streams that still run at the old version move */
#define ROLLOUT_DONE_PART 0.93   /* the old version ends, whatever runs there */

struct rollout_state {
	enum rollout_stage stage;
	int64_t age_us, for_us; /* since the order; its time */
	int64_t shifted_us;     /* since the shift began */
	enum rollout_verdict verdict;
	uint32_t old_runs; /* exchanges at the old version's servers, of all instances */
};

/* The stage that follows now. */
enum rollout_stage rollout_next(const struct rollout_state *s);
/* Whether what still runs at the old version's servers is to move off them. */
int rollout_moves_off(const struct rollout_state *s);

/* What one instance has sent to the service since the order. */
struct rollout_use {
	uint64_t requests, exposed; /* exposed: those that went to the new version */
};

/* Whether it may send one more to a canary. slack: this instance's part of the fleet's. The sum
 * over all instances stays within share x requests + slack, as each keeps to its own. */
int rollout_may_expose(const struct rollout_use *u, double share, double slack);
#endif
