/* Tests the retry budget: retries in any window, summed over all instances and their
 * incarnations. */
#include "budget.h"
#include "check.h"
#include <glib.h>
#include <saddlehead/part.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US 50000
#define STEPS 1600 /* 80 s */
#define WINDOW_STEPS 200
#define HEARTBEAT_STEPS 10
#define JOIN_US 3000000
#define LATE_STEPS 10 /* maximum delay until a retry reaches its server */
#define FLEET_MAX 40
#define SEEDS 80

static struct budget_rule rule = {(int64_t)WINDOW_STEPS * STEP_US, 0.2, 54};

/* ---- parts of the budget ---- */

static struct budget_rule part_of_rule(double part)
{
	return (struct budget_rule){rule.window_us, rule.ratio, rule.slack * part};
}

static void repeats_of_all_instances_keep_within_the_allowance(void)
{
	struct budget_rule own = part_of_rule(1.0 / 7);
	struct budget b[7] = {0};
	int64_t now = 1000000, t;
	int i, window[4000] = {0}, asked[4000] = {0}, worst = 0;

	/* 40 s with a request per 100 ms and instance, and as many retries as are allowed */
	for (t = 0; t < 400; t++, now += 100000) {
		for (i = 0; i < 7; i++) {
			budget_request(&b[i], &own, now);
			asked[t]++;
			while (budget_take(&b[i], &own, BUDGET_STREAM, now)) window[t]++;
		}
	}
	for (t = 100; t < 400; t++) {
		int retries = 0, requests = 0;

		for (i = 0; i < 100; i++) {
			retries += window[t - i];
			requests += asked[t - i];
		}
		worst = MAX(worst, retries - (int)(0.2 * requests + 54));
	}
	CU_ASSERT(worst <= 0);
	/* after a pause the budget is available again */
	CU_ASSERT(budget_take(&b[0], &own, BUDGET_RETRY, now + 30000000));
}

static double settled_part(struct roles_peer *p, int n, int self)
{
	struct part_incarnation old = {.seen_others = 1};
	int i;

	memset(p, 0, n * sizeof *p);
	for (i = 0; i < n; i++) p[i].hash = i;
	p[self].self = 1;
	return part_of_self(&old, p, n, rule.window_us, 10 * rule.window_us);
}

static void parts_of_all_are_no_more_than_the_whole(void)
{
	static struct roles_peer p[3800];
	int n;

	for (n = 1; n <= 3800; n++) {
		int active = MIN(n, ROLES_ACTIVE);
		double sum = active * settled_part(p, n, 0);

		if (n > active) sum += (n - active) * settled_part(p, n, n - 1);
		CU_ASSERT(sum <= 1 + 1e-9);
	}
	/* active instances, which retry most, have most of it */
	CU_ASSERT(settled_part(p, 295, 0) > 10 * settled_part(p, 295, 294));
}

/* An instance uses no part until it has information on the others: not right after its start,
 * and not while it receives nothing from any. */
static void a_new_life_waits_for_its_part(void)
{
	struct part_incarnation inc = {
		.started_us = 1000000, .join_us = JOIN_US, .seen_others = 1};
	int64_t wait_us = rule.window_us + JOIN_US;
	struct roles_peer p[3] = {{.self = 1}, {.hash = 1}, {.hash = 2}};

	CU_ASSERT_EQUAL(part_of_self(&inc, p, 3, rule.window_us, wait_us), 0);
	CU_ASSERT_EQUAL(part_of_self(&inc, p, 3, rule.window_us, wait_us + 1000000), 1.0 / 3);
	inc.seen_others = 0;
	CU_ASSERT_EQUAL(part_of_self(&inc, p, 3, rule.window_us, wait_us + 1000000), 0);
	inc.first_start = 1;
	CU_ASSERT_EQUAL(part_of_self(&inc, p, 1, rule.window_us, 1000000), 1);
	CU_ASSERT_EQUAL(part_of_self(&inc, p, 3, rule.window_us, 1000000), 0);
}

/* A retry that is delayed reaches its server in the same window as later ones. */
static void repeats_that_arrive_late_are_counted_with_the_next(void)
{
	int64_t sent, at, late_us = budget_delay_us(&rule);

	for (sent = 1000000; sent < 2000000; sent += STEP_US) {
		struct budget b = {0};

		budget_request(&b, &rule, 1000000);
		while (budget_take(&b, &rule, BUDGET_STREAM, sent)) continue;
		for (at = sent; at < sent + late_us + rule.window_us; at += STEP_US)
			CU_ASSERT(!budget_take(&b, &rule, BUDGET_STREAM, at));
	}
}

/* ---- a fleet ---- */

struct node {
	int up, side, back_at; /* step at which it restarts */
	struct part_incarnation inc;
	uint64_t peers_known, links_known; /* one bit per instance */
	int link_mbps;
	struct budget b;
};

/* Patterns of requests and failures: without requests only the slack limits retries; with
 * bursts and rare failures they depend on all counted requests. */
static const struct load {
	double request_chance, failure_chance; /* probabilities per step */
	int crowd; /* maximum number of requests that arrive at once */
} loads[] = {{0, 0.1, 0}, {0.05, 0.05, 6}, {0.01, 0.01, 300}, {0.004, 0.03, 600}};

struct fleet {
	GRand *rand;
	const struct load *load;
	struct node node[FLEET_MAX];
	int n, joined; /* n: at most; joined: so far */
	int requests[STEPS], retries[STEPS + LATE_STEPS + 1];
};

static int chance(struct fleet *f, double p)
{
	return g_rand_double(f->rand) < p;
}

static void start_instance(struct fleet *f, int i, int step, int first_start)
{
	struct node *x = &f->node[i];

	memset(&x->b, 0, sizeof x->b);
	x->up = 1;
	x->inc = (struct part_incarnation){.started_us = (int64_t)(step + 1) * STEP_US,
					   .first_start = first_start,
					   .join_us = JOIN_US};
	x->peers_known = 1u << g_rand_int_range(f->rand, 0, f->joined); /* a seed node */
	x->links_known = 0;
}

/* Exchanges heartbeats and member lists between all instances that can reach each other. */
static void exchange_heartbeats(struct fleet *f)
{
	int i, j;

	for (i = 0; i < f->joined; i++) {
		struct node *x = &f->node[i];

		for (j = 0; j < f->joined; j++) {
			const struct node *y = &f->node[j];

			if (i == j || !x->up || !y->up || x->side != y->side) continue;
			x->inc.seen_others = 1;
			x->peers_known |= y->peers_known | 1ull << j;
			x->links_known |= y->links_known | 1ull << j;
		}
	}
}

static double part_at(const struct fleet *f, int i, int64_t now)
{
	const struct node *x = &f->node[i];
	struct roles_peer p[FLEET_MAX];
	int j, n = 0;

	for (j = 0; j < f->n; j++) {
		int link_known = j == i || x->links_known >> j & 1;

		if (j != i && !(x->peers_known >> j & 1)) continue;
		p[n++] = (struct roles_peer){.link_mbps = link_known ? f->node[j].link_mbps : 0,
					     .hash = (uint32_t)j * 2654435761u,
					     .state = f->node[j].up ? ROLES_ALIVE : ROLES_GONE,
					     .self = j == i};
	}
	return part_of_self(&x->inc, p, n, rule.window_us, now);
}

/* Sends as many retries as allowed; they reach their servers at once or later. */
static void retry_all(struct fleet *f, int i, int step)
{
	int64_t now = (int64_t)(step + 1) * STEP_US;
	struct budget_rule own = part_of_rule(part_at(f, i, now));

	while (budget_take(&f->node[i].b, &own, BUDGET_STREAM, now))
		f->retries[step + g_rand_int_range(f->rand, 0, LATE_STEPS)]++;
}

static void add_requests(struct fleet *f, int i, int step, int n)
{
	f->requests[step] += n;
	while (n-- > 0) budget_request(&f->node[i].b, &rule, (int64_t)(step + 1) * STEP_US);
}

/* Crashes, restarts, partitions that begin or heal, and instances that join while there is no
 * partition. */
static void inject_faults(struct fleet *f, int step, int *cut)
{
	int i;

	for (i = 0; i < f->joined; i++) {
		struct node *x = &f->node[i];

		if (!x->up && step >= x->back_at) start_instance(f, i, step, 0);
		if (!x->up || !chance(f, 0.004)) continue;
		x->up = 0;
		x->back_at = step + g_rand_int_range(f->rand, 2, 80);
	}
	if (chance(f, 0.01)) {
		*cut = !*cut;
		for (i = 0; i < f->n; i++)
			f->node[i].side = *cut ? g_rand_int_range(f->rand, 0, 2) : 0;
	}
	if (!*cut && f->joined < f->n && chance(f, 0.02))
		start_instance(f, f->joined++, step, 0);
}

static void run_fleet(struct fleet *f)
{
	int step, i, cut = 0;

	for (step = 0; step < STEPS; step++) {
		inject_faults(f, step, &cut);
		if (step % HEARTBEAT_STEPS == 0) exchange_heartbeats(f);
		for (i = 0; i < f->joined; i++) {
			if (!f->node[i].up) continue;
			if (chance(f, f->load->request_chance))
				add_requests(f, i, step,
					     g_rand_int_range(f->rand, 0, f->load->crowd));
			if (chance(f, f->load->failure_chance)) retry_all(f, i, step);
		}
	}
}

static int sum(const int *v, int until)
{
	int i, n = 0;

	for (i = MAX(until - WINDOW_STEPS + 1, 0); i <= until; i++) n += v[i];
	return n;
}

/* Retries above the rule in the worst window. */
static double excess(const struct fleet *f)
{
	double worst = -rule.slack;
	int t;

	for (t = 0; t < STEPS; t++) {
		int requests = MAX(sum(f->requests, t), sum(f->requests, t - WINDOW_STEPS));

		requests = MAX(requests, sum(f->requests, t - WINDOW_STEPS / 2));
		worst = MAX(worst, sum(f->retries, t) - rule.ratio * requests - rule.slack);
	}
	return worst;
}

static void fleets_keep_within(int n, double slack)
{
	uint32_t seed;
	int i;

	rule.slack = slack;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct fleet *f = g_new0(struct fleet, 1);

		f->rand = g_rand_new_with_seed(seed);
		f->load = &loads[seed % G_N_ELEMENTS(loads)];
		f->n = n + 2;
		f->joined = n;
		for (i = 0; i < f->n; i++) f->node[i].link_mbps = chance(f, 0.5) ? 200 : 20;
		for (i = 0; i < n; i++) start_instance(f, i, 0, 1);
		run_fleet(f);
		if (excess(f) > 0)
			fprintf(stderr, "%d instances, seed %u: %.1f beyond\n", n, seed,
				excess(f));
		CU_ASSERT(excess(f) <= 0);
		g_rand_free(f->rand);
		g_free(f);
	}
}

static void lives_cuts_and_joins_give_no_part_twice(void)
{
	fleets_keep_within(6, 54);
	fleets_keep_within(14, 54);
}

/* In a large fleet the parts depend on which instances are active, which crashes and partitions
 * change. */
static void in_a_large_fleet_neither(void)
{
	fleets_keep_within(36, 630);
}

static const struct check list[] = {
	{"repeats_of_all_instances_keep_within_the_allowance",
	 repeats_of_all_instances_keep_within_the_allowance},
	{"parts_of_all_are_no_more_than_the_whole", parts_of_all_are_no_more_than_the_whole},
	{"a_new_life_waits_for_its_part", a_new_life_waits_for_its_part},
	{"repeats_that_arrive_late_are_counted_with_the_next",
	 repeats_that_arrive_late_are_counted_with_the_next},
	{"lives_cuts_and_joins_give_no_part_twice", lives_cuts_and_joins_give_no_part_twice},
	{"in_a_large_fleet_neither", in_a_large_fleet_neither},
};

CHECK_MAIN(list)
