/* Requests whose servers all limit their rate and have no send slot left for this instance:
 * each waits for a slot that comes before its deadline, or is refused at once with a time to
 * retry after. */
#include "be_ring.h"
#include "clock.h"
#include "jlog.h"
#include "pace.h"
#include "rq_impl.h"

/* Beyond the usual time of an answer, at least: slots come some ms late. */
#define SLACK_MIN_US 50000
/* Requests that are refused together retry spread over this fraction of the wait. */
#define SPREAD_DIVISOR 4

/* The next send slots at the service's servers, except servers that get no new work. */
struct send_slots {
	const struct rq *r;
	int64_t now, least;
	uint32_t roles;
	struct quota_server s[PLACE_SERVERS_MAX];
	struct be *first; /* the server with the next slot */
	int n;
};

static int add_server(struct be *b, void *arg)
{
	struct send_slots *t = arg;
	int64_t in_us = be_usable_in(b, t->now), wait_us;

	if (in_us == INT64_MAX || !rq_allows_server(t->r, b, t->roles)) return 1;
	wait_us = pace_wait_us(b, t->r->service, t->now);
	t->s[t->n].first_us = MAX(in_us, wait_us);
	t->s[t->n].gap_us = pace_gap_us(b, t->r->service, t->now);
	if (t->s[t->n].first_us < t->least) t->first = b;
	t->least = MIN(t->least, t->s[t->n].first_us);
	return ++t->n < PLACE_SERVERS_MAX;
}

static struct send_slots *collect(const struct rq *r)
{
	static struct send_slots t;

	t.r = r;
	t.now = clock_us();
	t.least = QUOTA_NEVER;
	t.roles = ro_allowed_fallback(r->service->name);
	t.first = NULL;
	t.n = 0;
	be_walk(r->service->name, rq_cfg->data_centre, rq_walk_start(), add_server, &t);
	return &t;
}

/* Time that is left for the answer after the send slot. */
static int64_t answer_us(const struct rq *r)
{
	const struct be *b = collect(r)->first;

	if (!b) return SLACK_MIN_US;
	return (int64_t)MAX(latency_most_us(&b->latency), b->latency.us + SLACK_MIN_US);
}

static void count_one(const struct rq *o, void *n)
{
	(void)o;
	(*(uint32_t *)n)++;
}

/* Microseconds until r's send slot; QUOTA_NEVER: none is predictable. first: the server that
 * has the next one. */
static int64_t send_slot_us(const struct rq *r, struct be **first)
{
	struct send_slots *t = collect(r);
	uint32_t ahead = 0;

	if (t->first) *first = t->first;
	rq_queue_ahead(r, RQ_WAIT_RATE, count_one, &ahead);
	return quota_slot_us(t->s, t->n, ahead);
}

static int in_time(const struct rq *r, int64_t wait_us)
{
	return clock_us() + wait_us + answer_us(r) <= r->end_us;
}

static void log_rate_wait(const struct rq *r, struct be *b, int64_t wait_us)
{
	GString *g = jlog_begin("relay", "request_held_back");

	jlog_str(g, "request", r->in.id);
	jlog_str(g, "service", r->service->name);
	jlog_int(g, "wait_ms", wait_us / 1000);
	jlog_str(g, "backend", b->id);
	pace_log(g, b, r->service);
	jlog_end(g);
}

/* Where other instances have the whole limit of the server, callers are to retry soon: they
 * then reach one of those. */
static void refuse(struct rq *r, const struct be *first, int64_t wait_us)
{
	int64_t spread;

	if (pace_lacks_share(first)) wait_us = MIN(wait_us, RETRY_LATER_US);
	/* A slot may be due now, and too late for r: without a time to retry after, callers
	 * would return at once. */
	wait_us = MAX(wait_us, RETRY_SOON_US);
	spread = MIN(wait_us / SPREAD_DIVISOR, G_MAXINT32 - 1);

	rq_queue_leave(r);
	rq_refuse(r, REF_RATE_LIMITED, wait_us + g_random_int_range(0, (gint32)spread + 1),
		  "its servers take no more from this instance within its time");
}

void rq_log_rate_wait(const struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = send_slot_us(r, &first);

	if (first && wait_us && wait_us != QUOTA_NEVER) log_rate_wait(r, first, wait_us);
}

int rq_wait_for_rate(struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = send_slot_us(r, &first);

	if (wait_us == QUOTA_NEVER) return 0;
	log_rate_wait(r, first, wait_us);
	if (!in_time(r, wait_us)) {
		refuse(r, first, wait_us);
		return 1;
	}
	met_add(MET_RATE_LIMIT_WAITS, 1);
	rq_queue_join(r, RQ_WAIT_RATE);
	return 1;
}

int rq_recheck_rate(struct rq *r)
{
	struct be *first = NULL;
	int64_t wait_us = send_slot_us(r, &first);

	if (wait_us == QUOTA_NEVER || rq_pick(r, NULL)) {
		rq_queue_leave(r);
		rq_place(r);
		return 1;
	}
	if (in_time(r, wait_us)) return 0;
	refuse(r, first, wait_us);
	return 1;
}
