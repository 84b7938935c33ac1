/* Chooses the backend server for a request, for a move of its memory, and for its replica. */
#include "be_ring.h"
#include "clock.h"
#include "mesh.h"
#include "met.h"
#include "pace.h"
#include "ro.h"
#include "rq_impl.h"
#include <math.h>
#include <string.h>

#define REPLICA_PERCENT 90 /* of an engine's memory: replicas are not evicted for requests */
#define RATE_US \
	2000000 /* averaging time of the rate at which this instance sends generations */
/* Delay until others learn of a send: it is batched for 1 ms, crosses between data centres in
 * some ms, and is read when its receiver gets to it. */
#define LOAD_DELAY_US 10000

struct be_load rq_total_load(const struct be *b)
{
	return (struct be_load){.runs = b->own.runs + b->others.runs,
				.prefill = b->own.prefill + b->others.prefill,
				.forecast = b->own.forecast + b->others.forecast,
				.replicas = b->own.replicas + b->others.replicas,
				.used = b->own.used + b->others.used,
				.inbound = b->own.inbound + b->others.inbound};
}

int rq_region_allowed(const struct rq *r, const struct be *b)
{
	return conf_allows(r->route, r->group, b->region);
}

/* Whether b is in another region than dc; 0 if either region is unknown. */
static int in_other_region(const struct be *b, const char *dc)
{
	const char *region = be_region_of(dc);

	return region && b->region && strcmp(region, b->region) != 0;
}

int64_t rq_usable_in(struct be *b, const struct rq *r, int64_t now)
{
	int64_t in_us = be_usable_in(b, now), wait_us;

	if (in_us == INT64_MAX || !rq_allows_server(r, b, r->rollout_roles)) return INT64_MAX;
	wait_us = pace_wait_us(b, r->service, now);
	return MAX(in_us, wait_us);
}

void rq_fill_server(struct place_server *s, struct be *b, const struct rq *r, const char *dc,
		    int64_t now)
{
	struct be_load all = rq_total_load(b);

	*s = (struct place_server){
		.usable = rq_usable_in(b, r, now) == 0,
		.same_dc = !strcmp(b->dc, dc),
		.other_region = in_other_region(b, dc),
		.slots = b->slots,
		.runs = all.runs,
		.prefill = all.prefill,
		.forecast = all.forecast,
		.replicas = all.replicas,
		.used = all.used,
		.tokens = r->service->tokens,
		.inbound = all.inbound,
		.latency_us = b->latency.us,
		.uncertainty = latency_uncertainty(&b->latency, now),
	};
}

/* Candidates without free memory that a choice may hold; the remaining places are for others.
 */
#define FULL_SERVERS_MAX (PLACE_SERVERS_MAX * 3 / 4)

/* Candidates of one choice. */
struct choice {
	const struct rq *r;
	const struct place_job *job;
	const char *dc;          /* near candidates are in this data centre */
	const struct be *except; /* or NULL */
	/* Takes over the memory of a run there, so that the versions must be the same; or NULL.
	 */
	const struct be *memory_of;
	int64_t now;
	int last_resort; /* no server is usable: take those allowed as a last resort */
	struct place_server s[PLACE_SERVERS_MAX];
	struct be *at[PLACE_SERVERS_MAX];
	int n, full;
	int passed_over[PACE_WHYS];
};

uint32_t rq_walk_start(void)
{
	return g_str_hash(rq_cfg->ip) * 2654435761u;
}

static int is_candidate(struct choice *c, struct be *b, struct place_server *s)
{
	if (b == c->except) return 0;
	if (c->memory_of && !be_is_same_version(c->memory_of, b)) return 0;
	if (c->last_resort)
		return be_last_resort(b, c->now) && rq_allows_last_resort(c->r, b) &&
		       rq_allows_server(c->r, b, c->r->rollout_roles) &&
		       !pace_wait_us(b, c->r->service, c->now);
	if (!s->usable) c->passed_over[pace_why(b, c->r->service, c->now)] = 1;
	return s->usable;
}

static int consider(struct be *b, void *arg)
{
	struct choice *c = arg;
	struct place_server *s = &c->s[c->n];

	rq_fill_server(s, b, c->r, c->dc, c->now);
	if (!is_candidate(c, b, s)) return 1;
	if (!place_fits(s, c->job)) {
		if (c->full == FULL_SERVERS_MAX) return 1;
		c->full++;
	}
	s->usable = 1;
	c->at[c->n++] = b;
	return c->n < PLACE_SERVERS_MAX;
}

/* Valid until the next call. */
static struct choice *collect(struct rq *r, const struct place_job *job, const char *dc,
			      const struct be *except, const struct be *memory_of)
{
	static struct choice c;

	c.r = r;
	c.job = job;
	c.dc = dc;
	c.except = except;
	c.memory_of = memory_of;
	c.now = clock_us();
	c.n = c.full = c.last_resort = 0;
	memset(c.passed_over, 0, sizeof c.passed_over);
	be_walk(r->service->name, dc, rq_walk_start(), consider, &c);
	met_add(MET_COLD_SKIPPED, c.passed_over[PACE_COLD]);
	met_add(MET_LIMIT_SKIPPED, c.passed_over[PACE_LIMIT]);
	met_add(MET_BACKOFF_SKIPPED, c.passed_over[PACE_BACKOFF]);
	met_add(MET_BRITTLE_SKIPPED, c.passed_over[PACE_BRITTLE]);
	if (c.n) return &c;
	c.last_resort = 1;
	be_walk(r->service->name, dc, rq_walk_start(), consider, &c);
	return &c;
}

static struct be *chosen(const struct choice *c, int i)
{
	return i < 0 ? NULL : c->at[i];
}

static double rate;     /* generations placed per second */
static int64_t rate_us; /* when it was computed */

static double rate_now(void)
{
	return rate * exp(-(double)(clock_us() - rate_us) / RATE_US);
}

void rq_count_placed(void)
{
	rate = rate_now() + 1e6 / RATE_US;
	rate_us = clock_us();
}

/* Assumes that each other instance sends as much as this one. */
static double concurrent_sends(void)
{
	return rate_now() * mesh_count_serving() * LOAD_DELAY_US / 1e6;
}

static struct be *pick(struct rq *r, const struct be *except)
{
	const struct choice *c = collect(r, &r->job, rq_cfg->data_centre, except, NULL);

	if (!r->service->engine) return chosen(c, place_call(c->s, c->n, g_random_int()));
	r->job.rivals = concurrent_sends();
	return chosen(c, place_generation(c->s, c->n, &r->job, g_random_int()));
}

/* Whether the request can start on b without waiting: requests do not wait for a canary. */
static int can_start_now(const struct rq *r, struct be *b)
{
	return b && rq_fits(r, b) && !(r->service->engine && rq_should_wait(r, b));
}

struct be *rq_pick(struct rq *r, const struct be *except)
{
	uint32_t others = ro_allowed_fallback(r->service->name);
	struct be *b;

	r->rollout_roles = ro_allowed(r->service->name, !r->sends);
	b = pick(r, except);
	if (r->rollout_roles == others || can_start_now(r, b)) return b;
	r->rollout_roles = others;
	return pick(r, except);
}

/* Excludes servers that leave: when the entries of all engines were missing for a moment, a
 * stream moved after each event, 80 times in 0.4 s. */
static int can_take_move(const struct be *b)
{
	return !be_is_leaving(b) && !b->refused && b->full_until_us <= clock_us();
}

struct be *rq_pick_move_target(struct rq *r, const struct be *source)
{
	struct place_job now = {.prompt = rq_expected_memory(r)};
	struct choice *c;
	int i;

	r->rollout_roles = ro_allowed(r->service->name, 0);
	c = collect(r, &now, source->dc, source, source);
	for (i = 0; i < c->n; i++)
		if (!can_take_move(c->at[i]) || c->at[i] == r->refused_copy) c->s[i].usable = 0;
	return chosen(c, place_move(c->s, c->n, &now, g_random_int()));
}

/* Servers that refuse connections are excluded: the cap on ejections may leave some of them in,
 * and they have the least load. */
struct be *rq_pick_replica(struct attempt *att)
{
	struct rq *r = att->rq;
	struct place_job now = {.prompt = rq_expected_memory(r)};
	struct choice *c;
	int i;

	if (r->route->resumable || r->route->kind != CONF_STREAM) return NULL;
	r->rollout_roles = ro_allowed(r->service->name, 0);
	c = collect(r, &now, att->be->dc, att->be, att->be);
	for (i = 0; i < c->n; i++)
		if (c->at[i]->refused) c->s[i].usable = 0;
	return chosen(c, place_replica(c->s, c->n, -1, &now, REPLICA_PERCENT, g_random_int()));
}
