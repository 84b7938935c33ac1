/* Simulates fleets that share a server's rate limit. Instances always have more to send; they
 * restart, join, or are partitioned. No window may exceed the bound. */
#include "check.h"
#include <saddlehead/limit.h>
#include <saddlehead/quota.h>
#include <saddlehead/roles.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES_MAX 300
#define TIMES_MAX 200000
#define STEP_US 5000
#define SIM_US 40000000
#define NAMED_US 1000000    /* when the server announces its limit */
#define ENFORCED_US 3000000 /* time after the announcement from which the bound must hold */
/* Maximum delay until all instances have received an announcement. */
#define PROPAGATION_US 300000
#define DEAD_US 1500000    /* silence after which an instance is considered dead ... */
#define FORGET_US 30000000 /* ... and forgotten */
#define WINDOW_US 4000000
#define DELAY_US 20000 /* maximum difference of network delays */

struct instance {
	struct quota_pace pace;
	int64_t started_us, down_us; /* down_us: when it went down; 0: it is up */
	int side;                    /* of a network partition */
};

struct sim {
	int n;
	struct instance i[INSTANCES_MAX];
	double limit, limit_before; /* limit: in force; limit_before: until changed_us */
	int64_t changed_us, cut_us, healed_us;
	/* Faults: */
	int64_t restart_each_us; /* interval between restarts of one instance, in turn; 0: none
				  */
	int all_at_once;         /* all instances restart instead of one */
	int64_t block_each_us; /* interval at which the active instances of a large fleet crash;
				  0: never */
	int64_t cut_from_us, cut_to_us;
	int join_at_n; /* number of instances at first; 0: all */
	int64_t join_us;
};

static int64_t arrival_times[TIMES_MAX];
static int narrivals;
static uint32_t draw;

static uint32_t drawn(uint32_t n)
{
	draw = draw * 1664525u + 1013904223u;
	return (uint32_t)((uint64_t)draw * n >> 32);
}

static int has_joined(const struct sim *p, int k, int64_t now)
{
	return !p->join_at_n || k < p->join_at_n || now >= p->join_us;
}

static int is_cut(const struct sim *p, int64_t now)
{
	return p->cut_to_us && now >= p->cut_from_us && now < p->cut_to_us;
}

/* Whether instance a counts b as an active one. In a small fleet dead instances keep their
 * shares until they are forgotten. */
static int is_sharer(const struct sim *p, int a, int b, int64_t now)
{
	int64_t silent_us = 0;

	if (a == b) return 1;
	if (!has_joined(p, b, now - PROPAGATION_US)) return 0;
	if (p->i[b].down_us) silent_us = now - p->i[b].down_us;
	if (is_cut(p, now) && p->i[a].side != p->i[b].side) silent_us = now - p->cut_from_us;
	return silent_us < (p->n <= ROLES_ACTIVE ? FORGET_US : DEAD_US);
}

static uint32_t share_of(const struct sim *p, int a, uint32_t sum, int64_t now)
{
	uint32_t sharers = 0, rank = 0;
	int b;

	for (b = 0; b < p->n && sharers < ROLES_ACTIVE; b++) {
		if (!is_sharer(p, a, b, now)) continue;
		sharers++;
		rank += b < a;
	}
	if (rank >= ROLES_ACTIVE) return 0;
	if (now - p->i[a].started_us < DEAD_US) sharers = ROLES_ACTIVE;
	return quota_share(sum, sharers, rank);
}

static void step_instance(struct sim *p, int k, int64_t now)
{
	struct instance *i = &p->i[k];
	int64_t received_us = NAMED_US + drawn(PROPAGATION_US);
	int old = now < p->changed_us + PROPAGATION_US;
	struct quota_bound b = {QUOTA_LIMIT, {.limit = {old ? p->limit_before : p->limit}}};

	if (i->down_us || !has_joined(p, k, now) || now < received_us) return;
	if (received_us < i->started_us) received_us = i->started_us;
	quota_set_share(&i->pace, share_of(p, k, quota_sum(&b), now), received_us, now);
	if (quota_wait_us(&i->pace, &b, now)) return;
	quota_spend(&i->pace, &b, now);
	if (narrivals < TIMES_MAX) arrival_times[narrivals++] = now + drawn(DELAY_US);
}

#define DOWN_US 700000         /* duration of a restart */
#define BLOCK_DOWN_US 12000000 /* the same for active instances */

static int64_t down_us(const struct sim *p)
{
	return p->block_each_us ? BLOCK_DOWN_US : DOWN_US;
}

/* The instances that follow those that crashed last go down. */
static void step_blocks(struct sim *p, int64_t now)
{
	int k, first;

	if (!p->block_each_us || now % p->block_each_us || now < NAMED_US) return;
	first = (int)(now / p->block_each_us - 1) * ROLES_ACTIVE % p->n;
	for (k = first; k < first + ROLES_ACTIVE && k < p->n; k++) p->i[k].down_us = now;
}

static void step_restarts(struct sim *p, int64_t now)
{
	int k, next = p->restart_each_us ? (int)(now / p->restart_each_us) % p->n : -1;

	for (k = 0; k < p->n; k++) {
		struct instance *i = &p->i[k];

		if (i->down_us && now - i->down_us >= down_us(p)) {
			*i = (struct instance){.started_us = now, .side = i->side};
			continue;
		}
		if (next < 0 || now % p->restart_each_us || now < NAMED_US) continue;
		if (p->all_at_once || k == next) i->down_us = now;
	}
}

static void run_sim(struct sim *p)
{
	int64_t now;
	int k;

	narrivals = 0;
	for (k = 0; k < p->n; k++) {
		p->i[k].side = k % 2;
		if (p->join_at_n && k >= p->join_at_n) p->i[k].started_us = p->join_us;
	}
	for (now = 0; now < SIM_US; now += STEP_US) {
		step_restarts(p, now);
		step_blocks(p, now);
		for (k = 0; k < p->n; k++) step_instance(p, k, now);
	}
}

static int by_time(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Maximum number of requests that arrived within one window after from_us. */
static int most_from(int64_t from_us)
{
	int i, first = 0, most = 0;

	qsort(arrival_times, narrivals, sizeof *arrival_times, by_time);
	for (i = 0; i < narrivals; i++) {
		if (arrival_times[i] < from_us) first = i + 1;
		while (first < i && arrival_times[i] - arrival_times[first] >= WINDOW_US)
			first++;
		if (first <= i && i + 1 - first > most) most = i + 1 - first;
	}
	return most;
}

static int max_allowed(double limit)
{
	return (int)(1.5 * limit * WINDOW_US / 1000000 + 5);
}

static const int fleets[] = {1, 3, 6, 16, 64, 295};
static const double limits[] = {0, 0.2, 1, 3.6, 20};

#define EACH_FLEET_AND_LIMIT(f, l)                           \
	for (f = 0; f < sizeof fleets / sizeof *fleets; f++) \
		for (l = 0; l < sizeof limits / sizeof *limits; l++)

static struct sim *sim_of(int n, double limit)
{
	static struct sim p;

	memset(&p, 0, sizeof p);
	p.n = n;
	p.limit = p.limit_before = limit;
	return &p;
}

static int stays_below(struct sim *p, double limit)
{
	int most;

	run_sim(p);
	most = most_from(NAMED_US + ENFORCED_US);
	if (most <= max_allowed(limit)) return 1;
	fprintf(stderr, "%d instances, limit %.1f: %d of %d\n", p->n, limit, most,
		max_allowed(limit));
	return 0;
}

/* At least half of the limit is used, except for rounding to whole requests: some instances
 * have nothing to send. */
static int gets_its_share(double limit)
{
	double each = (double)narrivals * WINDOW_US / (SIM_US - NAMED_US);

	return each >= limit * WINDOW_US / 1000000 * .7 - 1;
}

static void no_window_has_more_than_the_limit_whatever_the_fleets_size(void)
{
	size_t f, l;

	EACH_FLEET_AND_LIMIT(f, l)
	{
		CU_ASSERT(stays_below(sim_of(fleets[f], limits[l]), limits[l]));
		CU_ASSERT(gets_its_share(limits[l]));
	}
}

static void instances_that_start_again_stay_below(void)
{
	size_t f, l;

	EACH_FLEET_AND_LIMIT(f, l)
	{
		struct sim *p = sim_of(fleets[f], limits[l]);

		p->restart_each_us = 500000;
		CU_ASSERT(stays_below(p, limits[l]));
		p = sim_of(fleets[f], limits[l]);
		p->restart_each_us = 1500000;
		p->all_at_once = 1;
		CU_ASSERT(stays_below(p, limits[l]));
	}
}

static void those_that_take_over_stay_below(void)
{
	size_t f, l;

	EACH_FLEET_AND_LIMIT(f, l)
	{
		struct sim *p = sim_of(fleets[f], limits[l]);

		p->block_each_us = 1600000;
		CU_ASSERT(stays_below(p, limits[l]));
	}
}

/* Sends that can't be delayed, such as streams that resume from memory. */
static void what_is_beyond_the_share_is_made_up_for(void)
{
	struct quota_bound b = {QUOTA_LIMIT, {.limit = {1}}};
	struct quota_pace p = {0};
	int64_t gap, now = 100000000;
	int i;

	quota_set_share(&p, 4, 0, now);
	quota_spend(&p, &b, now);
	gap = quota_wait_us(&p, &b, now);
	quota_spend(&p, &b, now);
	CU_ASSERT_EQUAL(quota_wait_us(&p, &b, now), 2 * gap);
	for (i = 0; i < 100; i++) quota_spend(&p, &b, now);
	CU_ASSERT(quota_wait_us(&p, &b, now) <= quota_window_us(&b) + gap);
}

static void instances_that_join_stay_below(void)
{
	size_t f, l;

	EACH_FLEET_AND_LIMIT(f, l)
	{
		struct sim *p = sim_of(fleets[f], limits[l]);

		p->join_at_n = (p->n + 1) / 2;
		p->join_us = 12000000;
		CU_ASSERT(stays_below(p, limits[l]));
	}
}

/* Each side of a partition considers itself the whole fleet. */
static void sides_of_a_cut_stay_below(void)
{
	size_t f, l;

	EACH_FLEET_AND_LIMIT(f, l)
	{
		struct sim *p = sim_of(fleets[f], limits[l]);

		p->cut_from_us = 10000000;
		p->cut_to_us = 25000000;
		CU_ASSERT(stays_below(p, limits[l]));
	}
}

/* A window that contains the change may hold the larger limit. */
static void a_limit_that_changes_is_kept(void)
{
	size_t f;

	for (f = 0; f < sizeof fleets / sizeof *fleets; f++) {
		struct sim *p = sim_of(fleets[f], 1);

		p->limit_before = 8;
		p->changed_us = 15000000;
		run_sim(p);
		CU_ASSERT(most_from(NAMED_US + ENFORCED_US) <= max_allowed(8));
		CU_ASSERT(most_from(p->changed_us + WINDOW_US) <= max_allowed(1));
	}
}

/* ---- which announcement is in force ---- */

static const struct limit_report three = {3, 100, 200};

static void an_older_answer_lifts_no_limit(void)
{
	struct limit_report k = three, before = {LIMIT_NONE, 20, 90},
			    crossed = {LIMIT_NONE, 150, 250}, after = {LIMIT_NONE, 200, 250};

	CU_ASSERT_EQUAL(limit_update(&k, &before), 0);
	CU_ASSERT_EQUAL(limit_update(&k, &crossed), 0);
	CU_ASSERT_EQUAL(k.per_s, 3);
	CU_ASSERT_EQUAL(limit_update(&k, &after), 1);
	CU_ASSERT_EQUAL(k.per_s, LIMIT_NONE);
}

static void of_two_limits_that_cross_the_stricter_counts(void)
{
	struct limit_report k = three, more = {6, 150, 250}, less = {2, 120, 220},
			    old = {1, 10, 100}, later = {6, 250, 300};

	CU_ASSERT_EQUAL(limit_update(&k, &more), 0);
	CU_ASSERT_EQUAL(limit_update(&k, &less), 1);
	CU_ASSERT_EQUAL(limit_update(&k, &old), 0);
	CU_ASSERT_EQUAL(limit_update(&k, &later), 1);
	CU_ASSERT_EQUAL(k.per_s, 6);
}

static void the_first_word_counts(void)
{
	struct limit_report k = {0}, none = {LIMIT_NONE, 10, 20};

	CU_ASSERT_EQUAL(limit_update(&k, &none), 0);
	CU_ASSERT_EQUAL(k.per_s, LIMIT_NONE);
	CU_ASSERT_EQUAL(limit_update(&k, &three), 1);
}

/* ---- send slots ---- */

static void turns_come_in_order(void)
{
	struct quota_server s[] = {{300, 1000}, {100, 500}, {QUOTA_NEVER, 1}}, t[3];
	static const int64_t want[] = {100, 300, 600, 1100, 1300};
	uint32_t i;

	for (i = 0; i < sizeof want / sizeof *want; i++) {
		memcpy(t, s, sizeof s);
		CU_ASSERT_EQUAL(quota_slot_us(t, 3, i), want[i]);
	}
	CU_ASSERT_EQUAL(quota_slot_us(&s[2], 1, 0), QUOTA_NEVER);
	CU_ASSERT_EQUAL(quota_slot_us(s, 0, 0), QUOTA_NEVER);
}

/* Instances send a brittle server what surely fits, and more only by their shares. */
static void shares_at_a_brittle_server_add_up(void)
{
	static const uint32_t slots[] = {1, 6, 24, 48};
	static const double bears[] = {1, 3, 10, 40};
	uint32_t n, i, k;

	for (n = 1; n <= 295; n++)
		for (k = 0; k < 4; k++) {
			struct quota_bound b = {QUOTA_BRITTLE, {.brittle = {bears[k]}}};
			double risky_per_s = n * 1e6 / quota_turn_us(&b, n);
			uint32_t room = 0;

			for (i = 0; i < n; i++) room += quota_share(slots[k], n, i);
			CU_ASSERT_EQUAL(room, slots[k]);
			CU_ASSERT(risky_per_s > 0.9 && risky_per_s < quota_sum(&b));
			CU_ASSERT(quota_sum(&b) == 1 || quota_sum(&b) <= bears[k] / 2);
		}
}

static const struct check list[] = {
	{"shares_at_a_brittle_server_add_up", shares_at_a_brittle_server_add_up},
	{"no_window_has_more_than_the_limit_whatever_the_fleets_size",
	 no_window_has_more_than_the_limit_whatever_the_fleets_size},
	{"instances_that_start_again_stay_below", instances_that_start_again_stay_below},
	{"those_that_take_over_stay_below", those_that_take_over_stay_below},
	{"what_is_beyond_the_share_is_made_up_for", what_is_beyond_the_share_is_made_up_for},
	{"instances_that_join_stay_below", instances_that_join_stay_below},
	{"sides_of_a_cut_stay_below", sides_of_a_cut_stay_below},
	{"a_limit_that_changes_is_kept", a_limit_that_changes_is_kept},
	{"an_older_answer_lifts_no_limit", an_older_answer_lifts_no_limit},
	{"of_two_limits_that_cross_the_stricter_counts",
	 of_two_limits_that_cross_the_stricter_counts},
	{"the_first_word_counts", the_first_word_counts},
	{"turns_come_in_order", turns_come_in_order},
};

CHECK_MAIN(list)
