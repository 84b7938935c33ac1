/* Cold servers: how many requests all instances together send to one in any second. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <saddlehead/quota.h>
#include <string.h>

/* ---- simulation of the shares ---- */

#define TIMES_MAX 65536
#define RUN_US 3000000
#define DELAY_US 20000 /* largest difference between the delays of two requests */

static int64_t times[TIMES_MAX];
static int ntimes;
static uint32_t random_state;

static uint32_t random_below(uint32_t n)
{
	random_state = random_state * 1664525u + 1013904223u;
	return (uint32_t)((uint64_t)random_state * n >> 32);
}

/* An instance with requests waiting at any time. */
static void run_instance(const struct quota_bound *b, uint32_t share)
{
	struct quota_pace p = {0};
	int64_t at = random_below(100000);

	quota_set_share(&p, share, -RUN_US, at);
	if (!share) return;
	for (; at < RUN_US; at += quota_wait_us(&p, b, at)) {
		quota_spend(&p, b, at);
		if (ntimes < TIMES_MAX) times[ntimes++] = at + random_below(DELAY_US);
	}
}

/* Instances that receive each other's heartbeats, each with its rank. */
static void run_instances(const struct quota_bound *b, uint32_t sharers)
{
	uint32_t i;

	for (i = 0; i < sharers; i++) run_instance(b, quota_share(quota_sum(b), sharers, i));
}

/* The most arrivals in one second. */
static int max_in_a_second(void)
{
	int i, k, max = 0;

	for (i = 0; i < ntimes; i++) {
		int n = 0;

		for (k = 0; k < ntimes; k++)
			n += times[k] >= times[i] && times[k] < times[i] + 1000000;
		max = n > max ? n : max;
	}
	ntimes = 0;
	return max;
}

static const struct quota_bound bounds[] = {{QUOTA_COLD, {.cold = {20, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {200, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {3, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {20, 1, 0}}}};

static int overload_limit(const struct quota_bound *b)
{
	return (int)(b->of.cold.per_s * b->of.cold.over + b->of.cold.slack);
}

/* Each instance sends one server as much as it may, as after a data centre is restored under
 * load. */
static void no_second_has_more_than_a_cold_server_bears(void)
{
	static const uint32_t fleets[] = {1, 6, 16, 64, 295};
	size_t f, b;

	for (b = 0; b < sizeof bounds / sizeof *bounds; b++) {
		for (f = 0; f < sizeof fleets / sizeof *fleets; f++) {
			run_instances(&bounds[b], fleets[f]);
			CU_ASSERT(max_in_a_second() <= (int)bounds[b].of.cold.per_s);
		}
	}
}

/* A network cut splits the fleet into two parts, or isolates an instance, and each part shares
 * the rate among its own instances only. */
static void parts_that_hear_nothing_of_each_other_stay_below(void)
{
	static const uint32_t parts[][2] = {{1, 5}, {3, 3}, {8, 16}, {16, 16}, {1, 294}};
	size_t p, b;

	for (b = 0; b < sizeof bounds / sizeof *bounds; b++) {
		for (p = 0; p < sizeof parts / sizeof *parts; p++) {
			run_instances(&bounds[b], parts[p][0]);
			run_instances(&bounds[b], parts[p][1]);
			CU_ASSERT(max_in_a_second() <= overload_limit(&bounds[b]));
		}
	}
}

/* The shares add up to the whole rate, for any number of sharers. */
static void the_parts_are_the_whole(void)
{
	struct quota_pace none = {0};
	uint32_t n, i, sum;

	for (n = 1; n <= 64; n++) {
		for (i = sum = 0; i < n; i++) sum += quota_share(17, n, i);
		CU_ASSERT_EQUAL(sum, 17);
	}
	CU_ASSERT_EQUAL(quota_share(17, 16, 16), 0);
	CU_ASSERT_EQUAL(quota_share(17, 0, 0), 0);
	CU_ASSERT_EQUAL(quota_wait_us(&none, &bounds[0], 0), QUOTA_NEVER);
}

/* ---- with the real program ---- */

#define PER_S 20
#define CALLS 240      /* calls under load */
#define CALL_EACH_MS 4 /* between two calls: more than the warm server can answer */

static struct pw_server *warm;

static struct pw_entry **with_a_warm_server(void)
{
	static struct pw_entry *e[3];
	int i;

	pw_init();
	pw_conf.cold_per_s = PER_S;
	pw_conf.version++;
	pw_conf_write();
	pw_settings("bounds.coldOvershoot=1.5\nbounds.coldSlack=5\n");
	warm = pw_server_add("app", 0);
	warm->work_ms = 40; /* an idle server is preferred */
	for (i = 0; i < 3; i++) e[i] = pw_entry_ready();
	pw_run(1500);
	return e;
}

/* Arrivals at s under load. */
static int arrivals_under_load(struct pw_entry **e, struct pw_server *s)
{
	int i;

	s->arrivals = 0;
	for (i = 0; i < CALLS; i++) {
		pw_request(e[i % 3], "GET", "/safe/", 4000);
		pw_run(CALL_EACH_MS);
	}
	i = s->arrivals;
	pw_run(300);
	return i;
}

static void a_new_server_is_spared_and_then_carries_its_share(void)
{
	struct pw_entry **e = with_a_warm_server();
	struct pw_server *s = pw_server_new("app", 0);
	int n;

	s->cold_ms = 2500;
	pw_server_list(s, "ready");
	pw_run(100);
	n = arrivals_under_load(e, s);
	CU_ASSERT(n > 0);
	CU_ASSERT(n <= 35);
	CU_ASSERT(pw_metric(e[0], "saddlehead_cold_passed_over_total") > 0);
	pw_run(1200);
	CU_ASSERT(arrivals_under_load(e, s) > CALLS / 2);
	pw_end();
}

/* Its entry shows that it is cold only after the cold start is over. */
static void a_server_that_is_taken_back_is_spared_unasked(void)
{
	struct pw_entry **e = with_a_warm_server();
	struct pw_server *s = pw_server_add_in("app", 0, "b");
	int n;

	pw_run(100);
	pw_store_put("op/evacuate/b", "{}");
	pw_run(1200);
	pw_store_remove("op/evacuate/b");
	pw_run(50);
	n = arrivals_under_load(e, s);
	CU_ASSERT(n > 0);
	CU_ASSERT(n <= 35 + CALLS / 5); /* one second of about 1.2 s is cold */
	pw_end();
}

/* The store is silent, so that no entry shows it. */
static void a_server_that_says_it_is_cold_in_its_answers_is_spared(void)
{
	struct pw_entry **e = with_a_warm_server();
	struct pw_server *s = pw_server_add("app", 0);

	pw_run(2500); /* until then it is treated as new and cold */
	pw_store.mode = PW_STORE_SILENT;
	s->extra_fields = "X-Cold-Start-Ms: 2000\r\n";
	arrivals_under_load(e, s);
	CU_ASSERT(pw_server_max_arrivals(s, clock_us() - 900000, 1000) <= 35);
	pw_end();
}

static const struct check list[] = {
	{"a_server_that_says_it_is_cold_in_its_answers_is_spared",
	 a_server_that_says_it_is_cold_in_its_answers_is_spared},
	{"no_second_has_more_than_a_cold_server_bears",
	 no_second_has_more_than_a_cold_server_bears},
	{"parts_that_hear_nothing_of_each_other_stay_below",
	 parts_that_hear_nothing_of_each_other_stay_below},
	{"the_parts_are_the_whole", the_parts_are_the_whole},
	{"a_new_server_is_spared_and_then_carries_its_share",
	 a_new_server_is_spared_and_then_carries_its_share},
	{"a_server_that_is_taken_back_is_spared_unasked",
	 a_server_that_is_taken_back_is_spared_unasked},
};

CHECK_MAIN(list)
