/* Memory becomes free as generations end. The rate is computed from their expected lengths. */
#include <math.h>
#include <saddlehead/forecast.h>

#define FULL_PERCENT 95 /* limit of memory use up to which requests are sent */

/* Mean time that a generation there still takes. */
static double mean_remaining_us(const struct forecast_engine *s)
{
	double growth = (double)s->growth / s->runs;

	return (growth < 1 ? 1 : growth) * s->token_us;
}

/* Net tokens of memory freed per microsecond there: memory freed by generations that end minus
 * the growth of all. */
static double freed_per_us(const struct forecast_engine *s)
{
	if (!s->runs || s->token_us <= 0) return 0;
	return s->used / mean_remaining_us(s) - s->runs / s->token_us;
}

static int64_t engine_wait_us(const struct forecast_engine *s, uint32_t need)
{
	uint64_t limit = (uint64_t)s->tokens * FULL_PERCENT / 100;
	uint64_t all = (uint64_t)s->used + need;
	double rate, us, first_finish_us;

	if (!s->tokens || all <= limit || !s->used) return s->usable_in_us;
	rate = freed_per_us(s);
	if (rate <= 0) return FORECAST_NEVER;
	/* Memory is freed in units of whole generations: at least one has to end. */
	first_finish_us = mean_remaining_us(s) / s->runs;
	us = (double)(all - limit) / rate;
	if (us < first_finish_us) us = first_finish_us;
	return us > (double)s->usable_in_us ? (int64_t)us : s->usable_in_us;
}

/* Time in which all engines together free the memory for the requests ahead in the queue. */
static int64_t queue_wait_us(const struct forecast_engine *s, int n, uint64_t queued_tokens)
{
	double rate = 0;
	int i;

	if (!queued_tokens) return 0;
	for (i = 0; i < n; i++) {
		double one = s[i].usable_in_us == FORECAST_NEVER ? 0 : freed_per_us(&s[i]);

		if (one > 0) rate += one;
	}
	return rate > 0 ? (int64_t)((double)queued_tokens / rate) : FORECAST_NEVER;
}

/* Number of generations that have to end before need tokens fit. The larger it is, the less the
 * actual time deviates from the mean. */
static double runs_to_finish(const struct forecast_engine *s, uint32_t need)
{
	double over = (double)s->used + need - (double)s->tokens * FULL_PERCENT / 100;
	double each = s->runs ? (double)s->used / s->runs : 0;

	return each > 0 && over > each ? over / each : 1;
}

/* The minimum over several engines is below the mean of any one: among n equal engines of which
 * one generation has to end, it is an n-th of one engine's mean. */
int64_t forecast_wait_us(const struct forecast_engine *s, int n, uint32_t need,
			 uint64_t queued_tokens)
{
	int64_t queue_us = queue_wait_us(s, n, queued_tokens), us;
	double rate = 0, finishes = 0, best = INFINITY;
	int i, waiting = 0;

	for (i = 0; i < n; i++) {
		if (s[i].usable_in_us == FORECAST_NEVER) continue;
		us = engine_wait_us(&s[i], need);
		if (us <= s[i].usable_in_us && us < best) best = us;
		if (us == FORECAST_NEVER || us <= s[i].usable_in_us) continue;
		rate += 1.0 / (double)us;
		finishes += runs_to_finish(&s[i], need);
		waiting++;
	}
	if (waiting) best = fmin(best, waiting / rate * pow(waiting, -waiting / finishes));
	if (isinf(best) || queue_us == FORECAST_NEVER) return FORECAST_NEVER;
	return (int64_t)best + queue_us;
}
