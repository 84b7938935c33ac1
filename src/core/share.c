#include "share.h"
#include <stddef.h>

static void drop_lapsed(struct share_home *h, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < h->n;) {
		if (h->holder[i].until_us > now_us)
			i++;
		else
			h->holder[i] = h->holder[--h->n];
	}
}

static struct share_holder *find_or_add(struct share_home *h, uint64_t member, uint32_t held)
{
	uint32_t i;

	for (i = 0; i < h->n; i++)
		if (h->holder[i].member == member) return &h->holder[i];
	if (h->n == SHARE_HOLDERS_MAX) return NULL;
	h->holder[h->n] = (struct share_holder){.member = member, .share = held};
	return &h->holder[h->n++];
}

static uint32_t max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t used(const struct share_holder *x)
{
	return max_u32(max_u32(x->share, x->held), x->running);
}

/* Sum of what the other holders may use or still run. */
static uint64_t held_by_others(const struct share_home *h, const struct share_holder *x)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < h->n; i++)
		if (&h->holder[i] != x) sum += used(&h->holder[i]);
	return sum;
}

/* Max-min fair share by demand. Capacity without demand is divided evenly, so that it is
 * available at once. */
static uint32_t fair_share(const struct share_home *h, const struct share_holder *x,
			   uint32_t ceiling)
{
	uint64_t demand = 0, left = ceiling;
	uint32_t i, level, open = h->n;

	for (i = 0; i < h->n; i++) demand += h->holder[i].demand;
	if (demand <= ceiling) return x->demand + (uint32_t)((ceiling - demand) / h->n);
	do {
		level = (uint32_t)(left / open);
		left = ceiling;
		open = 0;
		for (i = 0; i < h->n; i++) {
			if (h->holder[i].demand <= level)
				left -= h->holder[i].demand;
			else
				open++;
		}
	} while (open && left / open > level);
	return min_u32(x->demand, level);
}

uint32_t share_grant(struct share_home *h, uint64_t member, const struct share_request *req,
		     uint32_t ceiling, int64_t now_us)
{
	struct share_holder *x;
	uint64_t others;
	uint32_t free_now, want;

	drop_lapsed(h, now_us);
	x = find_or_add(h, member, req->held);
	if (!x) return 0;
	x->held = req->held;
	x->running = req->running;
	x->demand = req->demand;
	x->until_us = now_us + SHARE_TTL_HOME_US;
	others = held_by_others(h, x);
	free_now = others < ceiling ? (uint32_t)(ceiling - others) : 0;
	want = now_us - h->created_us < SHARE_GRACE_US ? req->held : fair_share(h, x, ceiling);
	x->share = min_u32(want, free_now);
	return x->share;
}

uint32_t share_default(uint32_t ceiling, uint32_t keepers)
{
	return ceiling / (keepers ? keepers : 1);
}
