/* Ranks instances and derives their roles. */
#include <saddlehead/roles.h>
#include <stdlib.h>

#define WATCHERS 3 /* tolerates the loss of two at the same time */
/* Two instances keep calling a store that does not answer, as it may reject one of them alone.
 */
#define RETRIERS 2
/* Back-off per instance: the fleet makes half a call per second in addition. */
#define BACKOFF_EACH_US 2000000

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

void roles_assign(struct roles_peer *p, int n)
{
	int i, active = 0, spare = 0, widest_mbps = 0;

	qsort(p, n, sizeof *p, by_rank);
	for (i = 0; i < n; i++) {
		p[i].active = p[i].hub = 0;
		if (p[i].state == ROLES_GONE) continue;
		widest_mbps = widest_mbps ? widest_mbps : p[i].link_mbps;
		p[i].active = active < ROLES_ACTIVE_MIN ||
			      (active < ROLES_ACTIVE && !is_narrow(&p[i], widest_mbps));
		p[i].hub = p[i].active || spare < ROLES_SPARE;
		active += p[i].active;
		spare += p[i].hub && !p[i].active;
	}
}

/* An instance from which nothing was received yet has no duties for others. */
static int is_up(const struct roles_peer *p)
{
	return p->hub && p->state == ROLES_ALIVE;
}

/* Whether self is among the first hubs, up to limit; inactive ones come first. */
static int is_among_first(const struct roles_peer *p, int n, int limit, int any_store_state)
{
	int i, active;

	for (active = 0; active <= 1; active++) {
		for (i = 0; i < n && limit > 0; i++) {
			if (!is_up(&p[i]) || p[i].active != active) continue;
			if (p[i].store_down && !any_store_state) continue;
			if (p[i].self) return 1;
			limit--;
		}
	}
	return 0;
}

int roles_watches(const struct roles_peer *p, int n)
{
	return is_among_first(p, n, WATCHERS, 0);
}

int roles_retries_store(const struct roles_peer *p, int n)
{
	return !roles_store_up(p, n) && is_among_first(p, n, RETRIERS, 1);
}

int roles_store_up(const struct roles_peer *p, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (is_up(&p[i]) && !p[i].store_down) return 1;
	return 0;
}

int roles_may_call(const struct roles_stale *o, int64_t now_us)
{
	if (o->retries_store || (o->hub && o->store_up)) return 1;
	return now_us >= o->backoff_until_us;
}

/* Uniform between 0 and twice the mean. */
int64_t roles_backoff_us(int instances, uint32_t draw)
{
	double mean_us = (double)instances * BACKOFF_EACH_US;

	return (int64_t)(2 * mean_us * draw / UINT32_MAX);
}
