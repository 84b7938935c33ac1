/* Which backend servers are cold, and when this instance may send them its next request. */
#include "cold.h"
#include "clock.h"
#include "mesh.h"

static struct cold_bound bound = {.over = 1};

void cold_set_bound(double over, double slack)
{
	bound.over = over;
	bound.slack = slack;
}

/* When it was last back from where it got no work. */
static int64_t back_us(const struct be *b, int64_t now)
{
	int64_t at = b->back_us;

	if (b->ejected_until_us <= now) at = MAX(at, b->ejected_until_us);
	if (b->suspect_until_us <= now) at = MAX(at, b->suspect_until_us);
	return at;
}

int64_t cold_until_us(const struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t back = back_us(b, now), until = b->cold_until_us;

	if (!s || s->cold_per_s <= 0) return 0;
	if (back) until = MAX(until, back + s->cold_us);
	return until > now ? until : 0;
}

static int64_t gap_us(const struct be *b, const struct conf_service *s)
{
	struct cold_bound of = {s->cold_per_s, bound.over, bound.slack};
	struct mesh_rank r = mesh_rank(b);

	return cold_gap_us(cold_share(cold_sum(&of), r.sharers, r.rank));
}

int64_t cold_wait_us(const struct be *b, const struct conf_service *s, int64_t now)
{
	int64_t until = cold_until_us(b, s, now), gap;

	if (!until) return 0;
	gap = gap_us(b, s);
	if (gap == COLD_NEVER) return until - now;
	return b->cold_sent_us ? MAX(MIN(b->cold_sent_us + gap, until) - now, 0) : 0;
}

void cold_sent(struct be *b, const struct conf_service *s)
{
	int64_t now = clock_us(), gap;

	if (!cold_until_us(b, s, now)) return;
	gap = gap_us(b, s);
	/* What is sent beyond the share is made up for later. */
	if (gap != COLD_NEVER && b->cold_sent_us + gap > now)
		b->cold_sent_us += gap;
	else
		b->cold_sent_us = now;
}
