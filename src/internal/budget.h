/* Bounds the retries that one instance sends to a service. Its count over a sliding window
 * stays below a limit such that the sum over all instances stays within the rule in any window.
 */
#ifndef SH_BUDGET_H
#define SH_BUDGET_H
#include <stdint.h>

#define BUDGET_SLOTS 20 /* slots of the window; finer ones change little */
/* A retry is counted for two more slots, as it may reach its server later than it is counted.
 */
#define BUDGET_RING (BUDGET_SLOTS + 2)

struct budget {
	int64_t slot_us; /* start of the current slot */
	uint32_t requests[BUDGET_RING], retries[BUDGET_RING];
	uint32_t at;
};

struct budget_rule {
	int64_t window_us;
	double ratio; /* retries per request in the window, over all instances ... */
	double slack; /* ... plus this instance's number of extra retries */
};

/* Maximum delay between counting a retry and its arrival at the server. A retry that takes
 * longer is counted once more. */
static inline int64_t budget_delay_us(const struct budget_rule *r)
{
	return r->window_us / BUDGET_SLOTS;
}

enum budget_use {
	BUDGET_RETRY,  /* retry of a request that can be refused instead */
	BUDGET_STREAM, /* resumption of a stream that would be lost; a part of the budget is
			  reserved for these */
};

/* Counts a request for the service. */
void budget_request(struct budget *b, const struct budget_rule *r, int64_t now);
/* Counts a retry that was sent without budget_take. */
void budget_spend(struct budget *b, const struct budget_rule *r, int64_t now);
/* Retries counted, as of the last call. */
uint32_t budget_used(const struct budget *b);
/* Counts a retry and returns 1, or returns 0 if this instance's limit is reached. */
int budget_take(struct budget *b, const struct budget_rule *r, enum budget_use use,
		int64_t now);
#endif
