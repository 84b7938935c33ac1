/* Rank, and what follows from it. */
#include <saddlehead/roles.h>
#include <stdlib.h>

#define WATCHERS 3 /* two may be lost at once */
/* Two ask a store that is away: one of them may be the one that it turns away. */
#define ASKERS 2
/* Of rest for each instance: what is asked in spite of others is half a call a second. */
#define REST_EACH_US 2000000

static int by_rank(const void *a, const void *b)
{
	const struct roles_peer *x = a, *y = b;

	if (x->link_mbps != y->link_mbps) return x->link_mbps > y->link_mbps ? -1 : 1;
	if (x->hash != y->hash) return x->hash < y->hash ? -1 : 1;
	return 0;
}

static int is_narrow(const struct roles_peer *p, int widest_mbps)
{
	return p->link_mbps * ROLES_NARROW_PART < widest_mbps;
}

void roles_choose(struct roles_peer *p, int n)
{
	int i, active = 0, spare = 0, widest_mbps = 0;

	qsort(p, n, sizeof *p, by_rank);
	for (i = 0; i < n; i++) {
		p[i].active = p[i].hub = 0;
		if (p[i].state == ROLES_AWAY) continue;
		widest_mbps = widest_mbps ? widest_mbps : p[i].link_mbps;
		p[i].active = active < ROLES_ACTIVE_MIN ||
			      (active < ROLES_ACTIVE && !is_narrow(&p[i], widest_mbps));
		p[i].hub = p[i].active || spare < ROLES_SPARE;
		active += p[i].active;
		spare += p[i].hub && !p[i].active;
	}
}

/* Who was not heard yet does nothing for others. */
static int is_up(const struct roles_peer *p)
{
	return p->hub && p->state == ROLES_ALIVE;
}

/* Whether self is among the first so many hubs; those without callers come first. */
static int among_first(const struct roles_peer *p, int n, int most, int store_down_too)
{
	int i, active;

	for (active = 0; active <= 1; active++) {
		for (i = 0; i < n && most > 0; i++) {
			if (!is_up(&p[i]) || p[i].active != active) continue;
			if (p[i].store_down && !store_down_too) continue;
			if (p[i].self) return 1;
			most--;
		}
	}
	return 0;
}

int roles_watches(const struct roles_peer *p, int n)
{
	return among_first(p, n, WATCHERS, 0);
}

int roles_asks(const struct roles_peer *p, int n)
{
	return !roles_store_answers(p, n) && among_first(p, n, ASKERS, 1);
}

int roles_store_answers(const struct roles_peer *p, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (is_up(&p[i]) && !p[i].store_down) return 1;
	return 0;
}

int roles_may_ask(const struct roles_old *o, int64_t now_us)
{
	if (o->asks || (o->hub && o->store_up)) return 1;
	return now_us >= o->rest_until_us;
}

/* From 0 to twice the mean. */
int64_t roles_rest_us(int instances, uint32_t draw)
{
	double mean_us = (double)instances * REST_EACH_US;

	return (int64_t)(2 * mean_us * draw / UINT32_MAX);
}
