/* Simulates rollouts in fleets of any size, with versions that are good or bad in different
 * ways and the noise of real engines: verdicts must be right and canaries within their bound.
 */
#include "check.h"
#include <math.h>
#include <saddlehead/rollout.h>
#include <stdio.h>
#include <string.h>

#define STEP_US 50000
#define FOR_US 14000000
#define REQUESTS_S 60
#define SHARE 0.1
#define SLACK 50
#define ROUTES 2
#define INSTANCES_MAX 985
#define ACTIVE 16
#define SEEDS 200

static uint32_t seed;

static double draw_unit(void)
{
	seed = seed * 1664525u + 1013904223u;
	return (double)(seed >> 8) / (1 << 24);
}

/* Lognormal: most answers take about the same time, some several times as long. */
static int64_t draw_time(double mean_us, double spread)
{
	double n = 0;
	int i;

	for (i = 0; i < 12; i++) n += draw_unit();
	return (int64_t)(mean_us * exp(spread * (n - 6)));
}

/* Defects of the new version. */
struct version {
	const char *name;
	int bad;
	double fails; /* share of its answers */
	double slow;  /* share of its answers that take slow_x times as long */
	double slow_x;
	int64_t from_us; /* only from this time on */
	int route;       /* only on this route, counted from 1; 0: on all */
	double load;     /* share of the time in which its servers have enough load to show the
			    defect; 0: all */
	int shifted;     /* only once all requests go there */
	double noise;    /* share of all answers, of both versions, that fail */
};

static const struct version versions[] = {
	{.name = "good", .noise = .004},
	{.name = "good, beside failing servers", .noise = .08},
	{.name = "good, and a little slower", .slow = .5, .slow_x = 1.3, .noise = .004},
	{.name = "fails at once", .bad = 1, .fails = .5, .noise = .004},
	{.name = "fails now and then", .bad = 1, .fails = .3, .noise = .004},
	{.name = "fails later", .bad = 1, .fails = .6, .from_us = 4000000, .noise = .004},
	{.name = "fails on one route", .bad = 1, .fails = .6, .route = 2, .noise = .004},
	{.name = "fails under load", .bad = 1, .fails = .6, .load = .5, .noise = .004},
	{.name = "fails once all goes there",
	 .bad = 1,
	 .fails = .5,
	 .shifted = 1,
	 .noise = .004},
	{.name = "is slow", .bad = 1, .slow = .6, .slow_x = 5, .noise = .004},
	{.name = "is slow under load",
	 .bad = 1,
	 .slow = .8,
	 .slow_x = 5,
	 .load = .6,
	 .noise = .004},
	{.name = "is slow on one route",
	 .bad = 1,
	 .slow = .8,
	 .slow_x = 6,
	 .route = 1,
	 .noise = .004},
};

struct sim {
	const struct version *v;
	int n;
	struct rollout_use use[INSTANCES_MAX];
	struct rollout_tally tally;
	enum rollout_stage stage;
	int64_t shift_us;
	int requests, exposed, bad_answers, after_50th;
	int64_t judged_us;
};

/* Whether the defect shows now. */
static int is_fault_active(const struct sim *p, int route, int64_t now)
{
	const struct version *v = p->v;

	if (now < v->from_us || (v->route && v->route != route + 1)) return 0;
	if (v->shifted && p->stage != ROLLOUT_SHIFT) return 0;
	return !v->load || draw_unit() < v->load;
}

static void answer(struct sim *p, enum rollout_side side, int64_t now)
{
	static const double mean_us[ROUTES] = {400000, 250000};
	int route = draw_unit() < .34 ? 0 : 1;
	int64_t took = draw_time(mean_us[route], .4);
	int bad = draw_unit() < p->v->noise;

	if (side == ROLLOUT_NEW && is_fault_active(p, route, now)) {
		bad |= draw_unit() < p->v->fails;
		if (draw_unit() < p->v->slow) took = (int64_t)(took * p->v->slow_x);
	}
	rollout_record(&p->tally, 1 + route, side, bad, took);
}

/* Only the active instances of a large fleet receive requests, and each has a thirty-second of
 * the slack. */
static void request(struct sim *p, int64_t now)
{
	int active = p->n < ACTIVE ? p->n : ACTIVE;
	double part = p->n <= ACTIVE ? 1.0 / p->n : 1.0 / (2 * ACTIVE);
	struct rollout_use *u = &p->use[(int)(draw_unit() * active)];
	int new = p->stage == ROLLOUT_SHIFT;

	u->requests++;
	p->requests++;
	if (p->stage == ROLLOUT_CANARY) new = rollout_may_expose(u, SHARE, SLACK * part);
	u->exposed += new;
	p->exposed += new;
	answer(p, new ? ROLLOUT_NEW : ROLLOUT_OLD, now);
}

static void step(struct sim *p, int64_t now)
{
	struct rollout_state s = {.stage = p->stage,
				  .age_us = now,
				  .duration_us = FOR_US,
				  .shifted_us = p->shift_us ? now - p->shift_us : 0};
	struct rollout_reason why;

	s.verdict = rollout_judge(&p->tally, now >= FOR_US * ROLLOUT_LAST_PART, &why);
	p->stage = rollout_next(&s);
	if (p->stage == ROLLOUT_SHIFT && !p->shift_us) p->shift_us = now;
}

static void sim(struct sim *p, const struct version *v, int n)
{
	int64_t now;
	int k;

	memset(p, 0, sizeof *p);
	p->v = v;
	p->n = n;
	p->stage = ROLLOUT_CANARY;
	for (now = 0; now < FOR_US; now += STEP_US) {
		for (k = 0; k < REQUESTS_S * STEP_US / 1000000; k++) request(p, now);
		step(p, now);
	}
}

static const int fleets[] = {1, 6, 64, 985};

static void versions_are_judged_rightly_at_each_size(void)
{
	static struct sim p;
	size_t f, v;
	int s;

	for (f = 0; f < sizeof fleets / sizeof *fleets; f++) {
		for (v = 0; v < sizeof versions / sizeof *versions; v++) {
			int wrong = 0, exceeded = 0;

			for (s = 0; s < SEEDS; s++) {
				seed = (uint32_t)s * 7919 + 1;
				sim(&p, &versions[v], fleets[f]);
				wrong += p.stage != (versions[v].bad ? ROLLOUT_ROLLED_BACK
								     : ROLLOUT_COMPLETED);
				exceeded += versions[v].bad &&
					    p.exposed > SHARE * p.requests + SLACK;
			}
			if (wrong || exceeded)
				fprintf(stderr, "%d instances, %s: %d wrong, %d over of %d\n",
					fleets[f], versions[v].name, wrong, exceeded, SEEDS);
			CU_ASSERT_EQUAL(wrong, 0);
			CU_ASSERT_EQUAL(exceeded, 0);
		}
	}
}

/* Includes instances that restart and have lost their earlier counts. */
static void canaries_stay_within_the_bound(void)
{
	static struct rollout_use use[INSTANCES_MAX];
	size_t f;
	int k, i;

	for (f = 0; f < sizeof fleets / sizeof *fleets; f++) {
		int n = fleets[f], requests = 0, exposed = 0, starts = 0;

		memset(use, 0, sizeof use);
		seed = (uint32_t)n;
		for (i = 0; i < 20000; i++) {
			double slack = starts ? 0 : SLACK / (double)n;

			k = (int)(draw_unit() * n);
			use[k].requests++;
			requests++;
			if (rollout_may_expose(&use[k], SHARE, slack)) {
				use[k].exposed++;
				exposed++;
			}
			if (i % 500 == 499) {
				memset(use, 0, sizeof use);
				starts++;
			}
			CU_ASSERT(exposed <= SHARE * requests + SLACK);
		}
	}
}

static void stages_only_rise(void)
{
	struct rollout_state s = {
		.duration_us = FOR_US, .age_us = FOR_US, .verdict = ROLLOUT_BAD};

	s.stage = ROLLOUT_UNKNOWN;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_UNKNOWN);
	s.stage = ROLLOUT_COMPLETED;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_COMPLETED);
	s.stage = ROLLOUT_ROLLED_BACK;
	s.verdict = ROLLOUT_GOOD;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_ROLLED_BACK);
	s.stage = ROLLOUT_CANARY;
	s.age_us = 1;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_CANARY); /* some versions fail late */
	s.age_us = FOR_US;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_SHIFT);
}

/* Requests on the old version's servers end with them, so these are kept while there are any,
 * up to the order's time. */
static void the_old_version_is_waited_for(void)
{
	struct rollout_state s = {.stage = ROLLOUT_SHIFT,
				  .verdict = ROLLOUT_GOOD,
				  .duration_us = FOR_US,
				  .age_us = FOR_US * 3 / 4,
				  .shifted_us = 3000000,
				  .old_runs = 1};

	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_SHIFT);
	s.old_runs = 0;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_COMPLETED);
	s.old_runs = 1;
	s.age_us = FOR_US - 1;
	CU_ASSERT_EQUAL(rollout_next(&s), ROLLOUT_COMPLETED);
}

/* More routes than are counted separately. */
static void counts_of_many_routes_are_added_up(void)
{
	struct rollout_tally a = {0}, sum = {0};
	uint32_t k, all = 0;

	for (k = 1; k <= 30; k++) rollout_record(&a, k, ROLLOUT_OLD, 0, 1000);
	rollout_add(&sum, &a);
	rollout_add(&sum, &a);
	CU_ASSERT_EQUAL(sum.n, ROLLOUT_ROUTES);
	for (k = 0; k < (uint32_t)sum.n; k++) all += sum.route[k].of[ROLLOUT_OLD].answers;
	CU_ASSERT_EQUAL(all, 60);
}

static const struct check list[] = {
	{"versions_are_judged_rightly_at_each_size", versions_are_judged_rightly_at_each_size},
	{"canaries_stay_within_the_bound", canaries_stay_within_the_bound},
	{"stages_only_rise", stages_only_rise},
	{"the_old_version_is_waited_for", the_old_version_is_waited_for},
	{"counts_of_many_routes_are_added_up", counts_of_many_routes_are_added_up},
};

CHECK_MAIN(list)
