/* Which backend server a request goes to, its memory moves to, and its copy is kept at. */
#include "be_ring.h"
#include "clock.h"
#include "mesh.h"
#include "met.h"
#include "pace.h"
#include "ro.h"
#include "rq_impl.h"
#include <math.h>
#include <string.h>

#define BACKUP_PERCENT 90 /* of an engine's memory: copies don't give way to requests */
#define RATE_US 2000000   /* over which this instance's own sends are averaged */
/* How late others hear of a send: it waits 1 ms for others, crosses between data centres in
 * some ms, and is read when its receiver gets to it. */
#define UNHEARD_US 10000

struct be_load rq_load_of(const struct be *b)
{
	return (struct be_load){.runs = b->own.runs + b->others.runs,
				.unread = b->own.unread + b->others.unread,
				.held = b->own.held + b->others.held,
				.backup = b->own.backup + b->others.backup,
				.used = b->own.used + b->others.used,
				.inbound = b->own.inbound + b->others.inbound};
}

int rq_allows(const struct rq *r, const struct be *b)
{
	return conf_allows(r->route, r->group, b->region);
}

/* In another region, as far as is known. */
static int is_away(const struct be *b, const char *dc)
{
	const char *region = be_region_of(dc);

	return region && b->region && strcmp(region, b->region) != 0;
}

/* Microseconds until b may get new work of r's service; INT64_MAX: not as far as is known. */
int64_t rq_usable_in(struct be *b, const struct rq *r, int64_t now)
{
	int64_t in_us = be_usable_in(b, now), wait_us;

	if (in_us == INT64_MAX || !ro_is(b, r->parts) || !rq_allows(r, b)) return INT64_MAX;
	wait_us = pace_wait_us(b, r->service, now);
	return MAX(in_us, wait_us);
}

void rq_fill_site(struct place_site *s, struct be *b, const struct rq *r, const char *dc,
		  int64_t now)
{
	struct be_load all = rq_load_of(b);

	*s = (struct place_site){
		.usable = rq_usable_in(b, r, now) == 0,
		.near = !strcmp(b->zone, dc),
		.away = is_away(b, dc),
		.slots = b->slots,
		.runs = all.runs,
		.unread = all.unread,
		.held = all.held,
		.backup = all.backup,
		.used = all.used,
		.tokens = r->service->tokens,
		.inbound = all.inbound,
		.answer_us = b->answer_us,
		.doubt = be_answer_doubt(b),
	};
}

/* Of the sites those that have no room: the others are looked for beyond them. */
#define FULL_SITES_MAX (PLACE_SITES_MAX * 3 / 4)

/* Candidates of one choice. */
struct choice {
	const struct rq *r;
	const struct place_job *job;
	const char *dc;            /* near ones are of this data centre */
	const struct be *not_this; /* or NULL */
	int64_t now;
	int last_resort; /* those that are better than nothing */
	struct place_site s[PLACE_SITES_MAX];
	struct be *at[PLACE_SITES_MAX];
	int n, full;
	int passed_over[PACE_WHYS];
};

uint32_t rq_own_place(void)
{
	return g_str_hash(rq_cfg->ip) * 2654435761u;
}

static int may_go_to(struct choice *c, struct be *b, struct place_site *s)
{
	if (b == c->not_this) return 0;
	if (c->last_resort)
		return be_last_resort(b, c->now) && ro_is(b, c->r->parts) &&
		       rq_allows(c->r, b) && !pace_wait_us(b, c->r->service, c->now);
	if (!s->usable) c->passed_over[pace_why(b, c->r->service, c->now)] = 1;
	return s->usable;
}

static int consider(struct be *b, void *arg)
{
	struct choice *c = arg;
	struct place_site *s = &c->s[c->n];

	rq_fill_site(s, b, c->r, c->dc, c->now);
	if (!may_go_to(c, b, s)) return 1;
	if (!place_fits(s, c->job)) {
		if (c->full == FULL_SITES_MAX) return 1;
		c->full++;
	}
	s->usable = 1;
	c->at[c->n++] = b;
	return c->n < PLACE_SITES_MAX;
}

/* Valid until the next call. */
static struct choice *collect(struct rq *r, const struct place_job *job, const char *dc,
			      const struct be *not_this)
{
	static struct choice c;

	c.r = r;
	c.job = job;
	c.dc = dc;
	c.not_this = not_this;
	c.now = clock_us();
	c.n = c.full = c.last_resort = 0;
	memset(c.passed_over, 0, sizeof c.passed_over);
	be_walk(r->service->name, dc, rq_own_place(), consider, &c);
	met_add(MET_COLD_SKIPPED, c.passed_over[PACE_COLD]);
	met_add(MET_LIMIT_SKIPPED, c.passed_over[PACE_LIMIT]);
	met_add(MET_BACKOFF_SKIPPED, c.passed_over[PACE_REST]);
	if (c.n) return &c;
	c.last_resort = 1;
	be_walk(r->service->name, dc, rq_own_place(), consider, &c);
	return &c;
}

static struct be *chosen(const struct choice *c, int i)
{
	return i < 0 ? NULL : c->at[i];
}

static double rate;     /* generations placed in a second */
static int64_t rate_us; /* when it was worked out */

static double rate_now(void)
{
	return rate * exp(-(double)(clock_us() - rate_us) / RATE_US);
}

void rq_count_placed(void)
{
	rate = rate_now() + 1e6 / RATE_US;
	rate_us = clock_us();
}

/* Each of the others is taken to send as much as this one. */
static double rivals(void)
{
	return rate_now() * mesh_serving() * UNHEARD_US / 1e6;
}

static struct be *pick(struct rq *r, const struct be *not_this)
{
	const struct choice *c = collect(r, &r->job, rq_cfg->data_centre, not_this);

	if (!r->service->engine) return chosen(c, place_call(c->s, c->n, g_random_int()));
	r->job.rivals = rivals();
	return chosen(c, place_generation(c->s, c->n, &r->job, g_random_int()));
}

/* A canary is no reason to wait. */
static int takes_now(const struct rq *r, struct be *b)
{
	return b && rq_fits(r, b) && !(r->service->engine && rq_waits(r, b));
}

struct be *rq_pick(struct rq *r, const struct be *not_this)
{
	uint32_t others = ro_parts_else(r->service->name);
	struct be *b;

	r->parts = ro_parts(r->service->name, !r->sends);
	b = pick(r, not_this);
	if (r->parts == others || takes_now(r, b)) return b;
	r->parts = others;
	return pick(r, not_this);
}

/* Not where it would have to leave again: with the entries of all engines gone for a moment a
 * stream went from one to the next after each event, 80 times in 0.4 s. */
static int can_be_moved_to(const struct be *b)
{
	return !be_leaves(b) && !b->refused && b->full_until_us <= clock_us();
}

struct be *rq_pick_target(struct rq *r, const struct be *source)
{
	struct place_job now = {.prompt = rq_held(r)};
	struct choice *c;
	int i;

	r->parts = ro_parts(r->service->name, 0);
	c = collect(r, &now, source->zone, source);
	for (i = 0; i < c->n; i++)
		if (!can_be_moved_to(c->at[i])) c->s[i].usable = 0;
	return chosen(c, place_move(c->s, c->n, &now, g_random_int()));
}

/* Some that refuse connections are not ejected, as too many are: those look emptiest. */
struct be *rq_pick_backup(struct leg *l)
{
	struct rq *r = l->rq;
	struct place_job now = {.prompt = rq_held(r)};
	struct choice *c;
	int i;

	if (r->route->resumable || r->route->kind != CONF_STREAM) return NULL;
	r->parts = ro_parts(r->service->name, 0);
	c = collect(r, &now, l->be->zone, l->be);
	for (i = 0; i < c->n; i++)
		if (c->at[i]->refused) c->s[i].usable = 0;
	return chosen(c, place_backup(c->s, c->n, -1, &now, BACKUP_PERCENT, g_random_int()));
}
