/* Simulates days of a fleet: how often a wrong request is quarantined, and how many servers
 * the crashing request crashes before its quarantine. */
#include "check.h"
#include "quar_play.h"
#include <glib.h>
#include <string.h>

static void succeed(struct quar *q, uint32_t request, int64_t at_us)
{
	struct fp f = fp_of(request);

	quar_add_success(q, &f, at_us);
}

#define DAY_SERVERS 22
#define DAY_RUNS 400 /* requests in flight at once */
#define DAY_US (100 * S)
#define STEP_US (10 * MS)
#define LONG_RUN_US S /* a run that has lasted this long counts as completed */
#define CRASHING_US                                                               \
	(30 * S) /* when it first appears; other crashes may have happened before \
		  */
#define COMMON 1 /* request id: one in four requests is this one */
#define CRASHING 2

struct day_run {
	uint32_t request;
	int server, sends;
	int64_t began_us, end_us;
};

struct day {
	struct quar *q;
	GRand *rand;
	struct day_run run[DAY_RUNS];
	int64_t success_us; /* last completed run of COMMON */
	uint32_t next;
	int crashes, caused, wrong, right;
};

static void record_verdict(const struct quar_suspect *s, void *arg)
{
	struct day *d = arg;
	struct fp f = fp_of(CRASHING);

	if (fp_equal(&s->fp, &f))
		d->right++;
	else
		d->wrong++;
}

static void send(struct day *d, struct day_run *r, int64_t now)
{
	r->server = g_rand_int_range(d->rand, 0, DAY_SERVERS);
	r->began_us = now;
	r->end_us = now + g_rand_int_range(d->rand, 50, 8000) * MS;
	r->sends++;
}

static void new_request(struct day *d, struct day_run *r, int64_t now)
{
	r->request = g_rand_int_range(d->rand, 0, 4) ? ++d->next : COMMON;
	r->sends = 0;
	send(d, r, now);
}

/* Requests that ran there are retried elsewhere: twice by the instance and as often by the
 * caller. */
static void server_crashes(struct day *d, int server, int64_t now)
{
	uint32_t e = crash_at(d->q, now);
	int i;

	d->crashes++;
	for (i = 0; i < DAY_RUNS; i++) {
		struct day_run *r = &d->run[i];

		if (r->server != server) continue;
		add_run(d->q, r->request, e, now - r->began_us);
		if (r->sends < 4)
			send(d, r, now);
		else
			new_request(d, r, now);
	}
}

static void step_runs(struct day *d, int64_t now)
{
	int i;

	for (i = 0; i < DAY_RUNS; i++) {
		struct day_run *r = &d->run[i];

		if (now - r->began_us >= LONG_RUN_US && r->request == COMMON)
			d->success_us = now;
		if (now < r->end_us) continue;
		succeed(d->q, r->request, now);
		new_request(d, r, now);
	}
}

static int is_refused(const struct quar *q, uint32_t request, int64_t now)
{
	struct fp f = fp_of(request);

	return quar_check(q, &f, 0, now) == QUAR_REFUSE;
}

/* The crashing request crashes a server each 0.3 s, after waiting up to 0.8 s behind other
 * prompts. */
static void step_crashing(struct day *d, int64_t now)
{
	uint32_t e;
	int server = g_rand_int_range(d->rand, 0, DAY_SERVERS);

	if (now < CRASHING_US || now % (300 * MS) || is_refused(d->q, CRASHING, now)) return;
	server_crashes(d, server, now);
	e = d->q->ncrashes - 1;
	add_run(d->q, CRASHING, e, g_rand_int_range(d->rand, 50, 800) * MS);
	d->caused++;
}

/* at_once servers crash each gap_us, within some ms of each other. */
static void step_others(struct day *d, int64_t now, int at_once, int64_t gap_us)
{
	int i;

	if (!gap_us || now % gap_us) return;
	for (i = 0; i < at_once; i++)
		server_crashes(d, g_rand_int_range(d->rand, 0, DAY_SERVERS), now + i * 5 * MS);
}

static struct day run_day(uint32_t seed, int at_once, int64_t gap_us, int crashing)
{
	struct day d = {.q = quar_new(), .rand = g_rand_new_with_seed(seed), .next = 10};
	uint32_t judged = 0;
	int64_t now;
	int i;

	for (i = 0; i < DAY_RUNS; i++) new_request(&d, &d.run[i], 0);
	for (now = S; now < DAY_US; now += STEP_US) {
		step_runs(&d, now);
		step_others(&d, now, at_once, gap_us);
		if (crashing) step_crashing(&d, now);
		succeed(d.q, COMMON, d.success_us); /* other instances report it */
		if (d.q->ncrashes != judged)
			quar_judge(d.q, DAY_SERVERS, now + S, now, record_verdict, &d);
		judged = d.q->ncrashes;
	}
	g_rand_free(d.rand);
	quar_free(d.q);
	return d;
}

#define DAYS 40

struct tally { /* totals of all days */
	int wrong, crashes;
	int most; /* maximum of servers that the request CRASHING crashed in a day before its
		     quarantine */
};

static struct tally run_days(int at_once, int64_t gap_us, int crashing)
{
	struct tally t = {0};
	int seed;

	for (seed = 0; seed < DAYS; seed++) {
		struct day d = run_day(seed, at_once, gap_us, crashing);

		t.wrong += d.wrong;
		t.crashes += d.crashes;
		t.most = MAX(t.most, d.caused - (d.right - 1)); /* without its trial runs */
	}
	return t;
}

/* Four of 22 servers crash at once each 3.3 s, all day. */
static void nobody_is_blamed_while_a_sixth_ends_again_and_again(void)
{
	struct tally t = run_days(4, 3300 * MS, 0);

	CU_ASSERT_EQUAL(t.wrong, 0);
	CU_ASSERT(t.crashes > 4000);
}

/* Servers crash one at a time: only the duration of runs distinguishes cause from chance. */
static void nobody_is_blamed_while_servers_end_one_by_one(void)
{
	struct tally t = run_days(1, 1000 * MS, 0);

	CU_ASSERT_EQUAL(t.wrong, 0);
	CU_ASSERT(t.crashes > 3000);
}

static void the_guilty_one_is_found_among_all(void)
{
	struct tally t = run_days(0, 0, 1);

	CU_ASSERT_EQUAL(t.wrong, 0);
	CU_ASSERT(t.most >= 3);
	CU_ASSERT(t.most <= 4);
}

/* While a sixth of the servers crashes repeatedly the evidence is weaker, so it takes some more
 * crashes. */
static void the_guilty_one_is_found_while_a_sixth_ends_too(void)
{
	struct tally t = run_days(4, 3300 * MS, 1);

	CU_ASSERT_EQUAL(t.wrong, 0);
	CU_ASSERT(t.most <= 6);
}

static const struct check tests[] = {
	{"nobody_is_blamed_while_a_sixth_ends_again_and_again",
	 nobody_is_blamed_while_a_sixth_ends_again_and_again},
	{"nobody_is_blamed_while_servers_end_one_by_one",
	 nobody_is_blamed_while_servers_end_one_by_one},
	{"the_guilty_one_is_found_among_all", the_guilty_one_is_found_among_all},
	{"the_guilty_one_is_found_while_a_sixth_ends_too",
	 the_guilty_one_is_found_while_a_sixth_ends_too},
};

CHECK_MAIN(tests)
