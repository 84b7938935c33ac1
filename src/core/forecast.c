/* Memory frees itself as runs end; how fast is worked out from their expected lengths. */
#include <math.h>
#include <saddlehead/forecast.h>

#define FULL_PERCENT 95 /* of the memory: requests are sent up to it */

/* How long a run there still takes, on the mean. */
static double mean_left_us(const struct forecast_site *s)
{
	double growth = (double)s->growth / s->runs;

	return (growth < 1 ? 1 : growth) * s->token_us;
}

/* Tokens of memory that the runs there give back in a microsecond, their growth taken off. */
static double freed_per_us(const struct forecast_site *s)
{
	if (!s->runs || s->token_us <= 0) return 0;
	return s->used / mean_left_us(s) - s->runs / s->token_us;
}

static int64_t room_us(const struct forecast_site *s, uint32_t need)
{
	uint64_t limit = (uint64_t)s->tokens * FULL_PERCENT / 100;
	uint64_t all = (uint64_t)s->used + need;
	double rate, us, first_end_us;

	if (!s->tokens || all <= limit || !s->used) return s->usable_in_us;
	rate = freed_per_us(s);
	if (rate <= 0) return FORECAST_NEVER;
	/* Memory comes back in pieces: one run at least has to end. */
	first_end_us = mean_left_us(s) / s->runs;
	us = (double)(all - limit) / rate;
	if (us < first_end_us) us = first_end_us;
	return us > (double)s->usable_in_us ? (int64_t)us : s->usable_in_us;
}

/* Those that waited before take what all engines together free first. */
static int64_t before_us(const struct forecast_site *s, int n, uint64_t before)
{
	double rate = 0;
	int i;

	if (!before) return 0;
	for (i = 0; i < n; i++) {
		double one = s[i].usable_in_us == FORECAST_NEVER ? 0 : freed_per_us(&s[i]);

		if (one > 0) rate += one;
	}
	return rate > 0 ? (int64_t)((double)before / rate) : FORECAST_NEVER;
}

/* Runs that have to end before need fits; the more, the closer comes what is expected. */
static double ends_needed(const struct forecast_site *s, uint32_t need)
{
	double over = (double)s->used + need - (double)s->tokens * FULL_PERCENT / 100;
	double each = s->runs ? (double)s->used / s->runs : 0;

	return each > 0 && over > each ? over / each : 1;
}

/* The first of many engines has room sooner than any one is expected to: of n that are alike,
 * and where one run has to end, in an n-th of the time of one. */
int64_t forecast_room_us(const struct forecast_site *s, int n, uint32_t need, uint64_t before)
{
	int64_t first = before_us(s, n, before), us;
	double rate = 0, ends = 0, best = INFINITY;
	int i, able = 0;

	for (i = 0; i < n; i++) {
		if (s[i].usable_in_us == FORECAST_NEVER) continue;
		us = room_us(&s[i], need);
		if (us <= s[i].usable_in_us && us < best) best = us;
		if (us == FORECAST_NEVER || us <= s[i].usable_in_us) continue;
		rate += 1.0 / (double)us;
		ends += ends_needed(&s[i], need);
		able++;
	}
	if (able) best = fmin(best, able / rate * pow(able, -able / ends));
	if (isinf(best) || first == FORECAST_NEVER) return FORECAST_NEVER;
	return (int64_t)best + first;
}
