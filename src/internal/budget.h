/* How many repeats one instance may send to a service: what it counts in a sliding window stays
 * below a bound such that the sum over all instances stays within the rule in any window. */
#ifndef SH_BUDGET_H
#define SH_BUDGET_H
#include <stdint.h>

#define BUDGET_SLOTS 20 /* parts of the window: finer ones change little */
/* A repeat counts for two more, as it may reach its server later than it is counted. */
#define BUDGET_RING (BUDGET_SLOTS + 2)

struct budget {
	int64_t slot_us; /* of the window's part that is being counted */
	uint32_t first[BUDGET_RING], again[BUDGET_RING];
	uint32_t at;
};

struct budget_rule {
	int64_t window_us;
	double ratio; /* repeats for each request that the window holds, over all instances ...
		       */
	double slack; /* ... and so many more, of this instance */
};

/* The most that a repeat may be on its way to its server after it was counted; one that takes
 * longer is counted once more. */
static inline int64_t budget_late_us(const struct budget_rule *r)
{
	return r->window_us / BUDGET_SLOTS;
}

enum budget_use {
	BUDGET_REPEAT, /* of a request that can be refused instead */
	BUDGET_STREAM, /* of a stream that would be lost: some is kept for these */
};

/* A request for the service came. */
void budget_request(struct budget *b, const struct budget_rule *r, int64_t now);
/* A repeat was sent unasked; counted all the same. */
void budget_spend(struct budget *b, const struct budget_rule *r, int64_t now);
/* Repeats that are counted, as of the last call. */
uint32_t budget_used(const struct budget *b);
/* 1 and counted, or 0: as many were sent as this instance may. */
int budget_take(struct budget *b, const struct budget_rule *r, enum budget_use use,
		int64_t now);
#endif
