/* Which hub tells whom, and what news make complete. */
#include <saddlehead/spread.h>

/* Another order for each instance; the factors are odd, with bits all over. */
static uint32_t order_for(uint32_t hub, uint32_t to)
{
	uint32_t x = (hub ^ to) * 2654435761u;

	return (x ^ x >> 15) * 2246822519u;
}

/* How many of the others come before self, those of the data centre alone (0: of any). */
static int rank_for(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		    uint32_t to, uint32_t dc)
{
	uint32_t mine = order_for(self->hash, to);
	int i, before = 0;

	for (i = 0; i < n; i++)
		if (!dc || hubs[i].dc == dc) before += order_for(hubs[i].hash, to) < mine;
	return before;
}

static int any_of(const struct spread_hub *hubs, int n, uint32_t dc)
{
	int i;

	for (i = 0; i < n; i++)
		if (hubs[i].dc == dc) return 1;
	return 0;
}

int spread_tells(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		 uint32_t to)
{
	return rank_for(self, hubs, n, to, 0) < SPREAD_TELLERS;
}

int spread_passes_on(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		     uint32_t to, uint32_t dc)
{
	int near = dc && self->dc == dc;

	if (!near && dc && any_of(hubs, n, dc)) return 0;
	return !rank_for(self, hubs, n, to, near ? dc : 0);
}

int spread_take(uint64_t *complete, uint64_t after, uint64_t upto)
{
	if (*complete < after) return 0;
	if (upto > *complete) *complete = upto;
	return 1;
}
