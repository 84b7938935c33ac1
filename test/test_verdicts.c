/* Quarantine verdicts while the links between instances are cut, stalled, reset and delayed.
 * Counts false positives and false negatives. */
#include "check.h"
#include "relayed.h"
#include <stdio.h>
#include <string.h>

#define ROUNDS 8
#define CRASHES 5     /* enough to distinguish two requests that ran on the same servers */
#define CRASH_MS 100  /* from the start of the run to the crash */
#define NOTICE_MS 60  /* for instances to detect the crash */
#define LISTED_MS 150 /* for a new server to reach all instances */
#define JUDGED_MS 2500

struct scenario {
	struct relayed f;
	GRand *rand;
	char crashing[32], bystander[32];
	int false_positives, false_negatives;
};

static struct pw_call *ask(struct pw_entry *e, const char *body)
{
	return pw_call(e, "POST", "/unsafe/",
		       "X-Request-Id: r\r\nX-Credential: k1\r\nX-Deadline-Ms: 4000\r\n", body);
}

static struct pw_server *add_server(int work_ms)
{
	struct pw_server *s = pw_server_add("app", 0);

	s->work_ms = work_ms;
	pw_run(LISTED_MS);
	return s;
}

/* Disturbs or restores a random link. */
static void disturb(struct scenario *d)
{
	struct proxy *link = d->f.relay[g_rand_int_range(d->rand, 0, RELAYED)];

	proxy_set(link, g_rand_int_range(d->rand, 0, PROXY_MODES));
}

/* A server crashes under the crashing request of one instance while it runs the bystander
 * request of the others. */
static void crash_one(struct scenario *d)
{
	int i, at = g_rand_int_range(d->rand, 0, RELAYED);
	struct pw_server *s = add_server(1000);

	disturb(d);
	for (i = 0; i < RELAYED; i++)
		if (i != at) ask(d->f.e[i], d->bystander);
	pw_run(g_rand_int_range(d->rand, 10, 40));
	ask(d->f.e[at], d->crashing);
	pw_run(CRASH_MS + NOTICE_MS);
	pw_server_unlist(s);
}

static int is_quarantined(struct pw_entry *e, const char *body)
{
	struct pw_call *c = ask(e, body);

	pw_call_wait(c, 3000);
	return strstr(c->body->str, "crashes_engines") != NULL;
}

static void run_round(struct scenario *d, int n)
{
	struct pw_server *s;
	int i;

	g_snprintf(d->crashing, sizeof d->crashing, "guilty %d", n);
	g_snprintf(d->bystander, sizeof d->bystander, "what everybody sends %d", n);
	pw_crash.body = d->crashing;
	for (i = 0; i < CRASHES; i++) crash_one(d);
	for (i = 0; i < RELAYED; i++) proxy_set(d->f.relay[i], PROXY_OK);
	pw_run(JUDGED_MS);
	pw_crash.body = NULL; /* what is not quarantined is served */
	s = add_server(5);
	for (i = 0; i < RELAYED; i++) {
		d->false_negatives += !is_quarantined(d->f.e[i], d->crashing);
		d->false_positives += is_quarantined(d->f.e[i], d->bystander);
	}
	pw_server_unlist(s);
}

/* Guards against verdicts from incomplete evidence: on such links an instance quarantined the
 * request that ran beside the crashing one. */
static void verdicts_on_disturbed_links_are_right(uint32_t seed)
{
	struct scenario d = {.rand = g_rand_new_with_seed(seed)};
	int i;

	pw_init();
	pw_crash = (struct pw_crash){.after_ms = CRASH_MS};
	pw_server_add("llm", 1);
	relayed_begin(&d.f);
	for (i = 0; i < ROUNDS; i++) run_round(&d, i);
	fprintf(stderr, "seed %u: of %d blamed wrongly %d, missed %d\n", seed, ROUNDS * RELAYED,
		d.false_positives, d.false_negatives);
	CU_ASSERT_EQUAL(d.false_positives, 0);
	CU_ASSERT_EQUAL(d.false_negatives, 0);
	g_rand_free(d.rand);
	relayed_end(&d.f);
}

static void verdicts_seed_1(void)
{
	verdicts_on_disturbed_links_are_right(1);
}

static void verdicts_seed_2(void)
{
	verdicts_on_disturbed_links_are_right(2);
}

static const struct check list[] = {
	{"verdicts_seed_1", verdicts_seed_1},
	{"verdicts_seed_2", verdicts_seed_2},
};
CHECK_MAIN(list)
