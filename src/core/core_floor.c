/* Groups and kinds of requests that are served too rarely, compared with all. Ranks alone would
 * serve the last of them never while more urgent ones take all room. */
#include "core_impl.h"
#include <math.h>

/* Averaging time of the counts, in microseconds: the window of the rule on retries, within
 * which callers return. */
#define RATIO_US 10000000.0
/* A queue is put before the ranks this much above the floor, so that it stays above it. */
#define MARGIN 1.2

void cfloor_init(struct core *c)
{
	c->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void cfloor_free(struct core *c)
{
	g_hash_table_unref(c->kinds);
}

struct ckind *cfloor_kind(struct core *c, uint64_t id)
{
	struct ckind *k = g_hash_table_lookup(c->kinds, &id);

	if (k) return k;
	k = g_new0(struct ckind, 1);
	k->id = id;
	g_hash_table_insert(c->kinds, &k->id, k);
	return k;
}

static void decay(struct cratio *r, int64_t now)
{
	double f = exp(-(double)(now - r->at_us) / RATIO_US);

	r->asked *= f;
	r->served *= f;
	r->at_us = now;
}

static void count(struct cratio *r, int64_t now, int served)
{
	decay(r, now);
	if (served)
		r->served++;
	else
		r->asked++;
}

void cfloor_asked(struct core *c, const struct cqueue *q)
{
	count(&c->ratio, c->now, 0);
	count(&q->group->ratio, c->now, 0);
	count(&q->kind->ratio, c->now, 0);
}

void cfloor_served(struct core *c, const struct cqueue *q)
{
	count(&c->ratio, c->now, 1);
	count(&q->group->ratio, c->now, 1);
	count(&q->kind->ratio, c->now, 1);
}

/* One more request, of which as much was served as is usual: a first one is not taken for one
 * that is never served. If it counted as served, a group with few requests stayed below the
 * floor. */
static double served_part(const struct cratio *r, double usual)
{
	return (r->served + usual) / (r->asked + 1);
}

int cfloor_is_below(struct core *c, const struct cqueue *q)
{
	double usual = served_part(&c->ratio, 1), least = c->cfg.floor * MARGIN * usual;

	if (c->cfg.floor <= 0) return 0;
	decay(&q->group->ratio, c->now);
	decay(&q->kind->ratio, c->now);
	return served_part(&q->group->ratio, usual) < least ||
	       served_part(&q->kind->ratio, usual) < least;
}
