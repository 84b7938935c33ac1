/*
 * Requests whose servers all bear only so many, and have had their share from this instance:
 * each waits for its turn while that comes within its time, and is told at once when to come
 * back where it does not.
 */
#include "be_ring.h"
#include "clock.h"
#include "jlog.h"
#include "pace.h"
#include "rq_impl.h"

#define ANSWER_TIMES 2    /* of the usual time of an answer: some take as long */
#define LEFT_MIN_US 50000 /* never less: turns come late by some ms */
#define SPREAD_PART 4     /* those that are refused together come back over such a part of it */

/* The next turns at the service's servers, without those that get no new work. */
struct turns {
	const struct rq *r;
	int64_t now, least;
	uint32_t parts;
	struct quota_site s[PLACE_SITES_MAX];
	struct be *first; /* the one that has the next turn */
	double answer_us; /* the least of their usual times; 0: none is known */
	int n;
};

static int add_turn(struct be *b, void *arg)
{
	struct turns *t = arg;
	int64_t in_us = be_usable_in(b, t->now), wait_us;

	if (in_us == INT64_MAX || !ro_is(b, t->parts) || !rq_allows(t->r, b)) return 1;
	wait_us = pace_wait_us(b, t->r->service, t->now);
	t->s[t->n].first_us = MAX(in_us, wait_us);
	t->s[t->n].gap_us = pace_gap_us(b, t->r->service, t->now);
	if (t->s[t->n].first_us < t->least) t->first = b;
	t->least = MIN(t->least, t->s[t->n].first_us);
	if (b->answer_us > 0 && (!t->answer_us || b->answer_us < t->answer_us))
		t->answer_us = b->answer_us;
	return ++t->n < PLACE_SITES_MAX;
}

static struct turns *collect(const struct rq *r)
{
	static struct turns t;

	t.r = r;
	t.now = clock_us();
	t.least = QUOTA_NEVER;
	t.parts = ro_parts_else(r->service->name);
	t.first = NULL;
	t.answer_us = 0;
	t.n = 0;
	be_walk(r->service->name, rq_cfg->data_centre, rq_own_place(), add_turn, &t);
	return &t;
}

/* What it takes at the least after its turn has come. */
static int64_t answer_us(const struct rq *r)
{
	return MAX((int64_t)collect(r)->answer_us * ANSWER_TIMES, LEFT_MIN_US);
}

static void count(const struct rq *o, void *n)
{
	(void)o;
	(*(uint32_t *)n)++;
}

/* Microseconds until r's turn; QUOTA_NEVER: none is foreseen. first: the server that has the
 * next one. */
static int64_t turn_us(const struct rq *r, struct be **first)
{
	struct turns *t = collect(r);
	uint32_t ahead = 0;

	if (t->first) *first = t->first;
	rq_line_ahead(r, RQ_WAITS_TURN, count, &ahead);
	return quota_turn_us(t->s, t->n, ahead);
}

static int in_time(const struct rq *r, int64_t wait_us)
{
	return clock_us() + wait_us + answer_us(r) <= r->end_us;
}

static void log_held_back(const struct rq *r, struct be *b, int64_t wait_us)
{
	GString *g = jlog_begin("relay", "request_held_back");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_int(g, "wait_ms", wait_us / 1000);
	jlog_str(g, "backend", b->id);
	pace_log(g, b, r->service);
	jlog_end(g);
}

/* Where others have all of a server's requests, callers that come back find one of them. */
static void refuse(struct rq *r, const struct be *first, int64_t wait_us)
{
	int64_t spread;

	if (pace_is_others(first)) wait_us = MIN(wait_us, RETRY_LATER_US);
	spread = MIN(wait_us / SPREAD_PART, G_MAXINT32 - 1);

	rq_stop_waiting(r);
	rq_refuse(r, REF_RATE_LIMITED, wait_us + g_random_int_range(0, (gint32)spread + 1),
		  "its servers take no more from this instance within its time");
}

void rq_note_paced(const struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = turn_us(r, &first);

	if (first && wait_us && wait_us != QUOTA_NEVER) log_held_back(r, first, wait_us);
}

int rq_wait_turn(struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = turn_us(r, &first);

	if (wait_us == QUOTA_NEVER) return 0;
	log_held_back(r, first, wait_us);
	if (!in_time(r, wait_us)) {
		refuse(r, first, wait_us);
		return 1;
	}
	met_add(MET_RATE_LIMIT_WAITS, 1);
	rq_line_join(r, RQ_WAITS_TURN);
	return 1;
}

int rq_turn_try(struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = turn_us(r, &first);

	if (wait_us == QUOTA_NEVER || rq_pick(r, NULL)) {
		rq_stop_waiting(r);
		rq_place(r);
		return 1;
	}
	if (in_time(r, wait_us)) return 0;
	refuse(r, first, wait_us);
	return 1;
}
