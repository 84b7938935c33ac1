/* Decides which hub serves which instance, and whether an update is contiguous. */
#include <saddlehead/spread.h>

/* Sort key of a hub for an instance; a different order for each instance. The factors are odd,
 * with bits set throughout the word. */
static uint32_t rank_key(uint32_t hub, uint32_t to)
{
	uint32_t x = (hub ^ to) * 2654435761u;

	return (x ^ x >> 15) * 2246822519u;
}

/* Rank of self among the hubs for an instance; only hubs in data centre dc count (0: all). */
static int rank_for(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		    uint32_t to, uint32_t dc)
{
	uint32_t own_key = rank_key(self->hash, to);
	int i, rank = 0;

	for (i = 0; i < n; i++)
		if (!dc || hubs[i].dc == dc) rank += rank_key(hubs[i].hash, to) < own_key;
	return rank;
}

static int any_of(const struct spread_hub *hubs, int n, uint32_t dc)
{
	int i;

	for (i = 0; i < n; i++)
		if (hubs[i].dc == dc) return 1;
	return 0;
}

int spread_is_primary(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		      uint32_t to)
{
	return rank_for(self, hubs, n, to, 0) < SPREAD_PRIMARIES;
}

int spread_forwards(const struct spread_hub *self, const struct spread_hub *hubs, int n,
		    uint32_t to, uint32_t dc)
{
	int near = dc && self->dc == dc;

	if (!near && dc && any_of(hubs, n, dc)) return 0;
	return !rank_for(self, hubs, n, to, near ? dc : 0);
}

int spread_apply(uint64_t *complete, uint64_t after, uint64_t upto)
{
	if (*complete < after) return 0;
	if (upto > *complete) *complete = upto;
	return 1;
}
