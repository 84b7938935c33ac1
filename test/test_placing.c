/* Tests placement by many concurrent instances: waiting times stay short. */
#include "check.h"
#include "crowding.h"
#include "placing.h"

/* All instances with the same view have the same cheapest engine: with loads 100 ms old, 300
 * instances that all chose it made prompts wait 0.8 s on average. Drawing among several must
 * not cost anything while loads are fresh. */
static void many_that_choose_at_once_spread(void)
{
	static const int instances[] = {6, 16, 300};
	static const double ages_ms[] = {5, 100};
	struct placing_load l = {
		.engines = 122, .per_s = 160, .seconds = 20, .seed = 11, .counts_rivals = 1};
	struct placing_load plain = l;
	struct placing_result fresh, r;
	int i, k;

	plain.instances = l.instances = 6;
	plain.counts_rivals = 0;
	fresh = placing_run(&plain);
	CU_ASSERT_DOUBLE_EQUAL(placing_run(&l).mean_ms, fresh.mean_ms, 0.01);
	for (i = 0; i < 3; i++) {
		for (k = 0; k < 2; k++) {
			l.instances = instances[i];
			l.age_ms = ages_ms[k];
			r = placing_run(&l);
			CU_ASSERT(r.mean_ms < (k ? 100 : 50));
			CU_ASSERT(r.p99_ms < (k ? 700 : 500));
		}
	}
}

/* A burst of twice the request rate, when prefill already takes half of the engines' time. */
static void a_burst_with_late_counts_stays_in_time(void)
{
	struct placing_load l = {.engines = 122,
				 .per_s = 320,
				 .seconds = 20,
				 .seed = 12,
				 .counts_rivals = 1,
				 .instances = 16,
				 .age_ms = 20};

	CU_ASSERT(placing_run(&l).p99_ms < 1100); /* 1,700 if the cheapest is always chosen */
}

#define SEEDS 4
#define PREEMPTED_MOST 100 /* target for a simulated day of half a minute */

/* A seventh of the engines leaves every 3.3 s, and memory is scarce. */
static int preempted_days(int counts_inbound, int waits)
{
	struct crowding_load l = {.engines = 72,
				  .seconds = 30,
				  .long_per_s = 38,
				  .short_per_s = 74,
				  .counts_inbound = counts_inbound,
				  .waits = waits};
	int sum = 0;

	for (l.seed = 1; l.seed <= SEEDS; l.seed++) sum += crowding_run(&l).preempted;
	return sum;
}

static void few_give_way_where_engines_leave_and_memory_binds(void)
{
	int both = preempted_days(1, 1);

	CU_ASSERT(both < PREEMPTED_MOST * SEEDS);
	CU_ASSERT(preempted_days(0, 0) > PREEMPTED_MOST * SEEDS);
	CU_ASSERT(preempted_days(1, 0) > both);
	CU_ASSERT(preempted_days(0, 1) > both);
}

static const struct check list[] = {
	{"few_give_way_where_engines_leave_and_memory_binds",
	 few_give_way_where_engines_leave_and_memory_binds},
	{"many_that_choose_at_once_spread", many_that_choose_at_once_spread},
	{"a_burst_with_late_counts_stays_in_time", a_burst_with_late_counts_stays_in_time},
};

CHECK_MAIN(list)
