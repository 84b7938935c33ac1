/* Tests of the roles in a fleet, as each instance computes them for itself. */
#include "check.h"
#include <saddlehead/roles.h>
#include <string.h>

#define FLEET 295
#define WIDE 18 /* number of these with wide links */

static void fleet(struct roles_peer *p, int n, int self)
{
	int i;

	memset(p, 0, n * sizeof *p);
	for (i = 0; i < n; i++) {
		p[i].link_mbps = i < WIDE ? 200 : 20;
		p[i].hash = (uint32_t)i * 2654435761u;
		p[i].self = i == self;
		p[i].user = &p[i];
	}
}

static int count(const struct roles_peer *p, int n, int hubs)
{
	int i, sum = 0;

	for (i = 0; i < n; i++) sum += hubs ? p[i].hub : p[i].active;
	return sum;
}

static void the_widest_links_take_callers(void)
{
	struct roles_peer p[FLEET];
	int i;

	fleet(p, FLEET, 0);
	roles_assign(p, FLEET);
	CU_ASSERT_EQUAL(count(p, FLEET, 0), ROLES_ACTIVE);
	CU_ASSERT_EQUAL(count(p, FLEET, 1), ROLES_ACTIVE + ROLES_SPARE);
	for (i = 0; i < FLEET; i++)
		if (p[i].active) CU_ASSERT_EQUAL(p[i].link_mbps, 200);
}

/* Streams on a narrow link stall while a large configuration is fetched over it. */
static void narrow_links_take_callers_only_where_wide_ones_are_few(void)
{
	struct roles_peer p[60];
	int i;

	fleet(p, 60, 0);
	for (i = 8; i < WIDE; i++) p[i].link_mbps = 20;
	roles_assign(p, 60);
	CU_ASSERT_EQUAL(count(p, 60, 0), 8);
	CU_ASSERT_EQUAL(count(p, 60, 1), 8 + ROLES_SPARE);
	fleet(p, 60, 0);
	for (i = 2; i < WIDE; i++) p[i].link_mbps = 20;
	roles_assign(p, 60);
	CU_ASSERT_EQUAL(count(p, 60, 0), ROLES_ACTIVE_MIN);
}

static void in_a_small_fleet_all_take_callers(void)
{
	struct roles_peer p[7];
	int i;

	fleet(p, 7, 3);
	for (i = 0; i < 7; i++) p[i].link_mbps = 100;
	roles_assign(p, 7);
	CU_ASSERT_EQUAL(count(p, 7, 0), 7);
}

/* Half of the instances fail at once: others take over, but no more than were active before. */
static void others_take_over_from_the_dead(void)
{
	struct roles_peer p[FLEET];
	int i;

	fleet(p, FLEET, 1);
	for (i = 0; i < FLEET; i++) {
		p[i].link_mbps = 20;
		if (i % 2 == 0) p[i].state = ROLES_GONE;
	}
	roles_assign(p, FLEET);
	CU_ASSERT_EQUAL(count(p, FLEET, 0), ROLES_ACTIVE);
	for (i = 0; i < FLEET; i++)
		if (p[i].active) CU_ASSERT_EQUAL(p[i].state, ROLES_ALIVE);
}

/* Number of instances that watch the store, or retry it in an outage, as each one computes it
 * for itself. */
static int count_instances(int (*does)(const struct roles_peer *p, int n), int down_from,
			   int down_to)
{
	struct roles_peer p[FLEET];
	int self, i, sum = 0;

	for (self = 0; self < FLEET; self++) {
		fleet(p, FLEET, self);
		for (i = down_from; i < down_to; i++) p[i].store_down = 1;
		roles_assign(p, FLEET);
		sum += does(p, FLEET);
	}
	return sum;
}

static void few_talk_to_the_store_whatever_it_does(void)
{
	CU_ASSERT_EQUAL(count_instances(roles_watches, 0, 0), 3);
	CU_ASSERT_EQUAL(count_instances(roles_watches, 0, 12), 3); /* the store rejects these */
	CU_ASSERT_EQUAL(count_instances(roles_watches, 0, FLEET), 0);
	CU_ASSERT_EQUAL(count_instances(roles_retries_store, 0, 0), 0);
	CU_ASSERT_EQUAL(count_instances(roles_retries_store, 0, FLEET), 2);
}

static void who_watches_takes_no_callers(void)
{
	struct roles_peer p[FLEET];
	int self, i;

	for (self = 0; self < FLEET; self++) {
		fleet(p, FLEET, self);
		roles_assign(p, FLEET);
		for (i = 0; i < FLEET; i++)
			if (p[i].self && roles_watches(p, FLEET)) CU_ASSERT(!p[i].active);
	}
}

/* During an outage of ten seconds in which each call fails at once, the whole fleet, without
 * the two retriers, makes less than one call per second at any size. */
static void rests_make_calls_independent_of_the_size(void)
{
	static const int sizes[] = {7, 30, 295, 3800};
	uint32_t draw = 1, k;
	int i, calls;
	int64_t at;

	for (k = 0; k < sizeof sizes / sizeof *sizes; k++) {
		calls = 0;
		for (i = 0; i < sizes[k]; i++)
			for (at = 0; at < 10000000;) {
				draw = draw * 1664525u + 1013904223u;
				at += roles_backoff_us(sizes[k], draw);
				calls += at < 10000000;
			}
		CU_ASSERT(calls <= 10);
	}
}

#define OUTAGE_US 16000000
#define TICK_US 100000  /* interval at which an instance checks its configuration's age */
#define RETRY_US 800000 /* minimum interval between calls of one instance */
/* When the first configurations become too old: hubs before the others, spread over ... */
#define OLD_US 1500000
#define SPREAD_US 900000 /* ... this time */

struct caller {
	struct roles_stale o;
	int64_t old_us, not_before_us;
};

static uint32_t next_draw(uint32_t *draw)
{
	*draw = *draw * 1664525u + 1013904223u;
	return *draw;
}

static void begin_outage(struct caller *a, int n, uint32_t *draw)
{
	int i;

	for (i = 0; i < n; i++) {
		int hub = i < ROLES_ACTIVE + ROLES_SPARE;
		int64_t spread_us = next_draw(draw) / 4294967296.0 * SPREAD_US;

		a[i].old_us = (hub ? OLD_US : OLD_US + SPREAD_US) + spread_us;
		a[i].not_before_us = 0;
		a[i].o = (struct roles_stale){.hub = hub, .store_up = 1};
		a[i].o.backoff_until_us = a[i].old_us + roles_backoff_us(n, next_draw(draw));
	}
}

/* Whether a[i] calls the store at that time; the call fails. */
static int does_call(struct caller *a, int i, int n, int64_t now_us, uint32_t *draw)
{
	/* By then all hubs have learned that the store answers nobody. */
	a[i].o.retries_store = i < 2 && now_us > OLD_US + SPREAD_US;
	if (now_us < a[i].old_us || now_us < a[i].not_before_us) return 0;
	if (!roles_may_call(&a[i].o, now_us)) return 0;
	a[i].o.store_up = 0;
	a[i].not_before_us = now_us + RETRY_US;
	a[i].o.backoff_until_us = now_us + roles_backoff_us(n, next_draw(draw));
	return 1;
}

/* Number of calls of a whole fleet to a store that answers nobody. */
static int calls_in_an_outage(int n, uint32_t *draw)
{
	static struct caller a[3800];
	int64_t now_us;
	int i, calls = 0;

	begin_outage(a, n, draw);
	for (now_us = 0; now_us < OUTAGE_US; now_us += TICK_US)
		for (i = 0; i < n; i++) calls += does_call(a, i, n, now_us, draw);
	return calls;
}

static void calls_in_an_outage_do_not_grow_with_the_fleet(void)
{
	static const int sizes[] = {30, 295, 3800};
	uint32_t draw = 7, k;

	for (k = 0; k < sizeof sizes / sizeof *sizes; k++)
		CU_ASSERT(calls_in_an_outage(sizes[k], &draw) <=
			  80); /* 2 x 16 s / 0.8 s, and 19 first calls */
}

static const struct check list[] = {
	{"the_widest_links_take_callers", the_widest_links_take_callers},
	{"narrow_links_take_callers_only_where_wide_ones_are_few",
	 narrow_links_take_callers_only_where_wide_ones_are_few},
	{"in_a_small_fleet_all_take_callers", in_a_small_fleet_all_take_callers},
	{"others_take_over_from_the_dead", others_take_over_from_the_dead},
	{"few_talk_to_the_store_whatever_it_does", few_talk_to_the_store_whatever_it_does},
	{"who_watches_takes_no_callers", who_watches_takes_no_callers},
	{"calls_in_an_outage_do_not_grow_with_the_fleet",
	 calls_in_an_outage_do_not_grow_with_the_fleet},
	{"rests_make_calls_independent_of_the_size", rests_make_calls_independent_of_the_size},
};

CHECK_MAIN(list)
