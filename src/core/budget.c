/* Counts requests and retries over a sliding window of slots, and limits the retries. */
#include "budget.h"
#include <string.h>

/* The last retries of two instances within one window may be up to a window apart, so together
 * they may rely on the requests of two windows; the rule counts the larger one. */
#define WINDOWS 2
/* Share of the limit that is available to retries of requests; the rest is reserved for streams
 * that would be lost. */
#define RETRY_SHARE 0.8

static void advance(struct budget *b, const struct budget_rule *r, int64_t now)
{
	int64_t len = r->window_us / BUDGET_SLOTS;

	if (!b->slot_us || now - b->slot_us > 2 * r->window_us) {
		memset(b, 0, sizeof *b);
		b->slot_us = now;
	}
	while (now - b->slot_us >= len) {
		b->slot_us += len;
		b->at = (b->at + 1) % BUDGET_RING;
		b->requests[b->at] = b->retries[b->at] = 0;
	}
}

/* Sum over the newest n slots, the current one included. */
static uint32_t sum(const uint32_t *v, uint32_t at, uint32_t n)
{
	uint32_t i, all = 0;

	for (i = 0; i < n; i++) all += v[(at + BUDGET_RING - i) % BUDGET_RING];
	return all;
}

void budget_request(struct budget *b, const struct budget_rule *r, int64_t now)
{
	advance(b, r, now);
	b->requests[b->at]++;
}

void budget_spend(struct budget *b, const struct budget_rule *r, int64_t now)
{
	advance(b, r, now);
	b->retries[b->at]++;
}

uint32_t budget_used(const struct budget *b)
{
	return sum(b->retries, b->at, BUDGET_RING);
}

/* Slots are not split: requests are counted over a slightly shorter span than the window and
 * retries over a longer one, so that errors never exceed the rule. */
static double limit(const struct budget *b, const struct budget_rule *r, enum budget_use use)
{
	uint32_t requests = sum(b->requests, b->at, BUDGET_SLOTS - 1);
	double n = r->slack + r->ratio / WINDOWS * requests;

	return use == BUDGET_RETRY ? n * RETRY_SHARE : n;
}

int budget_take(struct budget *b, const struct budget_rule *r, enum budget_use use, int64_t now)
{
	advance(b, r, now);
	if (budget_used(b) + 1 > limit(b, r, use)) return 0;
	b->retries[b->at]++;
	return 1;
}
