/* Servers that are cold: what all instances together send to one, in any second. */
#include "check.h"
#include "clock.h"
#include "pw.h"
#include <saddlehead/quota.h>
#include <string.h>

/* ---- the shares, played ---- */

#define TIMES_MAX 65536
#define PLAY_US 3000000
#define DELAY_US 20000 /* most that a request is under way longer than another one */

static int64_t times[TIMES_MAX];
static int ntimes;
static uint32_t draw;

static uint32_t drawn(uint32_t n)
{
	draw = draw * 1664525u + 1013904223u;
	return (uint32_t)((uint64_t)draw * n >> 32);
}

/* An instance that always has more to send. */
static void play_instance(const struct quota_bound *b, uint32_t share)
{
	struct quota_pace p = {0};
	int64_t at = drawn(100000);

	quota_set_share(&p, share, -PLAY_US, at);
	if (!share) return;
	for (; at < PLAY_US; at += quota_wait_us(&p, b, at)) {
		quota_spend(&p, b, at);
		if (ntimes < TIMES_MAX) times[ntimes++] = at + drawn(DELAY_US);
	}
}

/* So many that hear each other; from that rank on. */
static void play_view(const struct quota_bound *b, uint32_t sharers)
{
	uint32_t i;

	for (i = 0; i < sharers; i++) play_instance(b, quota_share(quota_sum(b), sharers, i));
}

/* Most that arrived in one second. */
static int most_in_a_second(void)
{
	int i, k, most = 0;

	for (i = 0; i < ntimes; i++) {
		int n = 0;

		for (k = 0; k < ntimes; k++)
			n += times[k] >= times[i] && times[k] < times[i] + 1000000;
		most = n > most ? n : most;
	}
	ntimes = 0;
	return most;
}

static const struct quota_bound bounds[] = {{QUOTA_COLD, {.cold = {20, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {200, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {3, 1.5, 5}}},
					    {QUOTA_COLD, {.cold = {20, 1, 0}}}};

static int falls_over_above(const struct quota_bound *b)
{
	return (int)(b->of.cold.per_s * b->of.cold.over + b->of.cold.slack);
}

/* Each instance sends as much as it may, to one server: a data centre that is taken back beside
 * a crowd. */
static void no_second_has_more_than_a_cold_server_bears(void)
{
	static const uint32_t fleets[] = {1, 6, 16, 64, 295};
	size_t f, b;

	for (b = 0; b < sizeof bounds / sizeof *bounds; b++) {
		for (f = 0; f < sizeof fleets / sizeof *fleets; f++) {
			play_view(&bounds[b], fleets[f]);
			CU_ASSERT(most_in_a_second() <= (int)bounds[b].of.cold.per_s);
		}
	}
}

/* A cut makes two fleets of one, each of which takes itself for all there is; or an instance is
 * alone. */
static void parts_that_hear_nothing_of_each_other_stay_below(void)
{
	static const uint32_t parts[][2] = {{1, 5}, {3, 3}, {8, 16}, {16, 16}, {1, 294}};
	size_t p, b;

	for (b = 0; b < sizeof bounds / sizeof *bounds; b++) {
		for (p = 0; p < sizeof parts / sizeof *parts; p++) {
			play_view(&bounds[b], parts[p][0]);
			play_view(&bounds[b], parts[p][1]);
			CU_ASSERT(most_in_a_second() <= falls_over_above(&bounds[b]));
		}
	}
}

/* Nothing of what it bears is left over, whoever shares it. */
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

/* ---- through the real program ---- */

#define PER_S 20
#define CROWD 240  /* calls, ... */
#define CROWD_MS 4 /* ... one each: more than the warm server answers */

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
	warm->work_ms = 40; /* whoever is idle looks better */
	for (i = 0; i < 3; i++) e[i] = pw_entry_ready();
	pw_run(1500);
	return e;
}

/* Arrivals at s while a crowd calls. */
static int arrivals_in_a_crowd(struct pw_entry **e, struct pw_server *s)
{
	int i;

	s->arrivals = 0;
	for (i = 0; i < CROWD; i++) {
		pw_request(e[i % 3], "GET", "/safe/", 4000);
		pw_run(CROWD_MS);
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
	n = arrivals_in_a_crowd(e, s);
	CU_ASSERT(n > 0);
	CU_ASSERT(n <= 35);
	CU_ASSERT(pw_metric(e[0], "saddlehead_cold_passed_over_total") > 0);
	pw_run(1200);
	CU_ASSERT(arrivals_in_a_crowd(e, s) > CROWD / 2);
	pw_end();
}

/* Its entry tells that it is cold when that is over. */
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
	n = arrivals_in_a_crowd(e, s);
	CU_ASSERT(n > 0);
	CU_ASSERT(n <= 35 + CROWD / 5); /* a second of some 1.2 s */
	pw_end();
}

/* No entry tells it: the store is silent. */
static void a_server_that_says_it_is_cold_in_its_answers_is_spared(void)
{
	struct pw_entry **e = with_a_warm_server();
	struct pw_server *s = pw_server_add("app", 0);

	pw_run(2500); /* new, and perhaps cold, until then */
	pw_store.mode = PW_STORE_SILENT;
	s->extra_fields = "X-Cold-Start-Ms: 2000\r\n";
	arrivals_in_a_crowd(e, s);
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
