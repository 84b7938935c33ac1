/* Tests of the decisions where and when a request runs: placement, forecasts, lengths, and
 * ejection of failing servers. */
#include "be.h"
#include "check.h"
#include "clock.h"
#include <math.h>
#include <saddlehead/forecast.h>
#include <saddlehead/latency.h>
#include <saddlehead/length.h>
#include <saddlehead/place.h>
#include <stdlib.h>
#include <string.h>

/* ---- placement ---- */

static void a_generation_goes_where_least_waits(void)
{
	struct place_server s[3] = {
		{.usable = 1, .same_dc = 1, .tokens = 30000, .prefill = 3000, .runs = 1},
		{.usable = 1, .same_dc = 1, .tokens = 30000, .prefill = 0, .runs = 2},
		{.usable = 0, .same_dc = 1, .tokens = 30000},
	};
	struct place_job j = {.prompt = 3000, .growth = 800};

	CU_ASSERT_EQUAL(place_generation(s, 3, &j, 7), 1);
	s[1].forecast = s[1].used = 29000; /* its memory would be exhausted */
	CU_ASSERT_EQUAL(place_generation(s, 3, &j, 7), 0);
	s[0].usable = s[1].usable = 0;
	CU_ASSERT_EQUAL(place_generation(s, 3, &j, 7), -1);
}

static void a_long_prompt_stays_away_from_running_streams(void)
{
	struct place_server s[2] = {
		{.usable = 1, .slots = 24, .runs = 6, .forecast = 9000, .tokens = 34000},
		{.usable = 1, .slots = 24, .prefill = 2000, .runs = 1, .tokens = 34000},
	};
	struct place_job shorter = {.prompt = 300, .growth = 800},
			 longer = {.prompt = 6000, .growth = 800};

	CU_ASSERT_EQUAL(place_generation(s, 2, &shorter, 7), 0);
	CU_ASSERT_EQUAL(place_generation(s, 2, &longer, 7), 1);
}

static void an_engine_with_room_goes_first(void)
{
	struct place_server s[2] = {
		{.usable = 1, .tokens = 10000, .used = 8000, .forecast = 8000, .runs = 1},
		{.usable = 1,
		 .tokens = 10000,
		 .used = 2000,
		 .forecast = 9500,
		 .runs = 1,
		 .prefill = 9000},
	};
	struct place_job j = {.prompt = 2000, .growth = 0};

	CU_ASSERT_EQUAL(place_generation(s, 2, &j, 7), 1);
	s[1].used = 8000; /* none fits: by cost alone */
	CU_ASSERT_EQUAL(place_generation(s, 2, &j, 7), 0);
}

static void equal_engines_are_drawn_evenly(void)
{
	struct place_server s[8];
	int count[8] = {0}, n, i, k;
	struct place_job j = {.prompt = 1000, .growth = 0};
	GRand *rnd = g_rand_new_with_seed(5);

	for (n = 3; n <= 8; n++) {
		memset(count, 0, sizeof count);
		for (i = 0; i < n; i++)
			s[i] = (struct place_server){.usable = 1, .same_dc = 1, .tokens = 9000};
		for (k = 0; k < 24000; k++)
			count[place_generation(s, n, &j, g_rand_int(rnd))]++;
		for (i = 0; i < n; i++) {
			CU_ASSERT(count[i] > 24000 / n * 0.9);
			CU_ASSERT(count[i] < 24000 / n * 1.1);
		}
	}
	g_rand_free(rnd);
}

static void room_is_what_is_left_for_half_of_the_growth(void)
{
	struct place_server s = {.usable = 1, .tokens = 10000, .used = 5000};
	struct place_job fits = {.prompt = 4000, .growth = 500},
			 large = {.prompt = 4500, .growth = 1000},
			 huge = {.prompt = 20000, .growth = 0};

	CU_ASSERT(place_fits(&s, &fits));
	CU_ASSERT(!place_fits(&s, &large));
	s.used = 0;
	CU_ASSERT(place_fits(&s, &huge)); /* an empty engine is tried: it decides itself */
	s.tokens = 0;
	s.used = 1000000;
	CU_ASSERT(place_fits(&s, &huge)); /* capacity unknown: no limit */
}

static void copies_need_free_memory(void)
{
	struct place_server s[3] = {
		{.usable = 1, .tokens = 10000, .used = 1000, .forecast = 2500},
		{.usable = 1, .same_dc = 1, .tokens = 10000, .used = 1000, .forecast = 2500},
		{.usable = 1, .tokens = 10000, .used = 1000, .forecast = 2500}};
	struct place_job j = {.prompt = 3000, .growth = 0};

	CU_ASSERT_EQUAL(place_replica(s, 3, 0, &j, 90, 1), 1); /* near the source */
	s[1].usable = 0;
	CU_ASSERT_EQUAL(place_replica(s, 3, 0, &j, 90, 1), 2);
	s[2].used = s[2].forecast = 8000;
	CU_ASSERT_EQUAL(place_replica(s, 3, 0, &j, 90, 1), -1);
	s[2].used = s[2].forecast = 1000;
	s[0].used = 9000; /* too little memory is free in total */
	CU_ASSERT_EQUAL(place_replica(s, 3, 0, &j, 90, 1), -1);
}

/* Many instances choose concurrently without seeing each other's choices: a slightly better
 * engine must not get all replicas. */
static void copies_of_many_instances_are_spread(void)
{
	struct place_server s[12];
	struct place_job j = {.prompt = 3000, .growth = 0};
	GRand *rnd = g_rand_new_with_seed(5);
	int i, count[12] = {0};

	for (i = 0; i < 12; i++)
		s[i] = (struct place_server){.usable = 1,
					     .same_dc = 1,
					     .tokens = 32000,
					     .used = 9000,
					     .forecast = 9000};
	s[5].used = s[5].forecast = 8500;
	for (i = 0; i < 1200; i++) count[place_replica(s, 12, 0, &j, 90, g_rand_int(rnd))]++;
	CU_ASSERT_EQUAL(count[0], 0); /* the engine that runs the generation */
	for (i = 1; i < 12; i++) CU_ASSERT(count[i] > 50 && count[i] < 200);
	g_rand_free(rnd);
}

static void a_move_goes_where_memory_arrives_soonest(void)
{
	struct place_server s[4] = {
		{.usable = 1, .same_dc = 1, .tokens = 30000, .inbound = 8000},
		{.usable = 1, .same_dc = 1, .tokens = 30000, .forecast = 27000},
		{.usable = 1, .tokens = 30000},
		{.usable = 0, .same_dc = 1, .tokens = 30000},
	};
	struct place_job j = {.prompt = 4000, .growth = 0};
	uint32_t draw;

	for (draw = 0; draw < 20; draw++)
		CU_ASSERT_EQUAL(place_move(s, 4, &j, draw * 7919),
				2); /* not behind the transfers in progress to server 0 */
	s[0].inbound = 3000;
	CU_ASSERT_EQUAL(place_move(s, 4, &j, 1), 0);
	s[0].usable = s[2].usable = 0;
	CU_ASSERT_EQUAL(place_move(s, 4, &j, 1), 1); /* full, but the only one */
}

#define RUNS 12
#define TRIES 400

/* Simulates one engine: runs end, the others grow. Returns when need tokens fit. */
static double simulated_wait_us(uint32_t tokens, const uint32_t *used, const double *ends_us,
				int n, uint32_t need, double token_us)
{
	double at[RUNS], now = 0;
	int i, k;

	memcpy(at, ends_us, n * sizeof *at);
	for (k = 0; k <= n; k++) {
		double next = 1e18;
		uint64_t sum = need;

		for (i = 0; i < n; i++) {
			if (at[i] <= now) continue;
			sum += used[i] + (uint64_t)(now / token_us);
			next = MIN(next, at[i]);
		}
		if (sum * 100 <= (uint64_t)tokens * 95) return now;
		now = next;
	}
	return now;
}

/* Ratio of the mean predicted wait to the mean actual wait with this many engines. */
static double forecast_ratio(GRand *rnd, int engines)
{
	struct forecast_engine s[8];
	double predicted = 0, actual = 0;
	int t, e, i;

	for (t = 0; t < TRIES; t++) {
		double first = 1e18;

		for (e = 0; e < engines; e++) {
			uint32_t used[RUNS];
			double ends_us[RUNS];

			s[e] = (struct forecast_engine){
				.tokens = 34000, .token_us = 8000, .runs = RUNS};
			for (i = 0; i < RUNS; i++) {
				double left = -800 * log(g_rand_double_range(rnd, 1e-6, 1));

				used[i] = g_rand_int_range(rnd, 2300, 3000);
				ends_us[i] = left * s[e].token_us;
				s[e].used += used[i];
				s[e].growth += 800;
			}
			first = MIN(first, simulated_wait_us(s[e].tokens, used, ends_us, RUNS,
							     4000, s[e].token_us));
		}
		predicted += forecast_wait_us(s, engines, 4000, 0);
		actual += first;
	}
	return predicted / actual;
}

/* With exponentially distributed remaining lengths the mean predicted wait matches the mean
 * actual one. */
static void a_wait_is_foreseen(void)
{
	GRand *rnd = g_rand_new_with_seed(5);
	double one = forecast_ratio(rnd, 1), four = forecast_ratio(rnd, 4);

	if (fabs(one - 1) > 0.25 || fabs(four - 1) > 0.35)
		g_print("foreseen by came: %f, of four engines %f\n", one, four);
	CU_ASSERT(fabs(one - 1) <= 0.25);
	CU_ASSERT(fabs(four - 1) <= 0.35);
	g_rand_free(rnd);
}

static void a_forecast_knows_what_is_free_busy_and_hopeless(void)
{
	struct forecast_engine s[2] = {
		{.tokens = 10000, .used = 9000, .growth = 1000, .runs = 4, .token_us = 9000},
		{.tokens = 10000, .used = 9000, .growth = 100, .runs = 4, .token_us = 9000},
	};
	int64_t soon = forecast_wait_us(s, 2, 2000, 0);

	CU_ASSERT(soon > 0 && soon < forecast_wait_us(s, 1, 2000, 0));
	CU_ASSERT(forecast_wait_us(s, 2, 2000, 8000) >
		  soon); /* others are ahead in the queue */
	s[1].usable_in_us = 5000000;
	CU_ASSERT(forecast_wait_us(s, 2, 2000, 0) > soon);
	s[1] = (struct forecast_engine){.tokens = 10000, .usable_in_us = 300};
	CU_ASSERT_EQUAL(forecast_wait_us(s, 2, 2000, 0), 300);
	s[0].usable_in_us = s[1].usable_in_us = FORECAST_NEVER;
	CU_ASSERT_EQUAL(forecast_wait_us(s, 2, 2000, 0), FORECAST_NEVER);
	CU_ASSERT_EQUAL(forecast_wait_us(s, 0, 2000, 0), FORECAST_NEVER);
}

static void a_call_goes_to_the_quickest(void)
{
	struct place_server s[3] = {
		{.usable = 1, .same_dc = 1, .slots = 4, .runs = 6, .latency_us = 20000},
		{.usable = 1, .slots = 4, .runs = 0, .latency_us = 20000},
		{.usable = 1, .slots = 4, .runs = 0, .latency_us = 90000}};
	uint32_t draw;

	for (draw = 0; draw < 50; draw++) CU_ASSERT_EQUAL(place_call(s, 3, draw * 7919), 1);
	s[0].usable = s[1].usable = s[2].usable = 0;
	CU_ASSERT_EQUAL(place_call(s, 3, 1), -1);
}

static int times_chosen(const struct place_server *s, int n, int which)
{
	uint32_t draw;
	int times = 0;

	for (draw = 0; draw < 1000; draw++)
		times += place_call(s, n, draw * 2654435761u) == which;
	return times;
}

/* Guards against a server that gets no calls because its first answer was a millisecond
 * slower than those of the others. A server with many samples that is slower by as much still
 * gets none. */
static void a_call_gives_one_with_few_answers_another_chance(void)
{
	struct place_server s[3] = {
		{.usable = 1, .same_dc = 1, .slots = 4, .latency_us = 25500},
		{.usable = 1, .same_dc = 1, .slots = 4, .latency_us = 24300},
		{.usable = 1, .same_dc = 1, .slots = 4, .latency_us = 24300}};

	CU_ASSERT_EQUAL(times_chosen(s, 3, 0), 0);
	s[0].uncertainty = 0.8;
	CU_ASSERT(times_chosen(s, 3, 0) > 50);
	s[0].latency_us = 250000;
	CU_ASSERT_EQUAL(times_chosen(s, 3, 0), 0);
}

/* ---- answer times ---- */

#define SECOND INT64_C(1000000)

static struct latency slow_since(int64_t now_us)
{
	struct latency l = {0};
	int i;

	for (i = 0; i < 20; i++) latency_observe(&l, 200000, now_us);
	return l;
}

static void old_answer_times_are_uncertain(void)
{
	struct latency l = {0};

	CU_ASSERT_EQUAL(latency_uncertainty(&l, 0), 1);
	l = slow_since(SECOND);
	CU_ASSERT(latency_uncertainty(&l, SECOND) < 0.001);
	CU_ASSERT(latency_uncertainty(&l, 3 * SECOND) < 0.5);
	CU_ASSERT(latency_uncertainty(&l, 30 * SECOND) > 0.99);
}

static void a_new_answer_outweighs_old_ones(void)
{
	struct latency l = slow_since(SECOND);

	latency_observe(&l, 20000, 2 * SECOND);
	CU_ASSERT(l.us > 100000);
	l = slow_since(SECOND);
	latency_observe(&l, 20000, 30 * SECOND);
	CU_ASSERT(l.us < 21000);
}

static void answers_that_vary_take_longer_at_most(void)
{
	struct latency steady = {0}, varied = {0};
	int i;

	CU_ASSERT_EQUAL(latency_most_us(&steady), 0);
	for (i = 0; i < 40; i++) {
		latency_observe(&steady, 100000, SECOND);
		latency_observe(&varied, i % 2 ? 20000 : 180000, SECOND);
	}
	CU_ASSERT(latency_most_us(&steady) < 101000);
	CU_ASSERT(latency_most_us(&varied) > 180000);
}

static void a_timeout_confirms_that_answers_take_longer(void)
{
	struct latency l = slow_since(SECOND);

	latency_observe_timeout(&l, 20000, 2 * SECOND); /* too short to tell */
	CU_ASSERT_EQUAL(l.at_us, SECOND);
	latency_observe_timeout(&l, 150000, 2 * SECOND);
	CU_ASSERT_EQUAL(l.at_us, 2 * SECOND);
	CU_ASSERT_EQUAL(l.us, 200000);
}

/* A caller is refused only for what is known: otherwise no answer would ever correct it. */
static void a_call_may_be_in_time_where_answers_are_old(void)
{
	struct place_server s = {.usable = 1, .latency_us = 2000000};

	CU_ASSERT(!place_call_in_time(&s, 500000));
	s.uncertainty = 0.8;
	CU_ASSERT(place_call_in_time(&s, 500000));
}

/* ---- lengths ---- */

static void a_forecast_learns_how_far_off_it_was(void)
{
	struct length_stats s = {0};
	int i;

	CU_ASSERT_EQUAL(length_corrected_wait_us(&s, 1000), 1000);
	for (i = 0; i < 100; i++) length_observe_wait(&s, 3000, 1000);
	CU_ASSERT(llabs(length_corrected_wait_us(&s, 2000) - 6000) < 60);
	for (i = 0; i < 100; i++) length_observe_wait(&s, 500, 1000);
	CU_ASSERT(llabs(length_corrected_wait_us(&s, 2000) - 1000) < 60);
	length_observe_wait(&s, 5000, 0); /* a wait that was not predicted yields no ratio */
	CU_ASSERT(llabs(length_corrected_wait_us(&s, 2000) - 1000) < 60);
	CU_ASSERT_EQUAL(length_corrected_wait_us(&s, FORECAST_NEVER), FORECAST_NEVER);
}

static void lengths_are_learnt_and_hints_weighed(void)
{
	struct length_stats s = {0};
	uint32_t first = length_remaining(&s, 0, 2000, 0), i;

	CU_ASSERT(first > 100 && first < 2000);
	for (i = 0; i < 300; i++) length_observe(&s, i % 2 ? 300 : 330, i % 2 ? 1200 : 90);
	CU_ASSERT(length_remaining(&s, 0, 2000, 0) > 290);
	CU_ASSERT(length_remaining(&s, 0, 2000, 0) < 350);
	/* hints that were off by a factor of four in both directions change little */
	CU_ASSERT(length_remaining(&s, 1200, 2000, 0) < 400);
	/* a generation longer than usual is expected to continue a little, within the limit */
	CU_ASSERT(length_remaining(&s, 0, 2000, 900) > 0);
	CU_ASSERT(length_remaining(&s, 0, 2000, 900) < 600);
	CU_ASSERT_EQUAL(length_remaining(&s, 0, 2000, 2000), 0);
	CU_ASSERT_EQUAL(length_remaining(&s, 0, 2000, 5000), 0);
}

/* ---- ejection of failing servers ---- */

/* Adds two ready servers of the service and returns the first. */
static struct be *two_servers(const char *service)
{
	char *first = g_strconcat(service, "-1", NULL),
	     *second = g_strconcat(service, "-2", NULL);
	struct be_info i = {.id = first,
			    .service = service,
			    .dc = "a",
			    .address = "127.0.0.1:9",
			    .slots = 8};
	struct be *b;

	be_update(&i);
	b = be_find(first);
	i.id = second;
	be_update(&i);
	g_free(first);
	g_free(second);
	return b;
}

#define PEER_1 11 /* other instances */
#define PEER_2 13

static void failures_at_two_instances_eject_a_server(void)
{
	struct be *b = two_servers("twice");
	struct be_outcomes bad = {.bad = 1}, good = {.good = 1};

	be_apply_outcomes(b, PEER_1, bad);
	be_apply_outcomes(b, PEER_1, bad);
	be_apply_outcomes(b, PEER_1, bad);
	CU_ASSERT(be_usable(b,
			    clock_us())); /* the reporting instance may be partitioned itself */
	be_apply_outcomes(b, PEER_1, good);
	be_apply_outcomes(b, PEER_2, bad);
	CU_ASSERT(be_usable(b, clock_us())); /* not consecutive */
	be_apply_outcomes(b, PEER_1, bad);
	CU_ASSERT(!be_usable(b, clock_us()));
}

static void own_failures_count_with_those_of_others(void)
{
	struct be *b = two_servers("own");
	struct be_outcomes bad = {.bad = 1};

	be_answered_error(
		b); /* may be caused by the request: not reported to other instances */
	be_apply_outcomes(b, PEER_1, bad);
	CU_ASSERT(be_usable(b, clock_us()));
	CU_ASSERT_EQUAL(b->outcomes.bad, 0);
	be_failed(b, "broke off");
	CU_ASSERT_EQUAL(b->outcomes.bad, 1);
	CU_ASSERT(!be_usable(b, clock_us()));
}

static void a_leaving_server_is_not_ejected(void)
{
	struct be *b = two_servers("leaves");
	struct be_outcomes bad = {.bad = 1};

	be_set_leaving(b, "test");
	be_apply_outcomes(b, PEER_1, bad);
	be_apply_outcomes(b, PEER_2, bad);
	CU_ASSERT_EQUAL(b->ejected_until_us, 0);
}

static const struct check list[] = {
	{"a_generation_goes_where_least_waits", a_generation_goes_where_least_waits},
	{"a_long_prompt_stays_away_from_running_streams",
	 a_long_prompt_stays_away_from_running_streams},
	{"an_engine_with_room_goes_first", an_engine_with_room_goes_first},
	{"equal_engines_are_drawn_evenly", equal_engines_are_drawn_evenly},
	{"room_is_what_is_left_for_half_of_the_growth",
	 room_is_what_is_left_for_half_of_the_growth},
	{"copies_need_free_memory", copies_need_free_memory},
	{"copies_of_many_instances_are_spread", copies_of_many_instances_are_spread},
	{"a_move_goes_where_memory_arrives_soonest", a_move_goes_where_memory_arrives_soonest},
	{"a_wait_is_foreseen", a_wait_is_foreseen},
	{"a_forecast_knows_what_is_free_busy_and_hopeless",
	 a_forecast_knows_what_is_free_busy_and_hopeless},
	{"a_call_gives_one_with_few_answers_another_chance",
	 a_call_gives_one_with_few_answers_another_chance},
	{"a_call_goes_to_the_quickest", a_call_goes_to_the_quickest},
	{"old_answer_times_are_uncertain", old_answer_times_are_uncertain},
	{"a_new_answer_outweighs_old_ones", a_new_answer_outweighs_old_ones},
	{"answers_that_vary_take_longer_at_most", answers_that_vary_take_longer_at_most},
	{"a_timeout_confirms_that_answers_take_longer",
	 a_timeout_confirms_that_answers_take_longer},
	{"a_call_may_be_in_time_where_answers_are_old",
	 a_call_may_be_in_time_where_answers_are_old},
	{"a_forecast_learns_how_far_off_it_was", a_forecast_learns_how_far_off_it_was},
	{"lengths_are_learnt_and_hints_weighed", lengths_are_learnt_and_hints_weighed},
	{"failures_at_two_instances_eject_a_server", failures_at_two_instances_eject_a_server},
	{"own_failures_count_with_those_of_others", own_failures_count_with_those_of_others},
	{"a_leaving_server_is_not_ejected", a_leaving_server_is_not_ejected},
};

CHECK_MAIN(list)
