/* Shares of what a cold server bears: whole requests in each second, so that nothing has to be
 * told before a request is sent. */
#include <saddlehead/cold.h>

#define VIEWS 2 /* parts of a fleet that share it on their own: a cut makes two */
/* A second, and what requests may be delayed by one more than by another on their way. */
#define WINDOW_US 1050000

uint32_t cold_sum(const struct cold_bound *b)
{
	double most = (b->per_s * b->over + b->slack) / VIEWS;

	return (uint32_t)(most < b->per_s ? most : b->per_s);
}

uint32_t cold_share(uint32_t sum, uint32_t sharers, uint32_t rank)
{
	if (!sharers || rank >= sharers) return 0;
	return sum / sharers + (rank < sum % sharers);
}

int64_t cold_gap_us(uint32_t share)
{
	return share ? WINDOW_US / share : COLD_NEVER;
}
