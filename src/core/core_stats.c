/* What operators are told of a service: its supply, the forecast of the wait, promised work. */
#include "core_impl.h"

/* The least urgent rank of each class. */
static const uint32_t last_rank[CORE_RANK_CLASSES] = {0, 2, 5, CORE_RANKS};

uint32_t core_rank_class(uint32_t rank)
{
	return cforecast_class(rank);
}

/* Forecast for a new ticket behind all that wait up to this rank. */
static int64_t wait_us(const struct core *c, struct cservice *s, uint32_t rank)
{
	double work = 0, supply = cforecast_supply(c, s);
	uint32_t k;

	if (supply <= 0) return INT64_MAX;
	for (k = 0; k <= CT_TIER_RANK + rank; k++) work += s->tier_work[k];
	return cagenda_wait_us(&s->agenda, c->now, work, supply);
}

static double promised_work(const struct cagenda *a)
{
	double sum = 0;
	int i;

	for (i = 0; i < CAGENDA_SLOTS; i++) sum += a->promised[i];
	return sum;
}

int core_service_stats(const struct core *c, uint64_t service, struct core_service_stats *out)
{
	struct cservice *s = g_hash_table_lookup(c->services, &service);
	uint32_t k;

	*out = (struct core_service_stats){0};
	if (!s) return 0;
	out->supply_tokens = cforecast_supply(c, s);
	out->promised_work = promised_work(&s->agenda);
	out->appointments = s->agenda.by_due.n;
	for (k = 0; k < CORE_RANK_CLASSES; k++) out->wait_us[k] = wait_us(c, s, last_rank[k]);
	return 1;
}
