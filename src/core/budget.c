/* Counts requests and repeats over a window in slots, and holds repeats within the rule. */
#include "budget.h"
#include <string.h>

/* Instances count apart and their windows differ: each keeps within this much of its part. */
#define SAFE_PART 0.7

static void turn(struct budget *b, const struct budget_rule *r, int64_t now)
{
	int64_t len = r->window_us / BUDGET_SLOTS;

	if (!b->slot_us || now - b->slot_us > 2 * r->window_us) {
		memset(b, 0, sizeof *b);
		b->slot_us = now;
	}
	while (now - b->slot_us >= len) {
		b->slot_us += len;
		b->at = (b->at + 1) % BUDGET_SLOTS;
		b->first[b->at] = b->again[b->at] = 0;
	}
}

static uint32_t sum(const uint32_t *v)
{
	uint32_t i, n = 0;

	for (i = 0; i < BUDGET_SLOTS; i++) n += v[i];
	return n;
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
	return sum(b->again);
}

int budget_take(struct budget *b, const struct budget_rule *r, int instances, int64_t now)
{
	double most;

	turn(b, r, now);
	most = SAFE_PART *
	       (r->ratio * sum(b->first) + r->slack / (instances > 0 ? instances : 1));
	if (sum(b->again) + 1 > most) return 0;
	b->again[b->at]++;
	return 1;
}
