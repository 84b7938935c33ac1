/* Which backend server a request goes to, its memory moves to, and its copy is kept at. */
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

/* Microseconds until b may get new work of r's service; INT64_MAX: not as far as is known. */
static int64_t usable_in(struct be *b, const struct rq *r, int64_t now)
{
	int64_t in_us = be_usable_in(b, now), wait_us;

	if (in_us == INT64_MAX || !ro_is(b, r->parts)) return INT64_MAX;
	wait_us = pace_wait_us(b, r->service, now);
	return MAX(in_us, wait_us);
}

static void fill_site(struct place_site *s, struct be *b, const struct rq *r, const char *dc,
		      int64_t now)
{
	struct be_load all = rq_load_of(b);

	*s = (struct place_site){
		.usable = usable_in(b, r, now) == 0,
		.near = !strcmp(b->zone, dc),
		.slots = b->slots,
		.runs = all.runs,
		.unread = all.unread,
		.held = all.held,
		.backup = all.backup,
		.used = all.used,
		.tokens = r->service->tokens,
		.inbound = all.inbound,
		.answer_us = b->answer_us,
	};
}

/* Fills sites for the service's backend servers; how many. */
static int collect(struct rq *r, const char *dc, const struct be *not_this,
		   struct place_site *s)
{
	const GPtrArray *list = be_of(r->service->name);
	int64_t now = clock_us();
	int i, any = 0, n = list ? MIN((int)list->len, PLACE_SITES_MAX) : 0;
	int passed_over[PACE_WHYS] = {0};

	for (i = 0; i < n; i++) {
		struct be *b = g_ptr_array_index(list, i);

		fill_site(&s[i], b, r, dc, now);
		if (!s[i].usable) passed_over[pace_why(b, r->service, now)] = 1;
		if (b == not_this) s[i].usable = 0;
		any |= s[i].usable;
	}
	met_add(MET_COLD_PASSED_OVER, passed_over[PACE_COLD]);
	met_add(MET_LIMIT_PASSED_OVER, passed_over[PACE_LIMIT]);
	met_add(MET_REST_PASSED_OVER, passed_over[PACE_REST]);
	for (i = 0; i < n && !any; i++) {
		struct be *b = g_ptr_array_index(list, i);

		s[i].usable = b != not_this && be_last_resort(b, now) &&
			      ro_is(b, r->parts) && !pace_wait_us(b, r->service, now);
	}
	return n;
}

static struct be *chosen(const struct rq *r, int i)
{
	return i < 0 ? NULL : g_ptr_array_index(be_of(r->service->name), i);
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
	static struct place_site s[PLACE_SITES_MAX];
	int n = collect(r, rq_cfg->data_centre, not_this, s), i;

	if (r->service->engine) {
		r->job.rivals = rivals();
		i = place_generation(s, n, &r->job, g_random_int());
	} else
		i = place_call(s, n, g_random_int());
	return chosen(r, i);
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
	return !be_leaves(b) && b->full_until_us <= clock_us();
}

struct be *rq_pick_target(struct rq *r, const struct be *source)
{
	static struct place_site s[PLACE_SITES_MAX];
	struct place_job now = {.prompt = rq_held(r)};
	int n, i;

	r->parts = ro_parts(r->service->name, 0);
	n = collect(r, source->zone, source, s);
	for (i = 0; i < n; i++)
		if (!can_be_moved_to(g_ptr_array_index(be_of(r->service->name), i)))
			s[i].usable = 0;
	return chosen(r, place_move(s, n, &now, g_random_int()));
}

struct be *rq_pick_backup(struct leg *l)
{
	static struct place_site s[PLACE_SITES_MAX];
	struct rq *r = l->rq;
	const GPtrArray *list = be_of(r->service->name);
	struct place_job now = {.prompt = rq_held(r)};
	int n, i, at = -1;

	if (r->route->resumable || r->route->kind != CONF_STREAM) return NULL;
	r->parts = ro_parts(r->service->name, 0);
	n = collect(r, l->be->zone, l->be, s);
	for (i = 0; i < n; i++)
		if (g_ptr_array_index(list, i) == l->be) at = i;
	i = place_backup(s, n, at, &now, BACKUP_PERCENT, g_random_int());
	return chosen(r, i);
}

static void fill_forecast(struct forecast_site *s, struct be *b, const struct rq *r,
			  int64_t now)
{
	struct be_load all = rq_load_of(b);
	uint32_t foreseen = all.held + all.backup;

	*s = (struct forecast_site){
		.usable_in_us = usable_in(b, r, now),
		.tokens = r->service->tokens,
		.used = all.used + all.inbound,
		.growth = foreseen > all.used ? foreseen - all.used : 0,
		.runs = all.runs,
		.token_us = rq_token_us(r),
	};
}

int64_t rq_room_in(const struct rq *r, uint64_t before)
{
	static struct forecast_site s[PLACE_SITES_MAX];
	const GPtrArray *list = be_of(r->service->name);
	int64_t now = clock_us();
	int i, n = list ? MIN((int)list->len, PLACE_SITES_MAX) : 0;

	for (i = 0; i < n; i++) fill_forecast(&s[i], g_ptr_array_index(list, i), r, now);
	return forecast_room_us(s, n, r->job.prompt + r->job.growth / 2, before);
}

int rq_fits(const struct rq *r, struct be *b)
{
	struct place_job now = {.prompt = r->job.prompt + rq_made(r), .growth = r->job.growth};
	struct place_site s;

	if (!r->service->engine) return 1;
	fill_site(&s, b, r, b->zone, clock_us());
	return place_fits(&s, &now);
}

int rq_waits(const struct rq *r, struct be *b)
{
	struct place_site s;

	fill_site(&s, b, r, b->zone, clock_us());
	return place_waits(&s, clock_us() - r->began_us, r->route->aim_us);
}

int rq_in_time(const struct rq *r, struct be *b)
{
	struct place_site s;

	if (r->service->engine) return 1;
	fill_site(&s, b, r, rq_cfg->data_centre, clock_us());
	return place_call_in_time(&s, r->end_us - clock_us());
}
