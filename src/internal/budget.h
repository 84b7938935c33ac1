/* How many repeats may go to a service: a part of what all instances may send together. */
#ifndef SH_BUDGET_H
#define SH_BUDGET_H
#include <stdint.h>

#define BUDGET_SLOTS 20 /* parts of the window: finer ones change little */

struct budget {
	int64_t slot_us; /* of the window's part that is being counted */
	uint32_t first[BUDGET_SLOTS], again[BUDGET_SLOTS];
	uint32_t at;
};

struct budget_rule {
	int64_t window_us;
	double ratio; /* repeats for each request in the window ... */
	double slack; /* ... and so many more, over all instances */
};

/* A request for the service came. */
void budget_request(struct budget *b, const struct budget_rule *r, int64_t now);
/* A repeat was sent that no rule may hold back; counted all the same. */
void budget_spend(struct budget *b, const struct budget_rule *r, int64_t now);
/* Repeats that are counted in the window, as of the last call. */
uint32_t budget_used(const struct budget *b);
/* 1 and counted, or 0 when this instance's part is used up. instances: how many share. */
int budget_take(struct budget *b, const struct budget_rule *r, int instances, int64_t now);
#endif
