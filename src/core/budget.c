/* Counts requests and repeats over a window in slots, and holds repeats within the rule. */
#include "budget.h"
#include <string.h>

/* The last repeats of two instances within one window lie up to a window apart, so together
 * they may count on the requests of two windows, of which the rule knows the larger. */
#define WINDOWS 2
/* Of the bound, for requests. */
#define REPEAT_PART 0.8

static void turn(struct budget *b, const struct budget_rule *r, int64_t now)
{
	int64_t len = r->window_us / BUDGET_SLOTS;

	if (!b->slot_us || now - b->slot_us > 2 * r->window_us) {
		memset(b, 0, sizeof *b);
		b->slot_us = now;
	}
	while (now - b->slot_us >= len) {
		b->slot_us += len;
		b->at = (b->at + 1) % BUDGET_RING;
		b->first[b->at] = b->again[b->at] = 0;
	}
}

/* Of the newest n slots, the one that is being counted among them. */
static uint32_t sum(const uint32_t *v, uint32_t at, uint32_t n)
{
	uint32_t i, all = 0;

	for (i = 0; i < n; i++) all += v[(at + BUDGET_RING - i) % BUDGET_RING];
	return all;
}

void budget_request(struct budget *b, const struct budget_rule *r, int64_t now)
{
	turn(b, r, now);
	b->first[b->at]++;
}

void budget_spend(struct budget *b, const struct budget_rule *r, int64_t now)
{
	turn(b, r, now);
	b->again[b->at]++;
}

uint32_t budget_used(const struct budget *b)
{
	return sum(b->again, b->at, BUDGET_RING);
}

/* Slots are whole: fewer of requests and more of repeats than the window has, never the other
 * way round. */
static double most(const struct budget *b, const struct budget_rule *r, enum budget_use use)
{
	uint32_t requests = sum(b->first, b->at, BUDGET_SLOTS - 1);
	double n = r->slack + r->ratio / WINDOWS * requests;

	return use == BUDGET_REPEAT ? n * REPEAT_PART : n;
}

int budget_take(struct budget *b, const struct budget_rule *r, enum budget_use use, int64_t now)
{
	turn(b, r, now);
	if (budget_used(b) + 1 > most(b, r, use)) return 0;
	b->again[b->at]++;
	return 1;
}
